"""Steps for roll-outs by real nodes."""

import asyncio
import dataclasses
import itertools

import behave

from hornbeamrudder.core import errors
from hornbeamrudder.gateway.features import node_harness
from hornbeamrudder.gateway import records
from hornbeamrudder.platform import roll_out_status
from hornbeamrudder.platform import store
from hornbeamrudder.standins import platform_server

DURATION_S = 9
BOUNDS = records.Bounds(
    retry_slack=50.0, exposure_share=0.1, exposure_slack=50.0
)
SERVERS = 4
# Requests a second; the old servers have slots for many more.
RATE = 60.0
END_S = 14.0
BOOT_S = 1.0
CUT_OFF_AT_S = 3.0
KEY = f'rollout/{node_harness.PLAIN_SERVICE}'


@behave.given(
    '{nodes:d} nodes, and an order of a {kind} version with a time budget of'
    ' 9 s'
)
def given_order(context, nodes, kind):
    context.nodes = nodes
    context.kind = kind


@behave.when('{trouble} while requests are sent')
def when_sent(context, trouble):
    async def scenario(harness):
        new = [
            platform_server.PlatformServer(
                f'n-{number}', node_harness.PLAIN_SERVICE
            )
            for number in range(SERVERS)
        ]
        await _order(harness, new, context.kind == 'bad')
        started_at = asyncio.get_running_loop().time()
        pending = set()
        cut_off = False
        for number in itertools.count():
            elapsed_s = asyncio.get_running_loop().time() - started_at
            if elapsed_s > END_S:
                break
            if not cut_off and elapsed_s > CUT_OFF_AT_S:
                cut_off = True
                if trouble != 'nothing happens':
                    _cut_off_holder(harness)
            # As the platform does, to nodes that are ready.
            ready = [
                index
                for index, node in enumerate(harness.nodes)
                if node.is_ready()
            ]
            assert ready, harness.log.lines[-40:]
            pending.add(
                asyncio.create_task(
                    harness.send_request(
                        '/look/x',
                        method='GET',
                        number=ready[number % len(ready)],
                    )
                )
            )
            await asyncio.sleep(1 / RATE)
        responses = await asyncio.gather(*pending)
        return (
            harness.store.read('status', KEY),
            responses,
            sum(len(server.requests) for server in new),
            harness.log.lines,
        )

    (
        context.row,
        context.responses,
        context.sent,
        context.lines,
    ) = node_harness.run_scenario(
        scenario, plain_count=SERVERS, node_count=context.nodes, bounds=BOUNDS
    )


async def _order(harness, new, is_bad):
    harness.store.put(
        'op',
        KEY,
        {
            'service': node_harness.PLAIN_SERVICE,
            'to': 'v2',
            'durationS': DURATION_S,
        },
    )
    for server in new:
        await server.start(node_harness.IP)
        if is_bad:
            server.behaviours = [platform_server.Behaviour.ERROR] * 10_000
    asyncio.get_running_loop().call_later(
        BOOT_S,
        lambda: [harness.put_entry(server, version='v2') for server in new],
    )


def _cut_off_holder(harness):
    """Let no call of the holder reach the store any more."""
    (holder,) = [node for node in harness.nodes if node.duties.fencing_number]

    async def call(*_, timeout_s, **__):
        await asyncio.sleep(timeout_s)
        return errors.Failure(
            errors.FailureKind.TIMEOUT, errors.Step.READ_TABLE, '', 'cut off'
        )

    holder._store.caller.call = call


@behave.then('the state of the roll-out is {state}')
def then_state(context, state):
    story = [
        fields
        for event, fields in context.lines
        if 'roll-out' in event or 'version' in event
    ]
    assert context.row['state'] == state, (context.row, story)
    assert context.row['to'] == 'v2'
    # What the operator's command prints.
    (line,) = roll_out_status.lines([store.Row(KEY, context.row, 1)])
    assert state.replace('_', ' ') in line and 'to v2' in line, line


@behave.then('the new version got {share} requests')
def then_share(context, share):
    limit = BOUNDS.exposure_share * len(context.responses)
    limit += BOUNDS.exposure_slack
    if share == 'few':
        assert context.sent <= limit, (context.sent, limit)
    else:
        assert context.sent > limit, (context.sent, limit)


@behave.then('each request was answered')
def then_answered(context):
    failed = [item for item in context.responses if item.status != 200]
    # An answer of a bad version may be the answer of the request.
    allowed = context.sent if context.kind == 'bad' else 0
    assert len(failed) <= allowed, (len(failed), failed[:3])


@behave.when(
    'a node without bounds on roll-outs serves two versions, one ordered'
)
def when_no_bounds(context):
    async def scenario(harness):
        (server,) = harness.plain_servers[1:]
        harness.put_entry(server, version='v2')
        await _order(harness, [], False)
        await asyncio.sleep(1.5)
        for _ in range(40):
            await harness.send_request('/look/x', method='GET')
        return (
            [len(item.requests) for item in harness.plain_servers],
            ('status', KEY) in harness.store.rows,
        )

    context.counts, context.has_state = node_harness.run_scenario(
        scenario,
        bounds=dataclasses.replace(BOUNDS, exposure_share=None),
    )


@behave.then('both versions get requests and no state is written')
def then_no_role(context):
    assert all(context.counts), context.counts
    assert not context.has_state
