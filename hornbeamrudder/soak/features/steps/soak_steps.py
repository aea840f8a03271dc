"""Steps for the soak test."""

import asyncio
import dataclasses
import itertools
import pathlib
import tempfile
import types

import behave

from hornbeamrudder.soak import __main__ as soak_main
from hornbeamrudder.soak import checks
from hornbeamrudder.soak import deployment
from hornbeamrudder.soak import observed
from hornbeamrudder.soak import plan
from hornbeamrudder.soak import run


@behave.when('a soak of {seconds:d} seconds is run with seed {seed:d}')
def run_soak(context, seconds, seed):
    with tempfile.TemporaryDirectory() as folder:
        context.report = soak_main.run_plan(
            plan.generate_plan(seed, seconds), pathlib.Path(folder)
        )


@behave.when('a roll-out alone is run with seed {seed:d}')
def run_roll_out(context, seed):
    with tempfile.TemporaryDirectory() as folder:
        context.report = soak_main.run_plan(
            plan.generate_plan(seed, 6.0, (plan.FaultKind.ROLL_OUT,), 3),
            pathlib.Path(folder),
        )


@behave.then('the version was {kind} and the roll-out is {state}')
def check_verdict(context, kind, state):
    (item,) = context.report['roll_outs']
    assert (item['is_bad'], item['state']) == (kind == 'bad', state), item


class _LateProcess:
    """Process that is still there at some polls after it was killed."""

    def __init__(self, polls):
        self.polls = polls
        self.returncode = None
        self.is_killed = False

    def poll(self):
        if self.is_killed:
            self.polls -= 1
            if self.polls < 0:
                self.returncode = -9
        return self.returncode

    def send_signal(self, number):
        self.is_killed = True


@behave.when(
    'a node is killed whose process ends only after the restart is due'
)
def kill_late(context):
    with tempfile.TemporaryDirectory() as folder:
        soak_run = run.SoakRun(plan.generate_plan(1, 6), pathlib.Path(folder))
        node = deployment.Node(
            0,
            '127.0.0.20',
            types.SimpleNamespace(),
            types.SimpleNamespace(),
            pathlib.Path(folder),
            _LateProcess(polls=3),
        )
        context.started = []
        soak_run.system.start_node = context.started.append
        asyncio.run(soak_run.kill_and_restart([node], 0.0))
        context.node = node


@behave.then('the node has been started again')
def check_started_again(context):
    assert context.started == [context.node], context.started


@behave.then('no invariant was violated and all kinds of requests were served')
def check_soak(context):
    assert not context.report['problems'], context.report
    for route in ('plan', 'chat', 'book', 'look'):
        assert context.report['requests'].get(f'{route} 200'), context.report


_OUTCOME = observed.Outcome(
    'r1',
    'chat',
    'key-north',
    0,
    10.0,
    10.5,
    200,
    True,
    checks.COMPLETE_STREAM,
    'r1',
)
_RUN = observed.Run('r1', 'e1', 10.1, True, 'north', 'e1', False)
_CALL = observed.DutyCall('/usage', 'n1', 2, {'window': 1, 'counts': {}}, 9.0)


_TRIAL = (('running', 'waiting', 3), ('running', 'trial', 3))
_BAD = observed.RollOut(
    'engines',
    True,
    8.0,
    18.0,
    19.0,
    frozenset({'e1'}),
    (*_TRIAL, ('rolled_back', 'rolled back', 3)),
)
_STATES_BY_CHANGE = {
    'a roll-out without a verdict': _TRIAL,
    'a roll-out that is taken up': (*_BAD.states, *_TRIAL),
    'a roll-out without a load step': (
        *_TRIAL,
        ('running', 'transfer', 3),
        ('completed', 'completed', 3),
    ),
    'a former holder of a roll-out': (
        *_TRIAL,
        ('rolled_back', 'rolled back', 2),
    ),
    'a bad version is completed': (
        *_TRIAL,
        ('running', 'load', 3),
        ('running', 'transfer', 3),
        ('completed', 'completed', 3),
    ),
}


def _changed_observations(change):
    outcome, runs, calls = _OUTCOME, (_RUN,), (_CALL,)
    spans, leavings, revoked, roll_outs = (), (), (), ()
    match change:
        case 'two servers execute it':
            runs = (
                _RUN,
                dataclasses.replace(_RUN, server='e2', expected_server='e2'),
            )
        case 'it is rejected':
            outcome = dataclasses.replace(outcome, status=503)
        case 'the response has another id':
            outcome = dataclasses.replace(outcome, echoed_id='r2')
        case 'the response is truncated':
            outcome = dataclasses.replace(outcome, body=outcome.body[:-9])
        case 'no caller sent it':
            runs = (dataclasses.replace(_RUN, request_id='r9'),)
        case 'another account':
            runs = (dataclasses.replace(_RUN, account='south'),)
        case 'the key is forwarded':
            runs = (dataclasses.replace(_RUN, carries_key=True),)
        case 'the key was revoked':
            revoked = (('key-north', 4.0),)
        case 'the server is draining':
            leavings = (observed.Leaving('e1', 8.0),)
        case 'the node was stopped':
            outcome = dataclasses.replace(
                outcome, status=0, whole=False, body=b''
            )
            spans = (
                observed.Span(plan.FaultKind.TERMINATE.value, 10.2, 12.0, 0),
            )
        case 'two reports of one usage window':
            calls += (
                dataclasses.replace(
                    _CALL, body={'window': 1, 'counts': {'north': 1}}
                ),
            )
        case 'two holders of a fencing token':
            calls += (dataclasses.replace(_CALL, holder='n2'),)
        case 'a lower fencing token':
            calls += (dataclasses.replace(_CALL, number=1, holder='n0'),)
        case 'a bad version gets too much':
            runs = 51 * (_RUN,)
            roll_outs = (dataclasses.replace(_BAD, due_at=9.0),)
        case 'a good version is rolled back':
            roll_outs = (dataclasses.replace(_BAD, is_bad=False),)
        case _ if change in _STATES_BY_CHANGE:
            roll_outs = (
                dataclasses.replace(_BAD, states=_STATES_BY_CHANGE[change]),
            )
    return observed.Observed(
        (outcome,), runs, calls, spans, leavings, revoked, (), (), roll_outs
    )


@behave.when('the observations of one request are changed: "{change}"')
def check_changed_observations(context, change):
    context.problems = checks.find_violations(_changed_observations(change))


@behave.then('the checks report "{problem}"')
def check_reported_problem(context, problem):
    if problem == 'nothing':
        assert not context.problems, context.problems
    else:
        assert any(problem in line for line in context.problems), (
            context.problems
        )


@behave.when('plans are generated for {count:d} seeds twice')
def generate_plans(context, count):
    context.plans = [
        [plan.generate_plan(seed, 15.0) for seed in range(count)]
        for _ in range(2)
    ]


@behave.then(
    'they are equal by seed, differ between seeds and contain all kinds of'
    ' faults'
)
def check_plans(context):
    first, second = context.plans
    assert first == second
    assert len({item.faults for item in first}) == len(first)
    kinds = {
        fault.kind
        for fault in itertools.chain.from_iterable(
            item.faults for item in first
        )
    }
    assert kinds == set(plan.FaultKind), set(plan.FaultKind) - kinds
