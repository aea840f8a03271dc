"""Steps for the decisions of the request path, without a network."""

import asyncio
import random

import behave

from hornbeamrudder.core import ids
from hornbeamrudder.gateway import events
from hornbeamrudder.gateway.features import pause_load
from hornbeamrudder.gateway.features import term_simulation
from hornbeamrudder.gateway import fleet_policy
from hornbeamrudder.gateway import health
from hornbeamrudder.gateway import records
from hornbeamrudder.gateway import server_selection
from hornbeamrudder.gateway import usage
from hornbeamrudder.gateway import waiting


def _candidate(text):
    name, _, words = text.strip().partition(':')
    fields = {'running': 0}
    for word in (item.strip() for item in words.split(',')):
        key, _, value = word.partition(' ')
        match key:
            case 'backlog':
                fields['backlog_tokens'] = float(value)
            case 'cached':
                fields['cached_tokens'] = int(value)
            case 'running':
                fields['running'] = int(value)
            case 'full':
                fields['running'] = 64
            case 'far':
                fields['same_data_centre'] = False
            case 'avoided':
                fields['avoided'] = True
    return server_selection.Candidate(ids.WorkerId(name), slots=64, **fields)


@behave.when(
    'a server is selected for a request of {tokens:d} prompt tokens among'
    ' "{servers}"'
)
def select_server(context, tokens, servers):
    candidates = [_candidate(text) for text in servers.split(';')]
    if not tokens:
        candidates = [
            server_selection.Candidate(
                item.id,
                6,
                item.running,
                same_data_centre=item.same_data_centre,
            )
            for item in candidates
        ]
    need = server_selection.Requirements(
        tokens, 92.0, allowed_wait_ms=200.0, slot_share=0.85
    )
    context.chosen = {
        getattr(
            server_selection.choose(candidates, need, random.Random(seed)),
            'id',
            'none',
        )
        for seed in range(30)
    }


@behave.then('it goes to "{choice}"')
def check_selection(context, choice):
    assert context.chosen == {choice}, context.chosen


def _route(**fields):
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


@behave.when('requests of several ranks and ages are queued')
def queue_requests(context):
    async def scenario():
        queue = waiting.WaitQueue()
        order = []
        loop = asyncio.get_running_loop()

        def add(name, rank, arrived_at):
            queue.add(
                waiting.make_queued_request(
                    _route(),
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


@behave.then('they are dispatched in the order of rank, late ones last')
def check_dispatch_order(context):
    assert context.order == [
        'urgent, older',
        'urgent',
        'batch',
        'late urgent',
    ], context.order


@behave.when('a queued request finds no capacity')
def no_capacity(context):
    async def scenario():
        queue = waiting.WaitQueue()
        placed = asyncio.get_running_loop().create_future()
        queue.add(
            waiting.make_queued_request(
                _route(), 0, 0.0, 10.0, lambda: None, placed
            )
        )
        queue.dispatch(4.9)
        before = placed.done()
        queue.dispatch(5.1)
        return before, placed.done() and placed.result()

    context.before, context.result = asyncio.run(scenario())


@behave.then('it is refused halfway to its deadline')
def check_expiry(context):
    assert not context.before
    assert context.result is None


_OUTCOME_BY_LETTER = {
    's': health.Outcome.SUCCESS,
    'u': health.Outcome.UNREACHABLE,
    'e': health.Outcome.ERROR,
}


@behave.when('a server has the outcomes "{letters}"')
def outcomes(context, letters):
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
    'each failure to reach a server doubles its avoidance time up to the'
    ' maximum'
)
def check_pauses(context):
    state = health.Health()
    pauses = []
    for _ in range(6):
        state = health.updated(state, health.Outcome.UNREACHABLE, 0.0)
        pauses.append(state.avoided_until)
    assert pauses[:3] == [
        health.INITIAL_BACKOFF_S * factor for factor in (1, 2, 4)
    ]
    assert pauses[-1] == health.MAX_BACKOFF_S


@behave.when(
    'the lease is contended by {count:d} nodes on {seeds:d} seeds with kills,'
    ' freezes, lost responses and outages'
)
def contend_for_lease(context, count, seeds):
    context.found = [
        (seed, problem)
        for seed in range(seeds)
        for problem in term_simulation.Simulation(seed, count).run()
    ]


@behave.then(
    'fencing numbers never decrease, none has two holders and no holder'
    ' returns within a term'
)
def check_lease(context):
    assert not context.found, context.found[:5]


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


@behave.when('the servers of a service with reclaimable prices are planned')
def plan_servers(context):
    context.planned = fleet_policy.target_counts(
        _scaled_service(),
        fleet_policy.Demand(),
        fleet_policy.Fleet({}, {}),
    )


@behave.then('reclaimable ones come before on-demand ones in each data centre')
def check_plan(context):
    kinds = list(context.planned)
    for data_centre in _DATA_CENTRES:
        own = [kind for kind in kinds if kind.data_centre == data_centre]
        assert [kind.reclaimable for kind in own] == [True, False]
        total = sum(context.planned[kind] for kind in own)
        assert 1 <= total <= 5


@behave.when(
    '{running:d} requests are in progress and the data centres are reclaimed'
    ' in turn'
)
def reclaim_in_turn(context, running):
    """Reclaim the data centres one after another, and plan after each.

    The reclaims stand for ones 7 s apart, with ordered servers ready after
    4 s. No reclaimable server is available meanwhile.
    """
    service = _scaled_service()
    demand = fleet_policy.update_demand(fleet_policy.Demand(), running, 0.0)
    present = fleet_policy.Fleet(dict.fromkeys(_DATA_CENTRES, 5), {})
    planned = fleet_policy.target_counts(service, demand, present)
    reclaimable = {
        kind.data_centre: count
        for kind, count in planned.items()
        if kind.reclaimable
    }
    on_demand = {}
    context.left = []
    for data_centre in _DATA_CENTRES:
        reclaimable.pop(data_centre)
        context.left.append(
            sum(reclaimable.values()) + sum(on_demand.values())
        )
        planned = fleet_policy.target_counts(
            service,
            demand,
            fleet_policy.Fleet(dict(reclaimable), on_demand, True),
        )
        on_demand = {
            kind.data_centre: count
            for kind, count in planned.items()
            if not kind.reclaimable
        }
    context.needed = fleet_policy.needed_in_shortage(demand)
    context.on_demand = on_demand


@behave.then('enough servers are left each time')
def check_left(context):
    assert all(left >= context.needed for left in context.left), (
        context.left,
        context.needed,
    )


@behave.then(
    'no on-demand server is kept once reclaimable ones are available again'
)
def check_back(context):
    planned = fleet_policy.target_counts(
        _scaled_service(),
        fleet_policy.Demand(45.0, 0.0),
        fleet_policy.Fleet(dict.fromkeys(_DATA_CENTRES, 4), context.on_demand),
    )
    assert not any(
        count for kind, count in planned.items() if not kind.reclaimable
    )


@behave.when('nodes write their counts, one of them after a restart')
def count_usage(context):
    counter = usage.Counter(5.0)
    for second in (0.1, 1.0, 4.9, 5.0):
        counter.count(ids.AccountId('north'), second)
    early = counter.changed(0)[0]
    counter.mark_written({0: early})
    late = counter.changed(1)[0]
    counter.mark_written({0: late})
    assert 0 not in counter.changed(1)
    rows = [
        (usage.row_key(0, 'a', 1), late),
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
    assert usage.sum_rows([(usage.row_key(0, 'a', 1), early)]).nodes == set()
    context.sum = usage.sum_rows(rows)


@behave.then(
    'the sum has all requests and a window is reported once its rows are'
    ' present'
)
def check_usage(context):
    assert context.sum.requests_by_account == {'north': 6, 'south': 5}
    # Node d has only written an incomplete row, in the middle of the window.
    assert context.sum.nodes == {'a', 'b'}
    due = [
        usage.is_due(0, 5.0, 10.0, at, complete)
        for at, complete in (
            (5.5, True),
            (7.0, True),
            (7.0, False),
            (12, False),
        )
    ]
    assert due == [False, True, False, True], due


@behave.when(
    'a stream of 5 events arrives in chunks of {size:d} bytes and breaks after'
    ' {count:d} bytes'
)
def split_events(context, size, count):
    def event(number):
        return b'id: %d\ndata: piece %d\n\n' % (number, number)

    def feed(data):
        return b''.join(
            splitter.feed(data[at : at + size])
            for at in range(0, len(data), size)
        )

    whole = b''.join(map(event, range(1, 6)))
    splitter = events.EventSplitter()
    got = feed(whole[:count])
    splitter.restart()
    # The second server sends the last event that the client has again.
    last = int(splitter.last_id or 0)
    got += feed(b''.join(map(event, range(max(1, last), 6))))
    context.got, context.whole = got, whole


@behave.then('after the resumption each event has arrived once')
def check_events(context):
    assert context.got == context.whole, context.got


@behave.when(
    '{rate:d} requests a second with some long prompts arrive at {engines:d}'
    ' engines'
)
def long_prompts(context, rate, engines):
    context.with_target, context.without_target = (
        [
            pause_load.simulate(engines, rate, 30.0, gap_ms, seed)
            for seed in range(3)
        ]
        for gap_ms in (pause_load.GAP_MS, 0.0)
    )


@behave.then(
    'at most half as many streams have too long a pause as without a pause'
    ' target'
)
def check_long_pauses(context):
    shares = [
        sum(late for _, late in runs) / sum(count for count, _ in runs)
        for runs in (context.with_target, context.without_target)
    ]
    assert shares[1] > 0.01, shares
    assert shares[0] <= shares[1] / 2, shares
