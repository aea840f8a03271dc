"""Steps for faults that operators of similar systems have reported."""

import asyncio

import behave

from hornbeamrudder.gateway.features import node_harness
from hornbeamrudder.standins import platform_caller
from hornbeamrudder.standins import platform_server

Behaviour = platform_server.Behaviour
EVENT_COUNT = 6
# Long enough for the node to give the server up if it thinks that it is gone.
LONG_EVENT_COUNT = 80
LONG_EVENT_INTERVAL_S = 0.04
POLL_S = 0.01


@behave.when(
    'a request on "look" gets "{first}" and one on "{route}" with {which} id'
    ' follows'
)
def send_after_refusal(context, first, route, which):
    async def scenario(harness):
        (server,) = harness.plain_servers
        server.behaviours = [Behaviour(first)]
        request_id = platform_caller.new_request_id()
        await harness.send_request('/look/x', request_id=request_id)
        if which == 'another':
            request_id = platform_caller.new_request_id()
        response = await harness.send_request(
            f'/{route}/x', request_id=request_id
        )
        return response, [item for item in server.requests if item.executed]

    context.response, context.executed = node_harness.run_scenario(
        scenario, plain_count=1
    )


@behave.then(
    'the second one receives the complete response of the server that ran it'
    ' once'
)
def check_answered(context):
    assert context.response.status == 200, context.response
    assert context.response.complete
    assert context.response.body == b'answer of p-0', context.response
    assert len(context.executed) == 1, context.executed


@behave.when(
    'a resumable stream breaks off and the next server responds with'
    ' "{second}"'
)
def break_off(context, second):
    async def scenario(harness):
        order = []
        for server in harness.engines:
            server.behaviours = node_harness.BehaviourSequence(
                order, ['cut', second]
            )
        response = await harness.send_request('/plan/x', remaining_ms=2500)
        return response, len(order)

    context.event_count = EVENT_COUNT
    context.response, sends = node_harness.run_scenario(
        scenario, event_count=EVENT_COUNT
    )
    assert sends > 1, sends


@behave.then('the client receives part of the stream, and no end')
def check_cut(context):
    response = context.response
    assert response.status == 200, response
    assert not response.complete, response
    assert response.body, response
    assert node_harness.complete_stream(EVENT_COUNT).startswith(
        response.body
    ), response


@behave.then('the client receives each event of the stream once')
def check_whole(context):
    response = context.response
    assert response.status == 200 and response.complete, response
    expected = node_harness.complete_stream(context.event_count)
    assert response.body == expected, response


@behave.when('the events of a stream on "{route}" arrive every {interval:g} s')
def send_slowly(context, route, interval):
    async def scenario(harness):
        for server in harness.engines:
            server.event_interval_s = interval
        return await harness.send_request(f'/{route}/x', remaining_ms=6000)

    context.event_count = 4
    context.response = node_harness.run_scenario(scenario, event_count=4)


@behave.when('a server sends a byte of an event on "{route}" now and then')
def send_bytes_now_and_then(context, route):
    async def scenario(harness):
        order = []
        for server in harness.engines:
            server.behaviours = node_harness.BehaviourSequence(
                order, ['trickle', 'normal']
            )
        response = await asyncio.wait_for(
            harness.send_request(f'/{route}/x', remaining_ms=2500), 4.0
        )
        await asyncio.sleep(0.5)
        return response, harness.received_requests()

    context.response, context.requests = node_harness.run_scenario(
        scenario, event_count=EVENT_COUNT
    )


@behave.then(
    'the client has {outcome} when its time is over and the server is'
    ' disconnected'
)
def check_ended(context, outcome):
    response = context.response
    if outcome == 'an error':
        assert response.status in (502, 504), response
    else:
        assert response.complete, response
        assert response.body == node_harness.complete_stream(EVENT_COUNT)
    first = min(context.requests, key=lambda request: request.received_at)
    assert first.client_disconnected


@behave.when(
    'the entry of the server of a stream on "{route}" is gone for {gone:g} s'
)
def lose_entry(context, route, gone):
    async def scenario(harness):
        for server in harness.engines:
            server.event_interval_s = LONG_EVENT_INTERVAL_S
        pending = asyncio.create_task(
            harness.send_request(f'/{route}/x', remaining_ms=6000)
        )
        while not harness.received_requests():
            await asyncio.sleep(POLL_S)
        server = next(item for item in harness.engines if item.requests)
        harness.store.remove('servers', server.id)
        await asyncio.sleep(gone)
        harness.put_entry(server)
        return await pending, harness.received_requests()

    context.event_count = LONG_EVENT_COUNT
    context.response, context.requests = node_harness.run_scenario(
        scenario, event_count=LONG_EVENT_COUNT
    )


@behave.then('{count:d} servers receive the request')
def check_servers(context, count):
    assert len(context.requests) == count, context.requests


@behave.when('a request on "{route}" gets "{behaviour}" from each server')
def send_to_faulty_servers(context, route, behaviour):
    async def scenario(harness):
        for server in (*harness.plain_servers, *harness.engines):
            server.behaviours = [Behaviour(behaviour)] * 4
        return await harness.send_request(f'/{route}/x', remaining_ms=1500)

    context.event_count = EVENT_COUNT
    context.response = node_harness.run_scenario(
        scenario, event_count=EVENT_COUNT
    )


@behave.then('the client receives {status:d}')
def check_status(context, status):
    assert context.response.status == status, context.response


@behave.then('the client receives a stream without its end')
def check_broken_off(context):
    response = context.response
    assert response.status == 200 and not response.complete, response
    assert node_harness.complete_stream(EVENT_COUNT).startswith(response.body)


@behave.then('the client receives an error')
def check_error(context):
    assert context.response.status == 502, context.response
