"""Stand-ins and process control for the scripts of the second review.

Only the standard library is used, so that nothing of the program under review
takes part in the judgement. Names on the wire are those of the users' pages.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import traceback
from typing import Any, Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVER_IP = '127.0.0.1'
FIRST_NODE_OCTET = 40
RESTART_DELAY_S = 0.5
P = 'X-Hornbeamrudder-'


def now() -> float:
    """Return seconds on the steady clock."""
    return time.monotonic()


class Record:
    """Writes what happens to `record.txt` in the folder of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = open(folder / 'record.txt', 'w', encoding='utf-8')
        self.started = now()

    def line(self, text: str) -> None:
        """Write one line with the time since the start."""
        self._file.write(f'{now() - self.started:8.3f} {text}\n')

    def close(self) -> None:
        """Close the file."""
        self._file.close()


# Plain HTTP/1.1


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Read a start line and the fields of a head, names in lower case."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    lines = head.split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            fields[name.lower()] = value.strip()
    return lines[0], fields


async def read_body(
    reader: asyncio.StreamReader, fields: dict[str, str]
) -> bytes:
    """Read a body with a length or in chunks."""
    if fields.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body
    return await reader.readexactly(int(fields.get('content-length') or 0))


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    end = writer.get_extra_info('socket')
    if end is not None and end.fileno() >= 0:
        end.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            b'\x01\x00\x00\x00\x00\x00\x00\x00',
        )
    writer.transport.abort()


def json_reply(status: int, body: Any) -> bytes:
    """Return an answer with a JSON body."""
    data = json.dumps(body).encode()
    return (
        f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(data)}\r\n\r\n'
    ).encode() + data


async def serve_json(
    handle: Callable[[str, str, dict[str, str], bytes], Any],
    ip: str,
) -> tuple[asyncio.Server, int]:
    """Serve calls; `handle` returns bytes, or None to close unanswered."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(' ', 2)
                answer = await handle(method, target, fields, body)
                if answer is None:
                    reset(writer)
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, ip, 0)
    return server, server.sockets[0].getsockname()[1]


# The platform


class Store:
    """The platform's store: rows, transactions, feed."""

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[tuple[str, str], tuple[int, str]] = {}
        self.history: list[tuple[int, str, str, str | None]] = []
        # Status for all calls, while the store is down.
        self.down: int | None = None
        self.on_write: Callable[[str, str], None] = lambda table, key: None
        # Returns None, 'lost' or a delay in seconds for a transaction.
        self.loses: Callable[[dict[str, Any]], Any] = lambda body: None
        self._changed = asyncio.Event()
        self.address = ''

    async def start(self) -> None:
        """Start listening."""
        self._server, port = await serve_json(self._handle, SERVER_IP)
        self.address = f'{SERVER_IP}:{port}'

    def put(self, table: str, key: str, value: Any) -> int:
        """Write a row for the operator or a server."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        return self._commit([(table, key, data)])

    def remove(self, table: str, key: str) -> int:
        """Remove a row."""
        return self._commit([(table, key, None)])

    def read(self, table: str, key: str) -> Any:
        """Return the value of a row; None if there is none."""
        row = self.rows.get((table, key))
        return json.loads(base64.b64decode(row[1])) if row else None

    def _commit(self, changes: list[tuple[str, str, str | None]]) -> int:
        self.version += 1
        for table, key, value in changes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (self.version, value)
            self.history.append((self.version, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        for table, key, _ in changes:
            self.on_write(table, key)
        return self.version

    def _reply(self, status: int, **body: Any) -> bytes:
        body.setdefault('ver', self.version)
        body['nowMs'] = now() * 1e3
        return json_reply(status, body)

    async def _handle(
        self, method: str, target: str, fields: dict[str, str], body: bytes
    ) -> bytes | None:
        if self.down is not None:
            return json_reply(self.down, {})
        path, _, text = target.partition('?')
        query = dict(
            pair.partition('=')[::2] for pair in text.split('&') if pair
        )
        query = {name: _unquote(value) for name, value in query.items()}
        if path == '/rows-get':
            return self._get(query)
        if path == '/rows-feed':
            return await self._feed(query)
        if path == '/rows-tx':
            return await self._transact(json.loads(body))
        return json_reply(404, {})

    def _get(self, query: dict[str, str]) -> bytes:
        keys = sorted(
            key
            for table, key in self.rows
            if table == query['table']
            and key >= query.get('from', '')
            and (not query.get('to') or key < query['to'])
        )
        limit = min(500, int(query.get('limit') or 500))
        return self._reply(
            200,
            rows=[
                {
                    'table': query['table'],
                    'part': '',
                    'key': key,
                    'value': self.rows[query['table'], key][1],
                    'ver': self.rows[query['table'], key][0],
                }
                for key in keys[:limit]
            ],
            hasMore=len(keys) > limit,
        )

    async def _feed(self, query: dict[str, str]) -> bytes:
        after = int(query['after'])
        until = now() + int(query.get('waitMs') or 0) / 1e3
        while True:
            rows = [
                {
                    'table': table,
                    'part': '',
                    'key': key,
                    'ver': version,
                    **(
                        {'tombstone': True}
                        if value is None
                        else {'value': value}
                    ),
                }
                for version, table, key, value in self.history
                if version > after and table == query['table']
            ]
            if rows or now() >= until:
                return self._reply(200, rows=rows)
            try:
                await asyncio.wait_for(self._changed.wait(), until - now())
            except TimeoutError:
                pass

    async def _transact(self, body: dict[str, Any]) -> bytes | None:
        lost = self.loses(body)
        if isinstance(lost, float):
            asyncio.get_running_loop().call_later(lost, self._apply, body)
            return None
        answer = self._apply(body)
        return None if lost == 'lost' else answer

    def _apply(self, body: dict[str, Any]) -> bytes:
        expected = body.get('expectedRev') or []
        if any(
            self.rows.get((item['table'], item['key']), (0, ''))[0]
            != item['ver']
            for item in expected
        ):
            return self._reply(
                412,
                rows=[
                    {
                        'table': item['table'],
                        'part': '',
                        'key': item['key'],
                        'value': self.rows[item['table'], item['key']][1],
                        'ver': self.rows[item['table'], item['key']][0],
                    }
                    for item in expected
                    if (item['table'], item['key']) in self.rows
                ],
            )
        self._commit(
            [
                (item['table'], item['key'], item['value'])
                for item in body.get('writes') or []
            ]
            + [
                (item['table'], item['key'], None)
                for item in body.get('remove') or []
            ]
        )
        return self._reply(200)


def _unquote(text: str) -> str:
    from urllib import parse

    return parse.unquote_plus(text)


class Cloud:
    """The platform's API for the duties."""

    def __init__(self) -> None:
        self.calls: list[tuple[float, str, str, int, Any]] = []
        self.address = ''

    async def start(self) -> None:
        """Start listening."""
        self._server, port = await serve_json(self._handle, SERVER_IP)
        self.address = f'{SERVER_IP}:{port}'

    async def _handle(
        self, method: str, target: str, fields: dict[str, str], body: bytes
    ) -> bytes | None:
        self.calls.append(
            (
                now(),
                target,
                fields.get(P.lower() + 'duty-holder', ''),
                int(fields.get(P.lower() + 'fencing-token') or 0),
                json.loads(body),
            )
        )
        return json_reply(200, {})


# Servers


class Server:
    """A server; `answer` decides what it does with a request.

    Attributes
    ----------
    got : list
        Time, request id and head fields of each request that arrived.
    ran : list
        Time and request id of each request that it began to work on.
    """

    def __init__(self, server_id: str, service: str, version: str) -> None:
        self.id, self.service, self.version = server_id, service, version
        self.got: list[tuple[float, str, dict[str, str]]] = []
        self.ran: list[tuple[float, str]] = []
        self.slots = 6
        self.address = ''
        self.born = int(time.time() * 1e3)
        self.connections: set[asyncio.StreamWriter] = set()
        self.answer: Callable[..., Any] = plain_answer

    async def start(self) -> None:
        """Start listening."""
        self._listener = await asyncio.start_server(self._serve, SERVER_IP, 0)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f'{SERVER_IP}:{port}'

    def stop(self) -> None:
        """End: close the listener and all connections."""
        self._listener.close()
        for writer in list(self.connections):
            reset(writer)

    def entry(self, state: str = 'ready', **fields: Any) -> dict[str, Any]:
        """Return the row of the server in the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'luzon-a',
            'version': self.version,
            'slots': self.slots,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': 1,
            'born': self.born,
            **fields,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                request_id = fields.get(P.lower() + 'request-id', '')
                self.got.append((now(), request_id, fields))
                expected = fields.get(P.lower() + 'expect-instance', self.id)
                if expected != self.id:
                    writer.write(
                        self.head(request_id, '421 Misdirected', length=0)
                    )
                    continue
                if not await self.answer(
                    self, line, fields, body, request_id, writer
                ):
                    return
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def head(
        self,
        request_id: str,
        status: str,
        *lines: str,
        length: int | None = None,
        sealed: bool = False,
    ) -> bytes:
        """Return the head of an answer."""
        fields = [
            f'HTTP/1.1 {status}',
            f'{P}Request-Id: {request_id}',
            *lines,
        ]
        if sealed:
            fields.append(f'{P}Response-Seal: seal.{self.id}.{request_id}')
        if length is not None:
            fields.append(f'Content-Length: {length}')
        return '\r\n'.join([*fields, '', '']).encode()


async def plain_answer(
    server: Server,
    line: str,
    fields: dict[str, str],
    body: bytes,
    request_id: str,
    writer: asyncio.StreamWriter,
) -> bool:
    """Work for 10 ms and answer 200."""
    server.ran.append((now(), request_id))
    await asyncio.sleep(0.01)
    data = f'answer to {request_id} of {server.id}'.encode()
    writer.write(
        server.head(request_id, '200 OK', length=len(data), sealed=True) + data
    )
    return True


# Clients


async def send(
    node: 'Node',
    path: str,
    request_id: str,
    method: str = 'POST',
    budget_ms: int = 1000,
    fields: tuple[str, ...] = (),
    body: bytes = b'',
    timeout_s: float = 15.0,
) -> tuple[int, dict[str, str], bytes, bool]:
    """Send one request on a new connection.

    Returns
    -------
    tuple
        Status (0 without a head), fields, body, and whether it is whole.
    """
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: quiz.example',
        f'{P}Request-Id: {request_id}',
        f'{P}Deadline-Remaining: {budget_ms}',
        'Authorization: Bearer key-one',
        f'Content-Length: {len(body)}',
        *fields,
    ]
    status, head, data = 0, {}, b''
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                node.ip, node.ports[0]
            )
            writer.write('\r\n'.join([*lines, '', '']).encode() + body)
            line, head = await read_head(reader)
            status = int(line.split()[1])
            if head.get('transfer-encoding', '') == 'chunked':
                while True:
                    size = int(await reader.readuntil(b'\r\n'), 16)
                    chunk = await reader.readexactly(size + 2)
                    if not size:
                        return status, head, data, True
                    data += chunk[:-2]
            data = await reader.readexactly(
                int(head.get('content-length') or 0)
            )
            return status, head, data, True
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return status, head, data, False
    finally:
        if writer is not None:
            writer.close()


# Nodes


class Node:
    """A process of the system, started with the command of the deploy file."""

    def __init__(
        self, number: int, ports: tuple[int, ...], folder: pathlib.Path
    ) -> None:
        self.number = number
        self.name = f'front-luzon-a-{number + 1}'
        self.ip = f'127.0.0.{FIRST_NODE_OCTET + number}'
        self.ports = ports
        self.folder = folder / self.name
        self.folder.mkdir(parents=True)
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        # Exits that nobody caused: time and exit code.
        self.own_ends: list[tuple[float, int]] = []
        self.is_expected_to_end = False

    def start(self) -> None:
        """Start the process."""
        self.starts += 1
        self.is_expected_to_end = False
        with open(self.folder / 'log', 'ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'hornbeamrudder.gateway'],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'LANG': os.environ.get('LANG', 'C.UTF-8'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'HORNBEAMRUDDER_CONFIG': str(self.folder / 'boot.yaml'),
                },
            )

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal; one that ends the process is expected to."""
        if self.is_running and self.process is not None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.is_expected_to_end = True
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            async with asyncio.timeout(0.8):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ports[1]
                )
                writer.write(b'GET /ready HTTP/1.1\r\nHost: node\r\n\r\n')
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line


def free_ports(ips: list[str], count: int) -> tuple[int, ...]:
    """Return ports that are free for TCP and UDP at all addresses."""
    for _ in range(200):
        base = random.SystemRandom().randrange(10_000, 31_000)
        try:
            for port in range(base, base + count):
                for ip in ips:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((ip, port))
        except OSError:
            continue
        return tuple(range(base, base + count))
    raise RuntimeError('no free ports')


BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'contactMs': 4000,
    'ackMs': 6000,
    'catchUpS': 6,
    'drainMs': 3000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 3000,
    'rollbackSlackMs': 250,
    'outerMs': 6000,
    'strictRevoke': True,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetSlack': 218,
    'quotaWindowS': 8,
    'quotaOverage': 0.1,
    'quotaSlack': 140000,
    'requireFence': False,
    'leaseMs': 3000,
    'thawSlackMs': 300,
    'usageWindowS': 5,
    'usageTolerance': 0.05,
    'usageLateS': 10,
    'exposureShare': 0.1,
    'exposureSlack': 50,
    'rollbackMs': 5000,
    'recoveryS': 15,
    'passMs': 200,
    'reuseWindowS': 9.2,
}


class System:
    """Nodes, platform and servers of one run."""

    def __init__(self, nodes: int, bounds: dict[str, Any]) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        ips = [f'127.0.0.{FIRST_NODE_OCTET + item}' for item in range(nodes)]
        ports = free_ports(ips, 5)
        self.nodes = [Node(item, ports, self.folder) for item in range(nodes)]
        self.store, self.cloud = Store(), Cloud()
        self.bounds = {**BOUNDS, **bounds}
        self.memory_mb = 300
        self._supervisor: asyncio.Task[None] | None = None
        self._restarts: list[asyncio.TimerHandle] = []
        self.on_own_end: Callable[[Node, int], None] = lambda node, code: None

    async def start(self) -> None:
        """Start platform and nodes; the first configuration is written."""
        await self.store.start()
        await self.cloud.start()
        for node in self.nodes:
            front, ready, _, first, last = node.ports
            settings = {
                'node': node.name,
                'role': 'node',
                'machineClass': 'front',
                'serves': ['front'],
                'ip': node.ip,
                'zone': 'luzon-a',
                'region': 'luzon',
                'zones': {'luzon-a': 'luzon'},
                'listen': {
                    'front': f'{node.ip}:{front}',
                    'readiness': f'{node.ip}:{ready}',
                },
                'internalPorts': [first, last],
                'seeds': [],
                'bootstrap': True,
                'limits': {
                    'cpuShare': 0.537,
                    'cores': 2,
                    'memoryMb': self.memory_mb,
                    'maxFds': 4100,
                    'linkMbps': 1000.0,
                    'diskMb': 0,
                },
                'dataDir': None,
                'discovery': 'platform',
                'entry': 'vip',
                'heartbeatMs': 1200,
                'bounds': self.bounds,
                'platform': {
                    'address': self.store.address,
                    'form': 'table',
                    'writesPerS': 400,
                    'readsPerS': 2000,
                    'rowBytes': 65536,
                    'across': False,
                    'historyS': 20,
                },
                'cloudApi': {
                    'address': self.cloud.address,
                    'ratePerS': 50.0,
                    'duties': ['usage_report', 'autoscale'],
                    'dutyPerS': 50.0,
                },
            }
            # JSON is YAML too.
            (node.folder / 'boot.yaml').write_text(json.dumps(settings))
            node.start()
        self._supervisor = asyncio.create_task(self._supervise())

    async def ready(self, within_s: float) -> bool:
        """Wait until all nodes are ready."""
        until = now() + within_s
        while now() < until:
            found = await asyncio.gather(
                *(node.is_ready() for node in self.nodes)
            )
            if all(found):
                return True
            await asyncio.sleep(0.1)
        return False

    async def _supervise(self) -> None:
        """Start a process again after a short delay, as the platform does."""
        while True:
            await asyncio.sleep(0.05)
            for node in self.nodes:
                if node.process is None or node.is_running:
                    continue
                if not node.is_expected_to_end:
                    code = node.process.returncode
                    node.own_ends.append((now(), code))
                    self.on_own_end(node, code)
                node.process = None
                self._restarts.append(
                    asyncio.get_running_loop().call_later(
                        RESTART_DELAY_S, node.start
                    )
                )

    def stop(self, keep_logs_in: pathlib.Path | None = None) -> None:
        """End all processes that were started."""
        if self._supervisor is not None:
            self._supervisor.cancel()
        for restart in self._restarts:
            restart.cancel()
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        if keep_logs_in is not None:
            for node in self.nodes:
                log = node.folder / 'log'
                if log.exists():
                    shutil.copy(log, keep_logs_in / f'{node.name}.log')
        shutil.rmtree(self.folder, ignore_errors=True)


def run(main: Callable[[], Awaitable[int]]) -> int:
    """Run a case; return its exit code, 2 if it could not run to its end."""

    async def guarded() -> int:
        task = asyncio.ensure_future(main())
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        return await task

    try:
        return asyncio.run(guarded())
    except BaseException:
        traceback.print_exc()
        return 2
