"""Messages between nodes and their msgpack encoding.

All counters are totals since the start of a process, so a lost datagram only
delays information.
"""

import dataclasses
from typing import Any, Callable, Mapping, Sequence

import msgpack

from ..core import hashing
from ..core import ids
from . import shared_sums

# Message type: the first field of each datagram.
REPORT_FORMAT = 3
LOAD_FORMAT = 4
MEMBERS_FORMAT = 5
CONFIRMATION_FORMAT = 6
USAGE_FORMAT = 7
SUSPICIONS_FORMAT = 8
SUMS_FORMAT = 9
# Backlogs are encoded as multiples of this number of tokens.
BACKLOG_UNIT_TOKENS = 64

Units = Mapping[str, tuple[float, float]]
Load = Mapping[int, tuple[int, int]]


def server_key(server: ids.WorkerId) -> int:
    """Return the 32-bit hash that identifies a server in messages."""
    return hashing.stable_hash(server) & 0xFFFFFFFF


def node_key(node: ids.NodeId) -> int:
    """Return the 32-bit hash that identifies a node in messages."""
    return hashing.stable_hash(node) & 0xFFFFFFFF


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Report of one node.

    Attributes
    ----------
    started : int
        Start of the node's process in Unix milliseconds.
    wall : float
        Unix time at the node.
    sent_at : float
        Time on the node's own clock; a digest returns it.
    units_by_account : mapping
        Units admitted since the start and units remaining, by account.
    load_by_server : mapping
        Requests in progress and unprocessed prompt tokens, by `server_key`.
    waiting_by_service : mapping
        Number of queued requests by service.
    duty_number : int
        Fencing number of the term held by the node; 0 if none.
    """

    node: ids.NodeId
    started: int
    wall: float
    sent_at: float
    units_by_account: Units
    load_by_server: Load
    waiting_by_service: Mapping[str, int]
    duty_number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadDigest:
    """Sums of a hub over all nodes except the recipient.

    Attributes
    ----------
    hub, started
        Hub and the start of its process.
    units_by_account : mapping
        Units admitted by the others since the hub's start, and units
        remaining.
    """

    hub: ids.NodeId
    started: int
    units_by_account: Units
    load_by_server: Load
    waiting_by_service: Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class TableState:
    """How current a hub's copy of one table of the store is.

    Attributes
    ----------
    content_version : int
        Version of the latest row of the table.
    age_s, recovered_s : float
        Seconds since the store confirmed the table as current, and since the
        end of the last outage.
    """

    table: str
    content_version: int
    age_s: float
    recovered_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class MembersDigest:
    """Nodes included in a hub's sums, and the state of its store tables.

    Attributes
    ----------
    asked_at : float
        `sent_at` of the latest report of the recipient.
    cluster_time : float
        Median of the nodes' Unix times.
    members : sequence of int
        `node_key` of each node included in the hub's sums.
    """

    hub: ids.NodeId
    asked_at: float
    cluster_time: float
    members: Sequence[int]
    duty_number: int
    tables: tuple[TableState, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """How current the store's tables are at a node.

    Attributes
    ----------
    started, sent_at
        Start of the sender's process, and time on its own clock.
    recipient_started : int
        Start of the recipient's process, as the sender knows it.
    asked_at : float
        Time on the recipient's clock that had passed when this was sent.
    duty_number : int
        Fencing number of the node that holds the duties; 0 if not known.
    stored_usage : sequence
        Windows of the recipient's usage that are stored, with the number of
        requests counted in each.
    """

    node: ids.NodeId
    started: int
    sent_at: float
    recipient_started: int
    asked_at: float
    duty_number: int
    tables: tuple[TableState, ...]
    stored_usage: Sequence[tuple[int, int]] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class UsageCounts:
    """Usage counts of one node that are not stored yet.

    Attributes
    ----------
    rows_by_window : mapping
        Rows as `usage.Counter` gives them.
    """

    node: ids.NodeId
    started: int
    rows_by_window: Mapping[int, Mapping[str, Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNews:
    """Crash of a backend server, as `crash_evidence.Crash`.

    Attributes
    ----------
    age_s : float
        Seconds since the crash.
    """

    lifetime: int
    service: int
    age_s: float
    begun: tuple[int, ...]
    unanswered: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HoldNews:
    """Prompt parts that are held back, as `crash_evidence.Hold`.

    Attributes
    ----------
    first_age_s, held_age_s : float
        Seconds since the first crash, and since requests are refused.
    """

    parts: tuple[int, ...]
    first_age_s: float
    held_age_s: float
    crashes: int
    trials: int


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicions:
    """What a node knows of crashes and of the prompt parts behind them.

    Attributes
    ----------
    answer_age_by_part : mapping
        Seconds since an answer with a part got past its beginning.
    """

    node: ids.NodeId
    crashes: tuple[CrashNews, ...] = ()
    answer_age_by_part: Mapping[int, float] = dataclasses.field(
        default_factory=dict
    )
    holds: tuple[HoldNews, ...] = ()


Message = (
    Report
    | LoadDigest
    | MembersDigest
    | Confirmation
    | UsageCounts
    | Suspicions
    | shared_sums.Sums
)


def encode(message: Message) -> bytes:
    """Encode a message as one datagram."""
    match message:
        case Report():
            fields: list[Any] = [
                REPORT_FORMAT,
                message.node,
                message.started,
                message.wall,
                message.sent_at,
                _pack_units(message.units_by_account),
                _pack_load(message.load_by_server),
                message.waiting_by_service,
                message.duty_number,
            ]
        case LoadDigest():
            fields = [
                LOAD_FORMAT,
                message.hub,
                message.started,
                _pack_units(message.units_by_account),
                _pack_load(message.load_by_server),
                message.waiting_by_service,
            ]
        case MembersDigest():
            fields = [
                MEMBERS_FORMAT,
                message.hub,
                message.asked_at,
                message.cluster_time,
                list(message.members),
                message.duty_number,
                [dataclasses.astuple(table) for table in message.tables],
            ]
        case Confirmation():
            fields = [
                CONFIRMATION_FORMAT,
                message.node,
                message.started,
                message.sent_at,
                message.recipient_started,
                message.asked_at,
                message.duty_number,
                [dataclasses.astuple(table) for table in message.tables],
                list(message.stored_usage),
            ]
        case UsageCounts():
            fields = [
                USAGE_FORMAT,
                message.node,
                message.started,
                [
                    (window, row['complete'], row['counts'])
                    for window, row in message.rows_by_window.items()
                ],
            ]
        case Suspicions():
            fields = [
                SUSPICIONS_FORMAT,
                message.node,
                [dataclasses.astuple(crash) for crash in message.crashes],
                list(message.answer_age_by_part.items()),
                [dataclasses.astuple(hold) for hold in message.holds],
            ]
        case shared_sums.Sums():
            fields = [SUMS_FORMAT, *message.pack()]
    packed: bytes = msgpack.packb(fields)
    return packed


def decode(fields: Any) -> Message | None:
    """Decode the fields of a datagram; return None if they are invalid."""
    try:
        return _DECODER_BY_FORMAT[fields[0]](fields[1:])
    except (
        ValueError,
        TypeError,
        IndexError,
        AttributeError,
        KeyError,
        OverflowError,
    ):
        # Truncated, or sent by another program; counted by the caller.
        return None


def _decode_report(fields: Sequence[Any]) -> Report:
    node, started, wall, sent_at, units, load, waiting, number = fields
    return Report(
        ids.NodeId(str(node)),
        int(started),
        float(wall),
        float(sent_at),
        _unpack_units(units),
        _unpack_load(load),
        _unpack_counts(waiting),
        int(number),
    )


def _decode_load(fields: Sequence[Any]) -> LoadDigest:
    hub, started, units, load, waiting = fields
    return LoadDigest(
        ids.NodeId(str(hub)),
        int(started),
        _unpack_units(units),
        _unpack_load(load),
        _unpack_counts(waiting),
    )


def _decode_members(fields: Sequence[Any]) -> MembersDigest:
    hub, asked_at, cluster_time, members, number, tables = fields
    return MembersDigest(
        ids.NodeId(str(hub)),
        float(asked_at),
        float(cluster_time),
        tuple(map(int, members)),
        int(number),
        tuple(TableState(*table) for table in tables),
    )


def _decode_confirmation(fields: Sequence[Any]) -> Confirmation:
    node, started, sent_at, to, asked_at, number, tables, stored = fields
    return Confirmation(
        ids.NodeId(str(node)),
        int(started),
        float(sent_at),
        int(to),
        float(asked_at),
        int(number),
        tuple(TableState(*table) for table in tables),
        tuple((int(window), int(total)) for window, total in stored),
    )


def _decode_usage(fields: Sequence[Any]) -> UsageCounts:
    node, started, rows = fields
    return UsageCounts(
        ids.NodeId(str(node)),
        int(started),
        {
            int(window): {
                'counts': _unpack_counts(counts),
                'complete': bool(complete),
            }
            for window, complete, counts in rows
        },
    )


def _decode_suspicions(fields: Sequence[Any]) -> Suspicions:
    node, crashes, answers, holds = fields
    return Suspicions(
        ids.NodeId(str(node)),
        tuple(
            CrashNews(
                int(lifetime),
                int(service),
                _unpack_age(age_s),
                tuple(map(int, begun)),
                tuple(map(int, unanswered)),
            )
            for lifetime, service, age_s, begun, unanswered in crashes
        ),
        {int(part): _unpack_age(age_s) for part, age_s in answers},
        tuple(
            HoldNews(
                tuple(map(int, parts)),
                _unpack_age(first_age_s),
                _unpack_age(held_age_s),
                int(count),
                int(trials),
            )
            for parts, first_age_s, held_age_s, count, trials in holds
        ),
    )


def _unpack_age(value: Any) -> float:
    age_s = float(value)
    if not 0.0 <= age_s < float('inf'):
        raise ValueError(f'{value!r} is no age')
    return age_s


_DECODER_BY_FORMAT: dict[int, Callable[[Sequence[Any]], Message]] = {
    REPORT_FORMAT: _decode_report,
    LOAD_FORMAT: _decode_load,
    MEMBERS_FORMAT: _decode_members,
    CONFIRMATION_FORMAT: _decode_confirmation,
    USAGE_FORMAT: _decode_usage,
    SUSPICIONS_FORMAT: _decode_suspicions,
    SUMS_FORMAT: shared_sums.unpack,
}


def _pack_units(units: Units) -> dict[str, tuple[int, int]]:
    return {
        name: (int(spent), int(level))
        for name, (spent, level) in units.items()
    }


def _unpack_units(fields: Any) -> dict[str, tuple[float, float]]:
    return {
        str(name): (spent, level) for name, (spent, level) in fields.items()
    }


def _pack_load(load: Load) -> list[int]:
    """Flatten the load to key, requests and backlog of each server."""
    packed: list[int] = []
    for server, (running, backlog) in load.items():
        packed += (server, running, -(-backlog // BACKLOG_UNIT_TOKENS))
    return packed


def _unpack_load(fields: Any) -> dict[int, tuple[int, int]]:
    return {
        server: (running, backlog * BACKLOG_UNIT_TOKENS)
        for server, running, backlog in zip(
            fields[::3], fields[1::3], fields[2::3], strict=True
        )
    }


def _unpack_counts(fields: Any) -> dict[str, int]:
    return {str(name): int(count) for name, count in fields.items()}
