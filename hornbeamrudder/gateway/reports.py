"""Messages between nodes and their msgpack encoding.

All figures that are counted are totals since a start, so a lost datagram only
delays what it says.
"""

import dataclasses
from typing import Any, Callable, Mapping, Sequence

import msgpack

from ..core import hashing
from ..core import ids

# First field of each datagram, by kind.
REPORT_FORMAT = 3
LOAD_FORMAT = 4
MEMBERS_FORMAT = 5
# Backlogs are sent in units of this many tokens.
BACKLOG_UNIT_TOKENS = 64

Units = Mapping[str, tuple[float, float]]
Load = Mapping[int, tuple[int, int]]


def server_key(server: ids.WorkerId) -> int:
    """Short name of a backend server in messages, 32 bits."""
    return hashing.stable_hash(server) & 0xFFFFFFFF


def node_key(node: ids.NodeId) -> int:
    """Short name of a node in messages, 32 bits."""
    return hashing.stable_hash(node) & 0xFFFFFFFF


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What one node tells others of itself.

    Attributes
    ----------
    started : int
        Start of the node's process, milliseconds since 1970.
    wall : float
        Time of day at the node, in seconds since 1970.
    sent_at : float
        Time on the node's own clock; comes back in a digest.
    units_by_account : mapping
        Units admitted since the start and units left, by account.
    load_by_server : mapping
        Requests in progress and unread prompt tokens, by `server_key`.
    waiting_by_service : mapping
        Waiting requests, by service.
    duty_number : int
        Fencing number of the duties that the node holds; 0 for none.
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
    """What a hub has added up of all nodes but the one that gets it.

    Attributes
    ----------
    hub, started
        The hub and the start of its process.
    units_by_account : mapping
        Units admitted by the others since the hub's start, and units left.
    """

    hub: ids.NodeId
    started: int
    units_by_account: Units
    load_by_server: Load
    waiting_by_service: Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class TableState:
    """How far a hub knows one table of the store.

    Attributes
    ----------
    content_version : int
        Version of the newest row of the table.
    age_s, recovered_s : float
        Seconds since the store has confirmed the table, and since the end
        of the last outage.
    """

    table: str
    content_version: int
    age_s: float
    recovered_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class MembersDigest:
    """Which nodes a hub hears, and what it knows of the store.

    Attributes
    ----------
    asked_at : float
        `sent_at` of the newest report of the node that gets this.
    true_time : float
        Median of the nodes' times of day.
    members : sequence of int
        `node_key` of each node whose reports are in the hub's sums.
    """

    hub: ids.NodeId
    asked_at: float
    true_time: float
    members: Sequence[int]
    duty_number: int
    tables: tuple[TableState, ...] = ()


Message = Report | LoadDigest | MembersDigest


def encode(message: Message) -> bytes:
    """Encode a message for one datagram."""
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
                message.true_time,
                list(message.members),
                message.duty_number,
                [dataclasses.astuple(table) for table in message.tables],
            ]
    packed: bytes = msgpack.packb(fields)
    return packed


def decode(fields: Any) -> Message | None:
    """Decode the fields of a datagram; None where it is no such message."""
    try:
        return _DECODER_BY_FORMAT[fields[0]](fields[1:])
    except (ValueError, TypeError, IndexError, AttributeError, KeyError):
        # Another program's datagram, or one cut short; the caller counts it.
        return None


def _decode_report(fields: Sequence[Any]) -> Report:
    node, started, wall, sent_at, units, load, waiting, number = fields
    return Report(
        ids.NodeId(str(node)),
        int(started),
        float(wall),
        float(sent_at),
        _units(units),
        _load(load),
        _counts(waiting),
        int(number),
    )


def _decode_load(fields: Sequence[Any]) -> LoadDigest:
    hub, started, units, load, waiting = fields
    return LoadDigest(
        ids.NodeId(str(hub)),
        int(started),
        _units(units),
        _load(load),
        _counts(waiting),
    )


def _decode_members(fields: Sequence[Any]) -> MembersDigest:
    hub, asked_at, true_time, members, number, tables = fields
    return MembersDigest(
        ids.NodeId(str(hub)),
        float(asked_at),
        float(true_time),
        tuple(map(int, members)),
        int(number),
        tuple(TableState(*table) for table in tables),
    )


_DECODER_BY_FORMAT: dict[int, Callable[[Sequence[Any]], Message]] = {
    REPORT_FORMAT: _decode_report,
    LOAD_FORMAT: _decode_load,
    MEMBERS_FORMAT: _decode_members,
}


def _pack_units(units: Units) -> dict[str, tuple[int, int]]:
    return {
        name: (int(spent), int(level))
        for name, (spent, level) in units.items()
    }


def _units(fields: Any) -> dict[str, tuple[float, float]]:
    return {
        str(name): (spent, level) for name, (spent, level) in fields.items()
    }


def _pack_load(load: Load) -> list[int]:
    """Flatten the load of each server to its key, requests and backlog."""
    packed: list[int] = []
    for server, (running, backlog) in load.items():
        packed += (server, running, -(-backlog // BACKLOG_UNIT_TOKENS))
    return packed


def _load(fields: Any) -> dict[int, tuple[int, int]]:
    return {
        server: (running, backlog * BACKLOG_UNIT_TOKENS)
        for server, running, backlog in zip(
            fields[::3], fields[1::3], fields[2::3], strict=True
        )
    }


def _counts(fields: Any) -> dict[str, int]:
    return {str(name): int(count) for name, count in fields.items()}
