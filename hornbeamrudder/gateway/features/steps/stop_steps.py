"""Steps for the graceful stop of a node."""

import asyncio
import itertools
import os
import signal
import socket
import time
from unittest import mock

import behave

from hornbeamrudder.gateway import clock
from hornbeamrudder.gateway.features import node_harness
from hornbeamrudder.gateway import http_server
from hornbeamrudder.gateway import listener
from hornbeamrudder.gateway import records
from hornbeamrudder.standins import platform_caller
from hornbeamrudder.standins import platform_server

# Events of a stream that lasts 4 seconds or a little longer.
LONG_STREAM_EVENTS = 400
# Events of a stream that lasts 0.4 seconds or a little longer.
SHORT_STREAM_EVENTS = 40
# Time for which a node takes streams after SIGTERM, and a little more.
LAST_STREAM_S = 2.8


def _stop():
    os.kill(os.getpid(), signal.SIGTERM)


def _raw_connection(port):
    """Connect without the event loop, which does not run meanwhile."""
    client = socket.create_connection((node_harness.IP, port), timeout=2)
    client.setblocking(False)
    return client


async def _read_response(client):
    reader, writer = await asyncio.open_connection(sock=client)
    response = await platform_caller.read_response(reader)
    writer.close()
    return response


@behave.when(
    'a client connects {connect_s:g} seconds after SIGTERM and sends a'
    ' "{route}" request {delay_s:g} seconds later'
)
def send_late_request(context, connect_s, route, delay_s):
    async def scenario(harness):
        active_stream = asyncio.create_task(
            harness.send_request('/chat/x', remaining_ms=6000)
        )
        await asyncio.sleep(0.1)
        _stop()
        await asyncio.sleep(connect_s)
        connection = await harness.connect()
        await asyncio.sleep(delay_s)
        response = await harness.send_request(f'/{route}/x', connection)
        rest = await connection[0].read()
        assert (await active_stream).complete
        return response, rest

    context.response, context.rest = node_harness.run_scenario(
        scenario, event_count=LONG_STREAM_EVENTS
    )


@behave.then('the client receives {status:d} and the connection is closed')
def check_closed(context, status):
    assert context.response.status == status, context.response
    assert context.response.complete
    assert context.response.headers['connection'] == 'close'
    assert context.rest == b''


@behave.when(
    'requests arrive on new and kept connections as a stopping node closes'
    ' idle ones'
)
def send_while_closing(context):
    request = platform_caller.request_bytes('/look/x')

    async def scenario(harness):
        kept = await harness.connect()
        assert (await harness.send_request('/look/x', kept)).status == 200
        new = await harness.connect()
        close_idle = harness.node.server.close_idle
        clients = []

        def send_and_close_idle(*arguments):
            if not clients:
                for _, writer in (kept, new):
                    # Written at once, before the node reads again.
                    writer.write(request)
                clients.append(_raw_connection(harness.settings.front.port))
                clients[0].sendall(request)
            close_idle(*arguments)

        harness.node.server.close_idle = send_and_close_idle
        _stop()
        await asyncio.wait([harness.task])
        return [
            await platform_caller.read_response(kept[0]),
            await platform_caller.read_response(new[0]),
            await _read_response(clients[0]),
        ]

    context.responses = node_harness.run_scenario(scenario)


@behave.then('each of these requests is answered')
def check_each_answered(context):
    statuses = [response.status for response in context.responses]
    assert statuses == [200, 200, 200], statuses
    assert all(response.complete for response in context.responses)


@behave.when(
    'a stream ends late in a stop and its connection carries another request'
    ' {delay_s:g} seconds later'
)
def send_after_stream(context, delay_s):
    async def scenario(harness):
        connection = await harness.connect()
        pending = asyncio.create_task(
            harness.send_request('/chat/x', connection, remaining_ms=6000)
        )
        await asyncio.sleep(0.1)
        _stop()
        started_at = time.monotonic()
        stream = await pending
        assert stream.complete and 'connection' not in stream.headers
        assert time.monotonic() - started_at > LAST_STREAM_S
        await asyncio.sleep(delay_s)
        response = await harness.send_request('/look/x', connection)
        return response, await connection[0].read()

    context.response, context.rest = node_harness.run_scenario(
        scenario, event_count=LONG_STREAM_EVENTS
    )


@behave.when(
    'three pipelined requests arrive on one connection of a stopping node'
)
def send_pipelined(context):
    async def scenario(harness):
        reader, writer = await harness.connect()
        _stop()
        await asyncio.sleep(0.1)
        writer.write(platform_caller.request_bytes('/look/x') * 3)
        return [await platform_caller.read_response(reader) for _ in range(3)]

    context.responses = node_harness.run_scenario(scenario)


@behave.then(
    'all three are answered and only the last response announces the close'
)
def check_pipelined(context):
    check_each_answered(context)
    assert [
        response.headers.get('connection') for response in context.responses
    ] == [None, None, 'close']


@behave.when('requests are sent to a stopping node until its process exits')
def send_until_exit(context):
    async def scenario(harness):
        requests = []

        async def send():
            try:
                connection = await harness.connect()
            except ConnectionRefusedError:
                return 'refused'
            response = await harness.send_request('/book/x', connection)
            return response.status

        async def send_while(condition):
            while condition():
                requests.append(asyncio.create_task(send()))
                await asyncio.sleep(0.05)

        # The removal of the node's row then takes until its timeout.
        harness.store.faults.unresponsive = True
        _stop()
        started_at = time.monotonic()
        await send_while(lambda: time.monotonic() < started_at + 2.4)
        await asyncio.sleep(LAST_STREAM_S - 2.4)
        for server in harness.plain_servers:
            server.behaviours = [platform_server.Behaviour.HANG] * 100
        await send_while(lambda: not harness.task.done())
        open_count = len(harness.node.server.connections)
        return open_count, [
            request.result() if request.done() else 'unanswered'
            for request in requests
        ]

    context.open_count, context.statuses = node_harness.run_scenario(scenario)


@behave.then(
    'no request is in progress then and each accepted one was answered'
)
def check_none_in_progress(context):
    assert set(context.statuses) == {200, 'refused'}, context.statuses
    assert context.open_count == 0, context.open_count


@behave.when('a listener is closed while connections wait in its queue')
def close_listener(context):
    async def handle(request, reply):
        reply.send(200, (), b'')

    async def scenario():
        server = http_server.CallerServer(handle)
        front = await asyncio.get_running_loop().create_server(
            server.make_connection, node_harness.IP, 0
        )
        port = front.sockets[0].getsockname()[1]
        clients = [_raw_connection(port) for _ in range(3)]
        for client in clients:
            client.sendall(platform_caller.request_bytes('/look/x'))
        server.stopping = True
        await listener.close_listener(front, server)
        return [await _read_response(client) for client in clients]

    context.responses = asyncio.run(scenario())


@behave.then('the request of each of them is answered')
def check_queue_served(context):
    check_each_answered(context)


@behave.when(
    'a client sends the body of its request a byte at a time until a node with'
    ' {grace_s:g} seconds for its stop exits'
)
def send_slowly(context, grace_s):
    async def scenario(harness):
        connection = await harness.connect()
        body = b'0123456789' * 10
        request = platform_caller.request_bytes('/look/x', body=body)
        connection[1].write(request[: -len(body)])
        _stop()
        started_at = time.monotonic()
        while not harness.task.done():
            connection[1].write(b'0')
            await asyncio.sleep(0.1)
        elapsed_s = time.monotonic() - started_at
        return elapsed_s, await platform_caller.read_response(connection[0])

    context.elapsed_s, context.response = node_harness.run_scenario(
        scenario, bounds=records.Bounds(grace_s=grace_s)
    )


@behave.then(
    'the client receives {status:d} and the node has exited within {grace_s:g}'
    ' seconds'
)
def check_exited_in_time(context, status, grace_s):
    assert context.response.status == status, context.response
    assert context.elapsed_s < grace_s, context.elapsed_s


@behave.when('a node with silent and with half-closed connections is stopped')
def stop_with_silent_connections(context):
    async def scenario(harness):
        port = harness.settings.front.port
        # Raw sockets do not close when the node has closed its side.
        clients = [_raw_connection(port) for _ in range(2)]
        _stop()
        started_at = time.monotonic()
        await asyncio.sleep(0.5)
        clients[0].sendall(platform_caller.request_bytes('/look/x'))
        await asyncio.wait([harness.task])
        elapsed_s = time.monotonic() - started_at
        for client in clients:
            client.close()
        return elapsed_s

    context.elapsed_s = node_harness.run_scenario(scenario)


@behave.then('it exits within {maximum:g} seconds')
def check_exit_time(context, maximum):
    assert context.elapsed_s < maximum, context.elapsed_s


@behave.when('a request arrives as its kept connection reaches the idle time')
def send_at_idle_time(context):
    async def scenario(harness):
        kept = await harness.connect()
        assert (await harness.send_request('/look/x', kept)).status == 200
        (connection,) = harness.node.server.connections
        idle_s = harness.node.server.limits.idle_timeout_s
        with mock.patch.object(
            clock, 'now', return_value=clock.now() + idle_s + 1
        ):
            # Written at once, before the node reads again.
            kept[1].write(platform_caller.request_bytes('/look/x'))
            connection._check_timeouts()
        return [await platform_caller.read_response(kept[0])]

    context.responses = node_harness.run_scenario(scenario)


@behave.then('the request on it is answered')
def check_answered_at_idle_time(context):
    (response,) = context.responses
    assert response.status == 200 and response.complete, response


@behave.when(
    'a "{route}" request with {remaining_ms:d} ms to its deadline is sent'
    ' {sent_s:g} seconds after SIGTERM to a node with {grace_s:g} seconds for'
    ' its stop'
)
def send_before_end(context, route, remaining_ms, sent_s, grace_s):
    async def scenario(harness):
        _stop()
        await asyncio.sleep(sent_s - 0.6)
        connection = await harness.connect()
        await asyncio.sleep(0.6)
        response = await harness.send_request(
            f'/{route}/x', connection, remaining_ms=remaining_ms
        )
        return response, harness.received_requests()

    context.response, context.requests = node_harness.run_scenario(
        scenario, bounds=records.Bounds(grace_s=grace_s)
    )


@behave.then('the client receives {status:d} and {count:d} servers receive it')
def check_received(context, status, count):
    assert context.response.status == status, context.response
    assert len(context.requests) == count, context.requests


@behave.when(
    '{count:d} streams of a limited account are requested late in a stop'
)
def request_limited_streams(context, count):
    async def scenario(harness):
        active_stream = asyncio.create_task(
            harness.send_request('/chat/x', remaining_ms=6000)
        )
        await asyncio.sleep(0.1)
        _stop()
        await asyncio.sleep(LAST_STREAM_S)
        responses = [
            await harness.send_request('/chat/x', key='key-south')
            for _ in range(count)
        ]
        await active_stream
        return responses

    context.responses = node_harness.run_scenario(
        scenario, event_count=LONG_STREAM_EVENTS
    )


@behave.then('each of them is refused with {status:d}')
def check_each_refused(context, status):
    statuses = {response.status for response in context.responses}
    assert statuses == {status}, statuses


@behave.when(
    'requests on "{route}" with {remaining_ms:d} ms to their deadline come'
    ' until a node with {grace_s:g} seconds for its stop exits, and servers'
    ' {do}'
)
def send_through_stop(context, route, remaining_ms, grace_s, do):
    async def scenario(harness):
        for server in (*harness.plain_servers, *harness.engines):
            if do == 'hang':
                server.behaviours = [platform_server.Behaviour.HANG] * 1000
        kept = [await harness.connect() for _ in range(int(grace_s * 20))]
        outcomes = {}

        async def send(connection):
            request_id = platform_caller.new_request_id()
            try:
                response = await harness.send_request(
                    f'/{route}/x',
                    connection or await harness.connect(),
                    request_id=request_id,
                    remaining_ms=remaining_ms,
                )
            except ConnectionError:
                response = None
            outcomes[request_id] = response

        tasks = []
        _stop()
        for turn in itertools.count():
            if harness.task.done():
                break
            connection = kept.pop() if turn % 2 and kept else None
            tasks.append(asyncio.create_task(send(connection)))
            await asyncio.sleep(0.05)
        await asyncio.wait(tasks, timeout=1.0)
        received = {item.request_id for item in harness.received_requests()}
        return outcomes, received

    routes = platform_server.configuration(
        1, (node_harness.ENGINE_SERVICE, node_harness.PLAIN_SERVICE)
    )['routes']
    context.outcomes, context.received = node_harness.run_scenario(
        scenario,
        event_count=SHORT_STREAM_EVENTS,
        bounds=records.Bounds(grace_s=grace_s),
        routes=[{**item, 'timeoutMs': 20000} for item in routes],
    )


@behave.then('each request that reached a server was answered')
def check_passed_on_answered(context):
    assert context.received
    unanswered = [
        request_id
        for request_id in context.received
        if context.outcomes.get(request_id) is None
        or not context.outcomes[request_id].complete
    ]
    assert not unanswered, (len(unanswered), len(context.received))
