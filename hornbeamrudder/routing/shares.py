"""Shares of the workers' slots between nodes, from reported demand.

Every node computes all shares from the same reports, so no allocator is
needed; reports that differ for one heartbeat only shift some slots.
"""

import dataclasses
import itertools
import math
from typing import Iterable, Mapping, Sequence

from ..core import hashing
from ..core import ids
from ..core import types

HASH_RANGE = 2.0**64
# The shares of all workers take time in proportion to workers times nodes.
# Demand changes with each request, but peers report it every 0.5 s.
REFRESH_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class OwnShares:
    """Slots that one node may use of each worker of a service.

    Attributes
    ----------
    computed_at : float
        Seconds; -inf where the shares were never computed.
    """

    demand_by_node: Mapping[ids.NodeId, float] = dataclasses.field(
        default_factory=dict
    )
    workers: tuple[types.Worker, ...] = ()
    computed_at: float = -math.inf
    slots_by_worker: Mapping[ids.WorkerId, int] = dataclasses.field(
        default_factory=dict
    )


def own_shares(
    known: OwnShares,
    node: ids.NodeId,
    workers: Iterable[types.Worker],
    demand_by_node: Mapping[ids.NodeId, float],
    now: float,
) -> OwnShares:
    """Return the shares of `node`, computed again where that is needed.

    Other workers and other live nodes count at once, other demand after
    `REFRESH_S`.
    """
    workers = tuple(workers)
    unchanged = demand_by_node == known.demand_by_node
    recent = (
        now - known.computed_at < REFRESH_S
        and demand_by_node.keys() == known.demand_by_node.keys()
    )
    if workers == known.workers and (unchanged or recent):
        return known
    service_slots = sum(worker.slots for worker in workers)
    return OwnShares(
        dict(demand_by_node),
        workers,
        now,
        {
            worker.id: worker_shares(
                worker.id, worker.slots, demand_by_node, service_slots
            ).get(node, 1)
            for worker in workers
        },
    )


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
