"""HTTP/1.1 server for client connections.

A request is passed to the handler once it has been read completely. The
handler's task is cancelled when the client disconnects.
"""

from typing import Awaitable, Callable, Iterable

from . import caller_connection
from . import client_gate
from . import client_limits
from . import records
from . import request_reader

Header = request_reader.Header
CallerRequest = request_reader.CallerRequest

# Bytes that are read from a connection before the others have their turn.
READ_BYTES = 32 * 1024
# Largest body that is written together with its head.
JOINED_BYTES = 16 * 1024
# Statuses of responses without a body.
_NO_BODY = frozenset({*range(100, 200), 204, 304})


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
        self,
        connection: caller_connection.CallerConnection,
        request: CallerRequest,
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
        head = self._start(status, headers, len(body))
        if self._has_body and len(body) <= JOINED_BYTES:
            self._connection.write(head + body)
        else:
            self._connection.write(head)
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
        self._connection.write(self._start(status, headers, length))

    def _start(
        self, status: int, headers: Iterable[Header], length: int | None
    ) -> bytes:
        self.started = True
        closing = not self._keep_alive or (
            self._connection.server.stopping
            and not self._connection.has_next_request
        )
        lines = [
            b'HTTP/1.1 %d %s'
            % (
                status,
                caller_connection.REASON_BY_STATUS.get(status, b'Unknown'),
            )
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
        return b'\r\n'.join(lines) + b'\r\n\r\n'

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
    """State shared by all client connections of one listener.

    Parameters
    ----------
    gate : ClientGate, optional
        Shared by the listeners of a node.
    max_connections : int, optional
        Unlimited by default.
    """

    def __init__(
        self,
        handler: Handler,
        gate: client_gate.ClientGate | None = None,
        max_connections: int | None = None,
    ) -> None:
        self.handler = handler
        self.gate = gate or client_gate.ClientGate()
        self.max_connections = max_connections
        self.limits = records.CallerLimits()
        self.stopping = False
        self.connections: set[caller_connection.CallerConnection] = set()
        self.accepted = 0
        self.malformed = 0
        # Bytes are parsed as soon as they are read, so that connections can
        # share the buffer.
        self.buffer = memoryview(bytearray(READ_BYTES))

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

    def make_connection(self) -> caller_connection.CallerConnection:
        """Protocol factory for `create_server`."""
        self.accepted += 1
        return caller_connection.CallerConnection(self)

    def make_reply(
        self,
        connection: caller_connection.CallerConnection,
        request: CallerRequest,
    ) -> ResponseWriter:
        """Return the writer for the response to a request."""
        return ResponseWriter(connection, request)

    def add(self, connection: caller_connection.CallerConnection) -> None:
        """Add a connection; over the limit, close others or itself."""
        self.connections.add(connection)
        if (
            self.max_connections is None
            or len(self.connections) <= self.max_connections
        ):
            return
        to_close = client_limits.connections_to_close(
            [(item, item.holding) for item in self.connections],
            self.max_connections,
        )
        for client in to_close or (connection,):
            client.evict(client_limits.Reason.TOO_MANY_CONNECTIONS)
