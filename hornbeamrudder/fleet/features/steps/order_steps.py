"""Steps for orders: two lease holders in virtual time."""

import dataclasses
import heapq
import itertools

import behave

from hornbeamrudder.core import types
from hornbeamrudder.fleet import orders

LEASE_ENDS_AT = 10.0
NEW_HOLDER_AT = 11.0
STEP_INTERVAL_S = 0.5
RUN_S = 45.0
OLD = orders.Target('old-model')
NEW = orders.Target('new-model')
PAUSES_S = tuple(0.25 * number for number in range(0, 100))
SKEWS_S = (-0.5, 0.0, 0.5)
HOLDER_STEPS = ('check lease', 'prepare', 'check again', 'send', 'arrive')


class Engine:
    """Applies orders as its settings say and records them."""

    def __init__(self, checks_fencing, checks_expiry, skew_s):
        self.checks_fencing = checks_fencing
        self.checks_expiry = checks_expiry
        self.skew_s = skew_s
        self.target = orders.Target('')
        self.fencing = 0
        self.applied = []

    def receive(self, order, now):
        if self.checks_expiry and now + self.skew_s >= order.expires_at_wall:
            return
        if self.checks_fencing and order.fencing < self.fencing:
            return
        self.fencing = max(self.fencing, order.fencing)
        self.target = order.target
        self.applied.append((now, order.fencing, order.target))


def holder_step(engine, holding, target, ends_at, pauses, options, sent_at):
    """Run one step as a generator of times at which it continues."""
    worker = types.Worker(
        'worker-1',
        'quill-llm',
        'host-1',
        'portmore',
        types.Address('127.0.0.1', 1),
        8,
        checks_fencing=engine.checks_fencing or not options['wait'],
    )
    now = yield 0.0
    clocks = now
    now = yield pauses['check lease']
    # The lease is checked for the time that was read first.
    if clocks >= ends_at:
        return
    now = yield pauses['prepare']
    due = orders.due_orders(
        holding,
        {worker.id: target},
        {worker.id: orders.Observed(engine.target)},
        sent_at,
        [worker],
        clocks,
        clocks,
    )
    now = yield pauses['check again']
    if now >= ends_at or not due:
        return
    sent_at[worker.id] = clocks
    now = yield pauses['send']
    order = due[0]
    if options['expiry at sending']:
        order = dataclasses.replace(
            order, expires_at_wall=now + orders.ORDER_EXPIRY_S
        )
    now = yield pauses['arrive']
    engine.receive(order, now)


def run(engine, paused_step, pause_s, options):
    """Run both holders; the former one is paused in its last step."""
    no_pauses = dict.fromkeys(HOLDER_STEPS, 0.0)
    old = orders.Holding(1, -100.0)
    new = orders.Holding(2, NEW_HOLDER_AT)
    new_sent_at = {}
    starts = [
        (
            9.9,
            holder_step(
                engine,
                old,
                OLD,
                LEASE_ENDS_AT,
                no_pauses | {paused_step: pause_s},
                options,
                {},
            ),
        )
    ]
    starts += [
        (
            NEW_HOLDER_AT + STEP_INTERVAL_S * number,
            holder_step(
                engine, new, NEW, 1e9, no_pauses, options, new_sent_at
            ),
        )
        for number in range(int((RUN_S - NEW_HOLDER_AT) / STEP_INTERVAL_S))
    ]
    numbers = itertools.count()
    waiting = []
    for at, generator in starts:
        next(generator)
        heapq.heappush(waiting, (at, next(numbers), generator))
    while waiting:
        at, _, generator = heapq.heappop(waiting)
        try:
            pause = generator.send(at)
        except StopIteration:
            continue
        heapq.heappush(waiting, (at + pause, next(numbers), generator))
    return engine


def run_all(context, wait=True, expiry_at_sending=False):
    options = {'wait': wait, 'expiry at sending': expiry_at_sending}
    context.engines = [
        run(Engine(*context.checks, skew_s), step, pause_s, options)
        for step in HOLDER_STEPS
        for pause_s in PAUSES_S
        for skew_s in SKEWS_S
    ]


@behave.given('engines that {fencing} fencing and {expiry} the expiry')
def give_engines(context, fencing, expiry):
    context.checks = (fencing == 'check', expiry == 'check')


@behave.when('a former holder wakes after a pause at each of its steps')
def wake(context):
    run_all(context)


@behave.when('the new holder does not wait and a former holder wakes')
def wake_without_wait(context):
    run_all(context, wait=False)


@behave.when(
    'the expiry is set at the time of sending and a former holder wakes'
)
def wake_with_late_expiry(context):
    run_all(context, expiry_at_sending=True)


def stale_orders(context):
    """Yield whether a stale order came after the first new one."""
    for engine in context.engines:
        fencings = [fencing for _, fencing, _ in engine.applied]
        for place, fencing in enumerate(fencings):
            if fencing == 1:
                yield 2 in fencings[:place]


@behave.then("{amount} stale order acts after the new holder's first order")
def check_stale(context, amount):
    assert any(stale_orders(context)) is (amount == 'some')


@behave.then('stale orders do take effect before that first order')
def check_before(context):
    assert any(
        at > NEW_HOLDER_AT and fencing == 1
        for engine in context.engines
        for at, fencing, _ in engine.applied
    )


@behave.then("every engine ends in the new holder's target")
def check_end(context):
    assert {engine.target for engine in context.engines} == {NEW}


@behave.then('no engine keeps a stale target for more than {limit:f} seconds')
def check_correction(context, limit):
    for engine in context.engines:
        pairs = itertools.pairwise(engine.applied)
        for (since, fencing, _), (until, _, _) in pairs:
            first_new = NEW_HOLDER_AT + orders.first_order_wait_s()
            if fencing == 1 and since >= first_new:
                assert until - since <= limit, engine.applied
