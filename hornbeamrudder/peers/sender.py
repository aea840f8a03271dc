"""Outgoing connection to one address, with reconnection after a failure."""

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

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
MAX_QUEUED_MESSAGES = 10_000
MAX_QUEUED_BYTES = 64 * 1024 * 1024


class Sender:
    """Send queue and connection; occupies two threads of the pool."""

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
        self._state_changed = threading.Condition()
        self._queue: collections.deque[bytes] = collections.deque()
        self._queue_bytes = 0
        self._conn: connection.Connection | None = None
        self._closing = False
        self._disconnected_at = time.monotonic()
        pool.submit(self._run)

    def enqueue(self, body: bytes) -> bool:
        """Queue an encoded message; returns False if the queue is full."""
        with self._state_changed:
            if self._closing or (
                len(self._queue) >= MAX_QUEUED_MESSAGES
                or self._queue_bytes + len(body) > MAX_QUEUED_BYTES
            ):
                self._counters.add('dropped_queue_full')
                return False
            self._queue.append(body)
            self._queue_bytes += len(body)
            self._state_changed.notify()
        return True

    def disconnected_s(self) -> float:
        """Return the seconds since the connection ended; 0 while connected."""
        return 0.0 if self.peer else time.monotonic() - self._disconnected_at

    def close(self) -> None:
        """Close the connection and stop the threads."""
        with self._state_changed:
            self._closing = True
            self._state_changed.notify_all()
            conn = self._conn
        if conn is not None:
            conn.close()

    def _run(self) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while not self._closing:
            conn = self._connect()
            if conn is not None:
                backoff_s = INITIAL_BACKOFF_S
                self._send_until_closed(conn)
            with self._state_changed:
                if not self._closing:
                    # Jitter spreads the reconnections of many nodes.
                    self._state_changed.wait(
                        backoff_s * random.uniform(0.5, 1.0)
                    )
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def _connect(self) -> connection.Connection | None:
        conn = None
        try:
            conn = connection.Connection(
                socket.create_connection(
                    (self._address.ip, self._address.port),
                    connection.CONNECT_TIMEOUT_S,
                )
            )
            if self._tls is not None:
                conn.start_tls(self._tls, False, self._address.ip)
            peer = handshake.authenticate_outgoing(conn, self._identity)
        except (OSError, connection.ProtocolError):
            self._counters.add('connects_failed')
            peer = None
        else:
            if peer is None:
                self._counters.add('authentication_failed')
        with self._state_changed:
            if conn is not None and peer is not None and not self._closing:
                self._conn = conn
                self.peer = peer.node
                return conn
        if conn is not None:
            conn.close()
        return None

    def _send_until_closed(self, conn: connection.Connection) -> None:
        self._counters.add('connections_opened')
        self._log.info('connected to peer', peer=self.peer)
        with self._state_changed:
            if self._closing:
                conn.close()
                return
            reader = self._pool.submit(self._read_keepalives, conn)
        keepalive_at = 0.0
        try:
            while self._conn is conn and not self._closing:
                body = self._dequeue()
                now = time.monotonic()
                # Also sent under load, because the peer replies only to
                # keepalives.
                if (
                    body
                    and now - keepalive_at >= connection.KEEPALIVE_INTERVAL_S
                ):
                    conn.write(codec.frame(b''))
                    keepalive_at = now
                elif not body:
                    keepalive_at = now
                conn.write(codec.frame(body))
                self._counters.add('bytes_sent', len(body) + 4)
                if body:
                    self._counters.add('messages_sent')
        except OSError:
            self._counters.add('write_failed')
        finally:
            conn.close()
            reader.result()
            self._on_disconnected()

    def _dequeue(self) -> bytes:
        with self._state_changed:
            if not self._queue and self._conn is not None:
                self._state_changed.wait(connection.KEEPALIVE_INTERVAL_S)
            if not self._queue or self._conn is None:
                return b''
            body = self._queue.popleft()
            self._queue_bytes -= len(body)
            return body

    def _read_keepalives(self, conn: connection.Connection) -> None:
        """Read the echoed keepalives until they stop."""
        try:
            while True:
                if conn.read_frame():
                    raise connection.ProtocolError(
                        'peer sent a message on an outgoing connection'
                    )
        except TimeoutError:
            self._counters.add('connections_silent')
        except (OSError, connection.ProtocolError):
            self._counters.add('connections_closed')
        finally:
            with self._state_changed:
                self._conn = None
                self._state_changed.notify_all()
            conn.close()

    def _on_disconnected(self) -> None:
        """Discard the queue, as the peer may be a new process next time."""
        with self._state_changed:
            dropped = len(self._queue)
            self._queue.clear()
            self._queue_bytes = 0
            lost_peer, self.peer = self.peer, None
            self._disconnected_at = time.monotonic()
            self._conn = None
        if dropped:
            self._counters.add('dropped_connection_lost', dropped)
        if not self._closing:
            self._log.warning('connection to peer lost', peer=lost_peer)
