"""Starts, drains and stops to order now, so that the wanted hosts run."""

import collections
import dataclasses
import math
import random
from typing import Iterable, Mapping, Sequence

from ..core import hosts
from ..core import ids
from . import demand
from . import placement


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Limits of replacement, times in seconds.

    Attributes
    ----------
    retry_base_s, retry_max_s : float
        First and longest time without a start after a refusal.
    starts_per_s, start_burst : float
        Budget of start orders, refused ones included.
    surplus_s : float
        How long a host has to be surplus before it is drained, so that a
        short fall of demand does not end hosts.
    max_price_per_hour : float
        No start is ordered above this sum of prices.
    """

    retry_base_s: float = 5.0
    retry_max_s: float = 300.0
    starts_per_s: float = 0.5
    start_burst: float = 30.0
    surplus_s: float = 120.0
    max_price_per_hour: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class FleetHost:
    """A host of one service, as the fleet's controller sees it.

    Attributes
    ----------
    leaving : bool
        A reclaim was announced, or the host is gone.
    draining : bool
        The host was told to receive no new work; this is not taken back.
    idle : bool
        No work is in progress, reported after the drain took effect.
    """

    id: ids.HostId
    offer: hosts.OfferKey
    slots: int
    serving: bool
    leaving: bool = False
    draining: bool = False
    idle: bool = False

    @property
    def counts(self) -> bool:
        """Whether the host serves now or soon, and stays."""
        return not self.leaving and not self.draining


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Refusals of one offer in a row and when it may be tried again."""

    count: int
    retry_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """What replacement remembers; a new holder starts with `initial`.

    Attributes
    ----------
    tokens : float
        Start orders that the budget allows, as of `tokens_at`.
    surplus_since : mapping
        Since when a host has been surplus.
    """

    tokens: float
    tokens_at: float
    refusals: Mapping[hosts.OfferKey, Refusal]
    surplus_since: Mapping[ids.HostId, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Orders for the cloud API and for the nodes."""

    starts: tuple[hosts.OfferKey, ...]
    drains: tuple[ids.HostId, ...]
    stops: tuple[ids.HostId, ...]


def initial(settings: Settings, now: float) -> State:
    """Return the state of a controller that has just started."""
    return State(settings.start_burst, now, {}, {})


def refused(
    state: State,
    offer: hosts.OfferKey,
    settings: Settings,
    now: float,
    rng: random.Random,
) -> State:
    """Note a refused start; the wait doubles up to `retry_max_s`.

    The wait is spread by a factor of 0.5 to 1, so that the retries of
    several offers do not coincide.
    """
    old = state.refusals.get(offer)
    count = old.count + 1 if old else 1
    # The exponent is bounded, since a float overflows above 2**1023.
    longest = settings.retry_base_s * 2.0 ** min(count - 1, 60)
    wait_s = min(longest, settings.retry_max_s) * rng.uniform(0.5, 1.0)
    refusal = Refusal(count, now + wait_s)
    return dataclasses.replace(
        state, refusals={**state.refusals, offer: refusal}
    )


def accepted(state: State, offer: hosts.OfferKey) -> State:
    """Note an accepted start, which ends the backoff of its offer."""
    return dataclasses.replace(
        state,
        refusals={
            key: refusal
            for key, refusal in state.refusals.items()
            if key != offer
        },
    )


def forget_others(state: State, known: Iterable[ids.HostId]) -> State:
    """Drop what is remembered of hosts that no longer exist."""
    names = frozenset(known)
    return dataclasses.replace(
        state,
        surplus_since={
            name: since
            for name, since in state.surplus_since.items()
            if name in names
        },
    )


def alternatives(
    wanted: hosts.OfferKey, offers: Iterable[hosts.Offer]
) -> tuple[hosts.Offer, ...]:
    """Order offers for use in place of `wanted`.

    Reclaimable offers come before on-demand ones, then those of the same
    zone, then those with the least price per slot.
    """
    return tuple(
        sorted(
            offers,
            key=lambda offer: (
                offer.key != wanted,
                not offer.key.reclaimable,
                offer.key.zone != wanted.zone,
                offer.price_per_hour / offer.slots,
                offer.key,
            ),
        )
    )


def decide(
    state: State,
    need: demand.Need,
    wanted: Mapping[hosts.OfferKey, int],
    fleet: Sequence[FleetHost],
    offers: Sequence[hosts.Offer],
    settings: Settings,
    now: float,
) -> tuple[Decision, State]:
    """Compare the wanted hosts of a service with those that run.

    The starts are to be ordered at once; after refusals the function is
    called again with the new state and finds the next alternatives.
    """
    state = _refill(state, settings, now)
    starts = _Starts(state, fleet, offers, settings, now)
    for offer, count in sorted(wanted.items()):
        missing = count - starts.count_by_offer[offer]
        for _ in range(missing):
            if not starts.order(offer):
                break
    first = min(wanted, default=None)
    missing_offers = [
        offer
        for offer, count in sorted(wanted.items())
        if count > starts.count_by_offer[offer]
    ]
    replaced = missing_offers[0] if missing_offers else first
    while replaced is not None and starts.cover(replaced, need):
        pass
    surplus_since = {
        host.id: state.surplus_since.get(host.id, now)
        for host in _surplus(need, wanted, fleet, offers)
    }
    drains = tuple(
        name
        for name, since in surplus_since.items()
        if now - since >= settings.surplus_s
    )
    own = {host.id for host in fleet}
    others = {
        name: since
        for name, since in state.surplus_since.items()
        if name not in own
    }
    stops = tuple(
        host.id
        for host in fleet
        if host.draining and host.idle and not host.leaving
    )
    state = dataclasses.replace(
        state,
        tokens=state.tokens - len(starts.ordered),
        surplus_since=others | surplus_since,
    )
    return Decision(tuple(starts.ordered), drains, stops), state


def _refill(state: State, settings: Settings, now: float) -> State:
    gained = (now - state.tokens_at) * settings.starts_per_s
    tokens = min(settings.start_burst, state.tokens + max(0.0, gained))
    return dataclasses.replace(state, tokens=tokens, tokens_at=now)


class _Starts:
    """Start orders of one decision, with the hosts that they lead to."""

    def __init__(
        self,
        state: State,
        fleet: Sequence[FleetHost],
        offers: Sequence[hosts.Offer],
        settings: Settings,
        now: float,
    ) -> None:
        self.ordered: list[hosts.OfferKey] = []
        self.count_by_offer = collections.Counter(
            host.offer for host in fleet if host.counts
        )
        self._state = state
        self._settings = settings
        self._now = now
        self._offers_by_key = {offer.key: offer for offer in offers}
        self._slots_by_zone: collections.Counter[ids.DataCentreName] = (
            collections.Counter()
        )
        for host in fleet:
            if host.counts:
                self._slots_by_zone[host.offer.zone] += host.slots
        # Leaving and draining hosts are still paid for.
        self._price = sum(
            self._offers_by_key[host.offer].price_per_hour
            for host in fleet
            if host.offer in self._offers_by_key
        )

    def order(self, key: hosts.OfferKey) -> bool:
        """Order a start if the offer, the backoff and the budget allow."""
        offer = self._offers_by_key.get(key)
        refusal = self._state.refusals.get(key)
        # After refusals one host is tried before more are ordered.
        if refusal is not None and (
            self._now < refusal.retry_at or key in self.ordered
        ):
            return False
        if (
            offer is None
            or len(self.ordered) + 1 > self._state.tokens
            or self.count_by_offer[key] >= offer.limit
            or self._price + offer.price_per_hour
            > self._settings.max_price_per_hour
        ):
            return False
        self.ordered.append(key)
        self.count_by_offer[key] += 1
        self._slots_by_zone[key.zone] += offer.slots
        self._price += offer.price_per_hour
        return True

    def cover(self, wanted: hosts.OfferKey, need: demand.Need) -> bool:
        """Order one more host if slots are missing; False when done."""
        slots = self._slots_by_zone
        enough = sum(slots.values()) >= need.total
        spread = placement.slots_after_zone_loss(slots) >= need.urgent
        if enough and spread:
            return False
        largest = max(slots, key=lambda zone: slots[zone], default=None)
        return any(
            self.order(offer.key)
            for offer in alternatives(wanted, self._offers_by_key.values())
            # A host in the largest zone does not help against its loss.
            if not enough or offer.key.zone != largest
        )


def _surplus(
    need: demand.Need,
    wanted: Mapping[hosts.OfferKey, int],
    fleet: Sequence[FleetHost],
    offers: Sequence[hosts.Offer],
) -> list[FleetHost]:
    """Hosts beyond the wanted ones that the serving hosts can spare."""
    price_by_offer = {offer.key: offer.price_per_hour for offer in offers}
    serving = [host for host in fleet if host.counts and host.serving]
    count_by_offer = collections.Counter(host.offer for host in serving)
    slots: collections.Counter[ids.DataCentreName] = collections.Counter()
    for host in serving:
        slots[host.offer.zone] += host.slots
    surplus = []
    by_price = sorted(
        serving,
        key=lambda host: (price_by_offer.get(host.offer, math.inf), host.id),
        reverse=True,
    )
    for host in by_price:
        if count_by_offer[host.offer] <= wanted.get(host.offer, 0):
            continue
        rest = collections.Counter(slots)
        rest[host.offer.zone] -= host.slots
        if (
            sum(rest.values()) >= need.total
            and placement.slots_after_zone_loss(rest) >= need.urgent
        ):
            slots = rest
            count_by_offer[host.offer] -= 1
            surplus.append(host)
    return surplus
