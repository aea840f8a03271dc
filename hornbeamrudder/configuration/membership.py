"""When a node joins, leaves, or removes members that have ended; pure."""

import dataclasses

from . import acceptance
from ..core import ids
from . import currency
from . import node_state
from ..peers import view as peer_view
from . import publish
from . import state

CHECK_S = 1.0
# A read older than this may describe members that have changed.
TABLE_FRESH_S = 2.0
# Lost members count against the majority until they are removed; a member
# removed by mistake, after a long pause or cut, joins again.
FORGET_S = 10.0
# What a node that is no member has told is dropped after this silence.
KEEP_DEPARTED_S = 120.0
AUTHOR = ids.OperatorId('members')


def propose_when_due(
    node: node_state.NodeState, now: float
) -> node_state.NodeState:
    """Queue a join or a removal where the member set needs one."""
    if now < node.next_member_check_at:
        return node
    node = dataclasses.replace(node, next_member_check_at=now + CHECK_S)
    if (
        node.knowledge.stopping
        or node.active is not None
        or node.queue
        or node.table is None
        or now - node.table_at > TABLE_FRESH_S
    ):
        return node
    row = node.table.row
    installed = node.knowledge.row
    if installed is not None and (
        row is None or installed.version > row.version
    ):
        row = installed
    electorate = state.voters(row) if row else ()
    own = (node.knowledge.node, node.knowledge.incarnation)
    if not currency.is_voter(electorate, *own):
        if any(
            other == own[0] and later > own[1] for other, later in electorate
        ):
            # A newer process of this node runs; this one must not return.
            return node
        member = state.Member(*own, node.address, node.host)
        return _propose(node, add=(member,))
    if row is None:
        return node
    lost = tuple(
        voter for voter in electorate if _is_lost(node, row, voter, now)
    )
    live = [voter for voter in electorate if voter not in lost]
    # One proposer avoids races between all members.
    if lost and live[:1] == [own]:
        return _propose(node, remove=lost)
    return node


def propose_leave(node: node_state.NodeState) -> node_state.NodeState:
    """Queue the removal of this process."""
    own = (node.knowledge.node, node.knowledge.incarnation)
    return _propose(node, remove=(own,))


def forget_departed(
    node: node_state.NodeState, now: float
) -> node_state.NodeState:
    """Drop what is known of nodes that left the member set long ago."""
    row = node.knowledge.row
    if row is None:
        return node
    kept = {
        name
        for electorate in state.all_electorates(row)
        for name, _ in electorate
    }
    departed = {
        name
        for name, heard in node.knowledge.heard_by_node.items()
        if name not in kept and now - heard.received_at > KEEP_DEPARTED_S
    }
    if not departed:
        return node
    view = node.view
    for name in departed:
        view = peer_view.remove_peer(view, name)
    node = dataclasses.replace(
        node,
        view=view,
        pushed_at_by_node={
            name: at
            for name, at in node.pushed_at_by_node.items()
            if name not in departed
        },
    )
    return node_state.know(
        node,
        heard_by_node={
            name: heard
            for name, heard in node.knowledge.heard_by_node.items()
            if name not in departed
        },
    )


def _is_lost(
    node: node_state.NodeState,
    row: state.VersionRow,
    voter: state.Voter,
    now: float,
) -> bool:
    if voter == (node.knowledge.node, node.knowledge.incarnation):
        return False
    if acceptance.has_ended(node.knowledge, row, voter):
        # A restarted process replaces its own entry by joining.
        heard = node.knowledge.heard_by_node.get(voter[0])
        if heard is None or heard.incarnation <= voter[1]:
            return True
    heard = node.knowledge.heard_by_node.get(voter[0])
    heard_at = heard.received_at if heard else node.started_at
    return now - max(heard_at, node.started_at) > FORGET_S


def _propose(
    node: node_state.NodeState,
    add: tuple[state.Member, ...] = (),
    remove: tuple[state.Voter, ...] = (),
) -> node_state.NodeState:
    knowledge = node.knowledge
    attempt = ids.AttemptId(
        f'{knowledge.node}-{knowledge.incarnation}.{node.sequence}'
    )
    proposal = publish.Proposal(
        attempt, AUTHOR, wall=node.wall, add=add, remove=remove
    )
    return dataclasses.replace(
        node,
        sequence=node.sequence + 1,
        queue=(*node.queue, proposal),
    )
