"""Steps for the HTTP client, with peers implemented on plain sockets."""

import socket
import threading
import time

import behave
from returns import result

from hornbeamrudder.core import errors
from hornbeamrudder.infrastructure import http

RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
HALF_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n' + b'a' * 50


class Peer:
    """Server whose responses are sent by a function.

    The function gets the connection, its number and the number of the request
    on it, and returns whether to keep the connection open.
    """

    def __init__(self, respond):
        self._respond = respond
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = '127.0.0.1:%d' % self._listener.getsockname()[1]
        self.connections = 0
        self.requests = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            self.connections += 1
            threading.Thread(
                target=self._serve,
                args=(connection, self.connections),
                daemon=True,
            ).start()

    def _serve(self, connection, number):
        served = 0
        while b'\r\n\r\n' in self._read_head(connection):
            served += 1
            self.requests += 1
            if not self._respond(connection, number, served):
                break
        connection.close()

    def _read_head(self, connection):
        head = b''
        while b'\r\n\r\n' not in head:
            data = connection.recv(65536)
            if not data:
                break
            head += data
        return head


def make_call(context, single_send=False, timeout_s=2.0, method='POST'):
    return context.client.start(
        http.HttpRequest(
            method=method,
            peer=context.peer.address,
            path='/',
            step=errors.Step.DISPATCH,
            single_send=single_send,
            first_byte_timeout_s=timeout_s,
            between_bytes_timeout_s=timeout_s,
            connect_timeout_s=0.2,
        )
    )


def start_peer(context, respond):
    context.peer = Peer(respond)
    context.client = http.HttpClient()
    context.add_cleanup(context.client.close)


@behave.given('a peer that closes a connection at its second request')
def closing_peer(context):
    def respond(connection, number, served):
        if served == 1:
            connection.sendall(RESPONSE)
        return served == 1

    start_peer(context, respond)


@behave.when('two single-send calls are made')
def single_send_calls(context):
    for _ in range(2):
        make_call(context, single_send=True).future.result(5)


@behave.when('two ordinary calls are made')
def ordinary_calls(context):
    for _ in range(2):
        make_call(context).future.result(5)


@behave.then('the peer has received {count:d} requests')
def check_requests(context, count):
    assert context.peer.requests == count, context.peer.requests


@behave.given(
    'a peer with {count:d} pooled connections that no longer respond'
)
def unresponsive_pool(context, count):
    first_responses = threading.Barrier(count)

    def respond(connection, number, served):
        if number <= count and served > 1:
            time.sleep(30)
        if number <= count:
            first_responses.wait(5)
        connection.sendall(RESPONSE)
        return True

    start_peer(context, respond)
    calls = [make_call(context) for _ in range(count)]
    for call in calls:
        assert call.future.result(5).unwrap().body == b'ok'
    assert context.peer.connections == count


@behave.when('a call times out on one of them')
def time_out(context):
    match make_call(context, timeout_s=0.3).future.result(5):
        case result.Failure(failure):
            assert failure.kind is errors.FailureKind.TIMEOUT, failure
        case other:
            raise AssertionError(other)
    context.connections_before = context.peer.connections


@behave.then('the next {count:d} calls succeed on new connections')
def check_new_connections(context, count):
    for _ in range(count):
        response = make_call(context, timeout_s=0.5).future.result(5)
        assert isinstance(response, result.Success), response
        time.sleep(0.4)
    assert context.peer.connections > context.connections_before


@behave.given('a peer that sends half of a response and pauses')
def half_response(context):
    def respond(connection, number, served):
        if number == 1:
            connection.sendall(HALF_RESPONSE)
            time.sleep(0.5)
            connection.sendall(b'a' * 50)
        else:
            connection.sendall(RESPONSE)
        return True

    start_peer(context, respond)


@behave.when('the call is cancelled and another is made')
def cancel_call(context):
    call = make_call(context)
    time.sleep(0.1)
    context.client.cancel(call)
    assert isinstance(call.future.result(5), result.Failure)
    context.response = make_call(context).future.result(5)


@behave.then('the second call gets its own response on a new connection')
def check_own_response(context):
    assert context.response.unwrap().body == b'ok'
    assert context.peer.connections == 2


@behave.when(
    'calls are made from {count:d} threads while the client is closed'
)
def close_under_calls(context, count):
    context.stopped = threading.Event()
    context.calls = []

    def make_calls():
        while not context.stopped.is_set():
            context.calls.append(make_call(context))

    threads = [threading.Thread(target=make_calls) for _ in range(count)]
    for thread in threads:
        thread.start()
    time.sleep(0.05)
    context.client.close()
    time.sleep(0.05)
    context.stopped.set()
    for thread in threads:
        thread.join()


@behave.then('every call has completed')
def check_completed(context):
    assert context.calls
    for call in context.calls:
        call.future.result(5)
