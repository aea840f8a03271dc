"""Steps for the orders of a fleet during a roll-out."""

from unittest import mock

import behave

from hornbeamrudder.gateway import clock
from hornbeamrudder.gateway import duties
from hornbeamrudder.gateway.features import fleet_plan_run
from hornbeamrudder.gateway.features import roll_out_fleet_run
from hornbeamrudder.gateway import fleet_plan
from hornbeamrudder.rollouts import state

SETTLED_S = 20.0
RATE_PER_S = 400.0
DRY_S = 14.0
STEP_S = 3.0
BOOT_S = fleet_plan_run.SCALING.boot_s
ORDER_S = 2 * fleet_plan_run.STEP_S
PHASES = (state.Phase.WAITING, state.Phase.TRIAL, state.Phase.TRANSFER)


@behave.given('a fleet whose service is rolled out')
def given_fleet(context):
    context.fleet = roll_out_fleet_run.RollOutFleetRun(RATE_PER_S)


@behave.when(
    '{count:d} servers in ten get a new version beside them, which is {result}'
    ' while {trouble}'
)
def when_rolled_out(context, count, result, trouble):
    fleet = context.fleet
    fleet.run(SETTLED_S)
    context.start = fleet.now
    context.reclaimed_at = None
    if trouble == 'two data centres were reclaimed before':
        _reclaim(context)
        _run(context, 2 * STEP_S)
    fleet.give_order()
    _run(context, STEP_S)
    fleet.start_beside(count / 10)
    for phase in PHASES:
        fleet.make_step(phase)
        _run(context, STEP_S)
        if phase is state.Phase.TRIAL:
            _start_trouble(context, trouble)
            _run(context, 2 * STEP_S)
    fleet.rate_by_data_centre = dict(context.rates)
    _run(context, STEP_S)
    fleet.make_step(state.Phase(result))
    context.over_at = fleet.now
    _run(context, SETTLED_S)


def _start_trouble(context, trouble):
    fleet = context.fleet
    match trouble:
        case 'the demand falls for a while':
            fleet.rate_by_data_centre = dict.fromkeys(
                fleet.rate_by_data_centre, 1.0
            )
        case 'two data centres are reclaimed':
            _reclaim(context)
        case 'the holder changes':
            fleet.start_holder()


def _reclaim(context):
    context.reclaimed_at = context.fleet.now
    for data_centre in fleet_plan_run.DATA_CENTRES[2:]:
        context.fleet.reclaim(data_centre, DRY_S)


def _run(context, seconds):
    """Let time pass and note how many servers carry the usual demand."""
    fleet = context.fleet
    if not hasattr(context, 'rates'):
        context.rates = dict(fleet.rate_by_data_centre)
        context.needed = fleet.moments[-1].needed
        context.carrying = []
    for _ in range(round(seconds / fleet_plan_run.STEP_S)):
        fleet.run(fleet_plan_run.STEP_S)
        context.carrying.append((fleet.now, len(fleet.carrying())))


@behave.then('no order releases a server before the roll-out is over')
def then_none_released(context):
    released = [
        (at, pool, count)
        for at, pool, count in context.fleet.releases
        if context.start <= at < context.over_at
    ]
    assert not released, released


@behave.then(
    'the urgent demand is carried by the servers of the version that serves'
)
def then_carried(context):
    low = [
        (at, count)
        for at, count in context.carrying
        if count < context.needed and not _is_booting(context.reclaimed_at, at)
    ]
    assert not low, (context.needed, low[:3])


def _is_booting(reclaimed_at, at):
    """Whether those that replace reclaimed servers may still boot."""
    return (
        reclaimed_at is not None and 0 <= at - reclaimed_at <= BOOT_S + ORDER_S
    )


@behave.then('on-demand servers are ordered {reason}')
def then_on_demand(context, reason):
    count = sum(
        count
        for _, pool, count, _ in context.fleet.calls_since(context.start)
        if not pool.reclaimable
    )
    assert bool(count) is (reason == 'for the reclaim'), count


@behave.when('a roll-out that is over leaves {left:d} of {count:d} servers')
def when_few_are_left(context, left, count):
    pool = fleet_plan.ServerPool(
        fleet_plan_run.SERVICE, fleet_plan_run.DATA_CENTRES[0], True
    )
    node_state = mock.MagicMock()
    node_state.configuration.services_by_name = {
        pool.service: roll_out_fleet_run.SERVICE
    }
    holder = duties.Duties(node_state, None, None, None)
    holder._ordered[pool] = fleet_plan.Order(count, clock.now() - 1.0, count)
    holder._fleet = mock.MagicMock()
    holder._fleet.target_counts.return_value = {pool: count}
    holder._fleet.must_pause.return_value = False
    holder._fleet.serving.return_value = left
    holder._order = mock.MagicMock()
    holder._start_action = mock.MagicMock()
    holder._order_servers()
    context.orders = [call.args for call in holder._order.call_args_list]


@behave.then('{count:d} are ordered again at once')
def then_ordered_again(context, count):
    assert [item for _, item in context.orders] == [count], context.orders
