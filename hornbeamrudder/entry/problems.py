"""Error responses as problem details (RFC 9457)."""

import dataclasses
import math

import orjson
import werkzeug

from ..core import errors
from ..core import ids
from ..core import types

CONTENT_TYPE = 'application/problem+json'
DEFAULT_RETRY_AFTER_S = 1.0

STATUS_BY_KIND = {
    errors.FailureKind.INVALID: 400,
    errors.FailureKind.UNAUTHORIZED: 401,
    errors.FailureKind.NOT_FOUND: 404,
    errors.FailureKind.CONFLICT: 422,
    errors.FailureKind.OVERLOADED: 429,
    errors.FailureKind.DEADLINE: 503,
    errors.FailureKind.NOT_CONNECTED: 503,
    errors.FailureKind.TIMEOUT: 504,
    errors.FailureKind.INTERRUPTED: 502,
    errors.FailureKind.UNAVAILABLE: 503,
    errors.FailureKind.REFUSED: 503,
}
# A well-formed request whose idempotency key belongs to another request, or
# which cannot be recorded.
UNPROCESSABLE_ORDER = (errors.FailureKind.INVALID, errors.Step.RECORD_ORDER)
RETRY_STATUSES = frozenset((429, 503))


def status_of(failure: errors.Failure) -> int:
    """Return the HTTP status for a failure."""
    if (failure.kind, failure.step) == UNPROCESSABLE_ORDER:
        return 422
    return STATUS_BY_KIND[failure.kind]


def body_of(
    failure: errors.Failure, request_id: ids.RequestId | None
) -> bytes:
    """Return the problem details of a failure as JSON."""
    problem = {
        'type': 'about:blank',
        'title': failure.kind.value,
        'status': status_of(failure),
        'detail': failure.detail,
        'outcome': failure.outcome.value,
        'step': failure.step.value,
        'peer': failure.peer,
    }
    if request_id:
        problem['request_id'] = request_id
    return orjson.dumps(problem)


def to_response(
    failure: errors.Failure, request_id: ids.RequestId | None = None
) -> werkzeug.Response:
    """Return the error response for a failure.

    A refusal that the caller may retry has `Retry-After` in whole seconds.
    """
    status = status_of(failure)
    response = werkzeug.Response(
        body_of(failure, request_id), status, content_type=CONTENT_TYPE
    )
    if request_id:
        response.headers['X-Request-Id'] = request_id
    if status in RETRY_STATUSES:
        wait_s = failure.retry_after_s or DEFAULT_RETRY_AFTER_S
        response.headers['Retry-After'] = str(math.ceil(wait_s))
    if status == 401:
        response.headers['WWW-Authenticate'] = 'Bearer'
    return response


def for_possible_repeat(failure: errors.Failure) -> errors.Failure:
    """Return the failure for an order whose key may have been used before.

    The outcome becomes unknown: "not run" would describe this attempt only,
    and the order may have run in an earlier attempt whose record could not be
    read.
    """
    if (
        failure.outcome is not types.Outcome.NOT_RUN
        or failure.kind is errors.FailureKind.INVALID
    ):
        return failure
    return dataclasses.replace(
        failure,
        outcome=types.Outcome.UNKNOWN,
        detail=f'{failure.detail}; this attempt was not run, but an earlier'
        ' one with the same key may have run',
    )


def invalid(detail: str) -> errors.Failure:
    """Return the failure for a malformed request."""
    return errors.Failure(
        errors.FailureKind.INVALID, errors.Step.READ_REQUEST, '', detail
    )


def not_found(detail: str) -> errors.Failure:
    """Return the failure for an unknown path, service or request."""
    return errors.Failure(
        errors.FailureKind.NOT_FOUND, errors.Step.READ_REQUEST, '', detail
    )
