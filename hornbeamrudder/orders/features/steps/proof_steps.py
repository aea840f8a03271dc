"""Steps that explore plans of faults and check the histories."""

import contextlib
import dataclasses
import os
import random
from unittest import mock

import behave
from returns.primitives import exceptions
from returns import result

from hornbeamrudder.core import errors
from hornbeamrudder.core import types
from hornbeamrudder.orders import committer
from hornbeamrudder.orders.features import checker
from hornbeamrudder.orders.features import simulation
from hornbeamrudder.orders import messages
from hornbeamrudder.orders import record
from hornbeamrudder.orders import recovery
from hornbeamrudder.orders import state

LONG_FACTOR = 12
SEED_FACTOR = (
    LONG_FACTOR if os.environ.get('HORNBEAMRUDDER_PROOFS') == 'long' else 1
)
KINDS = sorted(simulation.FAULTS)
LAST_STEP = 40


def run_plan(seed, plan, queued):
    """Run one plan; returns the number of steps and the faults found."""
    run = simulation.Simulation(seed, plan, queued)
    history = run.run()
    return run, [*checker.faults(history), *run.unfinished()]


def random_plan(seed, count):
    """Plan of `count` faults at random steps."""
    rng = random.Random(seed)
    plan = {}
    for _ in range(count):
        step = rng.randint(1, LAST_STEP)
        plan.setdefault(step, []).append(rng.choice(KINDS))
    return plan


@behave.when('orders run on {seeds:d} seeds with each fault at every step')
def explore_single_faults(context, seeds):
    context.found = []
    for seed in range(seeds * SEED_FACTOR):
        queued = seed % 2 == 1
        run, found = run_plan(seed, {}, queued)
        plans = [
            {step: [kind]}
            for kind in KINDS
            for step in range(1, run.steps + 1)
        ]
        context.found += [(seed, {}, fault) for fault in found]
        context.found += [
            (seed, plan, fault)
            for plan in plans
            for fault in run_plan(seed, plan, queued)[1]
        ]


@behave.when('orders run on {seeds:d} seeds with {count:d} faults each')
def explore_fault_groups(context, seeds, count):
    context.found = [
        (seed, plan, fault)
        for seed in range(seeds * SEED_FACTOR)
        for plan in (random_plan(seed, count),)
        for fault in run_plan(seed, plan, seed % 2 == 1)[1]
    ]


@behave.then('no promise is broken')
def check_nothing_found(context):
    assert not context.found, context.found[:5]


@behave.when('the mechanism "{name}" is off')
def switch_off(context, name):
    with contextlib.ExitStack() as stack:
        for patch in MECHANISMS[name]():
            stack.enter_context(patch)
        explore_for(context, 1500)


def explore_for(context, seeds):
    """Run plans of four faults until a promise is broken."""
    context.found = []
    for seed in range(seeds):
        try:
            _, found = run_plan(seed, random_plan(seed, 4), seed % 2 == 1)
        except exceptions.UnwrapFailedError as error:
            found = [f'illegal transition: {error!r}']
        context.found += found
        if any(context.expected in fault for fault in context.found):
            return


@behave.given('the proof looks for "{text}"')
def set_expected(context, text):
    context.expected = text


@behave.then('the proof finds it')
def check_found(context):
    assert any(context.expected in fault for fault in context.found), sorted(
        set(context.found)
    )[:5]


def _resend(original):
    """Send again after an answer that leaves the outcome open."""

    def on_sent(execution, answer, now, wall):
        if isinstance(answer, result.Failure) and not state.proves_not_sent(
            answer.failure()
        ):
            send = messages.Send(execution.draft.request, now + 1)
            return execution, (send,)
        return original(execution, answer, now, wall)

    return on_sent


def _take_over_dispatching(original):
    """Let recovery run a record that its holder may have sent."""

    def decide(row, holder, fencing, is_gone, wall):
        value = row.value
        if value['state'] == 'dispatching' and (
            is_gone(value['node'], 1) and wall < value['deadline']
        ):
            found = record.from_row(value).unwrap()
            return recovery.TakeOver(
                row,
                dataclasses.replace(
                    found, state=record.OrderState.ACCEPTED, holder=holder
                ),
            )
        return original(row, holder, fencing, is_gone, wall)

    return decide


def _reject_dispatching(original):
    """Let recovery state 'not run' about a record of another node."""

    def decide(row, holder, fencing, is_gone, wall):
        action = original(row, holder, fencing, is_gone, wall)
        if isinstance(action, recovery.Change) and (
            row.value['state'] == 'dispatching'
        ):
            value = dict(action.put.value, state='not_run')
            return dataclasses.replace(
                action, put=dataclasses.replace(action.put, value=value)
            )
        return action

    return decide


def _trust_read_back(original):
    """Take an unchanged row for the proof that a write had no effect."""

    def on_read(commits, items, answer, now):
        commits, settled = original(commits, items, answer, now)
        numbers = {item.number for item in items}
        unchanged = [
            item
            for item in commits.pending
            if item.number in numbers and not item.read_back
        ]
        rest = tuple(i for i in commits.pending if i not in unchanged)
        failure = errors.Failure(
            errors.FailureKind.TIMEOUT,
            errors.Step.WRITE_TABLE,
            '',
            '',
            types.Outcome.NOT_RUN,
        )
        return dataclasses.replace(commits, pending=rest), (
            *settled,
            *(
                committer.Settled(item.number, result.Failure(failure))
                for item in unchanged
            ),
        )

    return on_read


def _early_not_run(original):
    """Tell the caller 'not run' before its record is confirmed."""

    def reject(execution, now, wall, detail):
        execution, effects = original(execution, now, wall, detail)
        execution, early = state._reply(execution, execution.outcome)
        return execution, early + effects

    return reject


def _wrap(module, name, wrapper):
    return mock.patch.object(module, name, wrapper(getattr(module, name)))


def _constant(module, name, value):
    return mock.patch.object(module, name, lambda *arguments: value)


MECHANISMS = {
    'send window': lambda: [_constant(state, 'may_send', True)],
    'doubt after a timeout': lambda: [
        _constant(committer, 'proves_not_written', True)
    ],
    'second write after read back': lambda: [
        _wrap(committer, 'on_read', _trust_read_back)
    ],
    'comparison of the whole row': lambda: [
        mock.patch.object(
            committer,
            '_is_own',
            lambda item, row: (
                row.value is not None and row.value['attempt'] == item.attempt
            ),
        )
    ],
    'compare-and-set': lambda: [
        mock.patch.object(
            committer,
            '_commit',
            lambda item, put_result: committer.Committed(put_result.row),
        )
    ],
    'no second send': lambda: [_wrap(state, '_on_sent', _resend)],
    'dispatching is left alone': lambda: [
        _wrap(recovery, 'decide', _take_over_dispatching)
    ],
    'only the holder says not run': lambda: [
        _wrap(recovery, 'decide', _reject_dispatching)
    ],
    'confirmed not run': lambda: [_wrap(state, '_reject', _early_not_run)],
    'digest of the request': lambda: [_constant(state, 'same_request', True)],
    'proof that nothing was sent': lambda: [
        _constant(state, 'proves_not_sent', True)
    ],
    'recovery': lambda: [_constant(recovery, 'decide', None)],
}


def row(time, version, row_state, attempt='a', key='k'):
    """Version of a record as the table applied it."""
    value = {
        'state': row_state,
        'attempt': attempt,
        'digest': 'd',
        'changed': time,
    }
    return checker.RowVersion(time, key, version, value)


def history_named(name):
    """History with one fault, or the good one."""
    rows = [row(1.0, 1, 'dispatching'), row(2.0, 2, 'done')]
    write = checker.Operation('committed', 'k', rows[0].value, 1, 0.9, 1.1)
    run = checker.Run('k', 'a', 1.2, b'x')
    told = checker.Completion(0, b'x', 'done', True)
    call = checker.Invocation(0, 'k', 'a', 'd')
    replace = dataclasses.replace
    not_run = replace(told, answer=None, outcome='not_run')
    good = checker.History([call], [told], rows, [run], [write])
    changes = {
        'good': {},
        'double run': {'runs': [run, replace(run, attempt='b')]},
        'not run but ran': {'completions': [not_run]},
        'not run but recorded': {
            'completions': [replace(not_run, recorded=False)]
        },
        'answers differ': {
            'completions': [told, replace(told, answer=b'y')],
            'runs': [run],
        },
        'other request': {'invocations': [replace(call, digest='e')]},
        'illegal transition': {
            'versions': [*rows, row(3.0, 3, 'dispatching')]
        },
        'not run by another': {
            'versions': [rows[0], row(2.0, 2, 'not_run', 'b')]
        },
        'deleted early': {
            'versions': [*rows, replace(rows[1], version=3, value=None)]
        },
        'lost version': {'versions': [rows[0], replace(rows[1], version=3)]},
        'write outside its time': {
            'operations': [replace(write, started=1.05)]
        },
        'failed write applied': {
            'operations': [write, replace(write, kind='failed')]
        },
        'stale read': {
            'operations': [
                write,
                checker.Operation('read', 'k', None, 1, 5.0, 6.0),
            ]
        },
        'late send': {'runs': [replace(run, checked_at=3.2)]},
        'unconfirmed send': {'operations': []},
    }
    return replace(good, **changes[name])


@behave.given('the history "{name}"')
def make_history(context, name):
    context.found = checker.faults(history_named(name))


@behave.then('the checker reports "{text}"')
def check_report(context, text):
    assert any(text in fault for fault in context.found), context.found
