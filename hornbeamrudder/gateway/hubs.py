"""Choice of the nodes that add up reports for all others; pure.

Answers the load of many nodes: if each reported to each, messages would grow
with the square of their number. Each node reports to a few hubs instead, and
gets from them one digest of all the others.
"""

import dataclasses
from typing import Mapping

from ..core import hashing
from ..core import ids

# With fewer nodes, each reports to each.
FEW_NODES = 10
# One may be slow and one cut off.
HUBS = 3
# A hub that has not answered for this long is replaced by another node. The
# hubs after the first send digests less often, so this covers two of those.
SILENT_S = 2.5
# Time until a node that did not answer is tried again.
AVOID_S = 6.0
# Part of its link that digests may take at a hub.
LINK_SHARE = 0.1
# Bytes that a hub sends to each node in a second, in digests and changes.
BYTES_PER_NODE_S = 7000.0


@dataclasses.dataclass(slots=True)
class Contact:
    """How one node has answered as a hub.

    Attributes
    ----------
    asked_since : float or None
        Since when reports were sent there without a pause.
    answered_at : float
        When its last digest came.
    avoided_until : float
        Until when other nodes are tried.
    """

    asked_since: float | None = None
    answered_at: float = float('-inf')
    avoided_until: float = float('-inf')


def needed_link_mbps(nodes: int) -> float:
    """Link, in Mbit/s, that a hub for so many nodes should have."""
    return nodes * BYTES_PER_NODE_S * 8e-6 / LINK_SHARE


def ordered(link_by_node: Mapping[ids.NodeId, float]) -> list[ids.NodeId]:
    """Order nodes for the work of a hub, the same at all nodes.

    Parameters
    ----------
    link_by_node : mapping
        Speed of each node's link in Mbit/s; 0 if unknown.
    """
    needed = needed_link_mbps(len(link_by_node))
    return sorted(
        link_by_node,
        key=lambda node: (
            link_by_node[node] < needed,
            hashing.stable_hash('hub', node),
        ),
    )


class HubChoice:
    """The hubs of one node, replaced while they do not answer."""

    def __init__(self, node: ids.NodeId) -> None:
        self._node = node
        self._order: list[ids.NodeId] = []
        self._contact_by_node: dict[ids.NodeId, Contact] = {}

    def set_nodes(self, link_by_node: Mapping[ids.NodeId, float]) -> None:
        """Take in which nodes are registered."""
        self._order = ordered(link_by_node)
        self._contact_by_node = {
            node: contact
            for node, contact in self._contact_by_node.items()
            if node in link_by_node
        }

    def answered(self, node: ids.NodeId, now: float) -> None:
        """Note a digest of a hub."""
        contact = self._contact_by_node.setdefault(node, Contact())
        contact.answered_at = now
        contact.avoided_until = float('-inf')

    def choose(self, now: float) -> list[ids.NodeId]:
        """Return the hubs in order; may contain this node itself."""
        chosen: list[ids.NodeId] = []
        for node in self._order:
            if len(chosen) == HUBS:
                break
            if node == self._node or self._answers(node, now):
                chosen.append(node)
        # Others are not asked: their time starts anew when they are.
        for node, contact in self._contact_by_node.items():
            if node not in chosen:
                contact.asked_since = None
        return chosen

    def _answers(self, node: ids.NodeId, now: float) -> bool:
        contact = self._contact_by_node.setdefault(node, Contact())
        if now < contact.avoided_until:
            return False
        if contact.asked_since is None:
            contact.asked_since = now
        if now - max(contact.asked_since, contact.answered_at) > SILENT_S:
            contact.avoided_until = now + AVOID_S
            return False
        return True
