"""Conversion between heartbeat reports and core types."""

from typing import Iterable

from ..core import hosts
from ..core import ids
from ..peers import messages
from ..peers import view as peer_view

# Silence after which order recovery treats a node as gone. A premature timeout
# is safe: only one holder can take over an order record.
NODE_GONE_TIMEOUT_S = 10.0


def leaving_host(item: messages.Leaving) -> hosts.LeavingHost:
    """Convert a leaving host from its heartbeat message."""
    reclaim_announced = item.seconds_left < messages.NO_RECLAIM_S
    return hosts.LeavingHost(
        item.host,
        item.incarnation,
        item.seconds_left if reclaim_announced else None,
    )


def leaving_message(host: hosts.LeavingHost) -> messages.Leaving:
    """Convert a leaving host to its heartbeat message."""
    seconds_left = host.seconds_left
    return messages.Leaving(
        host.id,
        host.incarnation,
        messages.NO_RECLAIM_S if seconds_left is None else seconds_left,
    )


def rates(
    view: peer_view.View, nodes: Iterable[ids.NodeId]
) -> tuple[messages.Rate, ...]:
    """Return the request rates reported by these peers."""
    return tuple(
        rate
        for node in sorted(nodes)
        if node in view.peers_by_node
        for rate in view.peers_by_node[node].heartbeat.rates
    )


def active_peers(view: peer_view.View, now: float) -> tuple[ids.NodeId, ...]:
    """Return the live peers that have not stopped admitting requests."""
    return tuple(
        node
        for node in peer_view.live_peers(view, now)
        if not view.peers_by_node[node].heartbeat.released
    )


def is_gone(
    view: peer_view.View,
    node: ids.NodeId,
    incarnation: ids.Incarnation,
    now: float,
) -> bool:
    """Return whether a peer process is gone, for order recovery."""
    peer = view.peers_by_node.get(node)
    if peer is None:
        return True
    return (
        peer.incarnation > incarnation
        or now - peer.received_at > NODE_GONE_TIMEOUT_S
    )


def demand(
    view: peer_view.View, now: float, service: ids.ServiceName
) -> dict[ids.NodeId, float]:
    """Return each live peer's demand for a service, in slots."""
    return dict(peer_view.demand_by_service(view, now).get(service, {}))
