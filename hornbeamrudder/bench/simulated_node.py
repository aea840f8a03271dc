"""Simulated entry node that calls the product's decision functions."""

import dataclasses
import itertools
import random
from typing import AbstractSet, Iterable, Mapping, Protocol

from ..admission import estimates
from ..admission import isolation
from ..admission import queue as queues
from ..admission import state as states
from . import baselines
from ..core import errors
from ..core import ids
from ..core import types
from ..retries import budget as budgets
from ..retries import decide
from ..routing import choose
from ..routing import prefix
from . import scenario as scenarios
from . import simulated_engine

# Limit that callers state for an answer, as a factor of its median length; it
# is usually well above the actual length.
MAX_TOKENS_FACTOR = 3.0
MIN_REMAINING_TOKENS = 0.1
FIFO_ACCOUNT = ids.AccountId('all')


class Network(Protocol):
    """Interface of a node to the simulation."""

    def send(
        self,
        node: 'Node',
        worker: ids.WorkerId,
        attempt: simulated_engine.Attempt,
        now: float,
    ) -> None:
        """Send an attempt; its result is reported to the node later."""

    def true_load(self, worker: ids.WorkerId, now: float) -> float:
        """Actual outstanding tokens, for the reference policy only."""


@dataclasses.dataclass(slots=True)
class Service:
    """State of one service on a node."""

    state: states.ServiceState
    loads_by_worker: dict[ids.WorkerId, choose.WorkerLoad]
    ring: prefix.Ring
    token_estimates: estimates.TokenEstimates = estimates.TokenEstimates()
    peak_demand: int = 0
    small_demand: float = 0.0
    quiet: frozenset[ids.WorkerId] = frozenset()


class Node:
    """A simulated entry node."""

    def __init__(
        self,
        index: int,
        scenario: scenarios.Scenario,
        policy: baselines.Policy,
        workers_by_service: Mapping[str, list[ids.WorkerId]],
        network: Network,
        rng: random.Random,
    ) -> None:
        self.index = index
        self.alive = True
        self.policy = policy
        self._network = network
        self._rng = rng
        self._budget = budgets.Budget()
        self._round_robin = itertools.count()
        self._views_by_worker: dict[ids.WorkerId, prefix.CacheView] = {}
        self._requests_by_key: dict[int, simulated_engine.Request] = {}
        self._granted_by_key: dict[int, tuple[queues.Entry, float]] = {}
        floors = scenario.floors if policy.floors else (0.0, 0.0, 0.0)
        self._service_specs = {item.name: item for item in scenario.services}
        self.services = {
            name: Service(
                dataclasses.replace(
                    states.new_service(floors),
                    tokens_average=self._service_specs[name].rate(
                        self._service_specs[name].slots
                    ),
                    early_rejection=policy.early_rejection,
                ),
                {
                    worker: choose.WorkerLoad(
                        worker, self._service_specs[name].slots, share=0
                    )
                    for worker in workers
                },
                prefix.build_ring(workers),
            )
            for name, workers in workers_by_service.items()
        }

    def receive(self, request: simulated_engine.Request, now: float) -> None:
        """Receive a request from a caller."""
        request.node = self.index
        self._budget = budgets.deposit(self._budget)
        self._submit(request, now)

    def dispatch_waiting(self, name: str, now: float) -> None:
        """Dispatch queued requests of a service to its free slots."""
        service = self.services[name]
        while True:
            capacity = choose.usable_slots(
                service.loads_by_worker.values(), now
            )
            quiet_free = choose.free_slots(
                service.loads_by_worker, service.quiet, now
            )
            state = dataclasses.replace(
                service.state, capacity=capacity, quiet_free=quiet_free
            )
            service.peak_demand = max(service.peak_demand, state.demand)
            service.state, granted, refused = states.grant(
                state, now, max_grants=1
            )
            self._refuse(refused)
            for entry in granted:
                self._dispatch(service, entry, now)
            if not granted:
                return

    def on_finished(
        self,
        worker: ids.WorkerId,
        attempt: simulated_engine.Attempt,
        now: float,
    ) -> None:
        """Handle the end of an answer."""
        request = attempt.request
        request.finished_at = now
        self._release(worker, attempt, request.remaining_tokens, now)
        request.work += request.remaining_tokens
        request.remaining_tokens = 0.0
        service = self.services[request.load.service]
        service.token_estimates = estimates.observe(
            service.token_estimates,
            *self._account_and_rank(request),
            request.tokens,
        )
        self.dispatch_waiting(request.load.service, now)

    def on_failed(
        self,
        worker: ids.WorkerId,
        attempt: simulated_engine.Attempt,
        produced: float,
        failure: errors.Failure,
        now: float,
    ) -> None:
        """Handle the failure of an attempt: retry it or give up."""
        request = attempt.request
        service = self.services[request.load.service]
        self._release(worker, attempt, produced, now)
        request.remaining_tokens = max(
            MIN_REMAINING_TOKENS, request.remaining_tokens - produced
        )
        request.work += produced
        if self.policy.retry_budget:
            loads_by_worker = service.loads_by_worker
            loads_by_worker[worker] = choose.with_failure(
                loads_by_worker[worker], now
            )
        if self._should_retry(request, failure, now):
            self._submit(request, now)
        else:
            request.refused = True
            self.dispatch_waiting(request.load.service, now)

    def set_shares(
        self,
        name: str,
        share_by_worker: Mapping[ids.WorkerId, int],
        quiet: frozenset[ids.WorkerId],
        now: float,
    ) -> None:
        """Apply new slot shares and quiet workers of a service."""
        service = self.services[name]
        service.quiet = quiet
        service.loads_by_worker = {
            worker: dataclasses.replace(load, share=share_by_worker[worker])
            for worker, load in service.loads_by_worker.items()
        }
        self.dispatch_waiting(name, now)

    def set_worker_state(
        self, name: str, worker: ids.WorkerId, state: types.HostState
    ) -> None:
        """Update the state of a worker's host."""
        loads_by_worker = self.services[name].loads_by_worker
        loads_by_worker[worker] = dataclasses.replace(
            loads_by_worker[worker], state=state, failed_at=None
        )

    def on_report(
        self,
        name: str,
        worker: ids.WorkerId,
        tokens: float,
        at: float,
        events: Iterable[prefix.CacheEvent],
    ) -> None:
        """Handle a load report and its cache events."""
        loads_by_worker = self.services[name].loads_by_worker
        loads_by_worker[worker] = choose.with_report(
            loads_by_worker[worker], tokens, at
        )
        self._views_by_worker[worker] = prefix.apply_events(
            self._views_by_worker.get(worker, prefix.CacheView()), events
        )

    def take_peak_demand(self, name: str) -> int:
        """Return the peak demand of a service since the last heartbeat.

        Resets the peak and updates the smoothed demand of small accounts.
        """
        service = self.services[name]
        peak = service.peak_demand
        service.peak_demand = service.state.demand
        service.small_demand = isolation.smoothed_demand(
            service.small_demand, service.state.small_demand
        )
        return peak

    def stop(self) -> list[simulated_engine.Request]:
        """Stop the node and return its requests in progress."""
        self.alive = False
        return list(self._requests_by_key.values())

    def _account_and_rank(
        self, request: simulated_engine.Request
    ) -> tuple[ids.AccountId, types.Rank]:
        return ids.AccountId(request.load.account), request.load.rank_value

    def _entry(
        self, request: simulated_engine.Request, now: float
    ) -> queues.Entry:
        account, rank = self._account_and_rank(request)
        return states.new_entry(
            self.services[request.load.service].state,
            request.key,
            rank if self.policy.ranks else types.Rank.URGENT,
            account if self.policy.fair else FIFO_ACCOUNT,
            self._expected_tokens(request),
            request.deadline,
            now,
        )

    def _expected_tokens(self, request: simulated_engine.Request) -> float:
        account, rank = self._account_and_rank(request)
        produced = request.tokens - request.remaining_tokens
        limit = request.load.tokens * MAX_TOKENS_FACTOR
        expected = estimates.expected_tokens(
            self.services[request.load.service].token_estimates,
            account,
            rank,
            limit,
        )
        return max(1.0, expected - produced)

    def _submit(self, request: simulated_engine.Request, now: float) -> None:
        entry = self._entry(request, now)
        service = self.services[request.load.service]
        self._requests_by_key[request.key] = request
        service.state, refused = states.submit(service.state, entry, now)
        self._refuse(() if refused is None else (refused,))
        self.dispatch_waiting(request.load.service, now)

    def _refuse(self, refused: Iterable[states.Refused]) -> None:
        for item in refused:
            self._requests_by_key.pop(item.entry.key).refused = True

    def _dispatch(
        self, service: Service, entry: queues.Entry, now: float
    ) -> None:
        request = self._requests_by_key[entry.key]
        worker = self._choose(service, request, now)
        if worker is None:
            service.state = states.release(
                service.state, entry, 0.0, 0.0, completed=False
            )
            self._requests_by_key.pop(entry.key).refused = True
            return
        loads_by_worker = service.loads_by_worker
        loads_by_worker[worker] = choose.with_request_sent(
            loads_by_worker[worker], entry.expected_tokens, now
        )
        self._granted_by_key[entry.key] = (entry, now)
        request.tried_workers.append(worker)
        request.attempts += 1
        attempt = simulated_engine.Attempt(request, entry.expected_tokens, now)
        self._network.send(self, worker, attempt, now)

    def _release(
        self,
        worker: ids.WorkerId,
        attempt: simulated_engine.Attempt,
        used: float,
        now: float,
    ) -> None:
        service = self.services[attempt.request.load.service]
        entry, granted_at = self._granted_by_key.pop(attempt.request.key)
        service.state = states.release(
            service.state,
            entry,
            used,
            now - granted_at,
            completed=attempt.request.finished_at is not None,
        )
        service.loads_by_worker[worker] = choose.with_request_ended(
            service.loads_by_worker[worker]
        )
        del self._requests_by_key[attempt.request.key]

    def _should_retry(
        self,
        request: simulated_engine.Request,
        failure: errors.Failure,
        now: float,
    ) -> bool:
        latest_start = self._entry(request, now).latest_start
        if not self.policy.retry_budget:
            return (
                request.attempts < self.policy.max_attempts
                and now <= latest_start
            )
        loads_by_worker = self.services[request.load.service].loads_by_worker
        candidates = sum(
            1
            for worker, load in loads_by_worker.items()
            if worker not in request.tried_workers and choose.usable(load, now)
        )
        decision = decide.decide(
            decide.FailedAttempt(
                failure,
                request.load.idempotent,
                tuple(request.tried_workers),
                latest_start,
            ),
            now,
            self._budget,
            candidates,
        )
        match decision:
            case decide.Retry(budget=budget):
                self._budget = budget
                return True
        return False

    def _choose(
        self, service: Service, request: simulated_engine.Request, now: float
    ) -> ids.WorkerId | None:
        loads_by_worker: Mapping[ids.WorkerId, choose.WorkerLoad] = (
            service.loads_by_worker
        )
        excluded: AbstractSet[ids.WorkerId] = (
            frozenset(request.tried_workers)
            if self.policy.retry_budget
            else frozenset()
        )
        small = service.state.small_accounts if service.quiet else None
        if small is not None:
            account, rank = self._account_and_rank(request)
            loads_by_worker, excluded = choose.eligible_workers(
                loads_by_worker,
                service.quiet,
                isolation.may_use_quiet(account, rank, small),
                account in small,
                excluded,
                now,
            )
        free = [
            load
            for load in loads_by_worker.values()
            if load.state is types.HostState.LIVE
            and load.worker not in excluded
            and load.in_flight < load.share
        ]
        match self.policy.routing:
            case baselines.Routing.ROUND_ROBIN if free:
                return free[next(self._round_robin) % len(free)].worker
            case baselines.Routing.LEAST_REPORTED if free:
                return min(free, key=lambda load: load.reported_tokens).worker
            case baselines.Routing.TRUE_LOAD:
                loads_by_worker = {
                    worker: choose.with_report(
                        load, self._network.true_load(worker, now), now
                    )
                    for worker, load in loads_by_worker.items()
                }
        order: Iterable[ids.WorkerId] = ()
        cached = {}
        if (
            request.blocks
            and self.policy.routing is not baselines.Routing.NO_AFFINITY
        ):
            order = prefix.ring_order(
                service.ring, prefix.ring_key(request.blocks)
            )
            cached = {
                worker: prefix.cached_blocks(view, request.blocks)
                for worker, view in self._views_by_worker.items()
                if worker in loads_by_worker
            }
        return choose.choose(
            loads_by_worker, order, cached, excluded, now, self._rng
        )
