"""Rate limits of client accounts across all nodes; no I/O.

In any sliding window, an account may use its rate plus its burst. Each node
applies the whole limit and subtracts the units that other nodes report, so an
account may send all its requests through one node.

Nodes whose reports are missing may still be serving behind a network
partition, so a node reserves their share of the limit: units that it admits
while reports are missing count more, in proportion to the missing nodes, until
reports of these nodes arrive again. This enforces the limit when accounts
exceed it many times over, when connections are spread unevenly, and when
single nodes restart.

A sliding window and a token bucket apply together. The window allows the burst
once in each window, not only after an idle period. The bucket bounds how much
is admitted at once: after a restart of all nodes, which lose the window, it
prevents a whole window's units from being admitted at once.

Units that other nodes have just admitted are not known yet. Near the limit,
where the units left would not cover them, each node therefore admits only its
own share of the refill. Otherwise all nodes would start to admit at the same
time, and all of them would continue until they hear about each other.
"""

import dataclasses
from typing import Mapping, NamedTuple

from ..core import ids

# Share of the users' tolerance that is added to the burst; the rest covers
# requests that reach several nodes between two reports.
EXTRA_BURST_SHARE = 0.25
# Resolution of the sliding window.
INTERVAL_S = 0.25
# Period whose unsynced units count against the bucket level; the window counts
# all of them.
BUCKET_WINDOW_S = 1.0
# Retry-After while reports of some nodes are missing.
MISSING_REPORTS_RETRY_S = 0.4
# Largest part of the burst that is kept for units that other nodes have
# admitted but not yet reported.
MAX_RESERVE_SHARE = 0.5
# Report delays in which the units that remain are shared out.
SHARING_DELAYS = 2.0
# Period after a refusal in which the account counts as being at its limit.
REFUSAL_S = 1.0
# Time in which a node makes up for a request larger than its share.
MAX_DEBT_S = 2.0
# Retry-After if this node has used its share.
USED_SHARE_RETRY_S = 0.2


class Interval(NamedTuple):
    """Units admitted in one interval of the sliding window.

    Attributes
    ----------
    number : int
        Index of the interval, in steps of `INTERVAL_S` on the clock.
    units : float
        Units admitted by all nodes, as far as reported.
    unsynced : float
        Part of `units` counted while reports of some nodes were missing.
    own : float
        Part of `units` admitted by this node.
    """

    number: int
    units: float
    unsynced: float = 0.0
    own: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """Token bucket and sliding window of one account.

    Attributes
    ----------
    level : float
        Units that all nodes together may admit at once, if all of them
        report; may be negative.
    filled_at : float
        Time of the last refill, in seconds.
    spent : float
        Units that this node has admitted since its start.
    intervals : tuple of Interval
        The sliding window, oldest interval first.
    recent, unsynced, own : float
        Sums of `units`, `unsynced` and `own` over the intervals.
    own_level : float
        Units that this node may admit near the limit; negative if its latest
        requests were larger than its share.
    refused_at : float
        Time of the latest refusal with reports of all nodes, in seconds.
    """

    level: float
    filled_at: float
    spent: float = 0.0
    intervals: tuple[Interval, ...] = ()
    recent: float = 0.0
    unsynced: float = 0.0
    own: float = 0.0
    own_level: float = 0.0
    refused_at: float = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Limit of one account, as applied by this node.

    Attributes
    ----------
    burst : float
        Units that may be admitted at once, including `extra`.
    heard_share : float
        Share of the known nodes with current reports, this node included.
    extra : float
        Part of the burst beyond the account's configured one. A new bucket
        starts without it, as all nodes may restart at once.
    window_s : float
        Length of the sliding window.
    node_count : int
        Number of known nodes, this node included.
    report_delay_s : float
        Time until units admitted by another node are known.
    """

    rate_per_s: float
    burst: float
    heard_share: float = 1.0
    extra: float = 0.0
    window_s: float = 8.0
    node_count: int = 1
    report_delay_s: float = 0.0

    @property
    def missing_ratio(self) -> float:
        """Ratio of nodes without current reports to nodes with them."""
        return 1.0 / max(self.heard_share, 1e-3) - 1.0

    @property
    def max_units(self) -> float:
        """Units that may be admitted in one window."""
        return self.rate_per_s * self.window_s + self.burst

    @property
    def refill_per_s(self) -> float:
        """Refill rate of the bucket."""
        return self.max_units / self.window_s


def initial_bucket(limit: Limit, now: float) -> Bucket:
    """Bucket of a node that has received no reports yet.

    Assumes that the account has used its rate in the window before.
    """
    last = _interval_number(now)
    count = int(limit.window_s / INTERVAL_S)
    per_interval = limit.rate_per_s * INTERVAL_S
    return Bucket(
        limit.burst - limit.extra,
        now,
        intervals=tuple(
            Interval(number, per_interval)
            for number in range(last - count + 1, last + 1)
        ),
        recent=per_interval * count,
    )


def refilled(bucket: Bucket, limit: Limit, now: float) -> Bucket:
    """Refill the bucket and drop expired intervals from the window."""
    level = bucket.level + limit.refill_per_s * max(
        0.0, now - bucket.filled_at
    )
    oldest = _interval_number(now - limit.window_s)
    intervals = bucket.intervals
    recent, unsynced, own = bucket.recent, bucket.unsynced, bucket.own
    while intervals and intervals[0].number < oldest:
        recent -= intervals[0].units
        unsynced -= intervals[0].unsynced
        own -= intervals[0].own
        intervals = intervals[1:]
    return Bucket(
        min(limit.burst, level),
        max(now, bucket.filled_at),
        bucket.spent,
        intervals,
        recent if intervals else 0.0,
        unsynced if intervals else 0.0,
        own if intervals else 0.0,
        _refilled_own_level(bucket, limit, now),
        bucket.refused_at,
    )


def _refilled_own_level(bucket: Bucket, limit: Limit, now: float) -> float:
    # Without remaining units nothing is shared out. If it were, all nodes
    # would have some as soon as there are units again.
    remaining = known_remaining(bucket, limit)
    if limit.report_delay_s <= 0.0 or remaining <= 0.0:
        return bucket.own_level
    share = own_share(bucket, limit)
    shared_per_s = limit.refill_per_s + remaining / (
        SHARING_DELAYS * limit.report_delay_s
    )
    return min(
        share * reserve(bucket, limit),
        bucket.own_level
        + share * shared_per_s * max(0.0, now - bucket.filled_at),
    )


def own_share(bucket: Bucket, limit: Limit) -> float:
    """Share of the limit that this node may use near the limit.

    The mean of its share of the window's units and of an equal share, so that
    the shares of all nodes add up to 1 and a node without traffic has one too.
    """
    equal = 1.0 / limit.node_count
    used = bucket.own / bucket.recent if bucket.recent > 0.0 else equal
    return (min(1.0, max(0.0, used)) + equal) / 2


def reserve(bucket: Bucket, limit: Limit) -> float:
    """Units that other nodes may have admitted without a report so far."""
    if limit.node_count == 1:
        return 0.0
    return min(
        (1.0 - own_share(bucket, limit))
        * limit.refill_per_s
        * limit.report_delay_s,
        MAX_RESERVE_SHARE * limit.burst,
    )


def known_remaining(bucket: Bucket, limit: Limit) -> float:
    """Remaining units by the reports received, ignoring missing ones."""
    return min(bucket.level, limit.max_units - bucket.recent)


def available(bucket: Bucket, limit: Limit) -> float:
    """Units that may be admitted now; excludes the missing nodes' share."""
    if not limit.missing_ratio or not bucket.unsynced:
        return known_remaining(bucket, limit)
    first_interval = _interval_number(bucket.filled_at - BUCKET_WINDOW_S)
    recent_unsynced = sum(
        interval.unsynced
        for interval in bucket.intervals
        if interval.number >= first_interval
    )
    return min(
        bucket.level - recent_unsynced * limit.missing_ratio,
        limit.max_units
        - bucket.recent
        - bucket.unsynced * limit.missing_ratio,
    )


def take(
    bucket: Bucket, limit: Limit, units: float, now: float
) -> tuple[Bucket, float | None]:
    """Admit a request of `units`, or refuse it.

    Returns
    -------
    tuple
        The new bucket, and None if admitted, else the seconds until the
        request could be admitted.
    """
    bucket = refilled(bucket, limit, now)
    # A request larger than the burst needs a full bucket.
    needed = min(units, limit.burst)
    # Nodes without current reports may admit as much at the same time.
    missing_node_units = min(units, limit.max_units) * limit.missing_ratio
    remaining = available(bucket, limit)
    if remaining < needed or (
        missing_node_units
        and limit.max_units - bucket.recent - missing_node_units < needed
    ):
        if limit.missing_ratio:
            return bucket, MISSING_REPORTS_RETRY_S
        return (
            dataclasses.replace(bucket, refused_at=now),
            _wait_s(bucket, limit, needed, now),
        )
    reserved = reserve(bucket, limit)
    is_near_limit = (
        remaining - needed < reserved or now - bucket.refused_at < REFUSAL_S
    )
    if reserved and is_near_limit and bucket.own_level < 0.0:
        return (
            dataclasses.replace(bucket, refused_at=now),
            USED_SHARE_RETRY_S,
        )
    max_debt = own_share(bucket, limit) * limit.refill_per_s * MAX_DEBT_S
    return (
        dataclasses.replace(
            _deduct(bucket, limit, units, own=units),
            spent=bucket.spent + units,
            own_level=max(-max_debt, bucket.own_level - units),
        ),
        None,
    )


def _deduct(
    bucket: Bucket, limit: Limit, units: float, own: float = 0.0
) -> Bucket:
    """Count units as admitted at the time of the last refill.

    Parameters
    ----------
    own : float
        Part of `units` admitted by this node.
    """
    number = _interval_number(bucket.filled_at)
    unsynced = units if limit.missing_ratio else 0.0
    intervals = bucket.intervals
    if intervals and intervals[-1].number >= number:
        last = intervals[-1]
        intervals = (
            *intervals[:-1],
            Interval(
                last.number,
                last.units + units,
                last.unsynced + unsynced,
                last.own + own,
            ),
        )
    else:
        intervals = (*intervals, Interval(number, units, unsynced, own))
    return dataclasses.replace(
        bucket,
        level=bucket.level - units,
        intervals=intervals,
        recent=bucket.recent + units,
        unsynced=bucket.unsynced + unsynced,
        own=bucket.own + own,
    )


def _wait_s(bucket: Bucket, limit: Limit, needed: float, now: float) -> float:
    """Seconds until `needed` units are available without further requests."""
    wait_s = max(0.0, needed - bucket.level) / max(limit.refill_per_s, 1e-9)
    excess = needed - (limit.max_units - bucket.recent)
    for interval in bucket.intervals:
        if excess <= 0:
            break
        excess -= interval.units
        wait_s = max(
            wait_s, (interval.number + 1) * INTERVAL_S + limit.window_s - now
        )
    return wait_s


def refund(bucket: Bucket, limit: Limit, units: float) -> Bucket:
    """Undo `take` for a request that did not run."""
    refunded = _deduct(bucket, limit, -units, own=-units)
    return dataclasses.replace(
        refunded,
        spent=bucket.spent - units,
        own_level=bucket.own_level + units,
    )


def apply_report(
    bucket: Bucket, limit: Limit, delta: float | None, level: float
) -> Bucket:
    """Apply another node's report to a bucket that has just been refilled.

    Parameters
    ----------
    delta : float or None
        Units that the node has admitted since its last report. None for its
        first report: its total may include units from before this node's
        start, so its remaining units are used instead.
    level : float
        Remaining units as known to that node.
    """
    if delta is None:
        return _deduct(
            bucket, limit, max(0.0, known_remaining(bucket, limit) - level)
        )
    return _deduct(bucket, limit, delta)


def _interval_number(at: float) -> int:
    return int(at // INTERVAL_S)


class PeerTotals:
    """Last reported totals of other nodes, by account.

    Kept apart from the buckets, so that the cost of a report does not grow
    with the number of nodes.
    """

    def __init__(self) -> None:
        self._by_node: dict[ids.NodeId, tuple[int, dict[str, float]]] = {}

    def update(
        self, node: ids.NodeId, started: int, totals: Mapping[str, float]
    ) -> dict[str, float | None]:
        """Store a node's totals and return the change since its last report.

        Parameters
        ----------
        totals : mapping
            Totals since its start; unchanged accounts may be omitted.

        Returns
        -------
        dict
            Units by account; None at the first report of the node. After a
            restart of the node, and for an account that it reports for the
            first time, the whole total counts as new.
        """
        known_start, known = self._by_node.get(node, (None, {}))
        if known_start != started:
            self._by_node[node] = (started, dict(totals))
            return dict.fromkeys(totals) if known_start is None else {**totals}
        delta: dict[str, float | None] = {
            account: total - known.get(account, 0.0)
            for account, total in totals.items()
            if known.get(account) != total
        }
        known.update(totals)
        return delta


def extra_burst(slack: float) -> float:
    """Units added to an account's burst, for a given tolerance."""
    return slack * EXTRA_BURST_SHARE
