"""Steps for runs whose destination fails while they are moved."""

import asyncio
import time

import behave

from hornbeamrudder.core import errors
from hornbeamrudder.gateway.features import node_harness
from hornbeamrudder.standins import platform_caller
from hornbeamrudder.standins import platform_server

EVENT_COUNT = 30
EVENT_INTERVAL_S = 0.04
# Longer than the time until a run is moved.
LATE_FIRST_EVENT_S = 1.2
LEAVES_MS = 1400
REMAINING_MS = 3500
LONG_REMAINING_MS = 6000
ENGINE_COUNT = 3
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
            return errors.Failure(
                errors.FailureKind.REFUSED,
                errors.Step.ORDER_ENGINE,
                source.address,
                "/kv-move answered with status 503: {'handle': 'handle-1'}",
            )
        case 'unknown':
            return errors.Failure(
                errors.FailureKind.TIMEOUT,
                errors.Step.ORDER_ENGINE,
                source.address,
                'no answer',
            )
    raise ValueError(stop)


def _moved_by(harness, source, stop, fail_destination):
    """Return a call that moves runs, whose destination then fails."""

    async def move_run(engine, request_id, destination, timeout_s, last):
        if not last:
            return f'{engine}/handle-0'
        fail_destination(
            next(
                server
                for server in harness.engines
                if server.address == str(destination)
            )
        )
        for writer in tuple(source.writers):
            writer.transport.abort()
        return _stop_answer(source, stop)

    return move_run


@behave.when(
    'a stream with {events} events and {attempts:d} attempts is stopped by its'
    ' engine "{stop}" and its destination is "{destination}"'
)
def move_to_failing_engine(context, events, attempts, stop, destination):
    async def scenario(harness):
        _set_first_event(harness, events)
        started_at = time.monotonic()
        reader, writer = await harness.connect()
        writer.write(
            platform_caller.request_bytes('/chat/x', remaining_ms=REMAINING_MS)
        )
        source = await _wait_for_engine(harness)
        harness.node.mover.set_move_run(
            _moved_by(
                harness,
                source,
                stop,
                lambda engine: _fail(engine, destination),
            )
        )
        harness.put_entry(source, state='draining', leaves_ms=LEAVES_MS)
        response = await platform_caller.read_response(reader, started_at)
        writer.close()
        return response, harness.received_requests(), harness.log.lines

    context.event_count = EVENT_COUNT
    context.response, context.requests, context.log_lines = (
        node_harness.run_scenario(
            scenario,
            event_count=EVENT_COUNT,
            engine_count=ENGINE_COUNT,
            routes=_routes(attempts),
        )
    )


@behave.then('no engine starts it anew')
def check_not_anew(context):
    moves = [
        fields
        for event, fields in context.log_lines
        if event == 'run is moved'
    ]
    assert len(moves) == 1, context.log_lines
    anew = [
        request
        for request in context.requests
        if 'kv-from' not in request.headers
    ]
    assert len(anew) == 1, anew


@behave.then('the client is not told that it has not run')
def check_not_told(context):
    response = context.response
    assert response.status in (200, 502, 504), response
    if response.status == 200:
        expected = node_harness.complete_stream(EVENT_COUNT)
        assert expected.startswith(response.body), response
        assert response.complete == (response.body == expected), response


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
