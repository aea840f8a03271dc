"""Test harness: a node in this process with stand-ins of the platform."""

import asyncio
import socket
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
from hornbeamrudder.standins import row_store

IP = '127.0.0.1'
ENGINE = 'engines'
PLAIN = 'plain'
READY_TIMEOUT_S = 8.0


def free_port(kind=socket.SOCK_STREAM):
    """Return a port that is currently unused."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((IP, 0))
        return probe.getsockname()[1]


class MemoryLog:
    """Stores log lines for assertions."""

    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        """Store one line."""
        self.lines.append((event, fields))

    warning = error = info


class Trial:
    """Stand-ins and one node, as an asynchronous context manager."""

    def __init__(self, plain=2, engines=2, events=6, bounds=None, **changes):
        self.store = row_store.RowStore()
        self.cloud = platform_cloud.PlatformCloud()
        self.plain = [
            platform_server.PlatformServer(f'p-{number}', PLAIN)
            for number in range(plain)
        ]
        self.engines = [
            platform_server.PlatformServer(f'e-{number}', ENGINE, events)
            for number in range(engines)
        ]
        self.log = MemoryLog()
        self.bounds = bounds or records.Bounds(
            retry_slack=50.0, quota_slack_tokens=0.0
        )
        self.changes = changes
        self.duties = frozenset()
        self.node = None
        self.version = 1

    async def __aenter__(self):
        store_port = await self.store.start(IP)
        cloud_port = await self.cloud.start(IP)
        for server in (*self.plain, *self.engines):
            await server.start(IP)
            self.register(server)
        self.configure()
        self.settings = records.NodeSettings(
            node=ids.NodeId('node-1'),
            ip=IP,
            data_centre=ids.DataCentreName('levis-est'),
            front=types.Address(IP, free_port()),
            readiness=types.Address(IP, free_port()),
            peer_port=free_port(socket.SOCK_DGRAM),
            metrics_port=free_port(),
            store=types.Address(IP, store_port),
            cloud=types.Address(IP, cloud_port),
            duties=self.duties,
            data_centres=(ids.DataCentreName('levis-est'),),
            row_bytes=65536,
            bounds=self.bounds,
        )
        self.node = node.Node(self.settings, adapter, self.log)
        self.task = asyncio.create_task(self.node.run())
        until = time.monotonic() + READY_TIMEOUT_S
        expected = len(self.plain) + len(self.engines)
        while not (
            self.node.is_ready()
            and len(self.node.state.servers.by_id) == expected
        ):
            assert time.monotonic() < until, self.log.lines[-5:]
            assert not self.task.done(), self.task.exception()
            await asyncio.sleep(0.01)
        return self

    async def __aexit__(self, *_):
        self.task.cancel()
        await asyncio.wait([self.task])
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    def configure(self, **changes):
        """Write the next version of the configuration."""
        self.version += 1
        self.store.put(
            'op',
            'config',
            platform_server.configuration(
                self.version, (ENGINE, PLAIN), **{**self.changes, **changes}
            ),
        )

    def register(self, server, **fields):
        """Write the entry of a backend server."""
        self.store.put('servers', server.id, server.entry(**fields))

    def runs(self, request_id=None):
        """Return requests received by backend servers, in server order."""
        return [
            run
            for server in (*self.plain, *self.engines)
            for run in server.requests
            if request_id in (None, run.request_id)
        ]

    async def open(self):
        """Open a connection to the node."""
        return await asyncio.open_connection(IP, self.settings.front.port)

    async def ask(self, path, connection=None, **options):
        """Send one request and return the response."""
        own = connection is None
        reader, writer = connection or await self.open()
        started = time.monotonic()
        writer.write(platform_caller.request_bytes(path, **options))
        answer = await platform_caller.read_response(reader, started)
        if own:
            writer.close()
        return answer


def play(scenario, **options) -> Any:
    """Run one scenario with a new harness."""

    async def run():
        async with Trial(**options) as trial:
            return await asyncio.wait_for(scenario(trial), 25)

    return asyncio.run(run())
