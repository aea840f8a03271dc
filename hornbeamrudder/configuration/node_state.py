"""State of a node, and updates shared by the state machine modules."""

import dataclasses
import math
from typing import Any, Mapping

from . import acceptance
from . import admission_lease
from ..core import ids
from ..core import types
from . import events
from ..peers import messages
from ..peers import view as peer_view
from . import publish
from . import versions

MAX_HISTORY_VERSIONS = 8
MAX_HISTORY_BYTES = 2 * 1024 * 1024

Effects = tuple[events.Effect, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NodeState:
    """State of a node: versions, members, peers and proposals.

    Attributes
    ----------
    installed : VersionedDocument or None
        Version in force on this node.
    history : tuple of VersionedDocument
        Latest installed versions, from which conflicts are reported.
    settled : int
        Highest version known to be in force everywhere.
    read_sent_at : float or None
        Send time of the pending read.
    table_read_at : float
        Send time of the last successful read, whose result is `table`.
    proposal_sequence : int
        Sequence number in the attempt ids of the node's own proposals.
    """

    quorum: admission_lease.QuorumState
    address: types.Address
    started_at: float
    installed: versions.VersionedDocument | None = None
    history: tuple[versions.VersionedDocument, ...] = ()
    view: peer_view.View = dataclasses.field(default_factory=peer_view.View)
    settled: ids.Version = ids.Version(0)
    tracker: acceptance.Tracker | None = None
    queue: tuple[publish.Proposal, ...] = ()
    active: publish.Publication | None = None
    distributing: tuple[publish.Publication, ...] = ()
    table: publish.TableState | None = None
    table_read_at: float = -math.inf
    read_sent_at: float | None = None
    next_read_at: float = -math.inf
    next_heartbeat_at: float = -math.inf
    next_member_check_at: float = -math.inf
    pushed_at_by_node: Mapping[ids.NodeId, float] = dataclasses.field(
        default_factory=dict
    )
    connected: tuple[ids.NodeId, ...] = ()
    demand: tuple[tuple[ids.ServiceName, float], ...] = ()
    leaving: tuple[messages.Leaving, ...] = ()
    small_demand: tuple[tuple[ids.ServiceName, float], ...] = ()
    rates: tuple[messages.Rate, ...] = ()
    proposal_sequence: int = 0
    wall: float = 0.0
    host: ids.HostId = ids.HostId('')


def initial_state(
    node: ids.NodeId,
    incarnation: ids.Incarnation,
    address: types.Address,
    now: float,
    host: ids.HostId = ids.HostId(''),
) -> NodeState:
    """Return the state of a process that has just started."""
    return NodeState(
        admission_lease.QuorumState(node, incarnation), address, now, host=host
    )


def may_admit(node: NodeState, now: float) -> bool:
    """Whether the node may admit a request at `now`."""
    return admission_lease.may_admit(node.quorum, now)


def update_quorum(node: NodeState, **changes: Any) -> NodeState:
    """Replace fields of the quorum state."""
    quorum = dataclasses.replace(node.quorum, **changes)
    return dataclasses.replace(node, quorum=quorum)


def recipients(node: NodeState) -> tuple[ids.NodeId, ...]:
    """Return the peers that receive heartbeats and new versions."""
    row = node.quorum.row
    members = [member.node for member in row.members] if row else []
    return tuple(sorted({*members, *node.connected} - {node.quorum.node}))


def install(
    node: NodeState, content: versions.VersionedDocument
) -> tuple[NodeState, Effects]:
    """Install a version if it is higher than the installed one.

    A released process stays at the version that it has reported, since its
    peers count it with that version.
    """
    if (
        node.quorum.released
        or versions.newer(node.installed, content) is node.installed
    ):
        return node, ()
    history = (*node.history, content)[-MAX_HISTORY_VERSIONS:]
    while (
        len(history) > 1
        and sum(len(item.document) for item in history) > MAX_HISTORY_BYTES
    ):
        history = history[1:]
    node = dataclasses.replace(
        node,
        installed=content,
        history=history,
        tracker=acceptance.Tracker(content.row),
    )
    return update_quorum(node, row=content.row), (
        events.VersionInstalled(content),
    )


def push_to_all(
    node: NodeState, content: versions.VersionedDocument
) -> Effects:
    """Push a committed version to all peers."""
    push = messages.ConfigurationPush(
        versions.dump_row(content.row), content.document
    )
    return tuple(events.Send(peer, push) for peer in recipients(node))
