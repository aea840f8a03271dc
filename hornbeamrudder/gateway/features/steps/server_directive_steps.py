"""Steps for what backend servers ask for in their answers."""

import asyncio
import time

import behave

from hornbeamrudder.gateway.features import node_harness
from hornbeamrudder.standins import platform_server

Behaviour = platform_server.Behaviour
EVENT_COUNT = 3
REQUESTS = 25
POLL_S = 0.02
# More than the users' bound on requests to a leaving server allows, less than
# `REREGISTRATION_S`.
APPLIED_S = 0.4
# The users' rule counts from half a second after the refusal.
RULE_FROM_S = 0.5
NEXT_START_MS = 1700000009000
LONG_PAUSE_S = 30


def _servers(harness, route):
    return (
        harness.plain_servers if route in ('look', 'book') else harness.engines
    )


async def _send_until(harness, route, is_done):
    """Send requests one by one until a condition holds."""
    while not is_done():
        await harness.send_request(f'/{route}/x')
        await asyncio.sleep(POLL_S)


async def _send_some(harness, route):
    return await asyncio.gather(
        *(harness.send_request(f'/{route}/x') for _ in range(REQUESTS))
    )


async def _change_entry(harness, server, change):
    match change:
        case 'its entry is written again':
            harness.put_entry(server, sequence=2)
        case 'its entry is gone for 0.3 s':
            harness.store.remove('servers', server.id)
            await asyncio.sleep(0.3)
            harness.put_entry(server)
        case 'the store is down':
            harness.store.faults.error_status = 503
        case 'it starts again':
            server.answer_headers.clear()
            harness.put_entry(server, born=NEXT_START_MS)
    await asyncio.sleep(APPLIED_S)


@behave.when(
    'a server on "{route}" says in an answer that it leaves, and {change}'
)
def leave_by_answer(context, route, change):
    async def scenario(harness):
        server = _servers(harness, route)[0]
        server.answer_headers.append('Server-Leaving: 1')
        await _send_until(harness, route, lambda: server.requests)
        await _change_entry(harness, server, change)
        before = len(server.requests)
        responses = await _send_some(harness, route)
        return responses, len(server.requests) - before

    context.responses, context.received = node_harness.run_scenario(
        scenario, event_count=EVENT_COUNT
    )


@behave.when('a server on "{route}" refuses a request and says that it leaves')
def leave_by_refusal(context, route):
    async def scenario(harness):
        server = _servers(harness, route)[0]
        server.refusal_headers.append('Server-Leaving: 1')
        server.behaviours = [Behaviour.FULL]
        await _send_until(harness, route, lambda: server.requests)
        before = len(server.requests)
        responses = await _send_some(harness, route)
        return responses, len(server.requests) - before

    context.responses, context.received = node_harness.run_scenario(scenario)


@behave.then('no further request reaches it, and each is served')
def check_not_reached(context):
    assert not context.received, context.received
    assert {item.status for item in context.responses} == {200}


@behave.then('further requests reach it, and each is served')
def check_reached(context):
    assert context.received
    assert {item.status for item in context.responses} == {200}


@behave.when(
    'a server on "{route}" refuses a request with Retry-After "{value}"'
)
def refuse_with_pause(context, route, value):
    async def scenario(harness):
        server = _servers(harness, route)[0]
        server.refusal_headers.append(f'Retry-After: {value}')
        server.behaviours = [Behaviour.FULL]
        await _send_until(harness, route, lambda: server.requests)
        refused_at = server.requests[0].received_at
        responses = []
        while time.monotonic() < refused_at + 3.2:
            responses += await _send_some(harness, route)
            await asyncio.sleep(POLL_S)
        return responses, [
            request.received_at - refused_at for request in server.requests[1:]
        ]

    context.responses, context.received = node_harness.run_scenario(
        scenario, event_count=EVENT_COUNT
    )


@behave.then(
    'no request reaches it from half a second later until {until:g} s, and'
    ' each is served'
)
def check_pause(context, until):
    early = [
        moment for moment in context.received if RULE_FROM_S < moment < until
    ]
    assert not early, early
    assert {item.status for item in context.responses} == {200}


@behave.then('requests reach it again {again:g} s after its refusal')
def check_after_pause(context, again):
    assert min(context.received) < again, min(context.received)


@behave.when(
    'all servers on "{route}" ask for a pause longer than a request may wait'
)
def pause_all(context, route):
    async def scenario(harness):
        servers = _servers(harness, route)
        for server in servers:
            server.refusal_headers.append(f'Retry-After: {LONG_PAUSE_S}')
            server.behaviours = [Behaviour.FULL] * REQUESTS
        await _send_until(
            harness, route, lambda: all(item.requests for item in servers)
        )
        before = len(harness.received_requests())
        response = await harness.send_request(f'/{route}/x')
        return response, len(harness.received_requests()) - before

    context.response, context.received = node_harness.run_scenario(scenario)


@behave.then(
    'the next request gets 503 with Retry-After within {limit:g} s and reaches'
    ' none'
)
def check_refused_at_once(context, limit):
    assert context.response.status == 503, context.response
    assert float(context.response.headers['retry-after']) > 0
    assert context.response.elapsed_s <= limit, context.response
    assert not context.received
