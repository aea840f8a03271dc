"""Steps for addresses that another backend server has taken over."""

import functools

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
        others = []
        known = {server: len(server.requests) for server in servers}
        connections = {server: server.connections for server in servers}

        def take_addresses(taken):
            if not others:
                others.extend(taken)
                for server in taken:
                    server.id = OTHER_ID
            return 0.0

        if path == 'a resumption':
            # Only once the first server runs the request, so that it can't
            # reach another one before.
            for server in servers:
                server.behaviours = [platform_server.Behaviour.CUT]
                server.next_delay_s = functools.partial(
                    take_addresses,
                    [item for item in servers if item is not server],
                )
        else:
            take_addresses([server for server in servers if server.requests])
        responses = []
        while all(len(server.requests) == known[server] for server in others):
            assert len(responses) < MAX_REQUESTS
            responses.append(
                await harness.send_request(f'/{route}/x', method=method)
            )
        if path == 'a kept connection':
            assert all(
                server.connections == connections[server] for server in others
            )
        if path == 'a resumption':
            assert len(responses) == 1
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
    for response in context.responses:
        assert response.status == 200, response
    check_served_whole(context)
