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
STEP_S = 0.25
# The bucket holds about this much of an account's use; the window holds more.
BUCKET_S = 1.0
# When a client may come back to a node that does not hear the others yet.
UNHEARD_RETRY_S = 0.4


class Step(NamedTuple):
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
    alone: float = 0.0


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
    steps: tuple[Step, ...] = ()
    recent: float = 0.0
    alone: float = 0.0


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
    def unheard(self) -> float:
        """Nodes that are not heard, for each one that is."""
        return 1.0 / max(self.heard_share, 1e-3) - 1.0

    @property
    def most(self) -> float:
        """Units that may be admitted in one window."""
        return self.rate_per_s * self.window_s + self.burst

    @property
    def refill_per_s(self) -> float:
        """Units that come back in a second."""
        return self.most / self.window_s


def first(limit: Limit, now: float) -> Bucket:
    """Bucket of a node that has heard no other yet.

    The account is taken to have used its rate in the window before.
    """
    last = _step(now)
    count = int(limit.window_s / STEP_S)
    each = limit.rate_per_s * STEP_S
    return Bucket(
        limit.burst - limit.extra,
        now,
        steps=tuple(
            Step(number, each) for number in range(last - count + 1, last + 1)
        ),
        recent=each * count,
    )


def filled(bucket: Bucket, limit: Limit, now: float) -> Bucket:
    """Add what has come back since the last change."""
    level = bucket.level + limit.refill_per_s * max(
        0.0, now - bucket.filled_at
    )
    oldest = _step(now - limit.window_s)
    kept = bucket.steps
    recent, alone = bucket.recent, bucket.alone
    while kept and kept[0].number < oldest:
        recent -= kept[0].units
        alone -= kept[0].alone
        kept = kept[1:]
    return Bucket(
        min(limit.burst, level),
        max(now, bucket.filled_at),
        bucket.spent,
        kept,
        recent if kept else 0.0,
        alone if kept else 0.0,
    )


def known_left(bucket: Bucket, limit: Limit) -> float:
    """Units that are left by what is known, whoever is not heard."""
    return min(bucket.level, limit.most - bucket.recent)


def available(bucket: Bucket, limit: Limit) -> float:
    """Units that the nodes that are heard could admit now."""
    if not limit.unheard or not bucket.alone:
        return known_left(bucket, limit)
    first_step = _step(bucket.filled_at - BUCKET_S)
    lately = sum(
        step.alone for step in bucket.steps if step.number >= first_step
    )
    return min(
        bucket.level - lately * limit.unheard,
        limit.most - bucket.recent - bucket.alone * limit.unheard,
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
    # A request larger than the burst is admitted by a full bucket.
    needed = min(units, limit.burst)
    # The nodes that are not heard may admit as much at this moment.
    others = min(units, limit.most) * limit.unheard
    left = available(bucket, limit)
    if left < needed or (
        others and limit.most - bucket.recent - others < needed
    ):
        if limit.unheard:
            return bucket, UNHEARD_RETRY_S
        return bucket, _wait_s(bucket, limit, needed, now)
    return (
        dataclasses.replace(
            _used(bucket, limit, units), spent=bucket.spent + units
        ),
        None,
    )


def _used(bucket: Bucket, limit: Limit, units: float) -> Bucket:
    """Count units as admitted at the time of the last change."""
    number = _step(bucket.filled_at)
    alone = units if limit.unheard else 0.0
    steps = bucket.steps
    if steps and steps[-1].number >= number:
        last = steps[-1]
        steps = (
            *steps[:-1],
            Step(last.number, last.units + units, last.alone + alone),
        )
    else:
        steps = (*steps, Step(number, units, alone))
    return Bucket(
        bucket.level - units,
        bucket.filled_at,
        bucket.spent,
        steps,
        bucket.recent + units,
        bucket.alone + alone,
    )


def _wait_s(bucket: Bucket, limit: Limit, needed: float, now: float) -> float:
    """Seconds until so many units are available, if nothing else is sent."""
    wait_s = max(0.0, needed - bucket.level) / max(limit.refill_per_s, 1e-9)
    over = needed - (limit.most - bucket.recent)
    for step in bucket.steps:
        if over <= 0:
            break
        over -= step.units
        wait_s = max(wait_s, (step.number + 1) * STEP_S + limit.window_s - now)
    return wait_s


def give_back(bucket: Bucket, limit: Limit, units: float) -> Bucket:
    """Undo `take` for a request that did not run."""
    undone = _used(bucket, limit, -units)
    return dataclasses.replace(undone, spent=bucket.spent - units)


def reported(
    bucket: Bucket, limit: Limit, news: float | None, level: float
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
    if news is None:
        return _used(
            bucket, limit, max(0.0, known_left(bucket, limit) - level)
        )
    return _used(bucket, limit, news)


def _step(moment: float) -> int:
    return int(moment // STEP_S)


class SeenTotals:
    """Totals of other nodes since their starts, by account.

    Kept apart from the buckets: with many nodes, each report must cost the
    same however many others there are.
    """

    def __init__(self) -> None:
        self._by_node: dict[ids.NodeId, tuple[int, dict[str, float]]] = {}

    def news(
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
        news: dict[str, float | None] = {
            account: total - known.get(account, 0.0)
            for account, total in totals.items()
            if known.get(account) != total
        }
        known.update(totals)
        return news


def extra_burst(slack: float) -> float:
    """Units by which a bucket is larger than the account's burst."""
    return slack * EXTRA_BURST_SHARE
