"""Steps for the decisions of the request path, without a network."""

import asyncio
import collections
import random
from unittest import mock

import behave
import msgpack

from hornbeamrudder.core import ids
from hornbeamrudder.core import types
from hornbeamrudder.gateway import clock
from hornbeamrudder.gateway import events
from hornbeamrudder.gateway.features import pause_load
from hornbeamrudder.gateway.features import term_simulation
from hornbeamrudder.gateway import fleet_policy
from hornbeamrudder.gateway import health
from hornbeamrudder.gateway import hubs
from hornbeamrudder.gateway import messages
from hornbeamrudder.gateway import peers
from hornbeamrudder.gateway import placing
from hornbeamrudder.gateway import quota
from hornbeamrudder.gateway import records
from hornbeamrudder.gateway import repeats
from hornbeamrudder.gateway import server_book
from hornbeamrudder.gateway import table_relay
from hornbeamrudder.gateway import usage
from hornbeamrudder.gateway import waiting
from hornbeamrudder.gateway import watch
from hornbeamrudder.platform import store

RATE = 40000.0
SLACK = 140000.0
OVERAGE = 0.1
WINDOW_S = 8.0
STEP_S = 0.01


class QuotaNode:
    """One node that admits requests of one account."""

    def __init__(self, number, started):
        self.id = ids.NodeId(f'n{number}')
        self.started = started
        self.heard = {}
        self.bucket = None
        self.seen = quota.SeenTotals()

    def limit(self, now, nodes, heard_s):
        """The limit as this node may use it."""
        heard = sum(now - at < heard_s for at in self.heard.values())
        return quota.Limit(
            RATE,
            RATE + quota.extra_burst(SLACK),
            (1 + heard) / nodes,
            quota.extra_burst(SLACK),
            WINDOW_S,
        )

    def ensure(self, now, nodes, heard_s):
        """Start the bucket."""
        if self.bucket is None:
            self.bucket = quota.first(self.limit(now, nodes, heard_s), now)


def _linked(trouble, one, other, now):
    if not 3 <= now < 9:
        return True
    if trouble == 'cut in two':
        return (one < 3) == (other < 3)
    return trouble != 'each cut off'


@behave.when(
    'an account sends {times:g} times its limit through {count:d} nodes with'
    ' "{trouble}"'
)
def flood_account(context, times, count, trouble):
    rng = random.Random(7)
    nodes = [QuotaNode(number, 1) for number in range(count)]
    report_s = peers.interval_s(count)
    if count > hubs.FEW_NODES:
        # A report takes two steps, to a hub and in its digest.
        report_s *= 2
    heard_s = peers.FRESH_REPORTS * report_s
    admitted, refused = [], 0
    demand = 0.0
    now = -2.0
    while now < 16:
        now += STEP_S
        for number, node in enumerate(nodes):
            restarts = trouble == 'restarts' and rng.random() < STEP_S / 4
            if trouble == 'all start again' and abs(now - 5) < STEP_S / 2:
                restarts = True
            if restarts:
                nodes[number] = node = QuotaNode(number, node.started + 1)
            node.ensure(now, count, heard_s)
            if rng.random() < STEP_S / report_s:
                for other, peer in enumerate(nodes):
                    if other == number or rng.random() < 0.02:
                        continue
                    if not _linked(trouble, number, other, now):
                        continue
                    peer.ensure(now, count, heard_s)
                    peer.heard[node.id] = now
                    limit = peer.limit(now, count, heard_s)
                    news = peer.seen.news(
                        node.id, node.started, {'a': node.bucket.spent}
                    )
                    if 'a' in news:
                        peer.bucket = quota.reported(
                            quota.filled(peer.bucket, limit, now),
                            limit,
                            news['a'],
                            quota.known_left(node.bucket, limit),
                        )
        if now < 0:
            continue
        demand += times * RATE * STEP_S
        while demand > 0:
            units = rng.uniform(200, 6000)
            demand -= units
            busy = trouble == 'one busy node' and rng.random() < 0.9
            node = nodes[0 if busy else rng.randrange(count)]
            node.bucket, wait_s = quota.take(
                node.bucket, node.limit(now, count, heard_s), units, now
            )
            if wait_s is None:
                admitted.append((now, units))
            else:
                refused += 1
    context.admitted, context.refused = admitted, refused


@behave.then('no window of 8 seconds holds more than the users tolerate')
def check_windows(context):
    most = (RATE * WINDOW_S + RATE) * (1 + OVERAGE) + SLACK
    window = collections.deque()
    total = worst = 0.0
    for at, units in context.admitted:
        window.append((at, units))
        total += units
        while window[0][0] < at - WINDOW_S:
            total -= window.popleft()[1]
        worst = max(worst, total)
    assert worst <= most, (worst, most)
    assert worst > 0.3 * RATE * WINDOW_S, worst


@behave.then('none of its requests is refused')
def check_none_refused(context):
    assert not context.refused, (context.refused, len(context.admitted))


@behave.then('at most {most:d} in 100 of its requests are refused')
def check_few_refused(context, most):
    asked = context.refused + len(context.admitted)
    assert context.refused * 100 <= most * asked, (context.refused, asked)


@behave.when(
    '{share:g} of all requests fail once on 7 nodes at {rate:d} requests a'
    ' second'
)
def fail_requests(context, share, rate):
    rng = random.Random(3)
    service = ids.ServiceName('s')
    nodes = [repeats.RepeatBudget(0.2, 10.0, 54.0) for _ in range(7)]
    context.first, context.repeated = [], []
    for number in range(rate * 30):
        now = number / rate
        node = rng.choice(nodes)
        node.count_first(service, now)
        context.first.append(now)
        if rng.random() < share and node.may_repeat(service, 7, now):
            node.count_repeat(service, now)
            context.repeated.append(now)


@behave.then(
    'in no window of 10 seconds more repeats are sent than the budget allows'
)
def check_repeats(context):
    for end in range(1, 31):
        window = [at for at in context.repeated if end - 10 <= at < end]
        first = [at for at in context.first if end - 10 <= at < end]
        assert len(window) <= 0.2 * len(first) + 54, end
    assert context.repeated


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
    return placing.Candidate(ids.WorkerId(name), slots=64, **fields)


@behave.when(
    'a request of {tokens:d} prompt tokens is placed among "{servers}"'
)
def place(context, tokens, servers):
    candidates = [_candidate(text) for text in servers.split(';')]
    if not tokens:
        candidates = [
            placing.Candidate(
                item.id,
                6,
                item.running,
                same_data_centre=item.same_data_centre,
            )
            for item in candidates
        ]
    need = placing.Need(tokens, 92.0, allowed_wait_ms=200.0, slot_share=0.85)
    context.chosen = {
        getattr(
            placing.choose(candidates, need, random.Random(seed)),
            'id',
            'nobody',
        )
        for seed in range(30)
    }


@behave.then('it goes to "{choice}"')
def check_place(context, choice):
    assert context.chosen == {choice}, context.chosen


def _route(**fields):
    return records.Route(
        records.RouteName('r'),
        'h',
        '/',
        records.Repetition.STREAM,
        {ids.ServiceName('s'): 1.0},
        timeout_s=10.0,
        target_s=1.0,
        **fields,
    )


@behave.when('requests of several ranks and ages wait for places')
def wait_in_line(context):
    async def scenario():
        line = waiting.Line()
        order = []
        loop = asyncio.get_running_loop()

        def add(name, rank, arrived_at):
            line.add(
                waiting.make_ticket(
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
        line.serve(2.0)
        return order

    context.order = asyncio.run(scenario())


@behave.then('they are placed in the order of rank, those that are late last')
def check_line(context):
    assert context.order == [
        'urgent, older',
        'urgent',
        'batch',
        'late urgent',
    ], context.order


@behave.when('a request finds no place')
def no_place(context):
    async def scenario():
        line = waiting.Line()
        placed = asyncio.get_running_loop().create_future()
        line.add(
            waiting.make_ticket(_route(), 0, 0.0, 10.0, lambda: None, placed)
        )
        line.serve(4.9)
        before = placed.done()
        line.serve(5.1)
        return before, placed.done() and placed.result()

    context.before, context.result = asyncio.run(scenario())


@behave.then('it is refused at half of its time')
def check_no_place(context):
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
    'each failure to reach a server doubles the pause up to its bound'
)
def check_pauses(context):
    state = health.Health()
    pauses = []
    for _ in range(6):
        state = health.updated(state, health.Outcome.UNREACHABLE, 0.0)
        pauses.append(state.avoided_until)
    assert pauses[:3] == [
        health.FIRST_PAUSE_S * factor for factor in (1, 2, 4)
    ]
    assert pauses[-1] == health.MAX_PAUSE_S


@behave.when(
    'the term is fought over by {count:d} nodes on {seeds:d} seeds with kills,'
    ' freezes, lost answers and outages'
)
def fight(context, count, seeds):
    context.found = [
        (seed, problem)
        for seed in range(seeds)
        for problem in term_simulation.Simulation(seed, count).run()
    ]


@behave.then(
    'numbers never fall, no number has two holders and no holder returns'
    ' within a term'
)
def check_fight(context):
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
    context.planned = fleet_policy.wanted(
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
    '{running:d} requests are in progress and data centre after data centre is'
    ' reclaimed'
)
def reclaim_in_turn(context, running):
    """Play reclaims 7 s apart; orders are ready after 4 s.

    No reclaimable server is to be had meanwhile.
    """
    service = _scaled_service()
    demand = fleet_policy.observed(fleet_policy.Demand(), running, 0.0)
    present = fleet_policy.Fleet(dict.fromkeys(_DATA_CENTRES, 5), {})
    planned = fleet_policy.wanted(service, demand, present)
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
        planned = fleet_policy.wanted(
            service,
            demand,
            fleet_policy.Fleet(dict(reclaimable), on_demand, True),
        )
        on_demand = {
            kind.data_centre: count
            for kind, count in planned.items()
            if not kind.reclaimable
        }
    context.needed = fleet_policy.needed_when_short(demand)
    context.on_demand = on_demand


@behave.then('enough servers are left each time')
def check_left(context):
    assert all(left >= context.needed for left in context.left), (
        context.left,
        context.needed,
    )


@behave.then('no on-demand server stays once reclaimable ones are back')
def check_back(context):
    planned = fleet_policy.wanted(
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
    counter.written({0: early})
    late = counter.changed(1)[0]
    counter.written({0: late})
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
    assert usage.add_up([(usage.row_key(0, 'a', 1), early)]).nodes == set()
    context.sum = usage.add_up(rows)


@behave.then(
    'the sum has all requests and a window is reported when its rows are there'
)
def check_usage(context):
    assert context.sum.requests_by_account == {'north': 6, 'south': 5}
    # Node d has only written in the middle of the window.
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
    'a stream of 5 events comes in pieces of {size:d} bytes and breaks after'
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
    # The second server repeats the last event that the client has.
    last = int(splitter.last_id or 0)
    got += feed(b''.join(map(event, range(max(1, last), 6))))
    context.got, context.whole = got, whole


@behave.then('after the resumption all events came once')
def check_events(context):
    assert context.got == context.whole, context.got


class _Log:
    def info(self, *_, **__):
        """Drop a line."""


class _Row:
    def __init__(self, key, version, removed=False):
        self.key, self.version, self.removed = key, version, removed
        self.value = {}


@behave.when('entries lapse while the store fails this node')
def lapse(context):
    book = server_book.ServerBook(ids.DataCentreName('a'), lambda record: None)

    def decode(key, _):
        return records.BackendServer(
            ids.WorkerId(key),
            records.StartedMs(1),
            ids.ServiceName('s'),
            types.Address('127.0.0.1', 1),
            ids.DataCentreName('a'),
            6,
            records.ServerState.READY,
        )

    watched = watch.ServerWatch(book, decode, lambda: True, _Log())
    watched.take_rows((_Row('left', 1), _Row('stays', 2)), True)
    service = records.BackendService(ids.ServiceName('s'), 100)

    def used():
        found = set()
        for seed in range(20):
            placement = book.reserve(
                service,
                messages.CallerFacts(None),
                placing.Need(slot_share=100.0),
                (),
                random.Random(seed),
                0.0,
            )
            found.add(placement.record.entry.id)
            book.release(placement)
        return found

    context.before = used()
    watched.take_rows((_Row('left', 3, True),), False)
    context.one_left = used()
    watched.take_rows((_Row('stays', 4, True),), False)
    context.none_left = used()
    for record in book.by_id.values():
        record.missing_since -= 10
    watched.drop_missing(float('-inf'), False)
    context.after = set(book.by_id)


@behave.then(
    'servers with an entry are used first and the others until their time is'
    ' over'
)
def check_lapse(context):
    assert context.before == {'left', 'stays'}, context.before
    assert context.one_left == {'stays'}, ('one left', context.one_left)
    assert context.none_left == {'left', 'stays'}, context.none_left
    assert context.after == set(), ('after', context.after)


class _NoSource:
    """A store that notes whether it is read."""

    def __init__(self, rows=()):
        self.reads = 0
        self._rows = rows

    async def read_all(self, table):
        """Read a table."""
        self.reads += 1
        return store.Rows(self._rows, 15, 0.0, 5.0, 5.0)

    async def changes(self, table, after, wait_s):
        """Wait for changes."""
        self.reads += 1
        return store.Rows((), after, 0.0, 5.0, 5.0)


_HUBS = [ids.NodeId(f'n{number}') for number in range(3)]


def _relayed_node(name, tables, sent):
    return table_relay.TableRelay(
        ids.NodeId(name),
        tables,
        lambda node, data: sent.append((node, data)),
        lambda: _HUBS,
        lambda: True,
        lambda: [ids.NodeId(f'n{number}') for number in range(12)],
    )


def _table(source, confirmed):
    return watch.TableWatch(
        source,
        't',
        0.0,
        _Log(),
        lambda rows, snapshot: None,
        confirmed.append,
    )


@behave.given(
    'a node that does not follow the store and has a table up to version'
    ' {version:d}'
)
def relayed_table(context, version):
    context.follower_name = _HUBS[0]
    name = 'n7'
    context.confirmed, context.sent = [], []
    context.source = _NoSource()
    context.watched = _table(context.source, context.confirmed)
    context.relay = _relayed_node(name, {'t': context.watched}, context.sent)
    context.watched.version = version
    context.watched.content_version = version
    context.now = 5.2
    assert not context.relay.follows_store()


def _follower(context, version, age_s):
    """A follower whose table was confirmed `age_s` before now."""
    table = _table(_NoSource(), [])
    sent = []
    relay = _relayed_node(context.follower_name, {'t': table}, sent)
    table.version = table.content_version = version
    return table, relay, sent, age_s


def _exchange(context, asked_at, version, answered_at):
    table, relay, sent, age_s = _follower(context, version, 0.2)
    table.confirmed_at = answered_at - age_s
    with mock.patch.object(clock, 'now', lambda: answered_at):
        states = relay.states()
    with mock.patch.object(clock, 'now', lambda: context.now):
        context.relay.take_states(asked_at, states)


@behave.when(
    'a follower answers a question of {asked:g} with version {version:d}'
)
def answer_question(context, asked, version):
    _exchange(context, asked, version, asked + 0.1)


@behave.when('an answer to a question of {asked:g} is read at {read:g}')
def late_answer(context, asked, read):
    context.now = read
    _exchange(context, asked, 9, asked + 0.1)


@behave.when('changes from {before:d} to {after:d} come')
def relay_changes(context, before, after):
    table, relay, sent, _ = _follower(context, before, 0.0)
    relay._changed(table, before, after, [_Row('left', after, True)])
    data = next(data for node, data in sent if node == context.relay.node)
    # A table that was confirmed just before goes on being so.
    context.watched.confirmed_at = context.now
    context.watched._answered_at = context.now
    context.relay.take(msgpack.unpackb(data))


@behave.when('nobody answers')
def no_answer(context):
    context.watched.confirmed_at = context.now - 2.0


@behave.when('a follower has read the whole table at version {version:d}')
def whole_table(context, version):
    table, relay, sent, _ = _follower(context, 10, 0.0)
    table.version = None
    asyncio.run(table._step())
    assert table.version == version
    table.confirmed_at = 5.0
    with mock.patch.object(clock, 'now', lambda: 5.0):
        context.relay.take_states(5.0, relay.states())


@behave.then('the node {reads} the store and its table is confirmed for {at}')
def check_relayed(context, reads, at):
    with mock.patch.object(clock, 'now', lambda: context.now):
        relayed = context.watched._is_relayed()
    assert relayed == (reads == 'does not read'), context.watched.__dict__
    expected = [] if at == 'never' else [float(at)]
    assert [round(item, 3) for item in context.confirmed] == expected, (
        context.confirmed
    )


@behave.when(
    '{rate:d} requests a second with some long prompts come to {engines:d}'
    ' engines'
)
def long_prompts(context, rate, engines):
    context.with_rule, context.without = (
        [
            pause_load.play(engines, rate, 30.0, gap_ms, seed)
            for seed in range(3)
        ]
        for gap_ms in (pause_load.GAP_MS, 0.0)
    )


@behave.then(
    'at most half as many streams have too long a pause as without regard to'
    ' pauses'
)
def check_long_pauses(context):
    shares = [
        sum(late for _, late in runs) / sum(count for count, _ in runs)
        for runs in (context.with_rule, context.without)
    ]
    assert shares[1] > 0.01, shares
    assert shares[0] <= shares[1] / 2, shares


class _Answers(_NoSource):
    """A store whose feed gives the answers that it was told."""

    def __init__(self, answers):
        super().__init__()
        self._answers = answers

    async def changes(self, table, after, wait_s):
        """Wait for changes."""
        return self._answers.pop(0)


@behave.when(
    'a follower hears nothing up to version {quiet:d} and then a change at'
    ' {version:d}'
)
def other_tables(context, quiet, version):
    table, relay, sent, _ = _follower(context, 10, 0.0)
    table._source = _Answers(
        [
            store.Rows((), quiet, 0.0, 5.0, 5.0),
            store.Rows((_Row('left', version, True),), version, 0.0, 5.1, 5.1),
        ]
    )
    for _ in range(2):
        asyncio.run(table._step())
    data = next(data for node, data in sent if node == context.relay.node)
    context.watched.confirmed_at = context.now
    context.watched._answered_at = context.now
    assert context.relay.take(msgpack.unpackb(data))
    assert context.watched.version == version
