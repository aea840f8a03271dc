"""Steps for retries."""

import behave
import hypothesis
from hypothesis import strategies

from hornbeamrudder.core import errors
from hornbeamrudder.core import types
from hornbeamrudder.retries import budget as budgets
from hornbeamrudder.retries import decide

EXAMPLES = hypothesis.settings(
    max_examples=150, deadline=None, derandomize=True, database=None
)


def make_attempt(idempotent, outcome, kind, tried=1, latest_start=10.0):
    failure = errors.Failure(
        kind, errors.Step.DISPATCH, 'worker-0', 'a test failure', outcome
    )
    workers = tuple(f'worker-{number}' for number in range(tried))
    return decide.FailedAttempt(failure, idempotent, workers, latest_start)


@behave.then(
    'for any order of requests and failures retries are at most'
    ' {percent:d}% of the requests'
)
def check_budget(context, percent):
    attempt = make_attempt(
        True, types.Outcome.UNKNOWN, errors.FailureKind.TIMEOUT
    )

    @EXAMPLES
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 60), max_size=30)
    )
    def check(runs):
        budget = budgets.Budget()
        requests = retries = 0
        for position, length in enumerate(runs):
            for _ in range(length):
                if position % 2 == 0:
                    requests += 1
                    budget = budgets.deposit(budget)
                    continue
                decision = decide.decide(attempt, 0.0, budget, candidates=3)
                if isinstance(decision, decide.Retry):
                    retries += 1
                    budget = decision.budget
                assert retries <= requests * percent / 100 + 1e-6

    check()


@behave.then(
    'no failure with an uncertain outcome of a non-idempotent call is retried'
)
def check_never_repeated(context):
    @EXAMPLES
    @hypothesis.given(
        strategies.sampled_from([types.Outcome.UNKNOWN, types.Outcome.FAILED]),
        strategies.sampled_from(list(errors.FailureKind)),
        strategies.integers(1, 4),
        strategies.floats(-10, 10),
    )
    def check(outcome, kind, tried, left):
        attempt = make_attempt(False, outcome, kind, tried, left)
        budget = budgets.Budget(balance=10.0)
        decision = decide.decide(attempt, 0.0, budget, candidates=5)
        assert isinstance(decision, decide.ReportFailure), decision
        assert decision.failure.outcome is types.Outcome.UNKNOWN

    check()


@behave.given(
    'a failed attempt that is {idempotent}, {outcome}, {kind}, with {tried:d}'
    ' tried, {left:g} seconds left, {balance:g} retries available and'
    ' {candidates:d} candidates'
)
def decide_attempt(
    context, idempotent, outcome, kind, tried, left, balance, candidates
):
    attempt = make_attempt(
        idempotent == 'idempotent',
        types.Outcome[outcome],
        errors.FailureKind[kind],
        tried,
        100.0 + left,
    )
    context.attempt = attempt
    context.decision = decide.decide(
        attempt, 100.0, budgets.Budget(balance=balance), candidates
    )


@behave.then('the decision is {expected}')
def check_decision(context, expected):
    match context.decision:
        case decide.Retry(excluded=excluded):
            assert expected == 'retry'
            assert excluded == context.attempt.tried
        case decide.ReportFailure(failure=failure):
            assert failure.outcome.value == expected, failure
