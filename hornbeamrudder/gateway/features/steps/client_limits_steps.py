"""Steps for the limits on what clients make a node hold."""

import asyncio
import dataclasses
import random

import behave

from hornbeamrudder.core import types
from hornbeamrudder.gateway import client_gate
from hornbeamrudder.gateway import client_limits
from hornbeamrudder.gateway import http_server
from hornbeamrudder.gateway import listener
from hornbeamrudder.gateway import shared_limit
from hornbeamrudder.standins import ports

NOW = 1000.0
MB = 1_000_000
SEED = 11
# Until a client of small pieces gives up.
SMALL_BURSTS = 60
BATCH = 50
IP = '127.0.0.1'


class _Client:
    """Client that records what the account decides, and gives up its bytes."""

    def __init__(self, name, account=None):
        self.name = name
        self.account = account
        self.reason = None
        self.is_granted = False

    def evict(self, reason):
        self.reason = reason
        self.account.discard(self)

    def grant(self):
        self.is_granted = True


def _holding(text):
    phase, part, size, idle_s = text.split()
    holding = client_limits.Holding(
        NOW - float(idle_s), client_limits.Phase(phase)
    )
    holding.bytes_by_part[client_limits.Part[part.upper()]] = int(size)
    return holding


@behave.given('clients that hold "{one}" and "{two}"')
def set_holdings(context, one, two):
    context.holdings = {'one': _holding(one), 'two': _holding(two)}


@behave.when('the order of closing for bytes is asked for')
def ask_eviction_order(context):
    context.order = client_limits.eviction_order(context.holdings.items(), NOW)


@behave.then('"{name}" goes first')
def check_first(context, name):
    assert context.order[0] == name, context.order


@behave.given('an account of {size:d} MB')
def create_account(context, size):
    context.account = client_limits.ClientBytes(
        shared_limit.SharedLimit(size * MB)
    )
    context.now = NOW


@behave.given(
    'an account of 1 MB that a client exceeds with a request in progress'
)
def create_exceeded_account(context):
    create_account(context, 1)
    context.busy = _Client('busy', context.account)
    holding = context.account.open(context.busy, NOW - 50)
    holding.phase = client_limits.Phase.ANSWERING
    context.account.charge(holding, client_limits.Part.RUNNING, 2 * MB)


@behave.when('another client has read 2000 bytes of a head')
def read_head_of_another(context):
    context.other = _Client('other', context.account)
    holding = context.account.open(context.other, NOW - 1)
    holding.phase = client_limits.Phase.READING
    context.account.charge(holding, client_limits.Part.READING, 2000)
    context.account.settle(NOW)


@behave.then('only the other client is closed')
def check_only_other(context):
    assert context.busy.reason is None
    assert context.other.reason is client_limits.Reason.TOO_MANY_BYTES


@behave.given('connections "{one}" and "{two}"')
def set_connections(context, one, two):
    context.connections = {}
    for name, text in (('one', one), ('two', two)):
        phase, idle_s, completed = text.split()
        context.connections[name] = client_limits.Holding(
            NOW - float(idle_s),
            client_limits.Phase(phase),
            has_completed=completed == 'yes',
        )


@behave.when('one of them has to be closed')
def choose_connection(context):
    context.closed = client_limits.connections_to_close(
        context.connections.items(), limit=16
    )


@behave.then('"{name}" is closed')
def check_closed(context, name):
    assert context.closed == ([] if name == 'neither' else [name])


@behave.when('{count:d} clients each want to send {size:d} MB')
def want_grants(context, count, size):
    context.clients = [
        _Client(number, context.account) for number in range(count)
    ]
    context.holdings = {}
    for client in context.clients:
        holding = context.account.open(client, context.now)
        holding.phase = client_limits.Phase.READING
        context.holdings[client] = holding
        client.is_granted = context.account.request_grant(
            client, size * MB, context.now
        )
        if client.is_granted:
            context.account.charge(
                holding, client_limits.Part.READING, size * MB
            )


@behave.then('{granted:d} are granted and {waiting:d} wait')
def check_grants(context, granted, waiting):
    assert sum(c.is_granted for c in context.clients) == granted
    assert context.account.waiting == waiting
    assert not any(client.reason for client in context.clients)


@behave.then('one that waits is granted when a body has been answered')
def check_next_grant(context):
    context.account.return_grant(context.holdings[context.clients[0]], 4 * MB)
    context.account.sweep(context.now)
    assert [
        client.name for client in context.clients if client.is_granted
    ] == [*range(7)]


@behave.when(
    'a body is answered and the next one, once granted, closes the last'
)
def grant_that_closes(context):
    granted, last = context.clients[6:]

    def grant():
        granted.is_granted = True
        last.evict(client_limits.Reason.TOO_MANY_BYTES)

    granted.grant = grant
    context.account.return_grant(context.holdings[context.clients[0]], 4 * MB)
    context.account.sweep(context.now)


@behave.then('7 are granted, and only the last is closed')
def check_last_closed(context):
    granted = [client for client in context.clients if client.is_granted]
    closed = [client for client in context.clients if client.reason]
    assert granted == context.clients[:7], len(granted)
    assert closed == context.clients[7:], len(closed)


@behave.when('{seconds:f} seconds pass')
def pass_time(context, seconds):
    context.now += seconds
    context.account.sweep(context.now)


@behave.when('they make progress for {seconds:f} seconds')
def make_progress(context, seconds):
    for _ in range(round(seconds / 0.1)):
        context.now += 0.1
        for holding in context.holdings.values():
            holding.since = context.now
        context.account.sweep(context.now)


@behave.then('the 2 that waited are granted and 2 others are closed')
def check_stalled_closed(context):
    assert all(client.is_granted for client in context.clients[6:])
    closed = [client for client in context.clients[:6] if client.reason]
    assert len(closed) == 2, closed


@behave.then(
    'the 2 that waited are refused for want of a grant and none is closed'
)
def check_waiting_refused(context):
    assert [client.reason for client in context.clients] == [None] * 6 + [
        client_limits.Reason.NO_GRANT
    ] * 2


@behave.given('a server in memory whose handler answers')
def create_answering_server(context):
    async def handle(request, reply):
        await asyncio.sleep(0)
        reply.send(200, (), b'y' * 300)

    context.gate = client_gate.ClientGate(
        shared_limit.SharedLimit(20 * MB), max_fds=900
    )
    context.server = http_server.CallerServer(handle, context.gate)


@behave.when(
    '{count:d} clients send requests, halves of requests and bodies of'
    ' {size:d} bytes, and leave'
)
def play_mixed_clients(context, count, size):
    rng = random.Random(SEED)
    whole = b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n' % size
    body = b'x' * size
    chunked = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
    texts = (
        b'GET / HTTP/1.1\r\n\r\n' * 40,
        whole + body,
        whole + body[:-1],
        whole + body + whole + body[: size // 2],
        chunked + b'%x\r\n%s\r\n' % (size, body),
        chunked + b'1\r\nx\r\n' * 3000 + b'0\r\n\r\n',
        b'GET / HTTP/1.1\r\nHo',
        b'nonsense\r\n\r\n',
    )

    async def play(port, text):
        reader, writer = await asyncio.open_connection(IP, port)
        writer.write(text)
        try:
            async with asyncio.timeout(rng.uniform(0.0, 0.1)):
                await reader.read(100)
        except (TimeoutError, ConnectionError):
            pass
        writer.transport.abort()

    async def run():
        context.loop_errors = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, details: context.loop_errors.append(details)
        )
        (port,) = ports.reserve(1)
        opened = await listener.open_listener(
            types.Address(IP, port), context.server
        )
        for _ in range(count // BATCH):
            await asyncio.gather(
                *(play(port, rng.choice(texts)) for _ in range(BATCH))
            )
        opened.close()
        async with asyncio.timeout(5):
            while context.server.connections:
                await asyncio.sleep(0.02)

    asyncio.run(run())


@behave.then('the account holds nothing')
def check_empty_account(context):
    account = context.gate.account
    assert (account.total, account.granted, account.waiting) == (0, 0, 0)
    assert not context.loop_errors, context.loop_errors


@behave.then(
    'of {fds:d} descriptors clients may take {front:d}, and {other:d} at each'
    ' other listener'
)
def check_descriptor_shares(context, fds, front, other):
    assert client_limits.max_connections(fds) == front
    assert client_limits.max_other_connections(fds) == other


@behave.when(
    '{count:d} clients each lack {shortfall:d} bytes in their pieces at once'
)
def lack_bytes(context, count, shortfall):
    pacer = client_limits.Pacer()
    context.delays = [pacer.delay_s(shortfall, NOW) for _ in range(count)]


@behave.then('the last of them is not read for {seconds:f} seconds')
def check_last_delay(context, seconds):
    assert abs(context.delays[-1] - seconds) < 1e-6, context.delays


CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
CONTINUE_S = 5.0
UPGRADE = b'Connection: Upgrade\r\nUpgrade: h2c\r\n'


def _sized(size, extra=b''):
    return b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n%s\r\n' % (
        size,
        extra,
    )


def _inputs(text):
    """Return what a client sends, the rest after 100, and its body bytes."""
    numbers = [int(word) for word in text.split() if word.isdigit()]
    match text.split()[0], numbers:
        case 'upgrade', [count, size] if 'bodies' in text:
            request = _sized(size, UPGRADE) + b'x' * size
            return request * count, b'', size * count
        case 'upgrade', [size, step] if 'chunks' in text:
            head, _, body = _inputs(f'chunked {size} of {step}')[0].partition(
                b'\r\n\r\n'
            )
            return head + b'\r\n' + UPGRADE + b'\r\n' + body, b'', size
        case 'upgrade', [count]:
            return _sized(0, UPGRADE) * count, b'', 0
        case 'continue', []:
            head = _sized(3000, b'Expect: 100-continue\r\n')
            return _sized(0) + head, b'x' * 3000, 3000
        case _, [count] if 'ahead' in text:
            return _sized(0) * count, b'', 0
        case _, [count, size] if 'ahead' in text:
            return (_sized(size) + b'x' * size) * count, b'', size * count
        case _, [size, 100]:
            head = _sized(size, b'Expect: 100-continue\r\n')
            return head, b'x' * size, size
        case _, [size, step]:
            head = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
            chunk = b'%x\r\n%s\r\n' % (step, b'x' * step)
            last = size % step
            rest = b'%x\r\n%s\r\n' % (last, b'x' * last) if last else b''
            chunks = chunk * (size // step) + rest + b'0\r\n\r\n'
            return head + chunks, b'', size
        case _, [count] if 'fields' in text:
            return _sized(0, b'ab: cd\r\n' * count), b'', 0
        case _, [size]:
            return _sized(size) + b'x' * size, b'', size


@behave.when('an ordinary client sends "{text}"')
def send_inside_limits(context, text):
    context.bodies = []
    answer = context.server.handler

    async def handle(request, reply):
        context.bodies.append(len(request.body))
        await answer(request, reply)

    context.server.handler = handle
    before, after, context.body_bytes = _inputs(text)

    async def run():
        (port,) = ports.reserve(1)
        opened = await listener.open_listener(
            types.Address(IP, port), context.server
        )
        reader, writer = await asyncio.open_connection(IP, port)
        writer.write(before)
        received = b''
        if after:
            async with asyncio.timeout(CONTINUE_S):
                received = await reader.readuntil(CONTINUE)
            received = received.removesuffix(CONTINUE)
            writer.write(after)
        async with asyncio.timeout(20):
            while received.count(b'y' * 300) < max(1, len(context.bodies)) or (
                context.server.busy
            ):
                piece = await reader.read(65536)
                assert piece, received[-200:]
                received += piece
        writer.close()
        opened.close()
        return received

    context.received = asyncio.run(run())


@behave.then('it receives {count:d} whole responses with status 200')
def check_whole_responses(context, count):
    assert context.received.count(b'HTTP/1.1 200 OK\r\n') == count
    assert context.received.count(b'y' * 300) == count
    assert len(context.bodies) == count, context.bodies
    assert sum(context.bodies) == context.body_bytes, context.bodies


@behave.when(
    'a client sends a request, and one that expects to be told to continue'
)
def send_behind_another(context):
    send_inside_limits(context, 'continue')


def _unclear(text):
    head = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n'
    match text:
        case 'two lengths':
            return _sized(3, b'Content-Length: 4\r\n') + b'xxxx'
        case 'a length and chunks':
            return head + b'Content-Length: 3\r\n\r\n0\r\n\r\n'
        case 'a chunk extension to no end':
            return head + b'\r\n1;' + b'e' * MB
        case 'trailers to no end':
            return head + b'\r\n0\r\n' + b'ab: cd\r\n' * 100_000
        case 'blank lines to no end':
            return b'\r\n' * MB
    return _sized(0, b'Connection: close\r\n') + _sized(0) * 1000


@behave.when('an unclear request is sent, with "{text}"')
def send_unclear(context, text):
    _send_and_read(context, [_unclear(text)], 0.0)


@behave.given('the time for a body is {seconds:f} seconds')
def limit_body_time(context, seconds):
    context.server.limits = dataclasses.replace(
        context.server.limits, body_timeout_s=seconds
    )


@behave.when(
    'a client sends {count:d} chunks of one byte every {seconds:f} seconds'
)
def send_small_pieces(context, count, seconds):
    head = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
    chunks = b'1\r\nx\r\n' * count
    _send_and_read(context, [head, *[chunks] * SMALL_BURSTS], seconds)


def _send_and_read(context, pieces, pause_s):
    context.runs = 0
    answer = context.server.handler

    async def handle(request, reply):
        context.runs += 1
        await answer(request, reply)

    async def send(writer):
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(pause_s)

    async def run():
        (port,) = ports.reserve(1)
        opened = await listener.open_listener(
            types.Address(IP, port), context.server
        )
        reader, writer = await asyncio.open_connection(IP, port)
        sending = asyncio.create_task(send(writer))
        async with asyncio.timeout(20):
            context.received = await reader.read()
        context.was_sending = sending.cancel()
        writer.close()
        opened.close()

    context.server.handler = handle
    asyncio.run(run())


@behave.then('it is refused before it gives up')
def check_was_sending(context):
    assert context.was_sending


@behave.then(
    '{runs:d} requests are run, and the last response is {status:d} and closes'
)
def check_refused(context, runs, status):
    assert context.runs == runs, context.runs
    heads = context.received.split(b'HTTP/1.1 ')[1:]
    assert [int(head[:3]) for head in heads] == [status], heads
    assert b'Connection: close' in heads[-1], heads
