"""Runs the orders of a fleet in virtual time while its service is rolled out.

Servers of the new version start beside the old ones, beyond what is ordered,
and those of one version end with the roll-out. What serves is seen through
the entries of the servers.
"""

import itertools
import random
from unittest import mock

from hornbeamrudder.core import ids
from hornbeamrudder.core import types
from hornbeamrudder.gateway.features import fleet_plan_run
from hornbeamrudder.gateway.features import null_log
from hornbeamrudder.gateway import fleet_orders
from hornbeamrudder.gateway import records
from hornbeamrudder.gateway import server_registry
from hornbeamrudder.gateway import shared_sums
from hornbeamrudder.rollouts import split
from hornbeamrudder.rollouts import state
from hornbeamrudder.rollouts import tracker

SERVICE = records.BackendService(
    fleet_plan_run.SERVICE,
    100,
    records.Engine(32, 600000),
    fleet_plan_run.SCALING,
)
# Entries of servers that have ended are there for so long.
ENTRY_S = 3.0


class RollOutFleetRun(fleet_plan_run.FleetRun):
    """A fleet whose service is moved from `v1` to `v2`."""

    def __init__(self, rate_per_s):
        self._registry = server_registry.ServerRegistry(
            fleet_plan_run.DATA_CENTRES[0], lambda record: None
        )
        self.rollouts = tracker.RollOuts(
            shared_sums.SharedSums(ids.NodeId('n'), 1),
            self._registry,
            lambda: split.Permitted(0.1, 50.0),
            lambda: 1,
            lambda: self.now,
            random.Random(1),
            null_log.NullLog(),
            lambda *_: None,
        )
        self.version = 'v1'
        self._version_by_server = {}
        self._id_by_server = {}
        self._ended_at = {}
        self._numbers = itertools.count()
        self._rows = itertools.count(1)
        super().__init__(rate_per_s=rate_per_s)

    def start_holder(self):
        """Let another node take the duties."""
        super().start_holder()
        node_state = mock.MagicMock(
            servers=self._registry,
            rollouts=self.rollouts,
        )
        node_state.configuration.urgency_by_service = {
            SERVICE.name: records.Urgency(target_s=0.4)
        }
        self._orders = fleet_orders.FleetOrders(node_state)
        self._orders._observe = lambda *_: self._demand

    def give_order(self):
        """Let the operator order the version."""
        self.rollouts.set_order(
            SERVICE.name, state.Order(SERVICE.name, 'v2', 30.0, 1)
        )

    def start_beside(self, share):
        """Start servers of the new version beside a share of the old ones."""
        old = list(self._servers)
        for server in old[: round(share * len(old))]:
            beside = fleet_plan_run.Server(server.pool, self.now)
            self._version_by_server[beside] = 'v2'
            self._servers.append(beside)

    def make_step(self, phase):
        """Let the roll-out make a step; its end ends the other servers."""
        self.rollouts.set_state(
            state.RollOut(
                SERVICE.name, 'v2', 1, phase, self.now, 1e6, base='v1'
            ),
            next(self._rows),
        )
        if phase is state.Phase.COMPLETED:
            self.version = 'v2'
        if phase.is_over:
            self._servers = [
                server
                for server in self._servers
                if self._version(server) == self.version
            ]

    def _version(self, server):
        return self._version_by_server.setdefault(server, self.version)

    def _targets(self, counts):
        self._update_entries()
        # Until it is over, servers beyond the order run beside.
        beside = [
            server
            for server in self._servers
            if self._version(server) != self.version
        ]
        targets = self._orders.target_counts(SERVICE, self.now)
        for server in beside:
            self._servers.remove(server)
        for pool, count in targets.items():
            if self._orders.serving(pool) < count:
                self._ordered.pop(pool, None)
            self._order(pool, count)
        if self._refused_at == self.now:
            self._orders.record_refusal(SERVICE.name, self.now)
        self._servers += beside
        return {}

    def _update_entries(self):
        present = {
            server for server in self._servers if server.ready_at <= self.now
        }
        for server in present - self._id_by_server.keys():
            number = next(self._numbers)
            self._id_by_server[server] = ids.WorkerId(f'i-{number}')
            self._registry.put(
                records.BackendServer(
                    self._id_by_server[server],
                    records.StartedMs(1),
                    SERVICE.name,
                    types.Address('10.0.0.1', number),
                    server.pool.data_centre,
                    32,
                    records.ServerState.READY,
                    reclaimable=server.pool.reclaimable,
                    version=self._version(server),
                ),
                self.now,
            )
        for server in self._id_by_server.keys() - present:
            ended_at = self._ended_at.setdefault(server, self.now)
            if self.now - ended_at >= self.entry_s(server):
                self._registry.remove(self._id_by_server[server], self.now)

    def entry_s(self, server):
        """Return how long the entry of a server outlasts it."""
        return ENTRY_S if self._version(server) != self.version else 0.0

    def carrying(self):
        """Return the servers of the version that serves."""
        return [
            server
            for server in self._servers
            if server.ready_at <= self.now
            and self._version(server) == self.version
        ]
