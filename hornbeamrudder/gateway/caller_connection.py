"""One connection of a client: order of requests, back-pressure, close."""

import asyncio
import collections
import http
from typing import TYPE_CHECKING

from . import client_limits
from . import clock
from . import connection_account
from . import reading_pauses
from . import request_reader

if TYPE_CHECKING:
    from . import http_server

# Pipelined requests above which a connection is not read until earlier ones
# are answered.
MAX_PIPELINED = 16
# Bytes that are parsed before the limits are checked.
PARSE_BYTES = 4 * 1024
# Time between half-close and close, for the client to read the response.
LINGER_S = 1.0
TIMEOUT_CHECK_INTERVAL_S = 0.5
REASON_BY_STATUS = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}


class CallerConnection(asyncio.BufferedProtocol):
    """One client connection."""

    def __init__(self, server: 'http_server.CallerServer') -> None:
        self.server = server
        self.chunked_allowed = True
        self._account: connection_account.ConnectionAccount
        self._pauses: reading_pauses.ReadingPauses
        self._transport: asyncio.Transport | None = None
        self._reader = request_reader.RequestReader(self)
        self._task: asyncio.Task[None] | None = None
        self._pending: collections.deque[request_reader.CallerRequest] = (
            collections.deque()
        )
        self._timer: asyncio.TimerHandle | None = None
        self._last_activity_at = clock.now()
        self._writable: asyncio.Future[None] | None = None
        self._closing = False
        self._refused_status: int | None = None
        # Received while the connection was about to be paused.
        self._unparsed = b''

    @property
    def holding(self) -> client_limits.Holding:
        """What the connection holds."""
        return self._account.holding

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered."""
        return self._task is not None or self.has_next_request

    @property
    def has_next_request(self) -> bool:
        """Whether a request follows the one that is being answered."""
        return bool(self._pending or self._reader.is_reading or self._unparsed)

    # Used by CallerServer and the account

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
            or reading_pauses.has_input(self._transport)
        ):
            return
        self._begin_close()
        self._transport.close()

    def refuse_incomplete(self) -> None:
        """Answer 503 if a request has been read in part only."""
        if self._reader.is_reading and not self._closing:
            if self._task is None and not self._pending:
                self._send_error(503)

    def evict(self, reason: client_limits.Reason) -> None:
        """Refuse what has not begun to run, and close.

        A client that does not read its response is cut off.
        """
        self.server.gate.record(reason)
        account = self._account
        if self._closing or (account.unread_bytes and account.is_stalled):
            self.abort()
        elif self._task is not None:
            self._refused_status = 503
            self._drop_next()
        elif self._reader.is_reading or self._pending:
            self._send_error(503)
        else:
            self._begin_close()
            self.server.connections.discard(self)
            if self._transport is not None:
                self._transport.close()

    def grant(self) -> None:
        """Read on: the body has been granted."""
        self._take_grant()
        self._resume(reading_pauses.PauseReason.GRANT)

    # Used by ResponseWriter

    def write(self, data: bytes) -> None:
        """Write to the client; ignored once the connection has ended."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            self._account.count_written(len(data), self._transport)

    def close(self) -> None:
        """Close gracefully after the pending writes.

        Half-closes first: closing a socket with unread bytes would reset it,
        and the client could lose the response.
        """
        if self._closing or self._transport is None:
            return
        self._begin_close()
        try:
            self._transport.write_eof()
        except OSError:
            # The client has reset the connection.
            self._transport.abort()
            return
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.close)

    def abort(self) -> None:
        """Reset the connection."""
        self._begin_close()
        self.server.connections.discard(self)
        self._account.drop_unread()
        if self._transport is not None:
            self._transport.abort()

    async def drain(self) -> None:
        """Wait while the transport's buffer is full."""
        if self._writable is not None:
            await self._writable

    # asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        gate = self.server.gate
        self._account = connection_account.ConnectionAccount(
            gate.account, self
        )
        self._pauses = reading_pauses.ReadingPauses(
            transport, gate.account, self.holding, gate.pacer
        )
        self._arm_timer()
        self.server.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the handler; called by the event loop."""
        self._begin_close()
        self.server.connections.discard(self)
        self._account.close()
        self._transport = None
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
        if self._transport is not None:
            self._account.count_unread(self._transport)
        if self._task is None:
            self._start_next()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into; called by the event loop."""
        return self.server.buffer

    def buffer_updated(self, count: int) -> None:
        """Parse received bytes; called by the event loop."""
        if self._is_discarding:
            return
        self._last_activity_at = clock.now()
        self._account.count_received(count)
        self._feed(self.server.buffer[:count])

    @property
    def _is_discarding(self) -> bool:
        return self._closing or self._refused_status is not None

    def _feed(self, data: memoryview) -> None:
        reader, pauses = self._reader, self._pauses
        reader.limits = self.server.limits
        pieces = reader.pieces
        for start in range(0, len(data), PARSE_BYTES):
            if self._is_discarding:
                return
            if pauses and pauses.keeps_unparsed:
                self._unparsed = bytes(data[start:])
                break
            reader.feed(data[start : start + PARSE_BYTES])
            if reader.is_reading and not reader.in_head:
                self._check_grant()
            if len(self._pending) >= MAX_PIPELINED:
                pauses.pause(reading_pauses.PauseReason.PIPELINE)
        if self._is_discarding:
            return
        self._update_phase()
        delay_s = pauses.pace_s(reader.pieces - pieces + 1, len(data))
        if delay_s:
            pauses.pause(reading_pauses.PauseReason.PACE)
            asyncio.get_running_loop().call_later(
                delay_s, self._resume, reading_pauses.PauseReason.PACE
            )
        self._account.count_reading(reader.held_bytes)

    # Back-pressure

    def _check_grant(self) -> None:
        wanted, pauses = self._reader.wanted_grant, self._pauses
        gate = self.server.gate
        if wanted and reading_pauses.PauseReason.GRANT not in pauses:
            self._wanted_grant = wanted
            if gate.account.request_grant(self, wanted, clock.now()):
                self._take_grant()
            else:
                pauses.pause(reading_pauses.PauseReason.GRANT)
                gate.schedule_sweep()
        self._check_continue()

    def _check_continue(self) -> None:
        """Let the client send a body that it holds back.

        Earlier requests are answered first.
        """
        if (
            self._reader.expects_continue
            and not self._pauses
            and self._task is None
            and not self._pending
        ):
            self._reader.expects_continue = False
            self.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _take_grant(self) -> None:
        self._reader.granted += self._wanted_grant
        self.holding.since = clock.now()

    def _resume(self, reason: reading_pauses.PauseReason) -> None:
        pauses = self._pauses
        if reason not in pauses:
            return
        pauses.end(reason)
        self._last_activity_at = clock.now()
        if not pauses.keeps_unparsed:
            unparsed, self._unparsed = self._unparsed, b''
            self._check_grant()
            self._feed(memoryview(unparsed))
        pauses.read_on()

    def _update_phase(self) -> None:
        phase = client_limits.Phase.IDLE
        if self._closing:
            phase = client_limits.Phase.CLOSING
        elif self._task is not None or self._pending:
            phase = client_limits.Phase.ANSWERING
        elif self._reader.is_reading:
            phase = client_limits.Phase.READING
        self._account.update_phase(phase)

    # Requests

    def on_request(self, request: request_reader.CallerRequest) -> None:
        """Queue a request for the handler, in order of arrival."""
        self._pauses.restart()
        self._account.queue(request)
        self._pending.append(request)
        if not self._account.settle() and not self._is_discarding:
            self._pending.pop()
            self._account.drop_queued((request,))
            self.server.gate.record(client_limits.Reason.TOO_MANY_BYTES)
            self._refuse(503)
        elif self._task is None:
            self._start_next()

    def on_malformed(
        self, status: int, reason: client_limits.Reason | None = None
    ) -> None:
        """Refuse a malformed request, or one over a limit."""
        self.server.malformed += 1
        if reason is not None:
            self.server.gate.record(reason)
        if not self._is_discarding:
            self._refuse(status)

    def _start_next(self) -> None:
        # The next response waits until the client has read this one.
        if self._closing or self._writable is not None:
            return
        if self._pending:
            request = self._pending.popleft()
            self._account.start(request)
            self._task = asyncio.get_running_loop().create_task(
                self._handle(request)
            )
            if len(self._pending) < MAX_PIPELINED:
                self._resume(reading_pauses.PauseReason.PIPELINE)
        elif self._refused_status is not None:
            self._send_error(self._refused_status)

    async def _handle(self, request: request_reader.CallerRequest) -> None:
        self.chunked_allowed = request.chunked_allowed
        reply = self.server.make_reply(self, request)
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
            self._account.finish()
            if not reply.ended:
                # The handler was cancelled or failed: reset, so that the
                # client does not take a partial response as complete.
                self.abort()
        self._start_next()
        self._check_continue()
        self._update_phase()

    # End

    def _refuse(self, status: int) -> None:
        """Send an error and close, after the earlier responses."""
        if self._task is not None or self._pending:
            self._refused_status = status
            self._drop_incomplete()
        else:
            self._send_error(status)

    def _send_error(self, status: int) -> None:
        self.write(
            b'HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'
            % (status, REASON_BY_STATUS[status])
        )
        self.close()

    def _begin_close(self) -> None:
        self._closing = True
        self._drop_next()
        self._update_phase()

    def _drop_next(self) -> None:
        """Drop all requests behind the one in progress."""
        self._account.drop_queued(self._pending)
        self._pending.clear()
        self._drop_incomplete()

    def _drop_incomplete(self) -> None:
        """Drop the request that has been read in part, and discard on."""
        self._account.drop_reading(self._reader.granted)
        self._reader.drop()
        self._unparsed = b''
        self._pauses.end_all()

    def _arm_timer(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts
        )

    def _check_timeouts(self) -> None:
        if self._transport is None:
            return
        now = clock.now()
        limits = self.server.limits
        self._account.count_unread(self._transport)
        if (
            self._account.unread_bytes
            and now - self._account.written_at > limits.idle_timeout_s
        ):
            self.server.gate.record(client_limits.Reason.UNREAD_RESPONSE)
            self.abort()
            return
        if not self._is_discarding:
            if self._pauses:
                self._check_hang_up()
            elif self._reader.is_reading:
                self._check_reading(now)
            else:
                self.close_if_idle(limits.idle_timeout_s)
        self._arm_timer()

    def _check_reading(self, now: float) -> None:
        limits = self.server.limits
        waited_s = now - self._reader.started_at - self._pauses.paused_s
        if self._reader.in_head:
            if waited_s > limits.header_timeout_s:
                self._refuse(408)
        elif waited_s > limits.body_timeout_s:
            self.server.gate.record(client_limits.Reason.SLOW_BODY)
            self._refuse(408)
        elif now - self._last_activity_at > limits.idle_timeout_s:
            self._refuse(408)

    def _check_hang_up(self) -> None:
        """Notice that a client has left whose connection is not read."""
        assert self._transport is not None
        if reading_pauses.has_hung_up(self._transport):
            self.eof_received()
            self._begin_close()
            self._transport.close()
