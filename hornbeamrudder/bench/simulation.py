"""Discrete-event simulation of several nodes and their workers.

Models only the inputs of the nodes' decisions: token rates, prefix caches,
delayed load reports, heartbeats and faults. Network latency (about 1 ms) is
not modelled, because it is small compared with the measured latencies.
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
from . import simulated_engine
from . import simulated_node

HEARTBEAT_INTERVAL_S = 0.5
NOTICE_PROPAGATION_S = 0.5
FAILURE_DETECTION_DELAY_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class SimulationRecord:
    """Result of a simulation, from which figures are calculated.

    Attributes
    ----------
    attempt_times : tuple of float
        Start time of every backend attempt, in seconds.
    imbalance : tuple of float
        Ratio of maximum to mean load of the live workers of a service, one
        value per sample.
    hit_ratio : float
        Fraction of the prefix cache look-ups that were hits.
    """

    scenario: scenarios.Scenario
    requests: tuple[simulated_engine.Request, ...]
    attempt_times: tuple[float, ...]
    imbalance: tuple[float, ...]
    hit_ratio: float


class Simulation:
    """One simulation run."""

    def __init__(
        self, scenario: scenarios.Scenario, policy: baselines.Policy, seed: int
    ) -> None:
        self._scenario = scenario
        self._policy = policy
        self._seed = seed
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()
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
            worker: simulated_engine.Engine(worker, service)
            for service in scenario.services
            for worker in self._workers_by_service[service.name]
        }
        self._nodes = [
            simulated_node.Node(
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
        self._node_weights = (
            scenario.balancer_spread or (1.0,) * scenario.nodes
        )
        self._owner_by_attempt: dict[
            simulated_engine.Attempt, tuple[simulated_node.Node, ids.WorkerId]
        ] = {}
        self._requests: list[simulated_engine.Request] = []
        self._attempt_times: list[float] = []
        self._imbalance: list[float] = []

    def execute(self) -> SimulationRecord:
        """Run until all events are processed and return the record."""
        scenario = self._scenario
        for number, load in enumerate(scenario.loads):
            self._schedule_arrival(self._arrivals(number, load))
        for fault in scenario.faults:
            match fault:
                case scenarios.WorkerLoss():
                    self._schedule_worker_loss(fault)
                case scenarios.NodeLoss():
                    self._schedule_node_loss(fault)
        self._heartbeat(0.0)
        self._report(0.0)
        while self._events:
            now, _, callback = heapq.heappop(self._events)
            callback(now)
        engines = self._engines_by_worker.values()
        return SimulationRecord(
            scenario,
            tuple(self._requests),
            tuple(self._attempt_times),
            tuple(self._imbalance),
            sum(engine.hits for engine in engines)
            / max(1, sum(engine.lookups for engine in engines)),
        )

    def send(
        self,
        node: simulated_node.Node,
        worker: ids.WorkerId,
        attempt: simulated_engine.Attempt,
        now: float,
    ) -> None:
        """Send an attempt to a worker."""
        self._attempt_times.append(now)
        engine = self._engines_by_worker[worker]
        self._owner_by_attempt[attempt] = (node, worker)
        if not engine.alive:
            failure = errors.Failure(
                errors.FailureKind.NOT_CONNECTED,
                errors.Step.DISPATCH,
                worker,
                'connection refused',
            )
            self._schedule_failure(attempt, 0.0, failure, now)
            return
        engine.add(attempt, now)
        self._schedule_engine(engine, now)

    def true_load(self, worker: ids.WorkerId, now: float) -> float:
        """Tokens that a worker still has to generate."""
        return self._engines_by_worker[worker].true_load(now)

    def _schedule_at(
        self, time: float, callback: Callable[[float], None]
    ) -> None:
        heapq.heappush(self._events, (time, next(self._sequence), callback))

    def _in_progress(self, now: float) -> bool:
        return now < self._scenario.duration_s or bool(self._owner_by_attempt)

    def _arrivals(
        self, number: int, load: scenarios.Load
    ) -> Iterator[simulated_engine.Request]:
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
                load.tokens * simulated_node.MAX_TOKENS_FACTOR,
            )
            request_blocks = rng.choices(blocks, popularity) if blocks else []
            yield simulated_engine.Request(
                next(self._sequence),
                load,
                now,
                tokens,
                tuple(request_blocks),
                tokens,
            )

    def _schedule_arrival(
        self, arrivals: Iterator[simulated_engine.Request]
    ) -> None:
        request = next(arrivals, None)
        if request is None:
            return
        arrived = request

        def callback(now: float) -> None:
            self._requests.append(arrived)
            self._deliver(arrived, now)
            self._schedule_arrival(arrivals)

        self._schedule_at(arrived.arrived_at, callback)

    def _deliver(self, request: simulated_engine.Request, now: float) -> None:
        indices = sorted(self._known_nodes)
        index = self._balancer_rng.choices(
            indices, [self._node_weights[index] for index in indices]
        )[0]
        if self._nodes[index].alive:
            self._nodes[index].receive(request, now)
        else:
            self._retry_later(request, now)

    def _retry_later(
        self, request: simulated_engine.Request, now: float
    ) -> None:
        delay_s = max(
            fault.callers_retry_after_s
            for fault in self._scenario.faults
            if isinstance(fault, scenarios.NodeLoss)
        )
        self._schedule_at(
            now + delay_s,
            lambda event_time: self._deliver(request, event_time),
        )

    def _schedule_engine(
        self, engine: simulated_engine.Engine, now: float
    ) -> None:
        engine.schedule_version += 1
        schedule_version = engine.schedule_version
        time = engine.next_event_at(now)
        if time is not None:
            self._schedule_at(
                time,
                lambda event_time: self._complete_attempts(
                    engine, schedule_version, event_time
                ),
            )

    def _complete_attempts(
        self,
        engine: simulated_engine.Engine,
        schedule_version: int,
        now: float,
    ) -> None:
        if schedule_version != engine.schedule_version:
            return
        finished = engine.take_finished(now)
        self._schedule_engine(engine, now)
        for attempt in finished:
            node, worker = self._owner_by_attempt.pop(attempt)
            node.on_finished(worker, attempt, now)

    def _schedule_failure(
        self,
        attempt: simulated_engine.Attempt,
        produced: float,
        failure: errors.Failure,
        now: float,
    ) -> None:
        def callback(event_time: float) -> None:
            owner = self._owner_by_attempt.pop(attempt, None)
            if owner is not None:
                node, worker = owner
                node.on_failed(worker, attempt, produced, failure, event_time)

        self._schedule_at(now + FAILURE_DETECTION_DELAY_S, callback)

    def _heartbeat(self, now: float) -> None:
        for service in self._scenario.services:
            # Peers receive the demand with the next heartbeat.
            delay_s = HEARTBEAT_INTERVAL_S if now > 0 else 0.0
            self._share_slots(service, now, delay_s)
        if self._in_progress(now):
            self._schedule_at(now + HEARTBEAT_INTERVAL_S, self._heartbeat)

    def _share_slots(
        self, service: scenarios.Service, now: float, delay_s: float
    ) -> None:
        node_indices = sorted(self._known_nodes)
        demand_by_node = {
            ids.NodeId(str(index)): (
                self._nodes[index].take_peak_demand(service.name)
                if self._policy.shares is baselines.Shares.DEMAND
                else 1
            )
            for index in node_indices
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

        quiet = self._quiet_workers(service, node_indices)

        def apply(event_time: float) -> None:
            for index in node_indices:
                name = ids.NodeId(str(index))
                if self._nodes[index].alive:
                    self._nodes[index].set_shares(
                        service.name,
                        {
                            worker: share_by_node_by_worker[worker][name]
                            for worker in workers
                        },
                        quiet,
                        event_time,
                    )

        self._schedule_at(now + delay_s, apply)

    def _quiet_workers(
        self, service: scenarios.Service, node_indices: list[int]
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
                for index in node_indices
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
                    self._publish_report(service.name, engine, now)
            if (
                self._scenario.warm_up_s <= now < self._scenario.duration_s
                and sum(loads) > 0
            ):
                self._imbalance.append(max(loads) * len(loads) / sum(loads))
        if self._in_progress(now):
            self._schedule_at(
                now + self._scenario.report_interval_s, self._report
            )

    def _publish_report(
        self, service: str, engine: simulated_engine.Engine, now: float
    ) -> None:
        tokens = engine.expected_load(now)
        events, engine.events = engine.events, []
        delivered: list[list[prefix.CacheEvent]] = [
            [
                event
                for event in events
                if self._event_rng.random() >= self._scenario.event_loss
            ]
            for _ in self._nodes
        ]

        def callback(event_time: float) -> None:
            for node, node_events in zip(self._nodes, delivered):
                node.on_report(
                    service, engine.worker, tokens, now, node_events
                )

        self._schedule_at(now + self._scenario.report_lag_s, callback)

    def _schedule_worker_loss(self, fault: scenarios.WorkerLoss) -> None:
        workers = self._workers_by_service[fault.service]
        rng = random.Random(f'{self._seed}/wave')
        lost = rng.sample(workers, round(fault.part * len(workers)))
        lost_at = fault.at_s + fault.notice_s

        def announce(time: float, state: types.HostState) -> None:
            def callback(event_time: float) -> None:
                for node, worker in itertools.product(self._nodes, lost):
                    node.set_worker_state(fault.service, worker, state)

            self._schedule_at(time, callback)

        def apply_loss(now: float) -> None:
            for worker in lost:
                self._stop_engine(self._engines_by_worker[worker], now)

        def restore(now: float) -> None:
            for worker in lost:
                self._engines_by_worker[worker].alive = True

        if fault.notice_s > 0:
            announce(
                fault.at_s + NOTICE_PROPAGATION_S, types.HostState.LEAVING
            )
        announce(lost_at + fault.detect_s, types.HostState.GONE)
        self._schedule_at(lost_at, apply_loss)
        replaced_at = lost_at + fault.replaced_after_s
        if replaced_at < self._scenario.duration_s:
            self._schedule_at(replaced_at, restore)
            announce(replaced_at, types.HostState.LIVE)

    def _stop_engine(
        self, engine: simulated_engine.Engine, now: float
    ) -> None:
        self._complete_attempts(engine, engine.schedule_version, now)
        produced = {
            attempt: engine.produced(attempt)
            for attempt, (_, worker) in self._owner_by_attempt.items()
            if worker == engine.worker
        }
        engine.schedule_version += 1
        engine.stop(now)
        for attempt, tokens in produced.items():
            failure = errors.Failure(
                errors.FailureKind.INTERRUPTED,
                errors.Step.READ_ANSWER,
                engine.worker,
                'connection reset',
                types.Outcome.UNKNOWN,
            )
            self._schedule_failure(attempt, tokens, failure, now)

    def _schedule_node_loss(self, fault: scenarios.NodeLoss) -> None:
        node = self._nodes[fault.node]

        def apply_loss(now: float) -> None:
            requests = node.stop()
            for attempt, (owner, worker) in list(
                self._owner_by_attempt.items()
            ):
                if owner is node:
                    del self._owner_by_attempt[attempt]
                    engine = self._engines_by_worker[worker]
                    engine.remove(attempt, now)
                    self._schedule_engine(engine, now)
            for request in requests:
                request.tried_workers.clear()
                request.remaining_tokens = request.tokens
                self._retry_later(request, now)

        def detect(now: float) -> None:
            self._known_nodes.discard(fault.node)
            for service in self._scenario.services:
                self._share_slots(service, now, delay_s=0.0)

        self._schedule_at(fault.at_s, apply_loss)
        self._schedule_at(fault.at_s + fault.detect_s, detect)
