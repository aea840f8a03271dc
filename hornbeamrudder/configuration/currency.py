"""The right of a node to admit requests under its version; pure.

A confirmation says that no version above the installed one had been
acknowledged by a majority when the node sent its request. Only voters
confirm: processes that the installed version names with their incarnation.
A restarted process has lost what its predecessor acknowledged, so its
answers count again only once a version names the new incarnation.
"""

import dataclasses
import math
from typing import Collection, Mapping

from ..core import ids
from . import state

RIGHT_S = 3.0
# Covers the difference of two clocks over RIGHT_S, 14 in 100.
DRIFT_MARGIN_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """What the newest known process of a node has said.

    Attributes
    ----------
    version : int
        Highest version that it has reported.
    received_at : float
        When its latest message arrived.
    echoed_at : float
        Send time of the latest own message that it has answered.
    """

    incarnation: ids.Incarnation
    version: ids.Version
    released: bool
    received_at: float
    echoed_at: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Knowledge:
    """All that decides the right to admit and the acceptance of a version.

    Attributes
    ----------
    table_confirmed_at : float
        Send time of the last read of a version row that was not above the
        installed version.
    released_versions : mapping of voter to version
        Processes that have stopped admitting, with their last version.
    ended : frozenset of voter
        Processes that the platform or an operator reports as ended.
    stopping : bool
        The process no longer admits, but still votes, so that its own
        removal can be accepted.
    released : bool
        The process neither admits nor votes, and stays at its version.
    """

    node: ids.NodeId
    incarnation: ids.Incarnation
    row: state.VersionRow | None = None
    table_confirmed_at: float = -math.inf
    heard_by_node: Mapping[ids.NodeId, Heard] = dataclasses.field(
        default_factory=dict
    )
    released_versions: Mapping[state.Voter, ids.Version] = dataclasses.field(
        default_factory=dict
    )
    ended: frozenset[state.Voter] = frozenset()
    stopping: bool = False
    released: bool = False


def majority(electorate: state.Electorate) -> int:
    """Smallest number of voters that is more than half."""
    return len(electorate) // 2 + 1


def is_voter(
    electorate: Collection[state.Voter],
    node: ids.NodeId,
    incarnation: ids.Incarnation,
) -> bool:
    """Whether this process, not only its node, is in the electorate."""
    return (node, incarnation) in electorate


def merge_heard(known: Heard | None, heard: Heard) -> Heard:
    """Add a message to what is known of a node.

    Messages may arrive late and out of order; a process never lowers its
    version, so the maxima hold.
    """
    if known is None or heard.incarnation > known.incarnation:
        return heard
    if heard.incarnation < known.incarnation:
        return known
    return Heard(
        known.incarnation,
        max(known.version, heard.version),
        known.released or heard.released,
        max(known.received_at, heard.received_at),
        max(known.echoed_at, heard.echoed_at),
    )


def confirmed_at(knowledge: Knowledge, now: float) -> float:
    """Time from which the right to admit counts, -inf for none."""
    return max(
        knowledge.table_confirmed_at, _confirmed_by_peers_at(knowledge, now)
    )


def may_admit(knowledge: Knowledge, now: float) -> bool:
    """Whether the node may admit a request at `now`.

    `now` has to be read at the moment of the check, so that a node which
    was paused past its right does not admit on waking.
    """
    row = knowledge.row
    if row is None or knowledge.stopping or knowledge.released:
        return False
    # A version may be accepted without the answer of a node that its member
    # set does not name.
    if all(member.node != knowledge.node for member in row.members):
        return False
    # Each request asks; the peers' answers take time in proportion to them.
    if now - knowledge.table_confirmed_at < RIGHT_S:
        return True
    return now - _confirmed_by_peers_at(knowledge, now) < RIGHT_S


def _confirmed_by_peers_at(knowledge: Knowledge, now: float) -> float:
    row = knowledge.row
    if row is None:
        return -math.inf
    electorate = state.voters(row)
    # A search of the tuple for each peer takes time with their square.
    voters = frozenset(electorate)
    own_vote = is_voter(voters, knowledge.node, knowledge.incarnation)
    live = [
        heard.echoed_at
        for node, heard in knowledge.heard_by_node.items()
        if is_voter(voters, node, heard.incarnation)
        and (node, heard.incarnation) not in knowledge.released_versions
        and node != knowledge.node
        and heard.version <= row.version
    ]
    # A released process stays at its version, which it has told.
    standing = sum(
        voter in knowledge.released_versions
        and knowledge.released_versions[voter] <= row.version
        for voter in electorate
        if voter[0] != knowledge.node
    )
    times = sorted([now] * (own_vote + standing) + live, reverse=True)
    needed = majority(electorate)
    if len(times) < needed:
        return -math.inf
    # Released processes alone prove nothing to a process that is no voter:
    # it may have been started after all of them had released.
    bound = math.inf if own_vote else max(live, default=-math.inf)
    return min(times[needed - 1], bound)
