"""Wanted hosts by offer at least cost that survive the loss of a zone.

With the capacity of the largest zone bounded by m, the loss of any zone
leaves `urgent` slots exactly if the total is at least `urgent + m`. For
each m, dynamic programming over offers and zones finds the least cost; the
result is exact up to the size of a block of slots.
"""

import dataclasses
import itertools
import math
from typing import Mapping, Sequence

import numpy
from numpy import typing as numpy_typing

from ..core import hosts
from ..core import ids
from . import demand

MAX_BLOCKS = 64
"""Resolution for large fleets; bounds the time of one placement."""

Costs = numpy_typing.NDArray[numpy.float64]
Choices = numpy_typing.NDArray[numpy.int64]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Weights of the cost.

    Attributes
    ----------
    cost_per_reclaim : float
        Price of the work that is computed again after a reclaim.
    recovery_s : float
        Time from a reclaim until the replacement serves, in seconds; the
        host is paid for while it does not serve.
    keep_share : float
        Share of the price by which a running host is preferred over a new
        one, so that small changes of price do not replace hosts.
    """

    cost_per_reclaim: float = 0.02
    recovery_s: float = 90.0
    keep_share: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Wanted number of hosts by offer.

    Attributes
    ----------
    price_per_hour : float
        Sum of the prices, without the weights of `Settings`.
    survives_zone_loss : bool
        False where the offers do not allow it; the total is still covered
        as far as the offers allow.
    """

    count_by_offer: Mapping[hosts.OfferKey, int]
    price_per_hour: float
    survives_zone_loss: bool


def effective_price(offer: hosts.Offer, settings: Settings) -> float:
    """Price per hour of a host, with the expected cost of reclaims."""
    idle_share = offer.reclaims_per_hour * settings.recovery_s / 3600.0
    reclaims = offer.reclaims_per_hour * settings.cost_per_reclaim
    return offer.price_per_hour * (1.0 + idle_share) + reclaims


def place(
    need: demand.Need,
    offers: Sequence[hosts.Offer],
    running: Mapping[hosts.OfferKey, int],
    settings: Settings = Settings(),
) -> Plan:
    """Choose the wanted hosts of one service.

    Parameters
    ----------
    running : mapping
        Number of hosts of the service that run now, by offer.
    """
    if need.total <= 0 or not offers:
        return Plan({}, 0.0, need.total <= 0)
    counts = _cheapest(need, offers, running, settings)
    if counts is None and need.urgent > 0:
        relaxed = dataclasses.replace(need, urgent=0)
        counts = _cheapest(relaxed, offers, running, settings)
    if counts is None:
        counts = {offer.key: offer.limit for offer in offers}
    slots_by_zone = dict.fromkeys((offer.key.zone for offer in offers), 0)
    for offer in offers:
        slots = counts.get(offer.key, 0) * offer.slots
        slots_by_zone[offer.key.zone] += slots
    return Plan(
        counts,
        sum(
            offer.price_per_hour * counts.get(offer.key, 0) for offer in offers
        ),
        slots_after_zone_loss(slots_by_zone) >= need.urgent,
    )


def slots_after_zone_loss(
    slots_by_zone: Mapping[ids.DataCentreName, int],
) -> int:
    """Slots that remain after the loss of the largest zone."""
    return sum(slots_by_zone.values()) - max(slots_by_zone.values(), default=0)


def _cheapest(
    need: demand.Need,
    offers: Sequence[hosts.Offer],
    running: Mapping[hosts.OfferKey, int],
    settings: Settings,
) -> dict[hosts.OfferKey, int] | None:
    unit = math.gcd(*(offer.slots for offer in offers))
    largest = max(offer.slots for offer in offers) // unit
    total = math.ceil(need.total / unit)
    urgent = math.ceil(need.urgent / unit)
    # One block stands for this number of hosts of an offer.
    block = max(1, math.ceil(max(total, 2 * urgent) / MAX_BLOCKS))
    total = math.ceil(total / block)
    urgent = math.ceil(urgent / block)
    width = max(total, urgent) + largest
    zones = [
        _Zone(list(group), unit, block, width, running, settings)
        for _, group in itertools.groupby(
            sorted(offers, key=lambda offer: offer.key),
            key=lambda offer: offer.key.zone,
        )
    ]
    best = math.inf
    best_amounts: list[int] = []
    least_price = min(
        (effective_price(offer, settings) - _discount(offer, settings))
        * unit
        / offer.slots
        for offer in offers
    )
    for bound in _bounds(urgent, len(zones), width):
        wanted = max(total, urgent + bound) if urgent else total
        # Larger bounds need at least this much, so that none is cheaper.
        if wanted * block * least_price >= best:
            break
        stages = _combine_zones(zones, bound, wanted)
        cost = float(stages[-1][0][wanted])
        if cost < best - 1e-9:
            best = cost
            best_amounts = _amounts(stages, wanted, bound)
    if math.isinf(best):
        return None
    counts: dict[hosts.OfferKey, int] = {}
    for zone, amount in zip(zones, best_amounts, strict=True):
        counts.update(zone.counts(amount))
    return counts


def _bounds(urgent: int, zones: int, width: int) -> Sequence[int]:
    """Bounds on the largest zone that leave `urgent` blocks possible."""
    if not urgent:
        return (width,)
    if zones == 1:
        return ()
    return range(math.ceil(urgent / (zones - 1)), width + 1)


def _discount(offer: hosts.Offer, settings: Settings) -> float:
    return settings.keep_share * offer.price_per_hour


class _Zone:
    """Least cost of each number of blocks of slots in one zone."""

    def __init__(
        self,
        offers: Sequence[hosts.Offer],
        unit: int,
        block: int,
        width: int,
        running: Mapping[hosts.OfferKey, int],
        settings: Settings,
    ) -> None:
        self._offers = offers
        self._block = block
        self._sizes = [offer.slots // unit for offer in offers]
        self._choices: list[Choices] = []
        self.costs: Costs = numpy.full(width + 1, math.inf)
        self.costs[0] = 0.0
        for offer, size in zip(offers, self._sizes, strict=True):
            prices = _prices(
                offer,
                block,
                min(offer.limit // block, width // size),
                running.get(offer.key, 0),
                settings,
            )
            self._add(prices, size)

    def _add(self, prices: Costs, size: int) -> None:
        old = self.costs
        new = numpy.full_like(old, math.inf)
        choice = numpy.zeros(len(old), dtype=numpy.int64)
        for count, price in enumerate(prices):
            shift = count * size
            candidate = old[: len(old) - shift] + price
            better = candidate < new[shift:]
            new[shift:][better] = candidate[better]
            choice[shift:][better] = count
        self.costs = new
        self._choices.append(choice)

    def counts(self, amount: int) -> dict[hosts.OfferKey, int]:
        """Numbers of hosts that give `amount` blocks at least cost."""
        found: dict[hosts.OfferKey, int] = {}
        for offer, size, choice in zip(
            reversed(self._offers),
            reversed(self._sizes),
            reversed(self._choices),
            strict=True,
        ):
            count = int(choice[amount])
            amount -= count * size
            if count:
                found[offer.key] = count * self._block
        return found


def _prices(
    offer: hosts.Offer,
    block: int,
    limit: int,
    running: int,
    settings: Settings,
) -> Costs:
    """Costs of 0 to `limit` blocks of hosts of an offer."""
    numbers = numpy.arange(limit + 1) * block
    kept = numpy.minimum(numbers, running)
    price = effective_price(offer, settings)
    costs: Costs = price * numbers - _discount(offer, settings) * kept
    return costs


Stages = list[tuple[Costs, Choices]]


def _combine_zones(zones: Sequence[_Zone], bound: int, wanted: int) -> Stages:
    """Least cost of each total, `wanted` standing for that or more."""
    costs: Costs = numpy.full(wanted + 1, math.inf)
    costs[0] = 0.0
    stages: Stages = []
    for zone in zones:
        new = numpy.full_like(costs, math.inf)
        # Encodes the earlier total and the amount in this zone.
        choice = numpy.zeros(wanted + 1, dtype=numpy.int64)
        indices = numpy.arange(wanted + 1)
        for amount in range(min(bound, len(zone.costs) - 1) + 1):
            price = zone.costs[amount]
            if math.isinf(price):
                continue
            candidate = costs + price
            shift = min(amount, wanted)
            exact = candidate[: wanted + 1 - shift]
            better = exact < new[shift:]
            new[shift:][better] = exact[better]
            codes = indices[: wanted + 1 - shift] * (bound + 1) + amount
            choice[shift:][better] = codes[better]
            # Totals above `wanted` count as `wanted`.
            over = candidate[wanted - shift :]
            place_in_over = int(numpy.argmin(over))
            if over[place_in_over] < new[wanted]:
                new[wanted] = over[place_in_over]
                earlier = wanted - shift + place_in_over
                choice[wanted] = earlier * (bound + 1) + amount
        costs = new
        stages.append((costs, choice))
    return stages


def _amounts(stages: Stages, wanted: int, bound: int) -> list[int]:
    amounts = [0] * len(stages)
    total = wanted
    for place in range(len(stages) - 1, -1, -1):
        code = int(stages[place][1][total])
        total, amounts[place] = divmod(code, bound + 1)
    return amounts
