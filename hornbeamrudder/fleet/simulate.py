"""Virtual time model of one service on reclaimable hosts.

Hosts start late and may be refused, are reclaimed alone, in waves and by
zone; requests of three ranks wait for slots in strict order of rank. The
disturbances of a seed are the same for every policy.
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
from . import replace
from . import world as worlds

SERVICE = ids.ServiceName('quill-llm')
START_DELAY_S = 60.0
WEIGHT_LOAD_S = 30.0
NOTICE_S = 5.0
CONTROL_INTERVAL_S = 5.0
LOOK_AHEAD_S = 600.0
RECOMPUTED_SHARE = 0.2
"""Part of the work done so far that a moved request repeats."""
QUEUE_LIMIT = 400

Queue = collections.deque['Request']


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Offers that may be used and whether zones are spread."""

    name: str
    allows: Callable[[hosts.OfferKey], bool]
    spreads: bool


@dataclasses.dataclass(slots=True)
class Request:
    """A request; `begun_at` is None until it has its first slot."""

    rank: types.Rank
    arrived_at: float
    left_s: float
    begun_at: float | None = None


@dataclasses.dataclass(slots=True)
class Host:
    """A host and the requests that it serves, by sequence number."""

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
class Figures:
    """What is measured, after the warm-up."""

    cost: float = 0.0
    urgent: int = 0
    urgent_in_time: int = 0
    urgent_after_loss: int = 0
    urgent_after_loss_in_time: int = 0
    recomputed_s: float = 0.0
    served_s: float = 0.0
    dropped: int = 0
    slots_after_loss: int = 0
    urgent_need_at_loss: int = 0
    recovery_s: float = math.inf
    starts_refused: int = 0
    reclaimed_hosts: int = 0


class Simulation:
    """One policy in one world."""

    def __init__(self, world: worlds.World, policy: Policy, seed: int) -> None:
        self.figures = Figures()
        self._world = world
        self._policy = policy
        self._rng = random.Random(seed)
        self._target = demand.LatencyTarget()
        self._offers = tuple(
            offer for offer in world.offers if policy.allows(offer.key)
        )
        self._settings = replace.Settings()
        self._state = replace.initial(self._settings, 0.0)
        self._hosts: dict[ids.HostId, Host] = {}
        self._queues: dict[types.Rank, Queue] = {
            rank: collections.deque() for rank in types.Rank
        }
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count(1)
        self._plans: dict[object, placement.Plan] = {}
        self._lost_zone: ids.DataCentreName | None = None
        self._now = 0.0

    def run(self) -> Figures:
        """Run to the end and return the figures."""
        for traffic in self._world.traffic:
            self._next_arrival(traffic)
        for wave in self._world.waves:
            self._at(wave.at, functools.partial(self._wave, wave))
        self._at(self._world.zone_loss_at, self._lose_zone)
        self._at(0.0, self._control)
        while self._events and self._events[0][0] <= self._world.end:
            self._now, _, action = heapq.heappop(self._events)
            action()
        self._now = self._world.end
        for host in tuple(self._hosts.values()):
            self._pay(host)
        return self.figures

    def _at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def _next_arrival(self, traffic: worlds.Traffic) -> None:
        gap = self._rng.expovariate(traffic.rate(self._now))
        self._at(self._now + gap, lambda: self._arrive(traffic))

    def _arrive(self, traffic: worlds.Traffic) -> None:
        self._next_arrival(traffic)
        service_s = self._rng.expovariate(1.0 / traffic.service_s)
        queue = self._queues[traffic.rank]
        queue.append(Request(traffic.rank, self._now, service_s))
        if len(queue) > QUEUE_LIMIT:
            self._count_first_token(queue.popleft(), math.inf)
            self.figures.dropped += self._now >= worlds.WARM_UP_S
        self._dispatch()

    def _usable(self, host: Host) -> bool:
        """Whether the host takes new work: it is ready and stays."""
        return (
            host.ready_at <= self._now
            and math.isinf(host.ends_at)
            and not host.draining
        )

    def _dispatch(self) -> None:
        for queue in self._queues.values():
            while queue:
                usable = filter(self._usable, self._hosts.values())
                free = max(usable, key=_free_slots, default=None)
                if free is None or _free_slots(free) <= 0:
                    return
                self._begin(queue.popleft(), free)

    def _begin(self, request: Request, host: Host) -> None:
        if request.begun_at is None:
            request.begun_at = self._now
            self._count_first_token(request, self._now)
        number = next(self._numbers)
        host.running[number] = (request, self._now)
        self._at(
            self._now + request.left_s, lambda: self._finish(host, number)
        )

    def _count_first_token(self, request: Request, begun_at: float) -> None:
        if request.rank is not types.Rank.URGENT:
            return
        if self._now < worlds.WARM_UP_S:
            return
        first_token_s = begun_at - request.arrived_at + self._target.prefill_s
        in_time = first_token_s <= self._target.first_token_s
        self.figures.urgent += 1
        self.figures.urgent_in_time += in_time
        since_loss = request.arrived_at - self._world.zone_loss_at
        if 0.0 <= since_loss <= self._world.zone_loss_s:
            self.figures.urgent_after_loss += 1
            self.figures.urgent_after_loss_in_time += in_time

    def _finish(self, host: Host, number: int) -> None:
        found = host.running.pop(number, None)
        if found is not None:
            self.figures.served_s += found[0].left_s
            self._dispatch()

    def _remove(self, host: Host) -> None:
        """End a host; its requests go on elsewhere, partly repeated."""
        if self._hosts.pop(host.id, None) is None:
            return
        self._pay(host)
        for request, begun_at in host.running.values():
            done_s = self._now - begun_at
            repeated_s = RECOMPUTED_SHARE * done_s
            request.left_s += repeated_s - done_s
            self.figures.recomputed_s += repeated_s
            self._queues[request.rank].appendleft(request)
        host.running.clear()
        self._dispatch()

    def _pay(self, host: Host) -> None:
        since = max(host.started_at, worlds.WARM_UP_S)
        hours = max(0.0, self._now - since) / 3600.0
        self.figures.cost += hours * host.offer.price_per_hour

    def _reclaim(self, host: Host) -> None:
        if host.id in self._hosts and math.isinf(host.ends_at):
            host.ends_at = self._now + NOTICE_S
            self.figures.reclaimed_hosts += 1
            self._at(host.ends_at, lambda: self._remove(host))

    def _wave(self, wave: worlds.Wave) -> None:
        for host in tuple(self._hosts.values()):
            key = host.offer.key
            if key.reclaimable and key.zone in wave.zones:
                self._reclaim(host)

    def _lose_zone(self) -> None:
        slots: collections.Counter[ids.DataCentreName] = collections.Counter()
        for host in self._hosts.values():
            if self._usable(host):
                slots[host.offer.key.zone] += host.offer.slots
        if not slots:
            return
        self._lost_zone = max(slots, key=lambda zone: slots[zone])
        for host in tuple(self._hosts.values()):
            if host.offer.key.zone == self._lost_zone:
                self._reclaim(host)
        self.figures.slots_after_loss = sum(slots.values()) - max(
            slots.values()
        )
        self.figures.urgent_need_at_loss = self._need().urgent

    def _refuses(self, key: hosts.OfferKey) -> bool:
        since_loss = self._now - self._world.zone_loss_at
        if 0.0 <= since_loss <= self._world.zone_loss_s:
            if key.zone == self._lost_zone:
                return True
        return any(
            outage.begin <= self._now < outage.end and key in outage.offers
            for outage in self._world.outages
        )

    def _need(self) -> demand.Need:
        """Need for the highest rate of the next minutes."""
        ahead = (
            self._now,
            self._now + LOOK_AHEAD_S / 2,
            self._now + LOOK_AHEAD_S,
        )
        demands = [
            demand.Demand(
                SERVICE,
                traffic.rank,
                max(map(traffic.rate, ahead)),
                traffic.service_s,
            )
            for traffic in self._world.traffic
        ]
        return demand.need(SERVICE, demands, self._target)

    def _control(self) -> None:
        self._at(self._now + CONTROL_INTERVAL_S, self._control)
        need = self._need()
        if not self._policy.spreads:
            need = dataclasses.replace(need, urgent=0)
        for _ in range(8):
            fleet = tuple(map(self._fleet_host, self._hosts.values()))
            plan = self._plan(need, fleet)
            decision, self._state = replace.decide(
                self._state,
                need,
                plan.count_by_offer,
                fleet,
                self._offers,
                self._settings,
                self._now,
            )
            if not any([self._start(key) for key in decision.starts]):
                break
        for name in decision.drains:
            self._hosts[name].draining = True
        for name in decision.stops:
            self._remove(self._hosts[name])
        self._note_recovery(need)

    def _fleet_host(self, host: Host) -> replace.FleetHost:
        return replace.FleetHost(
            host.id,
            host.offer.key,
            host.offer.slots,
            serving=host.ready_at <= self._now,
            leaving=not math.isinf(host.ends_at),
            draining=host.draining,
            idle=host.draining and not host.running,
        )

    def _plan(
        self, need: demand.Need, fleet: Sequence[replace.FleetHost]
    ) -> placement.Plan:
        running = collections.Counter(
            host.offer for host in fleet if host.counts
        )
        inputs = (need, frozenset(running.items()))
        if inputs not in self._plans:
            self._plans[inputs] = placement.place(need, self._offers, running)
        return self._plans[inputs]

    def _start(self, key: hosts.OfferKey) -> bool:
        """Order a start and return whether it was refused."""
        if self._refuses(key):
            self.figures.starts_refused += 1
            self._state = replace.refused(
                self._state, key, self._settings, self._now, self._rng
            )
            return True
        self._state = replace.accepted(self._state, key)
        offer = next(item for item in self._offers if item.key == key)
        loading = sum(
            host.ready_at > self._now for host in self._hosts.values()
        )
        ready_at = self._now + START_DELAY_S + WEIGHT_LOAD_S * (1 + loading)
        name = ids.HostId(f'host-{next(self._numbers)}')
        host = Host(name, offer, self._now, ready_at)
        self._hosts[name] = host
        self._at(ready_at, self._dispatch)
        if offer.reclaims_per_hour:
            life_s = self._rng.expovariate(offer.reclaims_per_hour / 3600.0)
            self._at(self._now + life_s, lambda: self._reclaim(host))
        return False

    def _note_recovery(self, need: demand.Need) -> None:
        since_loss = self._now - self._world.zone_loss_at
        if since_loss <= 0.0 or not math.isinf(self.figures.recovery_s):
            return
        slots = sum(
            host.offer.slots
            for host in self._hosts.values()
            if self._usable(host)
        )
        if slots >= need.total:
            self.figures.recovery_s = since_loss


def _free_slots(host: Host) -> int:
    return host.offer.slots - len(host.running)
