"""Chooses workers for requests and counts the work sent to each."""

import dataclasses
import random
import threading
import time
from typing import Callable, Iterable, Mapping

from returns import result

from ..admission import isolation
from ..answers import generation
from ..backends import load as backend_load
from ..backends import snapshot
from ..backends import watch
from ..core import errors
from ..core import ids
from ..core import types
from ..retries import budget as budgets
from ..routing import choose as routing
from ..routing import prefix
from ..routing import shares

RETRY_AFTER_S = 1.0
# Saved at the start, so that a node with little traffic can try again too.
FIRST_RETRIES = 10.0

# Slots that each live node, this one included, could use of a service.
DemandFunction = Callable[[ids.ServiceName], Mapping[ids.NodeId, float]]
# Accounts that may use quiet workers of a service; None without contention.
SmallAccounts = Callable[[ids.ServiceName], frozenset[ids.AccountId] | None]
Dispatched = Callable[[ids.ServiceName], None]
AVAILABLE_STATES = (types.HostState.LIVE, types.HostState.SUSPECT)


@dataclasses.dataclass(frozen=True, slots=True)
class UsableSlots:
    """Slots that this node may use, and the free ones at quiet workers."""

    slots: int
    quiet_free: int


@dataclasses.dataclass(frozen=True, slots=True)
class Client:
    """Account and rank for which a worker is chosen."""

    account: ids.AccountId
    rank: types.Rank


class NodeWorkerPool:
    """Worker pool of one node; safe to use from any thread."""

    def __init__(
        self,
        node_id: ids.NodeId,
        watcher: watch.Watcher,
        demand: DemandFunction,
        rng: random.Random,
        small_accounts: SmallAccounts = lambda service: None,
    ) -> None:
        self._node_id = node_id
        self._watcher = watcher
        self._demand = demand
        self._rng = rng
        self._small_accounts = small_accounts
        self._quiet_by_service: dict[
            ids.ServiceName, frozenset[ids.WorkerId]
        ] = {}
        self._on_dispatch: Dispatched = lambda service: None
        self._lock = threading.RLock()
        self._rings_by_service: dict[ids.ServiceName, prefix.Ring] = {}
        self._caches_by_worker: dict[ids.WorkerId, prefix.CacheView] = {}
        self._failed_at_by_worker: dict[ids.WorkerId, float] = {}
        self._budgets_by_service: dict[ids.ServiceName, budgets.Budget] = {}
        # Replaced as a whole; a thread that overwrites the result of another
        # only causes one more computation.
        self._shares_by_service: dict[ids.ServiceName, shares.OwnShares] = {}

    def set_workers(self, workers: Iterable[types.Worker]) -> None:
        """Replace the workers, after a configuration change."""
        workers = tuple(workers)
        self._watcher.set_workers(workers)
        services = {worker.service for worker in workers}
        rings = {
            service: prefix.updated_ring(
                self._rings_by_service.get(service, prefix.Ring()),
                (worker.id for worker in workers if worker.service == service),
            )
            for service in services
        }
        with self._lock:
            self._rings_by_service = rings
            known = {worker.id for worker in workers}
            self._caches_by_worker = {
                worker: view
                for worker, view in self._caches_by_worker.items()
                if worker in known
            }

    def on_dispatch(self, callback: Callable[[ids.ServiceName], None]) -> None:
        """Call back after each dispatch while a service has quiet workers."""
        self._on_dispatch = callback

    def set_quiet(
        self, service: ids.ServiceName, small_demand: float, part: float
    ) -> None:
        """Choose the quiet workers of a service.

        Parameters
        ----------
        small_demand : float
            Demand of small accounts on all live nodes, in slots.
        part : float
            Largest part of the workers, from the rules.
        """
        now = time.monotonic()
        seen = self._watcher.snapshot()
        live = [
            worker.id
            for worker in seen.workers_by_id.values()
            if worker.service == service
            and seen.state_of(worker.id, now) in AVAILABLE_STATES
        ]
        count = isolation.quiet_count(small_demand, len(live), part)
        with self._lock:
            self._quiet_by_service[service] = routing.quiet_workers(
                service, live, count
            )

    def quiet(self, service: ids.ServiceName) -> frozenset[ids.WorkerId]:
        """Quiet workers of a service."""
        with self._lock:
            return self._quiet_by_service.get(service, frozenset())

    def take_cache_events(
        self, worker: ids.WorkerId, events: Iterable[prefix.CacheEvent]
    ) -> None:
        """Apply cache events of a worker."""
        with self._lock:
            view = self._caches_by_worker.get(worker, prefix.CacheView())
            self._caches_by_worker[worker] = prefix.apply_events(view, events)

    def last_cache_event(self, worker: ids.WorkerId) -> int:
        """Sequence number of the last event seen of a worker."""
        with self._lock:
            view = self._caches_by_worker.get(worker)
            return 0 if view is None else view.last_sequence

    def usable_slots(self, service: ids.ServiceName) -> UsableSlots:
        """Slots of a service that this node may use now."""
        now = time.monotonic()
        loads = self._loads(service, now)
        return UsableSlots(
            routing.usable_slots(loads.values(), now),
            routing.free_slots(loads, self.quiet(service) & loads.keys(), now),
        )

    def has_room(self, service: ids.ServiceName, client: Client) -> bool:
        """Whether `choose_for` would find a worker for a first attempt."""
        now = time.monotonic()
        loads, excluded = self._open_to(
            service, client, self._loads(service, now), frozenset(), now
        )
        return any(
            load.in_flight < load.share
            and load.state is types.HostState.LIVE
            and worker not in excluded
            for worker, load in loads.items()
        )

    def choose(
        self,
        request: generation.GenerationRequest,
        excluded: frozenset[ids.WorkerId],
    ) -> result.Result[types.Worker, errors.Failure]:
        """Choose a worker for an answer and count it as sent there."""
        blocks = prefix.block_hashes(request.prompt_key)
        return self.choose_for(
            request.service,
            request.id,
            request.expected_tokens,
            excluded,
            blocks,
            Client(request.account, request.rank),
        )

    def choose_for(
        self,
        service: ids.ServiceName,
        request: ids.RequestId,
        expected_tokens: float,
        excluded: frozenset[ids.WorkerId],
        blocks: tuple[int, ...] = (),
        client: Client | None = None,
    ) -> result.Result[types.Worker, errors.Failure]:
        """Choose a worker of a service.

        Parameters
        ----------
        blocks : tuple of int
            Hashes of the prompt's blocks, empty for calls without prompt.
        client : Client or None
            None for a request to which all workers are open.
        """
        now = time.monotonic()
        key = prefix.ring_key(blocks)
        with self._lock:
            loads = self._loads(service, now)
            if client is not None:
                loads, excluded = self._open_to(
                    service, client, loads, excluded, now
                )
            ring = self._rings_by_service.get(service, prefix.Ring())
            order = tuple(prefix.ring_order(ring, key)) if key else ()
            cached = (
                {
                    worker: prefix.cached_blocks(view, blocks)
                    for worker, view in self._caches_by_worker.items()
                }
                if blocks
                else {}
            )
            chosen = routing.choose(
                loads, order, cached, excluded, now, self._rng
            )
            if chosen is None:
                return result.Failure(_no_worker(service))
            self._watcher.request_started(chosen, request, expected_tokens)
            has_quiet = bool(self._quiet_by_service.get(service))
        if has_quiet:
            self._on_dispatch(service)
        return result.Success(self._watcher.snapshot().workers_by_id[chosen])

    def claim(
        self, request: generation.GenerationRequest, worker: types.Worker
    ) -> bool:
        """Count an answer as sent to this worker, if it takes new work."""
        seen = self._watcher.snapshot()
        if worker.id not in seen.workers_by_id:
            return False
        state = seen.state_of(worker.id, time.monotonic())
        if state in (types.HostState.LEAVING, types.HostState.GONE):
            return False
        self._watcher.request_started(
            worker.id, request.id, request.expected_tokens
        )
        return True

    def ended(
        self,
        request: generation.GenerationRequest,
        worker: types.Worker,
        reason: generation.EndReason,
    ) -> None:
        """Take an answer off its worker's count."""
        self.release(worker, request.id, reason is generation.EndReason.FAILED)

    def release(
        self, worker: types.Worker, request: ids.RequestId, failed: bool
    ) -> None:
        """Take one request off the worker's count."""
        self._watcher.request_ended(worker.id, request)
        if failed:
            self._watcher.report_failure(worker.id)
            with self._lock:
                self._failed_at_by_worker[worker.id] = time.monotonic()

    def count_first_attempt(self, service: ids.ServiceName) -> None:
        """Earn a share of a retry."""
        with self._lock:
            self._budgets_by_service[service] = budgets.deposit(
                self._budget(service)
            )

    def may_retry(self, request: generation.GenerationRequest) -> bool:
        """Take one retry from the budget."""
        return self.take_retry(request.service)

    def budget(self, service: ids.ServiceName) -> budgets.Budget:
        """Retry budget of a service."""
        with self._lock:
            return self._budget(service)

    def take_retry(self, service: ids.ServiceName) -> bool:
        """Take one retry of a service from the budget."""
        with self._lock:
            budget = self._budget(service)
            allowed = budgets.can_withdraw(budget)
            if allowed:
                budget = budgets.withdraw(budget)
            self._budgets_by_service[service] = budget
            return allowed

    def candidates(
        self, service: ids.ServiceName, tried: frozenset[ids.WorkerId]
    ) -> int:
        """Count the usable workers of a service that were not tried."""
        now = time.monotonic()
        return sum(
            routing.usable(load, now) and worker not in tried
            for worker, load in self._loads(service, now).items()
        )

    def _open_to(
        self,
        service: ids.ServiceName,
        client: Client,
        loads: dict[ids.WorkerId, routing.WorkerLoad],
        excluded: frozenset[ids.WorkerId],
        now: float,
    ) -> tuple[
        dict[ids.WorkerId, routing.WorkerLoad], frozenset[ids.WorkerId]
    ]:
        quiet = self.quiet(service) & loads.keys()
        small = self._small_accounts(service) if quiet else None
        if small is None:
            return loads, excluded
        allowed, closed = routing.eligible_workers(
            loads,
            quiet,
            isolation.may_use_quiet(client.account, client.rank, small),
            client.account in small,
            excluded,
            now,
        )
        # `choose` lets a retry, known by its excluded workers, exceed the
        # shares; closed workers must not make a retry of a first attempt.
        return {
            worker: load
            for worker, load in allowed.items()
            if worker in excluded or worker not in closed
        }, excluded

    def _budget(self, service: ids.ServiceName) -> budgets.Budget:
        return self._budgets_by_service.get(
            service, budgets.Budget(balance=FIRST_RETRIES)
        )

    def _loads(
        self, service: ids.ServiceName, now: float
    ) -> dict[ids.WorkerId, routing.WorkerLoad]:
        seen = self._watcher.snapshot()
        workers = [
            worker
            for worker in seen.workers_by_id.values()
            if worker.service == service
        ]
        own = shares.own_shares(
            self._shares_by_service.get(service, shares.OwnShares()),
            self._node_id,
            workers,
            self._demand(service),
            now,
        )
        self._shares_by_service[service] = own
        return {
            worker.id: self._load(
                seen, worker, own.slots_by_worker[worker.id], now
            )
            for worker in workers
        }

    def _load(
        self,
        seen: snapshot.Snapshot,
        worker: types.Worker,
        share: int,
        now: float,
    ) -> routing.WorkerLoad:
        known = seen.loads_by_worker[worker.id]
        state = seen.state_of(worker.id, now)
        # A suspect worker is avoided by its failure; one that was not heard
        # of yet is as good as any.
        if state is types.HostState.SUSPECT:
            state = types.HostState.LIVE
        return routing.WorkerLoad(
            worker=worker.id,
            slots=worker.slots,
            share=share,
            in_flight=known.local_in_progress,
            reported_tokens=backend_load.outstanding_tokens(known),
            reported_at=known.report.sampled_at,
            state=state,
            failed_at=self._failed_at_by_worker.get(worker.id),
        )


def _no_worker(service: ids.ServiceName) -> errors.Failure:
    return errors.Failure(
        errors.FailureKind.UNAVAILABLE,
        errors.Step.ROUTE,
        service,
        'no worker of the service takes new work',
        retry_after_s=RETRY_AFTER_S,
    )
