"""How many backend servers to order, of which kind and where; pure.

Answers reclaims of all reclaimable servers of one data centre at a time,
with none to be had anywhere for a while after, and bursts.
"""

import dataclasses
from typing import Mapping

from ..core import ids
from . import records


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A place and kind of backend servers that is ordered as one number."""

    service: ids.ServiceName
    data_centre: ids.DataCentreName
    reclaimable: bool


# Backend servers for each data centre, within the operator's bounds.
RECLAIMABLE_COUNT = 4
ON_DEMAND_COUNT = 0


def wanted(
    service: records.BackendService,
) -> Mapping[Kind, int]:
    """Numbers of backend servers of a service to have ordered.

    Reclaimable ones come first in each data centre: the operator's least
    number holds for both kinds together, so fewer on-demand ones are only
    accepted once the reclaimable ones are ordered.
    """
    scaling = service.scaling
    if scaling is None:
        return {}
    counts: dict[Kind, int] = {}
    for data_centre in scaling.price_by_data_centre:
        on_demand = min(ON_DEMAND_COUNT, scaling.most)
        reclaimable = 0
        if scaling.reclaimable_price is None:
            on_demand = max(on_demand, scaling.least)
        else:
            reclaimable = min(RECLAIMABLE_COUNT, scaling.most - on_demand)
            counts[Kind(service.name, data_centre, True)] = reclaimable
        counts[Kind(service.name, data_centre, False)] = on_demand
    return counts
