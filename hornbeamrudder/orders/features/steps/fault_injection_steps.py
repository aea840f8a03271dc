"""Steps that inject faults and check the resulting histories."""

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
FAULT_KINDS = sorted(simulation.FAULTS)
MAX_FAULT_STEP = 40


def run_plan(seed, plan, queued):
    """Run a plan; return the simulation and the violations found."""
    run = simulation.Simulation(seed, plan, queued)
    history = run.run()
    return run, [*checker.violations(history), *run.unfinished_violations()]


def random_plan(seed, count):
    """Return a plan with `count` faults at random steps."""
    rng = random.Random(seed)
    plan = {}
    for _ in range(count):
        step = rng.randint(1, MAX_FAULT_STEP)
        plan.setdefault(step, []).append(rng.choice(FAULT_KINDS))
    return plan


@behave.when('orders run on {seeds:d} seeds with each fault at every step')
def explore_single_faults(context, seeds):
    context.violations = []
    for seed in range(seeds * SEED_FACTOR):
        queued = seed % 2 == 1
        run, found = run_plan(seed, {}, queued)
        plans = [
            {step: [kind]}
            for kind in FAULT_KINDS
            for step in range(1, run.step_count + 1)
        ]
        context.violations += [(seed, {}, violation) for violation in found]
        context.violations += [
            (seed, plan, violation)
            for plan in plans
            for violation in run_plan(seed, plan, queued)[1]
        ]


@behave.when('orders run on {seeds:d} seeds with {count:d} faults each')
def explore_random_faults(context, seeds, count):
    context.violations = [
        (seed, plan, violation)
        for seed in range(seeds * SEED_FACTOR)
        for plan in (random_plan(seed, count),)
        for violation in run_plan(seed, plan, seed % 2 == 1)[1]
    ]


@behave.then('no guarantee is violated')
def check_no_violation(context):
    assert not context.violations, context.violations[:5]


@behave.when('the mechanism "{name}" is disabled')
def disable_mechanism(context, name):
    with contextlib.ExitStack() as stack:
        for patch in MECHANISMS[name]():
            stack.enter_context(patch)
        explore_until_found(context, 1500)


def explore_until_found(context, seeds):
    """Run plans of four faults until the expected violation is found."""
    context.violations = []
    for seed in range(seeds):
        try:
            _, found = run_plan(seed, random_plan(seed, 4), seed % 2 == 1)
        except exceptions.UnwrapFailedError as error:
            found = [f'illegal transition: {error!r}']
        context.violations += found
        if any(context.expected in item for item in context.violations):
            return


@behave.given('the expected violation "{text}"')
def set_expected(context, text):
    context.expected = text


@behave.then('the violation is found')
def check_found(context):
    assert any(context.expected in item for item in context.violations), (
        sorted(set(context.violations))[:5]
    )


def _resend_after_unknown(original):
    """Send again after an answer with an unknown outcome."""

    def on_sent(execution, answer, now, wall_now):
        if isinstance(answer, result.Failure) and not state.proves_not_sent(
            answer.failure()
        ):
            send = messages.Send(execution.draft.request, now + 1)
            return execution, (send,)
        return original(execution, answer, now, wall_now)

    return on_sent


def _take_over_dispatching(original):
    """Let recovery execute an order that its holder may have sent."""

    def decide(row, holder, fencing, is_gone, wall_now):
        value = row.value
        if value['state'] == 'dispatching' and (
            is_gone(value['node'], 1) and wall_now < value['deadline']
        ):
            found = record.from_row(value).unwrap()
            return recovery.TakeOver(
                row,
                dataclasses.replace(
                    found, state=record.OrderState.ACCEPTED, holder=holder
                ),
            )
        return original(row, holder, fencing, is_gone, wall_now)

    return decide


def _reject_dispatching(original):
    """Let recovery set another node's dispatching order to `not_run`."""

    def decide(row, holder, fencing, is_gone, wall_now):
        action = original(row, holder, fencing, is_gone, wall_now)
        if isinstance(action, recovery.WriteRow) and (
            row.value['state'] == 'dispatching'
        ):
            value = dict(action.put.value, state='not_run')
            return dataclasses.replace(
                action, put=dataclasses.replace(action.put, value=value)
            )
        return action

    return decide


def _trust_unchanged_row(original):
    """Take an unchanged row as proof that the write was not applied."""

    def on_read(commits, items, answer, now):
        commits, settled = original(commits, items, answer, now)
        numbers = {item.number for item in items}
        unchanged = [
            item
            for item in commits.pending
            if item.number in numbers and not item.needs_read_back
        ]
        remaining = tuple(i for i in commits.pending if i not in unchanged)
        failure = errors.Failure(
            errors.FailureKind.TIMEOUT,
            errors.Step.WRITE_TABLE,
            '',
            '',
            types.Outcome.NOT_RUN,
        )
        return dataclasses.replace(commits, pending=remaining), (
            *settled,
            *(
                committer.Settled(item.number, result.Failure(failure))
                for item in unchanged
            ),
        )

    return on_read


def _reply_before_write(original):
    """Reply `not run` to the caller before the record is written."""

    def reject(execution, now, wall_now, detail):
        execution, effects = original(execution, now, wall_now, detail)
        execution, reply_effects = state._reply(
            execution, execution.pending_reply
        )
        return execution, reply_effects + effects

    return reject


def _patch_wrapped(module, name, wrapper):
    return mock.patch.object(module, name, wrapper(getattr(module, name)))


def _patch_constant(module, name, value):
    return mock.patch.object(module, name, lambda *arguments: value)


MECHANISMS = {
    'send window': lambda: [_patch_constant(state, 'may_send', True)],
    'in-doubt state after a time-out': lambda: [
        _patch_constant(committer, 'proves_not_written', True)
    ],
    'second write after read-back': lambda: [
        _patch_wrapped(committer, 'on_read', _trust_unchanged_row)
    ],
    'comparison of the whole row': lambda: [
        mock.patch.object(
            committer,
            '_is_written_by',
            lambda item, row: (
                row.value is not None and row.value['attempt'] == item.attempt
            ),
        )
    ],
    'compare-and-set': lambda: [
        mock.patch.object(
            committer,
            '_commit_outcome',
            lambda item, put_result: committer.Committed(put_result.row),
        )
    ],
    'single send': lambda: [
        _patch_wrapped(state, '_on_sent', _resend_after_unknown)
    ],
    'no takeover of dispatching orders': lambda: [
        _patch_wrapped(recovery, 'decide', _take_over_dispatching)
    ],
    'only the holder rejects': lambda: [
        _patch_wrapped(recovery, 'decide', _reject_dispatching)
    ],
    'not run replied after its write': lambda: [
        _patch_wrapped(state, '_reject', _reply_before_write)
    ],
    'digest of the request': lambda: [
        _patch_constant(state, 'is_same_request', True)
    ],
    'check that nothing was sent': lambda: [
        _patch_constant(state, 'proves_not_sent', True)
    ],
    'recovery': lambda: [_patch_constant(recovery, 'decide', None)],
}


def row(time, version, row_state, attempt='a', key='k'):
    """Return a row version with a record."""
    value = {
        'state': row_state,
        'attempt': attempt,
        'digest': 'd',
        'changed': time,
    }
    return checker.RowVersion(time, key, version, value)


def history_named(name):
    """Return the valid history, or one with a violation."""
    rows = [row(1.0, 1, 'dispatching'), row(2.0, 2, 'done')]
    write = checker.Operation('committed', 'k', rows[0].value, 1, 0.9, 1.1)
    run = checker.BackendRun('k', 'a', 1.2, b'x')
    completion = checker.Completion(0, b'x', 'done', True)
    call = checker.Invocation(0, 'k', 'a', 'd')
    replace = dataclasses.replace
    not_run = replace(completion, answer=None, outcome='not_run')
    valid = checker.History([call], [completion], rows, [run], [write])
    changes_by_name = {
        'valid': {},
        'executed twice': {'runs': [run, replace(run, attempt='b')]},
        'not run but executed': {'completions': [not_run]},
        'not run but recorded': {
            'completions': [replace(not_run, recorded=False)]
        },
        'answers differ': {
            'completions': [completion, replace(completion, answer=b'y')],
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
        'write outside its interval': {
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
    return replace(valid, **changes_by_name[name])


@behave.given('the history "{name}"')
def make_history(context, name):
    context.violations = checker.violations(history_named(name))


@behave.then('the checker reports "{text}"')
def check_report(context, text):
    assert any(text in item for item in context.violations), context.violations
