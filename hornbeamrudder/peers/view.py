"""Peer state reported by heartbeats, as immutable values."""

import collections
import dataclasses
from typing import Mapping

from ..core import ids
from . import messages

# A peer without a heartbeat for this long is dead and its share is
# reallocated.
LIVENESS_TIMEOUT_S = 2.0
# Longer than a host takes to terminate after its reclaim notice.
LEAVING_RETENTION_S = 180.0


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Latest heartbeat of one peer and the time at which it was received."""

    node: ids.NodeId
    incarnation: ids.Incarnation
    heartbeat: messages.Heartbeat
    received_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Known peers, and the time at which each host was reported as leaving."""

    peers_by_node: Mapping[ids.NodeId, Peer] = dataclasses.field(
        default_factory=dict
    )
    leaving_since_by_host: Mapping[ids.HostId, float] = dataclasses.field(
        default_factory=dict
    )


def record_heartbeat(
    view: View,
    sender: ids.NodeId,
    incarnation: ids.Incarnation,
    heartbeat: messages.Heartbeat,
    now: float,
) -> View:
    """Return the view with a heartbeat added.

    Heartbeats that are older than the recorded one, or that come from an
    earlier incarnation, are ignored.
    """
    known = view.peers_by_node.get(sender)
    if known is not None and (known.incarnation, known.heartbeat.sent_at) > (
        incarnation,
        heartbeat.sent_at,
    ):
        return view
    return View(
        {
            **view.peers_by_node,
            sender: Peer(sender, incarnation, heartbeat, now),
        },
        {item.host: now for item in heartbeat.leaving}
        | {
            host: since
            for host, since in view.leaving_since_by_host.items()
            if now - since < LEAVING_RETENTION_S
        },
    )


def live_peers(view: View, now: float) -> frozenset[ids.NodeId]:
    """Return the peers with a heartbeat within `LIVENESS_TIMEOUT_S`."""
    return frozenset(
        peer.node
        for peer in view.peers_by_node.values()
        if now - peer.received_at < LIVENESS_TIMEOUT_S
    )


def demand_by_service(
    view: View, now: float
) -> dict[ids.ServiceName, dict[ids.NodeId, float]]:
    """Return the demand reported by each live peer, by service."""
    demand: dict[ids.ServiceName, dict[ids.NodeId, float]] = (
        collections.defaultdict(dict)
    )
    for node in live_peers(view, now):
        for service, amount in view.peers_by_node[node].heartbeat.demand:
            demand[service][node] = amount
    return dict(demand)


def small_demand(view: View, now: float) -> dict[ids.ServiceName, float]:
    """Return the small accounts' demand summed over live peers, by service."""
    total: dict[ids.ServiceName, float] = collections.defaultdict(float)
    for node in live_peers(view, now):
        reported = view.peers_by_node[node].heartbeat.small_demand
        for service, amount in reported:
            total[service] += amount
    return dict(total)


def leaving_hosts(view: View, now: float) -> frozenset[ids.HostId]:
    """Return the hosts that any peer has reported as leaving."""
    return frozenset(
        host
        for host, since in view.leaving_since_by_host.items()
        if now - since < LEAVING_RETENTION_S
    )


def versions_by_peer(
    view: View,
) -> dict[ids.NodeId, tuple[ids.Version, float]]:
    """Return the configuration version and heartbeat time of each peer."""
    return {
        peer.node: (peer.heartbeat.version, peer.received_at)
        for peer in view.peers_by_node.values()
    }


def remove_peer(view: View, node: ids.NodeId) -> View:
    """Return the view without a peer that has left the member set."""
    return dataclasses.replace(
        view,
        peers_by_node={
            other: peer
            for other, peer in view.peers_by_node.items()
            if other != node
        },
    )
