"""State of a host from five sources, as a pure function of facts.

A record holds what has been reported for the highest incarnation. Reports
are merged by maximum and minimum only, so the order in which they arrive
does not change the result; the state is derived from the merged facts.
"""

import dataclasses
import enum
import math
from typing import Union

from ..core import ids
from ..core import types

GONE_AFTER_S = 10.0
"""A host that answers nothing for this long is taken to be gone."""


class Source(enum.Enum):
    """Where a report comes from."""

    RECLAIM_NOTICE = 'reclaim notice'
    HOST_LIST = 'host list'
    LOAD_REPORT = 'load report'
    FAILED_CONNECTION = 'failed connection'
    PEER = 'peer'


@dataclasses.dataclass(frozen=True, slots=True)
class Announced:
    """The host is leaving; from a notice, the list, the worker or a peer.

    Attributes
    ----------
    deadline : float
        When the host ends, monotonic seconds; infinite where unknown.
    """

    incarnation: ids.Incarnation
    at: float
    source: Source
    deadline: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A worker on the host answered a call that was sent at `at`."""

    incarnation: ids.Incarnation
    at: float
    source: Source = Source.LOAD_REPORT


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A call to a worker on the host failed, or the list lost the host."""

    incarnation: ids.Incarnation
    at: float
    source: Source = Source.FAILED_CONNECTION


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
    """The host list shows the host as live.

    It proves only that the incarnation has started, since the list lags.
    """

    incarnation: ids.Incarnation
    at: float
    source: Source = Source.HOST_LIST


Report = Union[Announced, Answered, Failed, Listed]


@dataclasses.dataclass(frozen=True, slots=True)
class HostRecord:
    """What is known of one host.

    Attributes
    ----------
    known_since : float
        Time of the earliest report on this incarnation.
    announced : bool
        Whether leaving was announced for this incarnation.
    deadline : float
        Earliest announced end; infinite where none is known.
    answered_at, failed_at : float
        Times of the latest answer and failure; minus infinity for none.
    """

    host: ids.HostId
    incarnation: ids.Incarnation = ids.Incarnation(0)
    known_since: float = math.inf
    announced: bool = False
    deadline: float = math.inf
    answered_at: float = -math.inf
    failed_at: float = -math.inf


def apply(record: HostRecord, report: Report) -> HostRecord:
    """Merge a report into a record.

    A report on a lower incarnation has no effect; one on a higher
    incarnation discards all that was known of the lower one.
    """
    if report.incarnation < record.incarnation:
        return record
    if report.incarnation > record.incarnation:
        record = HostRecord(record.host, report.incarnation)
    record = dataclasses.replace(
        record, known_since=min(record.known_since, report.at)
    )
    match report:
        case Announced(deadline=deadline):
            return dataclasses.replace(
                record,
                announced=True,
                deadline=min(record.deadline, deadline),
            )
        case Answered(at=at):
            return dataclasses.replace(
                record, answered_at=max(record.answered_at, at)
            )
        case Failed(at=at):
            return dataclasses.replace(
                record, failed_at=max(record.failed_at, at)
            )
        case Listed():
            return record


def state(record: HostRecord, now: float) -> types.HostState:
    """Derive the state of a host.

    A host is suspect until its first answer and after a failure that is
    later than its last answer. Announced leaving takes precedence over any
    answer of the same incarnation.
    """
    silent_since = max(record.answered_at, record.known_since)
    silent = record.failed_at - silent_since > GONE_AFTER_S
    if record.announced:
        if now >= record.deadline or silent:
            return types.HostState.GONE
        return types.HostState.LEAVING
    if silent:
        return types.HostState.GONE
    if record.answered_at > record.failed_at:
        return types.HostState.LIVE
    return types.HostState.SUSPECT


def may_receive_new_work(record: HostRecord, now: float) -> bool:
    """Whether new work may be sent to the host."""
    return state(record, now) is types.HostState.LIVE


def seconds_left(record: HostRecord, now: float) -> float:
    """Time until the announced end of the host, at least 0, in seconds."""
    return max(0.0, record.deadline - now)
