"""State machine of a lease: maps events to effects, without I/O."""

import dataclasses
from typing import Any, Union

from returns import result

from ..core import errors
from ..core import ids
from ..infrastructure import table

KEY_PREFIX = 'lease/'
TERM_S = 10.0
# Covers the drift between the monotonic clocks of two nodes over a term, and
# the time between the check of the clock and the action.
CLOCK_DRIFT_MARGIN_S = 1.0
RENEW_FRACTION_OF_TERM = 1 / 3
POLL_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """Value of a lease row.

    Attributes
    ----------
    holder : NodeId
        Empty after the last holder has released the lease.
    fencing : FencingNumber
        Increases with every new term of a holder.
    expiry_wall : float
        Unix time for operators; nodes decide by their monotonic clocks.
    write_id : AttemptId
        Identifies the write of this row.
    """

    holder: ids.NodeId
    incarnation: ids.Incarnation
    fencing: ids.FencingNumber
    expiry_wall: float
    write_id: ids.AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write whose outcome is not yet known."""

    row: LeaseRow
    expect_version: int
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """State of a lease on one node; times are monotonic, in seconds.

    Attributes
    ----------
    observed_version : int or None
        Version of the row at the last read, None before the first.
    observed_at : float
        Time at which this node first observed that version.
    term_s : float
        Duration of a term, the same on all nodes.
    fencing : FencingNumber or None
        Fencing number of this node's current or last term.
    valid_until : float
        End of the term, measured from the send time of its write.
    busy : bool
        A call to the table service is in flight.
    """

    key: str
    node: ids.NodeId
    incarnation: ids.Incarnation
    term_s: float = TERM_S
    observed_version: int | None = None
    observed_row: LeaseRow | None = None
    observed_at: float = 0.0
    fencing: ids.FencingNumber | None = None
    valid_until: float = 0.0
    renew_at: float = 0.0
    pending: PendingWrite | None = None
    busy: bool = False
    next_read_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Periodic timer event; `write_id` is an unused id for a write."""

    write_id: ids.AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class RowRead:
    """Result of `Read`."""

    rows: result.Result[tuple[table.Row, ...], errors.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteCompleted:
    """Result of `Write`."""

    results: result.Result[tuple[table.PutResult, ...], errors.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """The node releases the lease, so that another node can acquire it."""

    write_id: ids.AttemptId


Event = Union[Tick, RowRead, WriteCompleted, Release]


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Read the lease row."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Write the lease row."""

    put: table.Put


Effect = Union[Read, Write]
Transition = tuple[Lease, Effect | None]


def row_key(duty: str, region: ids.RegionName) -> str:
    """Return the key of the lease row for a duty in a region."""
    return f'{KEY_PREFIX}{duty}/{region}'


def valid_fencing_number(lease: Lease, now: float) -> ids.FencingNumber | None:
    """Return the fencing number if the lease is valid, else None."""
    if (
        lease.fencing is not None
        and now < lease.valid_until - CLOCK_DRIFT_MARGIN_S
    ):
        return lease.fencing
    return None


def may_acquire(lease: Lease, now: float) -> bool:
    """Whether the term of the last observed holder must have ended.

    The term of a holder starts before its write reaches the table, so it
    ends at the latest one term after this node first observed the write.
    """
    if lease.observed_version is None:
        return False
    if lease.observed_row is None or not lease.observed_row.holder:
        return True
    return now >= lease.observed_at + lease.term_s


def step(lease: Lease, event: Event, now: float, wall: float) -> Transition:
    """Handle an event; at most one call is in flight at a time."""
    match event:
        case Tick(write_id):
            return _on_tick(lease, write_id, now, wall)
        case RowRead(result.Success((row,))):
            lease = dataclasses.replace(lease, busy=False)
            return _observe_row(lease, row, now), None
        case RowRead():
            return dataclasses.replace(lease, busy=False), None
        case WriteCompleted(results):
            return _on_write_completed(lease, results, now), None
        case Release(write_id):
            return _release(lease, write_id, now, wall)
    raise TypeError(event)


def _on_tick(
    lease: Lease, write_id: ids.AttemptId, now: float, wall: float
) -> Transition:
    if lease.busy:
        return lease, None
    holding = valid_fencing_number(lease, now)
    if lease.pending is not None or (
        now >= lease.next_read_at
        and (holding is None or now >= lease.renew_at)
    ):
        # Read before each write, to detect another holder, or a renewal
        # whose response was lost.
        lease = dataclasses.replace(
            lease, busy=True, next_read_at=now + POLL_INTERVAL_S
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
    """Return the fencing number for a term after that of the row."""
    row = lease.observed_row
    return ids.FencingNumber(1 if row is None else row.fencing + 1)


def _write(
    lease: Lease,
    holder: ids.NodeId,
    fencing: ids.FencingNumber,
    write_id: ids.AttemptId,
    now: float,
    wall: float,
) -> Transition:
    row = LeaseRow(
        holder, lease.incarnation, fencing, wall + lease.term_s, write_id
    )
    version = lease.observed_version or 0
    lease = dataclasses.replace(
        lease, busy=True, pending=PendingWrite(row, version, now)
    )
    return lease, Write(table.Put(lease.key, version, to_value(row)))


def _on_write_completed(
    lease: Lease,
    results: result.Result[tuple[table.PutResult, ...], errors.Failure],
    now: float,
) -> Lease:
    lease = dataclasses.replace(lease, busy=False)
    match results:
        case result.Success((put_result,)):
            return _observe_row(lease, put_result.row, now)
    # `pending` remains set, so that the next tick reads the row back.
    return lease


def _observe_row(lease: Lease, row: table.Row, now: float) -> Lease:
    """Update the lease from a row and resolve a pending write."""
    found = from_value(row.value)
    pending = lease.pending
    if row.version != lease.observed_version:
        lease = dataclasses.replace(
            lease,
            observed_version=row.version,
            observed_row=found,
            observed_at=now,
        )
    lease = dataclasses.replace(lease, pending=None)
    if pending is not None and found == pending.row:
        if not pending.row.holder:
            return dataclasses.replace(lease, fencing=None)
        return dataclasses.replace(
            lease,
            fencing=pending.row.fencing,
            valid_until=pending.sent_at + lease.term_s,
            renew_at=pending.sent_at + lease.term_s * RENEW_FRACTION_OF_TERM,
        )
    is_own_term = (
        found is not None
        and found.holder == lease.node
        and found.incarnation == lease.incarnation
        and found.fencing == lease.fencing
    )
    if is_own_term or lease.fencing is None:
        # Another write of the same term, such as a delayed renewal: the end
        # known so far still applies.
        return lease
    return dataclasses.replace(lease, fencing=None)


def _release(
    lease: Lease, write_id: ids.AttemptId, now: float, wall: float
) -> Transition:
    fencing = valid_fencing_number(lease, now)
    lease = dataclasses.replace(lease, fencing=None)
    if fencing is None or lease.busy or lease.pending is not None:
        # The term is left to expire.
        return lease, None
    return _write(lease, ids.NodeId(''), fencing, write_id, now, wall)


def to_value(row: LeaseRow) -> dict[str, Any]:
    """Return the row as a JSON value."""
    return dataclasses.asdict(row)


def from_value(value: Any) -> LeaseRow | None:
    """Parse the JSON value of a row; None if the row is absent.

    An invalid value is treated as the row of an unknown holder, with the
    fencing number of the value if that is an integer, else 0.
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
