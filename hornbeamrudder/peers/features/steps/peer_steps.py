"""Steps for messages and connections, over loopback."""

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
from hornbeamrudder.peers import link
from hornbeamrudder.peers import messages
from hornbeamrudder.peers import view

KEY = b'shared key of the test'
FUZZ = hypothesis.settings(
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
    @FUZZ
    @hypothesis.given(ENVELOPES)
    def check(envelope):
        body = codec.encode(envelope).unwrap()
        assert codec.decode(body).unwrap() == envelope

    check()


@behave.then('random bytes and damaged messages are decoded or give a failure')
def check_damaged(context):
    def is_sound(body):
        match codec.decode(body):
            case result.Success(envelope):
                # What is accepted has the declared types.
                assert codec.encode(envelope).unwrap()
            case result.Failure(failure):
                assert failure.step.value == 'exchange with peer'

    @FUZZ
    @hypothesis.given(strategies.binary(max_size=200))
    def check_bytes(body):
        is_sound(body)

    @FUZZ
    @hypothesis.given(ENVELOPES, strategies.randoms(use_true_random=False))
    def check_changed(envelope, rng):
        body = bytearray(codec.encode(envelope).unwrap())
        for _ in range(rng.randint(1, 4)):
            body[rng.randrange(len(body))] = rng.randrange(256)
        is_sound(bytes(body[: rng.randint(1, len(body))]))
        is_sound(bytes(body))

    check_bytes()
    check_changed()
    for hostile in (b'\x91' * 100_000, b'\xdd\xff\xff\xff\xff', b'\xc1'):
        is_sound(hostile)


def _beat(sent_at=1.5, version=7):
    return messages.Heartbeat(sent_at, 3, 0.5, version)


@behave.then('a Heartbeat with one more field is decoded without it')
def check_longer(context):
    body = codec.encode(messages.Envelope('a', 1, _beat())).unwrap()
    raw = msgpack.unpackb(body)
    raw[5].append('field of a later release')
    raw.append('item of a later release')
    assert codec.decode(msgpack.packb(raw)).unwrap().message == _beat()


@behave.then('a Heartbeat without the fields with defaults is decoded')
def check_shorter(context):
    body = codec.encode(messages.Envelope('a', 1, _beat())).unwrap()
    raw = msgpack.unpackb(body)
    raw[5] = raw[5][:4]
    assert codec.decode(msgpack.packb(raw)).unwrap().message == _beat()
    raw[5] = raw[5][:3]
    assert isinstance(codec.decode(msgpack.packb(raw)), result.Failure)


@behave.then('a peer is alive for 2 s after its heartbeat')
def check_alive(context):
    beat = dataclasses.replace(
        _beat(),
        demand=(('app', 4.0),),
        leaving=(messages.Leaving('host-1', 1, 5.0),),
    )
    seen = view.hear(view.View(), 'a', 1, beat, 10.0)
    assert view.alive(seen, 11.9) == {'a'}
    assert view.demand_by_service(seen, 11.9) == {'app': {'a': 4.0}}
    assert view.alive(seen, 12.0) == frozenset()
    assert view.demand_by_service(seen, 12.0) == {}
    assert view.leaving_hosts(seen, 100.0) == {'host-1'}
    assert view.versions_heard(seen) == {'a': (7, 10.0)}


@behave.then('an earlier incarnation does not replace a later one')
def check_incarnation(context):
    seen = view.hear(view.View(), 'a', 2, _beat(0.1, 8), 10.0)
    assert view.hear(seen, 'a', 1, _beat(9.0, 7), 11.0) is seen


class Node:
    """A PeerNetwork whose handler answers a FetchAnswer."""

    def __init__(
        self, context, name, seeds=(), key=KEY, tls=(None, None), port=0
    ):
        self.released = threading.Event()
        self.released.set()
        self.network = link.PeerNetwork(
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
        self.released.set()
        self.network.close()

    def handle(self, envelope):
        self.released.wait()
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
    """Contexts without certificates, which the test cannot issue."""
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


@behave.when('"a" sends 200 requests of several sizes to "b" at once')
def send_requests(context):
    context.sizes = [random.Random(3).choice((0, 10, 90_000))] * 200
    context.answers = [
        context.a.network.request('b', messages.FetchAnswer(str(i), 'x', size))
        for i, size in enumerate(context.sizes)
    ]


@behave.then('each request has its own answer')
def check_answers(context):
    for index, (size, future) in enumerate(
        zip(context.sizes, context.answers, strict=True)
    ):
        piece = future.result(5).unwrap()
        assert piece.request == str(index)
        assert len(piece.pieces[0]) == size


@behave.then('the counters of "a" show 200 messages and no drop')
def check_counters(context):
    counts = context.a.network.snapshot()
    assert counts['messages_sent'] == 200
    assert counts['messages_received'] == 200
    assert not any(name.startswith('dropped') for name in counts), counts


@behave.given('node "a" and node "b" with another key')
def connect_wrong_key(context):
    context.a = Node(context, 'a')
    context.b = Node(context, 'b', [context.a.network.address], b'other')


@behave.then('"a" counts failed authentications and neither is connected')
def check_wrong_key(context):
    def refused():
        return context.a.network.snapshot().get('authentication_failed', 0)

    _wait(lambda: refused() > 1, 5)
    assert context.a.network.connected() == ()
    assert context.b.network.connected() == ()
    assert not context.b.network.send('a', _beat())
    assert context.b.network.snapshot()['not_connected'] == 1


@behave.when('random bytes, huge lengths and replayed proofs are sent to "a"')
def send_malformed(context):
    rng = random.Random(5)
    port = context.a.network.address.port
    proof = messages.Hello(types.Address('127.0.0.1', 9), bytes(32), bytes(32))
    replay = codec.encode(messages.Envelope('b', 1, proof)).unwrap()
    payloads = [rng.randbytes(rng.randint(1, 500)) for _ in range(30)]
    payloads += [b'\xff\xff\xff\xff', b'', codec.frame(replay)]
    for payload in payloads:
        with socket.create_connection(('127.0.0.1', port)) as client:
            client.sendall(payload)
    context.silent = socket.create_connection(('127.0.0.1', port))
    context.add_cleanup(context.silent.close)


@behave.then('"a" still answers "b"')
def check_still_answers(context):
    future = context.b.network.request('a', messages.FetchAnswer('r', 'x', 1))
    assert future.result(5).unwrap().request == 'r'


@behave.then('a half-open client is disconnected within 6 s')
def check_half_open(context):
    context.silent.settimeout(6)
    while context.silent.recv(1000):
        pass


class Relay:
    """Forwards TCP connections until it is told to swallow the bytes."""

    def __init__(self, target):
        self.target = (target.ip, target.port)
        self.swallowed = set()
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
                if source not in self.swallowed:
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
def swallow(context):
    context.relay.swallowed = set(context.relay.open)


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


@behave.then('"a" is connected to "b" again within 8 s')
def check_again(context):
    def answers():
        future = context.a.network.request(
            'b', messages.FetchAnswer('again', 'x', 1), 1.0
        )
        return isinstance(future.result(3), result.Success)

    _wait(answers, 8)


@behave.then('requests in between ended with a failure')
def check_failed(context):
    assert isinstance(context.interrupted.result(8), result.Failure)


@behave.when('the handler of "b" stops and "a" sends 200 MB')
def fill_queue(context):
    context.b.released.clear()
    push = messages.ConfigurationPush(b'', bytes(connection.READ_BYTES))
    context.sent = [context.a.network.send('b', push) for _ in range(800)]


@behave.then('some sends return False and each is counted')
def check_full(context):
    refused = context.sent.count(False)
    counts = context.a.network.snapshot()
    counted = counts.get('dropped_queue_full', 0) + counts.get(
        'not_connected', 0
    )
    assert refused == counted > 0, counts
