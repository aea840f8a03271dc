"""Loop of the `fleet` lease holder: observes, plans, orders."""

import collections
from concurrent import futures
import dataclasses
import random
import threading
import time
from typing import Callable, Iterable, Mapping, Protocol, Sequence

from returns import result
import structlog

from ..backends import snapshot as snapshots
from ..core import errors
from ..core import hosts
from ..core import ids
from ..core import types
from . import demand
from . import orders
from . import placement
from . import replace
from . import view
from . import weights

INTERVAL_S = 1.0
# Refused starts are replaced at once, through this many kinds of offers.
MAX_ROUNDS = 8
OBSERVING_THREADS = 8

_logger = structlog.get_logger(__name__)

OPEN_KINDS = (errors.FailureKind.TIMEOUT, errors.FailureKind.INTERRUPTED)
REFUSAL_KINDS = (
    errors.FailureKind.REFUSED,
    errors.FailureKind.OVERLOADED,
    errors.FailureKind.NOT_FOUND,
    errors.FailureKind.INVALID,
)


class Lease(Protocol):
    """The `fleet` lease."""

    def fencing_number(self, now: float) -> int | None:
        """Return the number while the lease is held at `now`."""


class Cloud(Protocol):
    """The part of the cloud API that the controller uses."""

    def offers(self) -> result.Result[tuple[hosts.Offer, ...], errors.Failure]:
        """Read what can be started now."""

    def list_hosts(
        self,
    ) -> result.Result[tuple[hosts.CloudHost, ...], errors.Failure]:
        """Read the hosts that run."""

    def start_host(
        self, order_id: str, offer: hosts.OfferKey, service: ids.ServiceName
    ) -> result.Result[hosts.CloudHost, errors.Failure]:
        """Start at most one host for an order id."""

    def stop_host(
        self, host: ids.HostId
    ) -> result.Result[hosts.CloudHost, errors.Failure]:
        """Stop a host."""


class Backends(Protocol):
    """The part of `backends.watch.Watcher` that the controller uses."""

    def snapshot(self) -> snapshots.Snapshot:
        """Return workers, states and loads."""

    def report_from_peer(self, leaving: Iterable[hosts.LeavingHost]) -> None:
        """Take hosts out of service; heartbeats tell the other nodes."""


class Engines(Protocol):
    """The part of `orders.EngineClient` that the controller uses."""

    def observe(
        self, engine: types.Worker
    ) -> result.Result[orders.Observed, errors.Failure]:
        """Read the state of an engine."""

    def send(
        self, engine: types.Worker, order: orders.Order
    ) -> result.Result[orders.Observed, errors.Failure]:
        """Send an order."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """What the fleet should serve; replaced whenever it changes.

    Attributes
    ----------
    services : tuple
        Services whose hosts the controller starts and stops.
    models : tuple
        Models of the engines, and `target_by_model` with the full state.
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
    store_bytes_per_s: float = 2e9
    longest_load_s: float = 60.0


class Controller:
    """Runs `step` every second; only a lease holder has any effect."""

    def __init__(
        self,
        lease: Lease,
        cloud: Cloud,
        backends: Backends,
        engines: Engines,
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
        self._open_starts: dict[
            str, tuple[hosts.OfferKey, ids.ServiceName]
        ] = {}
        self._started = 0
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
            self._state = replace.initial(self._replace_settings, now)
            self._open_starts = {}
            self._started = 0
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
        self._repeat_open_starts(holding)
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
        need = demand.need(service, wish.demands, wish.target)
        slots_by_offer = {offer.key: offer.slots for offer in offers}
        started: list[hosts.CloudHost] = []
        for _ in range(MAX_ROUNDS):
            fleet = view.fleet_hosts(
                service,
                (*found, *started, *self._open_hosts(service)),
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
                started.extend(self._start(holding, offer, service))
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

    def _start(
        self,
        holding: orders.Holding,
        offer: hosts.OfferKey,
        service: ids.ServiceName,
    ) -> tuple[hosts.CloudHost, ...]:
        self._started += 1
        order_id = f'{service}-{holding.fencing}-{self._started}'
        return self._send_start(holding, order_id, offer, service)

    def _open_hosts(
        self, service: ids.ServiceName
    ) -> tuple[hosts.CloudHost, ...]:
        """Starts that may have taken effect, as hosts that are starting."""
        return tuple(
            hosts.CloudHost(
                ids.HostId(order_id),
                offer,
                service,
                hosts.HostPhase.STARTING,
                ids.Incarnation(0),
            )
            for order_id, (offer, other) in self._open_starts.items()
            if other == service
        )

    def _repeat_open_starts(self, holding: orders.Holding) -> None:
        for order_id, (offer, service) in tuple(self._open_starts.items()):
            self._send_start(holding, order_id, offer, service)

    def _send_start(
        self,
        holding: orders.Holding,
        order_id: str,
        offer: hosts.OfferKey,
        service: ids.ServiceName,
    ) -> tuple[hosts.CloudHost, ...]:
        if not self._still_holds(holding):
            return ()
        self.counters['start ordered'] += 1
        now = self._clock()
        match self._cloud.start_host(order_id, offer, service):
            case result.Success(host):
                self._open_starts.pop(order_id, None)
                self._state = replace.accepted(self._state, offer)
                return (host,)
            case result.Failure(failure) if failure.kind in OPEN_KINDS:
                self._open_starts[order_id] = (offer, service)
                self.counters['start outcome open'] += 1
            case result.Failure(failure) if failure.kind in REFUSAL_KINDS:
                self._open_starts.pop(order_id, None)
                self.counters['start refused'] += 1
                self._state = replace.refused(
                    self._state, offer, self._replace_settings, now, self._rng
                )
            case _:
                # The cloud API is down; no other offer would help.
                self._open_starts.pop(order_id, None)
                self.counters['start failed'] += 1
        return ()

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
        services = {model.service for model in wish.models}
        engines = [
            worker
            for service in sorted(services)
            for worker in seen.candidates(service, now)
        ]
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
