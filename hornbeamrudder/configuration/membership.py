"""Proposals that add a node to the members or remove members.

The functions have no side effects.
"""

import dataclasses

from . import acceptance
from . import admission_lease
from ..core import ids
from . import node_state
from ..peers import view as peer_view
from . import publish
from . import versions

CHECK_INTERVAL_S = 1.0
# The members may have changed since an older read.
MAX_READ_AGE_S = 2.0
# Failed members count towards the size of the majority until they are
# removed. A member removed by mistake, after a long pause or a network
# partition, joins again.
SILENT_MEMBER_TIMEOUT_S = 10.0
# State of silent nodes that are not members is evicted after this time.
DEPARTED_RETENTION_S = 120.0
AUTHOR = ids.OperatorId('members')


def propose_if_due(
    node: node_state.NodeState, now: float
) -> node_state.NodeState:
    """Queue a join or a removal if the member set needs one."""
    if now < node.next_member_check_at:
        return node
    node = dataclasses.replace(
        node, next_member_check_at=now + CHECK_INTERVAL_S
    )
    if (
        node.quorum.stopping
        or node.active is not None
        or node.queue
        or node.table is None
        or now - node.table_read_at > MAX_READ_AGE_S
    ):
        return node
    row = node.table.row
    installed = node.quorum.row
    if installed is not None and (
        row is None or installed.version > row.version
    ):
        row = installed
    voter_set = versions.voters(row) if row else ()
    own = (node.quorum.node, node.quorum.incarnation)
    if not admission_lease.is_voter(voter_set, *own):
        if any(
            other == own[0] and later > own[1] for other, later in voter_set
        ):
            # A newer process of this node is a member; this one must not
            # replace it.
            return node
        member = versions.Member(*own, node.address, node.host)
        return _propose(node, add=(member,))
    if row is None:
        return node
    removable = tuple(
        voter for voter in voter_set if _should_remove(node, row, voter, now)
    )
    remaining = [voter for voter in voter_set if voter not in removable]
    # Only the first live member proposes, which avoids compare-and-set
    # failures between members.
    if removable and remaining[:1] == [own]:
        return _propose(node, remove=removable)
    return node


def propose_leave(node: node_state.NodeState) -> node_state.NodeState:
    """Queue the removal of this process."""
    own = (node.quorum.node, node.quorum.incarnation)
    return _propose(node, remove=(own,))


def evict_departed(
    node: node_state.NodeState, now: float
) -> node_state.NodeState:
    """Evict the state of former members after `DEPARTED_RETENTION_S`."""
    row = node.quorum.row
    if row is None:
        return node
    required_nodes = {
        name
        for voter_set in versions.required_voter_sets(row)
        for name, _ in voter_set
    }
    departed = {
        name
        for name, status in node.quorum.peer_status_by_node.items()
        if name not in required_nodes
        and now - status.received_at > DEPARTED_RETENTION_S
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
    return node_state.update_quorum(
        node,
        peer_status_by_node={
            name: status
            for name, status in node.quorum.peer_status_by_node.items()
            if name not in departed
        },
    )


def _should_remove(
    node: node_state.NodeState,
    row: versions.VersionRow,
    voter: versions.Voter,
    now: float,
) -> bool:
    if voter == (node.quorum.node, node.quorum.incarnation):
        return False
    if acceptance.has_ended(node.quorum, row, voter):
        # A restarted process replaces its own entry when it joins.
        status = node.quorum.peer_status_by_node.get(voter[0])
        if status is None or status.incarnation <= voter[1]:
            return True
    status = node.quorum.peer_status_by_node.get(voter[0])
    heard_at = status.received_at if status else node.started_at
    return now - max(heard_at, node.started_at) > SILENT_MEMBER_TIMEOUT_S


def _propose(
    node: node_state.NodeState,
    add: tuple[versions.Member, ...] = (),
    remove: tuple[versions.Voter, ...] = (),
) -> node_state.NodeState:
    quorum = node.quorum
    attempt = ids.AttemptId(
        f'{quorum.node}-{quorum.incarnation}.{node.proposal_sequence}'
    )
    proposal = publish.Proposal(
        attempt, AUTHOR, wall=node.wall, add=add, remove=remove
    )
    return dataclasses.replace(
        node,
        proposal_sequence=node.proposal_sequence + 1,
        queue=(*node.queue, proposal),
    )
