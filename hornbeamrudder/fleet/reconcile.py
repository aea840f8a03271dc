"""Reconciles the running hosts of a service with the planned ones."""

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
    """Limits on starts and drains.

    Attributes
    ----------
    retry_base_s, retry_max_s : float
        First and longest backoff of an offer after a refused start.
    starts_per_s, start_burst : float
        Rate and burst of the start budget, which refused starts also use.
    drain_delay_s : float
        Time for which a host has to be surplus before it is drained, so
        that a short drop in demand does not stop hosts.
    max_price_per_hour : float
        Upper limit on the total price; starts above it are not ordered.
    """

    retry_base_s: float = 5.0
    retry_max_s: float = 300.0
    starts_per_s: float = 0.5
    start_burst: float = 30.0
    drain_delay_s: float = 120.0
    max_price_per_hour: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class FleetHost:
    """State of a host of one service.

    Attributes
    ----------
    leaving : bool
        Whether a reclaim was announced or the host is gone.
    draining : bool
        Whether the host was told to accept no new work; a drain is never
        cancelled.
    idle : bool
        Whether the host has reported, after the drain took effect, that no
        work is in progress.
    """

    id: ids.HostId
    offer: hosts.OfferKey
    slots: int
    serving: bool
    leaving: bool = False
    draining: bool = False
    idle: bool = False

    @property
    def counts_as_capacity(self) -> bool:
        """Whether the host serves or will serve, and is to be kept."""
        return not self.leaving and not self.draining


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Consecutive refusals of an offer and the time of the next retry."""

    count: int
    retry_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State kept between decisions under one fencing number.

    Attributes
    ----------
    tokens : float
        Tokens of the start budget as of `tokens_updated_at`.
    surplus_since : mapping
        Time since when each host has been surplus.
    """

    tokens: float
    tokens_updated_at: float
    refusals: Mapping[hosts.OfferKey, Refusal]
    surplus_since: Mapping[ids.HostId, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Hosts to start, drain and stop."""

    starts: tuple[hosts.OfferKey, ...]
    drains: tuple[ids.HostId, ...]
    stops: tuple[ids.HostId, ...]


def initial_state(settings: Settings, now: float) -> State:
    """Return the state that a new lease holder starts with."""
    return State(settings.start_burst, now, {}, {})


def record_refusal(
    state: State,
    offer: hosts.OfferKey,
    settings: Settings,
    now: float,
    rng: random.Random,
) -> State:
    """Record a refused start and back off exponentially.

    The backoff is multiplied by a random factor of 0.5 to 1, so that the
    retries of several offers do not coincide.
    """
    previous = state.refusals.get(offer)
    count = previous.count + 1 if previous else 1
    # Bounds the exponent, as a float overflows above 2**1023.
    backoff_s = settings.retry_base_s * 2.0 ** min(count - 1, 60)
    wait_s = min(backoff_s, settings.retry_max_s) * rng.uniform(0.5, 1.0)
    refusal = Refusal(count, now + wait_s)
    return dataclasses.replace(
        state, refusals={**state.refusals, offer: refusal}
    )


def record_acceptance(state: State, offer: hosts.OfferKey) -> State:
    """Record an accepted start, which resets the backoff of its offer."""
    return dataclasses.replace(
        state,
        refusals={
            key: refusal
            for key, refusal in state.refusals.items()
            if key != offer
        },
    )


def discard_absent_hosts(state: State, known: Iterable[ids.HostId]) -> State:
    """Remove the state of hosts that no longer exist."""
    known_ids = frozenset(known)
    return dataclasses.replace(
        state,
        surplus_since={
            host_id: since
            for host_id, since in state.surplus_since.items()
            if host_id in known_ids
        },
    )


def fallback_offers(
    desired: hosts.OfferKey, offers: Iterable[hosts.Offer]
) -> tuple[hosts.Offer, ...]:
    """Sort offers by preference as substitutes for the desired one.

    Reclaimable offers come before on-demand offers, then offers in the same
    zone, then those with the lowest price per slot.
    """
    return tuple(
        sorted(
            offers,
            key=lambda offer: (
                offer.key != desired,
                not offer.key.reclaimable,
                offer.key.zone != desired.zone,
                offer.price_per_hour / offer.slots,
                offer.key,
            ),
        )
    )


def decide(
    state: State,
    required: demand.SlotRequirement,
    desired: Mapping[hosts.OfferKey, int],
    fleet: Sequence[FleetHost],
    offers: Sequence[hosts.Offer],
    settings: Settings,
    now: float,
) -> tuple[Decision, State]:
    """Compare the planned hosts of a service with the running ones.

    The caller orders the starts at once and, if some are refused, calls the
    function again with the new state to get the next fallback offers.
    """
    state = _refill_tokens(state, settings, now)
    planner = _StartPlanner(state, fleet, offers, settings, now)
    for offer, count in sorted(desired.items()):
        missing = count - planner.count_by_offer[offer]
        for _ in range(missing):
            if not planner.try_start(offer):
                break
    lowest_offer = min(desired, default=None)
    missing_offers = [
        offer
        for offer, count in sorted(desired.items())
        if count > planner.count_by_offer[offer]
    ]
    reference_offer = missing_offers[0] if missing_offers else lowest_offer
    while reference_offer is not None and planner.try_start_fallback(
        reference_offer, required
    ):
        pass
    surplus_since = {
        host.id: state.surplus_since.get(host.id, now)
        for host in _surplus_hosts(required, desired, fleet, offers)
    }
    drains = tuple(
        host_id
        for host_id, since in surplus_since.items()
        if now - since >= settings.drain_delay_s
    )
    fleet_ids = {host.id for host in fleet}
    other_services = {
        host_id: since
        for host_id, since in state.surplus_since.items()
        if host_id not in fleet_ids
    }
    stops = tuple(
        host.id
        for host in fleet
        if host.draining and host.idle and not host.leaving
    )
    state = dataclasses.replace(
        state,
        tokens=state.tokens - len(planner.starts),
        surplus_since=other_services | surplus_since,
    )
    return Decision(tuple(planner.starts), drains, stops), state


def _refill_tokens(state: State, settings: Settings, now: float) -> State:
    refilled = (now - state.tokens_updated_at) * settings.starts_per_s
    tokens = min(settings.start_burst, state.tokens + max(0.0, refilled))
    return dataclasses.replace(state, tokens=tokens, tokens_updated_at=now)


class _StartPlanner:
    """Collects the starts of one decision within the limits."""

    def __init__(
        self,
        state: State,
        fleet: Sequence[FleetHost],
        offers: Sequence[hosts.Offer],
        settings: Settings,
        now: float,
    ) -> None:
        self.starts: list[hosts.OfferKey] = []
        self.count_by_offer = collections.Counter(
            host.offer for host in fleet if host.counts_as_capacity
        )
        self._state = state
        self._settings = settings
        self._now = now
        self._offers_by_key = {offer.key: offer for offer in offers}
        self._slots_by_zone: collections.Counter[ids.DataCentreName] = (
            collections.Counter()
        )
        for host in fleet:
            if host.counts_as_capacity:
                self._slots_by_zone[host.offer.zone] += host.slots
        # Leaving and draining hosts are still billed.
        self._price = sum(
            self._offers_by_key[host.offer].price_per_hour
            for host in fleet
            if host.offer in self._offers_by_key
        )

    def try_start(self, key: hosts.OfferKey) -> bool:
        """Add a start if the offer, the backoff and the budget allow it."""
        offer = self._offers_by_key.get(key)
        refusal = self._state.refusals.get(key)
        # After a refusal an offer is probed with a single host first.
        if refusal is not None and (
            self._now < refusal.retry_at or key in self.starts
        ):
            return False
        if (
            offer is None
            or len(self.starts) + 1 > self._state.tokens
            or self.count_by_offer[key] >= offer.limit
            or self._price + offer.price_per_hour
            > self._settings.max_price_per_hour
        ):
            return False
        self.starts.append(key)
        self.count_by_offer[key] += 1
        self._slots_by_zone[key.zone] += offer.slots
        self._price += offer.price_per_hour
        return True

    def try_start_fallback(
        self, desired: hosts.OfferKey, required: demand.SlotRequirement
    ) -> bool:
        """Add a start of a fallback offer if slots are missing.

        Returns False if no slots are missing or no offer is usable.
        """
        slots = self._slots_by_zone
        total_met = sum(slots.values()) >= required.total_slots
        spread_met = (
            placement.slots_after_zone_loss(slots) >= required.urgent_slots
        )
        if total_met and spread_met:
            return False
        largest_zone = max(slots, key=lambda zone: slots[zone], default=None)
        return any(
            self.try_start(offer.key)
            for offer in fallback_offers(desired, self._offers_by_key.values())
            # Slots in the largest zone do not reduce the effect of its loss.
            if not total_met or offer.key.zone != largest_zone
        )


def _surplus_hosts(
    required: demand.SlotRequirement,
    desired: Mapping[hosts.OfferKey, int],
    fleet: Sequence[FleetHost],
    offers: Sequence[hosts.Offer],
) -> list[FleetHost]:
    """Return serving hosts beyond the plan that are not required."""
    price_by_offer = {offer.key: offer.price_per_hour for offer in offers}
    serving = [
        host for host in fleet if host.counts_as_capacity and host.serving
    ]
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
        if count_by_offer[host.offer] <= desired.get(host.offer, 0):
            continue
        remaining = collections.Counter(slots)
        remaining[host.offer.zone] -= host.slots
        if (
            sum(remaining.values()) >= required.total_slots
            and placement.slots_after_zone_loss(remaining)
            >= required.urgent_slots
        ):
            slots = remaining
            count_by_offer[host.offer] -= 1
            surplus.append(host)
    return surplus
