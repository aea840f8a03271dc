"""Decision after a failed attempt: retry elsewhere or tell the caller."""

import dataclasses

from . import budget as budgets
from ..core import errors
from ..core import ids
from ..core import types

MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """What is known about a request whose last attempt failed.

    Attributes
    ----------
    failure : Failure
        Its outcome NOT_RUN is a proof that the backend did not run it.
    tried : tuple of WorkerId
        Workers of all attempts so far, one entry for each attempt.
    latest_start : float
        Time after which a new attempt cannot meet the deadline, in seconds.
    """

    failure: errors.Failure
    idempotent: bool
    tried: tuple[ids.WorkerId, ...]
    latest_start: float


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Send the request again, to a worker outside `excluded`."""

    excluded: tuple[ids.WorkerId, ...]
    budget: budgets.Budget


@dataclasses.dataclass(frozen=True, slots=True)
class Tell:
    """Answer the caller with a failure."""

    failure: errors.Failure


def needs_budget(tokens_received: int) -> bool:
    """Whether another attempt for an answer comes out of the budget.

    The resumption of an answer that has begun does not: the caller has read
    a part of it, and each answer resumes at most once for each worker that
    it loses. The repetition of an attempt without a token does.
    """
    return tokens_received == 0


def decide(
    attempt: FailedAttempt,
    now: float,
    budget: budgets.Budget,
    candidates: int,
) -> Retry | Tell:
    """Decide what follows a failed attempt.

    Parameters
    ----------
    candidates : int
        Usable workers that have not been tried.
    """
    failure = attempt.failure
    proved_not_run = failure.outcome is types.Outcome.NOT_RUN
    if not attempt.idempotent and not proved_not_run:
        return Tell(
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
            return Tell(dataclasses.replace(failure, outcome=outcome))
    if now > attempt.latest_start:
        return _tell(failure, errors.FailureKind.DEADLINE, outcome, 'deadline')
    if len(attempt.tried) >= MAX_ATTEMPTS:
        return _tell(failure, failure.kind, outcome, 'attempt limit')
    if candidates < 1:
        return _tell(failure, failure.kind, outcome, 'no other worker')
    if not budgets.can_spend(budget):
        return _tell(failure, failure.kind, outcome, 'retry budget')
    return Retry(tuple(dict.fromkeys(attempt.tried)), budgets.spend(budget))


def _tell(
    failure: errors.Failure,
    kind: errors.FailureKind,
    outcome: types.Outcome,
    limit: str,
) -> Tell:
    return Tell(
        dataclasses.replace(
            failure,
            kind=kind,
            outcome=outcome,
            detail=f'{failure.detail}; not retried: {limit}',
            retry_after_s=failure.retry_after_s or RETRY_AFTER_S,
        )
    )
