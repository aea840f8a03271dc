"""Node processes connected to platform stand-ins through fault proxies."""

import asyncio
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any, Mapping

import yaml

from . import fault_proxy
from ..gateway import duties
from . import node_with_clock
from ..standins import platform_cloud
from ..standins import platform_server
from ..standins import ports
from ..standins import row_store

IP = '127.0.0.1'
ENGINE_SERVICE = 'engines'
PLAIN_SERVICE = 'plain'
DATA_CENTRE = 'levis-est'
EVENTS_PER_STREAM = 6
EVENT_INTERVAL_S = 0.03
BACKENDS_PER_SERVICE = 3
READY_TIMEOUT_S = 20.0
READY_CHECK_TIMEOUT_S = 0.5
READY_POLL_INTERVAL_S = 0.1
# Last octet of the first node's address. Each node has its own loopback
# address, because all nodes use the same port numbers.
FIRST_NODE_OCTET = 20
NODE_BOUNDS = {
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
    'exposureShare': 0.1,
    'exposureSlack': 50,
    'rollbackMs': 5000,
}
FIRST_VERSION = 'v1'
# Failing answers of a server of a bad version; it never gets as many requests.
BAD_ANSWERS = 10_000


@dataclasses.dataclass(slots=True)
class Node:
    """A node process and its proxies to the store and the cloud API."""

    number: int
    ip: str
    store_proxy: fault_proxy.FaultProxy
    cloud_proxy: fault_proxy.FaultProxy
    folder: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def handles_sighup(self) -> bool:
        """Whether the process already handles or ignores SIGHUP.

        SIGHUP ends a process whose interpreter is still starting; a supervisor
        would then restart it with the new settings.
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
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


@dataclasses.dataclass(slots=True)
class Backend:
    """A backend server and the proxy in front of it."""

    server: platform_server.PlatformServer
    proxy: fault_proxy.FaultProxy
    version: str = FIRST_VERSION
    is_stopped: bool = False


class Deployment:
    """All processes and stand-ins of one run."""

    def __init__(
        self,
        folder: pathlib.Path,
        nodes: int,
        host_limits: Mapping[str, Any] | None = None,
        caller_limits: Mapping[str, Any] | None = None,
    ) -> None:
        self.folder = folder
        # Limits in the settings of the nodes and in the configuration.
        self._host_limits = {'linkMbps': 100.0, **(host_limits or {})}
        self._caller_limits = caller_limits
        self.store = row_store.RowStore()
        self.cloud = platform_cloud.PlatformCloud()
        self.backends: list[Backend] = []
        # Includes stopped servers, whose requests are checked too.
        self.all_backends: list[Backend] = []
        # Software versions whose servers have been ended for good.
        self.ended_versions: set[tuple[str, str]] = set()
        self.bad_versions: set[tuple[str, str]] = set()
        self.version = 1
        self.valid_keys = ['key-north', 'key-south']
        # Keys that callers send; includes recently revoked ones.
        self.client_keys = list(self.valid_keys)
        self._node_count = nodes
        self.nodes: list[Node] = []
        (
            self.front_port,
            self.ready_port,
            self._peer_port,
            self.metrics_port,
        ) = ports.reserve(4)

    async def start(self) -> None:
        """Start all components and wait until all nodes are ready."""
        store_port = await self.store.start(IP)
        cloud_port = await self.cloud.start(IP)
        for _ in range(BACKENDS_PER_SERVICE):
            await self.add_backend(PLAIN_SERVICE)
            await self.add_backend(ENGINE_SERVICE)
        self.publish_configuration()
        for number in range(self._node_count):
            folder = self.folder / f'node-{number}'
            folder.mkdir(parents=True)
            node = Node(
                number,
                f'127.0.0.{FIRST_NODE_OCTET + number}',
                fault_proxy.FaultProxy(IP),
                fault_proxy.FaultProxy(IP),
                folder,
            )
            await node.store_proxy.start(f'{IP}:{store_port}')
            await node.cloud_proxy.start(f'{IP}:{cloud_port}')
            self._write_settings(node)
            self.nodes.append(node)
            self.start_node(node)
        await self.wait_until_ready(READY_TIMEOUT_S)

    def _write_settings(self, node: Node) -> None:
        settings: dict[str, Any] = {
            'node': f'node-{node.number}',
            'machineClass': 'front',
            'ip': node.ip,
            'zone': DATA_CENTRE,
            'zones': {DATA_CENTRE: 'capitale-qc'},
            'listen': {
                'front': f'{node.ip}:{self.front_port}',
                'readiness': f'{node.ip}:{self.ready_port}',
            },
            'internalPorts': [self._peer_port, self.metrics_port],
            'limits': self._host_limits,
            'bounds': NODE_BOUNDS,
            'platform': {'address': node.store_proxy.address},
            'cloudApi': {
                'address': node.cloud_proxy.address,
                'duties': ['usage_report'],
            },
        }
        (node.folder / 'boot.yaml').write_text(yaml.safe_dump(settings))
        self.set_clock_offset(node, 0.0)

    def set_clock_offset(self, node: Node, offset_s: float) -> None:
        """Set the offset of a node's wall clock."""
        path = node.folder / 'clock'
        temporary_path = path.with_suffix('.new')
        temporary_path.write_text(str(offset_s))
        temporary_path.replace(path)

    def start_node(self, node: Node) -> None:
        """Start the process of a node unless it is running."""
        if node.is_running:
            return
        node.starts += 1
        # Appended to across restarts, so that a failed run can be analysed.
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
        """Whether the readiness endpoint of a node answers with 200."""
        try:
            async with asyncio.timeout(READY_CHECK_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    node.ip, self.ready_port
                )
                writer.write(b'GET /ready HTTP/1.1\r\nHost: node\r\n\r\n')
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    async def wait_until_ready(self, seconds: float) -> list[Node]:
        """Wait until all nodes are ready; return those not ready in time."""
        until = time.monotonic() + seconds
        while True:
            ready = await asyncio.gather(*map(self.is_ready, self.nodes))
            not_ready = [
                node
                for node, is_ready in zip(self.nodes, ready, strict=True)
                if not is_ready
            ]
            if not not_ready or time.monotonic() > until:
                return not_ready
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    async def replace_backend(self, backend: Backend) -> None:
        """Start another of the same version, unless that has ended."""
        service = backend.server.service
        if (service, backend.version) not in self.ended_versions:
            await self.add_backend(service, backend.version)

    async def add_backend(
        self, service: str, version: str = FIRST_VERSION
    ) -> Backend:
        """Start a backend server and register it."""
        server = platform_server.PlatformServer(
            f'{service}-{len(self.all_backends)}',
            service,
            EVENTS_PER_STREAM if service == ENGINE_SERVICE else 0,
        )
        server.event_interval_s = EVENT_INTERVAL_S
        if (service, version) in self.bad_versions:
            server.behaviours = [platform_server.Behaviour.ERROR] * BAD_ANSWERS
        await server.start(IP)
        backend = Backend(server, fault_proxy.FaultProxy(IP), version)
        await backend.proxy.start(server.address)
        self.backends.append(backend)
        self.all_backends.append(backend)
        self.register(backend)
        return backend

    def register(self, backend: Backend, **fields: Any) -> None:
        """Write the registration entry of a backend server."""
        self.store.put(
            'servers',
            backend.server.id,
            backend.server.entry(
                **{
                    'address': backend.proxy.address,
                    'version': backend.version,
                    **fields,
                }
            ),
        )

    def stop_backend(self, backend: Backend) -> None:
        """Stop a backend server, reset its connections, remove its entry."""
        backend.is_stopped = True
        if backend in self.backends:
            self.backends.remove(backend)
        if backend.server.listener is not None:
            backend.server.listener.close()
        backend.proxy.faults.resets_new_connections = True
        backend.proxy.reset_connections()
        self.store.remove('servers', backend.server.id)

    def end_version(self, service: str, version: str) -> None:
        """Stop all backend servers of a software version at once."""
        self.ended_versions.add((service, version))
        for backend in list(self.backends):
            if (backend.server.service, backend.version) == (service, version):
                self.stop_backend(backend)

    def duty_holder(self) -> Node | None:
        """Return the node that holds the duties by the row of the term."""
        row = self.store.read(duties.TABLE, duties.KEY)
        return next(
            (
                node
                for node in self.nodes
                if row and row['holder'] == f'node-{node.number}'
            ),
            None,
        )

    def publish_configuration(self) -> None:
        """Write the next configuration version to the store."""
        self.version += 1
        document = platform_server.configuration(
            self.version, (ENGINE_SERVICE, PLAIN_SERVICE)
        )
        if self._caller_limits is not None:
            document['limits'] = self._caller_limits
        for tenant in document['tenants']:
            tenant['ratePerS'] = tenant['burst'] = 0
            tenant['apiKeys'] = [
                key
                for key in self.valid_keys
                if key.startswith(f'key-{tenant["name"]}')
            ]
        self.store.put('op', 'config', document)

    def stop(self) -> None:
        """Kill all node processes of this run."""
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
