"""Steps for the limit that clients and backend servers share."""

import asyncio

import behave

from hornbeamrudder.gateway import byte_limits
from hornbeamrudder.gateway import http_client
from hornbeamrudder.gateway import shared_limit

PIECE_BYTES = 1000
# Room for answers: 20 pieces.
ANSWER_LIMIT = 20 * PIECE_BYTES


class _Account:
    def __init__(self, limit, total, kind='stalled'):
        self.limit = limit
        self.total = total
        self.kind = kind
        self.reductions = 0

    def reduce(self, target, now):
        self.reductions += 1
        if self.kind == 'charging':
            self.total += 1
            self.limit.settle(now)
        elif self.kind != 'busy':
            self.total = min(self.total, target)


@behave.given(
    'a limit of 100 bytes of which {other:d} are held by the other side'
)
def create_limit(context, other):
    context.limit = shared_limit.SharedLimit(100)
    context.limit.join(
        shared_limit.Side.SERVERS, _Account(context.limit, other)
    )


@behave.then('{room:d} may be held by a side')
def check_room(context, room):
    found = context.limit.room(shared_limit.Side.CLIENTS)
    assert found == room, found


@behave.given(
    'a limit of 100 bytes with {clients:d} bytes of "{kind}" clients and'
    ' {servers:d} of servers'
)
def create_both(context, clients, kind, servers):
    context.limit = limit = shared_limit.SharedLimit(100)
    context.clients = _Account(limit, clients, kind)
    context.servers = _Account(limit, servers)
    limit.join(shared_limit.Side.CLIENTS, context.clients)
    limit.join(shared_limit.Side.SERVERS, context.servers)


@behave.when('the limit is settled')
def settle(context):
    context.limit.settle(0.0)


@behave.then('clients hold {left:d} bytes and servers {kept:d}')
def check_both(context, left, kept):
    found = (context.clients.total, context.servers.total)
    assert found == (left, kept), found


@behave.then('it was reduced once')
def check_reduced_once(context):
    assert context.clients.reductions == 1, context.clients.reductions


class _Transport(asyncio.Transport):
    is_reading = True

    def get_extra_info(self, name, default=None):
        return self

    def setsockopt(self, *option):
        pass

    def write(self, data):
        pass

    def abort(self):
        pass

    def close(self):
        pass

    def pause_reading(self):
        self.is_reading = False

    def get_write_buffer_size(self):
        return 0


@behave.given(
    'a connection to a server whose reader waits while {count:d} pieces arrive'
)
def receive_pieces(context, count):
    context.held = byte_limits.HeldBytes(
        shared_limit.SharedLimit(ANSWER_LIMIT)
    )
    context.transport = _Transport()
    context.connection = connection = http_client.ServerConnection()
    connection.held_bytes = context.held
    connection.connection_made(context.transport)
    context.exchange = connection.send(b'GET / HTTP/1.1\r\n\r\n')
    connection.data_received(
        b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % (10**6)
    )
    context.read_pieces = 0
    for _ in range(count):
        if context.transport.is_reading:
            context.read_pieces += 1
        connection.data_received(b'x' * PIECE_BYTES)


@behave.when('its node holds too many bytes')
def receive_one_more(context):
    context.connection.data_received(b'x' * PIECE_BYTES)


@behave.then('the reader gets the head and the failure, and nothing is held')
def check_dropped(context):
    head, broken = context.exchange.events
    assert isinstance(head, http_client.Head), head
    assert isinstance(broken, http_client.ConnectionBroken), broken
    assert broken.endless
    assert context.held.total == 0, context.held.total


@behave.then(
    'reading has stopped after {count:d} pieces, past half of the room'
)
def check_stopped(context, count):
    assert context.read_pieces == count, context.read_pieces
