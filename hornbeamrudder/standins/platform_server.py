"""Stand-in of the users' backend servers, with faults in their answers."""

import asyncio
import dataclasses
import enum
import socket
import struct
import time
from typing import Any


_PREFIX = 'X-Hornbeamrudder-'
# Longer than the pause between events that is on time.
PAUSE_S = 1.0


class Behaviour(enum.Enum):
    """How a backend server answers."""

    NORMAL = 'normal'
    ERROR = 'error'
    FULL = 'full'
    RESET = 'reset'
    HANG = 'hang'
    CUT = 'cut'
    UNSEALED = 'unsealed'
    GARBLED = 'garbled'
    EXTRA = 'extra'
    LATE_EXTRA = 'late extra'
    UNFRAMED = 'unframed'
    UNFRAMED_RESET = 'unframed reset'
    EARLY = 'early'
    PAUSE = 'pause'


@dataclasses.dataclass(slots=True)
class Run:
    """One request that a backend server got."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    ran: bool = True
    stopped_early: bool = False
    at: float = dataclasses.field(default_factory=time.monotonic)


class PlatformServer:
    """One backend server; engines answer with a stream of events.

    Attributes
    ----------
    behaviours : list of Behaviour
        For the next requests, in turn; then `NORMAL`.
    """

    def __init__(self, server_id: str, service: str, events: int = 0) -> None:
        self.id = server_id
        self.service = service
        self.events = events
        self.event_s = 0.01
        self.answer_s = 0.0
        self.behaviours: list[Behaviour] = []
        self.runs: list[Run] = []
        self.connections = 0
        self.address = ''
        self.writers: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None

    async def start(self, ip: str, port: int = 0) -> None:
        """Listen."""
        self.listener = await asyncio.start_server(self._serve, ip, port)
        self.address = '%s:%d' % self.listener.sockets[0].getsockname()[:2]

    def entry(self, **fields: Any) -> dict[str, Any]:
        """Entry with which the server registers."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'levis-est',
            'version': 'v1',
            'slots': 64 if self.events else 6,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': 1,
            'born': 1700000000000,
            **fields,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.writers.add(writer)
        try:
            while True:
                run = await self._read(reader)
                if run is None:
                    return
                if not await self._answer(run, reader, writer):
                    return
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> Run | None:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        method, target, _ = lines[0].split(' ', 2)
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(':') for line in lines[1:])
            if name
        }
        behaviour = self.behaviours[0] if self.behaviours else None
        length = int(headers.get('content-length') or 0)
        body = b''
        if behaviour is not Behaviour.EARLY:
            body = await reader.readexactly(length)
        return Run(
            headers.get('x-hornbeamrudder-request-id', ''),
            method,
            target,
            headers,
            body,
        )

    def _head(self, run: Run, status: str, *headers: str) -> bytes:
        return '\r\n'.join(
            [
                f'HTTP/1.1 {status}',
                f'{_PREFIX}Request-Id: {run.request_id}',
                *headers,
                '',
                '',
            ]
        ).encode()

    async def _answer(
        self,
        run: Run,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request; returns whether the connection goes on."""
        behaviour = (
            self.behaviours.pop(0) if self.behaviours else Behaviour.NORMAL
        )
        expected = run.headers.get('x-hornbeamrudder-expect-instance')
        self.runs.append(run)
        if expected not in (None, self.id):
            run.ran = False
            writer.write(
                self._head(run, '421 Misdirected Request', 'Content-Length: 0')
            )
            return True
        seal = f'{_PREFIX}Response-Seal: seal-{self.id}'
        body = f'answer of {self.id}'.encode()
        sized = f'Content-Length: {len(body)}'
        await asyncio.sleep(self.answer_s)
        match behaviour:
            case Behaviour.HANG:
                await self._until_closed(run, reader)
                return False
            case Behaviour.RESET:
                _reset(writer)
                return False
            case Behaviour.FULL:
                run.ran = False
                writer.write(
                    self._head(
                        run,
                        '503 Service Unavailable',
                        f'{_PREFIX}Not-Executed: 1',
                        'Content-Length: 0',
                    )
                )
                return True
            case Behaviour.ERROR:
                writer.write(
                    self._head(run, '500 Error', seal, 'Content-Length: 0')
                )
                return True
            case Behaviour.UNSEALED:
                writer.write(self._head(run, '200 OK', sized) + body)
                return True
            case Behaviour.GARBLED:
                writer.write(b'\x00\x01 not an answer\r\n\r\n')
                return False
            case Behaviour.EARLY:
                writer.write(self._head(run, '400 Bad', seal, sized) + body)
                await asyncio.sleep(0.1)
                length = int(run.headers.get('content-length') or 0)
                run.body = await reader.readexactly(length)
                return True
            case Behaviour.UNFRAMED | Behaviour.UNFRAMED_RESET:
                writer.write(self._head(run, '200 OK', seal) + body)
                await writer.drain()
                if behaviour is Behaviour.UNFRAMED_RESET:
                    await asyncio.sleep(0.05)
                    _reset(writer)
                return False
        if self.events:
            return await self._stream(run, behaviour, reader, writer, seal)
        answer = self._head(run, '200 OK', seal, sized) + body
        if behaviour is Behaviour.CUT:
            writer.write(answer[:-3])
            return False
        writer.write(answer)
        if behaviour is Behaviour.EXTRA:
            writer.write(answer)
        if behaviour is Behaviour.LATE_EXTRA:
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(answer)
        await writer.drain()
        return True

    async def _until_closed(
        self, run: Run, reader: asyncio.StreamReader
    ) -> None:
        await reader.read(1)
        run.stopped_early = True

    async def _stream(
        self,
        run: Run,
        behaviour: Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        seal: str,
    ) -> bool:
        writer.write(
            self._head(
                run,
                '200 OK',
                seal,
                'Content-Type: text/event-stream',
                'Transfer-Encoding: chunked',
            )
        )
        first = int(run.headers.get('last-event-id') or 0) + 1
        for number in range(first, self.events + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            half = number > self.events // 2
            if behaviour is Behaviour.PAUSE and number == self.events // 2:
                await asyncio.sleep(PAUSE_S)
            if behaviour is Behaviour.CUT and half:
                part = event[: len(event) // 2]
                writer.write(b'%x\r\n%s\r\n' % (len(part), part))
                await writer.drain()
                await asyncio.sleep(0.02)
                _reset(writer)
                return False
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            try:
                await writer.drain()
            except ConnectionError:
                run.stopped_early = True
                return False
            await asyncio.sleep(self.event_s)
            if reader.at_eof() or writer.transport.is_closing():
                run.stopped_early = True
                return False
        writer.write(b'0\r\n\r\n')
        return True


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset instead of an orderly end."""
    writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


def configuration(
    version: int, server_services: tuple[str, str], **changes: Any
) -> dict[str, Any]:
    """Configuration with one route of each kind.

    Parameters
    ----------
    server_services : tuple
        Names of the engine service and of the plain one.
    changes : dict
        Fields that replace those of the configuration.
    """
    engine, plain = server_services
    common = {'host': 'shop.example', 'public': False}
    return {
        'version': version,
        'routes': [
            {
                **common,
                'name': 'plan',
                'prefix': '/plan/',
                'kind': 'streaming',
                'timeoutMs': 6000,
                'targetLatencyMs': 1000,
                'priority': 2,
                'service': engine,
                'maxAttempts': 2,
                'streamResume': True,
                'gapTargetMs': 600,
            },
            {
                **common,
                'name': 'chat',
                'prefix': '/chat/',
                'kind': 'streaming',
                'timeoutMs': 6000,
                'targetLatencyMs': 500,
                'priority': 0,
                'service': engine,
                'maxAttempts': 1,
                'streamResume': False,
                'gapTargetMs': 600,
            },
            {
                **common,
                'name': 'book',
                'prefix': '/book/',
                'kind': 'unsafe',
                'timeoutMs': 1000,
                'targetLatencyMs': 200,
                'service': plain,
                'maxAttempts': 1,
            },
            {
                **common,
                'name': 'look',
                'prefix': '/look/',
                'kind': 'safe',
                'timeoutMs': 1000,
                'targetLatencyMs': 400,
                'service': plain,
                'maxAttempts': 2,
            },
        ],
        'services': [
            {
                'name': engine,
                'maxConnections': 360,
                'engine': {
                    'slots': 64,
                    'kvCapacityTokens': 600000,
                    'stride': 6,
                    'moves': True,
                },
            },
            {'name': plain, 'maxConnections': 100},
        ],
        'limits': {
            'maxHeaderBytes': 4096,
            'maxBodyBytes': 65536,
            'headerTimeoutMs': 800,
            'idleTimeoutMs': 3000,
        },
        'tenants': [
            {
                'name': 'north',
                'apiKeys': ['key-north'],
                'priority': 0,
                'unit': 'token_stream',
                'plainTokens': 200,
                'ratePerS': 0,
                'burst': 0,
            },
            {
                'name': 'south',
                'apiKeys': ['key-south'],
                'priority': 1,
                'unit': 'token_stream',
                'plainTokens': 200,
                'ratePerS': 1000,
                'burst': 1000,
            },
        ],
        **changes,
    }
