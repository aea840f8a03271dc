"""Slots that a service needs for its demand and latency target."""

import dataclasses
import math
from typing import Sequence

from ..core import ids
from ..core import types

MAX_UTILISATION = 0.85
"""Share of all slots that expected work may use; the rest absorbs bursts."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Expected requests of one service and rank.

    Attributes
    ----------
    arrivals_per_s : float
        Requests per second.
    service_s : float
        Mean time for which a request occupies a slot, in seconds.
    """

    service: ids.ServiceName
    rank: types.Rank
    arrivals_per_s: float
    service_s: float

    @property
    def load(self) -> float:
        """Mean number of occupied slots."""
        return self.arrivals_per_s * self.service_s


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyTarget:
    """Target for the urgent rank.

    Attributes
    ----------
    first_token_s, prefill_s : float
        Time limit up to the first token, and the part of it that the engine
        needs; the difference may be spent waiting for a slot.
    share : float
        Share of requests that have to meet the limit.
    """

    first_token_s: float = 1.1
    prefill_s: float = 0.3
    share: float = 0.99


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """Slots of one service.

    Attributes
    ----------
    total : int
        Slots for all ranks while all zones are there.
    urgent : int
        Slots that have to remain after the loss of any one zone.
    """

    service: ids.ServiceName
    total: int
    urgent: int


def need(
    service: ids.ServiceName,
    demands: Sequence[Demand],
    target: LatencyTarget = LatencyTarget(),
) -> Need:
    """Compute the slots of a service."""
    own = [demand for demand in demands if demand.service == service]
    urgent = [demand for demand in own if demand.rank is types.Rank.URGENT]
    arrivals = sum(demand.arrivals_per_s for demand in urgent)
    urgent_load = sum(demand.load for demand in urgent)
    service_s = urgent_load / arrivals if arrivals else 0.0
    urgent_slots = slots_for(arrivals, service_s, target)
    total_load = sum(demand.load for demand in own)
    total = max(urgent_slots, math.ceil(total_load / MAX_UTILISATION))
    return Need(service, total, urgent_slots)


def with_floor(needed: Need, urgent: int) -> Need:
    """Raise a need to at least `urgent` slots after the loss of a zone."""
    return dataclasses.replace(
        needed,
        total=max(needed.total, urgent),
        urgent=max(needed.urgent, urgent),
    )


def slots_for(
    arrivals_per_s: float, service_s: float, target: LatencyTarget
) -> int:
    """Return the fewest slots that keep the wait within the target.

    Uses the Erlang C formula: Poisson arrivals, exponential service times,
    one queue.
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
        waits = slots * blocked / (slots - load * (1.0 - blocked))
        late = waits * math.exp(-(slots - load) * limit_s / service_s)
        if late <= 1.0 - target.share:
            return slots
