"""Control loop of the `fleet` lease holder."""

import collections
from concurrent import futures
import dataclasses
import random
import threading
import time
from typing import Callable, Mapping, Sequence

from returns import result
import structlog

from ..core import hosts
from ..core import ids
from ..core import types
from . import demand
from . import interfaces
from . import orders
from . import placement
from . import reconcile
from . import start_orders
from . import view
from . import weights

STEP_INTERVAL_S = 1.0
# Bounds the rounds in which a step retries refused starts with other offers.
MAX_START_ROUNDS = 8
OBSERVER_THREADS = 8

_logger = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredState:
    """Immutable desired state of the fleet, read again at each step.

    Attributes
    ----------
    services : tuple
        Services whose hosts the controller starts and stops.
    models : tuple
        Models to serve; `target_by_model` has the engine state of each.
    machine_classes_by_service : mapping
        Machine classes that may be started for a service; a service without
        an entry may use all.
    urgent_slots_by_service : mapping
        Minimum number of slots that remain after the loss of a zone.
    weight_store_bytes_per_s, max_download_s : float
        Throughput of the weight store and longest accepted download.
    """

    services: tuple[ids.ServiceName, ...]
    demands: tuple[demand.Demand, ...]
    latency_target: demand.LatencyTarget = demand.LatencyTarget()
    models: tuple[weights.Model, ...] = ()
    target_by_model: Mapping[str, orders.Target] = dataclasses.field(
        default_factory=dict
    )
    machine_classes_by_service: Mapping[
        ids.ServiceName, frozenset[ids.MachineClass]
    ] = dataclasses.field(default_factory=dict)
    urgent_slots_by_service: Mapping[ids.ServiceName, int] = dataclasses.field(
        default_factory=dict
    )
    weight_store_bytes_per_s: float = 2e9
    max_download_s: float = 60.0


class Controller:
    """Runs `step` every second; without the lease a step does nothing."""

    def __init__(
        self,
        lease: interfaces.Lease,
        cloud: interfaces.Cloud,
        backends: interfaces.Backends,
        engines: interfaces.Engines,
        read_desired_state: Callable[[], DesiredState],
        rng: random.Random,
        placement_settings: placement.Settings = placement.Settings(),
        reconcile_settings: reconcile.Settings = reconcile.Settings(),
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._lease = lease
        self._cloud = cloud
        self._backends = backends
        self._engines = engines
        self._read_desired_state = read_desired_state
        self._rng = rng
        self._placement_settings = placement_settings
        self._reconcile_settings = reconcile_settings
        self._clock = clock
        self._wall_clock = wall_clock
        self._term: orders.LeaseTerm | None = None
        self._reconcile_state = reconcile.initial_state(
            reconcile_settings, clock()
        )
        self._draining_since: dict[ids.HostId, float] = {}
        self._order_sent_at: dict[ids.WorkerId, float] = {}
        self._starter = start_orders.HostStarter(cloud, 0)
        self._cloud_reachable = True
        self.counters: collections.Counter[str] = collections.Counter()
        self._closing = threading.Event()
        self._pool = futures.ThreadPoolExecutor(OBSERVER_THREADS, 'observe')
        self._thread = threading.Thread(
            target=self._run, name='fleet', daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread once the current step has completed."""
        self._closing.set()
        if self._thread.is_alive():
            self._thread.join()
        self._pool.shutdown()

    def step(self) -> None:
        """Reconcile hosts and engines with the desired state once."""
        # The clocks are read before the lease is checked: if the process is
        # paused after the check, its orders have expired when it resumes.
        now = self._clock()
        wall_now = self._wall_clock()
        previous_term = self._term
        fencing_number = self._lease.fencing_number(now)
        self._term = orders.update_term(previous_term, fencing_number, now)
        if self._term is None:
            return
        if self._term != previous_term:
            _logger.info('fleet lease held', fencing=fencing_number)
            # While the fencing number is unchanged, the start budget and the
            # sequence of order ids continue: the cloud API starts no host for
            # an order id that it has already seen.
            if self._term.fencing != self._starter.fencing:
                self._reconcile_state = reconcile.initial_state(
                    self._reconcile_settings, now
                )
                self._starter = start_orders.HostStarter(
                    self._cloud, self._term.fencing
                )
        desired = self._read_desired_state()
        self._reconcile_hosts(self._term, desired, now)
        self._reconcile_engines(self._term, desired, now, wall_now)

    def _run(self) -> None:
        while not self._closing.wait(STEP_INTERVAL_S):
            try:
                self.step()
            except Exception:
                # The next step reads the complete state again.
                self.counters['failed step'] += 1
                _logger.exception('fleet step failed')

    def _still_holds_lease(self, term: orders.LeaseTerm) -> bool:
        now = self._clock()
        return self._lease.fencing_number(now) == term.fencing

    def _reconcile_hosts(
        self, term: orders.LeaseTerm, desired: DesiredState, now: float
    ) -> None:
        for order in self._starter.unresolved_orders():
            self._send_start(term, order)
        offers = self._cloud.offers()
        listed = self._cloud.list_hosts()
        self._track_cloud_reachability(offers, listed)
        if not (
            isinstance(offers, result.Success)
            and isinstance(listed, result.Success)
        ):
            return
        cloud_hosts = listed.unwrap()
        snapshot = self._backends.snapshot()
        self._draining_since = {
            host.id: self._draining_since.get(host.id, now)
            for host in cloud_hosts
            if view.is_draining(host, snapshot, now)
        }
        self._reconcile_state = reconcile.discard_absent_hosts(
            self._reconcile_state, (host.id for host in cloud_hosts)
        )
        for service in desired.services:
            self._reconcile_service(
                term, desired, service, offers.unwrap(), cloud_hosts, now
            )

    def _reconcile_service(
        self,
        term: orders.LeaseTerm,
        desired: DesiredState,
        service: ids.ServiceName,
        offers: Sequence[hosts.Offer],
        cloud_hosts: Sequence[hosts.CloudHost],
        now: float,
    ) -> None:
        required = demand.with_min_urgent_slots(
            demand.required_slots(
                service, desired.demands, desired.latency_target
            ),
            desired.urgent_slots_by_service.get(service, 0),
        )
        classes = desired.machine_classes_by_service.get(service)
        offers = [
            offer
            for offer in offers
            if classes is None or offer.key.machine_class in classes
        ]
        slots_by_offer = {offer.key: offer.slots for offer in offers}
        started: list[hosts.CloudHost] = []
        for _ in range(MAX_START_ROUNDS):
            fleet = view.fleet_hosts(
                service,
                (
                    *cloud_hosts,
                    *started,
                    *self._starter.pending_hosts(service),
                ),
                self._backends.snapshot(),
                slots_by_offer,
                self._draining_since,
                now,
            )
            plan = placement.place(
                required,
                offers,
                view.running_by_offer(fleet),
                self._placement_settings,
            )
            decision, self._reconcile_state = reconcile.decide(
                self._reconcile_state,
                required,
                plan.count_by_offer,
                fleet,
                offers,
                self._reconcile_settings,
                now,
            )
            refusals = self.counters['start refused']
            for offer in decision.starts:
                order = self._starter.new_order(offer, service)
                started.extend(self._send_start(term, order))
            if self.counters['start refused'] == refusals:
                break
        self._drain_hosts(decision.drains, cloud_hosts)
        for host in decision.stops:
            if self._still_holds_lease(term):
                self.counters['stop ordered'] += 1
                _logger.info('stopping host', host=host)
                self._cloud.stop_host(host)

    def _drain_hosts(
        self,
        host_ids: Sequence[ids.HostId],
        cloud_hosts: Sequence[hosts.CloudHost],
    ) -> None:
        incarnations = {host.id: host.incarnation for host in cloud_hosts}
        for host_id in host_ids:
            self.counters['drain ordered'] += 1
            _logger.info('draining host', host=host_id)
        self._backends.report_from_peer(
            hosts.LeavingHost(host_id, incarnations[host_id], None)
            for host_id in host_ids
        )

    def _send_start(
        self, term: orders.LeaseTerm, order: start_orders.StartOrder
    ) -> tuple[hosts.CloudHost, ...]:
        if not self._still_holds_lease(term):
            return ()
        now = self._clock()
        host, outcome = self._starter.send(order)
        self.counters[f'start {outcome.value}'] += 1
        match outcome:
            case start_orders.StartOutcome.ACCEPTED:
                self._reconcile_state = reconcile.record_acceptance(
                    self._reconcile_state, order.offer
                )
            case start_orders.StartOutcome.REFUSED:
                self._reconcile_state = reconcile.record_refusal(
                    self._reconcile_state,
                    order.offer,
                    self._reconcile_settings,
                    now,
                    self._rng,
                )
        return host

    def _track_cloud_reachability(
        self, *responses: result.Result[object, object]
    ) -> None:
        reachable = all(isinstance(item, result.Success) for item in responses)
        if reachable is not self._cloud_reachable:
            _logger.warning('cloud API changed', ok=reachable)
        self._cloud_reachable = reachable

    def _reconcile_engines(
        self,
        term: orders.LeaseTerm,
        desired: DesiredState,
        now: float,
        wall_now: float,
    ) -> None:
        if not desired.target_by_model:
            return
        snapshot = self._backends.snapshot()
        # Nodes route by service, so an engine can only serve models of its
        # own service.
        for service in sorted({model.service for model in desired.models}):
            self._reconcile_engines_of_service(
                term,
                dataclasses.replace(
                    desired,
                    models=tuple(
                        model
                        for model in desired.models
                        if model.service == service
                    ),
                ),
                tuple(snapshot.candidates(service, now)),
                now,
                wall_now,
            )

    def _reconcile_engines_of_service(
        self,
        term: orders.LeaseTerm,
        desired: DesiredState,
        engines: Sequence[types.Worker],
        now: float,
        wall_now: float,
    ) -> None:
        responses = self._pool.map(self._engines.observe, engines)
        observed = {
            engine.id: response.unwrap()
            for engine, response in zip(engines, responses, strict=True)
            if isinstance(response, result.Success)
        }
        plan = weights.plan(
            desired.models,
            view.engines(observed),
            desired.weight_store_bytes_per_s,
            desired.max_download_s,
        )
        due_orders = orders.due_orders(
            term,
            view.desired_targets(plan, observed, desired.target_by_model),
            observed,
            self._order_sent_at,
            engines,
            now,
            wall_now,
        )
        engines_by_id = {engine.id: engine for engine in engines}
        for order in due_orders:
            if not self._still_holds_lease(term):
                return
            self._order_sent_at[order.worker] = now
            self.counters['engine ordered'] += 1
            response = self._engines.send(engines_by_id[order.worker], order)
            if not isinstance(response, result.Success):
                self.counters['engine order failed'] += 1
