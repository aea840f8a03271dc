"""Loop of the `fleet` lease holder: observes, plans, orders."""

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
from . import orders
from . import placement
from . import ports
from . import replace
from . import starts
from . import view
from . import weights

INTERVAL_S = 1.0
# Refused starts are replaced at once, through this many kinds of offers.
MAX_ROUNDS = 8
OBSERVING_THREADS = 8

_logger = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """What the fleet should serve; replaced whenever it changes.

    Attributes
    ----------
    services : tuple
        Services whose hosts the controller starts and stops.
    models : tuple
        Models of the engines, and `target_by_model` with the full state.
    classes_by_service : mapping
        Machine classes to start for a service; all where it is absent.
    urgent_by_service : mapping
        Fewest slots to keep after the loss of a zone.
    store_bytes_per_s, longest_load_s : float
        Rate of the weight store and accepted time of one download.
    """

    services: tuple[ids.ServiceName, ...]
    demands: tuple[demand.Demand, ...]
    target: demand.LatencyTarget = demand.LatencyTarget()
    models: tuple[weights.Model, ...] = ()
    target_by_model: Mapping[str, orders.Target] = dataclasses.field(
        default_factory=dict
    )
    classes_by_service: Mapping[
        ids.ServiceName, frozenset[ids.MachineClass]
    ] = dataclasses.field(default_factory=dict)
    urgent_by_service: Mapping[ids.ServiceName, int] = dataclasses.field(
        default_factory=dict
    )
    store_bytes_per_s: float = 2e9
    longest_load_s: float = 60.0


class Controller:
    """Runs `step` every second; only a lease holder has any effect."""

    def __init__(
        self,
        lease: ports.Lease,
        cloud: ports.Cloud,
        backends: ports.Backends,
        engines: ports.Engines,
        wish: Callable[[], Wish],
        rng: random.Random,
        place_settings: placement.Settings = placement.Settings(),
        replace_settings: replace.Settings = replace.Settings(),
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._lease = lease
        self._cloud = cloud
        self._backends = backends
        self._engines = engines
        self._wish = wish
        self._rng = rng
        self._place_settings = place_settings
        self._replace_settings = replace_settings
        self._clock = clock
        self._wall = wall
        self._holding: orders.Holding | None = None
        self._state = replace.initial(replace_settings, clock())
        self._draining_since: dict[ids.HostId, float] = {}
        self._sent_at: dict[ids.WorkerId, float] = {}
        self._starter = starts.Starter(cloud, 0)
        self._cloud_ok = True
        self.counters: collections.Counter[str] = collections.Counter()
        self._closing = threading.Event()
        self._pool = futures.ThreadPoolExecutor(OBSERVING_THREADS, 'observe')
        self._thread = threading.Thread(
            target=self._run, name='fleet', daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread after the current step."""
        self._closing.set()
        if self._thread.is_alive():
            self._thread.join()
        self._pool.shutdown()

    def step(self) -> None:
        """Observe once and order what is due."""
        # Both clocks are read before the lease is checked, so that orders
        # of a holder that is paused after the check expire early.
        now = self._clock()
        wall = self._wall()
        old = self._holding
        number = self._lease.fencing_number(now)
        self._holding = orders.continue_holding(old, number, now)
        if self._holding is None:
            return
        if self._holding != old:
            _logger.info('fleet lease held', fencing=number)
            # Under the same number the budget and the ids of start orders
            # go on: the cloud API starts nothing for an id that it knows.
            if self._holding.fencing != self._starter.fencing:
                self._state = replace.initial(self._replace_settings, now)
                self._starter = starts.Starter(
                    self._cloud, self._holding.fencing
                )
        wish = self._wish()
        self._order_hosts(self._holding, wish, now)
        self._order_engines(self._holding, wish, now, wall)

    def _run(self) -> None:
        while not self._closing.wait(INTERVAL_S):
            try:
                self.step()
            except Exception:
                # The next step observes everything again.
                self.counters['failed step'] += 1
                _logger.exception('fleet step failed')

    def _still_holds(self, holding: orders.Holding) -> bool:
        now = self._clock()
        return self._lease.fencing_number(now) == holding.fencing

    def _order_hosts(
        self, holding: orders.Holding, wish: Wish, now: float
    ) -> None:
        for order in self._starter.open_orders():
            self._send_start(holding, order)
        offers = self._cloud.offers()
        listed = self._cloud.list_hosts()
        self._note_cloud(offers, listed)
        if not (
            isinstance(offers, result.Success)
            and isinstance(listed, result.Success)
        ):
            return
        found = listed.unwrap()
        seen = self._backends.snapshot()
        self._draining_since = {
            host.id: self._draining_since.get(host.id, now)
            for host in found
            if view.is_draining(host, seen, now)
        }
        self._state = replace.forget_others(
            self._state, (host.id for host in found)
        )
        for service in wish.services:
            self._order_service(
                holding, wish, service, offers.unwrap(), found, now
            )

    def _order_service(
        self,
        holding: orders.Holding,
        wish: Wish,
        service: ids.ServiceName,
        offers: Sequence[hosts.Offer],
        found: Sequence[hosts.CloudHost],
        now: float,
    ) -> None:
        need = demand.with_floor(
            demand.need(service, wish.demands, wish.target),
            wish.urgent_by_service.get(service, 0),
        )
        classes = wish.classes_by_service.get(service)
        offers = [
            offer
            for offer in offers
            if classes is None or offer.key.machine_class in classes
        ]
        slots_by_offer = {offer.key: offer.slots for offer in offers}
        started: list[hosts.CloudHost] = []
        for _ in range(MAX_ROUNDS):
            fleet = view.fleet_hosts(
                service,
                (*found, *started, *self._starter.open_hosts(service)),
                self._backends.snapshot(),
                slots_by_offer,
                self._draining_since,
                now,
            )
            plan = placement.place(
                need,
                offers,
                view.running_by_offer(fleet),
                self._place_settings,
            )
            decision, self._state = replace.decide(
                self._state,
                need,
                plan.count_by_offer,
                fleet,
                offers,
                self._replace_settings,
                now,
            )
            refusals = self.counters['start refused']
            for offer in decision.starts:
                order = self._starter.new_order(offer, service)
                started.extend(self._send_start(holding, order))
            if self.counters['start refused'] == refusals:
                break
        self._drain(decision.drains, found)
        for host in decision.stops:
            if self._still_holds(holding):
                self.counters['stop ordered'] += 1
                _logger.info('stopping host', host=host)
                self._cloud.stop_host(host)

    def _drain(
        self, names: Sequence[ids.HostId], found: Sequence[hosts.CloudHost]
    ) -> None:
        incarnations = {host.id: host.incarnation for host in found}
        for name in names:
            self.counters['drain ordered'] += 1
            _logger.info('draining host', host=name)
        self._backends.report_from_peer(
            hosts.LeavingHost(name, incarnations[name], None) for name in names
        )

    def _send_start(
        self, holding: orders.Holding, order: starts.StartOrder
    ) -> tuple[hosts.CloudHost, ...]:
        if not self._still_holds(holding):
            return ()
        now = self._clock()
        host, outcome = self._starter.send(order)
        self.counters[f'start {outcome.value}'] += 1
        match outcome:
            case starts.StartOutcome.ACCEPTED:
                self._state = replace.accepted(self._state, order.offer)
            case starts.StartOutcome.REFUSED:
                self._state = replace.refused(
                    self._state,
                    order.offer,
                    self._replace_settings,
                    now,
                    self._rng,
                )
        return host

    def _note_cloud(self, *answers: result.Result[object, object]) -> None:
        reachable = all(isinstance(item, result.Success) for item in answers)
        if reachable is not self._cloud_ok:
            _logger.warning('cloud API changed', ok=reachable)
        self._cloud_ok = reachable

    def _order_engines(
        self, holding: orders.Holding, wish: Wish, now: float, wall: float
    ) -> None:
        if not wish.target_by_model:
            return
        seen = self._backends.snapshot()
        # An engine only serves the models of its own service, to which the
        # nodes route.
        for service in sorted({model.service for model in wish.models}):
            self._order_engines_of(
                holding,
                dataclasses.replace(
                    wish,
                    models=tuple(
                        model
                        for model in wish.models
                        if model.service == service
                    ),
                ),
                tuple(seen.candidates(service, now)),
                now,
                wall,
            )

    def _order_engines_of(
        self,
        holding: orders.Holding,
        wish: Wish,
        engines: Sequence[types.Worker],
        now: float,
        wall: float,
    ) -> None:
        answers = self._pool.map(self._engines.observe, engines)
        observed = {
            engine.id: answer.unwrap()
            for engine, answer in zip(engines, answers, strict=True)
            if isinstance(answer, result.Success)
        }
        plan = weights.plan(
            wish.models,
            view.engines(observed),
            wish.store_bytes_per_s,
            wish.longest_load_s,
        )
        due = orders.due_orders(
            holding,
            view.wanted_targets(plan, observed, wish.target_by_model),
            observed,
            self._sent_at,
            engines,
            now,
            wall,
        )
        engines_by_id = {engine.id: engine for engine in engines}
        for order in due:
            if not self._still_holds(holding):
                return
            self._sent_at[order.worker] = now
            self.counters['engine ordered'] += 1
            answer = self._engines.send(engines_by_id[order.worker], order)
            if not isinstance(answer, result.Success):
                self.counters['engine order failed'] += 1
