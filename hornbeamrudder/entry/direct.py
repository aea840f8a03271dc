"""Writes an event stream to the caller's socket from the reading thread.

A thread wake-up for each token is what a relay of small pieces spends most
on. Here the thread that reads from the model engine also writes to the
caller, without blocking; the thread of the request sleeps until the stream
ends or the socket's buffer is full.
"""

import socket
import threading

from ..answers import buffer

MAX_BACKLOG_BYTES = 4 * 1024 * 1024
WRITE_TIMEOUT_S = 20.0


class DirectStream:
    """Writes chunks of an HTTP/1.1 response body to one socket.

    `__call__` is a sink for an answer buffer. A caller that reads too
    slowly gets its bytes from the thread in `run`; beyond
    `MAX_BACKLOG_BYTES` it is given up and can resume later.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._changed = threading.Condition()
        self._backlog = bytearray()
        self._ended = False
        self._broken = False

    def __call__(self, data: bytes, ended: bool) -> None:
        """Write events, or keep what the socket does not take at once."""
        with self._changed:
            if data and not self._broken:
                self._write(b'%x\r\n%b\r\n' % (len(data), data))
            self._ended = self._ended or ended
            if self._ended or self._broken or self._backlog:
                self._changed.notify()

    def run(
        self,
        answer: buffer.AnswerBuffer,
        offset: int,
        idle: bytes,
        idle_s: float,
    ) -> bool:
        """Stream an answer from `offset` on until its end.

        Parameters
        ----------
        idle : bytes
            Sent every `idle_s` seconds, so that a broken connection shows.

        Returns
        -------
        bool
            False where the caller is gone or too slow.
        """
        answer.attach(offset, self)
        try:
            while self._step(idle, idle_s):
                pass
        finally:
            answer.detach(self)
        return not self._broken

    def _step(self, idle: bytes, idle_s: float) -> bool:
        with self._changed:
            woken = self._changed.wait_for(
                lambda: self._ended or self._broken or self._backlog, idle_s
            )
            if not woken:
                self._write(b'%x\r\n%b\r\n' % (len(idle), idle))
            pending = bytes(self._backlog)
            if not pending:
                return not (self._ended or self._broken)
        self._flush(pending)
        return not self._broken

    def _flush(self, pending: bytes) -> None:
        # The backlog keeps the bytes until they are sent, so that the other
        # thread goes on appending behind them.
        timeout_s = self._connection.gettimeout()
        try:
            self._connection.settimeout(WRITE_TIMEOUT_S)
            self._connection.sendall(pending)
        except OSError:
            self._broken = True
            return
        finally:
            self._connection.settimeout(timeout_s)
        with self._changed:
            del self._backlog[: len(pending)]

    def _write(self, frame: bytes) -> None:
        if self._backlog:
            self._backlog += frame
            self._broken = len(self._backlog) > MAX_BACKLOG_BYTES
            return
        try:
            sent = self._connection.send(frame, socket.MSG_DONTWAIT)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._broken = True
            return
        if sent < len(frame):
            self._backlog += frame[sent:]
