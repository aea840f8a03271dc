"""State, events and effects of the state machine that executes an order."""

import dataclasses
import enum
from typing import Union

from returns import result

from . import committer
from ..core import errors
from ..infrastructure import table
from . import record

# Delay before the first poll of a record held by another node.
INITIAL_POLL_DELAY_S = 0.05

SendResult = result.Result[record.StoredResult, errors.Failure]


class Phase(enum.Enum):
    """Phase of an execution; the value names what it waits for."""

    NEW = 'new'
    CREATING = 'first write'
    QUEUED = 'capacity'
    CLAIMING = 'write of the state dispatching'
    SENDING = 'answer of the backend server'
    FINISHING = 'write of a final state'
    WAITING = 'another node'
    ENDED = 'nothing'


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answer to the caller.

    Attributes
    ----------
    recorded : bool
        Whether the answer is the one in the order record. If not, a failure
        with outcome NOT_RUN covers only this attempt: nothing was or will be
        recorded for it, but an earlier attempt with the same key may have
        run.
    """

    answer: SendResult
    recorded: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """Execution of one order on one node.

    Attributes
    ----------
    draft : OrderRecord
        The node's own record as last written or about to be written.
    version : int
        Expected row version of the next write; 0 for an absent row.
    deadline : float
        Deadline of the caller in monotonic seconds.
    has_capacity : bool
        Whether admission has granted the dispatch.
    replied : bool
        Whether the caller has been answered.
    pending_reply : Reply or None
        Answer to send once the final state has been written.
    poll_at : float or None
        Monotonic time in seconds of the next poll.
    """

    key: str
    draft: record.OrderRecord
    deadline: float
    phase: Phase = Phase.NEW
    version: int = 0
    has_capacity: bool = False
    replied: bool = False
    pending_reply: Reply | None = None
    poll_delay_s: float = INITIAL_POLL_DELAY_S
    poll_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """The request arrived, or an accepted record is to be taken over."""


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityDecided:
    """Admission decided on a queued request."""

    granted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WriteSettled:
    """The write in progress has an outcome."""

    commit: committer.CommitResult


@dataclasses.dataclass(frozen=True, slots=True)
class SendSettled:
    """The send has an outcome; NOT_RUN proves that nothing was sent."""

    answer: SendResult


@dataclasses.dataclass(frozen=True, slots=True)
class RowRead:
    """Response to a `Poll`."""

    rows: result.Result[tuple[table.Row, ...], errors.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of a `SetTimer` has been reached."""


Event = Union[
    Begin, CapacityDecided, WriteSettled, SendSettled, RowRead, TimerFired
]


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Commit the put, then deliver a `WriteSettled`."""

    put: table.Put
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the request once, unless the time is past `not_after`."""

    request: record.StoredRequest
    not_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """Read the row, then deliver a `RowRead`."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver a `TimerFired` at this monotonic time."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Respond:
    """Answer the caller."""

    reply: Reply


Effect = Union[Write, Send, Poll, SetTimer, Respond]
