"""How many backend servers to order, of which kind and where; pure.

Answers reclaims of all reclaimable servers of one data centre at a time, with
none to be had anywhere for a while after, several in a row, and load that
grows within seconds. Reclaimable servers carry the load; on-demand ones are
ordered only while too few reclaimable ones would be left after one more
reclaim.
"""

import dataclasses
import itertools
import math
from typing import Mapping

from ..core import ids
from . import records

# Requests in progress at one engine up to which all kinds of requests are
# served in time, by the measurements in docs/policy.md.
RUNNING_PER_ENGINE = 10.0
# The same for the urgent ones alone, while servers are short.
RUNNING_PER_ENGINE_SHORT = 25.0
# Data centres that may be lost before new reclaimable servers are to be had.
LOST_DATA_CENTRES = 2
# Part of the operator's largest number that is ordered as reclaimable servers
# however low the load: load grows faster than servers boot, and five cost
# less than one on-demand server.
LEAST_SHARE = 0.8
# Time in which the remembered peak of the load falls to a third.
PEAK_MEMORY_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A place and kind of backend servers that is ordered as one number."""

    service: ids.ServiceName
    data_centre: ids.DataCentreName
    reclaimable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Peak of the requests in progress that is remembered for a while.

    Attributes
    ----------
    running : float
        Requests in progress or waiting, of all nodes; 0 before any.
    """

    running: float = 0.0
    at: float = 0.0


def observed(demand: Demand, running: int, now: float) -> Demand:
    """Take in the requests in progress now."""
    kept = demand.running * math.exp(
        -max(0.0, now - demand.at) / PEAK_MEMORY_S
    )
    return Demand(max(float(running), kept), now)


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Backend servers of a service that take requests.

    Attributes
    ----------
    reclaimable, on_demand : mapping
        Usable servers by data centre.
    none_to_be_had : bool
        Whether an order of reclaimable servers was refused a moment ago.
    """

    reclaimable: Mapping[ids.DataCentreName, int]
    on_demand: Mapping[ids.DataCentreName, int]
    none_to_be_had: bool = False


def needed_servers(demand: Demand) -> int:
    """Servers that carry the load with the answers in time."""
    return math.ceil(demand.running / RUNNING_PER_ENGINE)


def needed_when_short(demand: Demand) -> int:
    """Servers that must be left whatever is reclaimed."""
    return math.ceil(demand.running / RUNNING_PER_ENGINE_SHORT)


def wanted(
    service: records.BackendService, demand: Demand, fleet: Fleet
) -> Mapping[Kind, int]:
    """Numbers of backend servers of a service to have ordered.

    Reclaimable ones come first in each data centre: the operator's least
    number holds for both kinds together, so fewer on-demand ones are only
    accepted once the reclaimable ones are ordered.
    """
    scaling = service.scaling
    if scaling is None or not scaling.price_by_data_centre:
        return {}
    data_centres = list(scaling.price_by_data_centre)
    needed = needed_servers(demand)
    if scaling.reclaimable_price is None:
        each = max(scaling.least, math.ceil(needed / len(data_centres)))
        return {
            Kind(service.name, data_centre, False): min(each, scaling.most)
            for data_centre in data_centres
        }
    survivors = max(1, len(data_centres) - LOST_DATA_CENTRES)
    reclaimable = max(
        scaling.least,
        math.ceil(LEAST_SHARE * scaling.most),
        math.ceil(needed / survivors),
    )
    reclaimable = min(reclaimable, scaling.most)
    cover = _cover(scaling, needed_when_short(demand), fleet)
    counts: dict[Kind, int] = {}
    for data_centre in data_centres:
        on_demand = cover.get(data_centre, 0)
        counts[Kind(service.name, data_centre, True)] = min(
            reclaimable, scaling.most - on_demand
        )
        counts[Kind(service.name, data_centre, False)] = on_demand
    return counts


def _cover(
    scaling: records.Scaling, needed: int, fleet: Fleet
) -> Mapping[ids.DataCentreName, int]:
    """On-demand servers for those that may be missing, cheapest first."""
    left = sum(fleet.reclaimable.values())
    counts: dict[ids.DataCentreName, int] = {}
    if fleet.none_to_be_had:
        left -= max(fleet.reclaimable.values(), default=0)
        # Those that are there stay until reclaimable ones are to be had.
        counts = {
            data_centre: count
            for data_centre, count in fleet.on_demand.items()
            if count
        }
    missing = needed - left
    rooms = sorted(
        (price, data_centre)
        for data_centre, price in scaling.price_by_data_centre.items()
    )
    # One a data centre in turn, so that no data centre holds them all.
    order = itertools.chain.from_iterable(
        itertools.repeat(
            [data_centre for _, data_centre in rooms], scaling.most
        )
    )
    for data_centre in order:
        if sum(counts.values()) >= missing:
            break
        present = fleet.reclaimable.get(data_centre, 0)
        if counts.get(data_centre, 0) + present < scaling.most:
            counts[data_centre] = counts.get(data_centre, 0) + 1
    return counts
