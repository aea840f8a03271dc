"""Connections of one node to its peers."""

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

# Threads: one for each incoming and two for each outgoing connection.
MAX_PEERS = 64
MAX_INCOMING = 2 * MAX_PEERS
REQUEST_TIMEOUT_S = 5.0
MAX_OPEN_REQUESTS = 10_000
LISTEN_BACKLOG = 128
ACCEPT_POLL_S = 0.5
# Longer than a restart takes; without a limit, the addresses of replaced
# hosts would use up MAX_PEERS.
GIVE_UP_S = 60.0

Answer = result.Result[messages.Message, errors.Failure]
# Gets each message on the thread of its connection and must not block for
# long. What it returns is sent as the answer where the peer waits for one.
Handler = Callable[[messages.Envelope], messages.Message | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _OpenRequest:
    node: ids.NodeId
    future: 'futures.Future[Answer]'
    deadline: float


class PeerNetwork:
    """Listener, one outgoing connection per peer, and open requests.

    Parameters
    ----------
    address : Address
        Address to listen on; port 0 takes a free one, see `address`.
    seeds : iterable of Address
        Peers to connect to at first; others follow from their `Hello`.
    key : bytes
        Shared key by which nodes authenticate each other.
    server_tls, client_tls : ssl.SSLContext, optional
        Contexts for both directions; plain TCP without them.
    announce : Address, optional
        Where peers reach this node, if not at `address`.
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
        self._open_by_number: dict[int, _OpenRequest] = {}
        self._numbers = itertools.count(1)
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
            1 + MAX_INCOMING + 2 * MAX_PEERS, thread_name_prefix='peers'
        )
        self._pool.submit(self._accept)
        self._seeds = frozenset(seeds)
        self.add_peers(self._seeds)

    def add_peers(self, addresses: Iterable[types.Address]) -> None:
        """Keep a connection to each of these addresses from now on."""
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
        """Give up addresses that have not answered for `GIVE_UP_S`.

        Seeds and the addresses in `keep` stay. A peer that comes back is
        added again by its own connection.
        """
        with self._lock:
            removed = [
                self._senders_by_address.pop(address)
                for address, item in tuple(self._senders_by_address.items())
                if address not in keep
                and address not in self._seeds
                and item.silent_s() > GIVE_UP_S
            ]
        for item in removed:
            item.close()

    def connected(self) -> tuple[ids.NodeId, ...]:
        """Peers with an authenticated outgoing connection."""
        with self._lock:
            senders = tuple(self._senders_by_address.values())
        return tuple(
            sorted({item.peer for item in senders if item.peer is not None})
        )

    def send(self, node: ids.NodeId, message: messages.Message) -> bool:
        """Queue a message; False where it was not queued, and counted."""
        return self._send(node, self._envelope(message))

    def request(
        self,
        node: ids.NodeId,
        message: messages.Message,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> 'futures.Future[Answer]':
        """Send a message and return a future of its answer.

        A failure with outcome `unknown` leaves open whether the peer has
        handled the message.
        """
        future: futures.Future[Answer] = futures.Future()
        number = next(self._numbers)
        with self._lock:
            if len(self._open_by_number) >= MAX_OPEN_REQUESTS:
                future.set_result(
                    _failed(
                        errors.FailureKind.OVERLOADED,
                        node,
                        'too many open requests',
                    )
                )
                return future
            self._open_by_number[number] = _OpenRequest(
                node, future, time.monotonic() + timeout_s
            )
        if not self._send(node, self._envelope(message, number)):
            self._finish(
                number,
                _failed(
                    errors.FailureKind.NOT_CONNECTED, node, 'not connected'
                ),
            )
        return future

    def snapshot(self) -> dict[str, int]:
        """Counters of messages, bytes, drops and connections."""
        return self._counters.snapshot()

    def close(self) -> None:
        """Close all connections and end the threads."""
        with self._lock:
            self._closing.set()
            senders = tuple(self._senders_by_address.values())
            incoming = tuple(self._incoming)
            open_numbers = tuple(self._open_by_number)
        self._listener.close()
        for item in senders:
            item.close()
        for open_connection in incoming:
            open_connection.close()
        for number in open_numbers:
            self._finish(number, self._interrupted(number))
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
                return item.put(body)
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
                full = len(self._incoming) >= MAX_INCOMING
                opened = connection.Connection(raw)
                if not full and not self._closing.is_set():
                    self._incoming.add(opened)
                    self._pool.submit(self._serve, opened)
                    continue
            self._counters.add('connections_over_limit')
            opened.close()

    def _serve(self, opened: connection.Connection) -> None:
        try:
            self._receive(opened)
        except (OSError, connection.Malformed) as error:
            self._counters.add(
                'frames_malformed'
                if isinstance(error, connection.Malformed)
                else 'incoming_closed'
            )
        finally:
            opened.close()
            with self._lock:
                self._incoming.discard(opened)

    def _receive(self, opened: connection.Connection) -> None:
        if self._server_tls is not None:
            opened.start_tls(self._server_tls, server_side=True)
        peer = handshake.answer(opened, self.identity)
        if peer is None:
            self._counters.add('authentication_failed')
            return
        self._counters.add('incoming_opened')
        self.add_peers((peer.address,))
        while not self._closing.is_set():
            body = opened.read_frame()
            self._counters.add('bytes_received', len(body) + 4)
            if not body:
                # The sender watches the connection by these answers.
                opened.write(codec.frame(b''))
                continue
            envelope = codec.decode(body).value_or(None)
            if envelope is None or (envelope.sender, envelope.incarnation) != (
                peer.node,
                peer.incarnation,
            ):
                raise connection.Malformed('message')
            self._counters.add('messages_received')
            self._dispatch(envelope)

    def _dispatch(self, envelope: messages.Envelope) -> None:
        if envelope.is_answer:
            with self._lock:
                known = self._open_by_number.get(envelope.correlation)
            if known is not None and known.node == envelope.sender:
                self._finish(
                    envelope.correlation, result.Success(envelope.message)
                )
            else:
                self._counters.add('answers_unexpected')
            return
        try:
            answer = self._handler(envelope)
        except Exception as error:
            # A fault in a handler must not end the connection's thread.
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
            late = [
                (number, item.node)
                for number, item in self._open_by_number.items()
                if item.deadline < now
            ]
        for number, node in late:
            self._counters.add('requests_timed_out')
            self._finish(
                number,
                _failed(
                    errors.FailureKind.TIMEOUT,
                    node,
                    'no answer',
                    types.Outcome.UNKNOWN,
                ),
            )

    def _interrupted(self, number: int) -> Answer:
        item = self._open_by_number.get(number)
        return _failed(
            errors.FailureKind.INTERRUPTED,
            item.node if item else ids.NodeId(''),
            'network closed',
            types.Outcome.UNKNOWN,
        )

    def _finish(self, number: int, answer: Answer) -> None:
        with self._lock:
            item = self._open_by_number.pop(number, None)
        if item is not None and item.future.set_running_or_notify_cancel():
            item.future.set_result(answer)


def _failed(
    kind: errors.FailureKind,
    node: ids.NodeId,
    detail: str,
    outcome: types.Outcome = types.Outcome.NOT_RUN,
) -> Answer:
    return result.Failure(
        errors.Failure(kind, errors.Step.PEER_EXCHANGE, node, detail, outcome)
    )
