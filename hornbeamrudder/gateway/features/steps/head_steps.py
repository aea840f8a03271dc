"""Steps for answers that have no body."""

import asyncio
import contextlib

import behave

from hornbeamrudder.gateway.features import node_harness
from hornbeamrudder.standins import platform_caller
from hornbeamrudder.standins import platform_server

REMAINING_MS = 800
# Time in which the bytes of a body would arrive.
NO_BODY_S = 0.1
_BEHAVIOUR_BY_ANSWER = {
    'an error of a server': platform_server.Behaviour.ERROR,
    'no answer of a server': platform_server.Behaviour.RESET,
    'silence of a server': platform_server.Behaviour.HANG,
}


def _path(answer):
    match answer:
        case 'a stream':
            return '/chat/x'
        case 'no route':
            return '/none/x'
        case 'no server':
            return '/empty/x'
        case 'a plain answer':
            return '/look/x'
    return '/book/x'


def _routes():
    routes = platform_server.configuration(
        1, (node_harness.ENGINE_SERVICE, node_harness.PLAIN_SERVICE)
    )['routes']
    (look,) = (route for route in routes if route['name'] == 'look')
    empty = {'name': 'empty', 'prefix': '/empty/', 'service': 'none'}
    return [*routes, {**look, **empty}]


@behave.when(
    'a HEAD request gets "{answer}" and a GET request follows on its'
    ' connection'
)
def send_head(context, answer):
    async def scenario(harness):
        behaviour = _BEHAVIOUR_BY_ANSWER.get(answer)
        for server in harness.plain_servers:
            server.behaviours = [behaviour] if behaviour else []
        reader, writer = await harness.connect()
        writer.write(
            platform_caller.request_bytes(
                _path(answer),
                method='HEAD',
                remaining_ms=REMAINING_MS,
                key='unknown' if answer == 'a wrong key' else 'key-north',
            )
        )
        head = await reader.readuntil(b'\r\n\r\n')
        for server in harness.plain_servers:
            server.behaviours = []
        with contextlib.suppress(TimeoutError):
            rest = await asyncio.wait_for(reader.read(1), NO_BODY_S)
            raise AssertionError(f'a body, or the end: {rest!r}')
        writer.write(platform_caller.request_bytes('/look/x', method='GET'))
        response = await platform_caller.read_response(reader)
        writer.close()
        return int(head.split()[1]), response

    context.status, context.response = node_harness.run_scenario(
        scenario, routes=_routes()
    )


@behave.then(
    'the first is answered with {status:d} and no body, and the second whole'
)
def check_no_body(context, status):
    assert context.status == status, context.status
    assert context.response.status == 200, context.response
    assert context.response.complete, context.response
    assert context.response.body.startswith(b'answer of '), context.response
