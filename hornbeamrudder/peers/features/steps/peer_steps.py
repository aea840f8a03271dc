"""Steps for messages and connections between nodes on loopback addresses."""

import dataclasses
import random
import socket
import ssl
import threading
import time
import typing

import behave
import hypothesis
from hypothesis import strategies
import msgpack
from returns import result

from hornbeamrudder.core import types
from hornbeamrudder.peers import codec
from hornbeamrudder.peers import connection
from hornbeamrudder.peers import messages
from hornbeamrudder.peers import network
from hornbeamrudder.peers import view

SHARED_KEY = b'shared key of the test'
PROPERTY_TEST = hypothesis.settings(
    max_examples=400, derandomize=True, deadline=None, database=None
)


def _strategy(kind):
    while hasattr(kind, '__supertype__'):
        kind = kind.__supertype__
    if dataclasses.is_dataclass(kind):
        hints = typing.get_type_hints(kind)
        return strategies.builds(
            kind, **{name: _strategy(hint) for name, hint in hints.items()}
        )
    arguments = typing.get_args(kind)
    if arguments and arguments[-1] is Ellipsis:
        return strategies.lists(_strategy(arguments[0]), max_size=4).map(tuple)
    if arguments:
        return strategies.tuples(*map(_strategy, arguments))
    return {
        int: strategies.integers(0, 2**63 - 1),
        float: strategies.floats(allow_nan=False, allow_infinity=False),
        bool: strategies.booleans(),
        str: strategies.text(max_size=20),
        bytes: strategies.binary(max_size=50),
    }[kind]


ENVELOPES = strategies.builds(
    messages.Envelope,
    sender=strategies.text(max_size=20),
    incarnation=strategies.integers(0, 2**63 - 1),
    message=strategies.one_of(
        *map(_strategy, messages.TYPE_BY_NUMBER.values())
    ),
    correlation=strategies.integers(0, 2**63 - 1),
    is_answer=strategies.booleans(),
)


@behave.then('random messages of every type are decoded as they were encoded')
def check_round_trip(context):
    @PROPERTY_TEST
    @hypothesis.given(ENVELOPES)
    def check(envelope):
        body = codec.encode(envelope).unwrap()
        assert codec.decode(body).unwrap() == envelope

    check()


@behave.then(
    'random bytes and corrupted messages are decoded or return a failure'
)
def check_corrupted(context):
    def check_decoding(body):
        match codec.decode(body):
            case result.Success(envelope):
                # Re-encoding checks that the fields have the declared types.
                assert codec.encode(envelope).unwrap()
            case result.Failure(failure):
                assert failure.step.value == 'exchange with peer'

    @PROPERTY_TEST
    @hypothesis.given(strategies.binary(max_size=200))
    def check_bytes(body):
        check_decoding(body)

    @PROPERTY_TEST
    @hypothesis.given(ENVELOPES, strategies.randoms(use_true_random=False))
    def check_modified(envelope, rng):
        body = bytearray(codec.encode(envelope).unwrap())
        for _ in range(rng.randint(1, 4)):
            body[rng.randrange(len(body))] = rng.randrange(256)
        check_decoding(bytes(body[: rng.randint(1, len(body))]))
        check_decoding(bytes(body))

    check_bytes()
    check_modified()
    for malformed in (b'\x91' * 100_000, b'\xdd\xff\xff\xff\xff', b'\xc1'):
        check_decoding(malformed)


def _heartbeat(sent_at=1.5, version=7):
    return messages.Heartbeat(sent_at, 3, 0.5, version)


@behave.then('a Heartbeat with an additional field is decoded without it')
def check_additional_field(context):
    body = codec.encode(messages.Envelope('a', 1, _heartbeat())).unwrap()
    raw = msgpack.unpackb(body)
    raw[5].append('field of a later release')
    raw.append('item of a later release')
    assert codec.decode(msgpack.packb(raw)).unwrap().message == _heartbeat()


@behave.then('a Heartbeat without the optional fields is decoded')
def check_missing_fields(context):
    body = codec.encode(messages.Envelope('a', 1, _heartbeat())).unwrap()
    raw = msgpack.unpackb(body)
    raw[5] = raw[5][:4]
    assert codec.decode(msgpack.packb(raw)).unwrap().message == _heartbeat()
    raw[5] = raw[5][:3]
    assert isinstance(codec.decode(msgpack.packb(raw)), result.Failure)


@behave.then('a peer is live for 2 s after its heartbeat')
def check_liveness(context):
    heartbeat = dataclasses.replace(
        _heartbeat(),
        demand=(('app', 4.0),),
        leaving=(messages.Leaving('host-1', 1, 5.0),),
    )
    peer_view = view.record_heartbeat(view.View(), 'a', 1, heartbeat, 10.0)
    assert view.live_peers(peer_view, 11.9) == {'a'}
    assert view.demand_by_service(peer_view, 11.9) == {'app': {'a': 4.0}}
    assert view.live_peers(peer_view, 12.0) == frozenset()
    assert view.demand_by_service(peer_view, 12.0) == {}
    assert view.leaving_hosts(peer_view, 100.0) == {'host-1'}
    assert view.versions_by_peer(peer_view) == {'a': (7, 10.0)}


@behave.then('an earlier incarnation does not replace a later one')
def check_incarnation(context):
    peer_view = view.record_heartbeat(
        view.View(), 'a', 2, _heartbeat(0.1, 8), 10.0
    )
    assert (
        view.record_heartbeat(peer_view, 'a', 1, _heartbeat(9.0, 7), 11.0)
        is peer_view
    )


class Node:
    """PeerNetwork whose handler answers FetchAnswer messages."""

    def __init__(
        self, context, name, seeds=(), key=SHARED_KEY, tls=(None, None), port=0
    ):
        self.handler_unblocked = threading.Event()
        self.handler_unblocked.set()
        self.network = network.PeerNetwork(
            name,
            time.time_ns(),
            types.Address('127.0.0.1', port),
            seeds,
            key,
            self.handle,
            *tls,
        )
        context.add_cleanup(self.close)

    def close(self):
        self.handler_unblocked.set()
        self.network.close()

    def handle(self, envelope):
        self.handler_unblocked.wait()
        message = envelope.message
        if not isinstance(message, messages.FetchAnswer):
            return None
        return messages.AnswerPiece(
            message.request, 1, message.offset, (bytes(message.offset),)
        )


def _wait(condition, seconds):
    until = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < until, 'condition not met in time'
        time.sleep(0.01)


def _anonymous_tls():
    """Return TLS contexts that work without certificates."""
    contexts = []
    for side in (ssl.PROTOCOL_TLS_SERVER, ssl.PROTOCOL_TLS_CLIENT):
        tls = ssl.SSLContext(side)
        tls.check_hostname = False
        tls.verify_mode = ssl.CERT_NONE
        tls.maximum_version = ssl.TLSVersion.TLSv1_2
        tls.set_ciphers('aNULL:@SECLEVEL=0')
        contexts.append(tls)
    return tuple(contexts)


@behave.given('nodes "a" and "b" connected over {transport}')
def connect(context, transport):
    tls = _anonymous_tls() if transport == 'TLS' else (None, None)
    context.a = Node(context, 'a', tls=tls)
    context.b = Node(context, 'b', [context.a.network.address], tls=tls)
    _wait(lambda: context.a.network.connected() == ('b',), 5)
    _wait(lambda: context.b.network.connected() == ('a',), 5)


@behave.when('"a" sends 200 concurrent requests to "b"')
def send_requests(context):
    context.sizes = [random.Random(3).choice((0, 10, 90_000))] * 200
    context.answers = [
        context.a.network.request('b', messages.FetchAnswer(str(i), 'x', size))
        for i, size in enumerate(context.sizes)
    ]


@behave.then('each request receives its own answer')
def check_answers(context):
    for index, (size, future) in enumerate(
        zip(context.sizes, context.answers, strict=True)
    ):
        piece = future.result(5).unwrap()
        assert piece.request == str(index)
        assert len(piece.pieces[0]) == size


@behave.then('the counters of "a" show 200 messages and no drops')
def check_counters(context):
    counts = context.a.network.snapshot()
    assert counts['messages_sent'] == 200
    assert counts['messages_received'] == 200
    assert not any(name.startswith('dropped') for name in counts), counts


@behave.given('node "a" and node "b" with different keys')
def connect_wrong_key(context):
    context.a = Node(context, 'a')
    context.b = Node(context, 'b', [context.a.network.address], b'other')


@behave.then('"a" counts failed authentications and neither is connected')
def check_wrong_key(context):
    def failed_authentications():
        return context.a.network.snapshot().get('authentication_failed', 0)

    _wait(lambda: failed_authentications() > 1, 5)
    assert context.a.network.connected() == ()
    assert context.b.network.connected() == ()
    assert not context.b.network.send('a', _heartbeat())
    assert context.b.network.snapshot()['not_connected'] == 1


@behave.when(
    'random bytes, oversized lengths and a forged MAC are sent to "a"'
)
def send_malformed(context):
    rng = random.Random(5)
    port = context.a.network.address.port
    forged = messages.Hello(
        types.Address('127.0.0.1', 9), bytes(32), bytes(32)
    )
    forged_body = codec.encode(messages.Envelope('b', 1, forged)).unwrap()
    payloads = [rng.randbytes(rng.randint(1, 500)) for _ in range(30)]
    payloads += [b'\xff\xff\xff\xff', b'', codec.frame(forged_body)]
    for payload in payloads:
        with socket.create_connection(('127.0.0.1', port)) as client:
            client.sendall(payload)
    context.silent = socket.create_connection(('127.0.0.1', port))
    context.add_cleanup(context.silent.close)


@behave.then('"a" still answers "b"')
def check_still_answers(context):
    future = context.b.network.request('a', messages.FetchAnswer('r', 'x', 1))
    assert future.result(5).unwrap().request == 'r'


@behave.then('a client that sends nothing is disconnected within 6 s')
def check_silent_client(context):
    context.silent.settimeout(6)
    while context.silent.recv(1000):
        pass


class Relay:
    """TCP relay that can stop forwarding on its open connections."""

    def __init__(self, target):
        self.target = (target.ip, target.port)
        self.blocked_sockets = set()
        self.open = []
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.address = types.Address(*self.listener.getsockname())
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            server = socket.create_connection(self.target)
            self.open += [client, server]
            for pair in ((client, server), (server, client)):
                threading.Thread(
                    target=self.forward, args=pair, daemon=True
                ).start()

    def forward(self, source, sink):
        try:
            while data := source.recv(65536):
                if source not in self.blocked_sockets:
                    sink.sendall(data)
        except OSError:
            pass

    def close(self):
        self.listener.close()
        for item in self.open:
            item.close()


@behave.given('nodes "a" and "b" connected through a relay')
def connect_through_relay(context):
    context.b = Node(context, 'b')
    context.relay = Relay(context.b.network.address)
    context.add_cleanup(context.relay.close)
    context.a = Node(context, 'a', [context.relay.address])
    _wait(lambda: context.a.network.connected() == ('b',), 5)
    context.accepted = len(context.relay.open)


@behave.when('the relay stops forwarding on its open connections')
def stop_forwarding(context):
    context.relay.blocked_sockets = set(context.relay.open)


@behave.then('"a" replaces its connection to the relay within 6 s')
def check_replaced(context):
    _wait(lambda: len(context.relay.open) > context.accepted, 6)
    counts = context.a.network.snapshot()
    assert counts['connections_silent'] >= 1, counts


@behave.when('"b" is closed and started again at its address')
def restart_peer(context):
    port = context.b.network.address.port
    context.b.network.close()
    context.interrupted = context.a.network.request(
        'b', messages.FetchAnswer('r', 'x', 1)
    )
    context.b = Node(context, 'b', port=port)


@behave.then('"a" reconnects to "b" within 8 s')
def check_reconnected(context):
    def answers():
        future = context.a.network.request(
            'b', messages.FetchAnswer('again', 'x', 1), 1.0
        )
        return isinstance(future.result(3), result.Success)

    _wait(answers, 8)


@behave.then('requests sent in between end with a failure')
def check_interrupted(context):
    assert isinstance(context.interrupted.result(8), result.Failure)


@behave.when('the handler of "b" blocks and "a" sends 200 MB')
def fill_queue(context):
    context.b.handler_unblocked.clear()
    push = messages.ConfigurationPush(b'', bytes(connection.READ_BUFFER_BYTES))
    context.sent = [context.a.network.send('b', push) for _ in range(800)]


@behave.then('some sends return False and each of them is counted')
def check_full(context):
    failed_sends = context.sent.count(False)
    counts = context.a.network.snapshot()
    counted = counts.get('dropped_queue_full', 0) + counts.get(
        'not_connected', 0
    )
    assert failed_sends == counted > 0, counts
