"""Worker selection of one node, with counts of requests in progress."""

import dataclasses
import random
import threading
import time
from typing import Callable, Iterable, Mapping

from returns import result

from ..admission import isolation
from ..answers import generation_types
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
# Lets a node retry before first attempts have filled the retry budget.
INITIAL_RETRY_BALANCE = 10.0

# Returns the demand for a service, in slots, of each live node and this one.
DemandFunction = Callable[[ids.ServiceName], Mapping[ids.NodeId, float]]
# Returns the small accounts of a service, which may use its quiet workers;
# None without contention.
SmallAccounts = Callable[[ids.ServiceName], frozenset[ids.AccountId] | None]
DispatchCallback = Callable[[ids.ServiceName], None]
AVAILABLE_STATES = (types.HostState.LIVE, types.HostState.SUSPECT)


@dataclasses.dataclass(frozen=True, slots=True)
class UsableSlots:
    """Slots that this node may use, and free slots of quiet workers."""

    slots: int
    quiet_free: int


@dataclasses.dataclass(frozen=True, slots=True)
class Requester:
    """Account and rank on whose behalf a worker is chosen."""

    account: ids.AccountId
    rank: types.Rank


class NodeWorkerPool:
    """Worker pool of one node; thread-safe."""

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
        self._on_dispatch: DispatchCallback = lambda service: None
        self._lock = threading.RLock()
        self._rings_by_service: dict[ids.ServiceName, prefix.Ring] = {}
        self._caches_by_worker: dict[ids.WorkerId, prefix.CacheView] = {}
        self._failed_at_by_worker: dict[ids.WorkerId, float] = {}
        self._budgets_by_service: dict[ids.ServiceName, budgets.Budget] = {}
        # Values are immutable and only a cache: a lost update between threads
        # costs one more computation.
        self._shares_by_service: dict[ids.ServiceName, shares.OwnShares] = {}

    def set_workers(self, workers: Iterable[types.Worker]) -> None:
        """Replace the workers after a configuration change."""
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
            worker_ids = {worker.id for worker in workers}
            self._caches_by_worker = {
                worker: view
                for worker, view in self._caches_by_worker.items()
                if worker in worker_ids
            }

    def on_dispatch(self, callback: Callable[[ids.ServiceName], None]) -> None:
        """Set a callback for each dispatch to a service with quiet workers."""
        self._on_dispatch = callback

    def update_quiet_workers(
        self,
        service: ids.ServiceName,
        small_demand: float,
        max_fraction: float,
    ) -> None:
        """Recompute the quiet workers of a service.

        Parameters
        ----------
        small_demand : float
            Demand of small accounts over all live nodes, in slots.
        max_fraction : float
            Maximum fraction of the workers, from the rules.
        """
        now = time.monotonic()
        backends = self._watcher.snapshot()
        live = [
            worker.id
            for worker in backends.workers_by_id.values()
            if worker.service == service
            and backends.state_of(worker.id, now) in AVAILABLE_STATES
        ]
        count = isolation.quiet_count(small_demand, len(live), max_fraction)
        with self._lock:
            self._quiet_by_service[service] = routing.quiet_workers(
                service, live, count
            )

    def quiet_workers(
        self, service: ids.ServiceName
    ) -> frozenset[ids.WorkerId]:
        """Return the quiet workers of a service."""
        with self._lock:
            return self._quiet_by_service.get(service, frozenset())

    def apply_cache_events(
        self, worker: ids.WorkerId, events: Iterable[prefix.CacheEvent]
    ) -> None:
        """Update the cache view of a worker."""
        with self._lock:
            view = self._caches_by_worker.get(worker, prefix.CacheView())
            self._caches_by_worker[worker] = prefix.apply_events(view, events)

    def last_cache_event_number(self, worker: ids.WorkerId) -> int:
        """Return the number of a worker's last cache event, 0 for none."""
        with self._lock:
            view = self._caches_by_worker.get(worker)
            return 0 if view is None else view.last_sequence

    def usable_slots(self, service: ids.ServiceName) -> UsableSlots:
        """Return the slots of a service that this node may use now."""
        now = time.monotonic()
        loads = self._loads(service, now)
        return UsableSlots(
            routing.usable_slots(loads.values(), now),
            routing.free_slots(
                loads, self.quiet_workers(service) & loads.keys(), now
            ),
        )

    def can_dispatch(
        self, service: ids.ServiceName, requester: Requester
    ) -> bool:
        """Return whether `choose_for` would accept a first attempt."""
        now = time.monotonic()
        loads, excluded = self._eligible_workers(
            service, requester, self._loads(service, now), frozenset(), now
        )
        return any(
            load.in_flight < load.share
            and load.state is types.HostState.LIVE
            and worker not in excluded
            for worker, load in loads.items()
        )

    def choose(
        self,
        request: generation_types.GenerationRequest,
        excluded: frozenset[ids.WorkerId],
    ) -> result.Result[types.Worker, errors.Failure]:
        """Choose a worker for a generation request and count it there."""
        blocks = prefix.block_hashes(request.prompt_key)
        return self.choose_for(
            request.service,
            request.id,
            request.expected_tokens,
            excluded,
            blocks,
            Requester(request.account, request.rank),
        )

    def choose_for(
        self,
        service: ids.ServiceName,
        request: ids.RequestId,
        expected_tokens: float,
        excluded: frozenset[ids.WorkerId],
        blocks: tuple[int, ...] = (),
        requester: Requester | None = None,
        may_exceed_share: bool = False,
    ) -> result.Result[types.Worker, errors.Failure]:
        """Choose a worker of a service and count the request there.

        Parameters
        ----------
        blocks : tuple of int
            Hashes of the prompt's blocks; empty for calls without a prompt.
        requester : Requester or None
            None if the request may use any worker.
        may_exceed_share : bool
            See `routing.choose`.
        """
        now = time.monotonic()
        key = prefix.ring_key(blocks)
        with self._lock:
            loads = self._loads(service, now)
            if requester is not None:
                loads, excluded = self._eligible_workers(
                    service, requester, loads, excluded, now
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
                loads,
                order,
                cached,
                excluded,
                now,
                self._rng,
                may_exceed_share,
            )
            if chosen is None:
                return result.Failure(_no_worker(service))
            self._watcher.request_started(chosen, request, expected_tokens)
            has_quiet = bool(self._quiet_by_service.get(service))
        if has_quiet:
            self._on_dispatch(service)
        return result.Success(self._watcher.snapshot().workers_by_id[chosen])

    def claim(
        self, request: generation_types.GenerationRequest, worker: types.Worker
    ) -> bool:
        """Count a request at this worker, if it accepts new requests."""
        backends = self._watcher.snapshot()
        if worker.id not in backends.workers_by_id:
            return False
        state = backends.state_of(worker.id, time.monotonic())
        if state in (types.HostState.LEAVING, types.HostState.GONE):
            return False
        self._watcher.request_started(
            worker.id, request.id, request.expected_tokens
        )
        return True

    def ended(
        self,
        request: generation_types.GenerationRequest,
        worker: types.Worker,
        reason: generation_types.EndReason,
    ) -> None:
        """Remove a request from its worker's count."""
        self.release(
            worker, request.id, reason is generation_types.EndReason.FAILED
        )

    def release(
        self, worker: types.Worker, request: ids.RequestId, failed: bool
    ) -> None:
        """Remove a request from the worker's count; a failure is recorded."""
        self._watcher.request_ended(worker.id, request)
        if failed:
            self._watcher.report_failure(worker.id)
            with self._lock:
                self._failed_at_by_worker[worker.id] = time.monotonic()

    def count_first_attempt(self, service: ids.ServiceName) -> None:
        """Deposit a fraction of a retry in the budget of a service."""
        with self._lock:
            self._budgets_by_service[service] = budgets.deposit(
                self._budget(service)
            )

    def may_retry(self, request: generation_types.GenerationRequest) -> bool:
        """Withdraw one retry from the budget; False if it is empty."""
        return self.consume_retry(request.service)

    def budget(self, service: ids.ServiceName) -> budgets.Budget:
        """Return the retry budget of a service."""
        with self._lock:
            return self._budget(service)

    def consume_retry(self, service: ids.ServiceName) -> bool:
        """Withdraw one retry of a service; False if the budget is empty."""
        with self._lock:
            budget = self._budget(service)
            allowed = budgets.can_withdraw(budget)
            if allowed:
                budget = budgets.withdraw(budget)
            self._budgets_by_service[service] = budget
            return allowed

    def count_candidates(
        self, service: ids.ServiceName, tried: frozenset[ids.WorkerId]
    ) -> int:
        """Return the number of usable workers that have not been tried."""
        now = time.monotonic()
        return sum(
            routing.usable(load, now) and worker not in tried
            for worker, load in self._loads(service, now).items()
        )

    def _eligible_workers(
        self,
        service: ids.ServiceName,
        requester: Requester,
        loads: dict[ids.WorkerId, routing.WorkerLoad],
        excluded: frozenset[ids.WorkerId],
        now: float,
    ) -> tuple[
        dict[ids.WorkerId, routing.WorkerLoad], frozenset[ids.WorkerId]
    ]:
        quiet_workers = self.quiet_workers(service) & loads.keys()
        small = self._small_accounts(service) if quiet_workers else None
        if small is None:
            return loads, excluded
        allowed, ineligible = routing.eligible_workers(
            loads,
            quiet_workers,
            isolation.may_use_quiet(requester.account, requester.rank, small),
            requester.account in small,
            excluded,
            now,
        )
        # `routing.choose` treats a request with excluded workers as a retry,
        # which may exceed the shares. Ineligible workers are therefore removed
        # instead of excluded, so that a first attempt is not seen as a retry.
        return {
            worker: load
            for worker, load in allowed.items()
            if worker in excluded or worker not in ineligible
        }, excluded

    def _budget(self, service: ids.ServiceName) -> budgets.Budget:
        return self._budgets_by_service.get(
            service, budgets.Budget(balance=INITIAL_RETRY_BALANCE)
        )

    def _loads(
        self, service: ids.ServiceName, now: float
    ) -> dict[ids.WorkerId, routing.WorkerLoad]:
        backends = self._watcher.snapshot()
        workers = [
            worker
            for worker in backends.workers_by_id.values()
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
                backends, worker, own.slots_by_worker[worker.id], now
            )
            for worker in workers
        }

    def _load(
        self,
        backends: snapshot.Snapshot,
        worker: types.Worker,
        share: int,
        now: float,
    ) -> routing.WorkerLoad:
        own_load = backends.loads_by_worker[worker.id]
        state = backends.state_of(worker.id, now)
        # A worker that is suspect because of a failure is avoided through
        # `failed_at`; one that has not reported yet is treated as live.
        if state is types.HostState.SUSPECT:
            state = types.HostState.LIVE
        return routing.WorkerLoad(
            worker=worker.id,
            slots=worker.slots,
            share=share,
            in_flight=own_load.local_in_progress,
            reported_tokens=backend_load.outstanding_tokens(own_load),
            reported_at=own_load.report.sampled_at,
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
