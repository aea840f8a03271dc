"""Steps for host states and worker loads."""

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
EMPTY_RECORD = state.HostRecord('host-1')
HYPOTHESIS_SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)


def merge_reports(reports, record=EMPTY_RECORD):
    return functools.reduce(state.merge_report, reports, record)


@behave.given(
    'one report of every source and a notice that the host is leaving'
)
def give_reports(context):
    notice = state.ReportSource.RECLAIM_NOTICE
    context.reports = [
        state.LeavingReport(1, 2.0, notice, DEADLINE),
        state.LeavingReport(1, 2.5, state.ReportSource.PEER),
        state.ListedReport(1, 3.0),
        state.ResponseReport(1, 4.0),
        state.FailureReport(1, 1.0),
        state.ResponseReport(0, 4.5),
    ]


@behave.when('the reports are applied in every order')
def apply_every_order(context):
    records = {
        merge_reports(order)
        for order in itertools.permutations(context.reports)
    }
    context.results = {
        (state.derive_state(record, NOW), record.deadline)
        for record in records
    }


@behave.then('every order gives the state "leaving" with the same deadline')
def check_every_order(context):
    expected = {(types.HostState.LEAVING, DEADLINE)}
    assert context.results == expected, context.results


@behave.when('only the latest report is used, in every order')
def use_latest_report(context):
    context.results = {
        state.derive_state(
            merge_reports([state.ResponseReport(1, 0.0), order[-1]]), NOW
        )
        for order in itertools.permutations(context.reports)
    }


@behave.then('some orders give the state "live"')
def check_some_live(context):
    assert types.HostState.LIVE in context.results, context.results


@behave.given('a host that responds and is reported as leaving')
def give_leaving_host(context):
    notice = state.ReportSource.RECLAIM_NOTICE
    context.record = merge_reports(
        [
            state.ResponseReport(1, 1.0),
            state.LeavingReport(1, 2.0, notice, DEADLINE),
        ]
    )


@behave.when('the host list shows it as live {count:d} times')
def apply_stale_list(context, count):
    reports = [
        state.ListedReport(1, 3.0 + 0.01 * number) for number in range(count)
    ]
    context.record = merge_reports(reports, context.record)


@behave.then('the host {may} receive new work')
def check_new_work(context, may):
    assert state.may_receive_new_work(context.record, NOW) is (may == 'may')


@behave.then('a leaving report from any single source stops new work')
def check_single_sources(context):
    for source in state.ReportSource:
        for order in itertools.permutations(
            [
                state.ResponseReport(1, 3.0),
                state.ListedReport(1, 3.5),
                state.LeavingReport(1, 2.0, source),
            ]
        ):
            assert not state.may_receive_new_work(merge_reports(order), NOW), (
                source
            )


@behave.then('without a leaving report the host receives new work')
def check_without_report(context):
    record = merge_reports(
        [state.ResponseReport(1, 3.0), state.ListedReport(1, 3.5)]
    )
    assert state.may_receive_new_work(record, NOW)


@behave.when('it responds with a higher incarnation')
def respond_with_higher_incarnation(context):
    context.record = state.merge_report(
        context.record, state.ResponseReport(2, 4.0)
    )


@behave.when('the leaving report on the lower incarnation is repeated')
def repeat_lower_incarnation(context):
    report = state.LeavingReport(1, 4.5, state.ReportSource.PEER, DEADLINE)
    context.record = state.merge_report(context.record, report)


@behave.then('it is "leaving" before its deadline and "gone" at its deadline')
def check_deadline(context):
    before = state.derive_state(context.record, DEADLINE - 0.01)
    assert before is types.HostState.LEAVING, before
    at_deadline = state.derive_state(context.record, DEADLINE)
    assert at_deadline is types.HostState.GONE, at_deadline


incarnations = strategies.integers(0, 2)
times = strategies.integers(0, 20).map(float)
reports = strategies.lists(
    strategies.one_of(
        strategies.builds(
            state.LeavingReport,
            incarnations,
            times,
            strategies.sampled_from(state.ReportSource),
            strategies.just(math.inf) | times,
        ),
        strategies.builds(state.ResponseReport, incarnations, times),
        strategies.builds(state.FailureReport, incarnations, times),
        strategies.builds(state.ListedReport, incarnations, times),
    ),
    max_size=8,
)


@behave.then(
    'random reports give the same record in any order, repeated or not'
)
def check_any_order(context):
    @HYPOTHESIS_SETTINGS
    @hypothesis.given(reports, strategies.randoms(use_true_random=False))
    def check(given, rng):
        shuffled = [*given, *given]
        rng.shuffle(shuffled)
        assert merge_reports(shuffled) == merge_reports(given)

    check()


@behave.then(
    'no response makes a host live in an incarnation reported as leaving'
)
def check_leaving_precedence(context):
    @HYPOTHESIS_SETTINGS
    @hypothesis.given(reports, times)
    def check(given, now):
        highest = max([0, *(report.incarnation for report in given)])
        announced = any(
            isinstance(report, state.LeavingReport)
            and report.incarnation == highest
            for report in given
        )
        record = merge_reports(given)
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
        tokens_by_worker = [
            load.outstanding_tokens(item)
            if key == 'load'
            else item.report.outstanding_tokens
            for item in loads
        ]
        chosen = tokens_by_worker.index(min(tokens_by_worker))
        loads[chosen] = load.add_request(
            loads[chosen], str(number), 400.0, 0.0
        )
        context.sent[chosen] += 1


@behave.then('no worker receives more than {count:d} of them')
def check_spread(context, count):
    assert max(context.sent) <= count, context.sent


@behave.then('one worker receives all of them')
def check_single_target(context):
    assert sorted(context.sent)[:-1] == [0, 0], context.sent


@behave.then('random starts, ends and reports give the exact number of tokens')
def check_estimate(context):
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
                estimate = load.add_request(
                    estimate, name, tokens_by_request[name], now
                )
            elif tokens_by_request:
                name = rng.choice(sorted(tokens_by_request))
                del tokens_by_request[name]
                estimate = load.end_request(estimate, name, now)
            total = sum(tokens_by_request.values())
            history.append((now, total))
            if rng.random() < 0.3:
                sampled_at, reported = rng.choice(history[-20:])
                report = load.LoadReport(reported, 0, 0, sampled_at)
                estimate = load.merge_report(estimate, report)
            estimated = load.outstanding_tokens(estimate)
            assert math.isclose(estimated, total, abs_tol=1e-6), (seed, step)
