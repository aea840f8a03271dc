"""Events and effects of the node state machine."""

import dataclasses
import enum
from typing import Union

from ..core import ids
from ..peers import messages
from . import publish
from . import versions


class WriteOutcome(enum.Enum):
    """Outcome of a compare-and-set of the version row."""

    APPLIED = 'applied'
    VERSION_MISMATCH = 'version mismatch'
    UNKNOWN = 'unknown'
    NOT_SENT = 'not sent'


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Periodic timer event.

    Attributes
    ----------
    connected : tuple of NodeId
        Peers with an open connection.
    wall : float
        Unix time in seconds, for the time in the version row.
    """

    connected: tuple[ids.NodeId, ...] = ()
    wall: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message arrived from a peer."""

    sender: ids.NodeId
    incarnation: ids.Incarnation
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class TableRead:
    """Result of `ReadTable`; `table` is None if the read failed."""

    sent_at: float
    table: publish.TableState | None


@dataclasses.dataclass(frozen=True, slots=True)
class WriteCompleted:
    """Result of `WriteTable`."""

    attempt: ids.AttemptId
    outcome: WriteOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeProposed:
    """An operator proposes a change."""

    proposal: publish.Proposal


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The node must permanently stop admitting and leave the member set."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessEnded:
    """The platform or an operator reports that a process terminated."""

    voter: versions.Voter


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReport:
    """Data from other packages to include in the heartbeats."""

    demand: tuple[tuple[ids.ServiceName, float], ...]
    leaving: tuple[messages.Leaving, ...]
    small_demand: tuple[tuple[ids.ServiceName, float], ...] = ()
    rates: tuple[messages.Rate, ...] = ()


Event = Union[
    Tick,
    MessageReceived,
    TableRead,
    WriteCompleted,
    ChangeProposed,
    StopRequested,
    ProcessEnded,
    HeartbeatReport,
]


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer."""

    node: ids.NodeId
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTable:
    """Read the version row and its document; completes as `TableRead`."""

    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class WriteTable:
    """Write document and version row; completes as `WriteCompleted`."""

    attempt: ids.AttemptId
    write: publish.Write


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteProposal:
    """Return the result of a proposal to its author."""

    attempt: ids.AttemptId
    result: publish.Result


@dataclasses.dataclass(frozen=True, slots=True)
class VersionInstalled:
    """A version was installed on this node."""

    content: versions.VersionedDocument


@dataclasses.dataclass(frozen=True, slots=True)
class VersionInForce:
    """A version is in force everywhere."""

    version: ids.Version


Effect = Union[
    Send,
    ReadTable,
    WriteTable,
    CompleteProposal,
    VersionInstalled,
    VersionInForce,
]
