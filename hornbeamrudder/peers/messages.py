"""Messages between nodes.

Fields are encoded by position. A new field is appended with a default, so
that nodes of the previous release can still read the message.
"""

import dataclasses
from typing import Union

from ..core import ids
from ..core import types

PROTOCOL = 1
# Numbers have to be finite on the wire; 30 years stand for no reclaim.
NO_RECLAIM_S = 1e9


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Opens a connection and authenticates one side.

    Attributes
    ----------
    nonce : bytes
        Fresh random bytes of the sender.
    mac : bytes
        HMAC over both nonces and the identity; empty in the challenge.
    """

    address: types.Address
    nonce: bytes
    mac: bytes = b''
    protocol: int = PROTOCOL


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """A process that has stopped admitting, and its last version."""

    node: ids.NodeId
    incarnation: ids.Incarnation
    version: ids.Version


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """A host that receives no new work.

    Attributes
    ----------
    incarnation : int
        Incarnation of the host that is leaving; a later one is not.
    seconds_left : float
        Until its reclaim, `NO_RECLAIM_S` where none is announced.
    """

    host: ids.HostId
    incarnation: ids.Incarnation
    seconds_left: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """Requests of one service and rank that arrive at the sender.

    Attributes
    ----------
    arrivals_per_s, service_s : float
        Mean rate, and mean time for which a request occupies a slot.
    """

    service: ids.ServiceName
    rank: int
    arrivals_per_s: float
    service_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """State of the sender, sent to each peer separately.

    Attributes
    ----------
    sent_at : float
        Clock of the sender, in seconds; the peer returns it.
    echo_incarnation, echo_sent_at : int, float
        Incarnation and `sent_at` of the latest heartbeat that the sender
        got from the receiver, which makes this message its answer.
    settled : int
        Highest version below which no node admits, as the sender knows.
    released : bool
        The sender has stopped admitting; its version stays as it is.
    wants_answer : bool
        Asks the receiver to send its heartbeat at once.
    small_demand : tuple of (ServiceName, float)
        Smoothed demand of small accounts in slots, for the number of quiet
        workers.
    may_admit : bool
        The sender has the right to admit; shown to operators only. True
        from a node of an earlier release, which does not tell.
    """

    sent_at: float
    echo_incarnation: ids.Incarnation
    echo_sent_at: float
    version: ids.Version
    settled: ids.Version = ids.Version(0)
    released: bool = False
    wants_answer: bool = False
    releases: tuple[Released, ...] = ()
    demand: tuple[tuple[ids.ServiceName, float], ...] = ()
    leaving: tuple[Leaving, ...] = ()
    small_demand: tuple[tuple[ids.ServiceName, float], ...] = ()
    rates: tuple[Rate, ...] = ()
    may_admit: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationPush:
    """A committed version: JSON of its row and its document."""

    row: bytes
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationAck:
    """The sender has put `version` in force."""

    version: ids.Version
    released: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """The sender has stopped admitting for good, at `version`."""

    version: ids.Version


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """A request in progress that the sender cannot finish.

    Attributes
    ----------
    offset : int
        Offset, in tokens, of the end of `pieces`.
    pieces : tuple of bytes
        Answer so far.
    """

    request: ids.RequestId
    account: ids.AccountId
    body: bytes
    headers: tuple[tuple[str, str], ...]
    attempt: int
    worker: ids.WorkerId
    offset: int
    pieces: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverAck:
    """Whether the sender has taken the request over."""

    request: ids.RequestId
    accepted: bool
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class FetchAnswer:
    """Asks for the part of an answer after `offset`, in tokens."""

    request: ids.RequestId
    account: ids.AccountId
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPiece:
    """Pieces of an answer from `offset` on; `last` marks its end.

    Attributes
    ----------
    found : bool
        Whether the sender has the answer.
    detail : str
        Why the answer failed; empty where it is whole.
    """

    request: ids.RequestId
    attempt: int
    offset: int
    pieces: tuple[bytes, ...]
    last: bool = False
    found: bool = True
    detail: str = ''


Message = Union[
    Hello,
    Heartbeat,
    ConfigurationPush,
    ConfigurationAck,
    Release,
    Handover,
    HandoverAck,
    FetchAnswer,
    AnswerPiece,
]

# Numbers on the wire; they are never reused.
TYPE_BY_NUMBER: dict[int, type] = {
    1: Hello,
    2: Heartbeat,
    3: ConfigurationPush,
    4: ConfigurationAck,
    5: Release,
    6: Handover,
    7: HandoverAck,
    8: FetchAnswer,
    9: AnswerPiece,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message with its sender.

    Attributes
    ----------
    correlation : int
        Number that pairs a request with its answer; 0 for neither.
    is_answer : bool
        Whether the message answers the request with this number.
    """

    sender: ids.NodeId
    incarnation: ids.Incarnation
    message: Message
    correlation: int = 0
    is_answer: bool = False
