"""Calls of plain services on behalf of callers."""

import dataclasses
import time

from returns import result
import werkzeug

from ..backends import client as backends_client
from ..core import errors
from ..core import ids
from ..core import types
from ..inventory import schema
from ..platform import http
from . import pool
from . import problems

MAX_ATTEMPTS = 3
PASSED_RESPONSE_HEADERS = (
    'content-type',
    'content-language',
    'etag',
    'last-modified',
    'location',
    'cache-control',
)


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingCall:
    """A caller's request for a plain service."""

    request_id: ids.RequestId
    account: ids.AccountId
    service: ids.ServiceName
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotency_key: str
    traceparent: str


class ServiceCaller:
    """Calls plain services; idempotent calls are retried elsewhere."""

    def __init__(
        self, client: http.HttpClient, workers: pool.NodeWorkerPool
    ) -> None:
        self._client = client
        self._workers = workers

    def call(
        self, incoming: IncomingCall, document: schema.Document
    ) -> werkzeug.Response:
        """Answer one call."""
        rule = schema.rank_of(
            document,
            incoming.account,
            incoming.service,
            incoming.method,
            incoming.path,
        )
        deadline = time.monotonic() + rule.deadline_s
        idempotent = schema.is_idempotent(
            document, incoming.service, incoming.method, incoming.path
        )
        match self._attempt_until(incoming, idempotent, deadline):
            case result.Success(response):
                return _to_response(response, incoming.request_id)
            case result.Failure(failure):
                return problems.to_response(failure, incoming.request_id)
        raise AssertionError

    def _attempt_until(
        self, incoming: IncomingCall, idempotent: bool, deadline: float
    ) -> http.HttpResult:
        failed: frozenset[ids.WorkerId] = frozenset()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            match self._workers.choose_for(incoming.service, failed):
                case result.Failure(failure):
                    return result.Failure(failure)
                case result.Success(worker):
                    answer = self._send(
                        worker, incoming, attempt, idempotent, deadline
                    )
            match answer:
                case result.Success():
                    return answer
                case result.Failure(failure):
                    failed |= {worker.id}
                    repeatable = (
                        idempotent or failure.outcome is types.Outcome.NOT_RUN
                    )
                    if not repeatable or time.monotonic() >= deadline:
                        return answer
        return answer

    def _send(
        self,
        worker: types.Worker,
        incoming: IncomingCall,
        attempt: int,
        idempotent: bool,
        deadline: float,
    ) -> http.HttpResult:
        try:
            answer = self._client.call(
                backends_client.service_request(
                    worker,
                    backends_client.ServiceCall(
                        request_id=incoming.request_id,
                        attempt=attempt,
                        method=incoming.method,
                        path=incoming.path,
                        body=incoming.body,
                        headers=incoming.headers,
                        idempotent=idempotent,
                        timeout_s=max(0.1, deadline - time.monotonic()),
                        idempotency_key=incoming.idempotency_key,
                        traceparent=incoming.traceparent,
                    ),
                )
            )
        finally:
            self._workers.release(worker)
        return answer.alt(_with_outcome)


def _with_outcome(failure: errors.Failure) -> errors.Failure:
    """Only a connection that was never made proves that nothing ran."""
    sent = failure.kind is not errors.FailureKind.NOT_CONNECTED
    return dataclasses.replace(
        failure,
        outcome=types.Outcome.UNKNOWN if sent else types.Outcome.NOT_RUN,
    )


def _to_response(
    response: http.HttpResponse, request_id: ids.RequestId
) -> werkzeug.Response:
    headers = {
        name: response.headers_by_name[name]
        for name in PASSED_RESPONSE_HEADERS
        if name in response.headers_by_name
    }
    headers['X-Request-Id'] = request_id
    return werkzeug.Response(response.body, response.status, headers=headers)
