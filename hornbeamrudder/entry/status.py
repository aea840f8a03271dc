"""State of a node for operators and for gauges."""

import time
from typing import Any, Iterable, Protocol

from . import application
from ..backends import load as backend_load
from ..backends import watch
from . import configured
from ..core import ids
from ..core import types
from . import gate as gates
from ..peers import view as peer_view
from ..telemetry import metrics as node_metrics

# Prices are given with two or three decimals; more come from the addition.
COST_DECIMALS = 4


class Described(Protocol):
    """The parts of a node that are shown."""

    node_id: ids.NodeId
    configuration: configured.NodeConfiguration
    watcher: watch.Watcher
    gate: gates.Gate
    metrics: node_metrics.NodeMetrics
    application: application.Application

    def view(self) -> peer_view.View:
        """What the peers have reported."""

    def live_nodes(self) -> Iterable[ids.NodeId]:
        """This node and the peers that are heard."""

    def leases(self) -> Any:
        """Fencing numbers of the leases that this node holds."""

    def settled(self) -> ids.Version:
        """Highest version known to be in force everywhere."""

    def traffic(self) -> Any:
        """Counters of the traffic between nodes."""


def describe(node: Described) -> dict[str, Any]:
    """Return nodes, versions, back ends, queues, leases and cost."""
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


def set_gauges(node: Described) -> None:
    """Set the gauges just before the metrics are rendered."""
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


def _nodes(node: Described) -> dict[str, Any]:
    """This node and the peers that are heard, as known here."""
    peers_by_node = node.view().peers_by_node
    told = {
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
    return dict(sorted({**told, node.node_id: own}.items()))


def _workers(watcher: watch.Watcher) -> dict[str, Any]:
    now = time.monotonic()
    seen = watcher.snapshot()
    return {
        worker.id: {
            'service': worker.service,
            'host': worker.host,
            'data_centre': worker.data_centre,
            'state': seen.state_of(worker.id, now).value,
            'own_requests': seen.loads_by_worker[worker.id].local_in_progress,
            'outstanding_tokens': backend_load.outstanding_tokens(
                seen.loads_by_worker[worker.id]
            ),
        }
        for worker in seen.workers_by_id.values()
    }


def _cost_per_hour(node: Described) -> float:
    now = time.monotonic()
    seen = node.watcher.snapshot()
    running = {
        worker.host
        for worker in seen.workers_by_id.values()
        if seen.state_of(worker.id, now) is not types.HostState.GONE
    }
    cost = sum(
        host.price_per_hour
        for host in node.configuration.document().hosts
        if host.id in running
    )
    return round(cost, COST_DECIMALS)
