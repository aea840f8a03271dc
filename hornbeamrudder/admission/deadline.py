"""Early rejection of requests that are unlikely to meet their deadline."""

import math
from typing import AbstractSet

from ..core import errors
from ..core import types
from . import queue as queues

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0


def tokens_ahead(queue: queues.Queue, entry: queues.Entry) -> float:
    """Return the expected tokens served before `entry` in the same rank."""
    rank = queue.ranks[entry.rank]
    flow = rank.flows_by_account.get(entry.account, queues.Flow())
    start = max(flow.start_tag, rank.virtual_time)
    if flow.entries:
        start = flow.start_tag + flow.tokens / flow.weight
    ahead = flow.tokens
    for account, other in rank.flows_by_account.items():
        if account != entry.account and other.entries:
            before = max(0.0, start - other.start_tag) * other.weight
            ahead += min(other.tokens, before)
    return ahead


def estimated_wait_s(
    queue: queues.Queue,
    entry: queues.Entry,
    tokens_per_s: float,
    overloaded: AbstractSet[int] = frozenset(),
) -> float:
    """Estimate the wait for a slot while all slots are in use.

    Parameters
    ----------
    tokens_per_s : float
        Throughput of all slots of the service on this node.
    overloaded : set of int
        Ranks that refused requests recently; less urgent ranks are assumed
        to receive only their floor.

    Returns
    -------
    float
        Seconds; infinite if the throughput is 0.
    """
    if tokens_per_s <= 0:
        return math.inf
    same_rank_tokens = tokens_ahead(queue, entry)
    more_urgent_tokens = sum(rank.tokens for rank in queue.ranks[: entry.rank])
    other_floors = sum(
        rank.floor
        for index, rank in enumerate(queue.ranks)
        if index != entry.rank and rank.length > 0
    )
    total_tokens = (same_rank_tokens + more_urgent_tokens) / (
        1.0 - other_floors
    )
    floor = queue.ranks[entry.rank].floor
    if floor > 0 and any(rank < entry.rank for rank in overloaded):
        return same_rank_tokens / floor / tokens_per_s
    if floor > 0 and more_urgent_tokens > 0:
        total_tokens = min(total_tokens, same_rank_tokens / floor)
    return total_tokens / tokens_per_s


def check_deadline(
    queue: queues.Queue,
    entry: queues.Entry,
    now: float,
    free_slots: int,
    tokens_per_s: float,
    overloaded: AbstractSet[int] = frozenset(),
) -> errors.Failure | None:
    """Refuse an entry whose estimated start is too late.

    Returns
    -------
    Failure or None
        The refusal, with the time after which a retry may succeed.
    """
    if now > entry.latest_start:
        return refusal(
            'the deadline cannot be met',
            now - entry.latest_start,
            errors.FailureKind.DEADLINE,
        )
    if free_slots > queue.length:
        return None
    wait_s = estimated_wait_s(queue, entry, tokens_per_s, overloaded)
    if now + wait_s <= entry.admission_latest_start:
        return None
    return refusal(
        'the estimated wait exceeds the deadline',
        wait_s - (entry.admission_latest_start - now),
    )


def refusal(
    detail: str,
    excess_s: float,
    kind: errors.FailureKind = errors.FailureKind.OVERLOADED,
) -> errors.Failure:
    """Create the failure of a request that was refused before it ran.

    Parameters
    ----------
    excess_s : float
        Seconds by which the estimated wait exceeds the limit; the basis of
        the suggested retry time.
    """
    return errors.Failure(
        kind,
        errors.Step.ADMIT,
        '',
        detail,
        types.Outcome.NOT_RUN,
        min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, excess_s)),
    )
