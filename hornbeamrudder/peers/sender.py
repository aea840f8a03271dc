"""The outgoing connection to one address, replaced when it fails."""

import collections
from concurrent import futures
import random
import socket
import ssl
import threading
import time

import structlog

from . import codec
from . import connection
from ..core import ids
from ..core import types
from . import counters
from . import handshake

BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 5.0
MAX_QUEUE_ITEMS = 10_000
MAX_QUEUE_BYTES = 64 * 1024 * 1024


class Sender:
    """Queue and connection; uses two threads of the pool."""

    def __init__(
        self,
        address: types.Address,
        identity: handshake.Identity,
        tls: ssl.SSLContext | None,
        counts: counters.Counters,
        pool: futures.ThreadPoolExecutor,
    ) -> None:
        self.peer: ids.NodeId | None = None
        self._address = address
        self._identity = identity
        self._tls = tls
        self._counters = counts
        self._pool = pool
        self._log = structlog.get_logger().bind(
            node=identity.node, address=str(address)
        )
        self._changed = threading.Condition()
        self._queue: collections.deque[bytes] = collections.deque()
        self._queue_bytes = 0
        self._opened: connection.Connection | None = None
        self._closing = False
        self._lost_at = time.monotonic()
        pool.submit(self._run)

    def put(self, body: bytes) -> bool:
        """Queue an encoded message; False where the queue is full."""
        with self._changed:
            if self._closing or (
                len(self._queue) >= MAX_QUEUE_ITEMS
                or self._queue_bytes + len(body) > MAX_QUEUE_BYTES
            ):
                self._counters.add('dropped_queue_full')
                return False
            self._queue.append(body)
            self._queue_bytes += len(body)
            self._changed.notify()
        return True

    def silent_s(self) -> float:
        """Seconds since the last connection ended, 0 while connected."""
        return 0.0 if self.peer else time.monotonic() - self._lost_at

    def close(self) -> None:
        """End the connection and the threads."""
        with self._changed:
            self._closing = True
            self._changed.notify_all()
            opened = self._opened
        if opened is not None:
            opened.close()

    def _run(self) -> None:
        backoff_s = BACKOFF_FIRST_S
        while not self._closing:
            opened = self._open()
            if opened is not None:
                backoff_s = BACKOFF_FIRST_S
                self._use(opened)
            with self._changed:
                if not self._closing:
                    # Spreads the reconnections of many nodes.
                    self._changed.wait(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, BACKOFF_MAX_S)

    def _open(self) -> connection.Connection | None:
        opened = None
        try:
            opened = connection.Connection(
                socket.create_connection(
                    (self._address.ip, self._address.port),
                    connection.CONNECT_TIMEOUT_S,
                )
            )
            if self._tls is not None:
                opened.start_tls(self._tls, False, self._address.ip)
            peer = handshake.open_as(opened, self._identity)
        except (OSError, connection.Malformed):
            self._counters.add('connects_failed')
            peer = None
        else:
            if peer is None:
                self._counters.add('authentication_failed')
        with self._changed:
            if opened is not None and peer is not None and not self._closing:
                self._opened = opened
                self.peer = peer.node
                return opened
        if opened is not None:
            opened.close()
        return None

    def _use(self, opened: connection.Connection) -> None:
        self._counters.add('connections_opened')
        self._log.info('connected to peer', peer=self.peer)
        with self._changed:
            if self._closing:
                opened.close()
                return
            reader = self._pool.submit(self._watch, opened)
        keepalive_at = 0.0
        try:
            while self._opened is opened and not self._closing:
                body = self._take()
                now = time.monotonic()
                # Under load too: the peer answers only keepalives.
                if body and now - keepalive_at >= connection.KEEPALIVE_S:
                    opened.write(codec.frame(b''))
                    keepalive_at = now
                elif not body:
                    keepalive_at = now
                opened.write(codec.frame(body))
                self._counters.add('bytes_sent', len(body) + 4)
                if body:
                    self._counters.add('messages_sent')
        except OSError:
            self._counters.add('write_failed')
        finally:
            opened.close()
            reader.result()
            self._lose()

    def _take(self) -> bytes:
        with self._changed:
            if not self._queue and self._opened is not None:
                self._changed.wait(connection.KEEPALIVE_S)
            if not self._queue or self._opened is None:
                return b''
            body = self._queue.popleft()
            self._queue_bytes -= len(body)
            return body

    def _watch(self, opened: connection.Connection) -> None:
        """Read the peer's keepalives until they stop."""
        try:
            while True:
                if opened.read_frame():
                    raise connection.Malformed('message on a return path')
        except TimeoutError:
            self._counters.add('connections_silent')
        except (OSError, connection.Malformed):
            self._counters.add('connections_closed')
        finally:
            with self._changed:
                self._opened = None
                self._changed.notify_all()
            opened.close()

    def _lose(self) -> None:
        """Drop what waits: the peer may be another process next time."""
        with self._changed:
            dropped = len(self._queue)
            self._queue.clear()
            self._queue_bytes = 0
            lost, self.peer = self.peer, None
            self._lost_at = time.monotonic()
            self._opened = None
        if dropped:
            self._counters.add('dropped_connection_lost', dropped)
        if not self._closing:
            self._log.warning('connection to peer lost', peer=lost)
