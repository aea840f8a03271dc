"""Steps for bytes without end, with a node and platform stand-ins."""

import asyncio
import time
import tracemalloc
from unittest import mock
import zlib

import behave
import msgpack

from hornbeamrudder.core import errors
from hornbeamrudder.core import ids
from hornbeamrudder.core import types
from hornbeamrudder.gateway import events
from hornbeamrudder.gateway import failover
from hornbeamrudder.gateway.features import node_harness
from hornbeamrudder.gateway import json_client
from hornbeamrudder.gateway import store_health
from hornbeamrudder.gateway import table_relay
from hornbeamrudder.standins import endless
from hornbeamrudder.standins import platform_caller

EVENT_COUNT = 6
MB = 1e6
# Time for the stand-in to notice that the node has closed the connection.
NOTICE_S = 2.0
MAX_SEND_S = 5.0
PIECE = b'x' * 16384


def _events(last, first=1):
    return b''.join(
        b'id: %d\ndata: piece %d\n\n' % (number, number)
        for number in range(first, last + 1)
    )


def _brief(response):
    return (
        f'status {response.status}, {len(response.body)} bytes from'
        f' {response.body[:160]}, complete: {response.complete}, after'
        f' {response.elapsed_s:.3f} s'
    )


async def _wait_for_cut(answer):
    until = time.monotonic() + NOTICE_S
    while answer.elapsed_s is None and time.monotonic() < until:
        await asyncio.sleep(0.01)


def _send_request(context, route, answer, remaining_ms, **options):
    """Send a request whose first server sends `answer`, the next normally."""

    async def scenario(harness):
        shared = [answer]
        for server in (*harness.plain_servers, *harness.engines):
            server.behaviours = shared
        response = await harness.send_request(
            f'/{route}/x', remaining_ms=remaining_ms
        )
        await _wait_for_cut(answer)
        return (
            response,
            harness.received_requests(),
            [
                record.health_state
                for record in harness.node.state.servers.by_id.values()
            ],
        )

    context.answer = answer
    context.response, context.requests, context.health_states = (
        node_harness.run_scenario(scenario, event_count=EVENT_COUNT, **options)
    )


@behave.when(
    'a request on "{route}" is answered with a "{kind}" without end and then'
    ' normally'
)
def send_with_endless_answer(context, route, kind):
    is_stream = route in ('chat', 'plan')
    _send_request(
        context,
        route,
        endless.Answer(endless.Endless(kind), b'' if is_stream else None),
        1500,
    )


@behave.then('the client receives {status:d} from {count:d} servers')
def check_status(context, status, count):
    assert context.response.status == status, _brief(context.response)
    assert context.response.complete
    assert len(context.requests) == count, context.requests


@behave.then(
    'the node cuts off the server within {megabytes:d} MB and'
    ' {milliseconds:d} ms'
)
def check_cut_off(context, megabytes, milliseconds):
    answer = context.answer
    seen = (
        f'sent {answer.byte_count / MB:.1f} MB, closed after'
        f' {answer.elapsed_s} s'
    )
    assert answer.elapsed_s is not None, seen
    assert answer.byte_count < megabytes * MB, seen
    assert answer.elapsed_s * 1e3 < milliseconds, seen


@behave.when(
    'a "{route}" stream goes on with a "{kind}" without end after {count:d}'
    ' events'
)
def break_stream_without_end(context, route, kind, count):
    _send_request(
        context,
        route,
        endless.Answer(endless.Endless(kind), _events(count)),
        3000,
    )


@behave.then('the client receives {count:d} events once, {end}')
def check_events(context, count, end):
    assert context.response.status == 200, _brief(context.response)
    assert context.response.body == _events(count), _brief(context.response)
    assert context.response.complete == (end == 'complete')


@behave.when(
    'the only engine drips bytes within an event after {count:d} events'
)
def drip_from_only_engine(context, count):
    with mock.patch.object(
        failover.Failover,
        'try_elsewhere',
        autospec=True,
        side_effect=failover.Failover.try_elsewhere,
    ) as context.try_elsewhere:
        _send_request(
            context,
            'plan',
            endless.Answer(endless.Endless.DRIP, _events(count)),
            1500,
            engine_count=1,
        )


@behave.then('it was tried elsewhere at most {count:d} times')
def check_tries(context, count):
    assert 1 <= context.try_elsewhere.call_count <= count, (
        context.try_elsewhere.call_count
    )


@behave.when(
    'a stream of 5 events with {count:d} blank lines between them, ended by'
    ' "{end}", arrives in pieces of {size:d} bytes'
)
def split_blank_lines(context, count, end, size):
    line_end = {'LF': b'\n', 'CRLF': b'\r\n'}[end]
    context.data = b''.join(
        line_end.join([b'id: %d' % number, b'data: x', *[b''] * count, b''])
        for number in range(1, 6)
    )
    context.splitter = events.EventSplitter()
    context.received = b''.join(
        context.splitter.feed(context.data[at : at + size])
        for at in range(0, len(context.data), size)
    )


@behave.then('5 events are counted and no byte is lost')
def check_blank_lines(context):
    splitter = context.splitter
    assert splitter.count == 5, splitter.count
    assert context.received + splitter.partial == context.data
    assert not splitter.partial.strip()
    last = context.received[context.received.index(b'id: 5') :].split()
    assert last == [b'id:', b'5', b'data:', b'x'], last


@behave.when('an event of {size:d} bytes arrives in pieces of 1 byte')
def feed_small_pieces(context, size):
    splitter = events.EventSplitter()
    started_at = time.process_time()
    pieces = [splitter.feed(b'x') for _ in range(size)]
    event = splitter.feed(b'\n\n')
    context.processor_s = time.process_time() - started_at
    assert not any(pieces) and len(event) == size + 2


@behave.then('it takes less than a second of processor time')
def check_processor_time(context):
    assert context.processor_s < 1.0, context.processor_s


@behave.then('the stream has lasted until its deadline')
def check_lasted(context):
    assert 1.4 < context.response.elapsed_s < 2.5, context.response


@behave.when('a call is answered with a "{kind}" without end')
def call_with_endless_answer(context, kind):
    answer = endless.Answer(endless.Endless(kind))

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        await answer.send(b'HTTP/1.1 200 OK\r\n\r\n', writer)
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, node_harness.IP, 0)
        client = json_client.JsonClient(
            types.Address(*server.sockets[0].getsockname()),
            errors.Step.READ_TABLE,
        )
        result = await client.call('GET', '/x', timeout_s=3.0)
        await _wait_for_cut(answer)
        server.close()
        return result

    context.answer = answer
    context.result = asyncio.run(run())


@behave.then('the call fails with an unknown outcome')
def check_call_failed(context):
    assert isinstance(context.result, errors.Failure)
    assert context.result.outcome is types.Outcome.UNKNOWN


@behave.then('the outcome for the server is an error')
def check_outcome(context):
    assert [state.unreachable for state in context.health_states] == [0] * 4
    shares = [state.failure_share for state in context.health_states]
    assert sum(share > 0 for share in shares) == 1, shares


class _FinelyChunkedAnswer(endless.Answer):
    """A proper answer with most bytes outside its body."""

    async def send(self, head, writer):
        writer.write(head.removesuffix(b'\r\n'))
        writer.write(b'Transfer-Encoding: chunked\r\n\r\n')
        writer.write(b'1\r\nx\r\n' * self.byte_count)
        writer.write(b'0\r\nX-Trailer: 1\r\n\r\n')
        await writer.drain()
        self.elapsed_s = 0.0


@behave.when(
    'a server answers with a body of {size:d} bytes in chunks of 1 byte and a'
    ' trailer'
)
def answer_in_fine_chunks(context, size):
    answer = _FinelyChunkedAnswer(endless.Endless.CHUNKED, byte_count=size)
    _send_request(context, 'book', answer, 1500)


@behave.then('the client receives the whole body')
def check_whole_body(context):
    assert context.response.status == 200, _brief(context.response)
    assert context.response.body == b'x' * context.answer.byte_count


_HEAD = platform_caller.request_bytes('/book/x').removesuffix(b'\r\n')
_CHUNKED = (
    _HEAD.replace(b'Content-Length: 0\r\n', b'')
    + b'Transfer-Encoding: chunked\r\n\r\n'
)
_INPUT_BY_NAME = {
    'a target': (b'POST /', PIECE),
    'a header line': (_HEAD + b'X: ', PIECE),
    'blank lines': (b'', b'\r\n' * 8192),
    'chunk extension': (_CHUNKED + b'5;', PIECE),
    'a trailer': (_CHUNKED + b'2\r\nab\r\n0\r\nX: ', PIECE),
}


@behave.when('a client sends "{name}" without end')
def send_without_end(context, name):
    start, piece = _INPUT_BY_NAME[name]

    async def scenario(harness):
        reader, writer = await harness.connect()
        response = asyncio.create_task(platform_caller.read_response(reader))
        writer.write(start)
        sent = 0
        until = time.monotonic() + MAX_SEND_S
        while not response.done() and time.monotonic() < until:
            writer.write(piece)
            sent += len(piece)
            await writer.drain()
            await asyncio.sleep(0)
        assert response.done(), f'no answer after {sent / MB:.1f} MB'
        writer.close()
        return await response, sent

    context.response, context.sent = node_harness.run_scenario(scenario)


@behave.then(
    'the client receives {status:d} and can send at most {megabytes:d} MB'
)
def check_client_cut_off(context, status, megabytes):
    assert context.response.status == status, context.response
    assert context.sent < megabytes * MB, f'{context.sent / MB:.1f} MB'


@behave.when('a node receives a datagram that expands to {megabytes:d} MB')
def receive_expanding_datagram(context, megabytes):
    class Table:
        table = 'servers'

        def apply_changes(self, *changes):
            context.applied.append(changes)

    context.applied = []
    relay = table_relay.TableRelay(
        ids.NodeId('node-1'),
        {'servers': Table()},
        lambda node, data: None,
        lambda: (),
        lambda: False,
        lambda: (),
        store_health.StoreHealth(),
    )
    rows = msgpack.packb([('key', b'\0' * megabytes * 10**6, 1, False)])
    fields = [2, 'servers', 1, 2, 0.0, zlib.compress(rows)]
    assert len(msgpack.packb(fields)) < 65507
    del rows
    tracemalloc.start()
    context.handled = relay.handle_datagram(fields)
    context.peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


@behave.then('it is dropped and takes less than {megabytes:d} MB')
def check_datagram_dropped(context, megabytes):
    assert context.peak_bytes < megabytes * MB, context.peak_bytes
    assert not context.handled
    assert not context.applied
