"""A small deployment: nodes and workers as processes, and their platform."""

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import uuid
from typing import Any, Callable

from . import platform_services

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Loopback addresses of this run alone: a port that a crashed worker leaves must
# not become a port of another program while nodes still send there.
NETWORK = f'127.{random.randint(10, 250)}.{random.randint(10, 250)}'
IP = f'{NETWORK}.1'
# All nodes use the same ports, so each has an address of its own.
FIRST_OCTET = 20
ZONE = 'levis-est'
KEY = 'key-north'
ENGINES = 'engines'
PLAIN = 'plain'
# Figures of the users' site files.
BOUNDS = {
    'contactMs': 3000,
    'drainMs': 2000,
    'graceS': 8,
    'configApplyMs': 2000,
    'strictRevoke': True,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetSlack': 54,
    'quotaWindowS': 8,
    'quotaSlack': 140000,
    'requireFence': False,
    'leaseMs': 3000,
    'usageWindowS': 5,
    'usageLateS': 10,
}
READY_S = 30.0
POLL_S = 0.05


def has_trouble() -> bool:
    """Whether the script plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def configuration(version: int = 2) -> dict[str, Any]:
    """Return the operator's configuration: one route of each kind."""
    common = {'host': 'shop.example', 'public': False}
    return {
        'version': version,
        'routes': [
            {
                **common,
                'name': 'chat',
                'prefix': '/chat/',
                'kind': 'streaming',
                'timeoutMs': 12000,
                'targetLatencyMs': 500,
                'gapTargetMs': 600,
                'priority': 0,
                'service': ENGINES,
                'maxAttempts': 1,
                'streamResume': False,
                'sessionAffinity': True,
            },
            {
                **common,
                'name': 'plan',
                'prefix': '/plan/',
                'kind': 'streaming',
                'timeoutMs': 15000,
                'targetLatencyMs': 2000,
                'gapTargetMs': 600,
                'priority': 2,
                'service': ENGINES,
                'maxAttempts': 2,
                'streamResume': True,
                'sessionAffinity': True,
            },
            {
                **common,
                'name': 'book',
                'prefix': '/book/',
                'kind': 'unsafe',
                'timeoutMs': 1000,
                'targetLatencyMs': 125,
                'priority': 2,
                'service': PLAIN,
                'maxAttempts': 1,
            },
            {
                **common,
                'name': 'look',
                'prefix': '/look/',
                'kind': 'safe',
                'timeoutMs': 1000,
                'targetLatencyMs': 125,
                'priority': 2,
                'service': PLAIN,
                'maxAttempts': 2,
            },
        ],
        'services': [
            {
                'name': ENGINES,
                'maxConnections': 360,
                'healthCheck': '/health',
                'engine': {
                    'slots': 64,
                    'kvCapacityTokens': 631107,
                    'stride': 6,
                    'moves': True,
                    'backups': True,
                },
            },
            {
                'name': PLAIN,
                'maxConnections': 100,
                'healthCheck': '/health',
            },
        ],
        'limits': {
            'maxHeaderBytes': 8192,
            'maxBodyBytes': 1048576,
            'headerTimeoutMs': 5000,
            'idleTimeoutMs': 10000,
        },
        'tenants': [
            {
                'name': 'north',
                'apiKeys': [KEY],
                'unit': 'token_stream',
                'plainTokens': 200,
                'ratePerS': 0,
                'burst': 0,
            }
        ],
    }


@dataclasses.dataclass
class Worker:
    """A worker process and what it has reported."""

    id: str
    service: str
    process: asyncio.subprocess.Process
    born: int
    address: str = ''
    lost: bool = False


@dataclasses.dataclass
class Node:
    """A node process."""

    name: str
    ip: str
    process: asyncio.subprocess.Process


@dataclasses.dataclass
class Answer:
    """What a client has received."""

    request_id: str
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    complete: bool = False
    detail: str = ''


class Deployment:
    """Starts and ends all processes of one script."""

    def __init__(self, case: str) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.record_path = ROOT / 'review' / case / 'record.txt'
        self.store = platform_services.Store()
        self.cloud = platform_services.Cloud()
        self.workers: dict[str, Worker] = {}
        self.nodes: list[Node] = []
        self.events: list[dict[str, Any]] = []
        self.on_event: Callable[[dict[str, Any]], None] = lambda event: None
        self.started_at = time.monotonic()
        self._lines: list[str] = []
        self._readers: list[asyncio.Task[None]] = []

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self._lines.append(f'{time.monotonic() - self.started_at:8.3f} {text}')

    async def start(
        self, nodes: int, engines: int, plain: int, **worker_settings: Any
    ) -> None:
        """Start everything and wait until the nodes are ready."""
        store = await self.store.start(IP)
        cloud = await self.cloud.start(IP)
        for number in range(engines):
            await self.start_worker(
                f'engine-{number}', ENGINES, **worker_settings
            )
        for number in range(plain):
            await self.start_worker(f'plain-{number}', PLAIN)
        self.store.put('op', 'config', configuration())
        self._start_arguments = (_free_ports(4), store, cloud)
        for number in range(nodes):
            self.nodes.append(await self.start_node(number))
        await self._wait_until_ready(self._start_arguments[0][1])

    async def start_worker(
        self, name: str, service: str, **settings: Any
    ) -> Worker:
        """Start a worker process and register it."""
        if service == PLAIN:
            settings = {}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / 'review' / 'standins' / 'worker.py'),
            json.dumps({'id': name, 'ip': IP, **settings}),
            stdout=asyncio.subprocess.PIPE,
        )
        worker = Worker(name, service, process, int(time.time() * 1e3))
        self.workers[name] = worker
        self._readers.append(asyncio.create_task(self._read_events(worker)))
        until = time.monotonic() + READY_S
        while not worker.address:
            if time.monotonic() > until:
                raise RuntimeError(f'{name} does not start')
            await asyncio.sleep(POLL_S)
        self.register(worker)
        return worker

    def register(self, worker: Worker, **fields: Any) -> None:
        """Write the entry of a worker."""
        self.store.put(
            'servers',
            worker.id,
            {
                'service': worker.service,
                'address': worker.address,
                'zone': ZONE,
                'version': 'v1',
                'slots': 64 if worker.service == ENGINES else 6,
                'state': 'ready',
                'coldRemainingMs': 0,
                'sequence': 1,
                'born': worker.born,
                **fields,
            },
        )

    async def _read_events(self, worker: Worker) -> None:
        assert worker.process.stdout is not None
        while line := await worker.process.stdout.readline():
            event = json.loads(line)
            if event['event'] == 'listens':
                worker.address = event['address']
            self.events.append(event)
            fields = {
                name: value
                for name, value in event.items()
                if name not in ('at', 'worker', 'event') and value is not None
            }
            self.note(f'{worker.id} {event["event"]} {fields}')
            self.on_event(event)

    async def start_node(self, number: int) -> Node:
        """Start a node process."""
        ports, store, cloud = self._start_arguments
        front, ready, first, last = ports
        ip = f'{NETWORK}.{FIRST_OCTET + number}'
        settings = {
            'node': f'front-{ZONE}-{number + 1}',
            'role': 'node',
            'machineClass': 'front',
            'serves': ['front'],
            'ip': ip,
            'zone': ZONE,
            'region': 'capitale-qc',
            'zones': {ZONE: 'capitale-qc'},
            'listen': {'front': f'{ip}:{front}', 'readiness': f'{ip}:{ready}'},
            'internalPorts': [first, last],
            'bootstrap': True,
            'limits': {'cpuShare': 1.0, 'memoryMb': 300, 'linkMbps': 1000.0},
            'bounds': BOUNDS,
            'platform': {'address': store, 'form': 'table', 'rowBytes': 65536},
            'cloudApi': {'address': cloud, 'duties': ['usage_report']},
        }
        path = self.folder / f'{settings["node"]}.yaml'
        # JSON is a subset of YAML.
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        command = deploy['roles']['node']['run'].split()
        log = (self.folder / f'{settings["node"]}.log').open('ab')
        process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={
                **{
                    name: os.environ[name]
                    for name in ('PATH', 'HOME', 'LANG')
                    if name in os.environ
                },
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'HORNBEAMRUDDER_CONFIG': str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.front_port = front
        return Node(str(settings['node']), ip, process)

    async def _wait_until_ready(self, port: int) -> None:
        until = time.monotonic() + READY_S
        for node in self.nodes:
            while not await _is_ready(node.ip, port):
                if time.monotonic() > until:
                    raise RuntimeError(f'{node.name} is not ready')
                await asyncio.sleep(POLL_S)
        # Nodes hear of each other.
        await asyncio.sleep(1.0)

    async def request(
        self,
        path: str,
        node: int = 0,
        method: str = 'POST',
        budget_ms: int = 12000,
        headers: dict[str, str] | None = None,
        request_id: str = '',
    ) -> Answer:
        """Send one request on a new channel and read its answer."""
        answer = Answer(request_id or uuid.uuid4().hex[:16])
        self.note(f'client sends {answer.request_id} {method} {path}')
        try:
            async with asyncio.timeout(budget_ms / 1e3 + 1.0):
                await self._exchange(
                    answer, path, node, method, budget_ms, headers or {}
                )
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.detail = repr(error)
        except TimeoutError:
            answer.detail = 'no end before the time budget'
        self.note(
            f'client gets {answer.request_id} status {answer.status} '
            f'complete {answer.complete} bytes {len(answer.body)} '
            f'{answer.detail}'
        )
        return answer

    async def _exchange(
        self,
        answer: Answer,
        path: str,
        node: int,
        method: str,
        budget_ms: int,
        headers: dict[str, str],
    ) -> None:
        reader, writer = await asyncio.open_connection(
            self.nodes[node].ip, self.front_port
        )
        body = b'{}' if method == 'POST' else b''
        lines = [
            f'{method} {path} HTTP/1.1',
            'Host: shop.example',
            f'X-Hornbeamrudder-Request-Id: {answer.request_id}',
            f'X-Hornbeamrudder-Deadline-Remaining: {budget_ms}',
            f'Authorization: Bearer {KEY}',
            f'Content-Length: {len(body)}',
            *(f'{name}: {value}' for name, value in headers.items()),
        ]
        try:
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            head = await reader.readuntil(b'\r\n\r\n')
            first, *rest = head.decode('latin-1').split('\r\n')
            answer.status = int(first.split(' ')[1])
            answer.headers = {
                name.strip().lower(): value.strip()
                for name, colon, value in (
                    line.partition(':') for line in rest
                )
                if colon
            }
            if answer.headers.get('transfer-encoding') == 'chunked':
                while size := int(await reader.readline(), 16):
                    answer.body += await reader.readexactly(size)
                    await reader.readexactly(2)
                await reader.readexactly(2)
            else:
                length = int(answer.headers.get('content-length') or 0)
                answer.body = await reader.readexactly(length)
            answer.complete = True
        finally:
            writer.close()

    def lose(self, worker: Worker) -> None:
        """Kill the process of a worker."""
        self.note(f'{worker.id} is killed')
        worker.lost = True
        worker.process.kill()

    async def stop(self) -> None:
        """End all processes and write the record."""
        processes = [node.process for node in self.nodes]
        processes += [worker.process for worker in self.workers.values()]
        for process in processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in processes:
            await process.wait()
        for reader in self._readers:
            reader.cancel()
        self.record_path.write_text('\n'.join(self._lines) + '\n')
        shutil.rmtree(self.folder, ignore_errors=True)


async def _is_ready(ip: str, port: int) -> bool:
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(b'GET /ready HTTP/1.1\r\nHost: node\r\n\r\n')
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b' 200 ' in line


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind((f'{NETWORK}.{FIRST_OCTET}', 0))
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return sorted(ports)


def run(case: str, play: Callable[[Deployment], Any]) -> int:
    """Run one script; return its exit status.

    0 if the rule held, 1 if it was broken, 2 if the case could not run.
    """

    async def run_case() -> int:
        deployment = Deployment(case)
        try:
            broken = await play(deployment)
        except Exception as error:
            deployment.note(f'the case could not run: {error!r}')
            return 2
        finally:
            await deployment.stop()
        if broken is None:
            return 2
        return 1 if broken else 0

    return asyncio.run(run_case())
