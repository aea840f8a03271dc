"""Steps for addresses that another backend server has taken over."""

import behave

from hornbeamrudder.gateway.features import node_harness
from hornbeamrudder.standins import platform_server

OTHER_ID = 'other'
MAX_REQUESTS = 60
EVENT_COUNT = 6
ENGINE_ROUTES = ('plan', 'chat')


@behave.when(
    'another server has the address of one on "{route}", reached by {path}'
)
def reach_other_server(context, route, path):
    async def scenario(harness):
        servers = (
            harness.engines
            if route in ENGINE_ROUTES
            else harness.plain_servers
        )
        method = 'GET' if route == 'look' else 'POST'
        await harness.send_request(f'/{route}/x', method=method)
        used = next(server for server in servers if server.requests)
        others = [used]
        if path == 'a resumption':
            others = [server for server in servers if server is not used]
        connections = sum(server.connections for server in others)
        known = {server: len(server.requests) for server in others}
        for server in others:
            server.id = OTHER_ID
        responses = []
        while all(len(server.requests) == known[server] for server in others):
            assert len(responses) < MAX_REQUESTS
            if path == 'a resumption':
                used.behaviours = [platform_server.Behaviour.CUT]
            responses.append(
                await harness.send_request(f'/{route}/x', method=method)
            )
        if path == 'a kept connection':
            assert connections == sum(item.connections for item in others)
        return responses, [
            request
            for server in others
            for request in server.requests[known[server] :]
        ]

    context.responses, context.received = node_harness.run_scenario(
        scenario, engine_count=3, plain_count=3, event_count=EVENT_COUNT
    )


@behave.then('the other server was reached and ran nothing')
def check_nothing_run(context):
    assert context.received
    assert not any(request.executed for request in context.received)


@behave.then('each request is served whole, or refused as not run')
def check_served_whole(context):
    for response in context.responses:
        assert response.complete, response
        if response.status == 503:
            assert 'retry-after' in response.headers, response
            continue
        assert response.status == 200, response
        assert response.body == node_harness.complete_stream(
            EVENT_COUNT
        ) or response.body.startswith(b'answer of '), response


@behave.then('each request is served whole')
def check_all_served(context):
    assert all(item.status == 200 for item in context.responses)
    check_served_whole(context)
