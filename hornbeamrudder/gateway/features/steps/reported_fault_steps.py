"""Steps for faults that operators of similar systems have reported."""

import asyncio
from unittest import mock

import behave
import orjson

from hornbeamrudder.core import ids
from hornbeamrudder.gateway.features import fleet_simulation
from hornbeamrudder.gateway.features import node_harness
from hornbeamrudder.standins import platform_caller
from hornbeamrudder.standins import platform_server

Behaviour = platform_server.Behaviour
EVENT_COUNT = 6
# Long enough for the node to give the server up if it thinks that it is gone.
LONG_EVENT_COUNT = 80
LONG_EVENT_INTERVAL_S = 0.04
POLL_S = 0.01
ODD_VALUE_DEPTH = 900
ODD_REQUESTS = 20
RELAYED_S = 4.0
LAST_SERVER = 'e-last'


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


def _odd_row(what, entry):
    """Return the bytes of a row that another writer might leave."""
    match what.split():
        case [depth, 'levels']:
            return b'{"a":' + b'[' * int(depth) + b']' * int(depth) + b'}'
        case [count, 'digits']:
            number = b'9' * int(count)
        case ['port', port]:
            return orjson.dumps({**entry, 'address': f'127.0.0.1:{port}'})
        case ['a', 'host', 'name']:
            return orjson.dumps({**entry, 'address': 'h' * 300 + ':80'})
        case ['a', 'NUL']:
            return orjson.dumps({**entry, 'address': '127.0.0.1\x00:80'})
        case ['bytes', *_]:
            return b'\xff\x00\xfe'
        case ['2^70']:
            number = b'%d' % 2**70
        case [literal]:
            number = literal.encode()
    return orjson.dumps({**entry, 'born': 0, 'slots': 64}).replace(
        b'"born":0', b'"born":' + number + b',"coldRemainingMs":' + number
    )


@behave.when('a row among the entries of servers holds {what}')
def put_odd_row(context, what):
    async def scenario(harness):
        for server in (harness.plain_servers[0], harness.engines[0]):
            harness.store.put_raw(
                'servers',
                f'odd-{server.id}',
                _odd_row(what, server.entry()),
            )
        last = platform_server.PlatformServer(
            LAST_SERVER, node_harness.ENGINE_SERVICE, EVENT_COUNT
        )
        await last.start(node_harness.IP)
        harness.engines.append(last)
        harness.put_entry(last)
        servers = harness.node.state.servers
        while LAST_SERVER not in servers.by_id:
            await asyncio.sleep(POLL_S)
        responses = [
            await harness.send_request(f'/{route}/x')
            for route in ('look', 'chat')
            for _ in range(ODD_REQUESTS)
        ]
        assert not harness.task.done()
        return responses, list(servers.by_id), harness.log.lines

    context.responses, context.known, context.lines = (
        node_harness.run_scenario(scenario, event_count=EVENT_COUNT)
    )


@behave.then(
    'all requests are served by the other servers, and the node follows the'
    ' table'
)
def check_undisturbed(context):
    outcomes = {
        (response.status, response.complete) for response in context.responses
    }
    assert outcomes == {(200, True)}, outcomes
    assert not [name for name in context.known if name.startswith('odd')]
    longest = max(len(str(fields)) for _, fields in context.lines)
    assert longest < 2000, longest


def _nested(depth):
    value = 1
    for _ in range(depth):
        value = [value]
    return value


@behave.when(
    'odd rows are written to "{table}" beside a valid server, with {count:d}'
    ' nodes'
)
def relay_odd_rows(context, table, count):
    entry = platform_server.PlatformServer(
        LAST_SERVER, node_harness.ENGINE_SERVICE
    )
    entry.address = '10.0.0.9:80'

    async def scenario(fleet):
        fleet.put_configuration(1)
        await fleet.start_all()
        await asyncio.sleep(RELAYED_S)
        odd = {
            'levels': {'a': _nested(ODD_VALUE_DEPTH), 'ip': _nested(600)},
            'large': {**entry.entry(), 'born': 2**70, 'port': 2**70},
            'infinite': {**entry.entry(), 'born': 1e300, 'port': 1e300},
            'words': {'ip': 7, 'port': 'none', 'link_mbps': 'fast'},
            'port': {
                **entry.entry(),
                'address': '10.0.0.8:99999',
                'ip': '10.0.0.8',
                'port': 99999,
            },
            'list': [1, 2],
            'nothing': None,
        }
        for key, value in odd.items():
            fleet.store.commit([(table, f'odd {key}', value)])
            await asyncio.sleep(POLL_S)
        fleet.store.commit([('servers', LAST_SERVER, entry.entry())])
        await asyncio.sleep(RELAYED_S)
        return [
            (
                list(running.node.state.servers.by_id),
                running.node.state.peers.node_count,
                [task for task in running.tasks if task.done()],
            )
            for running in fleet.running_by_number.values()
        ]

    fleet = fleet_simulation.Fleet(count)
    context.node_states = fleet.run(scenario)
    context.failures, context.count = fleet.failures, count


@behave.then('each node runs and knows the valid server')
def check_relayed(context):
    assert not context.failures, context.failures
    for servers, nodes, ended in context.node_states:
        assert not ended
        assert servers == [ids.WorkerId(LAST_SERVER)], servers
        assert nodes == context.count, nodes


@behave.when('a request on "{route}" states {number} in "{header}"')
def state_odd_number(context, route, number, header):
    match number.split():
        case [count, 'digits']:
            number = '9' * int(count)
    if 'Prompt-Prefix' in header:
        number = f'a:{number},b:1'

    async def scenario(harness):
        headers = [f'{header}: {number}']
        if 'Deadline' in header:
            # Replaces the header that the client would send.
            request = platform_caller.request_bytes(f'/{route}/x').replace(
                b'Deadline-Remaining: 3000',
                b'Deadline-Remaining: ' + number.encode(),
            )
            reader, writer = await harness.connect()
            writer.write(request)
            return await platform_caller.read_response(reader)
        return await harness.send_request(f'/{route}/x', headers=headers)

    context.response = node_harness.run_scenario(
        scenario,
        event_count=EVENT_COUNT,
        limits={
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 65536,
            'headerTimeoutMs': 800,
            'idleTimeoutMs': 3000,
        },
    )


@behave.then('the client receives a complete answer')
def check_complete_answer(context):
    assert context.response.status in (200, 400), context.response
    assert context.response.complete, context.response


@behave.when(
    'serving a request on "{route}" fails within the node {when} it is sent'
)
def fail_within_node(context, route, when):
    async def scenario(harness):
        forwarder = harness.node.forwarder
        name = '_acquire_placement' if when == 'before' else '_follow'
        with mock.patch.object(forwarder, name, side_effect=KeyError('x')):
            failed = await harness.send_request(f'/{route}/x')
        return failed, await harness.send_request(f'/{route}/x')

    context.response, context.next_response = node_harness.run_scenario(
        scenario
    )


@behave.then('the client receives {status:d}, and the next request is served')
def check_failure_answered(context, status):
    assert context.response.status == status, context.response
    assert context.response.complete
    assert context.next_response.status == 200, context.next_response
