"""Builds HTTP requests to backend servers."""

import dataclasses

import orjson

from ..core import errors
from ..core import ids
from ..core import types
from ..infrastructure import http

FIRST_TOKEN_TIMEOUT_S = 10.0
BETWEEN_TOKENS_TIMEOUT_S = 2.0
CONTROL_TIMEOUT_S = 1.0
NOT_FORWARDED_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'proxy-authorization',
        'proxy-authenticate',
        'host',
        'content-length',
        'authorization',
        'expect',
        'cookie',
        'idempotency-key',
        'traceparent',
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCall:
    """Parameters of one attempt to run a request at a model engine.

    Attributes
    ----------
    resume_offset : int
        Number of tokens already generated for this request.
    traceparent : str
        W3C trace context, '' for none.
    """

    request_id: ids.RequestId
    attempt: int
    body: bytes
    rank: types.Rank
    resume_offset: int = 0
    traceparent: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """Parameters of one attempt to call a plain service."""

    request_id: ids.RequestId
    attempt: int
    method: str
    path: str
    body: bytes
    headers: tuple[tuple[str, str], ...]
    idempotent: bool
    timeout_s: float
    idempotency_key: str = ''
    traceparent: str = ''


def engine_request(worker: types.Worker, call: EngineCall) -> http.HttpRequest:
    """Build the streaming chat completion request of one attempt."""
    headers = (
        ('Content-Type', 'application/json'),
        ('X-Request-Id', call.request_id),
        ('X-Attempt', str(call.attempt)),
        ('X-Priority', str(int(call.rank))),
        ('X-Resume-Offset', str(call.resume_offset)),
    )
    return http.HttpRequest(
        method='POST',
        peer=str(worker.address),
        path='/v1/chat/completions',
        step=errors.Step.READ_ANSWER,
        headers=headers + _trace_headers(call.traceparent),
        body=call.body,
        first_byte_timeout_s=FIRST_TOKEN_TIMEOUT_S,
        between_bytes_timeout_s=BETWEEN_TOKENS_TIMEOUT_S,
    )


def service_request(
    worker: types.Worker, call: ServiceCall
) -> http.HttpRequest:
    """Build the request of one attempt.

    A non-idempotent request is never resent by the HTTP client.
    """
    forwarded = forwarded_headers(call.headers)
    attempt_headers = (
        ('X-Request-Id', call.request_id),
        ('X-Attempt', str(call.attempt)),
        ('Idempotency-Key', call.idempotency_key or call.request_id),
    )
    return http.HttpRequest(
        method=call.method,
        peer=str(worker.address),
        path=call.path,
        step=errors.Step.DISPATCH,
        headers=forwarded + attempt_headers + _trace_headers(call.traceparent),
        body=call.body,
        single_send=not call.idempotent,
        first_byte_timeout_s=call.timeout_s,
        between_bytes_timeout_s=min(
            call.timeout_s, http.BETWEEN_BYTES_TIMEOUT_S
        ),
        total_timeout_s=call.timeout_s,
    )


def forwarded_headers(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Return the caller's headers that are forwarded unchanged."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in NOT_FORWARDED_HEADERS
        and not name.lower().startswith('x-')
    )


def cancel_request(
    worker: types.Worker, request_id: ids.RequestId, attempt: int
) -> http.HttpRequest:
    """Build the request to cancel an attempt at a model engine."""
    return control_request(
        worker,
        '/v1/cancel',
        orjson.dumps({'request_id': request_id, 'attempt': attempt}),
    )


def control_request(
    worker: types.Worker, path: str, body: bytes
) -> http.HttpRequest:
    """Build a control request to a model engine."""
    return http.HttpRequest(
        method='POST',
        peer=str(worker.address),
        path=path,
        step=errors.Step.ORDER_ENGINE,
        body=body,
        first_byte_timeout_s=CONTROL_TIMEOUT_S,
        total_timeout_s=CONTROL_TIMEOUT_S,
    )


def _trace_headers(traceparent: str) -> tuple[tuple[str, str], ...]:
    return (('traceparent', traceparent),) if traceparent else ()
