"""What a node knows of one roll-out: counts of answers, and their judgement.

No I/O; the time is read from `clock`.
"""

import collections
import dataclasses
from typing import NamedTuple

from ..core import ids
from . import evidence
from ..gateway import clock
from ..gateway import records
from ..gateway import server_registry
from . import shared
from . import split
from . import state

# Recent answers are judged by themselves too, so that a version that turns
# bad late isn't judged by its earlier answers.
RECENT_S = 6.0
HISTORY_INTERVAL_S = 1.0
# A crash breaks the answers to requests sent before it, or shortly after.
CRASH_S = 1.0
# Phases in which answers are counted and judged.
JUDGED = (state.Phase.TRIAL, state.Phase.LOAD, state.Phase.TRANSFER)


class Answer(NamedTuple):
    """Answer of a backend server, or what came instead.

    Attributes
    ----------
    quality : Quality
        `GOOD` becomes `SLOW` if the times are several times the usual;
        `SLOW` is what was silent until it was given up.
    sent_at : float
        Time on `clock.now` at which the request was sent.
    is_counted, is_bad : bool
        Whether it was counted before, and as a bad one.
    """

    route: records.RouteName
    quality: evidence.Quality
    times: evidence.Times
    sent_at: float
    is_counted: bool = False
    is_bad: bool = False


@dataclasses.dataclass(slots=True)
class ServiceRollOut:
    """What a node knows of the roll-outs of one service.

    Attributes
    ----------
    row_version : int
        Version of the row of `rollout` in the store; 0 if there is none.
    halted : str
        Why this node sends nothing to the new version; empty unless it is so.
    broken_at : dict
        Time at which a server was first known to break answers.
    moved_off : set
        Servers whose runs are being moved to the new version.
    history : deque
        Totals of the last seconds, with their times.
    """

    service: ids.ServiceName
    order: state.Order | None = None
    rollout: state.RollOut | None = None
    row_version: int = 0
    own: split.OwnCounts = split.OwnCounts()
    own_totals: shared.Totals = shared.Totals()
    totals: shared.Totals = shared.Totals()
    others: shared.Totals = shared.Totals()
    halted: str = ''
    usual_by_route: dict[records.RouteName, evidence.Usual] = (
        dataclasses.field(default_factory=dict)
    )
    broken_at: dict[int, float] = dataclasses.field(default_factory=dict)
    trial_servers: frozenset[ids.WorkerId] = frozenset()
    trial_share: float = 0.0
    moved_off: set[ids.WorkerId] = dataclasses.field(default_factory=set)
    history: collections.deque[tuple[float, shared.Totals]] = (
        dataclasses.field(default_factory=collections.deque)
    )

    @property
    def is_pending(self) -> bool:
        """Whether the state of the present order isn't known yet."""
        return self.order is not None and (
            self.rollout is None or self.rollout.order != self.order.number
        )

    @property
    def is_active(self) -> bool:
        """Whether a roll-out is in progress, or about to begin."""
        return self.is_pending or (
            self.rollout is not None and not self.rollout.phase.is_over
        )

    @property
    def number(self) -> state.OrderNumber:
        """Number of the order that the figures belong to."""
        if self.order is not None:
            return self.order.number
        assert self.rollout is not None
        return self.rollout.order

    def forget_figures(self) -> None:
        """Start anew, for another order."""
        self.own = split.OwnCounts()
        self.own_totals = self.totals = self.others = shared.Totals()
        self.halted = ''
        self.usual_by_route.clear()
        self.broken_at.clear()
        self.moved_off.clear()
        self.history.clear()
        self.trial_servers = frozenset()


def record_answer(
    known: ServiceRollOut,
    record: server_registry.ServerRecord,
    answer: Answer,
) -> evidence.Quality:
    """Count an answer of a backend server; return its quality."""
    rollout = known.rollout
    assert rollout is not None
    quality = _quality(known, rollout, record, answer)
    side = rollout.side(record.entry.version)
    if rollout.phase not in JUDGED or side is state.Side.BARRED:
        return quality
    totals = known.own_totals
    is_new = side is state.Side.NEW
    by_route = totals.new_by_route if is_new else totals.old_by_route
    tallied = {
        **by_route,
        answer.route: evidence.tally_answer(
            by_route.get(answer.route, evidence.Tally()),
            quality,
            answer.times,
            answer.is_counted,
            answer.is_bad,
        ),
    }
    if not is_new:
        known.own_totals = dataclasses.replace(totals, old_by_route=tallied)
        return quality
    figures = totals.by_server.get(record.key, shared.ServerFigures())
    figures = shared.ServerFigures(
        figures.bad + (quality.is_bad and not answer.is_bad),
        int(record.key in known.broken_at),
    )
    known.own_totals = dataclasses.replace(
        totals,
        new_by_route=tallied,
        by_server={**totals.by_server, record.key: figures}
        if any(figures)
        else totals.by_server,
    )
    return quality


def _quality(
    known: ServiceRollOut,
    rollout: state.RollOut,
    record: server_registry.ServerRecord,
    answer: Answer,
) -> evidence.Quality:
    if answer.quality in (evidence.Quality.FAILED, evidence.Quality.IGNORED):
        return answer.quality
    is_slow = clock.now() >= record.cold_until and evidence.is_slow(
        answer.times,
        known.usual_by_route.get(answer.route, evidence.Usual()),
        evidence.TRANSFER_SLOW_FACTOR
        if rollout.phase is state.Phase.TRANSFER
        else evidence.SLOW_FACTOR,
    )
    if answer.quality is evidence.Quality.GOOD:
        return evidence.Quality.SLOW if is_slow else answer.quality
    if answer.quality is evidence.Quality.SLOW and not is_slow:
        return evidence.Quality.IGNORED
    # A crash or a reclaim breaks or silences a server once, whatever its
    # version; one that goes on to do so is at fault.
    broken_at = known.broken_at.setdefault(record.key, clock.now())
    if (
        record.leaving_since is not None
        or answer.sent_at < broken_at + CRASH_S
    ):
        return evidence.Quality.IGNORED
    return answer.quality


def judge(known: ServiceRollOut, servers: int) -> str:
    """Judge the sums over all nodes, and those of the last seconds.

    Parameters
    ----------
    servers : int
        Servers of the new version that get requests.

    Returns
    -------
    str
        Why the new version is bad; empty unless it is.
    """
    now = clock.now()
    totals = known.totals
    for server, figures in totals.by_server.items():
        if figures.broken:
            known.broken_at.setdefault(server, now)
    known.usual_by_route = {
        route: evidence.usual(tally)
        for route, tally in totals.old_by_route.items()
    }
    history = known.history
    if not history or now - history[-1][0] >= HISTORY_INTERVAL_S:
        history.append((now, totals))
    while now - history[0][0] > RECENT_S:
        history.popleft()
    recent = shared.since(totals, history[0][1])
    if known.others.node.halted:
        return 'found to be bad by another node'
    return next(
        (
            verdict.failure
            for verdict in (
                evidence.judge(_figures(part, totals, servers))
                for part in (totals, recent)
            )
            if verdict.failure
        ),
        '',
    )


def _figures(
    part: shared.Totals, whole: shared.Totals, servers: int
) -> evidence.Figures:
    """Return figures to judge, with enough answers of the old version.

    During the transfer it gives none.
    """
    old = {
        route: tally
        if tally.answers >= evidence.MIN_OLD_ANSWERS
        else whole.old_by_route[route]
        for route, tally in part.old_by_route.items()
    }
    return evidence.Figures(
        old,
        part.new_by_route,
        {server: figures.bad for server, figures in part.by_server.items()},
        servers,
    )
