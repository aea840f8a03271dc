"""Discrete-event run of several nodes' decisions against fake workers.

Only what the decisions depend on is modelled: token rates, prefix caches,
lagging reports, heartbeats and faults. Network delay (about 1 ms) is left
out, because it is small against the latencies that are compared.
"""

import dataclasses
import heapq
import itertools
import random
from typing import Callable, Iterator

from ..admission import isolation
from . import baselines
from ..core import errors
from ..core import hashing
from ..core import ids
from ..core import types
from ..routing import choose
from ..routing import prefix
from ..routing import shares
from . import scenario as scenarios
from . import virtual_engine
from . import virtual_node

HEARTBEAT_INTERVAL_S = 0.5
NOTICE_SPREAD_S = 0.5
FAILURE_NOTICED_AFTER_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """What a run leaves for the figures.

    Attributes
    ----------
    attempt_times : tuple of float
        Start of every backend attempt, in seconds.
    imbalance : tuple of float
        Largest by mean load of the live workers of a service, by sample.
    hit_ratio : float
        Part of the prefix look-ups that were hits.
    """

    scenario: scenarios.Scenario
    requests: tuple[virtual_engine.Request, ...]
    attempt_times: tuple[float, ...]
    imbalance: tuple[float, ...]
    hit_ratio: float


class Run:
    """One run; `execute` returns its record."""

    def __init__(
        self, scenario: scenarios.Scenario, policy: baselines.Policy, seed: int
    ) -> None:
        self._scenario = scenario
        self._policy = policy
        self._seed = seed
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._balancer_rng = random.Random(f'{seed}/balancer')
        self._event_rng = random.Random(f'{seed}/events')
        self._workers_by_service = {
            service.name: [
                ids.WorkerId(f'{service.name}-{number}')
                for number in range(service.workers)
            ]
            for service in scenario.services
        }
        self._engines_by_worker = {
            worker: virtual_engine.Engine(worker, service)
            for service in scenario.services
            for worker in self._workers_by_service[service.name]
        }
        self._nodes = [
            virtual_node.Node(
                index,
                scenario,
                policy,
                self._workers_by_service,
                self,
                random.Random(f'{seed}/node/{index}'),
            )
            for index in range(scenario.nodes)
        ]
        self._known_nodes = set(range(scenario.nodes))
        self._spread = scenario.balancer_spread or (1.0,) * scenario.nodes
        self._owners: dict[
            virtual_engine.Attempt, tuple[virtual_node.Node, ids.WorkerId]
        ] = {}
        self._requests: list[virtual_engine.Request] = []
        self._attempt_times: list[float] = []
        self._imbalance: list[float] = []

    def execute(self) -> Record:
        """Run until every request has ended."""
        scenario = self._scenario
        for number, load in enumerate(scenario.loads):
            self._next_arrival(self._arrivals(number, load))
        for fault in scenario.faults:
            match fault:
                case scenarios.LoseWorkers():
                    self._plan_lost_workers(fault)
                case scenarios.LoseNode():
                    self._plan_lost_node(fault)
        self._heartbeat(0.0)
        self._report(0.0)
        while self._events:
            now, _, act = heapq.heappop(self._events)
            act(now)
        engines = self._engines_by_worker.values()
        return Record(
            scenario,
            tuple(self._requests),
            tuple(self._attempt_times),
            tuple(self._imbalance),
            sum(engine.hits for engine in engines)
            / max(1, sum(engine.lookups for engine in engines)),
        )

    def send(
        self,
        node: virtual_node.Node,
        worker: ids.WorkerId,
        attempt: virtual_engine.Attempt,
        now: float,
    ) -> None:
        """Deliver an attempt to a worker."""
        self._attempt_times.append(now)
        engine = self._engines_by_worker[worker]
        self._owners[attempt] = (node, worker)
        if not engine.alive:
            failure = errors.Failure(
                errors.FailureKind.NOT_CONNECTED,
                errors.Step.DISPATCH,
                worker,
                'connection refused',
            )
            self._fail(attempt, 0.0, failure, now)
            return
        engine.add(attempt, now)
        self._schedule(engine, now)

    def true_load(self, worker: ids.WorkerId, now: float) -> float:
        """Outstanding tokens of a worker."""
        return self._engines_by_worker[worker].true_load(now)

    def _at(self, time: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (time, next(self._order), act))

    def _in_progress(self, now: float) -> bool:
        return now < self._scenario.duration_s or bool(self._owners)

    def _arrivals(
        self, number: int, load: scenarios.Load
    ) -> Iterator[virtual_engine.Request]:
        rng = random.Random(f'{self._seed}/{load.account}/{number}')
        service = next(
            item
            for item in self._scenario.services
            if item.name == load.service
        )
        rate = load.request_rate(service)
        blocks = [
            hashing.stable_hash(load.account, load.rank, str(index))
            for index in range(load.prefixes)
        ]
        popularity = [1 / (index + 1) for index in range(load.prefixes)]
        now = load.from_s
        while True:
            now += rng.expovariate(rate)
            if now >= min(load.to_s, self._scenario.duration_s):
                return
            tokens = min(
                load.tokens * rng.lognormvariate(0, load.tokens_spread),
                load.tokens * virtual_node.MAX_TOKENS_FACTOR,
            )
            used = rng.choices(blocks, popularity) if blocks else []
            yield virtual_engine.Request(
                next(self._order), load, now, tokens, tuple(used), tokens
            )

    def _next_arrival(
        self, arrivals: Iterator[virtual_engine.Request]
    ) -> None:
        request = next(arrivals, None)
        if request is None:
            return
        arrived = request

        def act(now: float) -> None:
            self._requests.append(arrived)
            self._deliver(arrived, now)
            self._next_arrival(arrivals)

        self._at(arrived.arrived_at, act)

    def _deliver(self, request: virtual_engine.Request, now: float) -> None:
        indices = sorted(self._known_nodes)
        index = self._balancer_rng.choices(
            indices, [self._spread[index] for index in indices]
        )[0]
        if self._nodes[index].alive:
            self._nodes[index].arrive(request, now)
        else:
            self._try_later(request, now)

    def _try_later(self, request: virtual_engine.Request, now: float) -> None:
        pause_s = max(
            fault.callers_retry_after_s
            for fault in self._scenario.faults
            if isinstance(fault, scenarios.LoseNode)
        )
        self._at(now + pause_s, lambda then: self._deliver(request, then))

    def _schedule(self, engine: virtual_engine.Engine, now: float) -> None:
        engine.version += 1
        version = engine.version
        time = engine.next_event_at(now)
        if time is not None:
            self._at(time, lambda then: self._collect(engine, version, then))

    def _collect(
        self, engine: virtual_engine.Engine, version: int, now: float
    ) -> None:
        if version != engine.version:
            return
        finished = engine.collect(now)
        self._schedule(engine, now)
        for attempt in finished:
            node, worker = self._owners.pop(attempt)
            node.finished(worker, attempt, now)

    def _fail(
        self,
        attempt: virtual_engine.Attempt,
        produced: float,
        failure: errors.Failure,
        now: float,
    ) -> None:
        def act(then: float) -> None:
            owner = self._owners.pop(attempt, None)
            if owner is not None:
                node, worker = owner
                node.failed(worker, attempt, produced, failure, then)

        self._at(now + FAILURE_NOTICED_AFTER_S, act)

    def _heartbeat(self, now: float) -> None:
        for service in self._scenario.services:
            # Peers learn the demand with the next heartbeat.
            delay_s = HEARTBEAT_INTERVAL_S if now > 0 else 0.0
            self._share_slots(service, now, delay_s)
        if self._in_progress(now):
            self._at(now + HEARTBEAT_INTERVAL_S, self._heartbeat)

    def _share_slots(
        self, service: scenarios.Service, now: float, delay_s: float
    ) -> None:
        known = sorted(self._known_nodes)
        demand_by_node = {
            ids.NodeId(str(index)): (
                self._nodes[index].demand(service.name)
                if self._policy.shares is baselines.Shares.DEMAND
                else 1
            )
            for index in known
        }
        workers = self._workers_by_service[service.name]
        if self._policy.shares is baselines.Shares.NONE:
            share_by_node_by_worker = {
                worker: dict.fromkeys(demand_by_node, service.slots)
                for worker in workers
            }
        else:
            share_by_node_by_worker = {
                worker: shares.worker_shares(
                    worker,
                    service.slots,
                    demand_by_node,
                    service.slots * len(workers),
                )
                for worker in workers
            }

        quiet = self._quiet_workers(service, known)

        def apply(then: float) -> None:
            for index in known:
                name = ids.NodeId(str(index))
                if self._nodes[index].alive:
                    self._nodes[index].set_shares(
                        service.name,
                        {
                            worker: share_by_node_by_worker[worker][name]
                            for worker in workers
                        },
                        quiet,
                        then,
                    )

        self._at(now + delay_s, apply)

    def _quiet_workers(
        self, service: scenarios.Service, known: list[int]
    ) -> frozenset[ids.WorkerId]:
        if not self._policy.quiet:
            return frozenset()
        live = [
            worker
            for worker in self._workers_by_service[service.name]
            if self._engines_by_worker[worker].alive
        ]
        count = isolation.quiet_count(
            sum(
                self._nodes[index].services[service.name].small_demand
                for index in known
            ),
            len(live),
            self._scenario.quiet_part,
        )
        name = ids.ServiceName(service.name)
        return choose.quiet_workers(name, live, count)

    def _report(self, now: float) -> None:
        for service in self._scenario.services:
            loads = []
            for worker in self._workers_by_service[service.name]:
                engine = self._engines_by_worker[worker]
                if engine.alive:
                    loads.append(engine.true_load(now))
                    self._publish(service.name, engine, now)
            if (
                self._scenario.warm_up_s <= now < self._scenario.duration_s
                and sum(loads) > 0
            ):
                self._imbalance.append(max(loads) * len(loads) / sum(loads))
        if self._in_progress(now):
            self._at(now + self._scenario.report_interval_s, self._report)

    def _publish(
        self, service: str, engine: virtual_engine.Engine, now: float
    ) -> None:
        tokens = engine.expected_load(now)
        events, engine.events = engine.events, []
        kept: list[list[prefix.CacheEvent]] = [
            [
                event
                for event in events
                if self._event_rng.random() >= self._scenario.event_loss
            ]
            for _ in self._nodes
        ]

        def act(then: float) -> None:
            for node, node_events in zip(self._nodes, kept):
                node.report(service, engine.worker, tokens, now, node_events)

        self._at(now + self._scenario.report_lag_s, act)

    def _plan_lost_workers(self, fault: scenarios.LoseWorkers) -> None:
        workers = self._workers_by_service[fault.service]
        rng = random.Random(f'{self._seed}/wave')
        lost = rng.sample(workers, round(fault.part * len(workers)))
        lost_at = fault.at_s + fault.notice_s

        def tell(time: float, state: types.HostState) -> None:
            def act(then: float) -> None:
                for node, worker in itertools.product(self._nodes, lost):
                    node.set_worker_state(fault.service, worker, state)

            self._at(time, act)

        def lose(now: float) -> None:
            for worker in lost:
                self._stop_engine(self._engines_by_worker[worker], now)

        def replace(now: float) -> None:
            for worker in lost:
                self._engines_by_worker[worker].alive = True

        if fault.notice_s > 0:
            tell(fault.at_s + NOTICE_SPREAD_S, types.HostState.LEAVING)
        tell(lost_at + fault.detect_s, types.HostState.GONE)
        self._at(lost_at, lose)
        replaced_at = lost_at + fault.replaced_after_s
        if replaced_at < self._scenario.duration_s:
            self._at(replaced_at, replace)
            tell(replaced_at, types.HostState.LIVE)

    def _stop_engine(self, engine: virtual_engine.Engine, now: float) -> None:
        self._collect(engine, engine.version, now)
        produced = {
            attempt: engine.produced(attempt)
            for attempt, (_, worker) in self._owners.items()
            if worker == engine.worker
        }
        engine.version += 1
        engine.stop(now)
        for attempt, tokens in produced.items():
            failure = errors.Failure(
                errors.FailureKind.INTERRUPTED,
                errors.Step.READ_ANSWER,
                engine.worker,
                'connection reset',
                types.Outcome.UNKNOWN,
            )
            self._fail(attempt, tokens, failure, now)

    def _plan_lost_node(self, fault: scenarios.LoseNode) -> None:
        node = self._nodes[fault.node]

        def lose(now: float) -> None:
            requests = node.stop()
            for attempt, (owner, worker) in list(self._owners.items()):
                if owner is node:
                    del self._owners[attempt]
                    engine = self._engines_by_worker[worker]
                    engine.remove(attempt, now)
                    self._schedule(engine, now)
            for request in requests:
                request.tried.clear()
                request.left = request.tokens
                self._try_later(request, now)

        def detect(now: float) -> None:
            self._known_nodes.discard(fault.node)
            for service in self._scenario.services:
                self._share_slots(service, now, delay_s=0.0)

        self._at(fault.at_s, lose)
        self._at(fault.at_s + fault.detect_s, detect)
