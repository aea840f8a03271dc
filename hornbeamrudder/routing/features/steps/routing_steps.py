"""Steps for routing."""

import dataclasses
import random

import behave
import hypothesis
from hypothesis import strategies

from hornbeamrudder.core import types
from hornbeamrudder.routing import choose
from hornbeamrudder.routing import prefix
from hornbeamrudder.routing import shares

EXAMPLES = hypothesis.settings(
    max_examples=150, deadline=None, derandomize=True, database=None
)
DEMANDS = strategies.dictionaries(
    strategies.sampled_from([f'n{number}' for number in range(12)]),
    strategies.floats(0, 500),
    min_size=1,
)


@behave.then(
    'for any demand the shares of a worker add up to its slots unless nodes'
    ' outnumber slots'
)
def check_sum(context):
    @EXAMPLES
    @hypothesis.given(DEMANDS, strategies.integers(1, 40))
    def check(demand_by_node, slots):
        share_by_node = shares.worker_shares(
            'w', slots, demand_by_node, 9 * slots
        )
        assert set(share_by_node) == set(demand_by_node)
        assert min(share_by_node.values()) >= 1
        assert sum(share_by_node.values()) == max(slots, len(demand_by_node))

    check()


@behave.then(
    'no node gets less than it requests while another gets more than it'
)
def check_max_min(context):
    @EXAMPLES
    @hypothesis.given(
        strategies.lists(strategies.floats(0, 100), min_size=1, max_size=10),
        strategies.floats(1, 300),
    )
    def check(demands, capacity):
        parts = shares.max_min_fair(capacity, demands)
        assert abs(sum(parts) - capacity) < 1e-6
        for demand, part in zip(demands, parts):
            if part < demand - 1e-6:
                assert part >= max(parts) - 1e-6, (demands, parts)

    check()


@behave.then('shares do not depend on the order in which demands are known')
def check_order(context):
    @EXAMPLES
    @hypothesis.given(DEMANDS, strategies.randoms(use_true_random=False))
    def check(demand_by_node, rng):
        items = list(demand_by_node.items())
        rng.shuffle(items)
        first = shares.worker_shares('w', 16, demand_by_node, 144)
        assert first == shares.worker_shares('w', 16, dict(items), 144)

    check()


@behave.given(
    '{workers:d} workers with {slots:d} slots and {nodes:d} nodes that each'
    ' request {demand:d} slots'
)
def set_demand(context, workers, slots, nodes, demand):
    context.workers = [f'w{number}' for number in range(workers)]
    context.slots = slots
    context.demand_by_node = {
        f'n{number}': float(demand) for number in range(nodes)
    }


@behave.when('node "{name}" fails')
def remove_node(context, name):
    del context.demand_by_node[name]


def slots_by_node(context):
    totals = dict.fromkeys(context.demand_by_node, 0)
    for worker in context.workers:
        share_by_node = shares.worker_shares(
            worker,
            context.slots,
            context.demand_by_node,
            context.slots * len(context.workers),
        )
        for node, share in share_by_node.items():
            totals[node] += share
    return totals


@behave.then(
    'the other nodes have all {total:d} slots and none has fewer than {low:d}'
)
def check_returned(context, total, low):
    totals = slots_by_node(context)
    assert sum(totals.values()) == total
    assert min(totals.values()) >= low, totals


@behave.then('every node has between {low:d} and {high:d} slots')
def check_spread(context, low, high):
    totals = slots_by_node(context)
    assert low <= min(totals.values()), totals
    assert max(totals.values()) <= high, totals


def choose_one(context, now=100.0, excluded=frozenset(), seed=0, key='key'):
    return choose.choose(
        context.loads_by_worker,
        prefix.ring_order(context.ring, key) if key else (),
        {},
        excluded,
        now,
        random.Random(seed),
    )


@behave.given('{count:d} workers without load')
def make_workers(context, count):
    names = [f'w{number}' for number in range(count)]
    context.loads_by_worker = {
        name: choose.WorkerLoad(name, slots=16, share=16) for name in names
    }
    context.ring = prefix.build_ring(names)


@behave.then('{count:d} requests with one prefix go to one worker')
def check_affinity(context, count):
    chosen = {choose_one(context, seed=seed) for seed in range(count)}
    assert len(chosen) == 1, chosen
    context.preferred = chosen.pop()


@behave.then(
    'with {tokens:d} tokens per slot on that worker they go to other workers'
)
def check_overflow(context, tokens):
    load = context.loads_by_worker[context.preferred]
    context.loads_by_worker[context.preferred] = choose.with_report(
        load, tokens * load.slots, 1.0
    )
    chosen = {choose_one(context, seed=seed) for seed in range(20)}
    assert context.preferred not in chosen, chosen


@behave.then(
    'for any loads the chosen worker is within the bound where a free one is'
)
def check_bound(context):
    @EXAMPLES
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, 20_000), strategies.integers(0, 4)
            ),
            min_size=1,
            max_size=9,
        ),
        strategies.booleans(),
        strategies.integers(0, 5),
    )
    def check(loads, has_prefix, seed):
        make_workers(context, len(loads))
        for worker, (tokens, in_flight) in zip(
            list(context.loads_by_worker), loads
        ):
            context.loads_by_worker[worker] = dataclasses.replace(
                context.loads_by_worker[worker],
                share=4,
                reported_tokens=tokens,
                in_flight=in_flight,
            )
        chosen = choose_one(
            context, seed=seed, key='key' if has_prefix else ''
        )
        known = list(context.loads_by_worker.values())
        free = [load for load in known if load.in_flight < load.share]
        if not free:
            assert chosen is None
            return
        load = context.loads_by_worker[chosen]
        assert load in free
        mean = sum(load.tokens_per_slot for load in known) / len(known)
        bound = max(
            choose.MIN_LOAD_BOUND_TOKENS_PER_SLOT, choose.LOAD_FACTOR * mean
        )
        assert load.tokens_per_slot <= bound + 1e-6 or all(
            other.tokens_per_slot > bound for other in free
        )

    check()


@behave.when(
    'workers 0 to 3 are leaving, worker 4 was tried and worker 5 failed'
    ' 1 second ago'
)
def set_states(context):
    for number in range(4):
        context.loads_by_worker[f'w{number}'] = dataclasses.replace(
            context.loads_by_worker[f'w{number}'],
            state=types.HostState.LEAVING,
        )
    context.loads_by_worker['w5'] = choose.with_failure(
        context.loads_by_worker['w5'], 99.0
    )


def chosen_numbers(context, now):
    return {
        choose_one(context, now, frozenset({'w4'}), seed, key)
        for seed in range(30)
        for key in ('', 'a', 'b', 'c', 'd')
    }


@behave.then('only workers 6 to 8 are chosen')
def check_only(context):
    assert chosen_numbers(context, 100.0) <= {'w6', 'w7', 'w8'}
    slots = choose.usable_slots(context.loads_by_worker.values(), 100.0)
    # Worker 4 is excluded for one request only and still counts.
    assert slots == 4 * 16, slots


@behave.then('worker 5 is chosen again after {seconds:d} seconds')
def check_again(context, seconds):
    assert 'w5' in chosen_numbers(context, 99.0 + seconds)


@behave.given('two workers with equal reports')
def make_two(context):
    make_workers(context, 2)
    for name, load in context.loads_by_worker.items():
        context.loads_by_worker[name] = choose.with_report(load, 1600.0, 10.0)


@behave.when('{count:d} requests of {tokens:d} tokens are sent to the first')
def send_work(context, count, tokens):
    for _ in range(count):
        context.loads_by_worker['w0'] = choose.with_request_sent(
            context.loads_by_worker['w0'], tokens, 11.0
        )


@behave.then('the second is chosen until a newer report arrives')
def check_second(context):
    chosen = {choose_one(context, seed=seed, key='') for seed in range(20)}
    assert chosen == {'w1'}, chosen
    load = choose.with_report(context.loads_by_worker['w0'], 0.0, 9.0)
    assert load == context.loads_by_worker['w0'], 'an older report was applied'
    context.loads_by_worker['w0'] = choose.with_report(load, 1600.0, 10.5)
    chosen = {choose_one(context, seed=seed, key='') for seed in range(20)}
    assert chosen == {'w1'}, 'work sent after the report was not counted'
    context.loads_by_worker['w0'] = choose.with_report(load, 0.0, 12.0)
    chosen = {choose_one(context, seed=seed, key='') for seed in range(20)}
    assert chosen == {'w0'}, chosen


@behave.then(
    'late, repeated and lost events never leave a block that the engine'
    ' evicted before the last known event'
)
def check_events(context):
    @EXAMPLES
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 5), strategies.booleans()
            ),
            min_size=10,
        ),
        strategies.lists(
            strategies.lists(strategies.integers(1, 40), max_size=6),
            max_size=20,
        ),
    )
    @hypothesis.example([(1, True), (1, False), (2, True)], [[1], [3]])
    def check(changes, batches):
        held_after = [frozenset()]
        events = []
        for number, (block, stored) in enumerate(changes, 1):
            events.append(prefix.CacheEvent(number, block, stored))
            held_after.append(
                held_after[-1] | {block}
                if stored
                else held_after[-1] - {block}
            )
        view = prefix.CacheView()
        for batch in batches:
            known = [
                events[number - 1] for number in batch if number <= len(events)
            ]
            view = prefix.apply_events(view, known)
            assert set(view.blocks) <= held_after[view.last_sequence]

    check()


@behave.then('removing a worker from the ring moves only the keys it held')
def check_ring(context):
    names = [f'w{number}' for number in range(9)]
    keys = [str(number) for number in range(300)]
    before = {
        key: next(prefix.ring_order(prefix.build_ring(names), key))
        for key in keys
    }
    rest = prefix.build_ring(names[1:])
    for key, owner in before.items():
        if owner != names[0]:
            assert next(prefix.ring_order(rest, key)) == owner
    assert len(set(before.values())) == len(names)


@behave.given(
    'shares of node "{node}" of {workers:d} workers that were computed at'
    ' {at:g} s for a demand of {demand:g}'
)
def compute_own_shares(context, node, workers, at, demand):
    context.node = node
    context.all_workers = tuple(
        types.Worker(f'w{n}', 's', f'h{n}', 'dc', types.Address('::', n), 16)
        for n in range(workers)
    )
    context.own_demand = {node: demand, 'n2': 4.0}
    context.own_shares = shares.own_shares(
        shares.OwnShares(), node, context.all_workers, context.own_demand, at
    )


def own_shares_at(context, now, workers=None, **demand_by_node):
    return shares.own_shares(
        context.own_shares,
        context.node,
        context.all_workers if workers is None else workers,
        context.own_demand | demand_by_node,
        now,
    )


@behave.then(
    'a demand of {demand:g} takes effect at {late:g} s and not at {early:g} s'
)
def check_other_demand(context, demand, late, early):
    demand_by_node = {context.node: demand}
    assert own_shares_at(context, early, **demand_by_node) is (
        context.own_shares
    )
    after = own_shares_at(context, late, **demand_by_node)
    assert after.demand_by_node[context.node] == demand
    assert own_shares_at(context, late) is context.own_shares


@behave.then('another node takes effect at {now:g} s')
def check_other_node(context, now):
    after = own_shares_at(context, now, n3=4.0)
    before = context.own_shares.slots_by_worker
    assert sum(after.slots_by_worker.values()) < sum(before.values())


@behave.then('the loss of a worker takes effect at {now:g} s')
def check_lost_worker(context, now):
    after = own_shares_at(context, now, context.all_workers[1:])
    assert after.slots_by_worker.keys() == {
        worker.id for worker in context.all_workers[1:]
    }


@behave.given('the ring of workers "{names}"')
def build_named_ring(context, names):
    context.ring = prefix.build_ring(names.split(','))


@behave.then('a change that leaves the workers "{names}" keeps the ring')
def check_ring_kept(context, names):
    kept = prefix.updated_ring(context.ring, names.split(','))
    assert kept is context.ring


@behave.then('a change to the workers "{names}" builds the ring of "{same}"')
def check_ring_changed(context, names, same):
    changed = prefix.updated_ring(context.ring, names.split(','))
    assert changed == prefix.build_ring(same.split(','))
