"""Event streams written to the caller's socket by the reading thread.

Waking a thread for each token is the largest cost of relaying small events.
The thread that reads from the model engine therefore also writes to the
caller, without blocking; the request thread sleeps until the stream ends or
the socket buffer is full.
"""

import socket
import threading

from ..answers import buffer

MAX_BACKLOG_BYTES = 4 * 1024 * 1024
WRITE_TIMEOUT_S = 20.0


class DirectStream:
    """Writes chunks of an HTTP/1.1 response body to one socket.

    `__call__` is a sink for an answer buffer. If the caller reads slowly, the
    thread in `run` sends the backlog; beyond `MAX_BACKLOG_BYTES` the stream
    is aborted, and the caller can resume it later.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._state_changed = threading.Condition()
        self._backlog = bytearray()
        self._ended = False
        self._broken = False

    def __call__(self, data: bytes, ended: bool) -> None:
        """Write events; bytes that would block are added to the backlog."""
        with self._state_changed:
            if data and not self._broken:
                self._write(b'%x\r\n%b\r\n' % (len(data), data))
            self._ended = self._ended or ended
            if self._ended or self._broken or self._backlog:
                self._state_changed.notify()

    def run(
        self,
        answer: buffer.AnswerBuffer,
        offset: int,
        keepalive: bytes,
        keepalive_interval_s: float,
    ) -> bool:
        """Stream an answer from `offset` on and return at its end.

        Parameters
        ----------
        keepalive : bytes
            Sent after each `keepalive_interval_s` without events, to detect a
            broken connection.

        Returns
        -------
        bool
            False if the caller has disconnected or reads too slowly.
        """
        answer.attach(offset, self)
        try:
            while self._wait_and_flush(keepalive, keepalive_interval_s):
                pass
        finally:
            answer.detach(self)
        return not self._broken

    def _wait_and_flush(
        self, keepalive: bytes, keepalive_interval_s: float
    ) -> bool:
        with self._state_changed:
            woken = self._state_changed.wait_for(
                lambda: self._ended or self._broken or self._backlog,
                keepalive_interval_s,
            )
            if not woken:
                self._write(b'%x\r\n%b\r\n' % (len(keepalive), keepalive))
            pending = bytes(self._backlog)
            if not pending:
                return not (self._ended or self._broken)
        self._flush(pending)
        return not self._broken

    def _flush(self, pending: bytes) -> None:
        # The bytes stay in the backlog until they are sent, so that the other
        # thread appends behind them instead of writing to the socket.
        timeout_s = self._connection.gettimeout()
        try:
            self._connection.settimeout(WRITE_TIMEOUT_S)
            self._connection.sendall(pending)
        except OSError:
            self._broken = True
            return
        finally:
            self._connection.settimeout(timeout_s)
        with self._state_changed:
            del self._backlog[: len(pending)]

    def _write(self, chunk: bytes) -> None:
        if self._backlog:
            self._backlog += chunk
            self._broken = len(self._backlog) > MAX_BACKLOG_BYTES
            return
        try:
            sent = self._connection.send(chunk, socket.MSG_DONTWAIT)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._broken = True
            return
        if sent < len(chunk):
            self._backlog += chunk[sent:]
