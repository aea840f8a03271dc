"""State of one node, and the changes to it that several steps share."""

import dataclasses
import math
from typing import Any, Mapping

from . import acceptance
from ..core import ids
from ..core import types
from . import currency
from . import events
from ..peers import messages
from ..peers import view as peer_view
from . import publish
from . import state

HISTORY_LENGTH = 8
HISTORY_BYTES = 2 * 1024 * 1024

Effects = tuple[events.Effect, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NodeState:
    """All that a node knows about versions, members and proposals.

    Attributes
    ----------
    history : tuple of Content
        Latest installed versions, for the description of conflicts.
    settled : int
        Highest version known to be in force everywhere.
    reading_since : float or None
        Send time of the read in progress.
    table_at : float
        Send time of the last successful read, whose answer is `table`.
    sequence : int
        Counter for attempt ids of the node's own proposals.
    """

    knowledge: currency.Knowledge
    address: types.Address
    started_at: float
    content: state.Content | None = None
    history: tuple[state.Content, ...] = ()
    view: peer_view.View = dataclasses.field(default_factory=peer_view.View)
    settled: ids.Version = ids.Version(0)
    tracker: acceptance.Tracker | None = None
    queue: tuple[publish.Proposal, ...] = ()
    active: publish.Publication | None = None
    distributing: tuple[publish.Publication, ...] = ()
    table: publish.TableState | None = None
    table_at: float = -math.inf
    reading_since: float | None = None
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
    sequence: int = 0
    wall: float = 0.0
    host: ids.HostId = ids.HostId('')


def start(
    node: ids.NodeId,
    incarnation: ids.Incarnation,
    address: types.Address,
    now: float,
    host: ids.HostId = ids.HostId(''),
) -> NodeState:
    """State of a process that has just started."""
    return NodeState(
        currency.Knowledge(node, incarnation), address, now, host=host
    )


def may_admit(node: NodeState, now: float) -> bool:
    """Whether the node may admit a request at `now`."""
    return currency.may_admit(node.knowledge, now)


def know(node: NodeState, **changes: Any) -> NodeState:
    """Replace fields of the node's knowledge."""
    knowledge = dataclasses.replace(node.knowledge, **changes)
    return dataclasses.replace(node, knowledge=knowledge)


def recipients(node: NodeState) -> tuple[ids.NodeId, ...]:
    """Peers that get heartbeats and new versions."""
    row = node.knowledge.row
    members = [member.node for member in row.members] if row else []
    return tuple(sorted({*members, *node.connected} - {node.knowledge.node}))


def install(
    node: NodeState, content: state.Content
) -> tuple[NodeState, Effects]:
    """Put a version in force unless it is not above the installed one.

    A released process stays at the version that it has told, since peers
    count it with that version.
    """
    if (
        node.knowledge.released
        or state.newer(node.content, content) is node.content
    ):
        return node, ()
    history = (*node.history, content)[-HISTORY_LENGTH:]
    while (
        len(history) > 1
        and sum(len(item.document) for item in history) > HISTORY_BYTES
    ):
        history = history[1:]
    node = dataclasses.replace(
        node,
        content=content,
        history=history,
        tracker=acceptance.Tracker(content.row),
    )
    return know(node, row=content.row), (events.Installed(content),)


def push_to_all(node: NodeState, content: state.Content) -> Effects:
    """Send a committed version to all peers."""
    push = messages.ConfigurationPush(
        state.dump_row(content.row), content.document
    )
    return tuple(events.Send(peer, push) for peer in recipients(node))
