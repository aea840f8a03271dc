"""The WSGI application of a node."""

import dataclasses
import random
import socket
import ssl
import threading
import time
from typing import Any, Callable, Iterable, Mapping, Protocol

from returns import result
import structlog
import werkzeug
from werkzeug import exceptions
from werkzeug import routing

from . import accounts
from ..answers import generation
from ..answers import service as answers_service
from . import chat
from . import chat_request
from ..core import errors
from ..core import ids
from ..core import types
from ..inventory import schema
from . import problems
from . import server
from . import service_calls
from ..telemetry import metrics as node_metrics
from ..telemetry import traces

log = structlog.get_logger()

URLS = routing.Map(
    [
        routing.Rule('/healthz', endpoint='health', methods=['GET']),
        routing.Rule('/readyz', endpoint='ready', methods=['GET']),
        routing.Rule('/metrics', endpoint='metrics', methods=['GET']),
        routing.Rule(
            '/v1/chat/completions', endpoint='chat', methods=['POST']
        ),
        routing.Rule(
            '/v1/requests/<request_id>', endpoint='resume', methods=['GET']
        ),
        routing.Rule('/v1/services/<name>/', endpoint='service'),
        routing.Rule('/v1/services/<name>/<path:rest>', endpoint='service'),
    ],
    merge_slashes=False,
)


class Configuration(Protocol):
    """What the application needs of the configuration in force."""

    def document(self) -> schema.Document:
        """Return the document in force."""

    def may_admit(self) -> bool:
        """Whether this node may admit new requests now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """The parts of a node that the application calls."""

    node_id: ids.NodeId
    configuration: Configuration
    answers: answers_service.AnswerService
    service_calls: service_calls.ServiceCaller
    metrics: node_metrics.NodeMetrics
    tracer: traces.Tracer
    rng: random.Random
    body_bytes: int


class Application:
    """Dispatches requests of callers; no input raises out of it."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._ready = False
        self._open_requests = 0
        self._lock = threading.Lock()
        self._handlers_by_endpoint: Mapping[
            str, Callable[..., werkzeug.Response]
        ] = {
            'health': self._health,
            'ready': self._readiness,
            'metrics': self._metrics,
            'chat': self._chat,
            'resume': self._resume,
            'service': self._service,
        }

    @property
    def open_requests(self) -> int:
        """Requests whose response has not been closed."""
        return self._open_requests

    def set_ready(self, ready: bool) -> None:
        """Set what `/readyz` tells the balancer."""
        self._ready = ready

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request (WSGI)."""
        with self._lock:
            self._open_requests += 1
        request = werkzeug.Request(environ)
        request.max_content_length = self._parts.body_bytes
        response = self._respond(request, environ)
        response.call_on_close(self._closed)
        return response(environ, start_response)

    def _closed(self) -> None:
        with self._lock:
            self._open_requests -= 1

    def _respond(
        self, request: werkzeug.Request, environ: dict[str, Any]
    ) -> werkzeug.Response:
        try:
            endpoint, arguments = URLS.bind_to_environ(environ).match()
            return self._handlers_by_endpoint[endpoint](request, **arguments)
        except exceptions.NotFound:
            return problems.to_response(
                problems.not_found(f'no such path: {request.path[:200]!r}')
            )
        except exceptions.HTTPException as error:
            return self._http_error(error)
        except Exception:
            log.exception('request failed by an internal error')
            return problems.to_response(
                errors.Failure(
                    errors.FailureKind.INTERRUPTED,
                    errors.Step.READ_REQUEST,
                    '',
                    'internal error',
                    types.Outcome.UNKNOWN,
                )
            )

    def _http_error(
        self, error: exceptions.HTTPException
    ) -> werkzeug.Response:
        response = problems.to_response(
            problems.invalid(error.description or error.name)
        )
        response.status_code = error.code or 400
        return response

    def _health(self, request: werkzeug.Request) -> werkzeug.Response:
        return werkzeug.Response('ok\n')

    def _readiness(self, request: werkzeug.Request) -> werkzeug.Response:
        ready = self._ready and self._parts.configuration.may_admit()
        return werkzeug.Response(
            'ready\n' if ready else 'not ready\n', 200 if ready else 503
        )

    def _metrics(self, request: werkzeug.Request) -> werkzeug.Response:
        body, headers = self._parts.metrics.render(
            request.headers.getlist('Accept')
        )
        return werkzeug.Response(body, headers=headers)

    def _chat(self, request: werkzeug.Request) -> werkzeug.Response:
        document = self._parts.configuration.document()
        account = accounts.authenticate(
            document, request.headers.get('Authorization', '')
        )
        match account:
            case result.Failure(failure):
                return self._refuse(failure)
            case result.Success(found):
                return self._chat_of(request, document, found)
        raise AssertionError(account)

    def _chat_of(
        self,
        request: werkzeug.Request,
        document: schema.Document,
        account: types.Account,
    ) -> werkzeug.Response:
        last_event_id = request.headers.get('Last-Event-ID')
        if last_event_id:
            return self._resume_from(request, account, last_event_id)
        match chat_request.parse(document, request.get_data()):
            case result.Failure(failure):
                return self._refuse(failure)
            case result.Success(parsed):
                return self._generate(request, document, account, parsed)
        raise AssertionError

    def _generate(
        self,
        request: werkzeug.Request,
        document: schema.Document,
        account: types.Account,
        parsed: chat_request.ChatRequest,
    ) -> werkzeug.Response:
        refusal = self._refusal()
        if refusal is not None:
            return self._refuse(refusal)
        rule = schema.rank_of(
            document, account.id, parsed.service.name, 'POST', request.path
        )
        request_id = ids.new_request_id(self._parts.node_id, self._parts.rng)
        with self._parts.tracer.span(
            'generate',
            request.headers.get('traceparent', ''),
            request_id=request_id,
            service=parsed.service.name,
        ) as traceparent:
            item = self._parts.answers.create(
                generation.GenerationRequest(
                    id=request_id,
                    account=account.id,
                    service=parsed.service.name,
                    rank=rule.rank,
                    body=parsed.body,
                    prompt_key=parsed.prompt_key,
                    max_tokens=parsed.max_tokens,
                    deadline=time.monotonic() + rule.deadline_s,
                    traceparent=traceparent,
                )
            )
            item.run_first_attempt()
        if parsed.stream:
            return chat.stream_response(
                self._parts.answers, item, 0, _direct_connection(request)
            )
        return chat.whole_response(self._parts.answers, item)

    def _resume(
        self, request: werkzeug.Request, request_id: str
    ) -> werkzeug.Response:
        document = self._parts.configuration.document()
        account = accounts.authenticate(
            document, request.headers.get('Authorization', '')
        )
        match account:
            case result.Failure(failure):
                return self._refuse(failure)
            case result.Success(found):
                point = request.headers.get('Last-Event-ID', f'{request_id}:')
                if point == f'{request_id}:':
                    return self._resume_at(
                        request, found, chat.ResumePoint(request_id, 0)
                    )
                return self._resume_from(request, found, point)
        raise AssertionError(account)

    def _resume_from(
        self,
        request: werkzeug.Request,
        account: types.Account,
        last_event_id: str,
    ) -> werkzeug.Response:
        point = chat.parse_last_event_id(last_event_id)
        if point is None:
            return self._refuse(problems.invalid('Last-Event-ID is malformed'))
        return self._resume_at(request, account, point)

    def _resume_at(
        self,
        request: werkzeug.Request,
        account: types.Account,
        point: chat.ResumePoint,
    ) -> werkzeug.Response:
        item = self._parts.answers.find(
            ids.RequestId(point.request_id), account.id
        )
        if item is None:
            return self._refuse(
                problems.not_found('no answer is kept for this request id')
            )
        return chat.stream_response(
            self._parts.answers,
            item,
            point.next_offset,
            _direct_connection(request),
        )

    def _service(
        self, request: werkzeug.Request, name: str, rest: str = ''
    ) -> werkzeug.Response:
        document = self._parts.configuration.document()
        account = accounts.authenticate(
            document, request.headers.get('Authorization', '')
        )
        match account:
            case result.Failure(failure):
                return self._refuse(failure)
            case result.Success(found):
                refusal = self._refusal()
                if refusal is not None:
                    return self._refuse(refusal)
                return self._call_service(request, document, found, name, rest)
        raise AssertionError(account)

    def _call_service(
        self,
        request: werkzeug.Request,
        document: schema.Document,
        account: types.Account,
        name: str,
        rest: str,
    ) -> werkzeug.Response:
        match chat_request.service_named(document, name):
            case result.Failure(failure):
                return self._refuse(failure)
            case result.Success(service):
                request_id = ids.new_request_id(
                    self._parts.node_id, self._parts.rng
                )
                with self._parts.tracer.span(
                    'call service',
                    request.headers.get('traceparent', ''),
                    request_id=request_id,
                    service=service.name,
                ) as traceparent:
                    return self._parts.service_calls.call(
                        service_calls.IncomingCall(
                            request_id=request_id,
                            account=account.id,
                            service=service.name,
                            method=request.method,
                            path=_path_with_query('/' + rest, request),
                            headers=tuple(request.headers.items()),
                            body=request.get_data(),
                            idempotency_key=request.headers.get(
                                'Idempotency-Key', ''
                            ),
                            traceparent=traceparent,
                        ),
                        document,
                    )
        raise AssertionError

    def _refusal(self) -> errors.Failure | None:
        if self._parts.configuration.may_admit():
            return None
        return errors.Failure(
            errors.FailureKind.UNAVAILABLE,
            errors.Step.ADMIT,
            '',
            'this node cannot confirm that its configuration is in force',
            retry_after_s=1.0,
        )

    def _refuse(self, failure: errors.Failure) -> werkzeug.Response:
        self._parts.metrics.refusals.inc(
            {'step': failure.step.value, 'kind': failure.kind.value}
        )
        return problems.to_response(failure)


def _path_with_query(path: str, request: werkzeug.Request) -> str:
    query = request.query_string.decode('latin-1')
    quoted = werkzeug.urls.iri_to_uri(path)
    return f'{quoted}?{query}' if query else quoted


def _direct_connection(request: werkzeug.Request) -> socket.socket | None:
    connection = request.environ.get(server.CONNECTION_KEY)
    plain = isinstance(connection, socket.socket) and not isinstance(
        connection, ssl.SSLSocket
    )
    if plain and request.environ['SERVER_PROTOCOL'] == 'HTTP/1.1':
        return connection
    return None
