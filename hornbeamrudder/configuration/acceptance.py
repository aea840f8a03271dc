"""Acceptance of a version by the members.

The functions have no side effects.
"""

import dataclasses

from . import admission_lease
from ..core import ids
from . import versions

# A peer heard from within this time counts as reachable for a planned write.
REACHABILITY_WINDOW_S = 2.0
LEASE_EXPIRY_WAIT_S = (
    admission_lease.LEASE_DURATION_S + admission_lease.CLOCK_DRIFT_MARGIN_S
)


@dataclasses.dataclass(frozen=True, slots=True)
class Tracker:
    """Progress of the acceptance of one version.

    Attributes
    ----------
    majority_at : float or None
        Time at which every required voter set had acknowledged.
    """

    row: versions.VersionRow
    majority_at: float | None = None


def has_acknowledged(
    quorum: admission_lease.QuorumState,
    voter: versions.Voter,
    version: ids.Version,
) -> bool:
    """Whether a voter has installed `version` or a later one."""
    node, incarnation = voter
    if voter == (quorum.node, quorum.incarnation):
        row = quorum.row
        return row is not None and row.version >= version
    if voter in quorum.released_versions:
        return quorum.released_versions[voter] >= version
    status = quorum.peer_status_by_node.get(node)
    return (
        status is not None
        and status.incarnation == incarnation
        and status.version >= version
    )


def has_ended(
    quorum: admission_lease.QuorumState,
    row: versions.VersionRow,
    voter: versions.Voter,
) -> bool:
    """Whether a process is known to have terminated.

    A later incarnation of the same node proves that it has.
    """
    node, incarnation = voter
    status = quorum.peer_status_by_node.get(node)
    return (
        voter in quorum.ended
        or (status is not None and status.incarnation > incarnation)
        or (node == quorum.node and quorum.incarnation > incarnation)
        or any(
            other == node and later > incarnation
            for voter_set in versions.required_voter_sets(row)
            for other, later in voter_set
        )
    )


def advance(
    tracker: Tracker, quorum: admission_lease.QuorumState, now: float
) -> Tracker:
    """Record the time at which every required voter set has acknowledged."""
    if tracker.majority_at is not None:
        return tracker
    all_acknowledged = all(
        _is_acknowledged(tracker.row, quorum, voter_set)
        for voter_set in versions.required_voter_sets(tracker.row)
    )
    if not all_acknowledged:
        return tracker
    return dataclasses.replace(tracker, majority_at=now)


def is_in_force(
    tracker: Tracker, quorum: admission_lease.QuorumState, now: float
) -> bool:
    """Whether no node below the version can admit a request any more.

    This holds once the admission leases confirmed before `majority_at` have
    expired, or once every voter, or a later process of its node, has answered
    a message sent after it. An answer to an earlier message does not
    suffice: the process may have acknowledged, restarted, and been confirmed
    at the previous version by voters that acknowledged later.
    """
    majority_at = tracker.majority_at
    if majority_at is None:
        return False
    return now - majority_at >= LEASE_EXPIRY_WAIT_S or all(
        _answered_since(tracker.row, quorum, voter, majority_at)
        for voter_set in versions.required_voter_sets(tracker.row)
        for voter in voter_set
    )


def missing_nodes(
    row: versions.VersionRow, quorum: admission_lease.QuorumState
) -> tuple[ids.NodeId, ...]:
    """Return the nodes that have not acknowledged this version."""
    return tuple(
        sorted(
            {
                voter[0]
                for voter_set in versions.required_voter_sets(row)
                for voter in voter_set
                if not has_acknowledged(quorum, voter, row.version)
            }
        )
    )


def can_be_accepted(
    quorum: admission_lease.QuorumState, row: versions.VersionRow, now: float
) -> bool:
    """Whether enough voters are reachable to acknowledge this version."""

    def is_reachable(voter: versions.Voter) -> bool:
        if voter == (quorum.node, quorum.incarnation):
            return not quorum.released
        status = quorum.peer_status_by_node.get(voter[0])
        return (
            voter not in quorum.released_versions
            and status is not None
            and status.incarnation == voter[1]
            and now - status.received_at < REACHABILITY_WINDOW_S
        )

    return all(
        sum(map(is_reachable, voter_set))
        >= admission_lease.majority(voter_set)
        or all(
            is_reachable(voter)
            or voter in quorum.released_versions
            or has_ended(quorum, row, voter)
            for voter in voter_set
        )
        for voter_set in versions.required_voter_sets(row)
    )


def _is_acknowledged(
    row: versions.VersionRow,
    quorum: admission_lease.QuorumState,
    voter_set: versions.VoterSet,
) -> bool:
    acknowledged = [
        voter
        for voter in voter_set
        if has_acknowledged(quorum, voter, row.version)
    ]
    return len(acknowledged) >= admission_lease.majority(voter_set) or all(
        voter in acknowledged
        or voter in quorum.released_versions
        or has_ended(quorum, row, voter)
        for voter in voter_set
    )


def _answered_since(
    row: versions.VersionRow,
    quorum: admission_lease.QuorumState,
    voter: versions.Voter,
    since: float,
) -> bool:
    node, incarnation = voter
    if node == quorum.node:
        own = (node, quorum.incarnation)
        return quorum.incarnation >= incarnation and has_acknowledged(
            quorum, own, row.version
        )
    status = quorum.peer_status_by_node.get(node)
    return (
        status is not None
        and status.incarnation >= incarnation
        and status.echoed_at >= since
        and (status.version >= row.version or status.released)
    )
