"""Acceptance of a version by the members; pure."""

import dataclasses

from ..core import ids
from . import currency
from . import state

# A peer heard within this time counts as reachable before a write.
REACH_S = 2.0
LAPSE_S = currency.RIGHT_S + currency.DRIFT_MARGIN_S


@dataclasses.dataclass(frozen=True, slots=True)
class Tracker:
    """Acceptance of one version.

    Attributes
    ----------
    majority_at : float or None
        When the needed acknowledgements were complete.
    """

    row: state.VersionRow
    majority_at: float | None = None


def has_acknowledged(
    knowledge: currency.Knowledge, voter: state.Voter, version: ids.Version
) -> bool:
    """Whether a voter has put `version` or a later one in force."""
    node, incarnation = voter
    if voter == (knowledge.node, knowledge.incarnation):
        row = knowledge.row
        return row is not None and row.version >= version
    if voter in knowledge.released_versions:
        return knowledge.released_versions[voter] >= version
    heard = knowledge.heard_by_node.get(node)
    return (
        heard is not None
        and heard.incarnation == incarnation
        and heard.version >= version
    )


def has_ended(
    knowledge: currency.Knowledge, row: state.VersionRow, voter: state.Voter
) -> bool:
    """Whether a process is known to have ended.

    A later incarnation of the same node proves it.
    """
    node, incarnation = voter
    heard = knowledge.heard_by_node.get(node)
    return (
        voter in knowledge.ended
        or (heard is not None and heard.incarnation > incarnation)
        or (node == knowledge.node and knowledge.incarnation > incarnation)
        or any(
            other == node and later > incarnation
            for electorate in state.all_electorates(row)
            for other, later in electorate
        )
    )


def advance(
    tracker: Tracker, knowledge: currency.Knowledge, now: float
) -> Tracker:
    """Note the time at which every electorate has acknowledged."""
    if tracker.majority_at is not None:
        return tracker
    done = all(
        _electorate_done(tracker.row, knowledge, electorate)
        for electorate in state.all_electorates(tracker.row)
    )
    return dataclasses.replace(tracker, majority_at=now) if done else tracker


def is_in_force(
    tracker: Tracker, knowledge: currency.Knowledge, now: float
) -> bool:
    """Whether no node below the version can admit a request any more.

    Either the rights confirmed before the acknowledgements have expired, or
    every member has answered a message sent after them. An answer from
    before does not suffice: the process may have acknowledged, restarted,
    and been confirmed at the previous version by voters that acknowledged
    later.
    """
    majority_at = tracker.majority_at
    if majority_at is None:
        return False
    return now - majority_at >= LAPSE_S or all(
        _answered_since(tracker.row, knowledge, voter, majority_at)
        for electorate in state.all_electorates(tracker.row)
        for voter in electorate
    )


def missing(
    row: state.VersionRow, knowledge: currency.Knowledge
) -> tuple[ids.NodeId, ...]:
    """Nodes without an acknowledgement of this version."""
    return tuple(
        sorted(
            {
                voter[0]
                for electorate in state.all_electorates(row)
                for voter in electorate
                if not has_acknowledged(knowledge, voter, row.version)
            }
        )
    )


def can_be_accepted(
    knowledge: currency.Knowledge, row: state.VersionRow, now: float
) -> bool:
    """Whether enough voters are reachable to acknowledge this version."""

    def is_reachable(voter: state.Voter) -> bool:
        if voter == (knowledge.node, knowledge.incarnation):
            return not knowledge.released
        heard = knowledge.heard_by_node.get(voter[0])
        return (
            voter not in knowledge.released_versions
            and heard is not None
            and heard.incarnation == voter[1]
            and now - heard.received_at < REACH_S
        )

    return all(
        sum(map(is_reachable, electorate)) >= currency.majority(electorate)
        or all(
            is_reachable(voter)
            or voter in knowledge.released_versions
            or has_ended(knowledge, row, voter)
            for voter in electorate
        )
        for electorate in state.all_electorates(row)
    )


def _electorate_done(
    row: state.VersionRow,
    knowledge: currency.Knowledge,
    electorate: state.Electorate,
) -> bool:
    acknowledged = [
        voter
        for voter in electorate
        if has_acknowledged(knowledge, voter, row.version)
    ]
    return len(acknowledged) >= currency.majority(electorate) or all(
        voter in acknowledged
        or voter in knowledge.released_versions
        or has_ended(knowledge, row, voter)
        for voter in electorate
    )


def _answered_since(
    row: state.VersionRow,
    knowledge: currency.Knowledge,
    voter: state.Voter,
    since: float,
) -> bool:
    node, incarnation = voter
    if node == knowledge.node:
        own = (node, knowledge.incarnation)
        return knowledge.incarnation >= incarnation and has_acknowledged(
            knowledge, own, row.version
        )
    heard = knowledge.heard_by_node.get(node)
    return (
        heard is not None
        and heard.incarnation >= incarnation
        and heard.echoed_at >= since
        and (heard.version >= row.version or heard.released)
    )
