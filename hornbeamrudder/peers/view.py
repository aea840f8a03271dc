"""What a node knows of its peers from their heartbeats; pure."""

import collections
import dataclasses
from typing import Mapping

from ..core import ids
from . import messages

# The share of a dead node is reallocated after this silence.
ALIVE_S = 2.0
# Longer than the termination of a host takes after its notice.
KEEP_LEAVING_S = 180.0


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Latest heartbeat of one peer and the time of its arrival."""

    node: ids.NodeId
    incarnation: ids.Incarnation
    heartbeat: messages.Heartbeat
    heard_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Peers by node and the time at which each host was reported leaving."""

    peers_by_node: Mapping[ids.NodeId, Peer] = dataclasses.field(
        default_factory=dict
    )
    leaving_since_by_host: Mapping[ids.HostId, float] = dataclasses.field(
        default_factory=dict
    )


def hear(
    view: View,
    sender: ids.NodeId,
    incarnation: ids.Incarnation,
    heartbeat: messages.Heartbeat,
    now: float,
) -> View:
    """Add a heartbeat; those of an earlier incarnation change nothing."""
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
            if now - since < KEEP_LEAVING_S
        },
    )


def alive(view: View, now: float) -> frozenset[ids.NodeId]:
    """Peers heard within `ALIVE_S`."""
    return frozenset(
        peer.node
        for peer in view.peers_by_node.values()
        if now - peer.heard_at < ALIVE_S
    )


def demand_by_service(
    view: View, now: float
) -> dict[ids.ServiceName, dict[ids.NodeId, float]]:
    """Demand that each live peer reports, by service."""
    demand: dict[ids.ServiceName, dict[ids.NodeId, float]] = (
        collections.defaultdict(dict)
    )
    for node in alive(view, now):
        for service, amount in view.peers_by_node[node].heartbeat.demand:
            demand[service][node] = amount
    return dict(demand)


def small_demand(view: View, now: float) -> dict[ids.ServiceName, float]:
    """Demand of small accounts that live peers report, summed by service."""
    total: dict[ids.ServiceName, float] = collections.defaultdict(float)
    for node in alive(view, now):
        reported = view.peers_by_node[node].heartbeat.small_demand
        for service, amount in reported:
            total[service] += amount
    return dict(total)


def leaving_hosts(view: View, now: float) -> frozenset[ids.HostId]:
    """Hosts that a peer has reported as leaving."""
    return frozenset(
        host
        for host, since in view.leaving_since_by_host.items()
        if now - since < KEEP_LEAVING_S
    )


def versions_heard(
    view: View,
) -> dict[ids.NodeId, tuple[ids.Version, float]]:
    """Configuration version of each peer and when it was heard."""
    return {
        peer.node: (peer.heartbeat.version, peer.heard_at)
        for peer in view.peers_by_node.values()
    }


def forget(view: View, node: ids.NodeId) -> View:
    """Remove a peer that has left the member set."""
    return dataclasses.replace(
        view,
        peers_by_node={
            other: peer
            for other, peer in view.peers_by_node.items()
            if other != node
        },
    )
