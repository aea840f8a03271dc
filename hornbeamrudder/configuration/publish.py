"""Proposals, their results, and the plan of the write of a version.

The functions have no side effects.
"""

import dataclasses
import enum
from typing import Mapping, Union

from . import acceptance
from . import admission_lease
from ..core import errors
from ..core import hashing
from ..core import ids
from . import versions

# A proposal whose outcome is open after this time is completed as pending, or
# as refused if nothing can have been written.
OUTCOME_DEADLINE_S = 10.0
MAX_VERSION_MISMATCHES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A change to the document, to the members, or to both.

    Attributes
    ----------
    base : int or None
        Version that the operator edited; None for a member change.
    base_document : bytes
        Document of `base`; empty if it is not known.
    add : tuple of Member
        Members to add; they replace members with the same node id.
    remove : tuple of voter
        Processes to remove.
    """

    attempt: ids.AttemptId
    author: ids.OperatorId
    wall: float
    base: ids.Version | None = None
    document: bytes | None = None
    base_document: bytes = b''
    add: tuple[versions.Member, ...] = ()
    remove: tuple[versions.Voter, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change was written and its version is in force everywhere.

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
    """The document was changed since the base version; nothing was written."""

    version: ids.Version
    changes: tuple[versions.KeyConflict, ...]


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
        Whether the version row is known to be written. If so, the version
        will come into force, and `missing` lists the nodes that have not
        acknowledged it.
    """

    version: ids.Version
    committed: bool
    missing: tuple[ids.NodeId, ...]
    detail: str


Result = Union[Accepted, Conflict, Refused, Pending]


class Phase(enum.Enum):
    """Phase of a publication; the values appear in results."""

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
        Version of the table row for a compare-and-set; 0 if it is absent.
    document : bytes or None
        None if the row is absent or the document could not be read.
    """

    table_version: int
    row: versions.VersionRow | None
    document: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A compare-and-set of the version row, preceded by its document."""

    expect_version: int
    content: versions.VersionedDocument
    writes_content: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """State of a proposal in progress.

    Attributes
    ----------
    write_in_doubt : bool
        A write got no response. The proposal must not be refused, which
        states that nothing was written, before a read has shown this.
    """

    proposal: Proposal
    started_at: float
    phase: Phase = Phase.READING
    write: Write | None = None
    version_mismatches: int = 0
    write_in_doubt: bool = False
    tracker: acceptance.Tracker | None = None
    acknowledged_at_by_node: Mapping[ids.NodeId, float] = dataclasses.field(
        default_factory=dict
    )


def plan(
    proposal: Proposal,
    table: TableState,
    quorum: admission_lease.QuorumState,
    settled: ids.Version,
    now: float,
) -> Write | Conflict | Refused:
    """Plan the write that applies a proposal to the current version."""
    current = table.row
    if current is not None and table.document is None:
        return _refusal(errors.FailureKind.UNAVAILABLE, 'document not read')
    changes_document = proposal.document is not None
    base = proposal.base or ids.Version(0)
    if current is not None and changes_document:
        if current.content_version > base:
            return Conflict(
                current.version,
                versions.key_conflicts(
                    current,
                    table.document or b'{}',
                    base,
                    proposal.base_document,
                ),
            )
    if base > (current.version if current else 0):
        return _refusal(errors.FailureKind.INVALID, f'no version {base}')
    row = _next_row(proposal, table, settled)
    if (
        current is not None
        and not changes_document
        and row.members == current.members
    ):
        return _refusal(errors.FailureKind.INVALID, 'nothing to change')
    if len(row.electorates) > versions.MAX_VOTER_SETS:
        return _refusal(
            errors.FailureKind.OVERLOADED, 'too many member changes pending'
        )
    if not acceptance.can_be_accepted(quorum, row, now):
        return _refusal(
            errors.FailureKind.NOT_CONNECTED,
            'no majority reachable: '
            + ', '.join(acceptance.missing_nodes(row, quorum)),
        )
    document = proposal.document if changes_document else table.document
    return Write(
        table.table_version,
        versions.VersionedDocument(row, document or b'{}'),
        changes_document or current is None,
    )


def was_written(write: Write, row: versions.VersionRow) -> bool | None:
    """Whether the row read back contains the write; None if undecidable."""
    own = write.content.row
    if own.attempt in {change.attempt for change in row.recent}:
        return True
    if row.version - own.version >= versions.MAX_RECENT_CHANGES:
        return None
    return False


def _next_row(
    proposal: Proposal, table: TableState, settled: ids.Version
) -> versions.VersionRow:
    current = table.row
    version = ids.Version((current.version if current else 0) + 1)
    old_document = table.document or b'{}'
    document = old_document if proposal.document is None else proposal.document
    keys = versions.summarize_keys(
        versions.differing_keys(old_document, document)
    )
    added = {member.node for member in proposal.add}
    kept = tuple(
        member
        for member in (current.members if current else ())
        if member.node not in added
        and (member.node, member.incarnation) not in proposal.remove
    )
    change = versions.Change(
        version, proposal.author, keys, proposal.attempt, proposal.wall
    )
    unchanged = proposal.document is None and current is not None
    content_key = f'{versions.CONTENT_PREFIX}{version}/{proposal.attempt}'
    in_objects = len(document) > versions.MAX_ROW_CONTENT_BYTES
    return versions.VersionRow(
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
        )[-versions.MAX_RECENT_CHANGES :],
        electorates=(
            versions.inherited_voter_sets(current, settled) if current else ()
        ),
        in_objects=in_objects,
    )


def _refusal(kind: errors.FailureKind, detail: str) -> Refused:
    return Refused(
        errors.Failure(kind, errors.Step.PUBLISH_CONFIGURATION, '', detail)
    )
