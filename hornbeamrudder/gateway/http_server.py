"""HTTP/1.1 server for client connections.

A request is passed to the handler once it has been read completely. The
handler's task is cancelled when the client disconnects.
"""

import asyncio
import collections
import dataclasses
import http
import select
from typing import Awaitable, Callable, Iterable

import httptools

from . import byte_limits
from . import clock
from . import records

Header = tuple[bytes, bytes]

# Pipelined requests that may be pending on one connection.
MAX_PIPELINED = 16
# Received bytes outside a body, as a multiple of the limit on a head, which
# counts neither the method nor blank lines and space between fields.
NON_BODY_FACTOR = 2
# Time between half-close and close, for the client to read the response.
LINGER_S = 1.0
# Statuses of responses without a body.
_NO_BODY = frozenset({*range(100, 200), 204, 304})
TIMEOUT_CHECK_INTERVAL_S = 0.5
_REASON_BY_STATUS = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request.

    Attributes
    ----------
    target : bytes
        Request target (path and query) as sent.
    arrived_at : float
        Time of its first byte, on `clock.now`.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    arrived_at: float
    keep_alive: bool
    chunked_allowed: bool


class ResponseWriter:
    """Writer for the response to one request."""

    __slots__ = (
        '_connection',
        'started',
        'ended',
        'complete',
        '_is_head',
        '_has_body',
        '_chunked',
        '_keep_alive',
    )

    def __init__(
        self, connection: 'CallerConnection', request: CallerRequest
    ) -> None:
        self._connection = connection
        self.started = False
        self.ended = False
        self.complete = False
        self._is_head = request.method == b'HEAD'
        self._has_body = True
        self._chunked = False
        self._keep_alive = request.keep_alive

    def send(
        self, status: int, headers: Iterable[Header], body: bytes = b''
    ) -> None:
        """Send a complete response."""
        self.start(status, headers, len(body))
        self.write(body)
        self.end()

    def start(
        self, status: int, headers: Iterable[Header], length: int | None
    ) -> None:
        """Send the status line and headers.

        Parameters
        ----------
        length : int or None
            Body length in bytes; None for a chunked body.
        """
        self.started = True
        closing = not self._keep_alive or (
            self._connection.server.stopping
            and not self._connection.has_next_request
        )
        lines = [
            b'HTTP/1.1 %d %s'
            % (status, _REASON_BY_STATUS.get(status, b'Unknown'))
        ]
        lines.extend(name + b': ' + value for name, value in headers)
        self._has_body = not self._is_head and status not in _NO_BODY
        if self._is_head:
            # The length that GET would have got; unknown if a server has
            # answered.
            if length:
                lines.append(b'Content-Length: %d' % length)
        elif self._has_body:
            if length is not None:
                lines.append(b'Content-Length: %d' % length)
            elif self._connection.chunked_allowed:
                self._chunked = True
                lines.append(b'Transfer-Encoding: chunked')
            else:
                closing = True
        if closing:
            self._keep_alive = False
            lines.append(b'Connection: close')
        self._connection.write(b'\r\n'.join(lines) + b'\r\n\r\n')

    def write(self, data: bytes) -> None:
        """Send a piece of the body, if the response may have one."""
        if not data or not self._has_body:
            return
        if self._chunked:
            data = b'%x\r\n%s\r\n' % (len(data), data)
        self._connection.write(data)

    def end(self) -> None:
        """Finish the response."""
        if self._chunked:
            self._connection.write(b'0\r\n\r\n')
        self.ended = True
        self.complete = True
        if not self._keep_alive:
            self._connection.close()

    def abort(self) -> None:
        """Reset the connection; a partial response must not seem complete."""
        self.ended = True
        self._connection.abort()

    async def drain(self) -> None:
        """Wait until the write buffer has drained, for slow clients."""
        await self._connection.drain()


Handler = Callable[[CallerRequest, ResponseWriter], Awaitable[None]]


class CallerServer:
    """State shared by all client connections of one listener."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.limits = records.CallerLimits()
        self.stopping = False
        self.connections: set[CallerConnection] = set()
        self.accepted = 0
        self.malformed = 0

    @property
    def busy(self) -> int:
        """Connections with a request in progress."""
        return sum(1 for connection in self.connections if connection.is_busy)

    def close_idle(self, idle_s: float) -> None:
        """Close the connections that have been idle for `idle_s` seconds."""
        for connection in list(self.connections):
            connection.close_if_idle(idle_s)

    def refuse_incomplete(self) -> None:
        """Refuse the requests that have not been read completely."""
        for connection in list(self.connections):
            connection.refuse_incomplete()

    def make_connection(self) -> 'CallerConnection':
        """Protocol factory for `create_server`."""
        self.accepted += 1
        return CallerConnection(self)


class CallerConnection(asyncio.Protocol):
    """One client connection."""

    def __init__(self, server: CallerServer) -> None:
        self.server = server
        self.chunked_allowed = True
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._task: asyncio.Task[None] | None = None
        self._pending: collections.deque[CallerRequest] = collections.deque()
        self._timer: asyncio.TimerHandle | None = None
        self._last_activity_at = clock.now()
        self._writable: asyncio.Future[None] | None = None
        self._closing = False
        self._refused_status: int | None = None
        self._completed = 0
        self._reset_request()

    def _reset_request(self) -> None:
        self._reading = False
        self._in_head = True
        self._started_at = 0.0
        self._target = b''
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._body = bytearray()
        self._body_bytes = 0
        self._non_body_bytes = 0

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered."""
        return self._task is not None or self._reading

    @property
    def has_next_request(self) -> bool:
        """Whether a request follows the one that is being answered."""
        return bool(self._pending) or self._reading

    # Used by CallerServer

    def close_if_idle(self, idle_s: float) -> None:
        """Close if there has been no request for `idle_s` seconds.

        Closes without reading on: the process does not read a request that
        crosses the close, so that its client may send it elsewhere.
        """
        if (
            self._closing
            or self._transport is None
            or self.is_busy
            or clock.now() - self._last_activity_at < idle_s
            or _has_unread_input(self._transport)
        ):
            return
        self._closing = True
        self._transport.close()

    def refuse_incomplete(self) -> None:
        """Answer 503 if a request has been read in part only."""
        if self._reading and self._task is None and not self._closing:
            self._send_error(503)

    # Used by ResponseWriter

    def write(self, data: bytes) -> None:
        """Write to the client; ignored once the connection has ended."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def close(self) -> None:
        """Close gracefully after the pending writes.

        Half-closes first: closing a socket with unread bytes would reset it,
        and the client could lose the response.
        """
        if self._closing or self._transport is None:
            return
        self._closing = True
        self._pending.clear()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.close)

    def abort(self) -> None:
        """Reset the connection."""
        self._closing = True
        self._pending.clear()
        if self._transport is not None:
            self._transport.abort()

    async def drain(self) -> None:
        """Wait while the transport's buffer is full."""
        if self._writable is not None:
            await self._writable

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.server.connections.add(self)
        self._arm_timer()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the handler; called by the event loop."""
        self._closing = True
        self.server.connections.discard(self)
        self._pending.clear()
        if self._timer is not None:
            self._timer.cancel()
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as a disconnected client."""
        if self._task is not None and not self._closing:
            self._task.cancel()
        return False

    def pause_writing(self) -> None:
        """Make `drain` wait; called by the event loop on a full buffer."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Wake `drain`; called by the event loop on a drained buffer."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; called by the event loop."""
        if self._closing or self._refused_status is not None:
            return
        self._last_activity_at = clock.now()
        completed, body_bytes = self._completed, self._body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            if not self._closing:
                self._refuse(400)
        if completed == self._completed and not self._closing:
            self._check_non_body_bytes(
                len(data), self._body_bytes - body_bytes
            )

    def _check_non_body_bytes(self, received: int, body: int) -> None:
        """Refuse a head, chunk framing or trailers without end."""
        self._non_body_bytes = byte_limits.non_body_bytes(
            self._non_body_bytes, received, body
        )
        limit = NON_BODY_FACTOR * self.server.limits.max_header_bytes
        if self._non_body_bytes > limit and self._refused_status is None:
            self._refuse(431 if self._in_head else 400)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._reset_request()
        self._reading = True
        self._started_at = clock.now()

    def on_url(self, data: bytes) -> None:
        """Collect the request target, which may arrive in pieces."""
        self._target += data
        self._check_head_size(len(data))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are ignored."""
        if self._in_head:
            self._headers.append((name, value))
            self._check_head_size(len(name) + len(value) + 4)

    def _check_head_size(self, size: int) -> None:
        self._head_bytes += size
        if (
            self._head_bytes > self.server.limits.max_header_bytes
            and not self._closing
        ):
            self._refuse(431)

    def on_headers_complete(self) -> None:
        """Check the declared length and handle `Expect: 100-continue`."""
        self._in_head = False
        if self._closing:
            return
        value_by_name = {name.lower(): value for name, value in self._headers}
        length = value_by_name.get(b'content-length', b'0')
        if int(length) > self.server.limits.max_body_bytes:
            self._refuse(413)
        elif value_by_name.get(b'expect', b'').lower() == b'100-continue':
            if self._task is None:
                self.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, data: bytes) -> None:
        """Collect a piece of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self.server.limits.max_body_bytes:
            if not self._closing:
                self._refuse(413)
            return
        self._body += data

    def on_message_complete(self) -> None:
        """Queue the request for the handler, in order of arrival."""
        if self._closing:
            return
        request = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=tuple(self._headers),
            body=bytes(self._body),
            arrived_at=self._started_at,
            keep_alive=self._parser.should_keep_alive(),
            chunked_allowed=self._parser.get_http_version() == '1.1',
        )
        self._completed += 1
        self._reset_request()
        self._pending.append(request)
        if len(self._pending) > MAX_PIPELINED:
            self.abort()
        elif self._task is None:
            self._start_next()

    def _start_next(self) -> None:
        if self._closing:
            return
        if not self._pending and self._refused_status is not None:
            self._refuse(self._refused_status)
        elif self._pending:
            self._task = asyncio.get_running_loop().create_task(
                self._handle(self._pending.popleft())
            )

    async def _handle(self, request: CallerRequest) -> None:
        self.chunked_allowed = request.chunked_allowed
        reply = ResponseWriter(self, request)
        try:
            await self.server.handler(request, reply)
        except Exception as error:
            asyncio.get_running_loop().call_exception_handler(
                {'message': 'request handler failed', 'exception': error}
            )
            if not reply.started:
                # Unlike a 503, it does not promise that nothing has run.
                reply.send(502, ())
        finally:
            self._task = None
            self._last_activity_at = clock.now()
            if not reply.ended:
                # The handler was cancelled or failed: reset, so that the
                # client does not take a partial response as complete.
                self.abort()
        self._start_next()

    def _refuse(self, status: int) -> None:
        """Send an error for a malformed request, and close."""
        self.server.malformed += 1
        if self._task is not None or self._pending:
            # Responses go out in order: the error follows the response to
            # the earlier request on this connection.
            self._refused_status = status
            return
        self._send_error(status)

    def _send_error(self, status: int) -> None:
        self.write(
            b'HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'
            % (status, _REASON_BY_STATUS[status])
        )
        self.close()

    def _arm_timer(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts
        )

    def _check_timeouts(self) -> None:
        if self._closing:
            return
        now = clock.now()
        limits = self.server.limits
        if self._reading and self._started_at:
            waited = now - self._started_at
            if self._in_head and waited > limits.header_timeout_s:
                self._refuse(408)
                return
            if now - self._last_activity_at > limits.idle_timeout_s:
                self._refuse(408)
                return
        else:
            self.close_if_idle(limits.idle_timeout_s)
        self._arm_timer()


def _has_unread_input(transport: asyncio.Transport) -> bool:
    """Whether input waits in the socket that the loop has not read yet."""
    poll = select.poll()
    poll.register(transport.get_extra_info('socket'), select.POLLIN)
    return bool(poll.poll(0))
