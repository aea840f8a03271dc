"""Real nodes as processes, between stand-ins of the platform and links."""

import asyncio
import dataclasses
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import Any

import yaml

from . import link
from . import node_with_clock
from ..standins import platform_cloud
from ..standins import platform_server
from ..standins import row_store

IP = '127.0.0.1'
ENGINE = 'engines'
PLAIN = 'plain'
DATA_CENTRE = 'levis-est'
EVENTS = 6
READY_TIMEOUT_S = 20.0
# Each node has an address of its own in the loopback range, as the ports
# between nodes are the same on all of them.
FIRST_NODE_ADDRESS = 20
BOUNDS = {
    'revokeMs': 5000,
    'drainMs': 2000,
    'graceS': 8,
    'contactMs': 3000,
    'leaseMs': 3000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetSlack': 200,
    'quotaWindowS': 8,
    'quotaSlack': 140000,
    'usageWindowS': 5,
    'usageLateS': 10,
    'strictRevoke': True,
}


def free_port(kind: socket.SocketKind) -> int:
    """A port that nobody uses now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((IP, 0))
        port: int = probe.getsockname()[1]
        return port


@dataclasses.dataclass(slots=True)
class Node:
    """One node's process, and the links from it to the platform."""

    number: int
    ip: str
    store_link: link.Link
    cloud_link: link.Link
    folder: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0

    @property
    def is_running(self) -> bool:
        """Whether the process exists."""
        return self.process is not None and self.process.poll() is None

    def survives_hangup(self) -> bool:
        """Whether the process runs far enough to ignore a hang-up signal.

        The interpreter's own start can't be protected from it; a supervisor
        then starts the process again, with the new settings.
        """
        if not self.is_running or self.process is None:
            return False
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        masks = [
            int(line.split()[1], 16)
            for line in status.splitlines()
            if line.startswith(('SigIgn:', 'SigCgt:'))
        ]
        return any(mask >> (signal.SIGHUP - 1) & 1 for mask in masks)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it exists."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


@dataclasses.dataclass(slots=True)
class Backend:
    """A backend server, and the link to it."""

    server: platform_server.PlatformServer
    link: link.Link
    is_gone: bool = False


class Deployment:
    """All programs of one run."""

    def __init__(self, folder: pathlib.Path, nodes: int) -> None:
        self.folder = folder
        self.store = row_store.RowStore()
        self.cloud = platform_cloud.PlatformCloud()
        self.backends: list[Backend] = []
        # Also those that are gone; their runs count.
        self.all_backends: list[Backend] = []
        self.version = 1
        self.keys = ['key-north', 'key-south']
        # Those that callers use; some may have been taken away.
        self.used_keys = list(self.keys)
        self._count = nodes
        self.nodes: list[Node] = []
        self.front_port = free_port(socket.SOCK_STREAM)
        self._ready_port = free_port(socket.SOCK_STREAM)
        self._peer_port = free_port(socket.SOCK_DGRAM)
        self._metrics_port = free_port(socket.SOCK_STREAM)

    async def start(self) -> None:
        """Start everything, and wait until all nodes are ready."""
        store_port = await self.store.start(IP)
        cloud_port = await self.cloud.start(IP)
        for _ in range(3):
            await self.add_backend(PLAIN)
            await self.add_backend(ENGINE)
        self.configure()
        for number in range(self._count):
            folder = self.folder / f'node-{number}'
            folder.mkdir(parents=True)
            node = Node(
                number,
                f'127.0.0.{FIRST_NODE_ADDRESS + number}',
                link.Link(IP),
                link.Link(IP),
                folder,
            )
            await node.store_link.start(f'{IP}:{store_port}')
            await node.cloud_link.start(f'{IP}:{cloud_port}')
            self._write_settings(node)
            self.nodes.append(node)
            self.start_node(node)
        await self.wait_ready(READY_TIMEOUT_S)

    def _write_settings(self, node: Node) -> None:
        settings: dict[str, Any] = {
            'node': f'node-{node.number}',
            'machineClass': 'front',
            'ip': node.ip,
            'zone': DATA_CENTRE,
            'zones': {DATA_CENTRE: 'capitale-qc'},
            'listen': {
                'front': f'{node.ip}:{self.front_port}',
                'readiness': f'{node.ip}:{self._ready_port}',
            },
            'internalPorts': [self._peer_port, self._metrics_port],
            'limits': {'linkMbps': 100.0},
            'bounds': BOUNDS,
            'platform': {'address': node.store_link.address},
            'cloudApi': {
                'address': node.cloud_link.address,
                'duties': ['usage_report'],
            },
        }
        (node.folder / 'boot.yaml').write_text(yaml.safe_dump(settings))
        self.step_clock(node, 0.0)

    def step_clock(self, node: Node, offset_s: float) -> None:
        """Step the time of day that a node sees."""
        path = node.folder / 'clock'
        written = path.with_suffix('.new')
        written.write_text(str(offset_s))
        written.replace(path)

    def start_node(self, node: Node) -> None:
        """Start the process of a node, unless it runs."""
        if node.is_running:
            return
        node.starts += 1
        # The whole log of a run is kept, for the analysis of what it finds.
        with open(node.folder / 'log', 'ab') as log:
            node.process = subprocess.Popen(
                [sys.executable, '-m', node_with_clock.__name__],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=os.environ
                | {
                    'HORNBEAMRUDDER_CONFIG': str(node.folder / 'boot.yaml'),
                    node_with_clock.OFFSET_VARIABLE: str(
                        node.folder / 'clock'
                    ),
                },
            )

    async def is_ready(self, node: Node) -> bool:
        """Whether a node reports itself ready."""
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(
                    node.ip, self._ready_port
                )
                writer.write(b'GET /ready HTTP/1.1\r\nHost: node\r\n\r\n')
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    async def wait_ready(self, seconds: float) -> list[Node]:
        """Wait until all nodes are ready; returns those that are not."""
        until = time.monotonic() + seconds
        while True:
            ready = await asyncio.gather(*map(self.is_ready, self.nodes))
            missing = [
                node
                for node, is_ready in zip(self.nodes, ready, strict=True)
                if not is_ready
            ]
            if not missing or time.monotonic() > until:
                return missing
            await asyncio.sleep(0.1)

    # Platform

    async def add_backend(self, service: str) -> Backend:
        """Start a backend server and register it."""
        server = platform_server.PlatformServer(
            f'{service}-{len(self.all_backends)}',
            service,
            EVENTS if service == ENGINE else 0,
        )
        server.event_interval_s = 0.03
        await server.start(IP)
        backend = Backend(server, link.Link(IP))
        await backend.link.start(server.address)
        self.backends.append(backend)
        self.all_backends.append(backend)
        self.register(backend)
        return backend

    def register(self, backend: Backend, **fields: Any) -> None:
        """Write the entry of a backend server."""
        self.store.put(
            'servers',
            backend.server.id,
            backend.server.entry(
                **{'address': backend.link.address, **fields}
            ),
        )

    def end_backend(self, backend: Backend) -> None:
        """End a backend server: its listener, connections and entry."""
        backend.is_gone = True
        if backend in self.backends:
            self.backends.remove(backend)
        if backend.server.listener is not None:
            backend.server.listener.close()
        backend.link.faults.refuses = True
        backend.link.reset()
        self.store.remove('servers', backend.server.id)

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        document = platform_server.configuration(self.version, (ENGINE, PLAIN))
        for tenant in document['tenants']:
            tenant['ratePerS'] = tenant['burst'] = 0
            tenant['apiKeys'] = [
                key
                for key in self.keys
                if key.startswith(f'key-{tenant["name"]}')
            ]
        self.store.put('op', 'config', document)

    def stop(self) -> None:
        """End all processes that this run has started."""
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
