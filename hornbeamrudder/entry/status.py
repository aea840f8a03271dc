"""State of a node for the operator API and for metrics."""

import time
from typing import Any, Iterable, Protocol

from . import application
from ..backends import load as backend_load
from ..backends import watch
from ..core import ids
from ..core import types
from . import gate as gates
from . import node_configuration
from ..peers import view as peer_view
from ..telemetry import metrics as node_metrics

# Prices have two or three decimals; further digits are rounding errors of the
# sum.
COST_DECIMALS = 4


class ReportedNode(Protocol):
    """Components of a node whose state is reported."""

    node_id: ids.NodeId
    configuration: node_configuration.NodeConfiguration
    watcher: watch.Watcher
    gate: gates.Gate
    metrics: node_metrics.NodeMetrics
    application: application.Application

    def view(self) -> peer_view.View:
        """Return the state reported by the peers."""

    def live_nodes(self) -> Iterable[ids.NodeId]:
        """Return this node and its live peers."""

    def leases(self) -> Any:
        """Return the fencing number of each lease, None if not held."""

    def settled(self) -> ids.Version:
        """Return the highest version known to be in force on all nodes."""

    def traffic(self) -> Any:
        """Return the counters of the traffic between nodes."""


def describe(node: ReportedNode) -> dict[str, Any]:
    """Return nodes, versions, backend servers, queues, leases and cost."""
    return {
        'answered_by': node.node_id,
        'version': node.configuration.version(),
        'settled_version': node.settled(),
        'cost_per_hour': _cost_per_hour(node),
        'nodes': _nodes(node),
        'workers': _workers(node.watcher),
        'queues': {
            service: {
                rank.name.lower(): snapshot.length_by_rank[rank]
                for rank in types.Rank
            }
            for service, snapshot in node.gate.snapshots().items()
        },
        'leases': node.leases(),
    }


def set_gauges(node: ReportedNode) -> None:
    """Update the gauges before the metrics are rendered."""
    gauges = node.metrics.gauges
    gauges.set({'name': 'version'}, node.configuration.version())
    gauges.set({'name': 'may_admit'}, int(node.configuration.may_admit()))
    for service, snapshot in node.gate.snapshots().items():
        for rank in types.Rank:
            labels = {'service': service, 'rank': rank.name.lower()}
            gauges.set(
                labels | {'name': 'queue_length'},
                snapshot.length_by_rank[rank],
            )
        gauges.set(
            {'name': 'slots_in_use', 'service': service}, snapshot.in_use
        )
        gauges.set({'name': 'slots', 'service': service}, snapshot.capacity)
    for name, value in node.traffic().items():
        gauges.set({'name': f'peers_{name}'}, value)


def _nodes(node: ReportedNode) -> dict[str, Any]:
    """Return version and readiness of this node and its live peers."""
    peers_by_node = node.view().peers_by_node
    peers = {
        name: {
            'version': peers_by_node[name].heartbeat.version,
            'ready': peers_by_node[name].heartbeat.may_admit
            and not peers_by_node[name].heartbeat.released,
        }
        for name in node.live_nodes()
        if name in peers_by_node
    }
    own = {
        'version': node.configuration.version(),
        'ready': node.application.ready,
    }
    return dict(sorted({**peers, node.node_id: own}.items()))


def _workers(watcher: watch.Watcher) -> dict[str, Any]:
    now = time.monotonic()
    backends = watcher.snapshot()
    return {
        worker.id: {
            'service': worker.service,
            'host': worker.host,
            'data_centre': worker.data_centre,
            'state': backends.state_of(worker.id, now).value,
            'own_requests': backends.loads_by_worker[
                worker.id
            ].local_in_progress,
            'outstanding_tokens': backend_load.outstanding_tokens(
                backends.loads_by_worker[worker.id]
            ),
        }
        for worker in backends.workers_by_id.values()
    }


def _cost_per_hour(node: ReportedNode) -> float:
    now = time.monotonic()
    backends = node.watcher.snapshot()
    running = {
        worker.host
        for worker in backends.workers_by_id.values()
        if backends.state_of(worker.id, now) is not types.HostState.GONE
    }
    cost = sum(
        host.price_per_hour
        for host in node.configuration.document().hosts
        if host.id in running
    )
    return round(cost, COST_DECIMALS)
