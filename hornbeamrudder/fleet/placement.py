"""Cheapest set of hosts that tolerates the loss of any one zone.

If the largest zone has at most m slots, the loss of any zone leaves the
`urgent` slots exactly if the total is at least `urgent + m`. For each m,
dynamic programming over offers and zones finds the lowest cost. The result is
exact up to the size of a block of slots.
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
"""Number of blocks for large fleets; limits the time of a placement."""

Costs = numpy_typing.NDArray[numpy.float64]
Choices = numpy_typing.NDArray[numpy.int64]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Parameters of the cost function.

    Attributes
    ----------
    cost_per_reclaim : float
        Price of the work that is recomputed after a reclaim.
    recovery_s : float
        Time from a reclaim until the replacement serves, in seconds; during
        this time the replacement is billed but does not serve.
    running_discount : float
        Discount on the price of running hosts, as a share of the price, so
        that small price changes do not replace hosts.
    """

    cost_per_reclaim: float = 0.02
    recovery_s: float = 90.0
    running_discount: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Planned number of hosts by offer.

    Attributes
    ----------
    price_per_hour : float
        Sum of the offer prices, without the adjustments of `Settings`.
    survives_zone_loss : bool
        Whether the urgent slots remain after the loss of any zone. If the
        offers do not allow that, only the total is covered, as far as they
        allow.
    """

    count_by_offer: Mapping[hosts.OfferKey, int]
    price_per_hour: float
    survives_zone_loss: bool


def effective_price(offer: hosts.Offer, settings: Settings) -> float:
    """Return the hourly price of a host with the expected reclaim cost."""
    idle_share = offer.reclaims_per_hour * settings.recovery_s / 3600.0
    reclaims = offer.reclaims_per_hour * settings.cost_per_reclaim
    return offer.price_per_hour * (1.0 + idle_share) + reclaims


def place(
    required: demand.SlotRequirement,
    offers: Sequence[hosts.Offer],
    running: Mapping[hosts.OfferKey, int],
    settings: Settings = Settings(),
) -> Plan:
    """Choose the hosts of one service at the lowest cost.

    Parameters
    ----------
    running : mapping
        Number of running hosts of the service by offer.
    """
    if required.total_slots <= 0 or not offers:
        return Plan({}, 0.0, required.total_slots <= 0)
    counts = _cheapest_counts(required, offers, running, settings)
    if counts is None and required.urgent_slots > 0:
        without_spread = dataclasses.replace(required, urgent_slots=0)
        counts = _cheapest_counts(without_spread, offers, running, settings)
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
        slots_after_zone_loss(slots_by_zone) >= required.urgent_slots,
    )


def slots_after_zone_loss(
    slots_by_zone: Mapping[ids.DataCentreName, int],
) -> int:
    """Return the slots that remain after the loss of the largest zone."""
    return sum(slots_by_zone.values()) - max(slots_by_zone.values(), default=0)


def _cheapest_counts(
    required: demand.SlotRequirement,
    offers: Sequence[hosts.Offer],
    running: Mapping[hosts.OfferKey, int],
    settings: Settings,
) -> dict[hosts.OfferKey, int] | None:
    """Return the cheapest hosts by offer, or None if no plan suffices."""
    slot_unit = math.gcd(*(offer.slots for offer in offers))
    largest_offer = max(offer.slots for offer in offers) // slot_unit
    total = math.ceil(required.total_slots / slot_unit)
    urgent = math.ceil(required.urgent_slots / slot_unit)
    # Number of hosts of one offer that a block stands for.
    hosts_per_block = max(1, math.ceil(max(total, 2 * urgent) / MAX_BLOCKS))
    total = math.ceil(total / hosts_per_block)
    urgent = math.ceil(urgent / hosts_per_block)
    block_limit = max(total, urgent) + largest_offer
    zones = [
        _ZoneCosts(
            list(group),
            slot_unit,
            hosts_per_block,
            block_limit,
            running,
            settings,
        )
        for _, group in itertools.groupby(
            sorted(offers, key=lambda offer: offer.key),
            key=lambda offer: offer.key.zone,
        )
    ]
    best_cost = math.inf
    best_blocks: list[int] = []
    min_price_per_unit = min(
        (effective_price(offer, settings) - _discount(offer, settings))
        * slot_unit
        / offer.slots
        for offer in offers
    )
    for max_zone_blocks in _largest_zone_bounds(
        urgent, len(zones), block_limit
    ):
        required_total = (
            max(total, urgent + max_zone_blocks) if urgent else total
        )
        # The cost is at least this for this bound and all larger ones.
        if required_total * hosts_per_block * min_price_per_unit >= best_cost:
            break
        stages = _combine_zones(zones, max_zone_blocks, required_total)
        cost = float(stages[-1][0][required_total])
        if cost < best_cost - 1e-9:
            best_cost = cost
            best_blocks = _blocks_by_zone(
                stages, required_total, max_zone_blocks
            )
    if math.isinf(best_cost):
        return None
    counts: dict[hosts.OfferKey, int] = {}
    for zone, blocks in zip(zones, best_blocks, strict=True):
        counts.update(zone.counts(blocks))
    return counts


def _largest_zone_bounds(
    urgent: int, zones: int, block_limit: int
) -> Sequence[int]:
    """Return the bounds on the largest zone that allow `urgent` blocks."""
    if not urgent:
        return (block_limit,)
    if zones == 1:
        return ()
    return range(math.ceil(urgent / (zones - 1)), block_limit + 1)


def _discount(offer: hosts.Offer, settings: Settings) -> float:
    return settings.running_discount * offer.price_per_hour


class _ZoneCosts:
    """Lowest cost of each number of blocks of slots in one zone."""

    def __init__(
        self,
        offers: Sequence[hosts.Offer],
        slot_unit: int,
        hosts_per_block: int,
        block_limit: int,
        running: Mapping[hosts.OfferKey, int],
        settings: Settings,
    ) -> None:
        self._offers = offers
        self._hosts_per_block = hosts_per_block
        self._sizes = [offer.slots // slot_unit for offer in offers]
        self._choices: list[Choices] = []
        self.costs: Costs = numpy.full(block_limit + 1, math.inf)
        self.costs[0] = 0.0
        for offer, size in zip(offers, self._sizes, strict=True):
            prices = _prices(
                offer,
                hosts_per_block,
                min(offer.limit // hosts_per_block, block_limit // size),
                running.get(offer.key, 0),
                settings,
            )
            self._add(prices, size)

    def _add(self, prices: Costs, size: int) -> None:
        """Add an offer; `prices[n]` is the cost of `n * size` blocks."""
        previous_costs = self.costs
        new_costs = numpy.full_like(previous_costs, math.inf)
        choice = numpy.zeros(len(previous_costs), dtype=numpy.int64)
        for count, price in enumerate(prices):
            shift = count * size
            candidate = previous_costs[: len(previous_costs) - shift] + price
            better = candidate < new_costs[shift:]
            new_costs[shift:][better] = candidate[better]
            choice[shift:][better] = count
        self.costs = new_costs
        self._choices.append(choice)

    def counts(self, blocks: int) -> dict[hosts.OfferKey, int]:
        """Return the hosts by offer that give `blocks` at the lowest cost."""
        counts: dict[hosts.OfferKey, int] = {}
        for offer, size, choice in zip(
            reversed(self._offers),
            reversed(self._sizes),
            reversed(self._choices),
            strict=True,
        ):
            count = int(choice[blocks])
            blocks -= count * size
            if count:
                counts[offer.key] = count * self._hosts_per_block
        return counts


def _prices(
    offer: hosts.Offer,
    hosts_per_block: int,
    limit: int,
    running: int,
    settings: Settings,
) -> Costs:
    """Return the costs of 0 to `limit` blocks of hosts of an offer."""
    host_counts = numpy.arange(limit + 1) * hosts_per_block
    kept_counts = numpy.minimum(host_counts, running)
    price = effective_price(offer, settings)
    costs: Costs = (
        price * host_counts - _discount(offer, settings) * kept_counts
    )
    return costs


Stages = list[tuple[Costs, Choices]]


def _combine_zones(
    zones: Sequence[_ZoneCosts], max_zone_blocks: int, required_total: int
) -> Stages:
    """Return the lowest cost of each total, the last one standing for more."""
    costs: Costs = numpy.full(required_total + 1, math.inf)
    costs[0] = 0.0
    stages: Stages = []
    for zone in zones:
        new_costs = numpy.full_like(costs, math.inf)
        # Encodes the total before this zone and the blocks in this zone.
        choice = numpy.zeros(required_total + 1, dtype=numpy.int64)
        indices = numpy.arange(required_total + 1)
        for blocks in range(min(max_zone_blocks, len(zone.costs) - 1) + 1):
            price = zone.costs[blocks]
            if math.isinf(price):
                continue
            candidate = costs + price
            shift = min(blocks, required_total)
            exact = candidate[: required_total + 1 - shift]
            better = exact < new_costs[shift:]
            new_costs[shift:][better] = exact[better]
            codes = (
                indices[: required_total + 1 - shift] * (max_zone_blocks + 1)
                + blocks
            )
            choice[shift:][better] = codes[better]
            # Totals above `required_total` count as `required_total`.
            overflow = candidate[required_total - shift :]
            cheapest = int(numpy.argmin(overflow))
            if overflow[cheapest] < new_costs[required_total]:
                new_costs[required_total] = overflow[cheapest]
                earlier = required_total - shift + cheapest
                choice[required_total] = (
                    earlier * (max_zone_blocks + 1) + blocks
                )
        costs = new_costs
        stages.append((costs, choice))
    return stages


def _blocks_by_zone(
    stages: Stages, required_total: int, max_zone_blocks: int
) -> list[int]:
    """Decode the choices that lead to the cost of `required_total`."""
    blocks_by_index = [0] * len(stages)
    total = required_total
    for index in range(len(stages) - 1, -1, -1):
        code = int(stages[index][1][total])
        total, blocks_by_index[index] = divmod(code, max_zone_blocks + 1)
    return blocks_by_index
