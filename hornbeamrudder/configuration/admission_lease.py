"""The admission lease: the right of a node to admit under its version.

The lease runs from the send time of the request for its last confirmation.
A confirmation states that no version above the installed one had been
acknowledged by a majority at that time. Only voters confirm: processes that
the installed version lists with their incarnation. A restarted process has
lost what its predecessor acknowledged, so its answers count only once a
version lists the new incarnation. The functions have no side effects.
"""

import dataclasses
import math
from typing import Collection, Mapping

from ..core import ids
from . import versions

LEASE_DURATION_S = 3.0
# Covers clock rates that differ by up to 14 % over the lease duration.
CLOCK_DRIFT_MARGIN_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """Latest status reported by the newest known process of a node.

    Attributes
    ----------
    version : int
        Highest version reported.
    received_at : float
        Arrival time of the latest message.
    echoed_at : float
        Send time of the latest message of this node that it has answered.
    """

    incarnation: ids.Incarnation
    version: ids.Version
    released: bool
    received_at: float
    echoed_at: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class QuorumState:
    """Input to the admission lease and to the acceptance of a version.

    Attributes
    ----------
    table_confirmed_at : float
        Send time of the last read that returned no version above the
        installed one.
    released_versions : mapping of voter to version
        Processes that have permanently stopped admitting, with their last
        version.
    ended : frozenset of voter
        Processes reported as terminated by the platform or an operator.
    stopping : bool
        The process no longer admits, but still votes, so that its own
        removal can be accepted.
    released : bool
        The process neither admits nor votes, and installs no further
        version.
    """

    node: ids.NodeId
    incarnation: ids.Incarnation
    row: versions.VersionRow | None = None
    table_confirmed_at: float = -math.inf
    peer_status_by_node: Mapping[ids.NodeId, PeerStatus] = dataclasses.field(
        default_factory=dict
    )
    released_versions: Mapping[versions.Voter, ids.Version] = (
        dataclasses.field(default_factory=dict)
    )
    ended: frozenset[versions.Voter] = frozenset()
    stopping: bool = False
    released: bool = False


def majority(voter_set: versions.VoterSet) -> int:
    """Return the smallest number of voters that is more than half."""
    return len(voter_set) // 2 + 1


def is_voter(
    voter_set: Collection[versions.Voter],
    node: ids.NodeId,
    incarnation: ids.Incarnation,
) -> bool:
    """Whether the voter set contains this process, not just its node."""
    return (node, incarnation) in voter_set


def merge_status(known: PeerStatus | None, status: PeerStatus) -> PeerStatus:
    """Merge the status in a message into the known status of a node.

    Messages may be delayed and reordered. The maxima are correct because a
    process never lowers its version.
    """
    if known is None or status.incarnation > known.incarnation:
        return status
    if status.incarnation < known.incarnation:
        return known
    return PeerStatus(
        known.incarnation,
        max(known.version, status.version),
        known.released or status.released,
        max(known.received_at, status.received_at),
        max(known.echoed_at, status.echoed_at),
    )


def confirmed_at(quorum: QuorumState, now: float) -> float:
    """Return the start of the admission lease, -inf if there is none."""
    return max(quorum.table_confirmed_at, _confirmed_by_peers_at(quorum, now))


def may_admit(quorum: QuorumState, now: float) -> bool:
    """Whether the node may admit a request at `now`.

    The caller must read `now` at the time of the check, so that a node that
    was paused past the end of its lease does not admit when it resumes.
    """
    row = quorum.row
    if row is None or quorum.stopping or quorum.released:
        return False
    # A version may be accepted without an answer from nodes that are not
    # among its members.
    if all(member.node != quorum.node for member in row.members):
        return False
    # Checked for each request: the cheap comparison comes first, as the cost
    # of evaluating the confirmations of peers grows with their number.
    if now - quorum.table_confirmed_at < LEASE_DURATION_S:
        return True
    return now - _confirmed_by_peers_at(quorum, now) < LEASE_DURATION_S


def _confirmed_by_peers_at(quorum: QuorumState, now: float) -> float:
    row = quorum.row
    if row is None:
        return -math.inf
    voter_set = versions.voters(row)
    # A set, because searching the tuple for each peer takes quadratic time.
    voters = frozenset(voter_set)
    own_vote = is_voter(voters, quorum.node, quorum.incarnation)
    echo_times = [
        status.echoed_at
        for node, status in quorum.peer_status_by_node.items()
        if is_voter(voters, node, status.incarnation)
        and (node, status.incarnation) not in quorum.released_versions
        and node != quorum.node
        and status.version <= row.version
    ]
    # A released process stays at the version that it has reported.
    released_votes = sum(
        voter in quorum.released_versions
        and quorum.released_versions[voter] <= row.version
        for voter in voter_set
        if voter[0] != quorum.node
    )
    confirmation_times = sorted(
        [now] * (own_vote + released_votes) + echo_times, reverse=True
    )
    majority_size = majority(voter_set)
    if len(confirmation_times) < majority_size:
        return -math.inf
    # Released processes alone confirm nothing to a process that is not a
    # voter: it may have been started after all of them had released.
    upper_limit = math.inf if own_vote else max(echo_times, default=-math.inf)
    return min(confirmation_times[majority_size - 1], upper_limit)
