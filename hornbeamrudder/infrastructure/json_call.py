"""JSON calls over HTTP; errors are returned as values."""

from typing import Any, Callable, Mapping, TypeVar

import orjson
from returns import result

from ..core import errors
from . import http

Value = TypeVar('Value')

# Exceptions raised when parsing unexpected JSON values; int() raises an
# ArithmeticError for infinity.
PARSE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)

KIND_BY_STATUS: Mapping[int, errors.FailureKind] = {
    400: errors.FailureKind.INVALID,
    404: errors.FailureKind.NOT_FOUND,
    409: errors.FailureKind.REFUSED,
    429: errors.FailureKind.OVERLOADED,
}


def request(
    method: str,
    peer: str,
    path: str,
    step: errors.Step,
    timeout_s: float,
    body: Any = None,
) -> http.HttpRequest:
    """Build a request with a JSON body.

    Calls other than GET use a separate connection, because libcurl resends a
    request when a reused connection closes without a response.
    """
    return http.HttpRequest(
        method=method,
        peer=peer,
        path=path,
        step=step,
        headers=(('Content-Type', 'application/json'),),
        body=b'' if body is None else orjson.dumps(body),
        first_byte_timeout_s=timeout_s,
        total_timeout_s=timeout_s,
        single_send=method != 'GET',
    )


def decode(
    response: http.HttpResponse,
    http_request: http.HttpRequest,
    parse: Callable[[Any], Value],
) -> result.Result[Value, errors.Failure]:
    """Parse the body of a response; a status other than 200 or 201 fails.

    Parameters
    ----------
    parse : callable
        Converts the decoded JSON; any of `PARSE_ERRORS` marks the response
        as invalid.
    """
    if response.status not in (200, 201):
        kind = KIND_BY_STATUS.get(
            response.status, errors.FailureKind.UNAVAILABLE
        )
        return result.Failure(
            failure(http_request, kind, f'status {response.status}')
        )
    try:
        return result.Success(parse(orjson.loads(response.body)))
    except PARSE_ERRORS as error:
        return result.Failure(
            failure(http_request, errors.FailureKind.INVALID, repr(error))
        )


def call(
    client: http.HttpClient,
    http_request: http.HttpRequest,
    parse: Callable[[Any], Value],
) -> result.Result[Value, errors.Failure]:
    """Send a request and wait for the parsed response."""
    return client.call(http_request).bind(
        lambda response: decode(response, http_request, parse)
    )


def failure(
    http_request: http.HttpRequest, kind: errors.FailureKind, detail: str
) -> errors.Failure:
    """Return the Failure of a call, with its step and peer."""
    return errors.Failure(kind, http_request.step, http_request.peer, detail)
