"""Rate and concurrency limits of one account on one node; pure functions.

Rates are enforced by token buckets. Each live node enforces an equal part of a
limit; the load balancer is expected to spread callers evenly. Nodes do not
exchange demand by account: at the design size it would make up most of a
heartbeat. A node that refuses requests would also report less demand and lose
its part of the limit.
"""

import dataclasses

from ..core import errors
from . import deadline
from ..inventory import schema

# Bucket size in seconds of its rate. Allows short bursts of an account that
# stays within its limit on average.
BURST_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """Token bucket of requests or tokens.

    Attributes
    ----------
    level : float or None
        None before the first request, which starts with a full bucket;
        negative after a request larger than the bucket.
    refilled_at : float
        Time of the last refill, in seconds.
    """

    level: float | None = None
    refilled_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Consumption of one account's limits on this node."""

    requests: Bucket = Bucket()
    tokens: Bucket = Bucket()
    open_requests: int = 0


def admit(
    usage: Usage,
    limits: schema.AccountLimits,
    nodes: int,
    tokens: float,
    now: float,
) -> Usage | errors.Failure:
    """Count a request against the limits, or refuse it.

    Parameters
    ----------
    nodes : int
        Live nodes including this one; each enforces an equal part of a
        limit. Each node allows at least one open request, so a limit of
        open requests below the number of nodes can be exceeded, up to the
        number of nodes.
    tokens : float
        Expected prompt and output tokens.

    Returns
    -------
    Usage or Failure
        The new usage, or the refusal, which leaves the usage unchanged.
    """
    max_open_requests = limits.open_requests
    if max_open_requests is not None and usage.open_requests >= max(
        1, max_open_requests // nodes
    ):
        return _refusal('open requests', 0.0)
    requests, tokens_bucket = usage.requests, usage.tokens
    if limits.requests_per_second is not None:
        rate = limits.requests_per_second / nodes
        requests = _refilled(requests, rate, max(1.0, rate * BURST_S), now)
        missing = 1.0 - (requests.level or 0.0)
        # Tolerates rounding errors of many small refills.
        if missing > 1e-9:
            return _refusal('requests per second', missing / rate)
        requests = _consumed(requests, 1.0)
    if limits.tokens_per_second is not None:
        rate = limits.tokens_per_second / nodes
        tokens_bucket = _refilled(tokens_bucket, rate, rate * BURST_S, now)
        level = tokens_bucket.level or 0.0
        # A request may need more than the bucket holds. Any level above 0
        # admits it, and the level becomes negative.
        if level <= 0:
            return _refusal('tokens per second', -level / rate)
        tokens_bucket = _consumed(tokens_bucket, tokens)
    return Usage(requests, tokens_bucket, usage.open_requests + 1)


def release(usage: Usage) -> Usage:
    """Count the end of an open request."""
    return dataclasses.replace(
        usage, open_requests=max(0, usage.open_requests - 1)
    )


def check_queue_limits(
    limits: schema.AdmissionLimits,
    requests: int,
    queued_tokens: float,
    tokens: float,
) -> errors.Failure | None:
    """Refuse a request that would exceed the queue limits of the node."""
    if requests >= limits.max_queued_requests:
        return _refusal('queued requests of the node', 0.0)
    if queued_tokens + tokens > limits.max_queued_tokens:
        return _refusal('queued tokens of the node', 0.0)
    return None


def _refilled(
    bucket: Bucket, rate: float, max_level: float, now: float
) -> Bucket:
    if bucket.level is None:
        return Bucket(max_level, now)
    added = rate * max(0.0, now - bucket.refilled_at)
    return Bucket(min(max_level, bucket.level + added), now)


def _consumed(bucket: Bucket, amount: float) -> Bucket:
    return dataclasses.replace(bucket, level=(bucket.level or 0.0) - amount)


def _refusal(limit: str, wait_s: float) -> errors.Failure:
    return deadline.refusal(f'over the limit of {limit}', wait_s)
