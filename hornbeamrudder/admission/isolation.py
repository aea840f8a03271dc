"""Quiet workers: a few workers that only small callers use under contention.

Fair queueing bounds the wait of a small caller, but its request then shares a
full batch, in which an engine generates each answer more slowly. Quiet
workers run small batches. They are closed to the standard and batch requests
of other accounts, cost throughput and are off by default.
"""

import math
from typing import AbstractSet
from typing import Mapping

from ..core import ids
from ..core import types

# An account is small where it could use at most this part of its equal part
# of the node's slots.
SMALL_PART = 0.5
# Small callers' requests for which one more worker is kept quiet; at this
# batch an engine is about 10% slower than with one request.
QUIET_BATCH = 2.5
# One heartbeat moves the reported demand by this part, about 5 s in all.
DEMAND_GAIN = 0.1
LEAST_DEMAND = 0.5


def small_accounts(
    demand_by_account: Mapping[ids.AccountId, int], capacity: int
) -> frozenset[ids.AccountId] | None:
    """Accounts that use little of a service while others want all of it.

    Parameters
    ----------
    demand_by_account : mapping
        Slots in use and wanted on this node.
    capacity : int
        Slots of this node.

    Returns
    -------
    frozenset or None
        None where the demand does not exceed the slots; quiet workers are
        then open to all accounts.
    """
    if sum(demand_by_account.values()) <= capacity:
        return None
    limit = SMALL_PART * capacity / len(demand_by_account)
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
    """Whether a request may use a quiet worker under contention."""
    return rank is types.Rank.URGENT or account in small


def smoothed_demand(previous: float, current: float) -> float:
    """Small accounts' demand to report with a heartbeat, in slots."""
    return previous + DEMAND_GAIN * (current - previous)


def quiet_count(small_demand: float, workers: int, quiet_part: float) -> int:
    """Count the workers of a service that are kept quiet.

    Parameters
    ----------
    small_demand : float
        Sum of the demand that the nodes report, in slots.
    quiet_part : float
        Largest part of the workers, from the settings; 0 switches it off.
    """
    if small_demand < LEAST_DEMAND:
        return 0
    wanted = math.ceil(small_demand / QUIET_BATCH)
    return min(wanted, math.floor(workers * quiet_part))
