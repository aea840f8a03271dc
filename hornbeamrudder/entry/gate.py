"""Admission of requests on this node by rank, fair share and capacity."""

import collections
from concurrent import futures
import dataclasses
import threading
import time
from typing import Callable, Mapping

from returns import result

from ..admission import controller
from ..admission import isolation
from ..admission import limits
from ..core import errors
from ..core import ids
from ..core import types
from ..fleet import traffic
from ..inventory import schema
from . import pool

REFRESH_INTERVAL_S = 0.1
# One sample per heartbeat, as `isolation.smoothed_demand` and the measurements
# in virtual time assume.
DEMAND_INTERVAL_S = 0.5
RETRY_AFTER_S = 1.0
# Share of the request threads that a rank and all less urgent ranks may occupy
# together, so that an overload leaves threads to more urgent requests.
THREAD_SHARE_BY_RANK = {
    types.Rank.URGENT: 0.95,
    types.Rank.STANDARD: 0.75,
    types.Rank.BATCH: 0.5,
}

# Returns the small accounts' demand reported by live peers, in slots.
PeerDemand = Callable[[], Mapping[ids.ServiceName, float]]
SlotResult = result.Result[controller.Slot, errors.Failure]


class Gate:
    """Admits requests of this node when capacity is available.

    Parameters
    ----------
    threads : int
        Request threads of the node.
    live_nodes : callable
        Returns the number of nodes among which account limits are divided.
    """

    def __init__(
        self,
        workers: pool.NodeWorkerPool,
        admission: controller.Controller,
        document: Callable[[], schema.Document],
        threads: int,
        live_nodes: Callable[[], int] = lambda: 1,
        peer_small_demand: PeerDemand = dict,
    ) -> None:
        self._workers = workers
        self._admission = admission
        self._document = document
        self._threads = threads
        self._live_nodes = live_nodes
        self._peer_small_demand = peer_small_demand
        self._small_demand_by_service: dict[ids.ServiceName, float] = {}
        self._demand_sampled_at = time.monotonic()
        self._refreshed_document: schema.Document | None = None
        self._peak_by_service: dict[ids.ServiceName, int] = {}
        self._demand_by_service: dict[ids.ServiceName, float] = {}
        self._usage_by_account: dict[ids.AccountId, limits.Usage] = {}
        self.traffic = traffic.Meter()
        self._lock = threading.Lock()
        self._open_by_rank: collections.Counter[types.Rank] = (
            collections.Counter()
        )
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._refresh_loop, name='capacity', daemon=True
        )
        self._thread.start()

    def acquire_thread(self, rank: types.Rank) -> errors.Failure | None:
        """Count a request thread; returns a failure if the rank has none left.

        Unless a failure is returned, the caller must call `release_thread`
        at the end of the request.
        """
        limit = self._threads * THREAD_SHARE_BY_RANK[rank]
        with self._lock:
            same_or_less_urgent = sum(
                count
                for other, count in self._open_by_rank.items()
                if other >= rank
            )
            if same_or_less_urgent >= limit:
                return _thread_limit_reached(rank)
            self._open_by_rank[rank] += 1
            return None

    def release_thread(self, rank: types.Rank) -> None:
        """Count a request thread as free again."""
        with self._lock:
            self._open_by_rank[rank] -= 1

    def submit(
        self,
        rank: types.Rank,
        account: ids.AccountId,
        service: ids.ServiceName,
        expected_tokens: float,
        deadline: float,
        prompt_tokens: float = 0.0,
        limited: bool = True,
    ) -> 'futures.Future[SlotResult]':
        """Request a slot, see `Controller.submit`.

        Parameters
        ----------
        prompt_tokens : float
            Counted only towards the account's token limit.
        limited : bool
            False for an order that has already been accepted: it may wait,
            but limits must not refuse it.
        """
        self._refresh_for_document()
        refusal = self._charge_account(
            account, expected_tokens, prompt_tokens, limited
        )
        if refusal is not None:
            refused: futures.Future[SlotResult] = futures.Future()
            refused.set_result(result.Failure(refusal))
            return refused
        self.traffic.arrived(service, rank)
        submitted = self._admission.submit(
            rank, account, service, expected_tokens, deadline
        )
        submitted.add_done_callback(
            lambda done: self._on_admission_result(service, account, done)
        )
        self._update_peak_demand(service)
        return submitted

    def withdraw(self, future: 'futures.Future[SlotResult]') -> None:
        """Abandon a submission and release its slot once granted."""
        future.add_done_callback(self._release_unused)

    def max_body_bytes(self) -> int:
        """Return the largest request body that the rules allow."""
        return self._document().rules.admission.max_body_bytes

    def expected_tokens(
        self,
        service: ids.ServiceName,
        account: ids.AccountId,
        rank: types.Rank,
        max_tokens: float,
    ) -> float:
        """Return the expected number of tokens of a request."""
        return self._admission.expected_tokens(
            service, account, rank, max_tokens
        )

    def release(
        self,
        slot: controller.Slot,
        used_tokens: float,
        completed: bool = True,
    ) -> None:
        """Return a slot, see `Controller.release`."""
        if self._admission.release(slot, used_tokens, completed):
            self._end_account_request(slot.entry.account)
        if completed:
            self.traffic.served(
                slot.service,
                slot.entry.rank,
                time.monotonic() - slot.granted_at,
            )
        self.refresh(slot.service)

    def refresh(self, service: ids.ServiceName) -> None:
        """Update the capacity of a service from the state of its workers.

        With quiet workers the controller grants one slot at a time, so this
        must also be called after each dispatch.
        """
        usable = self._workers.usable_slots(service)
        self._admission.set_capacity(service, usable.slots, usable.quiet_free)
        self._update_peak_demand(service)

    def _refresh_for_document(self) -> None:
        """Update the capacities if the document has changed.

        Otherwise a service whose workers have just become known would still
        have a capacity of 0 and refuse its requests.
        """
        document = self._document()
        if document is self._refreshed_document:
            return
        for name in document.services_by_name:
            self.refresh(ids.ServiceName(name))
        self._refreshed_document = document

    def _update_peak_demand(self, service: ids.ServiceName) -> None:
        demand = self._admission.demand(service)
        with self._lock:
            self._peak_by_service[service] = max(
                demand, self._peak_by_service.get(service, 0)
            )

    def demand(self) -> tuple[tuple[ids.ServiceName, float], ...]:
        """Return the peak demand of the last interval, in slots by service.

        This node and its peers compute shares from the same value, so that
        they agree on the shares of each worker.
        """
        with self._lock:
            return tuple(
                (service, self._demand_by_service.get(service, 0.0))
                for service in self._services()
            )

    def small_demand(self) -> tuple[tuple[ids.ServiceName, float], ...]:
        """Return the smoothed demand of small accounts, for heartbeats."""
        with self._lock:
            return tuple(self._small_demand_by_service.items())

    def snapshots(self) -> dict[ids.ServiceName, controller.Snapshot]:
        """Return admission snapshots by service, for metrics and status."""
        return {
            service: self._admission.snapshot(service)
            for service in self._services()
        }

    def close(self) -> None:
        """Stop the refresh thread and refuse queued requests."""
        self._stop.set()
        self._thread.join()
        self._admission.close()

    def _services(self) -> tuple[ids.ServiceName, ...]:
        return tuple(
            ids.ServiceName(name) for name in self._document().services_by_name
        )

    def _charge_account(
        self,
        account: ids.AccountId,
        expected_tokens: float,
        prompt_tokens: float,
        limited: bool,
    ) -> errors.Failure | None:
        document = self._document()
        if limited:
            full = limits.check_queue_limits(
                document.rules.admission,
                *self._admission.queued(),
                expected_tokens,
            )
            if full is not None:
                return full
        nodes = max(1, self._live_nodes())
        with self._lock:
            usage = self._usage_by_account.get(account, limits.Usage())
            account_limits = document.limits_by_account.get(account)
            if not limited or account_limits is None:
                taken: limits.Usage | errors.Failure = dataclasses.replace(
                    usage, open_requests=usage.open_requests + 1
                )
            else:
                taken = limits.admit(
                    usage,
                    account_limits,
                    nodes,
                    expected_tokens + prompt_tokens,
                    time.monotonic(),
                )
            if isinstance(taken, errors.Failure):
                return taken
            self._usage_by_account[account] = taken
            return None

    def _end_account_request(self, account: ids.AccountId) -> None:
        with self._lock:
            self._usage_by_account[account] = limits.release(
                self._usage_by_account.get(account, limits.Usage())
            )

    def _on_admission_result(
        self,
        service: ids.ServiceName,
        account: ids.AccountId,
        done: 'futures.Future[SlotResult]',
    ) -> None:
        if isinstance(done.result(), result.Failure):
            self._end_account_request(account)
        else:
            # Refused requests are not counted: they cause no attempt, and
            # under overload they would add more retries to the budget than
            # there are attempts.
            self._workers.count_first_attempt(service)

    def _release_unused(self, done: 'futures.Future[SlotResult]') -> None:
        match done.result():
            case result.Success(slot):
                self.release(slot, 0.0, completed=False)

    def _refresh_loop(self) -> None:
        while not self._stop.wait(REFRESH_INTERVAL_S):
            self._sample_demand()
            self._update_quiet_workers()
            for service in self._services():
                self.refresh(service)

    def _sample_demand(self) -> None:
        now = time.monotonic()
        if now - self._demand_sampled_at < DEMAND_INTERVAL_S:
            return
        self._demand_sampled_at = now
        smoothed = {
            service: isolation.smoothed_demand(
                self._small_demand_by_service.get(service, 0.0),
                self._admission.snapshot(service).small_demand,
            )
            for service in self._services()
        }
        with self._lock:
            self._small_demand_by_service = smoothed
            self._demand_by_service = {
                service: float(peak)
                for service, peak in self._peak_by_service.items()
            }
            self._peak_by_service = {}

    def _update_quiet_workers(self) -> None:
        peer_demand = self._peer_small_demand()
        max_fraction = self._document().rules.quiet_part
        for service, own in self.small_demand():
            self._workers.update_quiet_workers(
                service, own + peer_demand.get(service, 0), max_fraction
            )


def _thread_limit_reached(rank: types.Rank) -> errors.Failure:
    return errors.Failure(
        errors.FailureKind.OVERLOADED,
        errors.Step.ADMIT,
        '',
        f'too many open requests of rank {rank.name.lower()}',
        retry_after_s=RETRY_AFTER_S,
    )


def remaining_s(deadline: float) -> float:
    """Return the seconds until a monotonic deadline, at least 0."""
    return max(0.0, deadline - time.monotonic())
