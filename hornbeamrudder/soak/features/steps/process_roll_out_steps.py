"""Steps for roll-outs by node processes."""

import asyncio
import itertools
import pathlib
import signal
import tempfile

import behave

from hornbeamrudder.soak import checks
from hornbeamrudder.soak import deployment
from hornbeamrudder.soak import roll_out
from hornbeamrudder.standins import platform_caller

# Streams of 6 events last for longer than the transfer.
EVENT_INTERVAL_S = 0.8
REQUEST_INTERVAL_S = 0.06
STREAM_TIMEOUT_MS = 30_000
STEP_TIMEOUT_S = 40.0
# The fault outlasts the holder's term.
FAULT_S = 6.0
BACK_S = 3.0
PHASES = ['waiting', 'trial', 'load', 'transfer', 'completed']


@behave.given(
    '{count:d} node processes, and streams that last for several seconds'
)
def given_processes(context, count):
    context.node_count = count


@behave.when(
    'engines are rolled out within {seconds:d} s, and the holder'
    ' is {fault} in step {step}'
)
def when_rolled_out(context, seconds, fault, step):
    with tempfile.TemporaryDirectory() as folder:
        system = deployment.Deployment(
            pathlib.Path(folder), context.node_count
        )
        try:
            asyncio.run(_roll_out(context, system, seconds, fault, step))
        finally:
            system.stop()


async def _roll_out(context, system, seconds, fault, step):
    await system.start()
    _put_time_limits(system)
    order = roll_out.Order(deployment.ENGINE_SERVICE, 'v2', seconds)
    run = roll_out.RollOutRun(system, order, deployment.FIRST_VERSION)
    context.responses, context.streams = [], {}
    context.former = None
    callers = asyncio.create_task(_send_streams(context, system))
    rolled_out = asyncio.create_task(run.run())
    assert await run.wait_for(step, STEP_TIMEOUT_S), run.states()[-1:]
    former = system.duty_holder()
    context.former = former.number
    context.number = run.states()[-1]['number']
    _start_fault(former, fault)
    await asyncio.sleep(FAULT_S)
    context.state = await rolled_out
    context.over = run.states()
    former.signal(signal.SIGCONT)
    former.store_proxy.clear_faults()
    await asyncio.sleep(BACK_S)
    context.states = run.states()
    callers.cancel()
    await asyncio.wait([*context.streams, callers])
    context.servers = {
        backend.server.id: backend for backend in system.all_backends
    }


def _put_time_limits(system):
    """Let streams last as long as they may take on a busy machine."""
    system.version += 1
    document = system.store.read('op', 'config')
    for route in document['routes']:
        route['timeoutMs'] = STREAM_TIMEOUT_MS
    system.store.put('op', 'config', {**document, 'version': system.version})


def _start_fault(node, fault):
    match fault:
        case 'killed':
            node.signal(signal.SIGKILL)
        case 'frozen':
            node.signal(signal.SIGSTOP)
        case _:
            node.store_proxy.faults.resets_new_connections = True
            node.store_proxy.reset_connections()


async def _send_streams(context, system):
    """Send streams to the nodes in turn, but not to the one that fails."""
    for number in itertools.count():
        for backend in system.backends:
            backend.server.event_interval_s = EVENT_INTERVAL_S
        node = system.nodes[number % len(system.nodes)]
        if node.number != context.former:
            task = asyncio.create_task(_send(system, node, number))
            context.streams[task] = node.number
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def _send(system, node, number):
    reader, writer = await asyncio.open_connection(node.ip, system.front_port)
    request_id = platform_caller.new_request_id()
    writer.write(
        platform_caller.request_bytes(
            f'/{("plan", "chat")[number % 2]}/x',
            request_id=request_id,
            key='key-north',
            remaining_ms=STREAM_TIMEOUT_MS,
        )
    )
    response = await platform_caller.read_response(reader)
    writer.close()
    return request_id, response


@behave.then('the roll-out is completed by another holder')
def then_completed(context):
    last = context.over[-1]
    assert context.state == roll_out.COMPLETED, last
    assert last['number'] > context.number, (last, context.number)


@behave.then('no step was skipped or made twice, and the numbers never fell')
def then_in_order(context):
    phases = [
        phase
        for phase, _ in itertools.groupby(row['phase'] for row in context.over)
    ]
    assert phases == PHASES, phases
    numbers = [row['number'] for row in context.states]
    assert numbers == sorted(numbers), numbers


@behave.then('all streams at the other nodes arrived whole')
def then_whole(context):
    results = [
        task.exception() or task.result()[1]
        for task, number in context.streams.items()
        if number != context.former
    ]
    broken = [
        item
        for item in results
        if isinstance(item, Exception)
        or (item.status, item.body) != (200, checks.COMPLETE_STREAM)
    ]
    assert results and not broken, (len(broken), len(results), broken[:3])


@behave.then('streams went on from old servers at new ones')
def then_went_on(context):
    versions_by_request = {}
    for backend in context.servers.values():
        for request in backend.server.requests:
            versions_by_request.setdefault(request.request_id, set()).add(
                backend.version
            )
    assert {'v1', 'v2'} in versions_by_request.values()


@behave.then('the former holder makes no step when it is back')
def then_no_more_steps(context):
    assert context.states == context.over, context.states[-3:]
