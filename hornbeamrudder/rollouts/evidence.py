"""Figures of two software versions on the same routes, and the verdict.

Answers of the new version are compared with those of the old one on the same
route at the same time. A host that fails, crashes or is slow is one server
and not the version: the servers with the most bad answers count no more than
the next one. No I/O.
"""

import dataclasses
import enum
import itertools
import math
from typing import Mapping, NamedTuple, Sequence

from ..gateway import records

# A time is slow if it exceeds the usual one of the old version on the route
# by this factor. During the transfer only the new version is under load, so
# that its times are compared with those of another moment.
SLOW_FACTOR = 2.5
TRANSFER_SLOW_FACTOR = 5.0
# Times of the old version that a comparison needs.
MIN_TIMES = 8
# Share of bad answers that every service may have.
TOLERATED_SHARE = 0.01
# Assumed share while the old version has given too few answers.
UNKNOWN_SHARE = 0.05
MIN_OLD_ANSWERS = 20
# Bad answers that a verdict needs at least, and the excess over the old
# version's share.
MIN_BAD = 4
MIN_EXCESS = 0.02
# Chance at which a version that is as good as the old one looks this bad.
MAX_CHANCE = 2e-4
# Share of the servers whose bad answers may be due to their hosts.
HOST_FAULT_SHARE = 0.1
# Answers of a server that show its faults.
ANSWERS_PER_SERVER = 4
# Times are added up as logarithms in this unit, as integers are short.
LOG_UNIT = 0.01


class Quality(enum.Enum):
    """What an answer tells of the software version."""

    GOOD = 'good'
    FAILED = 'failed'
    SLOW = 'slow'
    # The connection broke or was silent, as when a server crashes.
    BROKEN = 'broken'
    IGNORED = 'ignored'

    @property
    def is_bad(self) -> bool:
        """Whether the version may be at fault."""
        return self not in (Quality.GOOD, Quality.IGNORED)


class Tally(NamedTuple):
    """Sums over the answers of one side on one route.

    Attributes
    ----------
    first_count, first_log : int
        Number of times to the first event, and sum of their logarithms.
    gap_count, gap_log : int
        The same for mean times between events.
    """

    answers: int = 0
    failed: int = 0
    slow: int = 0
    first_count: int = 0
    first_log: int = 0
    gap_count: int = 0
    gap_log: int = 0

    @property
    def bad(self) -> int:
        """Answers that failed or were slow."""
        return self.failed + self.slow


class Times(NamedTuple):
    """Times of one answer in seconds; None if unknown."""

    first_s: float | None = None
    gap_s: float | None = None


class Usual(NamedTuple):
    """Usual times of the old version on a route; None if unknown."""

    first_s: float | None = None
    gap_s: float | None = None


class Verdict(NamedTuple):
    """Verdict on the new version; `failure` is empty unless it is bad."""

    failure: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Figures over all nodes.

    Attributes
    ----------
    bad_by_server : mapping
        Bad answers of the servers of the new version that gave any.
    servers : int
        Servers of the new version that get requests.
    """

    old_by_route: Mapping[records.RouteName, Tally]
    new_by_route: Mapping[records.RouteName, Tally]
    bad_by_server: Mapping[int, int]
    servers: int


def add(first: Tally, second: Sequence[float]) -> Tally:
    """Add two tallies."""
    return Tally(*(int(a + b) for a, b in zip(first, second)))


def subtract(whole: Tally, part: Sequence[float]) -> Tally:
    """Subtract an earlier tally; a node that is gone leaves no negative."""
    return Tally(*(max(0, int(a - b)) for a, b in zip(whole, part)))


def total(tallies: Mapping[records.RouteName, Tally]) -> Tally:
    """Add up the tallies of all routes."""
    columns = zip(*tallies.values())
    return Tally(*map(sum, columns)) if tallies else Tally()


def tally_answer(
    known: Tally,
    quality: Quality,
    times: Times,
    is_counted: bool = False,
    is_bad: bool = False,
) -> Tally:
    """Count one answer, or what it tells later.

    Parameters
    ----------
    is_counted, is_bad : bool
        Whether it is among the answers already, and among the bad ones.
    """
    if quality is Quality.IGNORED:
        return known
    first, gap = times
    failed = quality in (Quality.FAILED, Quality.BROKEN)
    return Tally(
        known.answers + (not is_counted),
        known.failed + (failed and not is_bad),
        known.slow + (quality is Quality.SLOW and not is_bad),
        known.first_count + (first is not None),
        known.first_log + _log(first),
        known.gap_count + (gap is not None),
        known.gap_log + _log(gap),
    )


def usual(tally: Tally) -> Usual:
    """Return the usual times of a side on a route."""
    return Usual(
        _mean_s(tally.first_count, tally.first_log),
        _mean_s(tally.gap_count, tally.gap_log),
    )


def is_slow(times: Times, known: Usual, factor: float) -> bool:
    """Whether an answer took several times the usual time."""
    return any(
        time_s is not None
        and usual_s is not None
        and time_s > factor * usual_s
        for time_s, usual_s in zip(times, known)
    )


def judge(figures: Figures) -> Verdict:
    """Judge the new version, on all routes together and on each.

    Returns
    -------
    Verdict
        With a failure if the new version has so many bad answers that a
        version as good as the old one has as many with a chance of less than
        `MAX_CHANCE`.
    """
    new = total(figures.new_by_route)
    if new.bad < MIN_BAD:
        return Verdict()
    share = _spread_share(figures, new.answers)
    scopes = itertools.chain(
        [('all routes', total(figures.old_by_route), new)],
        (
            (f'route {route}', figures.old_by_route.get(route, Tally()), tally)
            for route, tally in figures.new_by_route.items()
        ),
    )
    return next(
        (
            Verdict(
                f'bad on {scope}: {tally.failed} failed and {tally.slow} slow'
                f' of {tally.answers}, old version {old.failed} and'
                f' {old.slow} of {old.answers}'
            )
            for scope, old, tally in scopes
            if _is_worse(old, tally.answers, int(share * tally.bad + 1e-9))
        ),
        Verdict(),
    )


def _is_worse(old: Tally, answers: int, bad: int) -> bool:
    if bad < MIN_BAD:
        return False
    share = UNKNOWN_SHARE
    if old.answers >= MIN_OLD_ANSWERS:
        # The true share may be higher than the one that was seen.
        share = max(
            TOLERATED_SHARE, (old.bad + math.sqrt(old.bad)) / old.answers
        )
    return (
        bad / answers >= share + MIN_EXCESS
        and _chance(bad, answers * share) < MAX_CHANCE
    )


def _spread_share(figures: Figures, answers: int) -> float:
    """Share of the bad answers that are not due to single servers."""
    counts = sorted(figures.bad_by_server.values(), reverse=True)
    found = sum(counts)
    in_use = min(figures.servers, max(1, answers // ANSWERS_PER_SERVER))
    if not found or in_use < 2:
        return 1.0
    outliers = math.ceil(HOST_FAULT_SHARE * in_use)
    limit = counts[outliers] if outliers < len(counts) else 0
    return sum(min(count, limit) for count in counts) / found


def _chance(count: int, mean: float) -> float:
    """Chance of at least `count` events where `mean` are expected."""
    if count > mean + 40 * math.sqrt(mean) + 40:
        return 0.0
    below = sum(
        math.exp(k * math.log(mean) - mean - math.lgamma(k + 1))
        for k in range(count)
    )
    return max(0.0, 1.0 - below)


def _log(time_s: float | None) -> int:
    if time_s is None:
        return 0
    return round(math.log(max(time_s, 1e-4)) / LOG_UNIT)


def _mean_s(count: int, log: int) -> float | None:
    if count < MIN_TIMES:
        return None
    return math.exp(LOG_UNIT * log / count)
