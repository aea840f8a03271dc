"""Decisions about one lease: events in, effects out."""

import dataclasses
from typing import Any, Union

from returns import result

from ..core import errors
from ..core import ids
from ..infrastructure import table

KEY_PREFIX = 'lease/'
TERM_S = 10.0
# Covers the drift between the monotonic clocks of two nodes over a term and
# the time from the check of the clock to the action.
DRIFT_MARGIN_S = 1.0
RENEW_SHARE_OF_TERM = 1 / 3
POLL_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """Value of a lease row.

    Attributes
    ----------
    holder : NodeId
        Empty where the last holder released the lease.
    fencing : FencingNumber
        Grows with every change of the holder.
    expiry_wall : float
        For operators; nodes decide by their monotonic clocks alone.
    write_id : AttemptId
        Names the write that made the row.
    """

    holder: ids.NodeId
    incarnation: ids.Incarnation
    fencing: ids.FencingNumber
    expiry_wall: float
    write_id: ids.AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write whose outcome is not known yet."""

    row: LeaseRow
    expect_version: int
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """One node's view of a lease; times are monotonic seconds.

    Attributes
    ----------
    seen_version : int or None
        Version of the row when last read, None before the first read.
    seen_at : float
        When this version was first seen here.
    term_s : float
        Length of a term, the same on all nodes.
    fencing : FencingNumber or None
        Fencing number of the term that this node holds or held last.
    valid_until : float
        End of the term, counted from before its write was sent.
    """

    key: str
    node: ids.NodeId
    incarnation: ids.Incarnation
    term_s: float = TERM_S
    seen_version: int | None = None
    seen_row: LeaseRow | None = None
    seen_at: float = 0.0
    fencing: ids.FencingNumber | None = None
    valid_until: float = 0.0
    renew_at: float = 0.0
    pending: PendingWrite | None = None
    busy: bool = False
    read_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; `write_id` is a fresh id for a write."""

    write_id: ids.AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class RowRead:
    """Answer to `Read`."""

    rows: result.Result[tuple[table.Row, ...], errors.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteAnswered:
    """Answer to `Write`."""

    results: result.Result[tuple[table.PutResult, ...], errors.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """The node stops acting and wants another node to take the duty."""

    write_id: ids.AttemptId


Event = Union[Tick, RowRead, WriteAnswered, Release]


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Read the lease row."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Write the lease row."""

    put: table.Put


Effect = Union[Read, Write]
Decision = tuple[Lease, Effect | None]


def row_key(duty: str, region: ids.RegionName) -> str:
    """Key of the lease row for a duty in a region."""
    return f'{KEY_PREFIX}{duty}/{region}'


def may_act(lease: Lease, now: float) -> ids.FencingNumber | None:
    """Fencing number while the node may act, else None."""
    if lease.fencing is not None and now < lease.valid_until - DRIFT_MARGIN_S:
        return lease.fencing
    return None


def may_acquire(lease: Lease, now: float) -> bool:
    """Whether no other node can still be acting on the row as last seen.

    The previous holder's term began before its write reached the table, so
    it ended one term after this node first saw that write, at the latest.
    """
    if lease.seen_version is None:
        return False
    if lease.seen_row is None or not lease.seen_row.holder:
        return True
    return now >= lease.seen_at + lease.term_s


def step(lease: Lease, event: Event, now: float, wall: float) -> Decision:
    """Advance the lease; at most one call is in flight at a time."""
    match event:
        case Tick(write_id):
            return _on_tick(lease, write_id, now, wall)
        case RowRead(result.Success((row,))):
            lease = dataclasses.replace(lease, busy=False)
            return _see(lease, row, now), None
        case RowRead():
            return dataclasses.replace(lease, busy=False), None
        case WriteAnswered(results):
            return _on_written(lease, results, now), None
        case Release(write_id):
            return _release(lease, write_id, now, wall)
    raise TypeError(event)


def _on_tick(
    lease: Lease, write_id: ids.AttemptId, now: float, wall: float
) -> Decision:
    if lease.busy:
        return lease, None
    holding = may_act(lease, now)
    if lease.pending is not None or (
        now >= lease.read_at and (holding is None or now >= lease.renew_at)
    ):
        # Read before each write: a renewal whose answer was lost, or another
        # holder, is then known.
        lease = dataclasses.replace(
            lease, busy=True, read_at=now + POLL_INTERVAL_S
        )
        return lease, Read(lease.key)
    if holding is not None:
        if now < lease.renew_at:
            return lease, None
        return _write(lease, lease.node, holding, write_id, now, wall)
    if not may_acquire(lease, now):
        return lease, None
    return _write(lease, lease.node, next_fencing(lease), write_id, now, wall)


def next_fencing(lease: Lease) -> ids.FencingNumber:
    """Fencing number for a new term on the row as last seen."""
    row = lease.seen_row
    return ids.FencingNumber(1 if row is None else row.fencing + 1)


def _write(
    lease: Lease,
    holder: ids.NodeId,
    fencing: ids.FencingNumber,
    write_id: ids.AttemptId,
    now: float,
    wall: float,
) -> Decision:
    row = LeaseRow(
        holder, lease.incarnation, fencing, wall + lease.term_s, write_id
    )
    version = lease.seen_version or 0
    lease = dataclasses.replace(
        lease, busy=True, pending=PendingWrite(row, version, now)
    )
    return lease, Write(table.Put(lease.key, version, to_value(row)))


def _on_written(
    lease: Lease,
    results: result.Result[tuple[table.PutResult, ...], errors.Failure],
    now: float,
) -> Lease:
    lease = dataclasses.replace(lease, busy=False)
    match results:
        case result.Success((put_result,)):
            return _see(lease, put_result.row, now)
    # `pending` stays set, so that the next tick reads the row back.
    return lease


def _see(lease: Lease, row: table.Row, now: float) -> Lease:
    """Take in the row as read, and the outcome of a pending write."""
    found = from_value(row.value)
    pending = lease.pending
    if row.version != lease.seen_version:
        lease = dataclasses.replace(
            lease, seen_version=row.version, seen_row=found, seen_at=now
        )
    lease = dataclasses.replace(lease, pending=None)
    if pending is not None and found == pending.row:
        if not pending.row.holder:
            return dataclasses.replace(lease, fencing=None)
        return dataclasses.replace(
            lease,
            fencing=pending.row.fencing,
            valid_until=pending.sent_at + lease.term_s,
            renew_at=pending.sent_at + lease.term_s * RENEW_SHARE_OF_TERM,
        )
    own = (
        found is not None
        and found.holder == lease.node
        and found.incarnation == lease.incarnation
        and found.fencing == lease.fencing
    )
    if own or lease.fencing is None:
        # A delayed renewal of this term: the earlier end stays in force.
        return lease
    return dataclasses.replace(lease, fencing=None)


def _release(
    lease: Lease, write_id: ids.AttemptId, now: float, wall: float
) -> Decision:
    fencing = may_act(lease, now)
    lease = dataclasses.replace(lease, fencing=None)
    if fencing is None or lease.busy or lease.pending is not None:
        # The term runs out by itself.
        return lease, None
    return _write(lease, ids.NodeId(''), fencing, write_id, now, wall)


def to_value(row: LeaseRow) -> dict[str, Any]:
    """Convert to the JSON value of the row."""
    return dataclasses.asdict(row)


def from_value(value: Any) -> LeaseRow | None:
    """Convert from the JSON value; None for an absent row.

    An unreadable value counts as a row of an unknown holder with the
    highest fencing number that can be read from it.
    """
    if value is None:
        return None
    if not isinstance(value, dict):
        value = {}
    fencing = value.get('fencing')
    try:
        return LeaseRow(
            ids.NodeId(str(value['holder'])),
            ids.Incarnation(int(value['incarnation'])),
            ids.FencingNumber(int(value['fencing'])),
            float(value['expiry_wall']),
            ids.AttemptId(str(value['write_id'])),
        )
    except (KeyError, TypeError, ValueError):
        number = fencing if isinstance(fencing, int) else 0
        return LeaseRow(
            ids.NodeId('unreadable'),
            ids.Incarnation(0),
            ids.FencingNumber(number),
            0.0,
            ids.AttemptId(''),
        )
