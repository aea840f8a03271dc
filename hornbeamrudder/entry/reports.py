"""What nodes report to each other in heartbeats, as core types."""

from typing import Iterable

from ..core import hosts
from ..core import ids
from ..peers import messages
from ..peers import view as peer_view

# A node that has not been heard of for this long is gone, as far as the
# recovery of orders is concerned; its record can still be taken by none
# but one holder.
NODE_GONE_S = 10.0


def leaving_host(item: messages.Leaving) -> hosts.LeavingHost:
    """Read a leaving host from a heartbeat."""
    known = item.seconds_left < messages.NO_RECLAIM_S
    return hosts.LeavingHost(
        item.host, item.incarnation, item.seconds_left if known else None
    )


def leaving_message(host: hosts.LeavingHost) -> messages.Leaving:
    """Write a leaving host for a heartbeat."""
    left = host.seconds_left
    return messages.Leaving(
        host.id,
        host.incarnation,
        messages.NO_RECLAIM_S if left is None else left,
    )


def rates(
    view: peer_view.View, nodes: Iterable[ids.NodeId]
) -> tuple[messages.Rate, ...]:
    """Demand that these peers have reported."""
    return tuple(
        rate
        for node in sorted(nodes)
        if node in view.peers_by_node
        for rate in view.peers_by_node[node].heartbeat.rates
    )


def staying(view: peer_view.View, now: float) -> tuple[ids.NodeId, ...]:
    """Live peers that have not left."""
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
    """Whether a peer's process is gone, for the recovery of orders."""
    peer = view.peers_by_node.get(node)
    if peer is None:
        return True
    return (
        peer.incarnation > incarnation or now - peer.received_at > NODE_GONE_S
    )


def demand(
    view: peer_view.View, now: float, service: ids.ServiceName
) -> dict[ids.NodeId, float]:
    """Slots that each live peer could use of a service."""
    return dict(peer_view.demand_by_service(view, now).get(service, {}))
