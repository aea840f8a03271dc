"""Steps for orders: two lease holders in simulated time."""

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
OLD_TARGET = orders.Target('old-model')
NEW_TARGET = orders.Target('new-model')
PAUSES_S = tuple(0.25 * number for number in range(0, 100))
SKEWS_S = (-0.5, 0.0, 0.5)
HOLDER_STEPS = ('check lease', 'prepare', 'check again', 'send', 'arrive')


class Engine:
    """Fake engine that applies orders and records them."""

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


def holder_step(engine, term, target, ends_at, pauses, options, sent_at):
    """Run one control step as a generator of pauses."""
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
    read_at = now
    now = yield pauses['check lease']
    # The lease is checked for the clock reading from before the pause.
    if read_at >= ends_at:
        return
    now = yield pauses['prepare']
    due_orders = orders.due_orders(
        term,
        {worker.id: target},
        {worker.id: orders.ObservedState(engine.target)},
        sent_at,
        [worker],
        read_at,
        read_at,
    )
    now = yield pauses['check again']
    if now >= ends_at or not due_orders:
        return
    sent_at[worker.id] = read_at
    now = yield pauses['send']
    order = due_orders[0]
    if options['expiry at sending']:
        order = dataclasses.replace(
            order, expires_at_wall=now + orders.ORDER_LIFETIME_S
        )
    now = yield pauses['arrive']
    engine.receive(order, now)


def run(engine, paused_step, pause_s, options):
    """Run both holders; the previous one is paused in its last step."""
    no_pauses = dict.fromkeys(HOLDER_STEPS, 0.0)
    previous_term = orders.LeaseTerm(1, -100.0)
    new_term = orders.LeaseTerm(2, NEW_HOLDER_AT)
    new_sent_at = {}
    starts = [
        (
            9.9,
            holder_step(
                engine,
                previous_term,
                OLD_TARGET,
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
                engine,
                new_term,
                NEW_TARGET,
                1e9,
                no_pauses,
                options,
                new_sent_at,
            ),
        )
        for number in range(int((RUN_S - NEW_HOLDER_AT) / STEP_INTERVAL_S))
    ]
    sequence = itertools.count()
    waiting = []
    for at, generator in starts:
        next(generator)
        heapq.heappush(waiting, (at, next(sequence), generator))
    while waiting:
        at, _, generator = heapq.heappop(waiting)
        try:
            pause = generator.send(at)
        except StopIteration:
            continue
        heapq.heappush(waiting, (at + pause, next(sequence), generator))
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
def make_engines(context, fencing, expiry):
    context.checks = (fencing == 'check', expiry == 'check')


@behave.when('the previous holder resumes after a pause at each of its steps')
def resume_previous_holder(context):
    run_all(context)


@behave.when('the new holder does not wait and the previous holder resumes')
def resume_without_new_holder_wait(context):
    run_all(context, wait=False)


@behave.when('the expiry is set when sending and the previous holder resumes')
def resume_with_late_expiry(context):
    run_all(context, expiry_at_sending=True)


def stale_orders(context):
    """Yield for each stale order whether it came after a new order."""
    for engine in context.engines:
        fencings = [fencing for _, fencing, _ in engine.applied]
        for index, fencing in enumerate(fencings):
            if fencing == 1:
                yield 2 in fencings[:index]


@behave.then(
    "{amount} stale order takes effect after the new holder's first order"
)
def check_stale(context, amount):
    assert any(stale_orders(context)) is (amount == 'some')


@behave.then('stale orders take effect before that first order')
def check_before(context):
    assert any(
        at > NEW_HOLDER_AT and fencing == 1
        for engine in context.engines
        for at, fencing, _ in engine.applied
    )


@behave.then("every engine ends with the new holder's target")
def check_end(context):
    assert {engine.target for engine in context.engines} == {NEW_TARGET}


@behave.then('no engine keeps a stale target for more than {limit:f} seconds')
def check_correction(context, limit):
    for engine in context.engines:
        consecutive = itertools.pairwise(engine.applied)
        for (since, fencing, _), (until, _, _) in consecutive:
            first_new = NEW_HOLDER_AT + orders.first_order_wait_s()
            if fencing == 1 and since >= first_new:
                assert until - since <= limit, engine.applied
