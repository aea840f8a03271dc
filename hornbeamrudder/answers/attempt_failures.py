"""Failures of attempts at model engines."""

import dataclasses

from returns import result

from ..core import errors
from ..core import types
from ..infrastructure import http

# An engine answers them without running the request.
REFUSAL_STATUSES = frozenset((429, 503))


def is_proved_not_run(outcome: http.HttpResult) -> bool:
    """Return whether the worker certainly did not run the attempt."""
    match outcome:
        case result.Success(response):
            return response.status in REFUSAL_STATUSES
        case result.Failure(failure):
            return failure.outcome is types.Outcome.NOT_RUN
    raise AssertionError(outcome)


def from_outcome(
    outcome: http.HttpResult, worker: types.Worker
) -> errors.Failure:
    """Return the failure of an attempt that ended with a partial answer."""
    match outcome:
        case result.Success(response) if response.status == 400:
            return errors.Failure(
                errors.FailureKind.INVALID,
                errors.Step.READ_ANSWER,
                str(worker.address),
                response.body[:200].decode('utf-8', 'replace'),
                types.Outcome.FAILED,
            )
        case result.Success(response):
            return errors.Failure(
                errors.FailureKind.INTERRUPTED,
                errors.Step.READ_ANSWER,
                str(worker.address),
                f'status {response.status}, answer is not whole',
                types.Outcome.FAILED,
            )
        case result.Failure(failure):
            return dataclasses.replace(failure, outcome=types.Outcome.FAILED)
    raise AssertionError(outcome)
