"""Full-mesh network of one node and its peers."""

from concurrent import futures
import dataclasses
import itertools
import socket
import ssl
import threading
import time
from typing import Callable, Container, Iterable

from returns import result
import structlog

from . import codec
from . import connection
from ..core import errors
from ..core import ids
from ..core import types
from . import counters
from . import handshake
from . import messages
from . import sender

# Each incoming connection uses one thread and each outgoing one uses two.
MAX_PEERS = 64
MAX_INCOMING_CONNECTIONS = 2 * MAX_PEERS
REQUEST_TIMEOUT_S = 5.0
MAX_PENDING_REQUESTS = 10_000
LISTEN_BACKLOG = 128
ACCEPT_POLL_S = 0.5
# Longer than a node restart. Without a limit, addresses of replaced hosts
# would accumulate up to MAX_PEERS.
UNREACHABLE_TIMEOUT_S = 60.0

Answer = result.Result[messages.Message, errors.Failure]
# Called on the receiving thread of the connection and must not block for
# long. A returned message is sent to the peer, as the answer if the peer
# expects one.
Handler = Callable[[messages.Envelope], messages.Message | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRequest:
    node: ids.NodeId
    future: 'futures.Future[Answer]'
    deadline: float


class PeerNetwork:
    """Listener, one outgoing connection per peer, and pending requests.

    Parameters
    ----------
    address : Address
        Listen address; with port 0 the system picks a port, see `address`.
    seeds : iterable of Address
        Peers to connect to at start-up; others are added when they connect
        and send their address in `Hello`.
    key : bytes
        Shared key by which nodes authenticate each other.
    server_tls, client_tls : ssl.SSLContext, optional
        Contexts for incoming and outgoing connections; plain TCP if absent.
    announce : Address, optional
        Address under which peers reach this node, if not `address`.
    """

    def __init__(
        self,
        node: ids.NodeId,
        incarnation: ids.Incarnation,
        address: types.Address,
        seeds: Iterable[types.Address],
        key: bytes,
        handler: Handler,
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
        announce: types.Address | None = None,
    ) -> None:
        self._handler = handler
        self._client_tls = client_tls
        self._server_tls = server_tls
        self._counters = counters.Counters()
        self._log = structlog.get_logger().bind(node=node)
        self._lock = threading.Lock()
        self._senders_by_address: dict[types.Address, sender.Sender] = {}
        self._incoming: set[connection.Connection] = set()
        self._pending_by_correlation: dict[int, _PendingRequest] = {}
        self._correlations = itertools.count(1)
        self._closing = threading.Event()
        self._listener = socket.create_server(
            (address.ip, address.port), backlog=LISTEN_BACKLOG
        )
        self._listener.settimeout(ACCEPT_POLL_S)
        self.address = announce or types.Address(
            address.ip, self._listener.getsockname()[1]
        )
        self.identity = handshake.Identity(
            node, incarnation, self.address, key
        )
        self._pool = futures.ThreadPoolExecutor(
            1 + MAX_INCOMING_CONNECTIONS + 2 * MAX_PEERS,
            thread_name_prefix='peers',
        )
        self._pool.submit(self._accept)
        self._seeds = frozenset(seeds)
        self.add_peers(self._seeds)

    def add_peers(self, addresses: Iterable[types.Address]) -> None:
        """Maintain a connection to each of these addresses."""
        for address in addresses:
            with self._lock:
                if (
                    self._closing.is_set()
                    or address == self.address
                    or address in self._senders_by_address
                ):
                    continue
                if len(self._senders_by_address) >= MAX_PEERS:
                    self._counters.add('peers_over_limit')
                    continue
                self._senders_by_address[address] = sender.Sender(
                    address,
                    self.identity,
                    self._client_tls,
                    self._counters,
                    self._pool,
                )

    def prune(self, keep: Container[types.Address]) -> None:
        """Remove addresses without a connection for `UNREACHABLE_TIMEOUT_S`.

        Seeds and the addresses in `keep` are never removed. A peer that
        returns is added again when it connects to this node.
        """
        with self._lock:
            removed = [
                self._senders_by_address.pop(address)
                for address, item in tuple(self._senders_by_address.items())
                if address not in keep
                and address not in self._seeds
                and item.disconnected_s() > UNREACHABLE_TIMEOUT_S
            ]
        for item in removed:
            item.close()

    def connected(self) -> tuple[ids.NodeId, ...]:
        """Return the peers that have an authenticated outgoing connection."""
        with self._lock:
            senders = tuple(self._senders_by_address.values())
        return tuple(
            sorted({item.peer for item in senders if item.peer is not None})
        )

    def send(self, node: ids.NodeId, message: messages.Message) -> bool:
        """Queue a message; a message that cannot be queued is counted.

        Returns
        -------
        bool
            Whether the message was queued.
        """
        return self._send(node, self._envelope(message))

    def request(
        self,
        node: ids.NodeId,
        message: messages.Message,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> 'futures.Future[Answer]':
        """Send a message and return a future for its answer.

        After a failure with outcome `unknown`, the peer may have processed
        the message.
        """
        future: futures.Future[Answer] = futures.Future()
        correlation = next(self._correlations)
        with self._lock:
            if len(self._pending_by_correlation) >= MAX_PENDING_REQUESTS:
                future.set_result(
                    _failure(
                        errors.FailureKind.OVERLOADED,
                        node,
                        'too many open requests',
                    )
                )
                return future
            self._pending_by_correlation[correlation] = _PendingRequest(
                node, future, time.monotonic() + timeout_s
            )
        if not self._send(node, self._envelope(message, correlation)):
            self._complete_request(
                correlation,
                _failure(
                    errors.FailureKind.NOT_CONNECTED, node, 'not connected'
                ),
            )
        return future

    def snapshot(self) -> dict[str, int]:
        """Return the counters of messages, bytes, drops and connections."""
        return self._counters.snapshot()

    def close(self) -> None:
        """Close all connections and stop the threads."""
        with self._lock:
            self._closing.set()
            senders = tuple(self._senders_by_address.values())
            incoming = tuple(self._incoming)
            correlations = tuple(self._pending_by_correlation)
        self._listener.close()
        for item in senders:
            item.close()
        for conn in incoming:
            conn.close()
        for correlation in correlations:
            self._complete_request(
                correlation, self._interrupted_failure(correlation)
            )
        self._pool.shutdown(wait=True, cancel_futures=True)

    def _envelope(
        self,
        message: messages.Message,
        correlation: int = 0,
        is_answer: bool = False,
    ) -> messages.Envelope:
        return messages.Envelope(
            self.identity.node,
            self.identity.incarnation,
            message,
            correlation,
            is_answer,
        )

    def _send(self, node: ids.NodeId, envelope: messages.Envelope) -> bool:
        with self._lock:
            item = next(
                (
                    item
                    for item in self._senders_by_address.values()
                    if item.peer == node
                ),
                None,
            )
        if item is None:
            self._counters.add('not_connected')
            return False
        match codec.encode(envelope):
            case result.Success(body):
                return item.enqueue(body)
            case _:
                self._counters.add('not_encoded')
                return False

    def _accept(self) -> None:
        while not self._closing.is_set():
            self._expire_requests()
            try:
                raw, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                if self._closing.wait(ACCEPT_POLL_S):
                    return
                continue
            with self._lock:
                at_limit = len(self._incoming) >= MAX_INCOMING_CONNECTIONS
                conn = connection.Connection(raw)
                if not at_limit and not self._closing.is_set():
                    self._incoming.add(conn)
                    self._pool.submit(self._serve_connection, conn)
                    continue
            self._counters.add('connections_over_limit')
            conn.close()

    def _serve_connection(self, conn: connection.Connection) -> None:
        try:
            self._receive_messages(conn)
        except (OSError, connection.ProtocolError) as error:
            self._counters.add(
                'frames_malformed'
                if isinstance(error, connection.ProtocolError)
                else 'incoming_closed'
            )
        finally:
            conn.close()
            with self._lock:
                self._incoming.discard(conn)

    def _receive_messages(self, conn: connection.Connection) -> None:
        if self._server_tls is not None:
            conn.start_tls(self._server_tls, server_side=True)
        peer = handshake.authenticate_incoming(conn, self.identity)
        if peer is None:
            self._counters.add('authentication_failed')
            return
        self._counters.add('incoming_opened')
        self.add_peers((peer.address,))
        while not self._closing.is_set():
            body = conn.read_frame()
            self._counters.add('bytes_received', len(body) + 4)
            if not body:
                # Echoed so that the sender can detect a dead connection.
                conn.write(codec.frame(b''))
                continue
            envelope = codec.decode(body).value_or(None)
            if envelope is None or (envelope.sender, envelope.incarnation) != (
                peer.node,
                peer.incarnation,
            ):
                raise connection.ProtocolError(
                    'undecodable message or wrong sender'
                )
            self._counters.add('messages_received')
            self._dispatch(envelope)

    def _dispatch(self, envelope: messages.Envelope) -> None:
        if envelope.is_answer:
            with self._lock:
                known = self._pending_by_correlation.get(envelope.correlation)
            if known is not None and known.node == envelope.sender:
                self._complete_request(
                    envelope.correlation, result.Success(envelope.message)
                )
            else:
                self._counters.add('answers_unexpected')
            return
        try:
            answer = self._handler(envelope)
        except Exception as error:
            # An exception in a handler must not end the receiving thread.
            self._counters.add('handler_errors')
            self._log.error(
                'message handler failed',
                message_type=type(envelope.message).__name__,
                error=repr(error),
            )
            return
        if answer is not None:
            self._send(
                envelope.sender,
                self._envelope(
                    answer,
                    envelope.correlation,
                    is_answer=envelope.correlation != 0,
                ),
            )

    def _expire_requests(self) -> None:
        now = time.monotonic()
        with self._lock:
            expired = [
                (correlation, item.node)
                for correlation, item in self._pending_by_correlation.items()
                if item.deadline < now
            ]
        for correlation, node in expired:
            self._counters.add('requests_timed_out')
            self._complete_request(
                correlation,
                _failure(
                    errors.FailureKind.TIMEOUT,
                    node,
                    'no answer',
                    types.Outcome.UNKNOWN,
                ),
            )

    def _interrupted_failure(self, correlation: int) -> Answer:
        item = self._pending_by_correlation.get(correlation)
        return _failure(
            errors.FailureKind.INTERRUPTED,
            item.node if item else ids.NodeId(''),
            'network closed',
            types.Outcome.UNKNOWN,
        )

    def _complete_request(self, correlation: int, answer: Answer) -> None:
        with self._lock:
            item = self._pending_by_correlation.pop(correlation, None)
        if item is not None and item.future.set_running_or_notify_cancel():
            item.future.set_result(answer)


def _failure(
    kind: errors.FailureKind,
    node: ids.NodeId,
    detail: str,
    outcome: types.Outcome = types.Outcome.NOT_RUN,
) -> Answer:
    return result.Failure(
        errors.Failure(kind, errors.Step.PEER_EXCHANGE, node, detail, outcome)
    )
