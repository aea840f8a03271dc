"""Target number of backend servers by data centre and price model; no I/O.

Reclaimable servers carry the load. On-demand servers are ordered only while
too few reclaimable servers would remain after one more reclaim. The policy
handles several consecutive reclaims, each of all reclaimable servers in one
data centre and followed by a period without reclaimable capacity anywhere, and
load that grows within seconds.
"""

import dataclasses
import itertools
import math
from typing import Mapping

from ..core import ids
from . import records

# Concurrent requests per engine at which requests of all ranks meet their
# target times (docs/policy.md).
RUNNING_PER_ENGINE = 10.0
# Concurrent requests per engine at which urgent requests still meet theirs.
RUNNING_PER_ENGINE_IN_SHORTAGE = 25.0
# Data centres that may be lost before reclaimable servers are available again.
MAX_LOST_DATA_CENTRES = 2
# Share of the operator's maximum that is ordered as reclaimable servers at any
# load: load grows faster than servers boot, and five reclaimable servers cost
# less than one on-demand server.
MIN_RECLAIMABLE_SHARE = 0.8
# Time constant of the decay of the load peak.
PEAK_DECAY_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerPool:
    """Backend servers that are ordered as one number."""

    service: ids.ServiceName
    data_centre: ids.DataCentreName
    reclaimable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Decaying peak of the concurrent requests of a service.

    Attributes
    ----------
    running : float
        Requests in progress or queued at all nodes.
    """

    running: float = 0.0
    at: float = 0.0


def update_demand(demand: Demand, running: int, now: float) -> Demand:
    """Return the demand after an observation of `running` requests."""
    decayed = demand.running * math.exp(
        -max(0.0, now - demand.at) / PEAK_DECAY_S
    )
    return Demand(max(float(running), decayed), now)


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Usable backend servers of a service.

    Attributes
    ----------
    reclaimable, on_demand : mapping
        Number of servers by data centre.
    reclaimable_unavailable : bool
        Whether an order of reclaimable servers was refused recently.
    """

    reclaimable: Mapping[ids.DataCentreName, int]
    on_demand: Mapping[ids.DataCentreName, int]
    reclaimable_unavailable: bool = False


def needed_servers(demand: Demand) -> int:
    """Return the servers needed to meet all target times."""
    return math.ceil(demand.running / RUNNING_PER_ENGINE)


def needed_in_shortage(demand: Demand) -> int:
    """Return the servers that must remain after a reclaim."""
    return math.ceil(demand.running / RUNNING_PER_ENGINE_IN_SHORTAGE)


def target_counts(
    service: records.BackendService, demand: Demand, fleet: Fleet
) -> Mapping[ServerPool, int]:
    """Return the target number of backend servers for each pool.

    Reclaimable pools come first in each data centre. The operator's minimum
    applies to the sum of both pools, so an order that reduces the on-demand
    servers is only accepted after the reclaimable servers are ordered.
    """
    scaling = service.scaling
    if scaling is None or not scaling.price_by_data_centre:
        return {}
    data_centres = list(scaling.price_by_data_centre)
    needed = needed_servers(demand)
    if scaling.reclaimable_price is None:
        per_data_centre = max(
            scaling.min_servers, math.ceil(needed / len(data_centres))
        )
        return {
            ServerPool(service.name, data_centre, False): min(
                per_data_centre, scaling.max_servers
            )
            for data_centre in data_centres
        }
    survivors = max(1, len(data_centres) - MAX_LOST_DATA_CENTRES)
    reclaimable = max(
        scaling.min_servers,
        math.ceil(MIN_RECLAIMABLE_SHARE * scaling.max_servers),
        math.ceil(needed / survivors),
    )
    reclaimable = min(reclaimable, scaling.max_servers)
    backup = _on_demand_backup(scaling, needed_in_shortage(demand), fleet)
    counts: dict[ServerPool, int] = {}
    for data_centre in data_centres:
        on_demand = backup.get(data_centre, 0)
        counts[ServerPool(service.name, data_centre, True)] = min(
            reclaimable, scaling.max_servers - on_demand
        )
        counts[ServerPool(service.name, data_centre, False)] = on_demand
    return counts


def _on_demand_backup(
    scaling: records.Scaling, needed: int, fleet: Fleet
) -> Mapping[ids.DataCentreName, int]:
    """Return on-demand servers that cover a shortfall, cheapest first."""
    remaining = sum(fleet.reclaimable.values())
    counts: dict[ids.DataCentreName, int] = {}
    if fleet.reclaimable_unavailable:
        remaining -= max(fleet.reclaimable.values(), default=0)
        # Existing on-demand servers stay until reclaimable ones are available.
        counts = {
            data_centre: count
            for data_centre, count in fleet.on_demand.items()
            if count
        }
    missing = needed - remaining
    by_price = sorted(
        (price, data_centre)
        for data_centre, price in scaling.price_by_data_centre.items()
    )
    # Round-robin over data centres, so that no single one has all servers.
    order = itertools.chain.from_iterable(
        itertools.repeat(
            [data_centre for _, data_centre in by_price], scaling.max_servers
        )
    )
    for data_centre in order:
        if sum(counts.values()) >= missing:
            break
        present = fleet.reclaimable.get(data_centre, 0)
        if counts.get(data_centre, 0) + present < scaling.max_servers:
            counts[data_centre] = counts.get(data_centre, 0) + 1
    return counts
