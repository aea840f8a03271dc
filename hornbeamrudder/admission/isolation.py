"""Quiet workers: workers reserved for small accounts under contention.

Fair queueing bounds the waiting time of an account with little demand, but its
requests still run in full batches, in which an engine generates each answer
more slowly. Quiet workers run small batches: under contention they accept only
urgent requests and requests of small accounts. They reduce total throughput
and are off by default (rule `quiet_part`).
"""

import math
from typing import AbstractSet
from typing import Mapping

from ..core import ids
from ..core import types

# An account is small if its demand is at most this fraction of an equal share
# of the node's slots.
SMALL_ACCOUNT_FRACTION = 0.5
# Requests of small accounts per quiet worker. With a batch of this size an
# engine is about 10% slower than with a single request.
REQUESTS_PER_QUIET_WORKER = 2.5
# Weight of the current demand in the smoothed one at each heartbeat; the time
# constant is about 5 s.
DEMAND_SMOOTHING_FACTOR = 0.1
# No worker is kept quiet below this demand.
MIN_SMALL_DEMAND_SLOTS = 0.5


def small_accounts(
    demand_by_account: Mapping[ids.AccountId, int], capacity: int
) -> frozenset[ids.AccountId] | None:
    """Find the accounts with little demand while a service is contended.

    Parameters
    ----------
    demand_by_account : mapping
        Slots in use plus waiting requests on this node.
    capacity : int
        Slots that this node may use.

    Returns
    -------
    frozenset or None
        None if the demand does not exceed the slots; all accounts may then
        use quiet workers.
    """
    if sum(demand_by_account.values()) <= capacity:
        return None
    limit = SMALL_ACCOUNT_FRACTION * capacity / len(demand_by_account)
    return frozenset(
        account
        for account, demand in demand_by_account.items()
        if demand <= limit
    )


def may_use_quiet(
    account: ids.AccountId,
    rank: types.Rank,
    small: AbstractSet[ids.AccountId],
) -> bool:
    """Return whether a request may use a quiet worker under contention."""
    return rank is types.Rank.URGENT or account in small


def smoothed_demand(previous: float, current: float) -> float:
    """Smooth the demand of small accounts for the heartbeat, in slots."""
    return previous + DEMAND_SMOOTHING_FACTOR * (current - previous)


def quiet_count(small_demand: float, workers: int, quiet_part: float) -> int:
    """Calculate the number of quiet workers of a service.

    Parameters
    ----------
    small_demand : float
        Total demand of small accounts reported by all nodes, in slots.
    quiet_part : float
        Maximum fraction of the workers, from the rules; 0 disables quiet
        workers.
    """
    if small_demand < MIN_SMALL_DEMAND_SLOTS:
        return 0
    required = math.ceil(small_demand / REQUESTS_PER_QUIET_WORKER)
    return min(required, math.floor(workers * quiet_part))
