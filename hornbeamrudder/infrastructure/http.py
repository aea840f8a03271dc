"""HTTP client that runs a libcurl multi loop in a thread.

Results are delivered as futures.
"""

import collections
from concurrent import futures
import dataclasses
import math
import os
import selectors
import threading
import time
from typing import Callable, Mapping, Union

import pycurl
from returns import result

from ..core import errors
from ..core import types

CONNECT_TIMEOUT_S = 1.0
FIRST_BYTE_TIMEOUT_S = 10.0
BETWEEN_BYTES_TIMEOUT_S = 5.0
TOTAL_TIMEOUT_S = 600.0
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_CONNECTIONS = 4096
TIMEOUT_CHECK_INTERVAL_S = 0.1

HttpResult = result.Result['HttpResponse', errors.Failure]
ChunkCallback = Callable[['HttpResponse', bytes], None]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """HTTP request with its time-outs.

    Attributes
    ----------
    peer : str
        `ip:port` of the remote side; included in errors.
    single_send : bool
        Whether the request must reach the peer at most once. It then uses a
        new connection, which is closed afterwards, because libcurl resends a
        request when a reused connection closes before the first byte of the
        response.
    connect_timeout_s : float
        Maximum time to establish the connection.
    first_byte_timeout_s : float
        Time allowed for the first byte of the response, in addition to
        `connect_timeout_s`.
    between_bytes_timeout_s : float
        Maximum time between received parts of the response.
    total_timeout_s : float
        Maximum duration of the whole call.
    """

    method: str
    peer: str
    path: str
    step: errors.Step
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    single_send: bool = False
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    first_byte_timeout_s: float = FIRST_BYTE_TIMEOUT_S
    between_bytes_timeout_s: float = BETWEEN_BYTES_TIMEOUT_S
    total_timeout_s: float = TOTAL_TIMEOUT_S
    scheme: str = 'http'


@dataclasses.dataclass(slots=True)
class HttpResponse:
    """HTTP response; `body` is empty if chunks were passed to a callback."""

    status: int = 0
    headers_by_name: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''


class Call:
    """Call in progress.

    Attributes
    ----------
    future : concurrent.futures.Future of Result[HttpResponse, Failure]
        Completed when the call has finished, failed or been cancelled.
    """

    def __init__(
        self, request: HttpRequest, on_chunk: ChunkCallback | None
    ) -> None:
        self.request = request
        self.on_chunk = on_chunk
        self.future: futures.Future[HttpResult] = futures.Future()
        self.response = HttpResponse()
        self.chunks: list[bytes] = []
        self.received_bytes = 0
        self.started_at = 0.0
        self.last_byte_at: float | None = None
        self.handle: pycurl.Curl | None = None
        self.failure_detail = ''

    def on_header(self, line: bytes) -> None:
        """Store a header line; a status line resets status and headers."""
        self.last_byte_at = time.monotonic()
        text = line.decode('latin-1').strip()
        if text.startswith('HTTP/'):
            self.response.status = int(text.split(' ', 2)[1])
            self.response.headers_by_name.clear()
        elif ':' in text:
            name, _, value = text.partition(':')
            self.response.headers_by_name[name.lower()] = value.strip()

    def on_body(self, chunk: bytes) -> int | None:
        """Store a chunk of the body, or pass it to the callback."""
        self.last_byte_at = time.monotonic()
        self.received_bytes += len(chunk)
        if self.on_chunk is not None and self.response.status == 200:
            self.on_chunk(self.response, chunk)
            return None
        if self.received_bytes > MAX_BODY_BYTES:
            self.failure_detail = (
                f'response body exceeds {MAX_BODY_BYTES} bytes'
            )
            return 0
        self.chunks.append(chunk)
        return None

    def exceeded_timeout(self, now: float) -> str:
        """Describe the time-out that has expired; '' if none has."""
        total_s = self.request.total_timeout_s
        if now - self.started_at > total_s:
            return f'not complete within {total_s:g} s'
        if self.last_byte_at is None:
            first_byte_s = (
                self.request.connect_timeout_s
                + self.request.first_byte_timeout_s
            )
            if now - self.started_at > first_byte_s:
                return f'no response within {first_byte_s:g} s'
            return ''
        between_bytes_s = self.request.between_bytes_timeout_s
        if now - self.last_byte_at > between_bytes_s:
            return f'response stalled for more than {between_bytes_s:g} s'
        return ''


@dataclasses.dataclass(frozen=True, slots=True)
class _Start:
    call: Call


@dataclasses.dataclass(frozen=True, slots=True)
class _Cancel:
    call: Call


@dataclasses.dataclass(frozen=True, slots=True)
class _Close:
    pass


_Command = Union[_Start, _Cancel, _Close]


class HttpClient:
    """Runs HTTP calls on a background thread; thread-safe."""

    def __init__(self, name: str = 'http') -> None:
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_CONNECTIONS)
        self._selector = selectors.DefaultSelector()
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_read, False)
        os.set_blocking(self._wake_write, False)
        self._selector.register(self._wake_read, selectors.EVENT_READ)
        self._commands: collections.deque[_Command] = collections.deque()
        self._calls_by_handle: dict[pycurl.Curl, Call] = {}
        self._pool_invalidated_at_by_peer: dict[str, float] = {}
        self._timer_at: float | None = None
        self._next_check_at = 0.0
        self._lock = threading.Lock()
        self._closing = False
        self._closed = False
        self._running_count = 0
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )
        self._thread.start()

    def start(
        self, request: HttpRequest, on_chunk: ChunkCallback | None = None
    ) -> Call:
        """Start a call.

        Parameters
        ----------
        on_chunk : callable, optional
            Called on the client's thread with the response head and each
            chunk of a body with status 200; it must not block.
        """
        call = Call(request, on_chunk)
        self._submit(_Start(call))
        return call

    def call(self, request: HttpRequest) -> HttpResult:
        """Run a call and wait for its result."""
        return self.start(request).future.result()

    def cancel(self, call: Call) -> None:
        """Cancel a call and close its connection."""
        self._submit(_Cancel(call))

    def close(self) -> None:
        """Stop the thread; calls in progress fail with kind INTERRUPTED."""
        # New calls are rejected from here on. If they were still queued ahead
        # of the close command, a slow thread might never reach it.
        with self._lock:
            self._closing = True
        self._submit(_Close())
        self._thread.join()

    def _submit(self, command: _Command) -> None:
        # The lock prevents a write to a file descriptor that was closed and
        # then reused for another file.
        with self._lock:
            if not self._closed and (
                not self._closing or isinstance(command, _Close)
            ):
                self._commands.append(command)
                try:
                    os.write(self._wake_write, b'x')
                except BlockingIOError:
                    pass
                return
        if isinstance(command, _Start):
            self._fail(
                command.call, errors.FailureKind.NOT_CONNECTED, 'client closed'
            )

    def _run(self) -> None:
        while not self._closing:
            self._wait()
            self._run_commands()
            # Querying libcurl for finished calls after each chunk would cost
            # more than processing the chunk, so it is done only if libcurl's
            # count of running calls differs from the calls tracked here.
            if self._running_count != len(self._calls_by_handle):
                self._finish_calls()
            self._check_timeouts()
        for call in tuple(self._calls_by_handle.values()):
            self._fail(call, errors.FailureKind.INTERRUPTED, 'client closed')
        self._multi.close()
        self._selector.close()
        with self._lock:
            self._closed = True
            os.close(self._wake_read)
            os.close(self._wake_write)
        while self._commands:
            match self._commands.popleft():
                case _Start(call):
                    self._fail(
                        call, errors.FailureKind.NOT_CONNECTED, 'client closed'
                    )

    def _wait(self) -> None:
        now = time.monotonic()
        timer_at = math.inf if self._timer_at is None else self._timer_at
        check_at = self._next_check_at if self._calls_by_handle else math.inf
        wait_until = min(timer_at, check_at)
        timeout = (
            None if wait_until == math.inf else max(0.0, wait_until - now)
        )
        for key, events in self._selector.select(timeout):
            if key.fd == self._wake_read:
                self._drain_wake_pipe()
                continue
            mask = 0
            if events & selectors.EVENT_READ:
                mask |= pycurl.CSELECT_IN
            if events & selectors.EVENT_WRITE:
                mask |= pycurl.CSELECT_OUT
            _, self._running_count = self._multi.socket_action(key.fd, mask)
        if self._timer_at is not None and time.monotonic() >= self._timer_at:
            self._timer_at = None
            _, self._running_count = self._multi.socket_action(
                pycurl.SOCKET_TIMEOUT, 0
            )

    def _drain_wake_pipe(self) -> None:
        try:
            while os.read(self._wake_read, 4096):
                pass
        except BlockingIOError:
            pass

    def _run_commands(self) -> None:
        while self._commands:
            match self._commands.popleft():
                case _Start(call):
                    self._start(call)
                case _Cancel(call):
                    if call.handle in self._calls_by_handle:
                        self._fail(
                            call,
                            errors.FailureKind.INTERRUPTED,
                            'cancelled',
                        )
                case _Close():
                    self._closing = True

    def _start(self, call: Call) -> None:
        request = call.request
        handle = pycurl.Curl()
        call.handle = handle
        call.started_at = time.monotonic()
        handle.setopt(
            pycurl.URL, f'{request.scheme}://{request.peer}{request.path}'
        )
        handle.setopt(pycurl.CUSTOMREQUEST, request.method)
        headers = [f'{name}: {value}' for name, value in request.headers]
        if request.body or request.method in ('POST', 'PUT', 'PATCH'):
            handle.setopt(pycurl.POST, 1)
            handle.setopt(pycurl.POSTFIELDS, request.body)
            handle.setopt(pycurl.POSTFIELDSIZE, len(request.body))
            handle.setopt(pycurl.CUSTOMREQUEST, request.method)
        handle.setopt(pycurl.HTTPHEADER, [*headers, 'Expect:'])
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.NOPROXY, '*')
        handle.setopt(pycurl.FOLLOWLOCATION, 0)
        handle.setopt(pycurl.TCP_NODELAY, 1)
        handle.setopt(
            pycurl.CONNECTTIMEOUT_MS, int(request.connect_timeout_s * 1000)
        )
        handle.setopt(pycurl.HEADERFUNCTION, call.on_header)
        handle.setopt(pycurl.WRITEFUNCTION, call.on_body)
        self._limit_reuse(handle, request)
        self._calls_by_handle[handle] = call
        self._multi.add_handle(handle)

    def _limit_reuse(self, handle: pycurl.Curl, request: HttpRequest) -> None:
        if request.single_send:
            handle.setopt(pycurl.FRESH_CONNECT, 1)
            handle.setopt(pycurl.FORBID_REUSE, 1)
            return
        invalidated_at = self._pool_invalidated_at_by_peer.get(request.peer)
        if invalidated_at is None:
            return
        # libcurl has a resolution of one second for the age of a connection.
        age_s = int(time.monotonic() - invalidated_at)
        if age_s < 1:
            handle.setopt(pycurl.FRESH_CONNECT, 1)
        else:
            handle.setopt(pycurl.MAXLIFETIME_CONN, age_s)

    def _finish_calls(self) -> None:
        while True:
            queued, done, failed = self._multi.info_read()
            for handle in done:
                self._succeed(self._calls_by_handle[handle])
            for handle, code, message in failed:
                call = self._calls_by_handle[handle]
                self._fail(
                    call,
                    _failure_kind(code),
                    call.failure_detail or f'{message} (libcurl code {code})',
                )
            if queued == 0:
                return

    def _check_timeouts(self) -> None:
        now = time.monotonic()
        if now < self._next_check_at:
            return
        self._next_check_at = now + TIMEOUT_CHECK_INTERVAL_S
        expired = [
            (call, detail)
            for call in self._calls_by_handle.values()
            if (detail := call.exceeded_timeout(now))
        ]
        for call, detail in expired:
            self._pool_invalidated_at_by_peer[call.request.peer] = now
            self._fail(call, errors.FailureKind.TIMEOUT, detail)

    def _succeed(self, call: Call) -> None:
        self._remove(call)
        call.response.body = b''.join(call.chunks)
        call.future.set_result(result.Success(call.response))

    def _fail(self, call: Call, kind: errors.FailureKind, detail: str) -> None:
        if kind is errors.FailureKind.TIMEOUT:
            peer = call.request.peer
            self._pool_invalidated_at_by_peer[peer] = time.monotonic()
        self._remove(call)
        call.future.set_result(
            result.Failure(
                errors.Failure(
                    kind,
                    call.request.step,
                    call.request.peer,
                    detail,
                    # Only a connection that was never established proves
                    # that the peer did not execute the request.
                    types.Outcome.NOT_RUN
                    if kind is errors.FailureKind.NOT_CONNECTED
                    else types.Outcome.UNKNOWN,
                )
            )
        )

    def _remove(self, call: Call) -> None:
        handle = call.handle
        if handle is None:
            return
        del self._calls_by_handle[handle]
        self._multi.remove_handle(handle)
        handle.close()

    def _on_socket(
        self, action: int, fd: int, _multi: object, _data: object
    ) -> None:
        if action == pycurl.POLL_REMOVE:
            if fd in self._selector.get_map():
                self._selector.unregister(fd)
            return
        events = 0
        if action in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            events |= selectors.EVENT_READ
        if action in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            events |= selectors.EVENT_WRITE
        if fd in self._selector.get_map():
            self._selector.modify(fd, events)
        else:
            self._selector.register(fd, events)

    def _on_timer(self, timeout_ms: int) -> None:
        self._timer_at = (
            None if timeout_ms < 0 else time.monotonic() + timeout_ms / 1000
        )


def _failure_kind(code: int) -> errors.FailureKind:
    match code:
        case pycurl.E_COULDNT_CONNECT | pycurl.E_COULDNT_RESOLVE_HOST:
            return errors.FailureKind.NOT_CONNECTED
        case pycurl.E_OPERATION_TIMEDOUT:
            # libcurl enforces only the connect time-out, so no part of the
            # request has been sent.
            return errors.FailureKind.NOT_CONNECTED
        case _:
            return errors.FailureKind.INTERRUPTED


def header(headers_by_name: Mapping[str, str], name: str) -> str:
    """Return the value of a response header; '' if it is absent."""
    return headers_by_name.get(name.lower(), '')
