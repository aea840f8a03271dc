"""Steps for the memory that a node process uses for answers."""

import asyncio
import pathlib
import tempfile
import time

import behave

from hornbeamrudder.gateway import byte_limits
from hornbeamrudder.gateway.features import node_harness
from hornbeamrudder.gateway import shared_limit
from hornbeamrudder.soak import deployment
from hornbeamrudder.standins import endless
from hornbeamrudder.standins import platform_caller
from hornbeamrudder.standins import platform_server

# Added so that the engines have slots for all requests.
FURTHER_ENGINES = 5
KNOWN_S = 1.0
REMAINING_MS = 6000
# Between the requests, so that the stand-ins, which share one process, accept
# all connections in time; all answers last longer than all of them take.
SEND_INTERVAL_S = 0.005
# Until a client repeats a request that was refused, and how often.
REPEAT_S = 0.2
MAX_REPEATS = 20
MB = 1e6
EVENT_COUNT = 6
# After the head of an answer, before its end.
DISCONNECT_S = 0.03
CALM_S = 2.0


def _peak_bytes(pid):
    """Return the largest resident memory that a process has had."""
    lines = pathlib.Path(f'/proc/{pid}/status').read_text().splitlines()
    (peak,) = (line for line in lines if line.startswith('VmHWM:'))
    return int(peak.split()[1]) * 1024


async def _send(placed, node):
    started_at = time.monotonic()
    reader, writer = await asyncio.open_connection(node.ip, placed.front_port)
    writer.write(
        platform_caller.request_bytes('/chat/x', remaining_ms=REMAINING_MS)
    )
    try:
        return await platform_caller.read_response(reader, started_at)
    finally:
        writer.close()


async def _send_until_run(placed, node):
    """Send a request, again after each refusal, as clients do."""
    for _ in range(MAX_REPEATS):
        response = await _send(placed, node)
        if response.status != 503:
            return
        await asyncio.sleep(REPEAT_S)


@behave.when(
    '{count:d} requests at once to a node process get "{status}" and a'
    ' "{kind}" that goes on slowly after {burst:d} kB'
)
def send_many(context, count, status, kind, burst):
    events = b'' if status.startswith('200') else None

    def answers():
        return [
            endless.Answer(
                endless.Endless(kind),
                events,
                status=status,
                burst_bytes=burst * 1000,
            )
            for _ in range(count)
        ]

    async def run(folder):
        placed = deployment.Deployment(folder, 1)
        try:
            await placed.start()
            for _ in range(FURTHER_ENGINES):
                await placed.add_backend(deployment.ENGINE_SERVICE)
            for backend in placed.backends:
                # Without the proxy, which would be busy with all the bytes.
                placed.register(backend, address=backend.server.address)
            await asyncio.sleep(KNOWN_S)
            (node,) = placed.nodes
            for backend in placed.backends:
                backend.server.behaviours = answers()
            sent = []
            for _ in range(count):
                sent.append(asyncio.create_task(_send_until_run(placed, node)))
                await asyncio.sleep(SEND_INTERVAL_S)
            await asyncio.gather(*sent)
            arrived = sum(
                len(backend.server.requests) for backend in placed.backends
            )
            for backend in placed.backends:
                backend.server.behaviours = []
            further = [await _send(placed, node) for _ in range(20)]
            assert node.is_running
            return arrived, _peak_bytes(node.process.pid), further
        finally:
            placed.stop()

    with tempfile.TemporaryDirectory() as folder:
        context.arrived, context.peak_bytes, context.further = asyncio.run(
            run(pathlib.Path(folder))
        )
    assert context.arrived >= count, context.arrived


@behave.then('the process has used less than {megabytes:d} MB')
def check_peak(context, megabytes):
    assert context.peak_bytes < megabytes * MB, context.peak_bytes / MB


@behave.then('it answers {count:d} further requests whole')
def check_further(context, count):
    whole = [
        response
        for response in context.further
        if response.status == 200 and response.complete
    ]
    assert len(whole) == count, context.further


class _Holder:
    def __init__(self):
        self.ended = False

    def end_endless(self, detail):
        self.ended = True

    def drop_unread(self):
        pass


@behave.when(
    'connections that hold 10, 60 and 5 of 80 bytes receive 10 more each'
)
def receive_over_limit(context):
    context.held = byte_limits.HeldBytes(shared_limit.SharedLimit(80))
    context.holders = [_Holder() for _ in range(3)]
    for holder, count in zip(context.holders, (10, 60, 5), strict=True):
        context.held.add(holder, count)
    for holder in context.holders:
        if not holder.ended:
            context.held.add(holder, 10)


@behave.then('only the second one is ended, and {count:d} bytes are held')
def check_largest_ended(context, count):
    ended = [holder.ended for holder in context.holders]
    assert ended == [False, True, False], ended
    assert context.held.total == count, context.held.total


@behave.when(
    'requests on all routes are answered "{behaviour}" and clients disconnect'
)
def answer_all_routes(context, behaviour):
    async def scenario(harness):
        servers = (*harness.plain_servers, *harness.engines)
        for route in ('look', 'book', 'chat', 'plan'):
            for server in servers:
                server.behaviours = [platform_server.Behaviour(behaviour)] * 3
            await harness.send_request(f'/{route}/x', remaining_ms=1500)
            _, writer = await harness.connect()
            writer.write(platform_caller.request_bytes(f'/{route}/x'))
            await asyncio.sleep(DISCONNECT_S)
            writer.close()
        until = time.monotonic() + CALM_S
        while harness.node.forwarder.calls and time.monotonic() < until:
            await asyncio.sleep(0.01)
        return harness.node.state.held_bytes.total

    context.held_count = node_harness.run_scenario(
        scenario, event_count=EVENT_COUNT
    )


@behave.then('the node holds no bytes of answers')
def check_nothing_held(context):
    assert context.held_count == 0, context.held_count


@behave.when(
    '"look" gets "error text" and then no answer, and its room is {room}'
)
def keep_error_response(context, room):
    async def scenario(harness):
        held = harness.node.state.held_bytes
        order = []
        for server in harness.plain_servers:
            server.behaviours = node_harness.BehaviourSequence(
                order, ['error text', 'hang']
            )
        pending = asyncio.create_task(
            harness.send_request('/look/x', remaining_ms=REMAINING_MS)
        )
        while (
            sum(len(server.requests) for server in harness.plain_servers) < 2
        ):
            await asyncio.sleep(0.01)
        if room == 'needed':
            held.reduce(0, 0.0)
        held_meanwhile = held.total
        response = await pending
        return held_meanwhile, held.total, response

    context.held_counts = node_harness.run_scenario(scenario)


@behave.then(
    '{meanwhile:d} bytes are held meanwhile and {afterwards:d} afterwards'
)
def check_held_counts(context, meanwhile, afterwards):
    assert context.held_counts[:2] == (meanwhile, afterwards), (
        context.held_counts
    )


@behave.then('the client receives {status:d} and {count:d} bytes')
def check_status_and_size(context, status, count):
    response = context.held_counts[2]
    assert response.status == status, response
    assert len(response.body) == count, response
    assert response.complete, response
