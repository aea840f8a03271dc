"""Request and response of `GET /v1/load` at backend servers.

The response body is a JSON object with `outstanding_tokens`, `running`,
`waiting` and optionally `lag_s`, `incarnation` and `leaving`.
"""

from typing import Any

import orjson
from returns import result

from ..core import errors
from ..core import ids
from ..core import types
from ..infrastructure import http
from ..infrastructure import json_call
from . import load

TIMEOUT_S = 1.0


def request(worker: types.Worker) -> http.HttpRequest:
    """Build the request for the load report of a worker."""
    return http.HttpRequest(
        'GET',
        str(worker.address),
        '/v1/load',
        errors.Step.ROUTE,
        connect_timeout_s=TIMEOUT_S,
        first_byte_timeout_s=TIMEOUT_S,
        total_timeout_s=TIMEOUT_S,
    )


ParsedReport = tuple[load.LoadReport, ids.Incarnation | None, bool]


def parse(
    response: http.HttpResponse, sent_at: float
) -> result.Result[ParsedReport, errors.Failure]:
    """Parse a load report into load, incarnation and leaving flag.

    Parameters
    ----------
    sent_at : float
        When the report was requested. Less the reported `lag_s`, it is the
        earliest time at which the load can have been sampled.
    """
    try:
        if response.status != 200:
            raise ValueError(f'status {response.status}')
        answer: Any = orjson.loads(response.body)
        reported_incarnation = answer.get('incarnation')
        report = load.LoadReport(
            float(answer['outstanding_tokens']),
            int(answer['running']),
            int(answer['waiting']),
            sent_at - float(answer.get('lag_s', 0.0)),
        )
        incarnation = (
            None
            if reported_incarnation is None
            else ids.Incarnation(int(reported_incarnation))
        )
        leaving = bool(answer.get('leaving', False))
        return result.Success((report, incarnation, leaving))
    except json_call.PARSE_ERRORS as error:
        return result.Failure(
            errors.Failure(
                errors.FailureKind.INVALID, errors.Step.ROUTE, '', repr(error)
            )
        )
