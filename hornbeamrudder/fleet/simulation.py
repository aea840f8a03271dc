"""Discrete-event simulation of one service on reclaimable hosts.

Host starts are delayed and may be refused; hosts are reclaimed one by one, in
waves and by zone. Requests of three ranks wait for slots in strict rank order.
Every policy is subject to the same failures for a given seed.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import math
import random
from typing import Callable, Sequence

from ..core import hosts
from ..core import ids
from ..core import types
from . import demand
from . import placement
from . import reconcile
from . import scenario as scenarios

SERVICE = ids.ServiceName('quill-llm')
START_DELAY_S = 60.0
WEIGHT_LOAD_S = 30.0
RECLAIM_NOTICE_S = 5.0
CONTROL_INTERVAL_S = 5.0
FORECAST_S = 600.0
RECOMPUTED_SHARE = 0.2
"""Share of its completed work that a moved request repeats."""
MAX_QUEUE_LENGTH = 400
# Bounds the rounds in which a step retries refused starts with other offers.
MAX_START_ROUNDS = 8

Queue = collections.deque['Request']


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Offers that may be used, and whether hosts are spread over zones."""

    name: str
    allows: Callable[[hosts.OfferKey], bool]
    spreads_zones: bool


@dataclasses.dataclass(slots=True)
class Request:
    """A request; `first_slot_at` is None until it first gets a slot."""

    rank: types.Rank
    arrived_at: float
    remaining_s: float
    first_slot_at: float | None = None


@dataclasses.dataclass(slots=True)
class Host:
    """A host and its running requests by sequence number."""

    id: ids.HostId
    offer: hosts.Offer
    started_at: float
    ready_at: float
    ends_at: float = math.inf
    draining: bool = False
    running: dict[int, tuple[Request, float]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Metrics:
    """Measurements of a run, without the warm-up."""

    cost: float = 0.0
    urgent_requests: int = 0
    urgent_in_time: int = 0
    urgent_after_loss: int = 0
    urgent_after_loss_in_time: int = 0
    recomputed_s: float = 0.0
    served_s: float = 0.0
    dropped: int = 0
    slots_after_loss: int = 0
    urgent_slots_required_at_loss: int = 0
    recovery_s: float = math.inf
    starts_refused: int = 0
    reclaimed_hosts: int = 0


class Simulation:
    """Simulates one policy in one scenario."""

    def __init__(
        self, scenario: scenarios.Scenario, policy: Policy, seed: int
    ) -> None:
        self.metrics = Metrics()
        self._scenario = scenario
        self._policy = policy
        self._rng = random.Random(seed)
        self._target = demand.LatencyTarget()
        self._offers = tuple(
            offer for offer in scenario.offers if policy.allows(offer.key)
        )
        self._settings = reconcile.Settings()
        self._state = reconcile.initial_state(self._settings, 0.0)
        self._hosts: dict[ids.HostId, Host] = {}
        self._queues: dict[types.Rank, Queue] = {
            rank: collections.deque() for rank in types.Rank
        }
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count(1)
        self._plan_cache: dict[object, placement.Plan] = {}
        self._lost_zone: ids.DataCentreName | None = None
        self._now = 0.0

    def run(self) -> Metrics:
        """Run to the end of the scenario and return the metrics."""
        for traffic in self._scenario.traffic:
            self._next_arrival(traffic)
        for wave in self._scenario.waves:
            self._schedule(
                wave.at, functools.partial(self._reclaim_zones, wave)
            )
        self._schedule(self._scenario.zone_loss_at, self._lose_zone)
        self._schedule(0.0, self._control)
        while self._events and self._events[0][0] <= self._scenario.ends_at:
            self._now, _, action = heapq.heappop(self._events)
            action()
        self._now = self._scenario.ends_at
        for host in tuple(self._hosts.values()):
            self._add_cost(host)
        return self.metrics

    def _schedule(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._sequence), action))

    def _next_arrival(self, traffic: scenarios.Traffic) -> None:
        interarrival_s = self._rng.expovariate(traffic.rate(self._now))
        self._schedule(
            self._now + interarrival_s, lambda: self._arrive(traffic)
        )

    def _arrive(self, traffic: scenarios.Traffic) -> None:
        self._next_arrival(traffic)
        service_s = self._rng.expovariate(1.0 / traffic.service_s)
        queue = self._queues[traffic.rank]
        queue.append(Request(traffic.rank, self._now, service_s))
        if len(queue) > MAX_QUEUE_LENGTH:
            self._count_first_token(queue.popleft(), math.inf)
            self.metrics.dropped += self._now >= scenarios.WARM_UP_S
        self._dispatch()

    def _is_usable(self, host: Host) -> bool:
        """Return whether the host is ready and not leaving or draining."""
        return (
            host.ready_at <= self._now
            and math.isinf(host.ends_at)
            and not host.draining
        )

    def _dispatch(self) -> None:
        for queue in self._queues.values():
            while queue:
                usable = filter(self._is_usable, self._hosts.values())
                host = max(usable, key=_free_slots, default=None)
                if host is None or _free_slots(host) <= 0:
                    return
                self._start_request(queue.popleft(), host)

    def _start_request(self, request: Request, host: Host) -> None:
        if request.first_slot_at is None:
            request.first_slot_at = self._now
            self._count_first_token(request, self._now)
        request_id = next(self._sequence)
        host.running[request_id] = (request, self._now)
        self._schedule(
            self._now + request.remaining_s,
            lambda: self._finish(host, request_id),
        )

    def _count_first_token(self, request: Request, slot_at: float) -> None:
        if request.rank is not types.Rank.URGENT:
            return
        if self._now < scenarios.WARM_UP_S:
            return
        first_token_s = slot_at - request.arrived_at + self._target.prefill_s
        in_time = first_token_s <= self._target.first_token_s
        self.metrics.urgent_requests += 1
        self.metrics.urgent_in_time += in_time
        since_loss_s = request.arrived_at - self._scenario.zone_loss_at
        if 0.0 <= since_loss_s <= self._scenario.zone_outage_s:
            self.metrics.urgent_after_loss += 1
            self.metrics.urgent_after_loss_in_time += in_time

    def _finish(self, host: Host, request_id: int) -> None:
        entry = host.running.pop(request_id, None)
        if entry is not None:
            self.metrics.served_s += entry[0].remaining_s
            self._dispatch()

    def _remove(self, host: Host) -> None:
        """Remove a host; its requests are queued again and lose some work."""
        if self._hosts.pop(host.id, None) is None:
            return
        self._add_cost(host)
        for request, slot_at in host.running.values():
            served_s = self._now - slot_at
            recomputed_s = RECOMPUTED_SHARE * served_s
            request.remaining_s += recomputed_s - served_s
            self.metrics.recomputed_s += recomputed_s
            self._queues[request.rank].appendleft(request)
        host.running.clear()
        self._dispatch()

    def _add_cost(self, host: Host) -> None:
        billed_from = max(host.started_at, scenarios.WARM_UP_S)
        billed_hours = max(0.0, self._now - billed_from) / 3600.0
        self.metrics.cost += billed_hours * host.offer.price_per_hour

    def _reclaim(self, host: Host) -> None:
        if host.id in self._hosts and math.isinf(host.ends_at):
            host.ends_at = self._now + RECLAIM_NOTICE_S
            self.metrics.reclaimed_hosts += 1
            self._schedule(host.ends_at, lambda: self._remove(host))

    def _reclaim_zones(self, wave: scenarios.ReclaimWave) -> None:
        for host in tuple(self._hosts.values()):
            offer_key = host.offer.key
            if offer_key.reclaimable and offer_key.zone in wave.zones:
                self._reclaim(host)

    def _lose_zone(self) -> None:
        slots: collections.Counter[ids.DataCentreName] = collections.Counter()
        for host in self._hosts.values():
            if self._is_usable(host):
                slots[host.offer.key.zone] += host.offer.slots
        if not slots:
            return
        self._lost_zone = max(slots, key=lambda zone: slots[zone])
        for host in tuple(self._hosts.values()):
            if host.offer.key.zone == self._lost_zone:
                self._reclaim(host)
        self.metrics.slots_after_loss = sum(slots.values()) - max(
            slots.values()
        )
        self.metrics.urgent_slots_required_at_loss = (
            self._required_slots().urgent_slots
        )

    def _refuses(self, offer_key: hosts.OfferKey) -> bool:
        since_loss_s = self._now - self._scenario.zone_loss_at
        if 0.0 <= since_loss_s <= self._scenario.zone_outage_s:
            if offer_key.zone == self._lost_zone:
                return True
        return any(
            outage.begins_at <= self._now < outage.ends_at
            and offer_key in outage.offers
            for outage in self._scenario.outages
        )

    def _required_slots(self) -> demand.SlotRequirement:
        """Return the slots for the peak rate within the forecast."""
        forecast_times = (
            self._now,
            self._now + FORECAST_S / 2,
            self._now + FORECAST_S,
        )
        demands = [
            demand.Demand(
                SERVICE,
                traffic.rank,
                max(map(traffic.rate, forecast_times)),
                traffic.service_s,
            )
            for traffic in self._scenario.traffic
        ]
        return demand.required_slots(SERVICE, demands, self._target)

    def _control(self) -> None:
        self._schedule(self._now + CONTROL_INTERVAL_S, self._control)
        required = self._required_slots()
        if not self._policy.spreads_zones:
            required = dataclasses.replace(required, urgent_slots=0)
        for _ in range(MAX_START_ROUNDS):
            fleet = tuple(map(self._fleet_host, self._hosts.values()))
            plan = self._plan(required, fleet)
            decision, self._state = reconcile.decide(
                self._state,
                required,
                plan.count_by_offer,
                fleet,
                self._offers,
                self._settings,
                self._now,
            )
            if not any(
                [self._order_start(offer_key) for offer_key in decision.starts]
            ):
                break
        for host_id in decision.drains:
            self._hosts[host_id].draining = True
        for host_id in decision.stops:
            self._remove(self._hosts[host_id])
        self._record_recovery(required)

    def _fleet_host(self, host: Host) -> reconcile.FleetHost:
        return reconcile.FleetHost(
            host.id,
            host.offer.key,
            host.offer.slots,
            serving=host.ready_at <= self._now,
            leaving=not math.isinf(host.ends_at),
            draining=host.draining,
            idle=host.draining and not host.running,
        )

    def _plan(
        self,
        required: demand.SlotRequirement,
        fleet: Sequence[reconcile.FleetHost],
    ) -> placement.Plan:
        running = collections.Counter(
            host.offer for host in fleet if host.counts_as_capacity
        )
        key = (required, frozenset(running.items()))
        if key not in self._plan_cache:
            self._plan_cache[key] = placement.place(
                required, self._offers, running
            )
        return self._plan_cache[key]

    def _order_start(self, offer_key: hosts.OfferKey) -> bool:
        """Order a start; return True if it was refused."""
        if self._refuses(offer_key):
            self.metrics.starts_refused += 1
            self._state = reconcile.record_refusal(
                self._state, offer_key, self._settings, self._now, self._rng
            )
            return True
        self._state = reconcile.record_acceptance(self._state, offer_key)
        offer = next(offer for offer in self._offers if offer.key == offer_key)
        loading = sum(
            host.ready_at > self._now for host in self._hosts.values()
        )
        ready_at = self._now + START_DELAY_S + WEIGHT_LOAD_S * (1 + loading)
        host_id = ids.HostId(f'host-{next(self._sequence)}')
        host = Host(host_id, offer, self._now, ready_at)
        self._hosts[host_id] = host
        self._schedule(ready_at, self._dispatch)
        if offer.reclaims_per_hour:
            lifetime_s = self._rng.expovariate(
                offer.reclaims_per_hour / 3600.0
            )
            self._schedule(self._now + lifetime_s, lambda: self._reclaim(host))
        return False

    def _record_recovery(self, required: demand.SlotRequirement) -> None:
        since_loss_s = self._now - self._scenario.zone_loss_at
        if since_loss_s <= 0.0 or not math.isinf(self.metrics.recovery_s):
            return
        slots = sum(
            host.offer.slots
            for host in self._hosts.values()
            if self._is_usable(host)
        )
        if slots >= required.total_slots:
            self.metrics.recovery_s = since_loss_s


def _free_slots(host: Host) -> int:
    return host.offer.slots - len(host.running)
