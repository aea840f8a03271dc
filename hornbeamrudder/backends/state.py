"""Health state of a host, derived from reports of five sources.

A record holds the merged reports on the highest incarnation. Merging takes
only maxima and minima, so that the result does not depend on the order in
which reports arrive. The state is a pure function of the record and the time.
"""

import dataclasses
import enum
import math
from typing import Union

from ..core import ids
from ..core import types

# A host that still fails this long after its last response is gone.
GONE_AFTER_S = 10.0


class ReportSource(enum.Enum):
    """Origin of a report."""

    RECLAIM_NOTICE = 'reclaim notice'
    HOST_LIST = 'host list'
    LOAD_REPORT = 'load report'
    FAILED_CONNECTION = 'failed connection'
    PEER = 'peer'


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingReport:
    """The host is leaving, according to any of the sources.

    Attributes
    ----------
    deadline : float
        When the host terminates, in monotonic seconds; infinite if unknown.
    """

    incarnation: ids.Incarnation
    at: float
    source: ReportSource
    deadline: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseReport:
    """A worker on the host responded to a request that was sent at `at`."""

    incarnation: ids.Incarnation
    at: float
    source: ReportSource = ReportSource.LOAD_REPORT


@dataclasses.dataclass(frozen=True, slots=True)
class FailureReport:
    """A request to a worker failed, or the host is no longer listed."""

    incarnation: ids.Incarnation
    at: float
    source: ReportSource = ReportSource.FAILED_CONNECTION


@dataclasses.dataclass(frozen=True, slots=True)
class ListedReport:
    """The host list shows the host as live.

    The list lags, so that this only proves that the incarnation started.
    """

    incarnation: ids.Incarnation
    at: float
    source: ReportSource = ReportSource.HOST_LIST


Report = Union[LeavingReport, ResponseReport, FailureReport, ListedReport]


@dataclasses.dataclass(frozen=True, slots=True)
class HostRecord:
    """Merged reports on one host.

    Attributes
    ----------
    first_report_at : float
        Time of the first report on this incarnation.
    leaving_announced : bool
        Whether this incarnation has been reported as leaving.
    deadline : float
        Earliest reported termination; infinite if none is known.
    last_response_at, last_failure_at : float
        Times of the last response and failure; minus infinity if none.
    """

    host: ids.HostId
    incarnation: ids.Incarnation = ids.Incarnation(0)
    first_report_at: float = math.inf
    leaving_announced: bool = False
    deadline: float = math.inf
    last_response_at: float = -math.inf
    last_failure_at: float = -math.inf


def merge_report(record: HostRecord, report: Report) -> HostRecord:
    """Merge a report into a record.

    A report on a lower incarnation has no effect; a report on a higher
    incarnation discards the record of the lower one.
    """
    if report.incarnation < record.incarnation:
        return record
    if report.incarnation > record.incarnation:
        record = HostRecord(record.host, report.incarnation)
    record = dataclasses.replace(
        record, first_report_at=min(record.first_report_at, report.at)
    )
    match report:
        case LeavingReport(deadline=deadline):
            return dataclasses.replace(
                record,
                leaving_announced=True,
                deadline=min(record.deadline, deadline),
            )
        case ResponseReport(at=at):
            return dataclasses.replace(
                record, last_response_at=max(record.last_response_at, at)
            )
        case FailureReport(at=at):
            return dataclasses.replace(
                record, last_failure_at=max(record.last_failure_at, at)
            )
        case ListedReport():
            return record


def derive_state(record: HostRecord, now: float) -> types.HostState:
    """Derive the state of a host.

    A host is suspect until its first response, and after a failure that is
    later than its last response. A leaving report takes precedence over any
    response of the same incarnation.
    """
    unresponsive_since = max(record.last_response_at, record.first_report_at)
    unresponsive = record.last_failure_at - unresponsive_since > GONE_AFTER_S
    if record.leaving_announced:
        if now >= record.deadline or unresponsive:
            return types.HostState.GONE
        return types.HostState.LEAVING
    if unresponsive:
        return types.HostState.GONE
    if record.last_response_at > record.last_failure_at:
        return types.HostState.LIVE
    return types.HostState.SUSPECT


def may_receive_new_work(record: HostRecord, now: float) -> bool:
    """Whether new work may be sent to the host."""
    return derive_state(record, now) is types.HostState.LIVE


def seconds_left(record: HostRecord, now: float) -> float:
    """Seconds until the reported termination of the host, at least 0."""
    return max(0.0, record.deadline - now)
