"""Message `GET /v1/load` of backend servers.

The answer is a JSON object with `outstanding_tokens`, `running`, `waiting`
and optionally `lag_s`, `incarnation` and `leaving`.
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
    """Build the request for a worker's load."""
    return http.HttpRequest(
        'GET',
        str(worker.address),
        '/v1/load',
        errors.Step.ROUTE,
        connect_timeout_s=TIMEOUT_S,
        first_byte_timeout_s=TIMEOUT_S,
        total_timeout_s=TIMEOUT_S,
    )


LoadParts = tuple[load.LoadReport, ids.Incarnation | None, bool]


def parse(
    response: http.HttpResponse, sent_at: float
) -> result.Result[LoadParts, errors.Failure]:
    """Read a load report: the load, the incarnation, whether it leaves.

    Parameters
    ----------
    sent_at : float
        When the report was asked for; with the stated `lag_s` it gives the
        earliest time at which the figures were true.
    """
    try:
        if response.status != 200:
            raise ValueError(f'status {response.status}')
        answer: Any = orjson.loads(response.body)
        stated = answer.get('incarnation')
        report = load.LoadReport(
            float(answer['outstanding_tokens']),
            int(answer['running']),
            int(answer['waiting']),
            sent_at - float(answer.get('lag_s', 0.0)),
        )
        incarnation = None if stated is None else ids.Incarnation(int(stated))
        leaving = bool(answer.get('leaving', False))
        return result.Success((report, incarnation, leaving))
    except json_call.PARSE_ERRORS as error:
        return result.Failure(
            errors.Failure(
                errors.FailureKind.INVALID, errors.Step.ROUTE, '', repr(error)
            )
        )
