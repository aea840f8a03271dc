"""Load of a worker: its last report plus own work since then."""

import dataclasses
import math

from ..core import ids

STALE_AFTER_S = 5.0
"""A report that is older than this says little about the present load."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a worker reports.

    Attributes
    ----------
    outstanding_tokens : float
        Expected tokens of the work that the worker has accepted.
    running, waiting : int
        Requests in progress and in the worker's own queue.
    taken_at : float
        When the figures were true at the earliest: the time at which the
        report was asked for, minus the lag that the worker states.
    """

    outstanding_tokens: float
    running: int
    waiting: int
    taken_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class OwnWork:
    """A request that this node has sent to the worker.

    Attributes
    ----------
    expected_tokens : float
        Tokens still expected when the request was sent.
    ended_at : float
        Infinite while the request is in progress.
    """

    request: ids.RequestId
    expected_tokens: float
    started_at: float
    ended_at: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLoad:
    """Last report of a worker and own work that may be missing from it."""

    report: LoadReport = LoadReport(0.0, 0, 0, -math.inf)
    own: tuple[OwnWork, ...] = ()

    @property
    def own_in_progress(self) -> int:
        """Number of this node's requests that the worker serves."""
        return sum(work.ended_at == math.inf for work in self.own)


def reported(load: WorkerLoad, report: LoadReport) -> WorkerLoad:
    """Take over a report, unless a later one is known.

    Work that ended before the report was taken cannot be part of it and is
    dropped.
    """
    if report.taken_at <= load.report.taken_at:
        return load
    own = tuple(work for work in load.own if work.ended_at > report.taken_at)
    return WorkerLoad(report, own)


def started(
    load: WorkerLoad, request: ids.RequestId, tokens: float, now: float
) -> WorkerLoad:
    """Note that this node sends a request to the worker."""
    work = OwnWork(request, tokens, now)
    return dataclasses.replace(load, own=(*load.own, work))


def ended(load: WorkerLoad, request: ids.RequestId, now: float) -> WorkerLoad:
    """Note that a request of this node has ended, for whatever reason.

    Work that ended more than `STALE_AFTER_S` ago is dropped, so that the
    record stays small while a worker sends no reports.
    """
    own = (
        dataclasses.replace(work, ended_at=min(work.ended_at, now))
        if work.request == request
        else work
        for work in load.own
    )
    return dataclasses.replace(
        load,
        own=tuple(work for work in own if work.ended_at > now - STALE_AFTER_S),
    )


def outstanding_tokens(load: WorkerLoad) -> float:
    """Estimate the expected tokens that the worker still has to serve.

    Own work that started after the report is added; work that the report
    may contain and that has ended since then is subtracted.
    """
    taken_at = load.report.taken_at
    change = 0.0
    for work in load.own:
        in_report = work.started_at <= taken_at
        in_progress = work.ended_at == math.inf
        if in_progress and not in_report:
            change += work.expected_tokens
        if in_report and not in_progress:
            change -= work.expected_tokens
    return max(0.0, load.report.outstanding_tokens + change)


def age(load: WorkerLoad, now: float) -> float:
    """Age of the last report in seconds, infinite without a report."""
    return now - load.report.taken_at


def is_stale(load: WorkerLoad, now: float) -> bool:
    """Whether the last report is too old to be relied upon."""
    return age(load, now) > STALE_AFTER_S
