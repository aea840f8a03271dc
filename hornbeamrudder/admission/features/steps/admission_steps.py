"""Steps for admission control."""

from concurrent import futures
import itertools
import threading
import time

import behave
import hypothesis
from hypothesis import strategies
from returns import result

from hornbeamrudder.admission import controller
from hornbeamrudder.admission import deadline
from hornbeamrudder.admission import estimates
from hornbeamrudder.admission import queue as queues
from hornbeamrudder.admission import state as states
from hornbeamrudder.core import errors
from hornbeamrudder.core import types

SERVICE = 'modele-atelier'
EXAMPLES = hypothesis.settings(
    max_examples=150, deadline=None, derandomize=True, database=None
)
RANKS = strategies.sampled_from(list(types.Rank))
ACCOUNTS = strategies.sampled_from(['a', 'b', 'c', 'd'])
TOKENS = strategies.floats(1, 500)
WEIGHT_BY_ACCOUNT = {'a': 1.0, 'b': 2.0, 'c': 0.5, 'd': 1.0}


def make_entry(key, rank, account, tokens, latest_start=1e9, weight=1.0):
    return queues.Entry(
        key, rank, account, tokens, latest_start, latest_start, weight
    )


@behave.then('any mix of arrivals, releases and capacities is work conserving')
def check_work_conserving(context):
    action = strategies.one_of(
        strategies.tuples(
            strategies.just('submit'), RANKS, ACCOUNTS, TOKENS,
            strategies.floats(0, 30),
        ),
        strategies.tuples(strategies.just('release'), TOKENS),
        strategies.tuples(
            strategies.just('capacity'), strategies.integers(0, 4)
        ),
    )  # fmt: skip

    @EXAMPLES
    @hypothesis.given(strategies.lists(action, max_size=60))
    def check(actions):
        state = states.ServiceState(queues.new_queue(length_limit=8), 2)
        held, ended, submitted = [], set(), set()
        for now, step in enumerate(actions):
            match step:
                case ('submit', rank, account, tokens, max_wait_s):
                    submitted.add(now)
                    entry = make_entry(
                        now, rank, account, tokens, now + max_wait_s
                    )
                    state, refused = states.submit(state, entry, now)
                    ended |= {refused.entry.key} if refused else set()
                case ('release', used) if held:
                    entry = held.pop(0)
                    ended.add(entry.key)
                    state = states.release(state, entry, used, 1.0, True)
                case ('capacity', slots):
                    state = states.dataclasses.replace(state, capacity=slots)
            state, granted, refused = states.grant(state, now)
            held += granted
            ended |= {item.entry.key for item in refused}
            assert state.in_use == len(held)
            assert state.queue.length == 0 or state.in_use >= state.capacity
            assert state.queue.length == sum(
                len(flow.entries)
                for rank in state.queue.ranks
                for flow in rank.flows_by_account.values()
            )
            waiting = len(submitted - ended) - len(held)
            assert state.queue.length == waiting, 'an entry was lost'

    check()


@behave.then(
    'every rank that always waits receives its floor within a few requests'
)
def check_floors(context):
    @EXAMPLES
    @hypothesis.given(
        strategies.lists(TOKENS, min_size=3, max_size=30),
        strategies.tuples(
            strategies.floats(0.01, 0.3), strategies.floats(0.01, 0.3)
        ),
        strategies.lists(strategies.booleans(), min_size=1, max_size=5),
    )
    def check(sizes, floors, waits):
        queue = queues.new_queue((0.0, *floors))
        sizes, waits = itertools.cycle(sizes), itertools.cycle(waits)
        served = dict.fromkeys(types.Rank, 0.0)
        largest = total = 0.0
        for key in range(300):
            for rank in types.Rank:
                # Standard and batch work always waits, urgent work at times.
                present = rank is not types.Rank.URGENT or next(waits)
                if present and queue.ranks[rank].length < 2:
                    entry = make_entry(key, rank, 'a', next(sizes))
                    queue, _ = queues.enqueue(queue, entry)
                    largest = max(largest, entry.expected_tokens)
            queue, entry = queues.pop(queue)
            total += entry.expected_tokens
            served[entry.rank] += entry.expected_tokens
            for rank in (types.Rank.STANDARD, types.Rank.BATCH):
                floor_tokens = queue.ranks[rank].floor * total
                assert served[rank] >= floor_tokens - 3 * largest, (
                    rank,
                    served,
                )

    check()


@behave.given(
    '{count:d} batch requests of {tokens:d} tokens were served while nothing'
    ' else waited'
)
def serve_batch(context, count, tokens):
    context.queue = queues.new_queue()
    context.tokens = tokens
    for key in range(count):
        entry = make_entry(key, types.Rank.BATCH, 'plans', tokens)
        context.queue, _ = queues.enqueue(context.queue, entry)
        context.queue, _ = queues.pop(context.queue)


@behave.when('urgent requests always wait')
def start_urgent_load(context):
    context.next_entry = {
        rank: make_entry(1000 + rank, rank, 'x', context.tokens)
        for rank in (types.Rank.URGENT, types.Rank.BATCH)
    }


@behave.then(
    'batch has {percent:d}% of the next {total:d} tokens within two requests'
)
def check_batch_floor(context, percent, total):
    served = dict.fromkeys(types.Rank, 0)
    for _ in range(total // context.tokens):
        for rank, entry in context.next_entry.items():
            if context.queue.ranks[rank].length < 2:
                context.queue, _ = queues.enqueue(context.queue, entry)
        context.queue, entry = queues.pop(context.queue)
        served[entry.rank] += entry.expected_tokens
    floor_tokens = total * percent / 100
    assert (
        abs(served[types.Rank.BATCH] - floor_tokens) <= 2 * context.tokens
    ), served


@behave.then(
    'service by weight of any two waiting accounts differs by at most one'
    ' request of each'
)
def check_fairness(context):
    @EXAMPLES
    @hypothesis.given(
        strategies.lists(TOKENS, min_size=4, max_size=40),
        strategies.integers(5, 80),
    )
    def check(sizes, rounds):
        queue = queues.new_queue()
        sizes = itertools.cycle(sizes)
        served = dict.fromkeys(WEIGHT_BY_ACCOUNT, 0.0)
        largest = dict.fromkeys(WEIGHT_BY_ACCOUNT, 0.0)
        for key in range(rounds):
            for account, weight in WEIGHT_BY_ACCOUNT.items():
                flow = queue.ranks[0].flows_by_account.get(account)
                if flow is None or len(flow.entries) < 2:
                    entry = make_entry(
                        key, types.Rank.URGENT, account, next(sizes),
                        weight=weight,
                    )  # fmt: skip
                    queue, _ = queues.enqueue(queue, entry)
            queue, entry = queues.pop(queue)
            account, tokens = entry.account, entry.expected_tokens
            served[account] += tokens
            largest[account] = max(largest[account], tokens)
        for first, second in itertools.combinations(served, 2):
            parts = [
                served[name] / WEIGHT_BY_ACCOUNT[name]
                for name in (first, second)
            ]
            bound = sum(
                max(largest[name], 500) / WEIGHT_BY_ACCOUNT[name]
                for name in (first, second)
            )
            assert abs(parts[0] - parts[1]) <= bound, (served, first, second)

    check()


@behave.given(
    'a queue of at most {limit:d} entries filled by account "{account}"'
)
def fill_queue(context, limit, account):
    context.queue = queues.new_queue(length_limit=limit)
    for key in range(limit):
        entry = make_entry(key, types.Rank.STANDARD, account, 100)
        context.queue, dropped = queues.enqueue(context.queue, entry)
        assert dropped is None


@behave.when('account "{account}" sends one request of {tokens:d} tokens')
def send_one(context, account, tokens):
    entry = make_entry(999, types.Rank.STANDARD, account, tokens)
    context.queue, context.dropped = queues.enqueue(context.queue, entry)


@behave.then(
    'a request of "{large}" is dropped and "{small}" is served within'
    ' {count:d} requests'
)
def check_drop(context, large, small, count):
    assert context.dropped.account == large, context.dropped
    served = []
    for _ in range(count):
        context.queue, entry = queues.pop(context.queue)
        served.append(entry.account)
    assert small in served, served


@behave.given(
    'a service with {slots:d} slots at {rate:d} tokens per second and'
    ' {count:d} waiting requests of {tokens:d} tokens'
)
def make_backlog(context, slots, rate, count, tokens):
    context.state = states.dataclasses.replace(
        states.new_service(),
        capacity=slots,
        in_use_by_account_rank={('a', types.Rank.STANDARD): slots},
        tokens_average=float(rate),
    )
    for key in range(count):
        entry = make_entry(key, types.Rank.STANDARD, 'a', tokens)
        context.state, refused = states.submit(context.state, entry, 0.0)
        assert refused is None


@behave.when(
    'a request of {tokens:d} tokens with a deadline in {deadline:d} seconds'
    ' is submitted'
)
def submit_late(context, tokens, deadline):
    entry = make_entry(999, types.Rank.STANDARD, 'a', tokens, deadline)
    context.entry = entry
    _, context.refused = states.submit(context.state, entry, 0.0)


@behave.then(
    'it is refused as not run with a retry time between {low:d} and {high:d}'
    ' seconds'
)
def check_refusal(context, low, high):
    failure = context.refused.failure
    assert context.refused.entry is context.entry
    assert failure.outcome is types.Outcome.NOT_RUN
    assert low <= failure.retry_after_s <= high, failure


@behave.then(
    'the same request with a deadline in {deadline:d} seconds is queued'
)
def check_queued(context, deadline):
    entry = make_entry(999, types.Rank.STANDARD, 'a', 100, deadline)
    state, refused = states.submit(context.state, entry, 0.0)
    assert refused is None
    assert state.queue.length == context.state.queue.length + 1


@behave.then(
    '{count:d} answers of {used:d} tokens move the estimate for a limit of'
    ' {limit:d} below {bound:d}'
)
def check_estimate(context, count, used, limit, bound):
    caller = ('a', types.Rank.STANDARD)
    token_estimates = estimates.observe(
        estimates.TokenEstimates(), *caller, 400
    )
    for _ in range(count):
        token_estimates = estimates.observe(token_estimates, *caller, used)
    assert estimates.expected_tokens(token_estimates, *caller, limit) < bound
    assert estimates.expected_tokens(token_estimates, *caller, 10) == 10


@behave.given('a controller with one slot')
def make_controller(context):
    make_controller_with(context, 1)


@behave.given('a controller with {slots:d} slots')
def make_controller_with(context, slots):
    context.controller = controller.Controller()
    context.add_cleanup(context.controller.close)
    context.controller.set_capacity(SERVICE, slots)


def submit(context, max_wait_s, tokens=0.01):
    return context.controller.submit(
        types.Rank.URGENT, 'a', SERVICE, tokens, time.monotonic() + max_wait_s
    )


@behave.when(
    'two requests are submitted and the second may wait {wait_ms:d}'
    ' milliseconds'
)
def submit_two(context, wait_ms):
    context.first = submit(context, 60)
    context.second = submit(context, wait_ms / 1000)


@behave.then(
    'the first has the slot and the second fails with a deadline error'
)
def check_deadline_error(context):
    context.slot = context.first.result(5).unwrap()
    failure = context.second.result(5).failure()
    assert failure.kind is errors.FailureKind.DEADLINE, failure
    assert failure.outcome is types.Outcome.NOT_RUN


@behave.then('releasing its slot twice frees one slot only')
def release_twice(context):
    context.controller.set_capacity(SERVICE, 2)
    other = submit(context, 60).result(5).unwrap()
    for _ in range(2):
        context.controller.release(context.slot, 5.0)
    snapshot = context.controller.snapshot(SERVICE)
    assert snapshot.in_use == 1, snapshot
    assert snapshot.served_by_rank[types.Rank.URGENT] == 2, snapshot
    context.controller.release(other, 5.0)
    context.controller.set_capacity(SERVICE, 1)
    assert snapshot.rejected_by_rank[types.Rank.URGENT] == 1, snapshot


@behave.then('closing the controller refuses a waiting request')
def close_with_waiting(context):
    submit(context, 60)
    waiting = submit(context, 60)
    context.controller.close()
    failure = waiting.result(5).failure()
    assert failure.kind is errors.FailureKind.UNAVAILABLE, failure
    late = submit(context, 60).result(5).failure()
    assert late.kind is errors.FailureKind.UNAVAILABLE, late


@behave.when('{threads:d} threads submit and release {count:d} requests each')
def use_concurrently(context, threads, count):
    lock = threading.Lock()
    context.held = context.max_held = 0

    def use():
        for _ in range(count):
            slot = submit(context, 60).result(20).unwrap()
            with lock:
                context.held += 1
                context.max_held = max(context.max_held, context.held)
            with lock:
                context.held -= 1
            context.controller.release(slot, 1.0)

    with futures.ThreadPoolExecutor(threads) as pool:
        for task in [pool.submit(use) for _ in range(threads)]:
            task.result(60)


@behave.then(
    'at most {slots:d} slots were held at once and none is in use at the end'
)
def check_held(context, slots):
    assert 1 <= context.max_held <= slots, context.max_held
    assert context.controller.snapshot(SERVICE).demand == 0


@behave.when('a request is withdrawn before and after its grant')
def withdraw(context):
    granted, waiting = submit(context, 60), submit(context, 60)
    context.controller.withdraw(waiting)
    context.controller.withdraw(granted)
    assert isinstance(waiting.result(5), result.Success)


@behave.then('no slot is in use')
def check_none_in_use(context):
    assert context.controller.snapshot(SERVICE).demand == 0


@behave.given(
    'a waiting request with a latest start at {latest:d} seconds and an'
    ' admission latest start at {admission:d} seconds'
)
def queue_with_margin(context, latest, admission):
    entry = queues.Entry(1, types.Rank.URGENT, 'a', 90, latest, admission)
    context.queue, _ = queues.enqueue(queues.new_queue(), entry)


@behave.then(
    'it expires after {overload:d} seconds while its rank refuses requests,'
    ' else after {latest:d} seconds'
)
def check_expiry(context, overload, latest):
    for overloaded, limit in ((frozenset({0}), overload), ((), latest)):
        for now in (limit - 0.1, limit + 0.1):
            _, expired = queues.expire(context.queue, now, overloaded)
            assert bool(expired) == (now > limit), (overloaded, now)


@behave.then(
    'the wait of one more is {usual:d} seconds, and {overload:d} seconds while'
    ' urgent work is refused'
)
def check_wait(context, usual, overload):
    queue = queues.new_queue((0.0, 0.1, 0.05))
    for entry in context.state.queue.ranks[1].flows_by_account['a'].entries:
        queue, _ = queues.enqueue(queue, entry)
    entry = make_entry(999, types.Rank.STANDARD, 'a', 100)
    for overloaded, wait_s in ((frozenset(), usual), ({0}, overload)):
        found = deadline.estimated_wait_s(queue, entry, 20.0, overloaded)
        assert abs(found - wait_s) < 1e-6, (overloaded, found)


@behave.given(
    '{slots:d} slots of which {quiet:d} are free at quiet workers and account'
    ' "{name}" uses {used:d} and waits for {waiting:d}'
)
def make_contention(context, slots, quiet, name, used, waiting):
    state = states.dataclasses.replace(
        states.new_service(),
        capacity=slots,
        quiet_free=quiet,
        in_use_by_account_rank={(name, types.Rank.STANDARD): used},
    )
    context.uncontended = state
    context.state = add(state, types.Rank.STANDARD, name, waiting)


def add(state, rank, account, count):
    queue = state.queue
    for key in range(count):
        entry = make_entry(key, rank, account, 100)
        queue, _ = queues.enqueue(queue, entry)
    return states.dataclasses.replace(state, queue=queue)


def granted_accounts(state):
    _, granted, _ = states.grant(state, 0.0)
    return [entry.account for entry in granted]


@behave.then('"{large}" gets no slot and a request of "{small}" gets one')
def check_quiet(context, large, small):
    assert granted_accounts(context.state) == []
    state = add(context.state, types.Rank.STANDARD, small, 1)
    assert granted_accounts(state) == [small]


@behave.then('urgent work of "{large}" gets one')
def check_quiet_urgent(context, large):
    state = add(context.state, types.Rank.URGENT, large, 1)
    assert granted_accounts(state) == [large]


@behave.then('without other demand than {slots:d} slots "{large}" gets both')
def check_quiet_open(context, slots, large):
    state = add(context.uncontended, types.Rank.STANDARD, large, 2)
    assert state.demand == slots
    assert granted_accounts(state) == [large, large]
