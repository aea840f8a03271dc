"""Decision after a failed attempt: retry, or report the failure."""

import dataclasses

from . import budget as budgets
from ..core import errors
from ..core import ids
from ..core import types

MAX_ATTEMPTS = 3
DEFAULT_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """State of a request whose last attempt failed.

    Attributes
    ----------
    failure : Failure
        Failure of the last attempt. An outcome of NOT_RUN proves that the
        backend server did not run the request.
    tried : tuple of WorkerId
        Workers of all attempts so far, one entry per attempt.
    latest_start : float
        Time after which a new attempt cannot meet the deadline, in seconds.
    """

    failure: errors.Failure
    idempotent: bool
    tried: tuple[ids.WorkerId, ...]
    latest_start: float


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Send the request again to a worker that is not in `excluded`."""

    excluded: tuple[ids.WorkerId, ...]
    budget: budgets.Budget


@dataclasses.dataclass(frozen=True, slots=True)
class ReportFailure:
    """Report the failure to the caller."""

    failure: errors.Failure


def needs_budget(tokens_received: int) -> bool:
    """Return whether another attempt for an answer needs the budget.

    An attempt that received no token is charged when it is repeated. Resuming
    an answer that has begun is not charged: the caller has received part of
    it, and each answer resumes at most once per worker that it loses.
    """
    return tokens_received == 0


def decide(
    attempt: FailedAttempt,
    now: float,
    budget: budgets.Budget,
    candidates: int,
) -> Retry | ReportFailure:
    """Decide whether a failed attempt is retried.

    Parameters
    ----------
    candidates : int
        Number of usable workers that have not been tried.
    """
    failure = attempt.failure
    proved_not_run = failure.outcome is types.Outcome.NOT_RUN
    if not attempt.idempotent and not proved_not_run:
        return ReportFailure(
            dataclasses.replace(failure, outcome=types.Outcome.UNKNOWN)
        )
    outcome = types.Outcome.NOT_RUN if proved_not_run else types.Outcome.FAILED
    match failure.kind:
        case (
            errors.FailureKind.INVALID
            | errors.FailureKind.UNAUTHORIZED
            | errors.FailureKind.NOT_FOUND
            | errors.FailureKind.CONFLICT
        ):
            return ReportFailure(dataclasses.replace(failure, outcome=outcome))
    if now > attempt.latest_start:
        return _report_failure(
            failure, errors.FailureKind.DEADLINE, outcome, 'deadline'
        )
    if len(attempt.tried) >= MAX_ATTEMPTS:
        return _report_failure(failure, failure.kind, outcome, 'attempt limit')
    if candidates < 1:
        return _report_failure(
            failure, failure.kind, outcome, 'no other worker'
        )
    if not budgets.can_withdraw(budget):
        return _report_failure(failure, failure.kind, outcome, 'retry budget')
    return Retry(tuple(dict.fromkeys(attempt.tried)), budgets.withdraw(budget))


def _report_failure(
    failure: errors.Failure,
    kind: errors.FailureKind,
    outcome: types.Outcome,
    limit: str,
) -> ReportFailure:
    return ReportFailure(
        dataclasses.replace(
            failure,
            kind=kind,
            outcome=outcome,
            detail=f'{failure.detail}; not retried: {limit}',
            retry_after_s=failure.retry_after_s or DEFAULT_RETRY_AFTER_S,
        )
    )
