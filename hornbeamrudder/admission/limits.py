"""Limits of one account on one node, as token buckets; pure.

Each node enforces an equal part of a limit, among the nodes that are alive.
Demand by account is not reported between nodes: at the design size it would
be most of a heartbeat, and the demand of a node that refuses requests falls,
which would take its part away. The balancer spreads callers evenly.
"""

import dataclasses

from ..core import errors
from . import deadline
from ..inventory import schema

# A bucket saves this many seconds of its rate, so that a short burst of an
# account that keeps its limit on average is not refused.
BURST_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """Saved requests or tokens; below 0 after a large request.

    Attributes
    ----------
    level : float or None
        None before the first request, which finds a full bucket.
    filled_at : float
        Time of the last change, in seconds.
    """

    level: float | None = None
    filled_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What one account uses of its limits on this node."""

    requests: Bucket = Bucket()
    tokens: Bucket = Bucket()
    open_requests: int = 0


def take(
    usage: Usage,
    limits: schema.AccountLimits,
    nodes: int,
    tokens: float,
    now: float,
) -> Usage | errors.Failure:
    """Count one request, or refuse it.

    Parameters
    ----------
    nodes : int
        Live nodes, this one included, between which a limit is divided. At
        least one open request is allowed on each node, so that a limit below
        the number of nodes is exceeded up to that number.
    tokens : float
        Expected prompt and output tokens.

    Returns
    -------
    Usage or Failure
        The new usage; the usage stays as it was after a refusal.
    """
    most_open = limits.open_requests
    if most_open is not None and usage.open_requests >= max(
        1, most_open // nodes
    ):
        return _refusal('open requests', 0.0)
    requests, tokens_bucket = usage.requests, usage.tokens
    if limits.requests_per_second is not None:
        rate = limits.requests_per_second / nodes
        requests = _filled(requests, rate, max(1.0, rate * BURST_S), now)
        missing = 1.0 - (requests.level or 0.0)
        # Sums of small additions stay slightly below 1.
        if missing > 1e-9:
            return _refusal('requests per second', missing / rate)
        requests = _spent(requests, 1.0)
    if limits.tokens_per_second is not None:
        rate = limits.tokens_per_second / nodes
        tokens_bucket = _filled(tokens_bucket, rate, rate * BURST_S, now)
        level = tokens_bucket.level or 0.0
        # A request may need more than the bucket holds; it is let in by a
        # level above 0 and leaves a debt.
        if level <= 0:
            return _refusal('tokens per second', -level / rate)
        tokens_bucket = _spent(tokens_bucket, tokens)
    return Usage(requests, tokens_bucket, usage.open_requests + 1)


def ended(usage: Usage) -> Usage:
    """Count the end of a request."""
    return dataclasses.replace(
        usage, open_requests=max(0, usage.open_requests - 1)
    )


def queue_refusal(
    limits: schema.AdmissionLimits,
    requests: int,
    queued_tokens: float,
    tokens: float,
) -> errors.Failure | None:
    """Refuse a request for which the queues of the node have no room."""
    if requests >= limits.max_queued_requests:
        return _refusal('queued requests of the node', 0.0)
    if queued_tokens + tokens > limits.max_queued_tokens:
        return _refusal('queued tokens of the node', 0.0)
    return None


def _filled(bucket: Bucket, rate: float, most: float, now: float) -> Bucket:
    if bucket.level is None:
        return Bucket(most, now)
    added = rate * max(0.0, now - bucket.filled_at)
    return Bucket(min(most, bucket.level + added), now)


def _spent(bucket: Bucket, amount: float) -> Bucket:
    return dataclasses.replace(bucket, level=(bucket.level or 0.0) - amount)


def _refusal(limit: str, wait_s: float) -> errors.Failure:
    return deadline.refusal(f'over the limit of {limit}', wait_s)
