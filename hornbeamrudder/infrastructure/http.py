"""HTTP client: one libcurl multi loop in a thread, results as futures."""

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
PieceCallback = Callable[['HttpResponse', bytes], None]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """One HTTP call.

    Attributes
    ----------
    peer : str
        `ip:port` of the other side; carried by errors.
    single_send : bool
        The request may reach the peer at most once: a fresh connection that
        is closed afterwards. libcurl sends a request again by itself when a
        reused connection closes before any byte of the answer.
    *_timeout_s : float
        Limits in seconds.
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
    """Answer of a peer; `body` stays empty when pieces go to a callback."""

    status: int = 0
    headers_by_name: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''


class Call:
    """A call in progress.

    Attributes
    ----------
    future : concurrent.futures.Future of Result[HttpResponse, Failure]
    """

    def __init__(
        self, request: HttpRequest, on_piece: PieceCallback | None
    ) -> None:
        self.request = request
        self.on_piece = on_piece
        self.future: futures.Future[HttpResult] = futures.Future()
        self.response = HttpResponse()
        self.chunks: list[bytes] = []
        self.received_bytes = 0
        self.started_at = 0.0
        self.last_byte_at: float | None = None
        self.handle: pycurl.Curl | None = None
        self.failure_detail = ''

    def on_header(self, line: bytes) -> None:
        """Store one header line; a new status line starts afresh."""
        self.last_byte_at = time.monotonic()
        text = line.decode('latin-1').strip()
        if text.startswith('HTTP/'):
            self.response.status = int(text.split(' ', 2)[1])
            self.response.headers_by_name.clear()
        elif ':' in text:
            name, _, value = text.partition(':')
            self.response.headers_by_name[name.lower()] = value.strip()

    def on_body(self, chunk: bytes) -> int | None:
        """Store a piece of the body, or give it to the callback."""
        self.last_byte_at = time.monotonic()
        self.received_bytes += len(chunk)
        if self.on_piece is not None and self.response.status == 200:
            self.on_piece(self.response, chunk)
            return None
        if self.received_bytes > MAX_BODY_BYTES:
            self.failure_detail = f'body over {MAX_BODY_BYTES} bytes'
            return 0
        self.chunks.append(chunk)
        return None

    def timed_out(self, now: float) -> str:
        """Name the time limit that has passed, or return ''."""
        if now - self.started_at > self.request.total_timeout_s:
            return 'total time limit'
        if self.last_byte_at is None:
            limit = (
                self.request.connect_timeout_s
                + self.request.first_byte_timeout_s
            )
            late = now - self.started_at > limit
            return 'first byte time limit' if late else ''
        silent_s = now - self.last_byte_at
        if silent_s > self.request.between_bytes_timeout_s:
            return 'time limit between bytes'
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
    """Runs HTTP calls on one thread; safe to use from any thread."""

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
        self._pool_dropped_at_by_peer: dict[str, float] = {}
        self._timer_at: float | None = None
        self._next_check_at = 0.0
        self._lock = threading.Lock()
        self._closing = False
        self._closed = False
        self._running = 0
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )
        self._thread.start()

    def start(
        self, request: HttpRequest, on_piece: PieceCallback | None = None
    ) -> Call:
        """Start a call.

        Parameters
        ----------
        on_piece : callable, optional
            Gets the response head and each piece of a body with status 200,
            on the client's thread; it must not block.
        """
        call = Call(request, on_piece)
        self._command(_Start(call))
        return call

    def call(self, request: HttpRequest) -> HttpResult:
        """Run a call and wait for its result."""
        return self.start(request).future.result()

    def cancel(self, call: Call) -> None:
        """Stop a call and close its connection."""
        self._command(_Cancel(call))

    def close(self) -> None:
        """Stop the thread; calls in progress fail as interrupted."""
        # New calls are refused at once: queued before the end, they could
        # keep a slow thread from ever reaching it.
        with self._lock:
            self._closing = True
        self._command(_Close())
        self._thread.join()

    def _command(self, command: _Command) -> None:
        # The lock keeps the pipe's number from being closed, and given to
        # another file, before the write.
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
            # Asking libcurl for finished calls after each piece would cost
            # more than the pieces; the number of running ones tells.
            if self._running != len(self._calls_by_handle):
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
            _, self._running = self._multi.socket_action(key.fd, mask)
        if self._timer_at is not None and time.monotonic() >= self._timer_at:
            self._timer_at = None
            _, self._running = self._multi.socket_action(
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
        dropped_at = self._pool_dropped_at_by_peer.get(request.peer)
        if dropped_at is None:
            return
        # libcurl counts the age of a connection in whole seconds.
        age_s = int(time.monotonic() - dropped_at)
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
        late = [
            (call, limit)
            for call in self._calls_by_handle.values()
            if (limit := call.timed_out(now))
        ]
        for call, limit in late:
            self._pool_dropped_at_by_peer[call.request.peer] = now
            self._fail(call, errors.FailureKind.TIMEOUT, limit)

    def _succeed(self, call: Call) -> None:
        self._remove(call)
        call.response.body = b''.join(call.chunks)
        call.future.set_result(result.Success(call.response))

    def _fail(self, call: Call, kind: errors.FailureKind, detail: str) -> None:
        if kind is errors.FailureKind.TIMEOUT:
            peer = call.request.peer
            self._pool_dropped_at_by_peer[peer] = time.monotonic()
        self._remove(call)
        call.future.set_result(
            result.Failure(
                errors.Failure(
                    kind,
                    call.request.step,
                    call.request.peer,
                    detail,
                    # Only a connection that was never made proves that the
                    # peer did not run the request.
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
            # Only the connect time limit is left to libcurl, so nothing of
            # the request has been sent.
            return errors.FailureKind.NOT_CONNECTED
        case _:
            return errors.FailureKind.INTERRUPTED


def header(headers_by_name: Mapping[str, str], name: str) -> str:
    """Value of a response header, '' where it is absent."""
    return headers_by_name.get(name.lower(), '')
