"""Events and effects of the state machine of a node."""

import dataclasses
import enum
from typing import Union

from ..core import ids
from ..peers import messages
from . import publish
from . import state


class WriteOutcome(enum.Enum):
    """What the table service answered to a write."""

    APPLIED = 'applied'
    LOST_RACE = 'lost race'
    UNKNOWN = 'unknown'
    NOT_SENT = 'not sent'


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed.

    Attributes
    ----------
    connected : tuple of NodeId
        Peers with a connection.
    wall : float
        Seconds since 1970, for the time noted in the version row.
    """

    connected: tuple[ids.NodeId, ...] = ()
    wall: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message arrived from a peer."""

    sender: ids.NodeId
    incarnation: ids.Incarnation
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class RowRead:
    """Answer to `ReadTable`; `table` is None where the read failed."""

    sent_at: float
    table: publish.TableState | None


@dataclasses.dataclass(frozen=True, slots=True)
class WriteDone:
    """Answer to `WriteTable`."""

    attempt: ids.AttemptId
    outcome: WriteOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """An operator proposes a change."""

    proposal: publish.Proposal


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseSelf:
    """The node stops admitting for good and leaves the member set."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The platform or an operator reports that a process has ended."""

    voter: state.Voter


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What the next heartbeats carry for other parts of the node."""

    demand: tuple[tuple[ids.ServiceName, float], ...]
    leaving: tuple[messages.Leaving, ...]
    small_demand: tuple[tuple[ids.ServiceName, float], ...] = ()
    rates: tuple[messages.Rate, ...] = ()


Event = Union[
    Tick, Received, RowRead, WriteDone, Propose, ReleaseSelf, Ended, Report
]


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer."""

    node: ids.NodeId
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTable:
    """Read the version row and its document; answered by `RowRead`."""

    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class WriteTable:
    """Write content and version row; answered by `WriteDone`."""

    attempt: ids.AttemptId
    write: publish.Write


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Tell the result of a proposal."""

    attempt: ids.AttemptId
    result: publish.Result


@dataclasses.dataclass(frozen=True, slots=True)
class Installed:
    """A version came into force on this node."""

    content: state.Content


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """A version is in force everywhere."""

    version: ids.Version


Effect = Union[Send, ReadTable, WriteTable, Finish, Installed, InForce]
