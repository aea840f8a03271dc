"""Proposals of changes, their results, and the plan of a write; pure."""

import dataclasses
import enum
from typing import Mapping, Union

from . import acceptance
from ..core import errors
from ..core import hashing
from ..core import ids
from . import currency
from . import state

# Time after which the operator is told what is still missing.
OUTCOME_DEADLINE_S = 10.0
MAX_LOST_RACES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A change to the document, to the members, or to both.

    Attributes
    ----------
    base : int or None
        Version that the operator edited; None for a change of members.
    base_document : bytes
        Document of `base`, empty where it is not known.
    add : tuple of Member
        Members to add; a member with the same node id is replaced.
    remove : tuple of voter
        Processes to remove.
    """

    attempt: ids.AttemptId
    author: ids.OperatorId
    wall: float
    base: ids.Version | None = None
    document: bytes | None = None
    base_document: bytes = b''
    add: tuple[state.Member, ...] = ()
    remove: tuple[state.Voter, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The version is in force everywhere.

    Attributes
    ----------
    in_force_s_by_node : mapping
        Seconds from the proposal to the acknowledgement of each node.
    """

    version: ids.Version
    elapsed_s: float
    in_force_s_by_node: Mapping[ids.NodeId, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Another change came first; nothing was written."""

    version: ids.Version
    changes: tuple[state.KeyConflict, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Nothing was written."""

    failure: errors.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """The outcome is not yet known.

    Attributes
    ----------
    committed : bool
        Whether the version is known to be written; then it comes into
        force, and `missing` names the nodes that have not acknowledged it.
    """

    version: ids.Version
    committed: bool
    missing: tuple[ids.NodeId, ...]
    detail: str


Result = Union[Accepted, Conflict, Refused, Pending]


class Phase(enum.Enum):
    """Progress of a publication."""

    READING = 'reading the version row'
    WRITING = 'writing'
    READING_BACK = 'reading back a write without response'
    DISTRIBUTING = 'waiting for acknowledgements'


@dataclasses.dataclass(frozen=True, slots=True)
class TableState:
    """The version row as read.

    Attributes
    ----------
    table_version : int
        Version for the compare-and-set; 0 for an absent row.
    document : bytes or None
        None where the row is absent or the document could not be read.
    """

    table_version: int
    row: state.VersionRow | None
    document: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A compare-and-set of the version row after its content."""

    expect_version: int
    content: state.Content
    writes_content: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """One proposal in progress.

    Attributes
    ----------
    may_be_written : bool
        A write got no response, so "nothing was written" must not be told
        before a read shows it.
    """

    proposal: Proposal
    started_at: float
    phase: Phase = Phase.READING
    write: Write | None = None
    lost_races: int = 0
    may_be_written: bool = False
    tracker: acceptance.Tracker | None = None
    acknowledged_at_by_node: Mapping[ids.NodeId, float] = dataclasses.field(
        default_factory=dict
    )


def plan(
    proposal: Proposal,
    table: TableState,
    knowledge: currency.Knowledge,
    settled: ids.Version,
    now: float,
) -> Write | Conflict | Refused:
    """Make the row that carries out a proposal on top of the current one."""
    current = table.row
    if current is not None and table.document is None:
        return _refused(errors.FailureKind.UNAVAILABLE, 'document not read')
    edits = proposal.document is not None
    base = proposal.base or ids.Version(0)
    if current is not None and edits:
        if current.content_version > base:
            return Conflict(
                current.version,
                state.describe_conflict(
                    current,
                    table.document or b'{}',
                    base,
                    proposal.base_document,
                ),
            )
    if base > (current.version if current else 0):
        return _refused(errors.FailureKind.INVALID, f'no version {base}')
    row = _next_row(proposal, table, settled)
    if current is not None and not edits and row.members == current.members:
        return _refused(errors.FailureKind.INVALID, 'nothing to change')
    if len(row.electorates) > state.MAX_ELECTORATES:
        return _refused(
            errors.FailureKind.OVERLOADED, 'too many member changes pending'
        )
    if not acceptance.can_be_accepted(knowledge, row, now):
        return _refused(
            errors.FailureKind.NOT_CONNECTED,
            'no majority reachable: '
            + ', '.join(acceptance.missing(row, knowledge)),
        )
    document = proposal.document if edits else table.document
    return Write(
        table.table_version,
        state.Content(row, document or b'{}'),
        edits or current is None,
    )


def was_written(write: Write, row: state.VersionRow) -> bool | None:
    """Whether a row read back shows the write; None where it cannot tell."""
    own = write.content.row
    if own.attempt in {change.attempt for change in row.recent}:
        return True
    if row.version - own.version >= state.RECENT_CHANGES:
        return None
    return False


def _next_row(
    proposal: Proposal, table: TableState, settled: ids.Version
) -> state.VersionRow:
    current = table.row
    version = ids.Version((current.version if current else 0) + 1)
    old_document = table.document or b'{}'
    document = old_document if proposal.document is None else proposal.document
    keys = state.row_keys(state.differing_keys(old_document, document))
    added = {member.node for member in proposal.add}
    kept = tuple(
        member
        for member in (current.members if current else ())
        if member.node not in added
        and (member.node, member.incarnation) not in proposal.remove
    )
    change = state.Change(
        version, proposal.author, keys, proposal.attempt, proposal.wall
    )
    unchanged = proposal.document is None and current is not None
    content_key = f'{state.CONTENT_PREFIX}{version}/{proposal.attempt}'
    in_objects = len(document) > state.MAX_ROW_CONTENT_BYTES
    return state.VersionRow(
        version=version,
        content_version=(
            current.content_version if current and unchanged else version
        ),
        content_key=(
            current.content_key if current and unchanged else content_key
        ),
        digest=hashing.digest(document),
        members=tuple(
            sorted((*kept, *proposal.add), key=lambda member: member.node)
        ),
        author=proposal.author,
        changed_keys=keys,
        attempt=proposal.attempt,
        wall=proposal.wall,
        recent=(
            *(current.recent if current else ()),
            change,
        )[-state.RECENT_CHANGES :],
        electorates=(
            state.next_electorates(current, settled) if current else ()
        ),
        in_objects=in_objects,
    )


def _refused(kind: errors.FailureKind, detail: str) -> Refused:
    return Refused(
        errors.Failure(kind, errors.Step.PUBLISH_CONFIGURATION, '', detail)
    )
