"""Steps for the calls of the duties, with a node and platform stand-ins."""

import asyncio
import time

import behave

from hornbeamrudder.gateway.features import node_harness
from hornbeamrudder.gateway import records
from hornbeamrudder.platform import adapter
from hornbeamrudder.standins import platform_cloud

LEASE_S = 3.0
OUTAGE_S = 2.0
OTHER_NODE = 'node-2'
# Time for which the other node holds the term, on the store's clock.
OTHER_TERM_S = 1.2
POLL_S = 0.02
WAIT_S = 8.0
ORDERS = platform_cloud.ORDER_PATH
REPORTS = '/usage'
# Time in which a call that was already being made may still arrive.
STOP_S = 0.3


def _scaled_services(count):
    """Return the services; `count` reclaimable servers are ordered."""
    return [
        {
            'name': node_harness.ENGINE_SERVICE,
            'maxConnections': 360,
            'engine': {'slots': 64, 'kvCapacityTokens': 600000, 'stride': 6},
            'scaling': {
                'min': count,
                'max': count,
                'bootS': 4,
                'spotPrice': 0.2,
                'zonePrices': {'levis-est': 1.0},
            },
        },
        {'name': node_harness.PLAIN_SERVICE, 'maxConnections': 100},
    ]


async def _wait_for(condition):
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, 'nothing happens'
        await asyncio.sleep(POLL_S)


def _run_scenario(context, scenario, count=3, late_s=None):
    duties = frozenset({adapter.USAGE_DUTY, adapter.SCALING_DUTY})

    async def run():
        harness = node_harness.NodeHarness(
            bounds=records.Bounds(
                lease_s=LEASE_S,
                usage_window_s=0.4,
                usage_late_s=2.0,
                revoke_s=60.0,
                retry_slack=50.0,
                require_fence=context.require_fence,
            ),
            services=_scaled_services(count),
        )
        harness.duties = duties
        harness.cloud.requires_fence = context.require_fence
        harness.cloud.late_s = late_s
        async with harness:
            return await asyncio.wait_for(
                scenario(harness), node_harness.SCENARIO_TIMEOUT_S
            )

    return asyncio.run(run())


async def _send_until(harness, condition):
    """Send requests, so that there is usage to report."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, 'nothing happens'
        await harness.send_request('/look/x')
        await asyncio.sleep(POLL_S)


@behave.given('a node that holds the duties, with fencing {fencing}')
def set_fencing(context, fencing):
    context.require_fence = fencing == 'required'


@behave.when(
    'another node has made {calls} with a higher number and the store is'
    ' "{condition}"'
)
def overtake(context, calls, condition):
    path = {'orders': ORDERS, 'reports': REPORTS}[calls]

    async def scenario(harness):
        cloud, store = harness.cloud, harness.store
        await _wait_for(lambda: cloud.calls)
        context.number = cloud.calls[-1].fencing_token
        context.other_number = context.number + 5

        def let_other_hold():
            cloud.on_refusal = lambda: None
            store.put(
                'duty',
                'term',
                {
                    'holder': OTHER_NODE,
                    'started': 1,
                    'number': context.other_number,
                    'until_ms': (time.monotonic() + OTHER_TERM_S) * 1e3,
                },
            )
            store.faults.unresponsive = condition == 'unresponsive'

        cloud.on_refusal = let_other_hold
        seen = len(cloud.calls)
        cloud.raise_number(path, context.other_number)
        if path == ORDERS:
            # Another count is needed, so that the node orders.
            harness.put_configuration(services=_scaled_services(4))
        else:
            await _send_until(harness, lambda: cloud.refused)
        await _wait_for(lambda: cloud.refused)
        refused_at = cloud.refused[0].received_at
        await _send_until(
            harness, lambda: time.monotonic() > refused_at + OUTAGE_S
        )
        store.faults.unresponsive = False
        await _send_until(
            harness,
            lambda: any(
                call.fencing_token > context.other_number
                for call in cloud.calls
            ),
        )
        return refused_at, (*cloud.calls[seen:], *cloud.refused)

    context.refused_at, context.calls = _run_scenario(context, scenario)


@behave.then(
    'the node makes no call with its number later than {limit:g} s after the'
    ' first refusal'
)
def check_stopped(context, limit):
    late = [
        (call.path, round(call.received_at - context.refused_at, 2))
        for call in context.calls
        if call.fencing_token <= context.number
        and call.received_at > context.refused_at + limit
    ]
    assert not late, late


@behave.then('it acts again only with a number above that of the other node')
def check_resumed_number(context):
    again = [
        call.fencing_token
        for call in context.calls
        if call.received_at > context.refused_at + STOP_S
    ]
    assert again and min(again) > context.other_number, again


@behave.when('no reclaimable server is available for {seconds:g} s')
def refuse_reclaimable(context, seconds):
    async def scenario(harness):
        await _wait_for(lambda: harness.cloud.calls)
        harness.cloud.has_reclaimable = False
        harness.put_configuration(services=_scaled_services(4))
        await _wait_for(lambda: harness.cloud.refused)
        await asyncio.sleep(seconds)
        harness.cloud.has_reclaimable = True
        seen = len(harness.cloud.calls)

        def orders():
            return [
                call
                for call in harness.cloud.calls[seen:]
                if call.wants_reclaimable
            ]

        await _wait_for(orders)
        return harness.cloud.refused[0], orders()[0]

    context.refused, context.accepted = _run_scenario(context, scenario)


@behave.then('the node orders them again with the same number')
def check_ordered_again(context):
    # The count may differ, as servers of the other kind are kept meanwhile.
    for field in ('service', 'zone', 'spot'):
        assert context.accepted.body[field] == context.refused.body[field]
    assert context.accepted.fencing_token == context.refused.fencing_token


@behave.when(
    'an order of {first:d} servers gets no response and is carried out after'
    ' {late:g} s, and {second:d} are needed after {after:g} s'
)
def carry_out_late(context, first, late, second, after):
    async def scenario(harness):
        cloud = harness.cloud
        await _wait_for(lambda: cloud.arrived)
        await asyncio.sleep(after)
        harness.put_configuration(services=_scaled_services(second))
        await asyncio.sleep(late - after + STOP_S)
        return cloud.calls, cloud.arrived

    carried_out, arrived = _run_scenario(context, scenario, first, late)
    context.calls, context.arrived = (
        [call for call in calls if call.wants_reclaimable]
        for calls in (carried_out, arrived)
    )


@behave.then('the last order that is carried out is for {count:d} servers')
def check_last_order(context, count):
    assert context.calls[-1].body['desired'] == count, context.calls


@behave.then('the numbers of the orders {change}')
def check_numbers(context, change):
    numbers = [call.fencing_token for call in context.arrived]
    assert len(numbers) > 1 and numbers == sorted(numbers), numbers
    assert (numbers[-1] > numbers[0]) == (change == 'increase'), numbers
