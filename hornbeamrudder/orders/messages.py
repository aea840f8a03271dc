"""State, events and effects of the execution of one order."""

import dataclasses
import enum
from typing import Union

from returns import result

from . import committer
from ..core import errors
from ..infrastructure import table
from . import record

# Delay of the first poll of a record that another node holds.
FIRST_POLL_S = 0.05

SendResult = result.Result[record.StoredResult, errors.Failure]


class Phase(enum.Enum):
    """What the execution waits for."""

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
        The answer is that of the order record. Where False, a failure with
        outcome NOT_RUN speaks of this attempt alone: nothing was recorded
        for it and nothing will be. An earlier attempt with the same key may
        have run.
    """

    answer: SendResult
    recorded: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """State of one request on one node.

    Attributes
    ----------
    draft : OrderRecord
        Own record as last written or about to be written.
    version : int
        Version that the row has before the next own write; 0 for none.
    deadline : float
        Deadline of the caller in monotonic seconds.
    has_capacity : bool
        Admission has granted the dispatch.
    outcome : Reply or None
        Answer that waits for the write of a final state.
    """

    key: str
    draft: record.OrderRecord
    deadline: float
    phase: Phase = Phase.NEW
    version: int = 0
    has_capacity: bool = False
    replied: bool = False
    outcome: Reply | None = None
    poll_delay_s: float = FIRST_POLL_S
    poll_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """The request arrived, or an accepted record is to be taken over."""


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Decision of admission about a request that had to queue."""

    granted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WriteSettled:
    """Outcome of the write in progress."""

    commit: committer.CommitResult


@dataclasses.dataclass(frozen=True, slots=True)
class SendSettled:
    """Outcome of the send; NOT_RUN proves that nothing was sent."""

    answer: SendResult


@dataclasses.dataclass(frozen=True, slots=True)
class RowRead:
    """Answer to a poll."""

    rows: result.Result[tuple[table.Row, ...], errors.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class Timer:
    """A time that was asked for has come."""


Event = Union[Begin, Capacity, WriteSettled, SendSettled, RowRead, Timer]


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Commit the put; the answer is a `WriteSettled`."""

    put: table.Put
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the request once, unless it is later than `not_after`."""

    request: record.StoredRequest
    not_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """Read the row; the answer is a `RowRead`."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver a `Timer` at this monotonic time."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer the caller."""

    reply: Reply


Effect = Union[Write, Send, Poll, SetTimer, Answer]
