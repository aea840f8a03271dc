"""Limits of client accounts over all nodes; pure.

An account may use its rate and its burst in any window of the users' length.
Each node keeps the whole limit and subtracts what the other nodes report, so
an account may send all its requests through one node. A node that does not
hear others leaves them their part of the limit: they may be serving, cut off
from this node alone. For as long as it does not hear them, what it admits
counts as many times more as it hears fewer nodes. Answers the load of
accounts that send many times their limit, with uneven shares of connections,
and nodes that start again while others go on.

Two bounds hold together. The window admits the burst again in each window,
not only after a pause. The bucket bounds what is admitted at once, so that
nodes that all start again, and know nothing of the window before, can't admit
a whole window at once.
"""

import dataclasses
from typing import Mapping, NamedTuple

from ..core import ids

# Part of the users' tolerance by which the limit is larger than stated; the
# rest covers requests that reach several nodes between two reports.
EXTRA_BURST_SHARE = 0.25
# Admitted units are remembered in steps of this length.
INTERVAL_S = 0.25
# The bucket holds about this much of an account's use; the window holds more.
BUCKET_WINDOW_S = 1.0
# When a client may come back to a node that does not hear the others yet.
UNHEARD_RETRY_S = 0.4


class Interval(NamedTuple):
    """Units that were admitted in one step of time.

    Attributes
    ----------
    number : int
        Steps of `STEP_S` since the start of the clock.
    units : float
        Of all nodes, as far as they were heard.
    alone : float
        The part that was counted while some nodes were not heard.
    """

    number: int
    units: float
    unsynced: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """Saved units of one account, and those of the present window.

    Attributes
    ----------
    level : float
        Units that all nodes together could admit at once if all were heard;
        may be negative.
    filled_at : float
        Time of the last change, in seconds.
    spent : float
        Units that this node has admitted since its start.
    steps : tuple of Step
        Units that all nodes have admitted, oldest first.
    recent, alone : float
        Their sums.
    """

    level: float
    filled_at: float
    spent: float = 0.0
    intervals: tuple[Interval, ...] = ()
    recent: float = 0.0
    unsynced: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Limit of one account, as this node may use it.

    Attributes
    ----------
    burst : float
        Units that may be admitted at once, the extra part included.
    heard_share : float
        Part of the known nodes that this node hears, itself included.
    extra : float
        Part of the burst that the account was not promised. A new bucket
        starts without it, as all nodes may start again at once.
    window_s : float
        Length of the window.
    """

    rate_per_s: float
    burst: float
    heard_share: float = 1.0
    extra: float = 0.0
    window_s: float = 8.0

    @property
    def unheard_ratio(self) -> float:
        """Nodes that are not heard, for each one that is."""
        return 1.0 / max(self.heard_share, 1e-3) - 1.0

    @property
    def max_units(self) -> float:
        """Units that may be admitted in one window."""
        return self.rate_per_s * self.window_s + self.burst

    @property
    def refill_per_s(self) -> float:
        """Units that come back in a second."""
        return self.max_units / self.window_s


def initial_bucket(limit: Limit, now: float) -> Bucket:
    """Bucket of a node that has heard no other yet.

    The account is taken to have used its rate in the window before.
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
    """Add what has come back since the last change."""
    level = bucket.level + limit.refill_per_s * max(
        0.0, now - bucket.filled_at
    )
    oldest = _interval_number(now - limit.window_s)
    kept = bucket.intervals
    recent, unsynced = bucket.recent, bucket.unsynced
    while kept and kept[0].number < oldest:
        recent -= kept[0].units
        unsynced -= kept[0].unsynced
        kept = kept[1:]
    return Bucket(
        min(limit.burst, level),
        max(now, bucket.filled_at),
        bucket.spent,
        kept,
        recent if kept else 0.0,
        unsynced if kept else 0.0,
    )


def known_remaining(bucket: Bucket, limit: Limit) -> float:
    """Units that are left by what is known, whoever is not heard."""
    return min(bucket.level, limit.max_units - bucket.recent)


def available(bucket: Bucket, limit: Limit) -> float:
    """Units that the nodes that are heard could admit now."""
    if not limit.unheard_ratio or not bucket.unsynced:
        return known_remaining(bucket, limit)
    first_interval = _interval_number(bucket.filled_at - BUCKET_WINDOW_S)
    recent_unsynced = sum(
        interval.unsynced
        for interval in bucket.intervals
        if interval.number >= first_interval
    )
    return min(
        bucket.level - recent_unsynced * limit.unheard_ratio,
        limit.max_units
        - bucket.recent
        - bucket.unsynced * limit.unheard_ratio,
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
    bucket = refilled(bucket, limit, now)
    # A request larger than the burst is admitted by a full bucket.
    needed = min(units, limit.burst)
    # The nodes that are not heard may admit as much at this moment.
    others = min(units, limit.max_units) * limit.unheard_ratio
    left = available(bucket, limit)
    if left < needed or (
        others and limit.max_units - bucket.recent - others < needed
    ):
        if limit.unheard_ratio:
            return bucket, UNHEARD_RETRY_S
        return bucket, _wait_s(bucket, limit, needed, now)
    return (
        dataclasses.replace(
            _deduct(bucket, limit, units), spent=bucket.spent + units
        ),
        None,
    )


def _deduct(bucket: Bucket, limit: Limit, units: float) -> Bucket:
    """Count units as admitted at the time of the last change."""
    number = _interval_number(bucket.filled_at)
    unsynced = units if limit.unheard_ratio else 0.0
    intervals = bucket.intervals
    if intervals and intervals[-1].number >= number:
        last = intervals[-1]
        intervals = (
            *intervals[:-1],
            Interval(
                last.number, last.units + units, last.unsynced + unsynced
            ),
        )
    else:
        intervals = (*intervals, Interval(number, units, unsynced))
    return Bucket(
        bucket.level - units,
        bucket.filled_at,
        bucket.spent,
        intervals,
        bucket.recent + units,
        bucket.unsynced + unsynced,
    )


def _wait_s(bucket: Bucket, limit: Limit, needed: float, now: float) -> float:
    """Seconds until so many units are available, if nothing else is sent."""
    wait_s = max(0.0, needed - bucket.level) / max(limit.refill_per_s, 1e-9)
    over = needed - (limit.max_units - bucket.recent)
    for interval in bucket.intervals:
        if over <= 0:
            break
        over -= interval.units
        wait_s = max(
            wait_s, (interval.number + 1) * INTERVAL_S + limit.window_s - now
        )
    return wait_s


def refund(bucket: Bucket, limit: Limit, units: float) -> Bucket:
    """Undo `take` for a request that did not run."""
    undone = _deduct(bucket, limit, -units)
    return dataclasses.replace(undone, spent=bucket.spent - units)


def apply_report(
    bucket: Bucket, limit: Limit, delta: float | None, level: float
) -> Bucket:
    """Take in another node's report; fill the bucket before.

    Parameters
    ----------
    news : float or None
        Units that the node has admitted since its last report. None for its
        first report, which can't be subtracted: its total may be from before
        the start of this node. What it has left counts instead.
    level : float
        Units that are available by what that node knows.
    """
    if delta is None:
        return _deduct(
            bucket, limit, max(0.0, known_remaining(bucket, limit) - level)
        )
    return _deduct(bucket, limit, delta)


def _interval_number(moment: float) -> int:
    return int(moment // INTERVAL_S)


class PeerTotals:
    """Totals of other nodes since their starts, by account.

    Kept apart from the buckets: with many nodes, each report must cost the
    same however many others there are.
    """

    def __init__(self) -> None:
        self._by_node: dict[ids.NodeId, tuple[int, dict[str, float]]] = {}

    def update(
        self, node: ids.NodeId, started: int, totals: Mapping[str, float]
    ) -> dict[str, float | None]:
        """Return what a node has admitted since its last report.

        Parameters
        ----------
        totals : mapping
            Totals since its start; accounts without change may be left out.

        Returns
        -------
        dict
            Units by account; None where nothing was known of the node. All
            of the total of a node that has started again is new, and so is
            that of an account that it had not named before.
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
    """Units by which a bucket is larger than the account's burst."""
    return slack * EXTRA_BURST_SHARE
