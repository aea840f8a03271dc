"""Steps for attempts and moves that end while another one is in progress."""

import asyncio
import time
from unittest import mock

import behave

from hornbeamrudder.core import errors
from hornbeamrudder.gateway import clock
from hornbeamrudder.gateway.features import node_harness
from hornbeamrudder.gateway import health
from hornbeamrudder.gateway import http_client
from hornbeamrudder.standins import platform_caller
from hornbeamrudder.standins import platform_server

Behaviour = platform_server.Behaviour
EVENT_COUNT = 6
SHORT_PAUSE_S = 0.65
EVENT_INTERVAL_S = 0.04
MOVE_S = 0.3
LEAVES_MS = 1300


def _respond_in_order(servers, behaviours):
    """Let servers behave in order of arrival; returns servers by arrival.

    Parameters
    ----------
    behaviours : list of tuple
        Behaviour and delay in seconds of each request.
    """
    arrived = []
    for server in servers:
        original = server._respond

        async def respond(
            request, reader, writer, server=server, original=original
        ):
            behaviour, delay_s = behaviours[
                min(len(arrived), len(behaviours) - 1)
            ]
            arrived.append(server)
            server.behaviours = [Behaviour(behaviour)]
            server.response_delay_s = delay_s
            return await original(request, reader, writer)

        server._respond = respond
    return arrived


def _routes(max_attempts):
    routes = platform_server.configuration(
        1, (node_harness.ENGINE_SERVICE, node_harness.PLAIN_SERVICE)
    )['routes']
    for route in routes:
        if route['name'] == 'plan':
            route['maxAttempts'] = max_attempts
    return routes


@behave.when(
    'a request on "{route}" gets "{first}" after {first_s:g} s and then'
    ' "{second}" after {second_s:g} s'
)
def send_to_late_server(context, route, first, first_s, second, second_s):
    async def scenario(harness):
        arrived = _respond_in_order(
            (*harness.plain_servers, *harness.engines),
            [(first, first_s), (second, second_s)],
        )
        return await harness.send_request(f'/{route}/x'), arrived

    context.event_count = EVENT_COUNT
    context.response, context.arrived = node_harness.run_scenario(
        scenario, event_count=EVENT_COUNT
    )


@behave.when('a stream is cut off within its first event')
def cut_first_event(context):
    async def scenario(harness):
        arrived = _respond_in_order(
            harness.engines, [('cut', 0.0), ('normal', 0.0)]
        )
        return await harness.send_request('/plan/x'), arrived

    context.event_count = 1
    context.response, context.arrived = node_harness.run_scenario(
        scenario, event_count=1
    )


@behave.then('the client receives the complete response of the second server')
def check_second_response(context):
    assert len(context.arrived) == 2, context.arrived
    assert context.response.status == 200, context.response
    assert context.response.complete, context.response
    assert context.response.body in (
        node_harness.complete_stream(context.event_count),
        f'answer of {context.arrived[1].id}'.encode(),
    ), context.response


@behave.when(
    'a request on "look" gets "error" and the connection to the other server'
    ' fails once'
)
def fail_one_connection(context):
    async def scenario(harness):
        arrived = _respond_in_order(
            harness.plain_servers, [('error', 0.0), ('normal', 0.0)]
        )
        failed = []
        connect = http_client.connect

        async def connect_or_fail(address, timeout_s):
            if arrived and not failed:
                failed.append(address)
                await asyncio.sleep(timeout_s)
                return http_client.ConnectionBroken('no connection')
            return await connect(address, timeout_s)

        with mock.patch.object(http_client, 'connect', connect_or_fail):
            return await harness.send_request('/look/x'), arrived

    context.event_count = EVENT_COUNT
    context.response, context.arrived = node_harness.run_scenario(scenario)


@behave.then('its status does not promise that it was not run')
def check_no_promise(context):
    assert len(context.arrived) == 2, context.arrived
    assert context.response.status == 502, context.response


@behave.when(
    'both engines of a resumable stream send an event at the same time'
)
def send_events_together(context):
    async def scenario(harness):
        writers = []
        started_at = []

        def event(number):
            data = f'id: {number}\ndata: piece {number}\n\n'.encode()
            return b'%x\r\n%s\r\n' % (len(data), data)

        for server in harness.engines:

            async def respond(request, reader, writer, server=server):
                server.requests.append(request)
                writers.append(writer)
                head = server._head(
                    request,
                    '200 OK',
                    f'X-Hornbeamrudder-Response-Seal: seal-{server.id}',
                    'Transfer-Encoding: chunked',
                )
                if len(writers) == 1:
                    writer.write(head + event(1))
                    await server._wait_for_disconnect(request, reader)
                    context.first_ended_at = time.monotonic()
                    return False
                await asyncio.sleep(0.05)
                started_at.append(time.monotonic())
                writer.write(head + event(2))
                for number in range(2, 30):
                    if not writers[0].transport.is_closing():
                        writers[0].write(event(number))
                    if number > 2 and not writer.transport.is_closing():
                        writer.write(event(number))
                    await asyncio.sleep(EVENT_INTERVAL_S)
                for open_writer in writers:
                    if not open_writer.transport.is_closing():
                        open_writer.write(b'0\r\n\r\n')
                return False

            server._respond = respond
        await harness.send_request('/plan/x')
        ended_at = getattr(context, 'first_ended_at', time.monotonic())
        return ended_at - started_at[0]

    context.elapsed_s = node_harness.run_scenario(scenario)
    context.second_disconnected = False


@behave.when('a resumable stream goes on while a third attempt is allowed')
def resume_with_attempts_left(context):
    async def scenario(harness):
        for server in harness.engines:
            server.event_interval_s = 0.02
        _respond_in_order(harness.engines, [('pause', 0.0), ('hang', 0.0)])
        response = await harness.send_request('/plan/x')
        return response, harness.received_requests()

    pause_s = platform_server.STREAM_PAUSE_S
    platform_server.STREAM_PAUSE_S = SHORT_PAUSE_S
    context.event_count = EVENT_COUNT
    try:
        context.response, context.requests = node_harness.run_scenario(
            scenario,
            event_count=EVENT_COUNT,
            engine_count=3,
            routes=_routes(3),
        )
    finally:
        platform_server.STREAM_PAUSE_S = pause_s


@behave.when(
    'a resumable stream with {attempts:d} attempts gets "cut", "full" and'
    ' "normal" from {engines:d} engines'
)
def refuse_after_cut(context, attempts, engines):
    async def scenario(harness):
        _respond_in_order(
            harness.engines, [('cut', 0.0), ('full', 0.0), ('normal', 0.0)]
        )
        return await harness.send_request('/plan/x')

    context.event_count = EVENT_COUNT
    context.response = node_harness.run_scenario(
        scenario,
        event_count=EVENT_COUNT,
        engine_count=engines,
        routes=_routes(attempts),
    )


@behave.then('the client receives the complete stream')
def check_complete_stream(context):
    expected = node_harness.complete_stream(context.event_count)
    assert context.response.complete, context.response
    assert context.response.body == expected, context.response


@behave.when('a request on "plan" is tried at a server with another id')
def try_wrong_server(context):
    async def scenario(harness):
        arrived = []
        for server in harness.engines:
            original = server._respond

            async def respond(
                request, reader, writer, server=server, original=original
            ):
                arrived.append(server.id)
                if len(arrived) == 1:
                    server.behaviours = [Behaviour.PAUSE]
                else:
                    server.id = 'another'
                return await original(request, reader, writer)

            server._respond = respond
        pending = asyncio.create_task(harness.send_request('/plan/x'))
        while not any(
            event == 'request stays at its server'
            for event, _ in harness.log.lines
        ):
            await asyncio.sleep(0.005)
        record = harness.node.state.servers.by_id[arrived[1]]
        avoided = health.is_avoided(record.health_state, clock.now())
        await pending
        return avoided

    context.avoided = node_harness.run_scenario(scenario)


@behave.then('that server is avoided')
def check_avoided(context):
    assert context.avoided


async def _start_moved_stream(harness, move_run):
    harness.node.mover.set_move_run(move_run)
    for engine in harness.engines:
        engine.event_interval_s = EVENT_INTERVAL_S
    reader, writer = await harness.connect()
    writer.write(platform_caller.request_bytes('/chat/x', remaining_ms=6000))
    await asyncio.sleep(0.4)
    source = next(server for server in harness.engines if server.requests)
    harness.put_entry(source, state='draining', leaves_ms=LEAVES_MS)
    return reader, writer


def _run_while_moved(event_count, disconnects, stops_run=False):
    async def scenario(harness):
        moving = asyncio.Event()

        async def move_run(
            engine, request_id, destination, timeout_s, last=True
        ):
            if stops_run and last:
                _close_streams(harness, engine)
            if last:
                moving.set()
                await asyncio.sleep(MOVE_S)
            return f'{engine}/handle-1'

        _, writer = await _start_moved_stream(harness, move_run)
        await moving.wait()
        await asyncio.sleep(MOVE_S / 3)
        if disconnects:
            writer.close()
        await asyncio.sleep(MOVE_S + 0.5)
        assert not harness.node.forwarder.calls
        return {
            server: record.running
            for server, record in harness.node.state.servers.by_id.items()
        }

    return node_harness.run_scenario(scenario, event_count=event_count)


def _close_streams(harness, engine):
    for server in harness.engines:
        if server.address == str(engine):
            for writer in tuple(server.writers):
                writer.transport.abort()


@behave.when('a client disconnects while its run is moved')
def disconnect_while_moved(context):
    context.running_by_server = _run_while_moved(100, True)


@behave.when('a client disconnects from a stopped run while its run is moved')
def disconnect_after_stop(context):
    context.running_by_server = _run_while_moved(100, True, stops_run=True)


@behave.when('a stream ends while its run is moved')
def end_while_moved(context):
    context.running_by_server = _run_while_moved(18, False)


@behave.then('no slot is reserved')
def check_no_slots(context):
    assert not any(context.running_by_server.values()), (
        context.running_by_server
    )


@behave.when(
    'an engine stops a run and answers that there is no room elsewhere'
)
def stop_run_without_move(context):
    async def scenario(harness):
        async def move_run(
            engine, request_id, destination, timeout_s, last=True
        ):
            if last:
                _close_streams(harness, engine)
            return errors.Failure(
                errors.FailureKind.REFUSED,
                errors.Step.ORDER_ENGINE,
                str(engine),
                "/kv-move answered with status 503: {'handle': 'handle-1'}",
            )

        reader, _ = await _start_moved_stream(harness, move_run)
        return await platform_caller.read_response(reader, time.monotonic())

    context.event_count = 30
    context.response = node_harness.run_scenario(scenario, event_count=30)
