"""Estimated load of a worker.

The estimate is the last load report of the worker, corrected by the requests
of this node that the report cannot include.
"""

import dataclasses
import math

from ..core import ids

# Age above which a report no longer reflects the current load.
STALE_AFTER_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load reported by a worker.

    Attributes
    ----------
    outstanding_tokens : float
        Expected tokens of the requests that the worker has accepted.
    running, waiting : int
        Requests in progress and in the worker's own queue.
    sampled_at : float
        Earliest time at which the load can have been sampled: the time
        at which the report was requested, minus the reported lag.
    """

    outstanding_tokens: float
    running: int
    waiting: int
    sampled_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class LocalRequest:
    """A request that this node sent to the worker.

    Attributes
    ----------
    expected_tokens : float
        Tokens that were expected when the request was sent.
    ended_at : float
        Infinite while the request is in progress.
    """

    request_id: ids.RequestId
    expected_tokens: float
    started_at: float
    ended_at: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLoad:
    """Last report of a worker and requests that it may not include."""

    report: LoadReport = LoadReport(0.0, 0, 0, -math.inf)
    local_requests: tuple[LocalRequest, ...] = ()

    @property
    def local_in_progress(self) -> int:
        """Number of requests of this node in progress at the worker."""
        return sum(
            request.ended_at == math.inf for request in self.local_requests
        )


def merge_report(load: WorkerLoad, report: LoadReport) -> WorkerLoad:
    """Replace the report, unless the current one is at least as recent.

    Requests that ended before the load was sampled cannot be included in the
    report and are removed.
    """
    if report.sampled_at <= load.report.sampled_at:
        return load
    local_requests = tuple(
        request
        for request in load.local_requests
        if request.ended_at > report.sampled_at
    )
    return WorkerLoad(report, local_requests)


def add_request(
    load: WorkerLoad, request_id: ids.RequestId, tokens: float, now: float
) -> WorkerLoad:
    """Record that this node sends a request to the worker."""
    request = LocalRequest(request_id, tokens, now)
    return dataclasses.replace(
        load, local_requests=(*load.local_requests, request)
    )


def end_request(
    load: WorkerLoad, request_id: ids.RequestId, now: float
) -> WorkerLoad:
    """Record the end of a request of this node, successful or not.

    Requests that ended more than `STALE_AFTER_S` ago are removed, to bound
    the memory used while a worker sends no reports.
    """
    local_requests = (
        dataclasses.replace(request, ended_at=min(request.ended_at, now))
        if request.request_id == request_id
        else request
        for request in load.local_requests
    )
    return dataclasses.replace(
        load,
        local_requests=tuple(
            request
            for request in local_requests
            if request.ended_at > now - STALE_AFTER_S
        ),
    )


def outstanding_tokens(load: WorkerLoad) -> float:
    """Estimate the expected tokens that the worker still has to process.

    Requests of this node that started after the report are added; those that
    the report may include and that have ended since are subtracted.
    """
    sampled_at = load.report.sampled_at
    adjustment = 0.0
    for request in load.local_requests:
        reported = request.started_at <= sampled_at
        in_progress = request.ended_at == math.inf
        if in_progress and not reported:
            adjustment += request.expected_tokens
        if reported and not in_progress:
            adjustment -= request.expected_tokens
    return max(0.0, load.report.outstanding_tokens + adjustment)


def report_age(load: WorkerLoad, now: float) -> float:
    """Age of the last report in seconds; infinite if there is none."""
    return now - load.report.sampled_at


def is_stale(load: WorkerLoad, now: float) -> bool:
    """Whether the last report is too old to be used."""
    return report_age(load, now) > STALE_AFTER_S
