"""Steps for the decisions of the request path; no I/O."""

import asyncio
import random

import behave

from hornbeamrudder.core import ids
from hornbeamrudder.gateway import demand
from hornbeamrudder.gateway import events
from hornbeamrudder.gateway.features import lease_simulation
from hornbeamrudder.gateway.features import long_prompt_simulation
from hornbeamrudder.gateway import fleet_plan
from hornbeamrudder.gateway import health
from hornbeamrudder.gateway import host_speed
from hornbeamrudder.gateway import records
from hornbeamrudder.gateway import server_need
from hornbeamrudder.gateway import server_selection
from hornbeamrudder.gateway import usage
from hornbeamrudder.gateway import waiting


def _parse_candidate(text):
    name, _, attributes = text.strip().partition(':')
    fields = {'running': 0}
    for attribute in (part.strip() for part in attributes.split(',')):
        key, _, value = attribute.partition(' ')
        match key:
            case 'backlog':
                fields['backlog_tokens'] = float(value)
            case 'cached':
                fields['cached_tokens'] = int(value)
            case 'running':
                fields['running'] = int(value)
            case 'full':
                fields['running'] = 64
            case 'remote':
                fields['same_data_centre'] = False
            case 'slowness':
                fields['slowness'] = float(value)
            case 'avoided':
                fields['avoided'] = True
    return server_selection.Candidate(ids.WorkerId(name), slots=64, **fields)


@behave.when(
    'a server is selected for a request of {tokens:d} prompt tokens among'
    ' "{servers}"'
)
def select_server(context, tokens, servers):
    candidates = [_parse_candidate(text) for text in servers.split(';')]
    if not tokens:
        candidates = [
            server_selection.Candidate(
                candidate.id,
                6,
                candidate.running,
                same_data_centre=candidate.same_data_centre,
                slowness=candidate.slowness,
            )
            for candidate in candidates
        ]
    requirements = server_selection.Requirements(
        tokens, 92.0, allowed_wait_ms=200.0, slot_share=0.85
    )
    context.chosen = {
        getattr(
            server_selection.choose(
                candidates, requirements, random.Random(seed)
            ),
            'id',
            'none',
        )
        for seed in range(30)
    }


@behave.then('the selected server is "{expected}"')
def check_selection(context, expected):
    assert context.chosen == {expected}, context.chosen


@behave.when('responses of a server state the slowness {samples}')
def observe_slowness(context, samples):
    context.host_speed = host_speed.HostSpeed()
    context.now = 100.0
    for sample in samples.split():
        context.now += 0.1
        context.host_speed = host_speed.updated(
            context.host_speed, float(sample), context.now
        )


@behave.then(
    'its slowness is between {low:g} and {high:g} at once and {later:g} after'
    ' 20 s'
)
def check_slowness(context, low, high, later):
    at_once = host_speed.slowness(context.host_speed, context.now)
    assert low <= at_once <= high, at_once
    afterwards = host_speed.slowness(context.host_speed, context.now + 20.0)
    assert abs(afterwards - later) < 0.05, afterwards


def _make_route(**fields):
    return records.Route(
        records.RouteName('r'),
        'h',
        '/',
        records.RetrySafety.STREAM,
        {ids.ServiceName('s'): 1.0},
        timeout_s=10.0,
        target_s=1.0,
        **fields,
    )


@behave.when('requests of different ranks and ages are queued')
def queue_requests(context):
    async def scenario():
        queue = waiting.WaitQueue()
        order = []
        loop = asyncio.get_running_loop()

        def add(name, rank, arrived_at):
            queue.add(
                waiting.make_queued_request(
                    _make_route(),
                    rank,
                    arrived_at,
                    arrived_at + 10.0,
                    lambda: order.append(name) or name,
                    loop.create_future(),
                )
            )

        add('late urgent', 0, 0.0)
        add('batch', 2, 1.5)
        add('urgent', 0, 1.6)
        add('urgent, older', 0, 1.55)
        queue.dispatch(2.0)
        return order

    context.order = asyncio.run(scenario())


@behave.then('they are dispatched in order of rank, late ones last')
def check_dispatch_order(context):
    assert context.order == [
        'urgent, older',
        'urgent',
        'batch',
        'late urgent',
    ], context.order


@behave.when('a queued request finds no capacity')
def dispatch_without_capacity(context):
    async def scenario():
        queue = waiting.WaitQueue()
        reservation = asyncio.get_running_loop().create_future()
        queue.add(
            waiting.make_queued_request(
                _make_route(), 0, 0.0, 10.0, lambda: None, reservation
            )
        )
        queue.dispatch(4.9)
        refused_before = reservation.done()
        queue.dispatch(5.1)
        return refused_before, reservation.done() and reservation.result()

    context.refused_before, context.reservation = asyncio.run(scenario())


@behave.then('it is refused halfway to its deadline')
def check_refused_in_queue(context):
    assert not context.refused_before
    assert context.reservation is None


_OUTCOME_BY_LETTER = {
    's': health.Outcome.SUCCESS,
    'u': health.Outcome.UNREACHABLE,
    'e': health.Outcome.ERROR,
}


@behave.when('a server has the outcomes "{letters}"')
def record_outcomes(context, letters):
    state = health.Health()
    for number, letter in enumerate(letters):
        state = health.updated(
            state, _OUTCOME_BY_LETTER[letter], number * 0.01
        )
    context.health, context.now = state, len(letters) * 0.01


@behave.then('it is "{state}" right after and "{later}" 10 seconds later')
def check_health(context, state, later):
    for expected, at in ((state, context.now), (later, context.now + 10)):
        avoided = health.is_avoided(context.health, at)
        assert avoided == (expected == 'avoided'), (expected, context.health)


@behave.then(
    'each consecutive failure to reach a server doubles its avoidance time up'
    ' to the maximum'
)
def check_avoidance_times(context):
    state = health.Health()
    avoidance_times = []
    for _ in range(6):
        state = health.updated(state, health.Outcome.UNREACHABLE, 0.0)
        avoidance_times.append(state.avoided_until)
    assert avoidance_times[:3] == [
        health.INITIAL_BACKOFF_S * factor for factor in (1, 2, 4)
    ]
    assert avoidance_times[-1] == health.MAX_BACKOFF_S


@behave.when(
    '{count:d} nodes contend for the lease on {seeds:d} seeds with kills,'
    ' freezes, lost responses and outages'
)
def contend_for_lease(context, count, seeds):
    context.violations = [
        (seed, violation)
        for seed in range(seeds)
        for violation in lease_simulation.LeaseSimulation(seed, count).run()
    ]


@behave.then(
    'fencing numbers never decrease, none has two holders and no holder'
    ' acquires the lease again within a term'
)
def check_single_holder(context):
    assert not context.violations, context.violations[:5]


_DATA_CENTRES = tuple(map(ids.DataCentreName, 'abcd'))


def _scaled_service():
    return records.BackendService(
        ids.ServiceName('s'),
        100,
        records.Engine(64, 600000),
        records.Scaling(
            1, 5, 4.0, 0.18, dict(zip(_DATA_CENTRES, (1.0, 0.8, 1.25, 0.9)))
        ),
    )


def _next_plan(running, fleet, before, now):
    service = _scaled_service()
    return fleet_plan.next_plan(
        service.scaling,
        demand.Demand(float(running)),
        server_need.Capacity(service.engine.slots, 50.0, 1.0),
        fleet,
        before,
        now,
    )


@behave.when(
    'target counts are computed for a service with reclaimable servers'
)
def compute_target_counts(context):
    context.target_counts = fleet_plan.counts_by_pool(
        ids.ServiceName('s'),
        _next_plan(0, fleet_plan.Fleet({}, {}), fleet_plan.Plan(), 0.0),
    )


@behave.then(
    'reclaimable servers precede on-demand servers in each data centre'
)
def check_pool_order(context):
    pools = list(context.target_counts)
    for data_centre in _DATA_CENTRES:
        pools_in_data_centre = [
            pool for pool in pools if pool.data_centre == data_centre
        ]
        assert [pool.reclaimable for pool in pools_in_data_centre] == [
            True,
            False,
        ]
        total = sum(
            context.target_counts[pool] for pool in pools_in_data_centre
        )
        assert 1 <= total <= 5


@behave.when(
    '{running:d} requests are in progress and the data centres are reclaimed'
    ' in turn'
)
def reclaim_in_turn(context, running):
    """Reclaim the data centres in turn, and order servers after each reclaim.

    Represents reclaims 7 s apart, with ordered servers ready after 4 s and no
    reclaimable servers available.
    """
    fleet = fleet_plan.Fleet(dict.fromkeys(_DATA_CENTRES, 5), {})
    plan = _next_plan(running, fleet, fleet_plan.Plan(), 0.0)
    reclaimable = dict(plan.reclaimable)
    context.remaining = []
    for number, data_centre in enumerate(_DATA_CENTRES, start=1):
        reclaimable.pop(data_centre)
        context.remaining.append(
            sum(reclaimable.values()) + sum(plan.on_demand.values())
        )
        fleet = fleet_plan.Fleet(dict(reclaimable), plan.on_demand, True)
        plan = _next_plan(running, fleet, plan, 7.0 * number)
    context.needed = plan.in_shortage
    context.plan = plan


@behave.then('enough servers remain after each reclaim')
def check_remaining(context):
    assert all(
        remaining >= context.needed for remaining in context.remaining
    ), (context.remaining, context.needed)


@behave.then(
    'no on-demand server is kept once reclaimable ones are available again'
)
def check_on_demand_released(context):
    fleet = fleet_plan.Fleet(
        dict.fromkeys(_DATA_CENTRES, 4), context.plan.on_demand
    )
    plan = context.plan
    # Reclaimable servers serve from 40 s on.
    for now in (40.0, 40.0 + fleet_plan.RELEASE_DELAY_S):
        plan = _next_plan(45, fleet, plan, now)
    assert not any(plan.on_demand.values()), plan


@behave.when('nodes write their usage counts, one of them after a restart')
def write_usage_rows(context):
    counter = usage.Counter(5.0)
    for cluster_time in (0.1, 1.0, 4.9, 5.0):
        counter.count(ids.AccountId('north'), cluster_time)
    early_row = counter.changed(0)[0]
    counter.mark_written({0: early_row})
    late_row = counter.changed(1)[0]
    counter.mark_written({0: late_row})
    assert 0 not in counter.changed(1)
    rows = [
        (usage.row_key(0, 'a', 1), late_row),
        (
            usage.row_key(0, 'a', 2),
            {'counts': {'north': 2}, 'complete': True},
        ),
        (
            usage.row_key(0, 'b', 1),
            {'counts': {'north': 1, 'south': 4}, 'complete': True},
        ),
        (usage.row_key(0, 'c', 1), 'malformed'),
        (
            usage.row_key(0, 'd', 1),
            {'counts': {'south': 1}, 'complete': False},
        ),
    ]
    assert (
        usage.sum_rows([(usage.row_key(0, 'a', 1), early_row)]).nodes == set()
    )
    context.totals = usage.sum_rows(rows)


@behave.then(
    'the totals include all requests and a window is due once its rows are'
    ' present'
)
def check_usage_totals(context):
    assert context.totals.requests_by_account == {'north': 6, 'south': 5}
    # Node d has only written a row in the middle of the window.
    assert context.totals.nodes == {'a', 'b'}
    due_flags = [
        usage.is_due(0, 5.0, 10.0, at, complete)
        for at, complete in (
            (5.5, True),
            (7.0, True),
            (7.0, False),
            (12, False),
        )
    ]
    assert due_flags == [False, True, False, True], due_flags


@behave.when(
    'a stream of 5 events arrives in chunks of {chunk_size:d} bytes and breaks'
    ' after {break_at:d} bytes'
)
def split_stream(context, chunk_size, break_at):
    def event(number):
        return b'id: %d\ndata: piece %d\n\n' % (number, number)

    def feed(data):
        return b''.join(
            splitter.feed(data[at : at + chunk_size])
            for at in range(0, len(data), chunk_size)
        )

    expected = b''.join(map(event, range(1, 6)))
    splitter = events.EventSplitter()
    received = feed(expected[:break_at])
    splitter.restart()
    # The second server repeats the last event that the client has received.
    last_id = int(splitter.last_id or 0)
    received += feed(b''.join(map(event, range(max(1, last_id), 6))))
    context.received, context.expected = received, expected


@behave.then('each event is forwarded once after the resumption')
def check_received_events(context):
    assert context.received == context.expected, context.received


@behave.when(
    '{rate:d} requests per second with some long prompts arrive at {engines:d}'
    ' engines'
)
def simulate_long_prompts(context, rate, engines):
    context.with_target, context.without_target = (
        [
            long_prompt_simulation.simulate(engines, rate, 30.0, gap_ms, seed)
            for seed in range(3)
        ]
        for gap_ms in (long_prompt_simulation.TARGET_GAP_MS, 0.0)
    )


@behave.then(
    'at most half as many streams have a long pause as without a target gap'
)
def check_long_pauses(context):
    paused_shares = [
        sum(paused for _, paused in results)
        / sum(count for count, _ in results)
        for results in (context.with_target, context.without_target)
    ]
    assert paused_shares[1] > 0.01, paused_shares
    assert paused_shares[0] <= paused_shares[1] / 2, paused_shares


@behave.when(
    'a hub has counts of the last window and gets some of a window {jump:d}'
    ' later and {back:d} earlier'
)
def gather_after_clock_jump(context, jump, back):
    gatherer = usage.Gatherer()
    row = {'counts': {'north': 3}, 'complete': True}
    present = 1000
    for source, window in (
        (usage.Source('a', 1), present - 1),
        (usage.Source('b', 1), present + jump),
        (usage.Source('c', 1), present - back),
    ):
        gatherer.add(source, {window: row}, present)
    context.rows = gatherer.unsaved(float('inf'))


@behave.then('the hub writes the counts of the last window only')
def check_gathered(context):
    assert [row.window for row in context.rows] == [999], context.rows
    assert list(context.rows[0].value['sources']) == ['a/1'], context.rows
