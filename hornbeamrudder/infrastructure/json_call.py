"""JSON calls to the platform's services, with errors as values."""

from typing import Any, Callable, Mapping, TypeVar

import orjson
from returns import result

from ..core import errors
from . import http

Value = TypeVar('Value')

# What conversions of unexpected JSON values raise; int() of an infinite
# number raises an ArithmeticError.
PARSE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)

KINDS_BY_STATUS: Mapping[int, errors.FailureKind] = {
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

    Calls other than GET use a connection of their own, since libcurl sends
    a request again when a reused connection closes without an answer.
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
    sent: http.HttpRequest,
    parse: Callable[[Any], Value],
) -> result.Result[Value, errors.Failure]:
    """Turn a response into a value; any other status is a failure.

    Parameters
    ----------
    parse : callable
        Makes the value of the decoded JSON; the errors in `PARSE_ERRORS`
        mean that the answer is invalid.
    """
    if response.status not in (200, 201):
        kind = KINDS_BY_STATUS.get(
            response.status, errors.FailureKind.UNAVAILABLE
        )
        return result.Failure(failure(sent, kind, f'status {response.status}'))
    try:
        return result.Success(parse(orjson.loads(response.body)))
    except PARSE_ERRORS as error:
        return result.Failure(
            failure(sent, errors.FailureKind.INVALID, repr(error))
        )


def call(
    client: http.HttpClient,
    sent: http.HttpRequest,
    parse: Callable[[Any], Value],
) -> result.Result[Value, errors.Failure]:
    """Send a request and wait for the parsed answer."""
    return client.call(sent).bind(
        lambda response: decode(response, sent, parse)
    )


def failure(
    sent: http.HttpRequest, kind: errors.FailureKind, detail: str
) -> errors.Failure:
    """Describe a failed call."""
    return errors.Failure(kind, sent.step, sent.peer, detail)
