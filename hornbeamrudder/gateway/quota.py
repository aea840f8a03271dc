"""Limits of client accounts over all nodes; pure.

Each node keeps the whole bucket of an account and subtracts what the other
nodes report, so an account may send all its requests through one node. A
node that does not hear others leaves them their part of the limit: they may
be serving, cut off from this node alone. To it, each request costs as many
times more as it hears fewer nodes, so the level stays comparable. Answers the
load of accounts that send many times their limit, with uneven shares of
connections, and nodes that start again while others go on.
"""

import dataclasses
from typing import Mapping

from ..core import ids

# Part of the users' tolerance by which buckets are larger than stated; the
# rest covers requests that reach several nodes between two reports.
EXTRA_BURST_SHARE = 0.5
# The users tolerate a tenth above the rate. Without some of it, requests that
# arrive at the limit are refused for rounding and delays between nodes.
RATE_FACTOR = 1.04


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """Saved units of one account.

    Attributes
    ----------
    level : float
        Units that all nodes together could admit if all were heard; may be
        negative.
    filled_at : float
        Time of the last change, in seconds.
    spent : float
        Units that this node has admitted since its start.
    seen_by_node : mapping
        Last total that each other node has reported, by node and start.
    """

    level: float
    filled_at: float
    spent: float = 0.0
    seen_by_node: Mapping[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Limit of one account, as this node may use it.

    Attributes
    ----------
    heard_share : float
        Part of the known nodes that this node hears, itself included.
    extra : float
        Part of the burst that the account was not promised. A new bucket
        starts without it, as all nodes may start again at once.
    """

    rate_per_s: float
    burst: float
    heard_share: float = 1.0
    extra: float = 0.0

    def cost(self, units: float) -> float:
        """What a request of this node takes from the level."""
        return units / max(self.heard_share, 1e-3)


def first(limit: Limit, now: float) -> Bucket:
    """Bucket of a node that has heard no other yet."""
    return Bucket(limit.burst - limit.extra, now)


def filled(bucket: Bucket, limit: Limit, now: float) -> Bucket:
    """Add what was earned since the last change."""
    level = bucket.level + limit.rate_per_s * max(0.0, now - bucket.filled_at)
    return dataclasses.replace(
        bucket, level=min(limit.burst, level), filled_at=now
    )


def take(
    bucket: Bucket, limit: Limit, units: float, now: float
) -> tuple[Bucket, float | None]:
    """Admit a request of `units`, or refuse it.

    Returns
    -------
    tuple
        The bucket, and None, or the seconds until the request would be
        admitted.
    """
    bucket = filled(bucket, limit, now)
    # A request larger than the bucket is admitted by a full one.
    cost = limit.cost(units)
    needed = min(cost, limit.burst)
    if bucket.level < needed:
        return bucket, (needed - bucket.level) / max(limit.rate_per_s, 1e-9)
    return (
        dataclasses.replace(
            bucket, level=bucket.level - cost, spent=bucket.spent + units
        ),
        None,
    )


def give_back(bucket: Bucket, limit: Limit, units: float) -> Bucket:
    """Undo `take` for a request that did not run."""
    return dataclasses.replace(
        bucket,
        level=bucket.level + limit.cost(units),
        spent=bucket.spent - units,
    )


def reported(
    bucket: Bucket,
    limit: Limit,
    node: ids.NodeId,
    started: int,
    spent: float,
    level: float,
) -> Bucket:
    """Take in another node's total since its start.

    The first report of a node can't be subtracted: its total may be from
    before the start of this node. Its level is taken instead.
    """
    key = (node, started)
    before = bucket.seen_by_node.get(key)
    others = {
        other: total
        for other, total in bucket.seen_by_node.items()
        if other[0] != node
    }
    if before is not None:
        new_level = bucket.level - limit.cost(spent - before)
    elif len(others) < len(bucket.seen_by_node):
        # The node has started again: all of its total is new.
        new_level = bucket.level - limit.cost(spent)
    elif not bucket.seen_by_node and not bucket.spent:
        new_level = level
    else:
        new_level = min(bucket.level, level)
    return dataclasses.replace(
        bucket, level=new_level, seen_by_node=others | {key: spent}
    )


def extra_burst(slack: float) -> float:
    """Units by which a bucket is larger than the account's burst."""
    return slack * EXTRA_BURST_SHARE
