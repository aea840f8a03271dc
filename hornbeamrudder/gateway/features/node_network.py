"""Nodes that exchange reports in virtual time, over a network that fails."""

import heapq
import itertools
import random
from unittest import mock

from hornbeamrudder.core import ids
from hornbeamrudder.core import types
from hornbeamrudder.gateway import clock
from hornbeamrudder.gateway import exchange
from hornbeamrudder.gateway.features import quiet_log
from hornbeamrudder.gateway import measures
from hornbeamrudder.gateway import messages
from hornbeamrudder.gateway import node_state
from hornbeamrudder.gateway import peers
from hornbeamrudder.gateway import records
from hornbeamrudder.gateway import retry_budget
from hornbeamrudder.gateway import server_registry
from hornbeamrudder.gateway import server_selection
from hornbeamrudder.gateway import table_relay
from hornbeamrudder.gateway import usage

STEP_S = 0.02
DELAY_S = 0.002
LOSS = 0.01
SERVICE = records.BackendService(
    ids.ServiceName('s'), 100, records.Engine(16, 500_000)
)
ACCOUNT = records.ClientAccount(
    ids.AccountId('a'), ('k',), None, True, 200, 40000.0, 40000.0
)
# Large against the users' slack.
LARGE_ACCOUNT = records.ClientAccount(
    ids.AccountId('b'), ('l',), None, True, 200, 350000.0, 350000.0
)
SERVERS = 60


def server_entry(number):
    """Entry of an engine that is ready."""
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
    """One version with one service and one account."""
    return records.Configuration(
        ids.Version(1),
        {},
        {SERVICE.name: SERVICE},
        {ACCOUNT.id: ACCOUNT, LARGE_ACCOUNT.id: LARGE_ACCOUNT},
        {},
        records.CallerLimits(),
    )


class VirtualNode:
    """One node; everything but its messages is left out."""

    def __init__(self, network, number, started):
        self.network = network
        self.number = number
        self.address = types.Address('10.0.0.1', number)
        self.sent = 0
        node = ids.NodeId(f'n{number}')
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
            log=quiet_log.QuietLog(),
            measures=measures.Measures(),
            servers=server_registry.ServerRegistry(
                ids.DataCentreName('d'), lambda record: None
            ),
            peers=peers.Peers(node),
            usage=usage.Counter(5.0),
            retry_budget=retry_budget.RetryBudget(0.2, 10.0, 200.0),
            rng=random.Random(number),
        )
        self.state.configuration = configuration()
        self.state.peers.connection_made(self)
        self.relay = table_relay.TableRelay(
            node,
            {},
            self.state.peers.send_to,
            self.state.peers.hubs,
            lambda: self.state.peers.uses_hubs,
            self.state.peers.heard_nodes,
        )
        self.exchange = exchange.Exchange(
            self.state, self.relay, lambda: 0, lambda: None
        )
        self.state.peers.on_message = self.exchange.take
        for server in range(SERVERS):
            self.state.servers.put(server_entry(server), 0.0)
        self.state.fill_buckets()

    def sendto(self, data, address):
        """Send a datagram; called by `Peers`."""
        self.sent += 1
        self.network.send(self, address[1], data)

    def place(self, tokens=2000):
        """Start a request at an engine."""
        return self.state.servers.reserve(
            SERVICE,
            messages.RequestMetadata(None, prompt_tokens=tokens),
            server_selection.Requirements(tokens, 90.0, 1e6),
            (),
            self.state.rng,
            clock.now(),
        )


class Network:
    """All nodes, and the datagrams on their way."""

    def __init__(self, count):
        self.now = 1000.0
        self.rng = random.Random(5)
        self.cut = lambda one, other: False
        self._queue = []
        self._order = itertools.count()
        with self.clock():
            self.node_by_number = {
                number: VirtualNode(self, number, 1) for number in range(count)
            }
            self.register()

    def clock(self):
        """Patch the clock of the nodes."""
        return mock.patch.multiple(
            clock, now=lambda: self.now, wall=lambda: 1e9 + self.now
        )

    def register(self):
        """Tell all nodes which are registered."""
        known = {
            node.state.settings.node: peers.KnownNode(
                node.address, node.state.settings.link_mbps
            )
            for node in self.node_by_number.values()
        }
        for node in self.node_by_number.values():
            node.state.peers.set_known(known)

    def restart(self, number):
        """Start a node again, without what it knew."""
        with self.clock():
            before = self.node_by_number[number].state.started
            self.node_by_number[number] = VirtualNode(self, number, before + 1)
            self.register()

    def send(self, sender, number, data):
        """Take a datagram, unless it is lost."""
        if self.rng.random() < LOSS or self.cut(sender.number, number):
            return
        heapq.heappush(
            self._queue,
            (
                self.now + DELAY_S,
                next(self._order),
                sender.address,
                number,
                data,
            ),
        )

    def run(self, seconds, on_step=lambda: None):
        """Let time pass."""
        end = self.now + seconds
        with self.clock():
            while self.now < end:
                self.now += STEP_S
                while self._queue and self._queue[0][0] <= self.now:
                    _, _, source, number, data = heapq.heappop(self._queue)
                    node = self.node_by_number.get(number)
                    if node is not None:
                        node.state.peers.datagram_received(
                            data, (source.ip, source.port)
                        )
                on_step()
                for node in self.node_by_number.values():
                    node.exchange.step()
