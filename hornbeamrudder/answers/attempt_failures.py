"""Failures of attempts at model engines."""

import dataclasses

from returns import result

from ..core import errors
from ..core import types
from ..infrastructure import http


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
