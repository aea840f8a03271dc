"""Steps for the state of hosts and the load of workers."""

import functools
import itertools
import math
import random

import behave
import hypothesis
from hypothesis import strategies

from hornbeamrudder.backends import load
from hornbeamrudder.backends import state
from hornbeamrudder.core import types

DEADLINE = 20.0
NOW = 5.0
EMPTY = state.HostRecord('host-1')
FIXED = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)


def merge(reports, record=EMPTY):
    return functools.reduce(state.apply, reports, record)


@behave.given(
    'one report of every source, of which the notice announces leaving'
)
def give_reports(context):
    notice = state.Source.RECLAIM_NOTICE
    context.reports = [
        state.Announced(1, 2.0, notice, DEADLINE),
        state.Announced(1, 2.5, state.Source.PEER),
        state.Listed(1, 3.0),
        state.Answered(1, 4.0),
        state.Failed(1, 1.0),
        state.Answered(0, 4.5),
    ]


@behave.when('the reports are applied in every order')
def apply_every_order(context):
    records = {
        merge(order) for order in itertools.permutations(context.reports)
    }
    context.results = {
        (state.state(record, NOW), record.deadline) for record in records
    }


@behave.then('every order gives the state "leaving" with the same deadline')
def check_every_order(context):
    expected = {(types.HostState.LEAVING, DEADLINE)}
    assert context.results == expected, context.results


@behave.when('the latest report alone decides, in every order')
def apply_latest(context):
    context.results = {
        state.state(merge([state.Answered(1, 0.0), order[-1]]), NOW)
        for order in itertools.permutations(context.reports)
    }


@behave.then('some orders give the state "live"')
def check_some_live(context):
    assert types.HostState.LIVE in context.results, context.results


@behave.given('a host that answers and whose leaving was announced')
def give_leaving_host(context):
    notice = state.Source.RECLAIM_NOTICE
    context.record = merge(
        [state.Answered(1, 1.0), state.Announced(1, 2.0, notice, DEADLINE)]
    )


@behave.when('the host list shows it as live {count:d} times')
def apply_stale_list(context, count):
    reports = [state.Listed(1, 3.0 + 0.01 * number) for number in range(count)]
    context.record = merge(reports, context.record)


@behave.then('the host {may} receive new work')
def check_new_work(context, may):
    assert state.may_receive_new_work(context.record, NOW) is (may == 'may')


@behave.then('an announcement from any single source stops new work')
def check_single_sources(context):
    for source in state.Source:
        for order in itertools.permutations(
            [
                state.Answered(1, 3.0),
                state.Listed(1, 3.5),
                state.Announced(1, 2.0, source),
            ]
        ):
            assert not state.may_receive_new_work(merge(order), NOW), source


@behave.then('without any announcement the host receives new work')
def check_without_announcement(context):
    record = merge([state.Answered(1, 3.0), state.Listed(1, 3.5)])
    assert state.may_receive_new_work(record, NOW)


@behave.when('it answers with a higher incarnation')
def answer_higher(context):
    context.record = state.apply(context.record, state.Answered(2, 4.0))


@behave.when('the announcement for the lower incarnation is repeated')
def repeat_lower(context):
    report = state.Announced(1, 4.5, state.Source.PEER, DEADLINE)
    context.record = state.apply(context.record, report)


@behave.then('it is "leaving" before its deadline and "gone" at its deadline')
def check_deadline(context):
    before = state.state(context.record, DEADLINE - 0.01)
    assert before is types.HostState.LEAVING, before
    at_deadline = state.state(context.record, DEADLINE)
    assert at_deadline is types.HostState.GONE, at_deadline


incarnations = strategies.integers(0, 2)
times = strategies.integers(0, 20).map(float)
reports = strategies.lists(
    strategies.one_of(
        strategies.builds(
            state.Announced,
            incarnations,
            times,
            strategies.sampled_from(state.Source),
            strategies.just(math.inf) | times,
        ),
        strategies.builds(state.Answered, incarnations, times),
        strategies.builds(state.Failed, incarnations, times),
        strategies.builds(state.Listed, incarnations, times),
    ),
    max_size=8,
)


@behave.then(
    'random reports give the same record in any order, repeated or not'
)
def check_any_order(context):
    @FIXED
    @hypothesis.given(reports, strategies.randoms(use_true_random=False))
    def check(given, rng):
        shuffled = [*given, *given]
        rng.shuffle(shuffled)
        assert merge(shuffled) == merge(given)

    check()


@behave.then(
    'no answer makes a host live in an incarnation that was announced leaving'
)
def check_sticky(context):
    @FIXED
    @hypothesis.given(reports, times)
    def check(given, now):
        highest = max([0, *(report.incarnation for report in given)])
        announced = any(
            isinstance(report, state.Announced)
            and report.incarnation == highest
            for report in given
        )
        record = merge(given)
        assert not (announced and state.may_receive_new_work(record, now))

    check()


@behave.given('three workers with reports that are 1 second old')
def give_workers(context):
    context.loads = [
        load.WorkerLoad(load.LoadReport(tokens, 0, 0, -1.0))
        for tokens in (0.0, 100.0, 200.0)
    ]


@behave.when('{count:d} requests go each to the worker with the least {key}')
def send_burst(context, count, key):
    loads = list(context.loads)
    context.sent = [0] * len(loads)
    for number in range(count):
        amounts = [
            load.outstanding_tokens(item)
            if key == 'load'
            else item.report.outstanding_tokens
            for item in loads
        ]
        chosen = amounts.index(min(amounts))
        loads[chosen] = load.started(loads[chosen], str(number), 400.0, 0.0)
        context.sent[chosen] += 1


@behave.then('no worker receives more than {count:d} of them')
def check_spread(context, count):
    assert max(context.sent) <= count, context.sent


@behave.then('one worker receives all of them')
def check_herding(context):
    assert sorted(context.sent)[:-1] == [0, 0], context.sent


@behave.then(
    'random starts, ends and reports give the load of a complete account'
)
def check_account(context):
    for seed in range(40):
        rng = random.Random(seed)
        estimate = load.WorkerLoad()
        tokens_by_request = {}
        history = [(0.0, 0.0)]
        for step in range(1, 120):
            now = 0.1 * step
            name = str(step)
            if rng.random() < 0.5:
                tokens_by_request[name] = float(rng.randrange(1, 500))
                estimate = load.started(
                    estimate, name, tokens_by_request[name], now
                )
            elif tokens_by_request:
                name = rng.choice(sorted(tokens_by_request))
                del tokens_by_request[name]
                estimate = load.ended(estimate, name, now)
            total = sum(tokens_by_request.values())
            history.append((now, total))
            if rng.random() < 0.3:
                taken_at, reported = rng.choice(history[-20:])
                report = load.LoadReport(reported, 0, 0, taken_at)
                estimate = load.reported(estimate, report)
            found = load.outstanding_tokens(estimate)
            assert math.isclose(found, total, abs_tol=1e-6), (seed, step)
