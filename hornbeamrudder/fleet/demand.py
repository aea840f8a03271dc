"""Slots required by a service for its demand and latency target."""

import dataclasses
import math
from typing import Sequence

from ..core import ids
from ..core import types

MAX_UTILISATION = 0.85
"""Share of all slots for expected work; the rest absorbs bursts."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Expected requests of one service and rank.

    Attributes
    ----------
    arrivals_per_s : float
        Requests per second.
    service_s : float
        Mean time for which a request holds a slot, in seconds.
    """

    service: ids.ServiceName
    rank: types.Rank
    arrivals_per_s: float
    service_s: float

    @property
    def offered_load(self) -> float:
        """Mean number of occupied slots, in erlangs."""
        return self.arrivals_per_s * self.service_s


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyTarget:
    """Latency target of the urgent rank.

    Attributes
    ----------
    first_token_s, prefill_s : float
        Limit on the time to the first token, and the part of it that the
        engine takes; the remainder may be spent waiting for a slot.
    share : float
        Share of requests that must meet the limit.
    """

    first_token_s: float = 1.1
    prefill_s: float = 0.3
    share: float = 0.99


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequirement:
    """Slots required by one service.

    Attributes
    ----------
    total_slots : int
        Slots for all ranks while no zone is lost.
    urgent_slots : int
        Slots that must remain after the loss of any one zone.
    """

    service: ids.ServiceName
    total_slots: int
    urgent_slots: int


def required_slots(
    service: ids.ServiceName,
    demands: Sequence[Demand],
    target: LatencyTarget = LatencyTarget(),
) -> SlotRequirement:
    """Compute the slots required by a service."""
    demands_of_service = [
        demand for demand in demands if demand.service == service
    ]
    urgent = [
        demand
        for demand in demands_of_service
        if demand.rank is types.Rank.URGENT
    ]
    arrivals = sum(demand.arrivals_per_s for demand in urgent)
    urgent_load = sum(demand.offered_load for demand in urgent)
    service_s = urgent_load / arrivals if arrivals else 0.0
    urgent_slots = min_slots(arrivals, service_s, target)
    total_load = sum(demand.offered_load for demand in demands_of_service)
    total = max(urgent_slots, math.ceil(total_load / MAX_UTILISATION))
    return SlotRequirement(service, total, urgent_slots)


def with_min_urgent_slots(
    requirement: SlotRequirement, urgent: int
) -> SlotRequirement:
    """Require at least `urgent` slots after the loss of a zone."""
    return dataclasses.replace(
        requirement,
        total_slots=max(requirement.total_slots, urgent),
        urgent_slots=max(requirement.urgent_slots, urgent),
    )


def min_slots(
    arrivals_per_s: float, service_s: float, target: LatencyTarget
) -> int:
    """Return the minimum number of slots that meets the latency target.

    Uses the Erlang C formula, which assumes Poisson arrivals, exponential
    service times and a single queue.
    """
    load = arrivals_per_s * service_s
    if load <= 0.0:
        return 0
    limit_s = max(0.0, target.first_token_s - target.prefill_s)
    blocked = 1.0
    slots = 0
    while True:
        slots += 1
        blocked = load * blocked / (slots + load * blocked)
        if slots <= load:
            continue
        wait_probability = slots * blocked / (slots - load * (1.0 - blocked))
        late_share = wait_probability * math.exp(
            -(slots - load) * limit_s / service_s
        )
        if late_share <= 1.0 - target.share:
            return slots
