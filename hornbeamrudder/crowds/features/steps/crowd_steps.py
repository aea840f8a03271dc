"""Steps with a crowd of clients at a real node process."""

import asyncio
import pathlib
import tempfile

import behave

from hornbeamrudder.core import types
from hornbeamrudder.crowds import crowd
from hornbeamrudder.crowds import process_usage
from hornbeamrudder.soak import deployment
from hornbeamrudder.standins import endless
from hornbeamrudder.standins import platform_caller

BODY_BYTES = 1_000_000
HEAD_BYTES = 16_384
# Longer than a scenario, so that no time-out ends a crowd that holds on.
TIMEOUTS = {'headerTimeoutMs': 20_000, 'idleTimeoutMs': 40_000}
SETTLE_S = 2.5
SAMPLE_INTERVAL_S = 0.02
# An ordinary client retries a request that was refused or not answered.
ATTEMPTS = 8
ATTEMPT_TIMEOUT_S = 3.0
REPEAT_S = 0.3
REMAINING_MS = 3000
SMALL_BODY = b'x' * 200
# Of each engine; a node may repeat a request at another one.
ANSWERS = 400
# Until the node knows the engines by their own addresses.
KNOWN_S = 1.0
# After which an answer goes on slowly: the engines share a process with the
# crowd, and with the servers of ordinary requests.
BURST_BYTES_BY_ANSWER = {
    endless.Endless.EVENTS: 1_000_000,
    endless.Endless.EVENT: 60_000,
    endless.Endless.SIZED: 950_000,
}

PATH = '/look/x'


@behave.given(
    'a node with {memory:d} MB of memory and {descriptors:d} descriptors'
)
def start_crowd_node(context, memory, descriptors):
    _start_node(context, memory, descriptors, BODY_BYTES)


@behave.given(
    'a node with {memory:d} MB of memory and {descriptors:d} descriptors, for'
    ' bodies of {body_bytes:d} bytes'
)
def start_crowd_node_for_bodies(context, memory, descriptors, body_bytes):
    _start_node(context, memory, descriptors, body_bytes)


def _start_node(context, memory, descriptors, body_bytes):
    runner = asyncio.Runner()
    context.add_cleanup(runner.close)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.runner = runner
    context.limits = crowd.Limits(body_bytes, HEAD_BYTES)
    context.memory_bytes = memory * 1_000_000
    context.descriptors = descriptors
    context.peak_descriptors = 0
    context.system = deployment.Deployment(
        pathlib.Path(folder.name),
        nodes=1,
        host_limits={'memoryMb': memory, 'maxFds': descriptors},
        caller_limits={
            'maxHeaderBytes': HEAD_BYTES,
            'maxBodyBytes': body_bytes,
            **TIMEOUTS,
        },
    )
    context.add_cleanup(context.system.stop)
    runner.run(context.system.start())
    context.node = context.system.nodes[0]
    assert context.node.is_running
    context.crowds = []


@behave.given('engines that answer "{status}" and "{kind}" without end')
def answer_without_end(context, status, kind):
    answer = endless.Endless(kind)
    events = b'data: x\n\n' if status.startswith('200') else None
    for backend in context.system.backends:
        if backend.server.service != deployment.ENGINE_SERVICE:
            continue
        # Without the proxy, which would be busy with all the bytes.
        context.system.register(backend, address=backend.server.address)
        backend.server.behaviours = [
            endless.Answer(
                answer,
                events,
                status=status,
                burst_bytes=BURST_BYTES_BY_ANSWER[answer],
            )
            for _ in range(ANSWERS)
        ]
    context.runner.run(asyncio.sleep(KNOWN_S))


@behave.when('{count:d} clients send "{kind}"')
def play_crowd(context, count, kind):
    context.crowds = [
        crowd.Crowd(crowd.Kind(kind), count, _targets(context), context.limits)
    ]
    context.runner.run(_play(context))


@behave.when(
    '{unread:d} clients leave the answers unread and {count:d} send "{kind}"'
)
def play_both_crowds(context, unread, count, kind):
    context.crowds = [
        crowd.Crowd(
            crowd.Kind.ONE_UNREAD,
            unread,
            _targets(context)[:1],
            context.limits,
        ),
        crowd.Crowd(
            crowd.Kind(kind), count, _targets(context), context.limits
        ),
    ]
    context.runner.run(_play(context))


def _targets(context):
    system, node = context.system, context.node
    return tuple(
        crowd.Target(types.Address(node.ip, port), path)
        for port, path in (
            (system.front_port, '/chat/x'),
            (system.front_port, '/nowhere/x'),
            (system.ready_port, '/ready'),
            (system.metrics_port, '/metrics'),
        )
    )


async def _play(context):
    context.sampling = asyncio.create_task(_sample_descriptors(context))
    await asyncio.gather(
        *(clients.start(SETTLE_S) for clients in context.crowds)
    )


async def _stop(context):
    for clients in context.crowds:
        await clients.stop()


async def _sample_descriptors(context):
    while context.node.is_running:
        context.peak_descriptors = max(
            context.peak_descriptors,
            process_usage.open_descriptors(context.node.process.pid),
        )
        await asyncio.sleep(SAMPLE_INTERVAL_S)


async def _request(context, body):
    """Send one request as an ordinary client does, and return its status."""
    seen = []
    for _ in range(ATTEMPTS):
        writer = None
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    context.node.ip, context.system.front_port
                )
                writer.write(
                    platform_caller.request_bytes(
                        PATH,
                        request_id=platform_caller.new_request_id(),
                        key='key-north',
                        remaining_ms=REMAINING_MS,
                        body=body,
                    )
                )
                response = await platform_caller.read_response(reader)
                seen.append(response.status)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            seen.append(repr(error))
        finally:
            if writer is not None:
                writer.close()
        if seen[-1] == 200:
            break
        await asyncio.sleep(REPEAT_S)
    return seen


@behave.then(
    'the node answers a small and the largest request while they hold on'
)
def check_answers_during(context):
    context.runner.run(_check_answers(context))


@behave.then(
    'the node answers a small and the largest request when they have left'
)
def check_answers_after(context):
    context.runner.run(_stop(context))
    context.runner.run(_check_answers(context))
    context.sampling.cancel()
    _check_usage(context)


async def _check_answers(context):
    for body in (SMALL_BODY, b'x' * context.limits.body_bytes):
        seen = await _request(context, body)
        assert seen[-1:] == [200], (len(body), seen, _usage(context))


@behave.then('the node lives, within its memory and descriptors')
def check_within_host(context):
    _check_usage(context)


@behave.then('the node lives, within {memory:d} MB and its descriptors')
def check_within_memory(context, memory):
    context.memory_bytes = memory * 1_000_000
    print(_usage(context))
    _check_usage(context)


def _check_usage(context):
    assert context.node.is_running, _usage(context)
    peak = process_usage.peak_memory_bytes(context.node.process.pid)
    assert peak <= context.memory_bytes, _usage(context)
    assert context.peak_descriptors <= context.descriptors, _usage(context)


def _usage(context):
    if not context.node.is_running:
        return f'the process ended: {context.node.process.returncode}'
    peak = process_usage.peak_memory_bytes(context.node.process.pid)
    sent = sum(clients.sent_bytes for clients in context.crowds)
    return (
        f'{peak / 1e6:.0f} MB, {context.peak_descriptors} descriptors,'
        f' crowd sent {sent / 1e6:.0f} MB'
    )
