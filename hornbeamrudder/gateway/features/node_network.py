"""Simulation in virtual time of nodes that exchange datagrams."""

import heapq
import itertools
import random
from unittest import mock

from hornbeamrudder.core import ids
from hornbeamrudder.core import types
from hornbeamrudder.gateway import clock
from hornbeamrudder.gateway import exchange
from hornbeamrudder.gateway.features import null_log
from hornbeamrudder.gateway import messages
from hornbeamrudder.gateway import metrics
from hornbeamrudder.gateway import node_state
from hornbeamrudder.gateway import part_guard
from hornbeamrudder.gateway import peers
from hornbeamrudder.gateway import records
from hornbeamrudder.gateway import retry_budget
from hornbeamrudder.gateway import server_registry
from hornbeamrudder.gateway import server_selection
from hornbeamrudder.gateway import store_health
from hornbeamrudder.gateway import table_relay
from hornbeamrudder.gateway import usage

STEP_S = 0.02
LATENCY_S = 0.002
LOSS_RATE = 0.01
SERVICE = records.BackendService(
    ids.ServiceName('s'), 100, records.Engine(16, 500_000)
)
ACCOUNT = records.ClientAccount(
    ids.AccountId('a'), ('k',), None, True, 200, 40000.0, 40000.0
)
# Its rate is large relative to the limit's tolerance.
LARGE_ACCOUNT = records.ClientAccount(
    ids.AccountId('b'), ('l',), None, True, 200, 350000.0, 350000.0
)
# The largest account of a deployment with 195 nodes.
HUGE_ACCOUNT = records.ClientAccount(
    ids.AccountId('c'), ('m',), None, True, 200, 1_270_000.0, 1_270_000.0
)
SERVER_COUNT = 60


def server_entry(number):
    """Return the registration entry of a ready engine."""
    return records.BackendServer(
        ids.WorkerId(f'w{number}'),
        records.StartedMs(1),
        SERVICE.name,
        types.Address('10.1.0.1', number),
        ids.DataCentreName('d'),
        16,
        records.ServerState.READY,
    )


def configuration():
    """Return a configuration with one service and two accounts."""
    return records.Configuration(
        ids.Version(1),
        {},
        {SERVICE.name: SERVICE},
        {
            account.id: account
            for account in (ACCOUNT, LARGE_ACCOUNT, HUGE_ACCOUNT)
        },
        {},
        records.CallerLimits(),
    )


class SimulatedNode:
    """Node without HTTP: state, table relay and report exchange.

    Attributes
    ----------
    sent_count : int
        Number of datagrams sent.
    """

    def __init__(self, network, number, started):
        self.network = network
        self.number = number
        self.address = types.Address('10.0.0.1', number)
        self.sent_count = 0
        node = ids.NodeId(f'n{number}')
        node_metrics = metrics.Metrics()
        node_peers = peers.Peers(node)
        log = null_log.NullLog()
        self.state = node_state.NodeState(
            settings=records.NodeSettings(
                node,
                self.address.ip,
                ids.DataCentreName('d'),
                self.address,
                self.address,
                number,
                number,
                self.address,
                None,
                frozenset(),
                (),
                65536,
                records.Bounds(quota_slack_tokens=140_000.0),
                link_mbps=200.0 if number % 10 == 0 else 10.0,
            ),
            started=started,
            log=log,
            metrics=node_metrics,
            servers=server_registry.ServerRegistry(
                ids.DataCentreName('d'), lambda record: None
            ),
            peers=node_peers,
            usage=usage.Counter(5.0),
            retry_budget=retry_budget.RetryBudget(0.2, 10.0, 200.0),
            rng=random.Random(number),
            part_guard=part_guard.PartGuard(
                node, node_peers, log, node_metrics
            ),
        )
        self.state.configuration = configuration()
        self.state.peers.connection_made(self)
        self.relay = table_relay.TableRelay(
            node,
            {},
            self.state.peers.send_to,
            self.state.peers.hubs,
            lambda: self.state.peers.uses_hubs,
            self.state.peers.live_nodes,
            store_health.StoreHealth(),
        )
        self.exchange = exchange.ReportExchange(
            self.state, self.relay, lambda: 0, lambda: None
        )
        self.state.peers.on_message = self.exchange.handle_message
        for server in range(SERVER_COUNT):
            self.state.servers.put(server_entry(server), 0.0)
        self.state.create_buckets()

    def sendto(self, data, address):
        """Send a datagram; `Peers` calls this as its transport."""
        self.sent_count += 1
        self.network.send(self, address[1], data)

    def reserve_server(self, prompt_tokens=2000):
        """Reserve a slot at an engine and return the placement."""
        return self.state.servers.reserve(
            SERVICE,
            messages.RequestMetadata(None, prompt_tokens=prompt_tokens),
            server_selection.Requirements(prompt_tokens, 90.0, 1e6),
            (),
            self.state.rng,
            clock.now(),
        )


class SimulatedNetwork:
    """The nodes and the datagrams in transit, some of which are lost."""

    def __init__(self, count):
        self.now = 1000.0
        self.rng = random.Random(5)
        self.is_partitioned = lambda sender, receiver: False
        self._in_transit = []
        self._sequence = itertools.count()
        with self.patch_clock():
            self.node_by_number = {
                number: SimulatedNode(self, number, 1)
                for number in range(count)
            }
            self.set_known_nodes()

    def patch_clock(self):
        """Return a patch that makes the nodes use the virtual time."""
        return mock.patch.multiple(
            clock, now=lambda: self.now, wall=lambda: 1e9 + self.now
        )

    def set_known_nodes(self):
        """Set the list of registered nodes at each node."""
        known_by_id = {
            node.state.settings.node: peers.KnownNode(
                node.address, node.state.settings.link_mbps
            )
            for node in self.node_by_number.values()
        }
        for node in self.node_by_number.values():
            node.state.peers.set_known(known_by_id)

    def restart(self, number):
        """Replace a node by a new one without its state."""
        with self.patch_clock():
            previous_start = self.node_by_number[number].state.started
            self.node_by_number[number] = SimulatedNode(
                self, number, previous_start + 1
            )
            self.set_known_nodes()

    def stop(self, number):
        """Remove a node that has ended and its registration."""
        with self.patch_clock():
            del self.node_by_number[number]
            self.set_known_nodes()

    def start(self, number):
        """Add a node without state and its registration."""
        with self.patch_clock():
            self.node_by_number[number] = SimulatedNode(
                self, number, int(self.now * 1e3)
            )
            self.set_known_nodes()

    def send(self, sender, number, data):
        """Put a datagram in transit unless it is lost."""
        if self.rng.random() < LOSS_RATE or self.is_partitioned(
            sender.number, number
        ):
            return
        heapq.heappush(
            self._in_transit,
            (
                self.now + LATENCY_S,
                next(self._sequence),
                sender.address,
                number,
                data,
            ),
        )

    def advance(self, seconds, on_step=lambda: None):
        """Advance the virtual time in steps; call `on_step` in each."""
        end = self.now + seconds
        with self.patch_clock():
            while self.now < end:
                self.now += STEP_S
                while self._in_transit and self._in_transit[0][0] <= self.now:
                    _, _, source, number, data = heapq.heappop(
                        self._in_transit
                    )
                    node = self.node_by_number.get(number)
                    if node is not None:
                        node.state.peers.datagram_received(
                            data, (source.ip, source.port)
                        )
                on_step()
                for node in self.node_by_number.values():
                    node.exchange.step()
