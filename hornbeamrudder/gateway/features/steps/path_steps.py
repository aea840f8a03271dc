"""Steps for the request path, with a node and platform stand-ins."""

import asyncio
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import behave
import yaml

from hornbeamrudder.core import errors
from hornbeamrudder.gateway.features import node_harness
from hornbeamrudder.gateway import records
from hornbeamrudder.platform import adapter
from hornbeamrudder.standins import platform_caller
from hornbeamrudder.standins import platform_server

Behaviour = platform_server.Behaviour
EVENT_COUNT = 6


@behave.when(
    'a request on "{route}" is sent to servers that respond with "{first}" and'
    ' then "{second}"'
)
def send_to_failing_servers(context, route, first, second):
    async def scenario(harness):
        order = []
        for server in (*harness.plain_servers, *harness.engines):
            server.behaviours = node_harness.BehaviourSequence(
                order, [first, second]
            )
        response = await harness.send_request(f'/{route}/x', remaining_ms=1500)
        return response, harness.received_requests()

    context.response, context.requests = node_harness.run_scenario(scenario)


@behave.then(
    'the client receives {status:d} and {count:d} servers receive the request'
)
def check_attempts(context, status, count):
    assert context.response.status == status, context.response
    assert context.response.complete or not status
    assert len(context.requests) == count, context.requests
    assert len({request.request_id for request in context.requests}) == 1


@behave.when('a {kind} stream breaks within an event')
def break_stream(context, kind):
    route = 'plan' if kind == 'resumable' else 'chat'

    async def scenario(harness):
        order = []
        for server in harness.engines:
            server.behaviours = node_harness.BehaviourSequence(
                order, ['cut', 'normal']
            )
        return await harness.send_request(
            f'/{route}/x'
        ), harness.received_requests()

    context.response, context.requests = node_harness.run_scenario(
        scenario, event_count=EVENT_COUNT
    )


@behave.then(
    'the client receives each event once and the second server receives the'
    ' id of the last complete event'
)
def check_resumed(context):
    assert context.response.complete
    assert context.response.body == node_harness.complete_stream(
        EVENT_COUNT
    ), context.response.body
    last_ids = {
        request.headers.get('last-event-id') for request in context.requests
    }
    assert last_ids == {None, '3'}, last_ids


@behave.then('the response to the client is incomplete')
def check_truncated(context):
    assert context.response.status == 200
    assert not context.response.complete
    assert node_harness.complete_stream(EVENT_COUNT).startswith(
        context.response.body
    )


@behave.when(
    '{count:d} consecutive requests are sent to servers with the behaviour'
    ' "{behaviour}"'
)
def send_with_surplus_responses(context, count, behaviour):
    async def scenario(harness):
        for server in harness.plain_servers:
            server.behaviours = [Behaviour(behaviour)] * count
        responses = []
        for _ in range(count):
            request_id = platform_caller.new_request_id()
            responses.append(
                (
                    request_id,
                    await harness.send_request(
                        '/look/x', request_id=request_id
                    ),
                )
            )
            await asyncio.sleep(0.02)
        return responses

    context.responses = node_harness.run_scenario(scenario)


@behave.then('each client receives the response to its own request')
def check_own_responses(context):
    for request_id, response in context.responses:
        assert response.status == 200, response
        assert response.headers['x-hornbeamrudder-request-id'] == request_id
        assert response.body.startswith(b'answer of')


@behave.when('the address of a server is reassigned to another server')
def reassign_address(context):
    async def scenario(harness):
        reassigned_server = harness.plain_servers[0]
        reassigned_server.id = 'other-server'
        responses = []
        # Which of the two servers is chosen for a request is random.
        while len(responses) < 6 or (
            not reassigned_server.requests and len(responses) < 100
        ):
            responses.append(await harness.send_request('/look/x'))
        return responses, reassigned_server.requests

    context.responses, context.reassigned_requests = node_harness.run_scenario(
        scenario
    )


@behave.then('the request is not executed there and another server responds')
def check_not_executed(context):
    assert context.reassigned_requests
    assert not any(request.executed for request in context.reassigned_requests)
    assert all(response.status == 200 for response in context.responses)


@behave.when('a client sends headers that are reserved for the system')
def send_reserved_headers(context):
    reserved_headers = (
        'X-Hornbeamrudder-Tenant: south',
        'X-Hornbeamrudder-Request-Priority: 0',
        'X-Hornbeamrudder-Hold: h',
        'X-Hornbeamrudder-Pin-Ms: 4000',
        'X-Hornbeamrudder-Kv-Backup: 10.0.0.1:1',
        'Kv-From: 10.0.0.1:1/x',
        'Kv-Fetch: 10.0.0.1:1',
        'X-Hornbeamrudder-Expect-Instance: other-server',
        'Connection: x-private',
        'X-Private: 1',
        'X-Kept: 2',
    )

    async def scenario(harness):
        await harness.send_request('/book/x', headers=reserved_headers)
        return harness.received_requests()

    (context.request,) = node_harness.run_scenario(scenario)


@behave.then(
    'the backend server receives the account of the key and none of the'
    ' forged headers'
)
def check_reserved_headers(context):
    headers = context.request.headers
    assert headers['x-hornbeamrudder-tenant'] == 'north'
    assert headers['x-hornbeamrudder-expect-instance'].startswith('p-')
    assert headers['x-kept'] == '2'
    for name in (
        'x-hornbeamrudder-hold',
        'x-hornbeamrudder-pin-ms',
        'x-hornbeamrudder-kv-backup',
        'kv-from',
        'kv-fetch',
        'x-private',
        'authorization',
    ):
        assert name not in headers, name


_HEAD = (
    b'POST /book/x HTTP/1.1\r\nHost: shop.example\r\n'
    b'X-Hornbeamrudder-Request-Id: a1\r\nAuthorization: Bearer key-north\r\n'
)
_INPUT_BY_NAME = {
    'length and chunked': _HEAD
    + b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    'two lengths': _HEAD + b'Content-Length: 1\r\nContent-Length: 2\r\n\r\nab',
    'folded header': _HEAD + b'X: 1\r\n folded: 2\r\n\r\n',
    'head over the limit': _HEAD + b'X: ' + b'a' * 5000 + b'\r\n\r\n',
    'body over the limit': _HEAD + b'Content-Length: 70000\r\n\r\n',
    'unknown route': platform_caller.request_bytes('/nowhere/x'),
    'unknown key': platform_caller.request_bytes('/book/x', key='key-unknown'),
    'incomplete head': _HEAD,
}


@behave.when('a client sends "{name}"')
def send_input(context, name):
    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(_INPUT_BY_NAME[name])
        return await platform_caller.read_response(
            reader
        ), harness.received_requests()

    context.response, context.requests = node_harness.run_scenario(scenario)


@behave.then('the client receives {status:d} and no server receives a request')
def check_rejected(context, status):
    assert context.response.status == status, context.response
    assert not context.requests


@behave.when('a client sends three pipelined requests with chunked bodies')
def send_pipelined_requests(context):
    async def scenario(harness):
        reader, writer = await harness.connect()
        for number in range(3):
            writer.write(
                b'POST /book/%d HTTP/1.1\r\nHost: shop.example\r\n'
                b'X-Hornbeamrudder-Request-Id: a%d\r\n'
                b'Authorization: Bearer key-north\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n'
                b'3\r\nab%d\r\n2\r\ncd\r\n0\r\nX-Trailer: 1\r\n\r\n'
                % (number, number, number)
            )
        responses = [
            await platform_caller.read_response(reader) for _ in range(3)
        ]
        return responses, harness.received_requests()

    context.responses, context.requests = node_harness.run_scenario(
        scenario, plain_count=1
    )


@behave.then('three responses arrive in order and the bodies are unchanged')
def check_pipelined_responses(context):
    assert [
        response.headers['x-hornbeamrudder-request-id']
        for response in context.responses
    ] == ['a0', 'a1', 'a2']
    assert [request.body for request in context.requests] == [
        b'ab0cd',
        b'ab1cd',
        b'ab2cd',
    ]
    assert [request.target for request in context.requests] == [
        '/book/0',
        '/book/1',
        '/book/2',
    ]


@behave.when('a client disconnects while its request "{phase}"')
def disconnect_client(context, phase):
    async def scenario(harness):
        is_streamed = phase == 'is being streamed'
        for server in harness.engines:
            server.event_interval_s = 0.05
            if not is_streamed:
                server.behaviours = [Behaviour.HANG]
        reader, writer = await harness.connect()
        writer.write(platform_caller.request_bytes('/chat/x'))
        if is_streamed:
            await reader.readuntil(b'data')
        else:
            await asyncio.sleep(0.2)
        writer.close()
        await asyncio.sleep(0.45)
        return harness.received_requests()

    context.requests = node_harness.run_scenario(scenario, event_count=100)


@behave.then(
    'the request is cancelled at the backend server within half a second'
)
def check_cancelled(context):
    (request,) = context.requests
    assert request.client_disconnected


@behave.when('a request with {remaining_ms:d} ms to its deadline is forwarded')
def forward_remaining_time(context, remaining_ms):
    async def scenario(harness):
        await harness.send_request('/book/x', remaining_ms=remaining_ms)
        return harness.received_requests()

    (context.request,) = node_harness.run_scenario(scenario)


@behave.then(
    'the backend server receives a remaining time of {minimum:d} to'
    ' {maximum:d} ms'
)
def check_remaining_time(context, minimum, maximum):
    remaining_ms = int(
        context.request.headers['x-hornbeamrudder-deadline-remaining']
    )
    assert minimum <= remaining_ms <= maximum, remaining_ms


@behave.when('a server responds before it has read a long body')
def respond_early(context):
    body = b'0123456789' * 5000

    async def scenario(harness):
        harness.plain_servers[0].behaviours = [Behaviour.EARLY]
        response = await harness.send_request('/book/x', body=body)
        await asyncio.sleep(0.3)
        return response, harness.received_requests()

    context.body = body
    context.response, context.requests = node_harness.run_scenario(
        scenario, plain_count=1
    )


@behave.then(
    'the client receives that response and the server reads the whole body or'
    ' none of it'
)
def check_early_response(context):
    assert context.response.status == 400
    (request,) = context.requests
    # Empty if the connection was closed before the body was sent.
    assert request.body in (context.body, b'')


@behave.when('a server announces that it is draining')
def announce_draining(context):
    async def scenario(harness):
        draining_server = harness.plain_servers[0]
        harness.put_entry(draining_server, state='draining')
        await asyncio.sleep(0.3)
        count_before = len(draining_server.requests)
        for _ in range(8):
            response = await harness.send_request('/look/x')
            assert response.status == 200
        return len(draining_server.requests) - count_before

    context.arrivals = node_harness.run_scenario(scenario)


@behave.then('it receives no further requests')
def check_no_arrivals(context):
    assert context.arrivals == 0


@behave.when('a key is removed from the configuration')
def remove_key(context):
    async def scenario(harness):
        assert (await harness.send_request('/book/x')).status == 200
        harness.put_configuration(
            tenants=[{'name': 'south', 'apiKeys': ['key-south']}]
        )
        started_at = time.monotonic()
        while (await harness.send_request('/book/x')).status == 200:
            assert time.monotonic() - started_at < 4
            await asyncio.sleep(0.05)
        elapsed_s = time.monotonic() - started_at
        return elapsed_s, (await harness.send_request('/book/x')).status

    context.elapsed_s, context.status = node_harness.run_scenario(scenario)


@behave.then('requests with it receive 401 within {maximum:d} seconds')
def check_key_refused(context, maximum):
    assert context.elapsed_s < maximum
    assert context.status == 401


@behave.when(
    'the store is unresponsive for longer than a revoked key may be accepted'
)
def stop_store_responses(context):
    async def scenario(harness):
        harness.store.faults.unresponsive = True
        statuses = []
        started_at = time.monotonic()
        while time.monotonic() - started_at < 4.5:
            statuses.append(
                (
                    time.monotonic() - started_at,
                    (await harness.send_request('/book/x')).status,
                )
            )
            await asyncio.sleep(0.1)
        ready = harness.node.is_ready()
        harness.store.faults.unresponsive = False
        await asyncio.sleep(2.5)
        return statuses, ready, (await harness.send_request('/book/x')).status

    context.statuses, context.ready, context.status_after = (
        node_harness.run_scenario(scenario)
    )


@behave.then(
    'requests are refused with 503 and accepted again once the store responds'
)
def check_refused_in_outage(context):
    revoke_s = 5.0
    late_statuses = [
        status for at, status in context.statuses if at > 0.75 * revoke_s
    ]
    assert late_statuses and set(late_statuses) == {503}, context.statuses
    assert {status for _, status in context.statuses} == {200, 503}
    assert not context.ready
    assert context.status_after == 200


@behave.when('the node receives SIGTERM while streams are in progress')
def stop_node(context):
    async def scenario(harness):
        pending = [
            asyncio.create_task(
                harness.send_request('/chat/x', remaining_ms=6000)
            )
            for _ in range(4)
        ]
        await asyncio.sleep(0.3)
        os.kill(os.getpid(), signal.SIGTERM)
        started_at = time.monotonic()
        await asyncio.sleep(0.05)
        ready = harness.node.is_ready()
        responses = await asyncio.gather(*pending)
        await asyncio.wait([harness.task])
        return ready, responses, time.monotonic() - started_at

    context.ready, context.responses, context.elapsed_s = (
        node_harness.run_scenario(scenario, event_count=150)
    )


@behave.then(
    'it is immediately not ready, the streams are complete and the node exits'
    ' in time'
)
def check_graceful_stop(context):
    assert not context.ready
    assert all(response.complete for response in context.responses)
    assert all(response.status == 200 for response in context.responses)
    assert context.elapsed_s < 7.5


@behave.when('a stream is requested 3 seconds after the node received SIGTERM')
def request_stream_while_stopping(context):
    async def scenario(harness):
        active_stream = asyncio.create_task(
            harness.send_request('/chat/x', remaining_ms=6000)
        )
        await asyncio.sleep(0.1)
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(3.0)
        response = await harness.send_request('/chat/x')
        await active_stream
        return response

    context.response = node_harness.run_scenario(scenario, event_count=400)


@behave.then('it is refused with 503')
def check_stream_refused(context):
    assert context.response.status == 503, context.response


@behave.when('an engine with a non-repeatable stream is reclaimed')
def reclaim_engine(context):
    async def scenario(harness):
        moves = []

        async def move_run(engine, request_id, destination, timeout_s, last):
            if not last:
                return f'{engine}/handle-0'
            source = next(
                server
                for server in harness.engines
                if server.address == str(engine)
            )
            moves.append((request_id, str(destination)))
            for connection in tuple(source.writers):
                connection.transport.abort()
            return f'{engine}/handle-1'

        harness.node.mover.set_move_run(move_run)
        for engine in harness.engines:
            engine.event_interval_s = 0.04
        pending = asyncio.create_task(
            harness.send_request('/chat/x', remaining_ms=6000)
        )
        await asyncio.sleep(0.4)
        source = next(server for server in harness.engines if server.requests)
        harness.put_entry(source, state='draining', leaves_ms=1300)
        return await pending, moves, harness.received_requests()

    context.response, context.moves, context.requests = (
        node_harness.run_scenario(scenario, event_count=60)
    )


@behave.then('its run is moved and the client receives each event once')
def check_run_moved(context):
    assert len(context.moves) == 1
    expected = b''.join(
        b'id: %d\ndata: piece %d\n\n' % (number, number)
        for number in range(1, 61)
    )
    assert context.response.complete
    assert context.response.body == expected
    kv_sources = [
        request.headers.get('kv-from') for request in context.requests
    ]
    assert any(
        source and source.endswith('/handle-1') for source in kv_sources
    )


@behave.when('the metrics and the readiness of the node are read')
def read_metrics(context):
    async def scenario(harness):
        await harness.send_request('/look/x')
        responses = []
        for port in (
            harness.settings.metrics_port,
            harness.settings.readiness.port,
        ):
            reader, writer = await asyncio.open_connection(
                node_harness.IP, port
            )
            writer.write(b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n')
            responses.append(await platform_caller.read_response(reader))
        return responses

    context.metrics, context.readiness = node_harness.run_scenario(scenario)


@behave.then('the metrics count the requests and the node is ready')
def check_metrics_and_readiness(context):
    assert context.readiness.status == 200
    assert b'hornbeamrudder_requests_total' in context.metrics.body
    assert b'hornbeamrudder_first_byte_seconds_bucket' in context.metrics.body
    assert not isinstance(adapter.load_settings('/nowhere'), type(None))
    assert isinstance(adapter.load_settings('/nowhere'), errors.Failure)


@behave.when(
    'a resumable stream pauses for a second with {engine_count:d} engines and'
    ' a retry budget of {budget:d}'
)
def pause_stream(context, engine_count, budget):
    async def scenario(harness):
        order = []
        for server in harness.engines:
            server.behaviours = node_harness.BehaviourSequence(
                order, ['pause', 'normal']
            )
        return await harness.send_request(
            '/plan/x'
        ), harness.received_requests()

    context.response, context.requests = node_harness.run_scenario(
        scenario,
        event_count=EVENT_COUNT,
        engine_count=engine_count,
        bounds=records.Bounds(retry_slack=budget, retry_ratio=0.0),
    )


@behave.then('the client receives the complete stream from {count:d} servers')
def check_complete_stream(context, count):
    assert context.response.complete, context.response
    assert context.response.body == node_harness.complete_stream(EVENT_COUNT)
    assert len(context.requests) == count, context.requests


def _boot_file(settings, revoke_ms, front_port):
    return yaml.safe_dump(
        {
            'node': settings.node,
            'ip': settings.ip,
            'zone': settings.data_centre,
            'listen': {
                'front': f'{settings.ip}:{front_port}',
                'readiness': str(settings.readiness),
            },
            'internalPorts': [settings.peer_port, settings.metrics_port],
            'bounds': {'revokeMs': revoke_ms},
            'platform': {'address': str(settings.store)},
            'cloudApi': {'address': str(settings.cloud)},
        }
    )


@behave.when(
    'the settings file of a running node changes its bounds and its ports'
)
def change_settings(context):
    async def scenario(harness):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'boot.yaml'
            settings = harness.settings
            path.write_text(_boot_file(settings, 5000, settings.front.port))
            harness.node.settings = dataclasses.replace(
                settings, boot_path=str(path)
            )
            await asyncio.sleep(1.3)
            path.write_text(_boot_file(settings, 9000, 1))
            await asyncio.sleep(1.3)
            return harness.node.state.settings, harness.log.lines

    context.settings, context.lines = node_harness.run_scenario(scenario)


@behave.then(
    'the bounds are applied and the ports are reported as needing a restart'
)
def check_settings_applied(context):
    assert context.settings.bounds.revoke_s == 9.0
    assert context.settings.front.port != 1
    fields = [
        fields
        for event, fields in context.lines
        if event == 'settings are read again'
    ][-1]
    assert fields['changed'] == ('bounds',), fields
    assert fields['after_restart'] == ('front',), fields


# Prints the SIGHUP handler at the first import of a gateway module, and exits.
_FIRST_IMPORT_PROBE = """
import os, runpy, signal, sys
import hornbeamrudder.gateway

class ProbeFinder:
    def find_spec(self, name, path=None, target=None):
        if name.startswith('hornbeamrudder.gateway.'):
            if name.endswith('__main__'):
                return None
            print(signal.getsignal(signal.SIGHUP).name, flush=True)
            os._exit(0)

sys.meta_path.insert(0, ProbeFinder())
runpy.run_module('hornbeamrudder.gateway', run_name='__main__')
"""


@behave.when('a starting node reaches its first import')
def probe_first_import(context):
    context.sighup_handler = subprocess.run(
        [sys.executable, '-c', _FIRST_IMPORT_PROBE],
        capture_output=True,
        text=True,
        timeout=20,
    ).stdout.strip()


@behave.then('it already ignores SIGHUP')
def check_sighup_ignored(context):
    assert context.sighup_handler == 'SIG_IGN', context.sighup_handler
