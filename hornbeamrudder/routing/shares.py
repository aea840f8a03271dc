"""Division of worker slots between nodes according to reported demand.

Every node computes the shares of all nodes from the same reports, so no
central allocator is needed. Reports that differ for one heartbeat only shift a
few slots.
"""

import dataclasses
import itertools
import math
from typing import Iterable, Mapping, Sequence

from ..core import hashing
from ..core import ids
from ..core import types

HASH_RANGE = 2.0**64
# Minimum interval between computations if only the demand changed. Demand
# changes with each request, but peers report it every 0.5 s, and the cost is
# proportional to workers times nodes.
REFRESH_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class OwnShares:
    """Slots that one node may use of each worker of a service.

    Attributes
    ----------
    computed_at : float
        Time in seconds; -inf if the shares were never computed.
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
    previous: OwnShares,
    node: ids.NodeId,
    workers: Iterable[types.Worker],
    demand_by_node: Mapping[ids.NodeId, float],
    now: float,
) -> OwnShares:
    """Return the shares of `node`, recomputing them if necessary.

    Changes of the workers or the live nodes take effect immediately, changes
    of the demand after `REFRESH_INTERVAL_S`.
    """
    workers = tuple(workers)
    unchanged = demand_by_node == previous.demand_by_node
    recent = (
        now - previous.computed_at < REFRESH_INTERVAL_S
        and demand_by_node.keys() == previous.demand_by_node.keys()
    )
    if workers == previous.workers and (unchanged or recent):
        return previous
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
    """Allocate by max-min fairness and divide the remainder equally.

    Parameters
    ----------
    capacity : float
        Amount to allocate, in the unit of `demands`.
    demands : sequence of float, shape (n,)
    minimum : float
        Minimum allocation of each; reduced to an equal part of `capacity` if
        that is smaller.

    Returns
    -------
    tuple of float, shape (n,)
        The sum is `capacity` unless there are no demands.
    """
    if not demands:
        return ()
    minimum = min(minimum, capacity / len(demands))
    requested = [max(demand, minimum) for demand in demands]
    remaining = capacity
    allocated = [0.0] * len(requested)
    order = sorted(range(len(requested)), key=requested.__getitem__)
    for position, index in enumerate(order):
        allocated[index] = min(
            requested[index], remaining / (len(order) - position)
        )
        remaining -= allocated[index]
    return tuple(part + remaining / len(requested) for part in allocated)


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
        Slots of the whole service that each live node could use. Nodes whose
        heartbeats stopped are omitted, which frees their share.
    service_slots : int
        Total slots of all workers of the service.

    Returns
    -------
    dict
        At least one slot for each node; the sum is `slots` unless there are
        more nodes than slots.
    """
    # Order and offset depend on the worker, so that rounding favours different
    # nodes at different workers.
    nodes = hashing.rendezvous_order(worker, demand_by_node)
    slot_fraction = slots / max(1, service_slots)
    targets = max_min_fair(
        slots,
        [demand_by_node[ids.NodeId(node)] * slot_fraction for node in nodes],
        minimum=1.0,
    )
    offset = hashing.stable_hash('share', worker) / HASH_RANGE
    ends = [
        # Tolerates sums that rounding errors put just below an integer.
        math.floor(total + offset + 1e-9)
        for total in itertools.accumulate(targets)
    ]
    return {
        ids.NodeId(node): max(1, end - start)
        for node, start, end in zip(nodes, [0, *ends], ends)
    }
