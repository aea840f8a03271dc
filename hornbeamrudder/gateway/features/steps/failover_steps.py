"""Steps for requests that are tried at a second backend server."""

import asyncio
import time

import behave

from hornbeamrudder.core import errors
from hornbeamrudder.gateway.features import node_harness
from hornbeamrudder.standins import platform_caller
from hornbeamrudder.standins import platform_server

Behaviour = platform_server.Behaviour
EVENT_COUNT = 6
LEAVING_EVENT_COUNT = 40
LEAVING_EVENT_INTERVAL_S = 0.04
LEAVES_MS = 900
MOVED_LEAVES_MS = 1500
# After the first try at a second server, and before the next one.
LISTENS_AFTER_S = 1.0
POLL_S = 0.005
CANCEL_S = 0.5
# Requests from which a node learns how slow two hosts are.
SLOWNESS_SAMPLES = 24
SLOWNESS_INTERVAL_S = 0.05


async def _wait_for_requests(harness, count):
    while len(harness.received_requests()) < count:
        await asyncio.sleep(POLL_S)
    return sorted(
        harness.received_requests(), key=lambda request: request.received_at
    )


@behave.when(
    'a request on "{route}" gets "{first}" from one server and "{second}" from'
    ' the other'
)
def send_to_slow_server(context, route, first, second):
    async def scenario(harness):
        order = []
        for server in (*harness.plain_servers, *harness.engines):
            server.behaviours = node_harness.BehaviourSequence(
                order, [first, second]
            )
        context.log, context.metrics = harness.log, harness.node.state.metrics
        return await harness.send_request(
            f'/{route}/x'
        ), harness.received_requests()

    context.event_count = EVENT_COUNT
    context.response, context.requests = node_harness.run_scenario(
        scenario, event_count=EVENT_COUNT
    )


@behave.when('a resumable stream pauses and the other server is not listening')
def pause_stream_beside_ended_server(context):
    async def scenario(harness):
        for server in harness.engines:
            server.behaviours = [Behaviour.PAUSE]
        pending = asyncio.create_task(harness.send_request('/plan/x'))
        await _wait_for_requests(harness, 1)
        for server in harness.engines:
            if not server.requests:
                server.listener.close()
        return await pending, harness.received_requests()

    context.event_count = EVENT_COUNT
    context.response, context.requests = node_harness.run_scenario(
        scenario, event_count=EVENT_COUNT
    )


@behave.when(
    'a request on "plan" gets no response and the other server listens only'
    ' later'
)
def listen_later(context):
    async def scenario(harness):
        for server in harness.engines:
            server.behaviours = [Behaviour.HANG]
        pending = asyncio.create_task(harness.send_request('/plan/x'))
        await _wait_for_requests(harness, 1)
        (other,) = (
            server for server in harness.engines if not server.requests
        )
        other.behaviours = []
        other.listener.close()
        await asyncio.sleep(LISTENS_AFTER_S)
        ip, _, port = other.address.partition(':')
        await other.start(ip, int(port))
        return await pending

    context.event_count = EVENT_COUNT
    context.response = node_harness.run_scenario(
        scenario, event_count=EVENT_COUNT
    )


@behave.when(
    'a resumable stream is served by an engine that leaves and the other'
    ' refuses'
)
def leave_beside_full_engine(context):
    async def scenario(harness):
        for server in harness.engines:
            server.event_interval_s = LEAVING_EVENT_INTERVAL_S
        pending = asyncio.create_task(harness.send_request('/plan/x'))
        await _wait_for_requests(harness, 1)
        for server in harness.engines:
            if server.requests:
                harness.put_entry(
                    server, state='draining', leaves_ms=LEAVES_MS
                )
            else:
                server.behaviours = [Behaviour.FULL]
        return await pending, harness.received_requests()

    context.event_count = LEAVING_EVENT_COUNT
    context.response, context.requests = node_harness.run_scenario(
        scenario, event_count=LEAVING_EVENT_COUNT
    )


@behave.when(
    'a non-repeatable stream is served by an engine that leaves and moves fail'
    ' "{failing}"'
)
def leave_beside_failing_moves(context, failing):
    async def scenario(harness):
        async def move_run(engine, request_id, destination, timeout_s, last):
            if last:
                # Engines stop the run first, and close its stream.
                for server in harness.engines:
                    if server.address == str(engine):
                        for writer in tuple(server.writers):
                            writer.transport.abort()
            if last or failing == 'always':
                return errors.Failure(
                    errors.FailureKind.REFUSED,
                    errors.Step.ORDER_ENGINE,
                    str(engine),
                    'no room',
                )
            return f'{engine}/handle-1'

        harness.node.mover.set_move_run(move_run)
        for server in harness.engines:
            server.event_interval_s = LEAVING_EVENT_INTERVAL_S
        pending = asyncio.create_task(harness.send_request('/chat/x'))
        await _wait_for_requests(harness, 1)
        for server in harness.engines:
            if server.requests:
                harness.put_entry(
                    server, state='draining', leaves_ms=MOVED_LEAVES_MS
                )
        return await pending, harness.received_requests()

    context.response, context.requests = node_harness.run_scenario(
        scenario, event_count=LEAVING_EVENT_COUNT
    )


@behave.then('the client receives each event once, from {count:d} servers')
def check_each_event_once(context, count):
    assert context.response.complete, context.response
    assert context.response.body == node_harness.complete_stream(
        LEAVING_EVENT_COUNT
    )
    assert len(context.requests) == count, context.requests


@behave.then(
    'the client receives the complete response of the first of {count:d}'
    ' servers'
)
def check_first_response(context, count):
    assert context.response.status == 200, context.response
    assert context.response.complete, context.response
    requests = sorted(
        context.requests, key=lambda request: request.received_at
    )
    servers = {
        request.headers['x-hornbeamrudder-expect-instance']
        for request in requests
    }
    assert len(servers) == count, requests
    assert not requests[0].client_disconnected, requests
    seal = context.response.headers['x-hornbeamrudder-response-seal']
    expected = requests[0].headers['x-hornbeamrudder-expect-instance']
    assert seal == f'seal-{expected}', (seal, expected)
    assert context.response.body in (
        node_harness.complete_stream(context.event_count),
        f'answer of {expected}'.encode(),
    )


@behave.then('the client receives the error response of the first server')
def check_error_response(context):
    assert len(context.requests) == 2, context.requests
    assert context.response.status == 500, context.response
    assert 'x-hornbeamrudder-response-seal' in context.response.headers


@behave.when('neither server responds to a request on "plan"')
def send_to_silent_servers(context):
    async def scenario(harness):
        for server in harness.engines:
            server.behaviours = [Behaviour.HANG]
        pending = asyncio.create_task(harness.send_request('/plan/x'))
        first, second = await _wait_for_requests(harness, 2)
        while not first.client_disconnected:
            await asyncio.sleep(POLL_S)
        elapsed_s = time.monotonic() - second.received_at
        pending.cancel()
        return elapsed_s, second.client_disconnected

    context.elapsed_s, context.second_disconnected = node_harness.run_scenario(
        scenario
    )


@behave.then(
    'the first one is disconnected within {limit_s:g} seconds of the second'
    ' request'
)
def check_overlap(context, limit_s):
    assert context.elapsed_s < limit_s, context.elapsed_s
    assert not context.second_disconnected


@behave.when(
    'a client disconnects while its request is tried at a second server'
)
def disconnect_during_failover(context):
    async def scenario(harness):
        for server in harness.engines:
            server.behaviours = [Behaviour.HANG]
        _, writer = await harness.connect()
        writer.write(platform_caller.request_bytes('/plan/x'))
        await _wait_for_requests(harness, 2)
        writer.close()
        await asyncio.sleep(CANCEL_S)
        return harness.received_requests()

    context.requests = node_harness.run_scenario(scenario)


@behave.then('the request is cancelled at both servers within half a second')
def check_both_cancelled(context):
    assert len(context.requests) == 2, context.requests
    assert all(request.client_disconnected for request in context.requests)


@behave.when(
    'the servers of "{route}" state the slowness {slowness:d} and the first'
    ' response is late by {late:g} s'
)
def send_to_slow_host(context, route, slowness, late):
    async def scenario(harness):
        servers = (*harness.plain_servers, *harness.engines)
        for server in servers:
            server.load_figures = f'1,0,6,{slowness}'
        for _ in range(SLOWNESS_SAMPLES):
            await harness.send_request(f'/{route}/x')
            await asyncio.sleep(SLOWNESS_INTERVAL_S)
        known = len(harness.received_requests())
        delays = iter([late])
        for server in servers:
            server.next_delay_s = lambda: next(delays, 0.0)
        response = await harness.send_request(f'/{route}/x')
        return response, len(harness.received_requests()) - known

    context.response, context.count = node_harness.run_scenario(
        scenario, event_count=EVENT_COUNT
    )


@behave.then(
    '{count:d} servers receive the late request and the client receives a'
    ' complete response'
)
def check_late_request(context, count):
    assert context.count == count, context.count
    assert context.response.status == 200 and context.response.complete


@behave.then(
    'the log has {count:d} gaps over the target, the stream going on at'
    ' "{server}"'
)
def check_late_gaps(context, count, server):
    assert context.response.complete, context.response
    gaps = [
        fields
        for event, fields in context.log.lines
        if event == 'gap in a stream exceeds its target'
    ]
    assert len(gaps) == count, context.log.lines
    for fields in gaps:
        is_same = fields['server'] == fields['previous_server']
        assert is_same == (server == 'same server'), fields
        assert fields['gap_ms'] > fields['target_ms'] == 600, fields
    (ended,) = (
        fields
        for event, fields in context.log.lines
        if event == 'request ended'
    )
    assert (ended['longest_gap_ms'] > 600) == bool(count), ended
    counted = context.metrics.late_gaps.get_all()
    assert counted == [
        ({'route': fields['route'], 'goes_on': server}, 1) for fields in gaps
    ], counted
