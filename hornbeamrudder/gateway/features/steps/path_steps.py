"""Steps for the request path, with a node between platform stand-ins."""

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
from hornbeamrudder.gateway.features import trial
from hornbeamrudder.gateway import records
from hornbeamrudder.platform import adapter
from hornbeamrudder.standins import platform_caller
from hornbeamrudder.standins import platform_server

Behaviour = platform_server.Behaviour
EVENTS = 6


def _whole_stream():
    return b''.join(
        b'id: %d\ndata: piece %d\n\n' % (number, number)
        for number in range(1, EVENTS + 1)
    )


@behave.when(
    'a request on "{route}" is sent to servers that respond with "{first}" and'
    ' then "{then}"'
)
def request_with_failures(context, route, first, then):
    async def scenario(running):
        order = []
        for server in (*running.plain, *running.engines):
            server.behaviours = _BehaviourSequence(order, [first, then])
        answer = await running.ask(f'/{route}/x', remaining_ms=1500)
        return answer, running.runs()

    context.answer, context.runs = trial.play(scenario)


class _BehaviourSequence(list):
    """Behaviours that all servers share, taken in order of arrival."""

    def __init__(self, order, names):
        super().__init__()
        self._order = order
        self._names = names

    def __bool__(self):
        return True

    def __getitem__(self, index):
        return Behaviour(self._names[min(len(self._order), 1)])

    def pop(self, index=0):
        name = self._names[min(len(self._order), 1)]
        self._order.append(name)
        return Behaviour(name)


@behave.then(
    'the client gets {status:d} and {count:d} servers receive the request'
)
def check_attempts(context, status, count):
    assert context.answer.status == status, context.answer
    assert context.answer.complete or not status
    assert len(context.runs) == count, context.runs
    assert len({run.request_id for run in context.runs}) == 1


@behave.when('a stream that {may} be resumed is cut off within an event')
def cut_stream(context, may):
    route = 'plan' if may == 'may' else 'chat'

    async def scenario(running):
        order = []
        for server in running.engines:
            server.behaviours = _BehaviourSequence(order, ['cut', 'normal'])
        return await running.ask(f'/{route}/x'), running.runs()

    context.answer, context.runs = trial.play(scenario, events=EVENTS)


@behave.then(
    'the client gets each event once and the second server gets the id of the'
    ' last complete one'
)
def check_resumed(context):
    assert context.answer.complete
    assert context.answer.body == _whole_stream(), context.answer.body
    last_ids = {run.headers.get('last-event-id') for run in context.runs}
    assert last_ids == {None, '3'}, last_ids


@behave.then('the response to the client is incomplete')
def check_cut(context):
    assert context.answer.status == 200
    assert not context.answer.complete
    assert _whole_stream().startswith(context.answer.body)


@behave.when(
    '{count:d} consecutive requests are sent to servers that send "{kind}"'
    ' responses'
)
def extra_answers(context, count, kind):
    async def scenario(running):
        for server in running.plain:
            server.behaviours = [Behaviour(kind)] * count
        responses = []
        for _ in range(count):
            request_id = platform_caller.new_request_id()
            responses.append(
                (
                    request_id,
                    await running.ask('/look/x', request_id=request_id),
                )
            )
            await asyncio.sleep(0.02)
        return responses

    context.responses = trial.play(scenario)


@behave.then('each client gets the response to its own request')
def check_own_answers(context):
    for request_id, answer in context.responses:
        assert answer.status == 200, answer
        assert answer.headers['x-hornbeamrudder-request-id'] == request_id
        assert answer.body.startswith(b'answer of')


@behave.when('the address of a server is reassigned to another server')
def reused_address(context):
    async def scenario(running):
        impostor = running.plain[0]
        impostor.id = 'somebody-else'
        return [
            await running.ask('/look/x') for _ in range(6)
        ], impostor.requests

    context.answers, context.impostor_runs = trial.play(scenario)


@behave.then('the request is not run there and another server responds')
def check_impostor(context):
    assert context.impostor_runs
    assert not any(run.executed for run in context.impostor_runs)
    assert all(answer.status == 200 for answer in context.answers)


@behave.when('a client sends headers that are reserved to the system')
def forged(context):
    forged_headers = (
        'X-Hornbeamrudder-Tenant: south',
        'X-Hornbeamrudder-Request-Priority: 0',
        'X-Hornbeamrudder-Hold: h',
        'X-Hornbeamrudder-Pin-Ms: 4000',
        'X-Hornbeamrudder-Kv-Backup: 10.0.0.1:1',
        'Kv-From: 10.0.0.1:1/x',
        'Kv-Fetch: 10.0.0.1:1',
        'X-Hornbeamrudder-Expect-Instance: nobody',
        'Connection: x-private',
        'X-Private: 1',
        'X-Kept: 2',
    )

    async def scenario(running):
        await running.ask('/book/x', headers=forged_headers)
        return running.runs()

    (context.run,) = trial.play(scenario)


@behave.then(
    'the backend server gets the account of the key and none of the forged'
    ' headers'
)
def check_forged(context):
    headers = context.run.headers
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
    'unknown key': platform_caller.request_bytes('/book/x', key='stolen'),
    'incomplete head': _HEAD,
}


@behave.when('a client sends "{name}"')
def send_input(context, name):
    async def scenario(running):
        reader, writer = await running.open()
        writer.write(_INPUT_BY_NAME[name])
        return await platform_caller.read_response(reader), running.runs()

    context.answer, context.runs = trial.play(scenario)


@behave.then('the client gets {status:d} and no server receives a request')
def check_refused(context, status):
    assert context.answer.status == status, context.answer
    assert not context.runs


@behave.when('a client sends three pipelined requests with chunked bodies')
def pipelined(context):
    async def scenario(running):
        reader, writer = await running.open()
        for number in range(3):
            writer.write(
                b'POST /book/%d HTTP/1.1\r\nHost: shop.example\r\n'
                b'X-Hornbeamrudder-Request-Id: a%d\r\n'
                b'Authorization: Bearer key-north\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n'
                b'3\r\nab%d\r\n2\r\ncd\r\n0\r\nX-Trailer: 1\r\n\r\n'
                % (number, number, number)
            )
        answers = [
            await platform_caller.read_response(reader) for _ in range(3)
        ]
        return answers, running.runs()

    context.answers, context.runs = trial.play(scenario, plain=1)


@behave.then('three responses arrive in order and the bodies are unchanged')
def check_pipelined(context):
    assert [
        answer.headers['x-hornbeamrudder-request-id']
        for answer in context.answers
    ] == ['a0', 'a1', 'a2']
    assert [run.body for run in context.runs] == [
        b'ab0cd',
        b'ab1cd',
        b'ab2cd',
    ]
    assert [run.target for run in context.runs] == [
        '/book/0',
        '/book/1',
        '/book/2',
    ]


@behave.when('a client disconnects while its request "{phase}"')
def client_disconnects(context, phase):
    async def scenario(running):
        streamed = phase == 'is being streamed'
        for server in running.engines:
            server.event_interval_s = 0.05
            if not streamed:
                server.behaviours = [Behaviour.HANG]
        reader, writer = await running.open()
        writer.write(platform_caller.request_bytes('/chat/x'))
        if streamed:
            await reader.readuntil(b'data')
        else:
            await asyncio.sleep(0.2)
        writer.close()
        await asyncio.sleep(0.45)
        return running.runs()

    context.runs = trial.play(scenario, events=100)


@behave.then('the backend server stops within half a second')
def check_stopped(context):
    (run,) = context.runs
    assert run.client_disconnected


@behave.when('a request with {remaining:d} ms to its deadline is forwarded')
def forward_deadline(context, remaining):
    async def scenario(running):
        await running.ask('/book/x', remaining_ms=remaining)
        return running.runs()

    (context.run,) = trial.play(scenario)


@behave.then(
    'the backend server gets a remaining time of {least:d} to {most:d} ms'
)
def check_deadline(context, least, most):
    remaining = int(context.run.headers['x-hornbeamrudder-deadline-remaining'])
    assert least <= remaining <= most, remaining


@behave.when('a server responds before it has read a long body')
def early_answer(context):
    body = b'0123456789' * 5000

    async def scenario(running):
        running.plain[0].behaviours = [Behaviour.EARLY]
        answer = await running.ask('/book/x', body=body)
        await asyncio.sleep(0.3)
        return answer, running.runs()

    context.body = body
    context.answer, context.runs = trial.play(scenario, plain=1)


@behave.then(
    'the client gets that response and the server reads the whole body or none'
    ' of it'
)
def check_early(context):
    assert context.answer.status == 400
    (run,) = context.runs
    # The body is missing if the connection was closed first.
    assert run.body in (context.body, b'')


@behave.when('a server announces that it is leaving')
def leaving(context):
    async def scenario(running):
        leaving_server = running.plain[0]
        running.register(leaving_server, state='draining')
        await asyncio.sleep(0.3)
        before = len(leaving_server.requests)
        for _ in range(8):
            answer = await running.ask('/look/x')
            assert answer.status == 200
        return len(leaving_server.requests) - before

    context.arrivals = trial.play(scenario)


@behave.then('no request reaches it afterwards')
def check_leaving(context):
    assert context.arrivals == 0


@behave.when('a key is removed from the configuration')
def remove_key(context):
    async def scenario(running):
        assert (await running.ask('/book/x')).status == 200
        running.configure(
            tenants=[{'name': 'south', 'apiKeys': ['key-south']}]
        )
        since = time.monotonic()
        while (await running.ask('/book/x')).status == 200:
            assert time.monotonic() - since < 4
            await asyncio.sleep(0.05)
        took_s = time.monotonic() - since
        return took_s, (await running.ask('/book/x')).status

    context.took_s, context.status = trial.play(scenario)


@behave.then('requests with it get 401 within {most:d} seconds')
def check_removed(context, most):
    assert context.took_s < most
    assert context.status == 401


@behave.when(
    'the store is silent for longer than a revoked key may be accepted'
)
def store_silent(context):
    async def scenario(running):
        running.store.faults.unresponsive = True
        statuses = []
        since = time.monotonic()
        while time.monotonic() - since < 4.5:
            statuses.append(
                (
                    time.monotonic() - since,
                    (await running.ask('/book/x')).status,
                )
            )
            await asyncio.sleep(0.1)
        ready = running.node.is_ready()
        running.store.faults.unresponsive = False
        await asyncio.sleep(2.5)
        return statuses, ready, (await running.ask('/book/x')).status

    context.statuses, context.ready, context.after = trial.play(scenario)


@behave.then(
    'requests are refused with 503 and served again once the store responds'
)
def check_silent(context):
    revoke_s = 5.0
    late = [status for at, status in context.statuses if at > 0.75 * revoke_s]
    assert late and set(late) == {503}, context.statuses
    assert {status for _, status in context.statuses} == {200, 503}
    assert not context.ready
    assert context.after == 200


@behave.when('the node gets SIGTERM while streams are running')
def stop_node(context):
    async def scenario(running):
        asked = [
            asyncio.create_task(running.ask('/chat/x', remaining_ms=6000))
            for _ in range(4)
        ]
        await asyncio.sleep(0.3)
        os.kill(os.getpid(), signal.SIGTERM)
        since = time.monotonic()
        await asyncio.sleep(0.05)
        ready = running.node.is_ready()
        answers = await asyncio.gather(*asked)
        await asyncio.wait([running.task])
        return ready, answers, time.monotonic() - since

    context.ready, context.answers, context.took_s = trial.play(
        scenario, events=150
    )


@behave.then(
    'it is not ready at once, the streams are complete and the node exits in'
    ' time'
)
def check_stop(context):
    assert not context.ready
    assert all(answer.complete for answer in context.answers)
    assert all(answer.status == 200 for answer in context.answers)
    assert context.took_s < 7.5


@behave.when('a stream is requested 3 seconds after the node got SIGTERM')
def late_stream(context):
    async def scenario(running):
        busy = asyncio.create_task(running.ask('/chat/x', remaining_ms=6000))
        await asyncio.sleep(0.1)
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(3.0)
        answer = await running.ask('/chat/x')
        await busy
        return answer

    context.answer = trial.play(scenario, events=400)


@behave.then('it is refused with 503')
def check_late_stream(context):
    assert context.answer.status == 503, context.answer


@behave.when('an engine with a non-repeatable stream is reclaimed')
def reclaim(context):
    async def scenario(running):
        moved = []

        async def move_run(engine, request_id, destination, timeout_s):
            source = next(
                item for item in running.engines if item.address == str(engine)
            )
            moved.append((request_id, str(destination)))
            for connection in tuple(source.writers):
                connection.transport.abort()
            return f'{engine}/handle-1'

        running.node.mover.set_move_run(move_run)
        for engine in running.engines:
            engine.event_interval_s = 0.04
        asked = asyncio.create_task(running.ask('/chat/x', remaining_ms=6000))
        await asyncio.sleep(0.4)
        source = next(item for item in running.engines if item.requests)
        running.register(source, state='draining', leaves_ms=1300)
        return await asked, moved, running.runs()

    context.answer, context.moved, context.runs = trial.play(
        scenario, events=60
    )


@behave.then('its run is moved and the client gets each event once')
def check_moved(context):
    assert len(context.moved) == 1
    expected = b''.join(
        b'id: %d\ndata: piece %d\n\n' % (number, number)
        for number in range(1, 61)
    )
    assert context.answer.complete
    assert context.answer.body == expected
    sources = [run.headers.get('kv-from') for run in context.runs]
    assert any(source and source.endswith('/handle-1') for source in sources)


@behave.when('the metrics and the readiness of the node are read')
def read_metrics(context):
    async def scenario(running):
        await running.ask('/look/x')
        texts = []
        for port in (
            running.settings.metrics_port,
            running.settings.readiness.port,
        ):
            reader, writer = await asyncio.open_connection(trial.IP, port)
            writer.write(b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n')
            texts.append(await platform_caller.read_response(reader))
        return texts

    context.metrics, context.readiness = trial.play(scenario)


@behave.then('the metrics count the requests and the node is ready')
def check_metrics(context):
    assert context.readiness.status == 200
    assert b'hornbeamrudder_requests_total' in context.metrics.body
    assert b'hornbeamrudder_first_byte_seconds_bucket' in context.metrics.body
    assert not isinstance(adapter.load_settings('/nowhere'), type(None))
    assert isinstance(adapter.load_settings('/nowhere'), errors.Failure)


@behave.when(
    'a stream that may be resumed pauses for a second with {engines:d} engines'
    ' and a retry budget of {budget:d}'
)
def pausing_stream(context, engines, budget):
    async def scenario(running):
        order = []
        for server in running.engines:
            server.behaviours = _BehaviourSequence(order, ['pause', 'normal'])
        return await running.ask('/plan/x'), running.runs()

    context.answer, context.runs = trial.play(
        scenario,
        events=EVENTS,
        engines=engines,
        bounds=records.Bounds(retry_slack=budget, retry_ratio=0.0),
    )


@behave.then('the client gets the complete stream from {count:d} servers')
def check_paused(context, count):
    assert context.answer.complete, context.answer
    assert context.answer.body == _whole_stream()
    assert len(context.runs) == count, context.runs


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
    async def scenario(running):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'boot.yaml'
            settings = running.settings
            path.write_text(_boot_file(settings, 5000, settings.front.port))
            running.node.settings = dataclasses.replace(
                settings, boot_path=str(path)
            )
            await asyncio.sleep(1.3)
            path.write_text(_boot_file(settings, 9000, 1))
            await asyncio.sleep(1.3)
            return running.node.state.settings, running.log.lines

    context.settings, context.lines = trial.play(scenario)


@behave.then(
    'the bounds are applied, and the ports are reported as needing a restart'
)
def check_settings(context):
    assert context.settings.bounds.revoke_s == 9.0
    assert context.settings.front.port != 1
    fields = [
        fields
        for event, fields in context.lines
        if event == 'settings are read again'
    ][-1]
    assert fields['changed'] == ('bounds',), fields
    assert fields['after_restart'] == ('front',), fields


# Prints the SIGHUP handling at the node's first import, and exits.
_PROBE_FIRST_IMPORT = """
import os, runpy, signal, sys
import hornbeamrudder.gateway

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name.startswith('hornbeamrudder.gateway.'):
            if name.endswith('__main__'):
                return None
            print(signal.getsignal(signal.SIGHUP).name, flush=True)
            os._exit(0)

sys.meta_path.insert(0, Finder())
runpy.run_module('hornbeamrudder.gateway', run_name='__main__')
"""


@behave.when('a node is started up to its first import')
def first_import(context):
    context.handling = subprocess.run(
        [sys.executable, '-c', _PROBE_FIRST_IMPORT],
        capture_output=True,
        text=True,
        timeout=20,
    ).stdout.strip()


@behave.then('it ignores SIGHUP by then')
def check_ignored(context):
    assert context.handling == 'SIG_IGN', context.handling
