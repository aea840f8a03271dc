"""Steps for runs whose destination fails while they are moved."""

import asyncio
import json
import time

import behave

from hornbeamrudder.core import errors
from hornbeamrudder.core import ids
from hornbeamrudder.core import types
from hornbeamrudder.gateway.features import node_harness
from hornbeamrudder.gateway import messages
from hornbeamrudder.gateway import records
from hornbeamrudder.platform import engine_calls
from hornbeamrudder.standins import platform_caller
from hornbeamrudder.standins import platform_server

EVENT_COUNT = 30
# Events of a stream that outlasts its engine.
LONG_EVENT_COUNT = 60
EVENT_INTERVAL_S = 0.04
# Longer than the time until a run is moved.
LATE_FIRST_EVENT_S = 1.2
LEAVES_MS = 1400
REMAINING_MS = 3500
LONG_REMAINING_MS = 6000
ENGINE_COUNT = 4
# Shorter than the time until a run is moved.
SHORT_DRAIN_S = 0.2
POLL_S = 0.005


def _routes(attempts):
    routes = platform_server.configuration(
        1, (node_harness.ENGINE_SERVICE, node_harness.PLAIN_SERVICE)
    )['routes']
    for route in routes:
        if route['name'] in ('chat', 'plan'):
            route['maxAttempts'] = attempts
    return routes


def _fail(engine, how):
    """Let an engine fail what it is sent next."""
    match how:
        case 'not listening':
            engine.crash()
        case 'another id':
            engine.id = 'another'
        case _:
            engine.behaviours = [platform_server.Behaviour(how)]


def _set_first_event(harness, events):
    for engine in harness.engines:
        engine.event_interval_s = EVENT_INTERVAL_S
        if events == '0':
            engine.first_event_delay_s = LATE_FIRST_EVENT_S


async def _wait_for_engine(harness):
    while not harness.received_requests():
        await asyncio.sleep(POLL_S)
    return next(engine for engine in harness.engines if engine.requests)


def _stop_answer(source, stop):
    """Return the answer of an engine to the call that stops a run."""
    match stop:
        case 'confirmed':
            return f'{source.address}/handle-1'
        case 'refused':
            return messages.StoppedRun(
                f'{source.address}/handle-1', 'destination is unreachable'
            )
        case 'unknown':
            return errors.Failure(
                errors.FailureKind.TIMEOUT,
                errors.Step.ORDER_ENGINE,
                source.address,
                'no answer',
            )
    raise ValueError(stop)


def _moving_call(harness, source, stop, on_first_stop):
    """Return a call that moves runs; only the first destination fails."""
    stops = []

    async def move_run(engine, request_id, destination, timeout_s, last):
        if not last:
            return f'{engine}/handle-0'
        for writer in tuple(source.writers):
            writer.transport.abort()
        stops.append(destination)
        if len(stops) > 1:
            return f'{engine}/handle-2'
        on_first_stop(
            next(
                server
                for server in harness.engines
                if server.address == str(destination)
            )
        )
        return _stop_answer(source, stop)

    return move_run


def _run_moved_stream(
    context,
    events,
    attempts=1,
    stop='refused',
    destination='not listening',
    fail_source=lambda source: None,
    leaves=False,
    **options,
):
    """Move a stream to an engine that fails before it can go on there.

    Parameters
    ----------
    events : str
        '0' for a stream that is moved before its first event.
    fail_source : callable
        Called with the engine that has stopped the run.
    leaves : bool
        Whether that engine ends when it has said.
    """

    async def scenario(harness):
        _set_first_event(harness, events)
        started_at = time.monotonic()
        reader, writer = await harness.connect()
        writer.write(
            platform_caller.request_bytes('/chat/x', remaining_ms=REMAINING_MS)
        )
        source = await _wait_for_engine(harness)

        def fail_both(engine):
            _fail(engine, destination)
            fail_source(source)

        harness.node.mover.set_move_run(
            _moving_call(harness, source, stop, fail_both)
        )
        harness.put_entry(source, state='draining', leaves_ms=LEAVES_MS)
        if leaves:
            asyncio.get_running_loop().call_later(
                LEAVES_MS / 1e3, source.crash
            )
        response = await platform_caller.read_response(reader, started_at)
        writer.close()
        return response, harness.received_requests(), harness.log.lines

    context.event_count = LONG_EVENT_COUNT if leaves else EVENT_COUNT
    context.response, context.requests, context.log_lines = (
        node_harness.run_scenario(
            scenario,
            event_count=context.event_count,
            engine_count=ENGINE_COUNT,
            routes=_routes(attempts),
            **options,
        )
    )


@behave.when(
    'a stream with {events} events and {attempts:d} attempts is stopped by its'
    ' engine "{stop}" and its destination is "{destination}"'
)
def move_to_failing_engine(context, events, attempts, stop, destination):
    _run_moved_stream(context, events, attempts, stop, destination)


@behave.when(
    'a stream with {events} events loses its copy and its engine has "{state}"'
)
def lose_copy(context, events, state):
    options = {}
    match state:
        case 'crashed':
            options['fail_source'] = lambda source: source.crash()
        case 'lost the run':
            options['fail_source'] = lambda source: _fail(source, 'full')
        case 'used its drain':
            options['bounds'] = records.Bounds(
                retry_slack=50.0, quota_slack_tokens=0.0, drain_s=SHORT_DRAIN_S
            )
    _run_moved_stream(context, events, **options)


@behave.when('a run is moved before the head of its response')
def move_before_head(context):
    async def scenario(harness):
        for engine in harness.engines:
            engine.response_delay_s = LATE_FIRST_EVENT_S
        pending = asyncio.create_task(
            harness.send_request('/chat/x', remaining_ms=REMAINING_MS)
        )
        source = await _wait_for_engine(harness)
        await asyncio.sleep(POLL_S)
        for engine in harness.engines:
            engine.response_delay_s = 0.0
        harness.node.mover.set_move_run(
            _moving_call(harness, source, 'confirmed', lambda engine: None)
        )
        harness.put_entry(source, state='draining', leaves_ms=LEAVES_MS)
        return await pending, harness.received_requests(), harness.log.lines

    context.event_count = EVENT_COUNT
    context.response, context.requests, context.log_lines = (
        node_harness.run_scenario(
            scenario, event_count=EVENT_COUNT, engine_count=ENGINE_COUNT
        )
    )


@behave.when('a run returns to its engine, which then ends')
def return_before_end(context):
    _run_moved_stream(context, 'some', leaves=True)


@behave.then('no engine starts it anew')
def check_not_anew(context):
    assert any(event == 'run is moved' for event, _ in context.log_lines), (
        context.log_lines
    )
    anew = [
        request
        for request in context.requests
        if 'kv-from' not in request.headers
    ]
    assert len(anew) == 1, anew


@behave.then('it goes on at its engine and then at another')
def check_moved_again(context):
    handles = [
        request.headers['kv-from'].rpartition('/')[2]
        for request in sorted(
            context.requests, key=lambda request: request.received_at
        )
        if 'kv-from' in request.headers
    ]
    assert handles == ['handle-1', 'handle-2'], handles


@behave.then('the client receives status {status:d}')
def check_status(context, status):
    assert context.response.status == status, context.response


@behave.then('the client receives a cut stream')
def check_cut_stream(context):
    response = context.response
    expected = node_harness.complete_stream(context.event_count)
    assert response.status == 200 and response.body, response
    assert expected.startswith(response.body), response
    assert not response.complete, response


@behave.when(
    'a resumable stream with {events} events leaves its engine and the next'
    ' one is "{destination}"'
)
def resume_at_failing_engine(context, events, destination):
    async def scenario(harness):
        _set_first_event(harness, events)
        pending = asyncio.create_task(
            harness.send_request('/plan/x', remaining_ms=LONG_REMAINING_MS)
        )
        source = await _wait_for_engine(harness)
        others = [engine for engine in harness.engines if engine is not source]
        _fail(others[0], destination)
        harness.put_entry(source, state='draining', leaves_ms=LEAVES_MS)
        return await pending

    context.event_count = EVENT_COUNT
    context.response = node_harness.run_scenario(
        scenario,
        event_count=EVENT_COUNT,
        engine_count=ENGINE_COUNT,
        routes=_routes(2),
    )


@behave.when(
    'an engine answers the call that {call} a run with {status:d} and the'
    ' handle {handle}'
)
def answer_move(context, call, status, handle):
    body = json.dumps({'handle': json.loads(handle), 'created': 1}).encode()

    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(
            b'HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%s' % (status, len(body), body)
        )
        await writer.drain()
        writer.close()
        await writer.wait_closed()

    async def scenario():
        server = await asyncio.start_server(answer, node_harness.IP)
        port = server.sockets[0].getsockname()[1]
        context.engine = types.Address(node_harness.IP, port)
        try:
            return await engine_calls.move_request(
                context.engine,
                ids.RequestId('request-1'),
                types.Address(node_harness.IP, 1),
                1.0,
                call == 'stops',
            )
        finally:
            server.close()

    context.answer = asyncio.run(scenario())


@behave.then('the run is {result}')
def check_move_answer(context, result):
    copy = f'{context.engine}/h-1'
    match result:
        case 'copied':
            assert context.answer == copy, context.answer
        case 'kept':
            assert isinstance(context.answer, messages.StoppedRun)
            assert context.answer.copy == copy, context.answer
        case _:
            assert isinstance(context.answer, errors.Failure), context.answer
