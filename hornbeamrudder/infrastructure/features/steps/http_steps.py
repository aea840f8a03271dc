"""Steps for the HTTP client, against peers made of plain sockets."""

import socket
import threading
import time

import behave
from returns import result

from hornbeamrudder.core import errors
from hornbeamrudder.infrastructure import http

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
HALF_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n' + b'a' * 50


class Peer:
    """A server whose answer depends on connection and request numbers."""

    def __init__(self, answer):
        self._answer = answer
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
            if not self._answer(connection, number, served):
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


def start(context, answer):
    context.peer = Peer(answer)
    context.client = http.HttpClient()
    context.add_cleanup(context.client.close)


@behave.given('a peer that closes a connection at its second request')
def closing_peer(context):
    def answer(connection, number, served):
        if served == 1:
            connection.sendall(ANSWER)
        return served == 1

    start(context, answer)


@behave.when('two single-send calls are made')
def single_send_calls(context):
    for _ in range(2):
        make_call(context, single_send=True).future.result(5)


@behave.when('two ordinary calls are made')
def ordinary_calls(context):
    for _ in range(2):
        make_call(context).future.result(5)


@behave.then('the peer has seen {count:d} requests')
def check_requests(context, count):
    assert context.peer.requests == count, context.peer.requests


@behave.given('a peer with {count:d} pooled connections that have gone silent')
def silent_pool(context, count):
    first_answers = threading.Barrier(count)

    def answer(connection, number, served):
        if number <= count and served > 1:
            time.sleep(30)
        if number <= count:
            first_answers.wait(5)
        connection.sendall(ANSWER)
        return True

    start(context, answer)
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


@behave.then('the next {count:d} calls are answered on new connections')
def answered(context, count):
    for _ in range(count):
        answer = make_call(context, timeout_s=0.5).future.result(5)
        assert isinstance(answer, result.Success), answer
        time.sleep(0.4)
    assert context.peer.connections > context.connections_before


@behave.given('a peer that sends half of an answer and pauses')
def half_answer(context):
    def answer(connection, number, served):
        if number == 1:
            connection.sendall(HALF_ANSWER)
            time.sleep(0.5)
            connection.sendall(b'a' * 50)
        else:
            connection.sendall(ANSWER)
        return True

    start(context, answer)


@behave.when('the call is cancelled and another is made')
def cancel_call(context):
    call = make_call(context)
    time.sleep(0.1)
    context.client.cancel(call)
    assert isinstance(call.future.result(5), result.Failure)
    context.answer = make_call(context).future.result(5)


@behave.then('the other call runs on a new connection and has its own answer')
def own_answer(context):
    assert context.answer.unwrap().body == b'ok'
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


@behave.then('each of them has ended')
def check_ended(context):
    assert context.calls
    for call in context.calls:
        call.future.result(5)
