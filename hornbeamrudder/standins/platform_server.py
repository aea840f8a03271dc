"""Stand-in for backend servers of the platform, with faulty responses."""

import asyncio
import dataclasses
import enum
import socket
import struct
import time
from typing import Any, Callable

from . import endless

_HEADER_PREFIX = 'X-Hornbeamrudder-'
# Longer than `gapTargetMs` of the routes in `configuration`.
STREAM_PAUSE_S = 1.0
EARLY_BODY_DELAY_S = 0.1
LATE_EXTRA_DELAY_S = 0.05
# Longer than nodes wait for the response before they try another server, and
# shorter than the time-outs of the routes in `configuration`.
LATE_RESPONSE_DELAY_S = 0.85
UNFRAMED_RESET_DELAY_S = 0.05
TRICKLE_S = 0.2
# A text that looks like complete events.
ERROR_TEXT = (
    b'HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\n\r\n'
    b'no room\n\nplease try again\n\n'
)
CUT_RESET_DELAY_S = 0.02


class Behaviour(enum.Enum):
    """How a backend server responds to a request.

    `FULL` rejects the request with 503 as not executed. `UNSEALED` omits the
    seal header. `GARBLED` sends bytes that are not HTTP. `EXTRA` and
    `LATE_EXTRA` send the response twice. `UNFRAMED` ends the body by closing
    the connection, `UNFRAMED_RESET` by resetting it. `EARLY` responds before
    the body is read. `CUT` closes the connection within the body, or resets
    it within a stream. `PAUSE` interrupts the stream for `STREAM_PAUSE_S`.
    `LATE` delays the response by `LATE_RESPONSE_DELAY_S`. `REPEATED_REFUSAL`
    rejects the request, and does so once more when the next request arrives on
    the connection, before the response to that one; `NAMELESS_REFUSAL` omits
    the request id then. `ERROR_TEXT` and `REJECTION` respond with status 500
    and 409 and a text. `PAGE` responds to a stream with status 200 and a text
    that is no event stream, `STRAY_TEXT` with an event stream that has text
    before its first event. `TRICKLE` sends a byte of an event now and then.
    `UPGRADE` changes the protocol (101). `CUT_HEAD` and `CUT_HEAD_RESET` end
    the connection within the head.
    `UNFRAMED_STREAM` sends a stream without a length or chunks and closes at
    its end, `UNFRAMED_CUT` closes within an event and `UNFRAMED_EMPTY` right
    after the head.
    """

    NORMAL = 'normal'
    ERROR = 'error'
    FULL = 'full'
    RESET = 'reset'
    HANG = 'hang'
    CUT = 'cut'
    CUT_HEAD = 'cut head'
    CUT_HEAD_RESET = 'cut head reset'
    UNSEALED = 'unsealed'
    GARBLED = 'garbled'
    EXTRA = 'extra'
    LATE_EXTRA = 'late extra'
    UNFRAMED = 'unframed'
    UNFRAMED_RESET = 'unframed reset'
    EARLY = 'early'
    PAUSE = 'pause'
    LATE = 'late'
    REPEATED_REFUSAL = 'repeated refusal'
    NAMELESS_REFUSAL = 'nameless refusal'
    ERROR_TEXT = 'error text'
    REJECTION = 'rejection'
    PAGE = 'page'
    STRAY_TEXT = 'stray text'
    TRICKLE = 'trickle'
    UPGRADE = 'upgrade'
    UNFRAMED_STREAM = 'unframed stream'
    UNFRAMED_CUT = 'unframed cut'
    UNFRAMED_EMPTY = 'unframed empty'


@dataclasses.dataclass(slots=True)
class ReceivedRequest:
    """A request that a backend server received.

    Attributes
    ----------
    executed : bool
        False if the request was rejected without an effect.
    client_disconnected : bool
        Whether the connection was closed before the end of the response.
    """

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    executed: bool = True
    client_disconnected: bool = False
    received_at: float = dataclasses.field(default_factory=time.monotonic)


class PlatformServer:
    """One backend server; model engines respond with an event stream.

    Attributes
    ----------
    events : int
        Number of events of each stream; 0 for a plain service.
    behaviours : list of Behaviour or Answer
        Behaviour for each of the next requests, in order; `NORMAL` after
        the last one.
    first_event_delay_s : float
        Time from the head of a stream to its first event, unless the stream
        goes on.
    next_delay_s : callable
        Delay of the next response, in addition to `response_delay_s`.
    load_figures : str
        Value of the load header of responses; empty for no header.
    answer_headers : list of str
        Further header lines of all responses.
    refusal_headers : list of str
        Further header lines of refusals.
    crashing_parts : set of str
        Prompt parts under which it ends at the beginning of its response.
    on_crash : callable
        Called when it has ended so.
    """

    def __init__(self, server_id: str, service: str, events: int = 0) -> None:
        self.id = server_id
        self.service = service
        self.events = events
        self.event_interval_s = 0.01
        self.response_delay_s = 0.0
        self.first_event_delay_s = 0.0
        self.next_delay_s: Callable[[], float] = lambda: 0.0
        self.load_figures = ''
        self.behaviours: list[Behaviour | endless.Answer] = []
        self.requests: list[ReceivedRequest] = []
        self.connections = 0
        self.address = ''
        self.writers: set[asyncio.StreamWriter] = set()
        self._repeated_by_writer: dict[asyncio.StreamWriter, bytes] = {}
        self.listener: asyncio.Server | None = None
        self.answer_headers: list[str] = []
        self.refusal_headers: list[str] = []
        self.crashing_parts: set[str] = set()
        self.on_crash: Callable[['PlatformServer'], None] = lambda _: None

    async def start(self, ip: str, port: int = 0) -> None:
        """Start listening."""
        self.listener = await asyncio.start_server(self._serve, ip, port)
        self.address = '%s:%d' % self.listener.sockets[0].getsockname()[:2]

    def crash(self) -> None:
        """End without a notice: reset all connections and stop listening."""
        if self.listener is None:
            return
        self.listener.close()
        self.listener = None
        for writer in tuple(self.writers):
            _reset(writer)
        self.on_crash(self)

    def _crashes_under(self, request: ReceivedRequest) -> bool:
        prefix = request.headers.get('x-hornbeamrudder-prompt-prefix', '')
        return not self.crashing_parts.isdisjoint(
            entry.partition(':')[0] for entry in prefix.split(',')
        )

    def entry(self, **fields: Any) -> dict[str, Any]:
        """Return the registration entry of the server."""
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
                request = await self._read(reader)
                if request is None:
                    return
                if not await self._respond(request, reader, writer):
                    return
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            return
        finally:
            self.writers.discard(writer)
            self._repeated_by_writer.pop(writer, None)
            writer.close()

    async def _read(
        self, reader: asyncio.StreamReader
    ) -> ReceivedRequest | None:
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
        return ReceivedRequest(
            headers.get('x-hornbeamrudder-request-id', ''),
            method,
            target,
            headers,
            body,
        )

    def _head(
        self, request: ReceivedRequest, status: str, *headers: str
    ) -> bytes:
        return '\r\n'.join(
            [
                f'HTTP/1.1 {status}',
                f'{_HEADER_PREFIX}Request-Id: {request.request_id}',
                *(
                    [f'{_HEADER_PREFIX}Server-Load: {self.load_figures}']
                    if self.load_figures
                    else []
                ),
                *headers,
                *self.answer_headers,
                '',
                '',
            ]
        ).encode()

    async def _respond(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Respond to a request; return whether to keep the connection."""
        behaviour = (
            self.behaviours.pop(0) if self.behaviours else Behaviour.NORMAL
        )
        expected = request.headers.get('x-hornbeamrudder-expect-instance')
        self.requests.append(request)
        if expected not in (None, self.id):
            request.executed = False
            writer.write(
                self._head(
                    request, '421 Misdirected Request', 'Content-Length: 0'
                )
            )
            return True
        writer.write(self._repeated_by_writer.pop(writer, b''))
        seal = f'{_HEADER_PREFIX}Response-Seal: seal-{self.id}'
        body = f'answer of {self.id}'.encode()
        content_length = f'Content-Length: {len(body)}'
        await asyncio.sleep(self.response_delay_s + self.next_delay_s())
        match behaviour:
            case Behaviour.LATE:
                await asyncio.sleep(LATE_RESPONSE_DELAY_S)
            case endless.Answer():
                await behaviour.send(
                    self._head(request, behaviour.status, seal), writer
                )
                return False
            case Behaviour.HANG:
                await self._wait_for_disconnect(request, reader)
                return False
            case Behaviour.RESET:
                _reset(writer)
                return False
            case (
                Behaviour.FULL
                | Behaviour.REPEATED_REFUSAL
                | Behaviour.NAMELESS_REFUSAL
            ):
                request.executed = False
                refusal = self._head(
                    request,
                    '503 Service Unavailable',
                    f'{_HEADER_PREFIX}Not-Executed: 1',
                    'Content-Length: 0',
                    *self.refusal_headers,
                )
                writer.write(refusal)
                if behaviour is Behaviour.REPEATED_REFUSAL:
                    self._repeated_by_writer[writer] = refusal
                if behaviour is Behaviour.NAMELESS_REFUSAL:
                    self._repeated_by_writer[writer] = refusal.replace(
                        b'Request-Id', b'Something'
                    )
                return True
            case Behaviour.ERROR_TEXT | Behaviour.REJECTION:
                status = (
                    '500 Error'
                    if behaviour is Behaviour.ERROR_TEXT
                    else '409 Conflict'
                )
                writer.write(
                    self._head(
                        request,
                        status,
                        seal,
                        f'Content-Length: {len(ERROR_TEXT)}',
                    )
                    + ERROR_TEXT
                )
                return True
            case Behaviour.PAGE:
                writer.write(
                    self._head(
                        request,
                        '200 OK',
                        seal,
                        'Content-Type: text/html',
                        f'Content-Length: {len(ERROR_TEXT)}',
                    )
                    + ERROR_TEXT
                )
                return True
            case Behaviour.ERROR:
                writer.write(
                    self._head(request, '500 Error', seal, 'Content-Length: 0')
                )
                return True
            case Behaviour.UNSEALED:
                writer.write(
                    self._head(request, '200 OK', content_length) + body
                )
                return True
            case Behaviour.GARBLED:
                writer.write(b'\x00\x01 not an answer\r\n\r\n')
                return False
            case Behaviour.UPGRADE:
                writer.write(
                    self._head(
                        request,
                        '101 Switching Protocols',
                        seal,
                        'Connection: Upgrade',
                        'Upgrade: other',
                    )
                    + b'not HTTP'
                )
                await writer.drain()
                return False
            case Behaviour.EARLY:
                writer.write(
                    self._head(request, '400 Bad', seal, content_length) + body
                )
                await asyncio.sleep(EARLY_BODY_DELAY_S)
                length = int(request.headers.get('content-length') or 0)
                request.body = await reader.readexactly(length)
                return True
            case Behaviour.UNFRAMED | Behaviour.UNFRAMED_RESET:
                writer.write(self._head(request, '200 OK', seal) + body)
                await writer.drain()
                if behaviour is Behaviour.UNFRAMED_RESET:
                    await asyncio.sleep(UNFRAMED_RESET_DELAY_S)
                    _reset(writer)
                return False
        if behaviour in (Behaviour.CUT_HEAD, Behaviour.CUT_HEAD_RESET):
            head = self._head(request, '200 OK', seal)
            writer.write(head[: head.index(b'Seal: ')])
            await writer.drain()
            if behaviour is Behaviour.CUT_HEAD_RESET:
                await asyncio.sleep(CUT_RESET_DELAY_S)
                _reset(writer)
            return False
        if self.events:
            return await self._stream(request, behaviour, reader, writer, seal)
        response = self._head(request, '200 OK', seal, content_length) + body
        if behaviour is Behaviour.CUT:
            writer.write(response[:-3])
            return False
        writer.write(response)
        if behaviour is Behaviour.EXTRA:
            writer.write(response)
        if behaviour is Behaviour.LATE_EXTRA:
            await writer.drain()
            await asyncio.sleep(LATE_EXTRA_DELAY_S)
            writer.write(response)
        await writer.drain()
        return True

    async def _stream_unframed(
        self,
        request: ReceivedRequest,
        behaviour: Behaviour,
        writer: asyncio.StreamWriter,
        seal: str,
    ) -> bool:
        first = int(request.headers.get('last-event-id') or 0) + 1
        body = b''.join(
            b'id: %d\ndata: piece %d\n\n' % (number, number)
            for number in range(first, self.events + 1)
        )
        match behaviour:
            case Behaviour.UNFRAMED_CUT:
                # Within an event, after its id.
                body = body[: len(body) // 2 + len(b'id: 1\nda')]
            case Behaviour.UNFRAMED_EMPTY:
                body = b''
        writer.write(
            self._head(
                request, '200 OK', seal, 'Content-Type: text/event-stream'
            )
            + body
        )
        await writer.drain()
        return False

    async def _wait_for_disconnect(
        self, request: ReceivedRequest, reader: asyncio.StreamReader
    ) -> None:
        await reader.read(1)
        request.client_disconnected = True

    async def _stream(
        self,
        request: ReceivedRequest,
        behaviour: Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        seal: str,
    ) -> bool:
        if behaviour in (
            Behaviour.UNFRAMED_STREAM,
            Behaviour.UNFRAMED_CUT,
            Behaviour.UNFRAMED_EMPTY,
        ):
            return await self._stream_unframed(
                request, behaviour, writer, seal
            )
        writer.write(
            self._head(
                request,
                '200 OK',
                seal,
                'Content-Type: text/event-stream',
                'Transfer-Encoding: chunked',
            )
        )
        if self._crashes_under(request):
            beginning = b'id: 1\ndata: pie'
            writer.write(b'%x\r\n%s\r\n' % (len(beginning), beginning))
            await writer.drain()
            await asyncio.sleep(CUT_RESET_DELAY_S)
            self.crash()
            return False
        if behaviour is Behaviour.STRAY_TEXT:
            writer.write(b'%x\r\n%s\r\n' % (len(ERROR_TEXT), ERROR_TEXT))
        if behaviour is Behaviour.TRICKLE:
            while not (reader.at_eof() or writer.transport.is_closing()):
                writer.write(b'1\r\n:\r\n')
                await asyncio.sleep(TRICKLE_S)
            request.client_disconnected = True
            return False
        first = int(request.headers.get('last-event-id') or 0) + 1
        if 'kv-from' not in request.headers:
            await asyncio.sleep(self.first_event_delay_s)
        for number in range(first, self.events + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            is_second_half = number > self.events // 2
            if behaviour is Behaviour.PAUSE and number == self.events // 2:
                await asyncio.sleep(STREAM_PAUSE_S)
            if behaviour is Behaviour.CUT and is_second_half:
                fragment = event[: len(event) // 2]
                writer.write(b'%x\r\n%s\r\n' % (len(fragment), fragment))
                await writer.drain()
                await asyncio.sleep(CUT_RESET_DELAY_S)
                _reset(writer)
                return False
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            try:
                await writer.drain()
            except ConnectionError:
                request.client_disconnected = True
                return False
            await asyncio.sleep(self.event_interval_s)
            if reader.at_eof() or writer.transport.is_closing():
                request.client_disconnected = True
                return False
        writer.write(b'0\r\n\r\n')
        return True


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with RST instead of FIN."""
    writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


def configuration(
    version: int, server_services: tuple[str, str], **overrides: Any
) -> dict[str, Any]:
    """Return a configuration with one route of each kind.

    Parameters
    ----------
    server_services : tuple
        Names of the model engine service and of the plain service.
    overrides : dict
        Top-level fields that replace the default ones.
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
        **overrides,
    }
