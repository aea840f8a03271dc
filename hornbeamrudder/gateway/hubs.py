"""Selection of the nodes that aggregate reports; no I/O.

In a full mesh the number of messages grows with the square of the number of
nodes. In large deployments each node therefore reports to a few hubs only, and
receives from them one digest of all other nodes.
"""

import dataclasses
from typing import Mapping

from ..core import hashing
from ..core import ids

# Up to this number of nodes, each node reports to all others.
MAX_DIRECT_NODES = 10
# Tolerates one slow and one unreachable hub.
HUB_COUNT = 3
# A hub is replaced if it has not sent a digest for this long. This covers two
# digests of a standby hub, which sends fewer of them than the first hub.
HUB_TIMEOUT_S = 2.5
# Time until an unresponsive node is selected again.
HUB_RETRY_S = 6.0
# Share of the link of a hub that digests may use.
MAX_LINK_SHARE = 0.1
# Bytes per second that a hub sends to each node in digests and table changes.
BYTES_PER_NODE_S = 7000.0


@dataclasses.dataclass(slots=True)
class HubContact:
    """Contact of this node with one hub.

    Attributes
    ----------
    reporting_since : float or None
        Start of the current period in which reports are sent to it.
    digest_at : float
        Time of its latest digest.
    avoided_until : float
        Time until which other nodes are selected.
    """

    reporting_since: float | None = None
    digest_at: float = float('-inf')
    avoided_until: float = float('-inf')


def needed_link_mbps(nodes: int) -> float:
    """Return the link speed in Mbit/s needed by a hub for `nodes` nodes."""
    return nodes * BYTES_PER_NODE_S * 8e-6 / MAX_LINK_SHARE


def rank_candidates(
    link_by_node: Mapping[ids.NodeId, float],
) -> list[ids.NodeId]:
    """Return the nodes in order of preference as hubs.

    All nodes that know the same nodes get the same order.

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


class HubSelector:
    """Selects the hubs of one node and replaces unresponsive ones."""

    def __init__(self, node: ids.NodeId) -> None:
        self._node = node
        self._candidates: list[ids.NodeId] = []
        self._contact_by_node: dict[ids.NodeId, HubContact] = {}

    def set_nodes(self, link_by_node: Mapping[ids.NodeId, float]) -> None:
        """Set the registered nodes."""
        self._candidates = rank_candidates(link_by_node)
        self._contact_by_node = {
            node: contact
            for node, contact in self._contact_by_node.items()
            if node in link_by_node
        }

    def record_digest(self, node: ids.NodeId, now: float) -> None:
        """Record that a digest of a hub was received."""
        contact = self._contact_by_node.setdefault(node, HubContact())
        contact.digest_at = now
        contact.avoided_until = float('-inf')

    def choose(self, now: float) -> list[ids.NodeId]:
        """Return the hubs in order; may include this node."""
        chosen: list[ids.NodeId] = []
        for node in self._candidates:
            if len(chosen) == HUB_COUNT:
                break
            if node == self._node or self._is_responsive(node, now):
                chosen.append(node)
        # No reports go to the others, so their time-out starts again later.
        for node, contact in self._contact_by_node.items():
            if node not in chosen:
                contact.reporting_since = None
        return chosen

    def _is_responsive(self, node: ids.NodeId, now: float) -> bool:
        contact = self._contact_by_node.setdefault(node, HubContact())
        if now < contact.avoided_until:
            return False
        if contact.reporting_since is None:
            contact.reporting_since = now
        if (
            now - max(contact.reporting_since, contact.digest_at)
            > HUB_TIMEOUT_S
        ):
            contact.avoided_until = now + HUB_RETRY_S
            return False
        return True
