"""Steps for the plan of a fleet by data centre."""

import collections
import math
from unittest import mock

import behave

from hornbeamrudder.core import ids
from hornbeamrudder.core import types
from hornbeamrudder.gateway import demand as demand_
from hornbeamrudder.gateway.features import fleet_plan_run
from hornbeamrudder.gateway import fleet_orders
from hornbeamrudder.gateway import records
from hornbeamrudder.gateway import server_registry
from hornbeamrudder.gateway import shared_sums
from hornbeamrudder.rollouts import choice

SETTLED_S = 20.0
BOOT_S = fleet_plan_run.SCALING.boot_s
# Detection and the order take two steps.
ORDER_S = 2 * fleet_plan_run.STEP_S
DRY_S = 14.0


def _carried(moments, field='needed'):
    return min(moment.serving / getattr(moment, field) for moment in moments)


def _start(context):
    context.fleet.run(SETTLED_S)
    context.start = context.fleet.now
    context.reclaims = []


def _reclaim(context, data_centre):
    context.fleet.reclaim(data_centre, DRY_S)
    context.reclaims.append(context.fleet.now)


@behave.given(
    'a planned fleet of {slots:d} slots a server on hosts of slowness'
    ' {slowness:g}'
)
def create_fleet(context, slots, slowness):
    context.fleet = fleet_plan_run.FleetRun(slots, slowness)


@behave.when(
    'two data centres are reclaimed 6 s apart without replacement for'
    ' {dry:d} s'
)
def reclaim_two(context, dry):
    assert dry == DRY_S
    _start(context)
    _reclaim(context, 'd')
    context.fleet.run(6.0)
    _reclaim(context, 'a')
    context.cost_before = context.fleet.cost
    context.fleet.run(DRY_S + 40.0)


@behave.when(
    'all data centres are reclaimed 7 s apart without replacement for'
    ' {dry:d} s'
)
def reclaim_all(context, dry):
    assert dry == DRY_S
    _start(context)
    for data_centre in 'cadb':
        _reclaim(context, data_centre)
        context.fleet.run(7.0)
    context.fleet.run(DRY_S + 20.0)


@behave.then(
    'the urgent demand is carried again one boot time after each reclaim'
)
def check_carried_again(context):
    ends = [*context.reclaims[1:], math.inf]
    for reclaim, end in zip(context.reclaims, ends):
        moments = context.fleet.since(reclaim + BOOT_S + ORDER_S, end)
        assert _carried(moments) >= 1.0, (reclaim, moments[:3])


@behave.then('at no time is less than {share:g} of the urgent demand carried')
def check_share(context, share):
    carried = _carried(context.fleet.since(context.start))
    assert carried >= share, carried


@behave.then(
    'on-demand servers cost less than carrying the urgent demand on them for'
    ' the shortage'
)
def check_on_demand_seconds(context):
    moments = context.fleet.since(context.start)
    seconds = fleet_plan_run.STEP_S * sum(
        moment.on_demand for moment in moments
    )
    shortage_s = context.fleet.dry_until - context.start
    # Until the reclaimable servers have booted and are known to last.
    limit = moments[0].needed * (shortage_s + 2 * BOOT_S)
    assert seconds <= limit, (seconds, limit)


@behave.then(
    'no on-demand server is left {seconds:g} s after the end of the shortage'
)
def check_released(context, seconds):
    moments = context.fleet.since(context.fleet.dry_until + seconds)
    assert moments and not any(moment.on_demand for moment in moments)


@behave.then(
    'at no time after the shortage is less than the urgent demand carried'
)
def check_no_gap(context):
    moments = context.fleet.since(context.fleet.dry_until)
    assert _carried(moments) >= 1.0


@behave.when('the demand rises to {factor:g} times for {seconds:g} s')
def burst(context, factor, seconds):
    _start(context)
    usual = dict(context.fleet.rate_by_data_centre)
    context.fleet.rate_by_data_centre = {
        data_centre: factor * rate for data_centre, rate in usual.items()
    }
    context.fleet.run(seconds)
    context.fleet.rate_by_data_centre = usual
    context.fleet.run(10.0)


@behave.then('the urgent demand is carried all the time')
def check_urgent(context):
    carried = _carried(context.fleet.since(context.start))
    assert carried >= 1.0, carried


@behave.then('the whole demand is carried all the time')
def check_all_ranks(context):
    moments = context.fleet.since(context.start)
    assert _carried(moments, 'needed_in_calm') >= 1.0


@behave.then('no on-demand server is ordered')
def check_no_on_demand(context):
    assert not any(
        moment.on_demand for moment in context.fleet.since(context.start)
    )


@behave.when('the demand of the data centres goes in waves for {seconds:d} s')
def wave(context, seconds):
    _start(context)
    usual = dict(context.fleet.rate_by_data_centre)
    for step in range(2 * seconds):
        context.fleet.rate_by_data_centre = {
            data_centre: rate
            * (1 + 0.3 * math.sin(2 * math.pi * (step / 80 + number / 7)))
            for number, (data_centre, rate) in enumerate(usual.items())
        }
        context.fleet.run(0.5)


@behave.then('at most {count:d} orders are made')
def check_orders(context, count):
    calls = context.fleet.calls_since(context.start)
    assert len(calls) <= count, len(calls)


@behave.then('fewer servers are kept than the maximum')
def check_idle(context):
    most = fleet_plan_run.SCALING.max_servers * len(
        fleet_plan_run.DATA_CENTRES
    )
    assert context.fleet.moments[-1].serving < most


@behave.when(
    'half the callers of two data centres move to a third for {seconds:d} s'
)
def move_callers(context, seconds):
    # At this demand there is more than the least share to place.
    context.fleet.rate_by_data_centre = dict.fromkeys(
        fleet_plan_run.DATA_CENTRES, 60.0
    )
    _start(context)
    context.fleet.rate_by_data_centre = {
        'a': 30.0,
        'b': 30.0,
        'c': 120.0,
        'd': 60.0,
    }
    context.fleet.run(seconds)


@behave.then('the third has the most reclaimable servers')
def check_third(context):
    counts = context.fleet.reclaimable_counts()
    assert counts['c'] > max(counts['a'], counts['b'], counts['d']), counts


@behave.then('at most {rate:g} orders a second are made in the shortage')
def check_refused_rate(context, rate):
    calls = context.fleet.calls_since(context.start)
    refused = [call for call in calls if not call[-1]]
    shortage_s = context.fleet.dry_until - context.start
    assert refused and len(refused) <= rate * shortage_s, len(refused)


@behave.then(
    'reclaimable servers are ordered within {seconds:g} s after its end'
)
def check_end_is_noticed(context, seconds):
    end = context.fleet.dry_until
    accepted = [
        at
        for at, pool, _, accepted in context.fleet.calls_since(end)
        if accepted and pool.reclaimable
    ]
    assert accepted[0] <= end + seconds, (accepted[0], end)


@behave.when(
    'the holder changes {after:g} s after a reclaim of two data centres'
)
def change_holder(context, after):
    _start(context)
    _reclaim(context, 'd')
    context.fleet.run(6.0)
    _reclaim(context, 'a')
    _reclaim(context, 'b')
    context.fleet.run(after)
    context.changed_at = context.fleet.now
    context.fleet.start_holder()
    context.fleet.run(DRY_S + 30.0)


@behave.then('at most a boot time is lost until the urgent demand is carried')
def check_new_holder(context):
    moments = context.fleet.since(context.changed_at + BOOT_S + ORDER_S)
    assert _carried(moments) >= 1.0


@behave.then('the on-demand servers that serve are kept through the shortage')
def check_kept(context):
    moments = context.fleet.since(
        context.changed_at, context.fleet.dry_until + BOOT_S
    )
    counts = [moment.on_demand for moment in moments]
    assert counts == sorted(counts), counts


@behave.when(
    '{lapsed:d} of {count:d} entries lapse while the store is unstable'
)
def lapse_entries(context, lapsed, count):
    service = _scaled_service()
    registry = server_registry.ServerRegistry(
        ids.DataCentreName('a'), lambda record: None
    )
    for number in range(count):
        registry.put(
            records.BackendServer(
                ids.WorkerId(f'i-{number}'),
                records.StartedMs(1),
                service.name,
                types.Address('10.0.0.1', number),
                fleet_plan_run.DATA_CENTRES[number % 4],
                32,
                records.ServerState.READY,
                reclaimable=True,
            ),
            0.0,
        )
        if number < lapsed:
            registry.by_id[ids.WorkerId(f'i-{number}')].missing_since = 1.0
    state = mock.MagicMock(
        servers=registry,
        sums=shared_sums.SharedSums(ids.NodeId('n'), 1),
        queue_by_service=collections.defaultdict(list),
    )
    state.peers.waiting.return_value = 0
    state.rollouts.lasting.return_value = (choice.Basis(), choice.accept_all)
    state.configuration.urgency_by_service = {}
    fleet_orders.FleetOrders(state).target_counts(service, 2.0)
    planned = state.log.info.call_args.kwargs
    context.serving = sum(planned['serving_reclaimable'].values())


def _scaled_service():
    return records.BackendService(
        fleet_plan_run.SERVICE,
        100,
        records.Engine(32, 600000),
        fleet_plan_run.SCALING,
    )


@behave.then('{count:d} servers count as serving')
def check_serving(context, count):
    assert context.serving == count, context.serving


@behave.when(
    'all nodes start again {after:g} s after a reclaim and count arrivals anew'
)
def start_all_again(context, after):
    _start(context)
    fleet = context.fleet
    usual = dict(fleet.rate_by_data_centre)
    _reclaim(context, 'd')
    fleet.run(after)
    fleet.start_holder()
    for tenths in range(1, 11):
        fleet.rate_by_data_centre = {
            data_centre: tenths / 10 * rate
            for data_centre, rate in usual.items()
        }
        fleet.run(0.4)
    fleet.run(DRY_S)


@behave.then('no reclaimable server that serves is released in the shortage')
def check_none_released(context):
    fleet = context.fleet
    released = [
        release
        for release in fleet.releases
        if release[1].reclaimable
        and context.start <= release[0] < fleet.dry_until
    ]
    assert not released, released


@behave.when(
    'a data centre is reclaimed {after:g} s after an order for a rising demand'
)
def reclaim_after_order(context, after):
    _start(context)
    fleet = context.fleet
    for data_centre in fleet.rate_by_data_centre:
        fleet.rate_by_data_centre[data_centre] *= 2.0
    fleet.run(after)
    assert 'd' in {
        pool.data_centre for _, pool, *_ in fleet.calls_since(context.start)
    }
    _reclaim(context, 'd')
    fleet.run(1.0)


@behave.then(
    'reclaimable servers are ordered there again within {seconds:g} s'
)
def check_ordered_again(context, seconds):
    (reclaim,) = context.reclaims
    assert any(
        pool.reclaimable
        and pool.data_centre == 'd'
        and at <= reclaim + seconds
        for at, pool, *_ in context.fleet.calls_since(reclaim)
    )


@behave.when(
    'nodes of two data centres publish their arrivals for {seconds:d} s'
)
def publish_arrivals(context, seconds):
    service = fleet_plan_run.SERVICE
    nodes = [('a', 10), ('a', 20), ('b', 40)]
    arrivals = [
        demand_.Arrivals(ids.DataCentreName(data_centre))
        for data_centre, _ in nodes
    ]
    sums = [
        shared_sums.SharedSums(ids.NodeId(str(number)), 1)
        for number, _ in enumerate(nodes)
    ]
    for step in range(20 * seconds):
        for (_, rate), own, published in zip(nodes, arrivals, sums):
            if step % (20 // math.gcd(20, rate)) == 0:
                for _ in range(rate // math.gcd(20, rate)):
                    own.record(service, 100.0)
            own.publish(published, step / 20)
    total = shared_sums.add([item.own for item in sums])[demand_.TOPIC]
    context.rates = demand_.rates_by_data_centre(
        total, service, map(ids.DataCentreName, 'abc')
    )


@behave.then('the rates of each data centre are those of its nodes')
def check_rates(context):
    for data_centre, rate in (('a', 30.0), ('b', 40.0), ('c', 0.0)):
        seen = context.rates[data_centre]
        assert abs(seen.requests - rate) <= 0.1 * rate, context.rates
        assert abs(seen.tokens - 100 * rate) <= 10 * rate
        assert abs(seen.token_squares - 1e4 * rate) <= 1e3 * rate


@behave.when('the arrivals of a data centre grow by a tenth a second')
def grow(context):
    demand = demand_.Demand()
    for step in range(100):
        rate = 100.0 * (1 + 0.1 * step / 10)
        demand = _observe_rate(demand, rate, step / 10)
    context.rate, context.demand = rate, demand


def _observe_rate(demand, rate, now):
    return demand_.observe(
        demand, {'a': demand_.Rates(rate)}, 0.0, BOOT_S, now
    )


@behave.then('the demand for the end of the boot time is forecast')
def check_forecast(context):
    forecast = context.demand.peak.requests
    expected = context.rate + 10.0 * BOOT_S
    assert abs(forecast - expected) <= 0.15 * expected, (forecast, expected)


@behave.then('a fall lowers it only slowly')
def check_fall(context):
    demand = context.demand
    for step in range(100, 150):
        demand = _observe_rate(demand, 20.0, step / 10)
    kept = demand.peak.requests / context.demand.peak.requests
    assert 0.7 < kept < 0.85, kept
