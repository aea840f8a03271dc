"""HTTP/1.1 client connections to backend servers and to the platform.

Retry decisions depend on whether any byte of a request was sent, whether a
response belongs to it and how it ended. HTTP libraries hide this, so
connections are handled here; httptools does the parsing.
"""

import asyncio
import collections
import dataclasses
import socket
from typing import Callable, Sequence, Union

import httptools

from . import byte_limits
from . import clock
from ..core import types

Header = tuple[bytes, bytes]
Matcher = Callable[[int, tuple[Header, ...]], bool]

# The kernel drops a connection whose data stays unacknowledged this long.
TCP_USER_TIMEOUT_MS = 3000
# Response bytes buffered for a slow client before reading is paused.
READ_AHEAD_BYTES = 256 * 1024
# Bytes that are read from a connection before the others have their turn.
READ_BYTES = 32 * 1024
# Requests on one connection, whose ids are remembered.
MAX_REQUESTS = 200
EVENT_STREAM = b'text/event-stream'
_NO_BODY = frozenset({204, 304})


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of a response.

    Attributes
    ----------
    until_close : bool
        Whether the close of the connection ends the body.
    """

    status: int
    headers: tuple[Header, ...]
    content_length: int | None
    until_close: bool = False

    @property
    def content_type(self) -> bytes:
        """Value of the Content-Type header; empty if there is none."""
        value_by_name = {
            name.lower(): value for name, value in reversed(self.headers)
        }
        return value_by_name.get(b'content-type', b'')

    @property
    def may_be_stream(self) -> bool:
        """Whether the body may be an event stream."""
        return not self.content_type or self.content_type.startswith(
            EVENT_STREAM
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Body:
    """A piece of the body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The response is complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionBroken:
    """The connection failed, or the response was malformed or truncated.

    Attributes
    ----------
    answered : bool
        Whether any byte of the response had arrived.
    endless : bool
        Whether the response exceeded a limit on its bytes.
    closed : bool
        Whether the server closed or reset the connection.
    """

    detail: str
    answered: bool = False
    endless: bool = False
    closed: bool = False

    @property
    def is_spoilt(self) -> bool:
        """Whether bytes arrived that are no response."""
        return self.answered and not self.closed


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """No event arrived before the time limit."""


Event = Union[Head, Body, End, ConnectionBroken, TimedOut]


class Exchange:
    """One request on a connection, and the events of its response.

    Attributes
    ----------
    max_body_bytes : int or None
        Limit on the body; None for a reader that does not hold it.
    """

    __slots__ = (
        'matches',
        'head_only',
        'max_body_bytes',
        'events',
        'buffered',
        'answered',
        'ended',
        '_waiter',
        '_connection',
    )

    def __init__(
        self,
        connection: 'ServerConnection',
        matches: Matcher | None,
        head_only: bool,
        max_body_bytes: int,
    ) -> None:
        self.matches = matches
        self.head_only = head_only
        self.max_body_bytes: int | None = max_body_bytes
        self.events: collections.deque[Event] = collections.deque()
        self.buffered = 0
        self.answered = False
        self.ended = False
        self._waiter: asyncio.Future[None] | None = None
        self._connection = connection

    def add_event(self, event: Event) -> None:
        """Append an event and wake the reader."""
        if self.ended:
            return
        self.events.append(event)
        match event:
            case Body(data):
                self.buffered += len(data)
                self._connection.hold(len(data))
                if self.buffered > self._connection.read_ahead_bytes:
                    self._connection.pause()
            case End() | ConnectionBroken():
                self.ended = True
        self.wake()

    def drop_body(self) -> None:
        """Forget pieces of the body that were not taken."""
        self.events = collections.deque(
            event for event in self.events if not isinstance(event, Body)
        )
        self.buffered = 0

    def wake(self) -> None:
        """Wake the reader without an event."""
        if self._waiter is not None:
            _wake(self._waiter)

    async def wait(self, until: float) -> None:
        """Return at the next event, at `wake`, or at the time `until`.

        Parameters
        ----------
        until : float
            Time on `clock.now`, in seconds.
        """
        loop = asyncio.get_running_loop()
        waiter = loop.create_future()
        self._waiter = waiter
        timer = loop.call_later(until - clock.now(), _wake, waiter)
        try:
            await waiter
        finally:
            timer.cancel()
            self._waiter = None

    async def next_event(self, until: float) -> Event:
        """Return the next event, or `TimedOut` at the time `until`.

        Parameters
        ----------
        until : float
            Time on `clock.now`, in seconds.
        """
        while not self.events and clock.now() < until:
            await self.wait(until)
        if not self.events:
            return TimedOut()
        event = self.events.popleft()
        if isinstance(event, Body):
            self.buffered -= len(event.data)
            if self.max_body_bytes is None:
                self._connection.unhold(len(event.data))
            if self.buffered <= self._connection.read_ahead_bytes:
                self._connection.resume()
        return event


def _wake(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)


# Bytes are parsed as soon as they are read, so that connections can share the
# buffer.
_read_buffer = memoryview(bytearray(READ_BYTES))


class ServerConnection(asyncio.BufferedProtocol):
    """A connection to one address; at most one request at a time."""

    def __init__(self) -> None:
        self.opened_at = clock.now()
        self.idle_since = self.opened_at
        self.requests = 0
        # Ids of the requests sent on this connection: a response to one of
        # them may be sent once more, so none of them is sent here again.
        self.request_ids: set[str] = set()
        self.keep_alive_s: float | None = None
        # Counts what this connection holds; None for no common limit.
        self.held_bytes: byte_limits.HeldBytes | None = None
        # Part of `held_bytes` that the reader keeps.
        self._kept_bytes = 0
        self.closed = False
        self._must_close = False
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._headers: list[Header] = []
        self._in_head = True
        self._skipping = False
        self._until_close = False
        self._paused = False
        self._head_bytes = 0
        self._non_body_bytes = 0
        self._body_bytes = 0
        self._body_parts: list[bytes] = []
        # Blocks of the body that is being sent, and whether the transport's
        # buffer is full.
        self._unsent: collections.deque[bytearray] = collections.deque()
        self._is_full = False

    @property
    def read_ahead_bytes(self) -> int:
        """Bytes that may wait for the reader of the open exchange."""
        if self.held_bytes is not None and self.held_bytes.is_pressed:
            return 0
        return READ_AHEAD_BYTES

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            not self.closed
            and not self._must_close
            and self._exchange is None
            and self.requests < MAX_REQUESTS
            and self._transport is not None
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
            and not self._unsent
        )

    def send(
        self,
        data: bytes,
        matches: Matcher | None = None,
        head_only: bool = False,
        max_body_bytes: int = byte_limits.MAX_PLAIN_BODY_BYTES,
        blocks: Sequence[bytearray] = (),
    ) -> Exchange:
        """Send one request; its response arrives as events of the exchange.

        Parameters
        ----------
        data : bytes
            The head, or the whole request.
        matches : callable, optional
            Tells from status and headers whether a response belongs to this
            request; other responses are skipped.
        head_only : bool
            Whether the response has no body regardless of its headers, as
            for HEAD.
        max_body_bytes : int
            Size above which a body counts as endless.
        blocks : sequence of bytearray
            Body; not copied unless it is small.
        """
        exchange = Exchange(self, matches, head_only, max_body_bytes)
        self._exchange = exchange
        self._non_body_bytes = self._body_bytes = 0
        self.requests += 1
        if self.closed or self._transport is None:
            exchange.add_event(ConnectionBroken('connection was closed'))
            return exchange
        if len(blocks) == 1:
            data, blocks = data + blocks[0], ()
        self._unsent = collections.deque(blocks)
        self._transport.write(data)
        self._send_blocks()
        return exchange

    def _send_blocks(self) -> None:
        """Send the rest of a body as far as the transport's buffer takes."""
        while self._unsent and not self._is_full and not self.closed:
            assert self._transport is not None
            self._transport.write(self._unsent.popleft())

    def release(self) -> None:
        """End the exchange after its response; the connection is idle."""
        self._exchange = None
        self._unhold_all()
        self.idle_since = clock.now()

    def abort(self) -> None:
        """Close immediately, so that the server stops its work."""
        self.closed = True
        self._unsent.clear()
        self._exchange = None
        self._unhold_all()
        if self._transport is not None:
            self._transport.abort()

    def end_endless(self, detail: str) -> None:
        """Fail the open exchange over a limit, and read no further."""
        self._must_close = True
        self._unhold_all()
        self._end_broken(f'endless answer: {detail}', True)
        if self._transport is not None:
            self._transport.abort()

    def hold(self, count: int) -> None:
        """Count bytes of an answer that are held until it is complete."""
        if self.held_bytes is not None:
            self.held_bytes.add(self, count)

    def unhold(self, count: int) -> None:
        """Count bytes that were passed on."""
        if self.held_bytes is not None:
            self.held_bytes.subtract(self, count)

    def keep(self, count: int) -> None:
        """Set how many bytes the reader keeps of those passed on."""
        added = count - self._kept_bytes
        self._kept_bytes = count
        if added > 0:
            self.hold(added)
        elif added:
            self.unhold(-added)

    def drop_unread(self) -> None:
        """Forget the part of the answer that its reader has not taken."""
        if self._exchange is not None:
            self._exchange.drop_body()

    def _unhold_all(self) -> None:
        self._kept_bytes = 0
        if self.held_bytes is not None:
            self.held_bytes.discard(self)

    def pause(self) -> None:
        """Stop reading until the buffered bytes are consumed."""
        if self._transport is not None and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading after `pause`."""
        if self._transport is not None and self._paused:
            self._paused = False
            if not self.closed:
                self._transport.resume_reading()

    # asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set socket options; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        peer = transport.get_extra_info('socket')
        peer.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            TCP_USER_TIMEOUT_MS,
        )

    def pause_writing(self) -> None:
        """Send no further; called by the event loop on a full buffer."""
        self._is_full = True

    def resume_writing(self) -> None:
        """Send on; called by the event loop on a drained buffer."""
        self._is_full = False
        self._send_blocks()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into; called by the event loop."""
        return _read_buffer

    def buffer_updated(self, count: int) -> None:
        """Parse received bytes; called by the event loop."""
        self.data_received(_read_buffer[:count])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse received bytes."""
        if self._exchange is None:
            # Unsolicited bytes; they belong to no request.
            self._must_close = True
            self.abort()
            return
        self._exchange.answered = True
        before = self._body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._must_close = True
            self._end_broken('answer changes the protocol')
        except httptools.HttpParserError as error:
            self._must_close = True
            self._end_broken(f'malformed answer: {error}')
        self._emit_body()
        self._non_body_bytes = byte_limits.non_body_bytes(
            self._non_body_bytes, len(data), self._body_bytes - before
        )
        if self._non_body_bytes > byte_limits.MAX_NON_BODY_BYTES:
            self.end_endless('too many bytes outside the body')
        if self._must_close and self._exchange is not None:
            if self._exchange.ended and self._transport is not None:
                self._transport.close()

    def eof_received(self) -> bool:
        """Complete a response delimited by the close; else fail it."""
        self._must_close = True
        if self._until_close and self._exchange is not None:
            self._exchange.add_event(End())
        else:
            self._end_broken('closed by the other side', closed=True)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the open exchange; called by the event loop."""
        self.closed = True
        self._unsent.clear()
        # A path that is cut ends with a time-out instead.
        self._end_broken(
            f'connection lost: {error}' if error else 'closed',
            closed=error is None or isinstance(error, ConnectionError),
        )

    def _end_broken(
        self, detail: str, endless: bool = False, closed: bool = False
    ) -> None:
        if self._exchange is not None:
            self._emit_body()
            self._exchange.add_event(
                ConnectionBroken(
                    detail, self._exchange.answered, endless, closed
                )
            )

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Reset the state for a new response."""
        self._headers = []
        self._head_bytes = 0
        self._in_head = True
        self._skipping = False
        self._until_close = False
        if self._exchange is None or self._exchange.ended:
            self._must_close = True
            self._skipping = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are ignored."""
        if not self._in_head:
            return
        self._head_bytes += (
            len(name) + len(value) + byte_limits.HEADER_OVERHEAD_BYTES
        )
        if self._head_bytes > byte_limits.MAX_NON_BODY_BYTES:
            self.end_endless('head is too large')
            self._skipping = True
        else:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Emit the head; skip interim responses and those not matching."""
        self._in_head = False
        if self._skipping:
            return
        status = self._parser.get_status_code()
        exchange = self._exchange
        assert exchange is not None
        headers = tuple(self._headers)
        if status < 200:
            self._skipping = True
            return
        if exchange.matches is not None and not exchange.matches(
            status, headers
        ):
            self._must_close = True
            self._skipping = True
            return
        framing = {name.lower(): value for name, value in headers}
        length = framing.get(b'content-length')
        self._until_close = (
            length is None
            and b'transfer-encoding' not in framing
            and status not in _NO_BODY
            and not exchange.head_only
        )
        if self._until_close:
            self._must_close = True
        exchange.add_event(
            Head(
                status,
                headers,
                int(length) if length else None,
                self._until_close,
            )
        )
        if exchange.head_only:
            self._must_close = True
            exchange.add_event(End())

    def on_body(self, data: bytes) -> None:
        """Collect a piece of the body."""
        exchange = self._exchange
        if exchange is None or exchange.ended:
            return
        self._body_bytes += len(data)
        if not self._skipping:
            self._body_parts.append(data)
        if (
            exchange.max_body_bytes is not None
            and self._body_bytes > exchange.max_body_bytes
        ):
            self.end_endless(f'body over {exchange.max_body_bytes} bytes')

    def _emit_body(self) -> None:
        """Emit the body received so far as one piece."""
        # Over a limit, the piece ends the exchange, which comes back here.
        parts, self._body_parts = self._body_parts, []
        if parts and self._exchange is not None:
            self._exchange.add_event(Body(b''.join(parts)))

    def on_message_complete(self) -> None:
        """Emit the end of the response."""
        if self._skipping or self._exchange is None:
            return
        if not self._parser.should_keep_alive():
            self._must_close = True
        self._emit_body()
        self._exchange.add_event(End())


async def connect(
    address: types.Address, timeout_s: float
) -> ServerConnection | ConnectionBroken:
    """Open a connection.

    Returns
    -------
    ServerConnection or ConnectionBroken
        On failure no byte of a request has been sent.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                ServerConnection, address.ip, address.port
            )
    except TimeoutError:
        return ConnectionBroken(f'no connection within {timeout_s:.3f} s')
    except (OSError, OverflowError, ValueError) as error:
        # The last two for what is no address.
        return ConnectionBroken(f'cannot connect: {error}')
    return connection
