"""Runs a node in the test process, with stand-ins of the platform."""

import asyncio
import os
import time
from typing import Any

from hornbeamrudder.core import ids
from hornbeamrudder.core import types
from hornbeamrudder.gateway import node
from hornbeamrudder.gateway import records
from hornbeamrudder.platform import adapter
from hornbeamrudder.standins import platform_caller
from hornbeamrudder.standins import platform_cloud
from hornbeamrudder.standins import platform_server
from hornbeamrudder.standins import ports
from hornbeamrudder.standins import row_store

# A loopback address of this process alone: a node of another test may still
# send to a port that an engine of that test has left.
IP = '127.{}.{}.2'.format(1 + os.getpid() // 256 % 250, os.getpid() % 256)
ENGINE_SERVICE = 'engines'
PLAIN_SERVICE = 'plain'
READY_TIMEOUT_S = 8.0
SCENARIO_TIMEOUT_S = 25


class MemoryLog:
    """Logger that stores its lines for assertions."""

    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        """Store one line."""
        self.lines.append((event, fields))

    warning = error = exception = info


class NodeHarness:
    """One node and its stand-ins, as an asynchronous context manager.

    Parameters
    ----------
    event_count : int
        Number of events in each stream of the engines.
    node_count : int
        Number of nodes; requests go to the first one unless said.
    configuration_overrides : dict
        Top-level fields of the configuration that replace the default ones.
    """

    def __init__(
        self,
        plain_count=2,
        engine_count=2,
        event_count=6,
        bounds=None,
        node_count=1,
        **configuration_overrides,
    ):
        self.store = row_store.RowStore()
        self.cloud = platform_cloud.PlatformCloud()
        self.plain_servers = [
            platform_server.PlatformServer(f'p-{number}', PLAIN_SERVICE)
            for number in range(plain_count)
        ]
        self.engines = [
            platform_server.PlatformServer(
                f'e-{number}', ENGINE_SERVICE, event_count
            )
            for number in range(engine_count)
        ]
        self.log = MemoryLog()
        self.bounds = bounds or records.Bounds(
            retry_slack=50.0, quota_slack_tokens=0.0
        )
        self.configuration_overrides = configuration_overrides
        self.duties = frozenset()
        self.node_count = node_count
        self.nodes = []
        self.tasks = []
        self.node = None
        self.version = 1

    async def __aenter__(self):
        store_port = await self.store.start(IP)
        cloud_port = await self.cloud.start(IP)
        for server in (*self.plain_servers, *self.engines):
            await server.start(IP)
            self.put_entry(server)
        self.put_configuration()
        self._platform_ports = store_port, cloud_port
        for number in range(self.node_count):
            self.start_node(number)
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not all(map(self._is_ready, self.nodes)):
            assert time.monotonic() < deadline, self.log.lines[-5:]
            for task in self.tasks:
                assert not task.done(), task.exception()
            await asyncio.sleep(0.01)
        self.node, self.task = self.nodes[0], self.tasks[0]
        self.settings = self.node.settings
        return self

    def start_node(self, number):
        """Start a node process with its own ports."""
        store_port, cloud_port = self._platform_ports
        front, readiness, peer, metrics = ports.reserve(4)
        settings = records.NodeSettings(
            node=ids.NodeId(f'node-{number + 1}'),
            ip=IP,
            data_centre=ids.DataCentreName('levis-est'),
            front=types.Address(IP, front),
            readiness=types.Address(IP, readiness),
            peer_port=peer,
            metrics_port=metrics,
            store=types.Address(IP, store_port),
            cloud=types.Address(IP, cloud_port),
            duties=self.duties,
            data_centres=(ids.DataCentreName('levis-est'),),
            row_bytes=65536,
            bounds=self.bounds,
        )
        self.nodes.append(node.Node(settings, adapter, self.log))
        self.tasks.append(asyncio.create_task(self.nodes[-1].run()))

    def _is_ready(self, started_node):
        expected_servers = len(self.plain_servers) + len(self.engines)
        return (
            started_node.is_ready()
            and len(started_node.state.servers.by_id) == expected_servers
            and started_node.state.peers.node_count == self.node_count
        )

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        await asyncio.wait(self.tasks)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    def put_configuration(self, **overrides):
        """Write the next version of the configuration."""
        self.version += 1
        self.store.put(
            'op',
            'config',
            platform_server.configuration(
                self.version,
                (ENGINE_SERVICE, PLAIN_SERVICE),
                **{**self.configuration_overrides, **overrides},
            ),
        )

    def put_entry(self, server, **fields):
        """Write the entry of a backend server."""
        self.store.put('servers', server.id, server.entry(**fields))

    def received_requests(self, request_id=None):
        """Return the requests that backend servers received, by server."""
        return [
            request
            for server in (*self.plain_servers, *self.engines)
            for request in server.requests
            if request_id in (None, request.request_id)
        ]

    async def connect(self, number=0):
        """Open a client connection to a node."""
        return await asyncio.open_connection(
            IP, self.nodes[number].settings.front.port
        )

    async def send_request(self, path, connection=None, number=0, **options):
        """Send one request to a node and return the response.

        Opens a connection for the request unless one is given.
        """
        closes_connection = connection is None
        reader, writer = connection or await self.connect(number)
        sent_at = time.monotonic()
        writer.write(platform_caller.request_bytes(path, **options))
        response = await platform_caller.read_response(reader, sent_at)
        if closes_connection:
            writer.close()
        return response


class BehaviourSequence(list):
    """Behaviours shared by all servers, used in order of arrival."""

    def __init__(self, order, names):
        super().__init__()
        self._order = order
        self._names = names

    def __bool__(self):
        return True

    def __getitem__(self, index):
        return platform_server.Behaviour(self._names[min(len(self._order), 1)])

    def pop(self, index=0):
        name = self._names[min(len(self._order), 1)]
        self._order.append(name)
        return platform_server.Behaviour(name)


def complete_stream(event_count):
    """Return the body of a stream that a client receives completely."""
    return b''.join(
        b'id: %d\ndata: piece %d\n\n' % (number, number)
        for number in range(1, event_count + 1)
    )


def run_scenario(scenario, **options) -> Any:
    """Run a scenario against a new node and return its result."""

    async def run():
        async with NodeHarness(**options) as harness:
            return await asyncio.wait_for(
                scenario(harness), SCENARIO_TIMEOUT_S
            )

    return asyncio.run(run())
