"""Shares of the workers' slots between nodes, from reported demand.

Every node computes all shares from the same reports, so no allocator is
needed; reports that differ for one heartbeat only shift some slots.
"""

import itertools
import math
from typing import Mapping, Sequence

from ..core import hashing
from ..core import ids

HASH_RANGE = 2.0**64


def max_min_fair(
    capacity: float, demands: Sequence[float], minimum: float = 0.0
) -> tuple[float, ...]:
    """Allocate by max-min fairness and divide what is left equally.

    Parameters
    ----------
    capacity : float
        Amount to allocate, in any unit.
    demands : sequence of float, shape (n,)
    minimum : float
        Least allocation of each; lowered to an equal part of `capacity`.

    Returns
    -------
    tuple of float, shape (n,)
        Sums to `capacity` unless there are no demands.
    """
    if not demands:
        return ()
    minimum = min(minimum, capacity / len(demands))
    wanted = [max(demand, minimum) for demand in demands]
    left = capacity
    allocated = [0.0] * len(wanted)
    order = sorted(range(len(wanted)), key=wanted.__getitem__)
    for position, index in enumerate(order):
        allocated[index] = min(wanted[index], left / (len(order) - position))
        left -= allocated[index]
    return tuple(part + left / len(wanted) for part in allocated)


def worker_shares(
    worker: ids.WorkerId,
    slots: int,
    demand_by_node: Mapping[ids.NodeId, float],
    service_slots: int,
) -> dict[ids.NodeId, int]:
    """Divide the slots of one worker between the live nodes.

    Parameters
    ----------
    demand_by_node : mapping
        Slots that each live node could use in the whole service. A node
        whose heartbeats stopped is left out, which returns its share.
    service_slots : int
        Slots of all workers of the service.

    Returns
    -------
    dict
        At least one slot for each node; the sum is `slots` unless there are
        more nodes than slots.
    """
    # The order and the offset differ by worker, so that the rounding favours
    # different nodes on different workers.
    nodes = hashing.rendezvous_order(worker, demand_by_node)
    part = slots / max(1, service_slots)
    targets = max_min_fair(
        slots,
        [demand_by_node[ids.NodeId(node)] * part for node in nodes],
        minimum=1.0,
    )
    offset = hashing.stable_hash('share', worker) / HASH_RANGE
    ends = [
        # Sums of fractions may fall just below a whole number.
        math.floor(total + offset + 1e-9)
        for total in itertools.accumulate(targets)
    ]
    return {
        ids.NodeId(node): max(1, end - start)
        for node, start, end in zip(nodes, [0, *ends], ends)
    }
