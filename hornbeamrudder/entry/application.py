"""The WSGI application of a node."""

import dataclasses
import random
import threading
import time
from typing import Any, Callable, Iterable, Mapping
import urllib.parse

from returns import result
import structlog
import werkzeug
from werkzeug import exceptions
from werkzeug import routing

from . import accounts
from . import chat
from . import chat_calls
from . import chat_request
from ..core import errors
from ..core import ids
from ..core import types
from . import gate as gates
from ..inventory import schema
from . import node_configuration
from ..operators import api
from ..operators import messages as operator_messages
from . import problems
from . import service_calls
from ..telemetry import metrics as node_metrics

log = structlog.get_logger()

URL_MAP = routing.Map(
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
        routing.Rule('/v1/operator/<path:rest>', endpoint='operator'),
    ],
    merge_slashes=False,
)
EVENT_STREAM = 'text/event-stream'
RETRY_AFTER_S = 1.0
# `Idempotency-Attempt` value with which a caller declares that it has not used
# its `Idempotency-Key` before.
FIRST_ATTEMPT = '1'
# The key is stored in the order record and hashed into its row name.
MAX_IDEMPOTENCY_KEY_CHARACTERS = 256
# The settings limit the size of the headers; their number is limited too,
# because each one costs a string and a pass through the forwarding filter.
MAX_HEADERS = 100

Handler = Callable[..., werkzeug.Response]


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Components of a node that the application uses.

    Attributes
    ----------
    update_gauges : callable
        Called before the metrics are rendered.
    """

    node_id: ids.NodeId
    configuration: node_configuration.NodeConfiguration
    chat: chat_calls.ChatHandler
    service_calls: service_calls.ServiceCallHandler
    operators: api.Backend
    gate: gates.Gate
    metrics: node_metrics.NodeMetrics
    rng: random.Random
    body_bytes: int
    update_gauges: Callable[[], None]


class Application:
    """WSGI application; no request raises an exception out of it."""

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies
        self._ready = False
        self._refuses_new = False
        self._open_requests = 0
        self._lock = threading.Lock()
        self._handlers_by_endpoint: Mapping[str, Handler] = {
            'health': self._health,
            'ready': self._readiness,
            'metrics': self._metrics,
            'chat': self._chat,
            'resume': self._resume,
            'service': self._service,
            'operator': self._operator,
        }

    @property
    def open_requests(self) -> int:
        """Number of requests whose response has not been closed."""
        return self._open_requests

    @property
    def ready(self) -> bool:
        """Whether the node accepts new requests, as reported by `/readyz`."""
        return self._ready and self._dependencies.configuration.may_admit()

    def set_ready(self, ready: bool) -> None:
        """Set the readiness reported to the load balancer by `/readyz`."""
        self._ready = ready

    def refuse_new(self) -> None:
        """Refuse new requests from now on, because the node is leaving."""
        self._refuses_new = True

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        with self._lock:
            self._open_requests += 1
        request = werkzeug.Request(environ)
        request.max_content_length = min(
            self._dependencies.body_bytes,
            self._dependencies.gate.max_body_bytes(),
        )
        response = self._respond(request, environ)
        response.call_on_close(self._on_response_closed)
        if self._refuses_new:
            response.headers['Connection'] = 'close'
        return response(environ, start_response)

    def _on_response_closed(self) -> None:
        with self._lock:
            self._open_requests -= 1

    def _respond(
        self, request: werkzeug.Request, environ: dict[str, Any]
    ) -> werkzeug.Response:
        limit_failure = _check_header_limits(request)
        if limit_failure is not None:
            return self._refuse(limit_failure)
        try:
            endpoint, arguments = URL_MAP.bind_to_environ(environ).match()
            return self._handlers_by_endpoint[endpoint](request, **arguments)
        except exceptions.NotFound:
            return problems.to_response(
                problems.not_found(f'no such path: {request.path[:200]!r}')
            )
        except exceptions.HTTPException as error:
            return _http_error(error)
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

    def _health(self, request: werkzeug.Request) -> werkzeug.Response:
        return werkzeug.Response('ok\n')

    def _readiness(self, request: werkzeug.Request) -> werkzeug.Response:
        ready = self.ready
        return werkzeug.Response(
            'ready\n' if ready else 'not ready\n', 200 if ready else 503
        )

    def _metrics(self, request: werkzeug.Request) -> werkzeug.Response:
        self._dependencies.update_gauges()
        body, headers = self._dependencies.metrics.render(
            request.headers.getlist('Accept')
        )
        return werkzeug.Response(body, headers=headers)

    def _operator(
        self, request: werkzeug.Request, rest: str
    ) -> werkzeug.Response:
        request.max_content_length = operator_messages.MAX_DOCUMENT_BYTES
        return api.handle(request, self._dependencies.operators)

    def _chat(self, request: werkzeug.Request) -> werkzeug.Response:
        document = self._dependencies.configuration.document()
        account = _authenticate(request, document)
        if isinstance(account, errors.Failure):
            return self._refuse(account)
        last_event_id = request.headers.get('Last-Event-ID')
        if last_event_id:
            return self._resume_from(request, account, last_event_id)
        prepared = self._dependencies.chat.prepare(request, document, account)
        if isinstance(prepared, result.Failure):
            return self._refuse(prepared.failure())
        accepted = prepared.unwrap()
        return self._run_admitted(
            accepted.rank,
            lambda: self._dependencies.chat.complete(request, accepted),
        )

    def _resume(
        self, request: werkzeug.Request, request_id: str
    ) -> werkzeug.Response:
        document = self._dependencies.configuration.document()
        account = _authenticate(request, document)
        if isinstance(account, errors.Failure):
            return self._refuse(account)
        last_event_id = request.headers.get('Last-Event-ID')
        if last_event_id:
            return self._resume_from(request, account, last_event_id)
        return self._dependencies.chat.resume(
            request,
            account,
            chat.ResumePoint(request_id, 0),
            EVENT_STREAM in request.headers.get('Accept', ''),
        )

    def _resume_from(
        self,
        request: werkzeug.Request,
        account: types.Account,
        last_event_id: str,
    ) -> werkzeug.Response:
        point = chat.parse_last_event_id(last_event_id)
        if point is None:
            return self._refuse(problems.invalid('Last-Event-ID is malformed'))
        return self._dependencies.chat.resume(request, account, point, True)

    def _service(
        self, request: werkzeug.Request, name: str, rest: str = ''
    ) -> werkzeug.Response:
        document = self._dependencies.configuration.document()
        account = _authenticate(request, document)
        if isinstance(account, errors.Failure):
            return self._refuse(account)
        service = chat_request.find_plain_service(document, name)
        if isinstance(service, result.Failure):
            return self._refuse(service.failure())
        path = _path_with_query('/' + rest, request)
        rule = schema.find_rank_rule(
            document, account.id, service.unwrap().name, request.method, path
        )
        rank = max(rule.rank, chat_request.requested_rank(request.headers))
        key = request.headers.get('Idempotency-Key', '')
        idempotent = schema.is_idempotent(
            document, service.unwrap().name, request.method, path
        )
        incoming = service_calls.IncomingCall(
            request_id=ids.new_request_id(
                self._dependencies.node_id, self._dependencies.rng
            ),
            account=account.id,
            service=service.unwrap().name,
            rank=rank,
            method=request.method,
            path=path,
            headers=tuple(request.headers.items()),
            body=request.get_data(),
            deadline=time.monotonic() + rule.deadline_s,
            idempotency_key=key,
            traceparent=request.headers.get('traceparent', ''),
            idempotent=idempotent,
            maybe_repeated=bool(key)
            and not idempotent
            and request.headers.get('Idempotency-Attempt') != FIRST_ATTEMPT,
        )
        return self._run_admitted(
            rank,
            lambda: self._dependencies.service_calls.call(incoming),
            incoming.maybe_repeated,
        )

    def _run_admitted(
        self,
        rank: types.Rank,
        run: Callable[[], werkzeug.Response],
        maybe_repeated: bool = False,
    ) -> werkzeug.Response:
        """Run a request if this node may admit it and has a free thread.

        Parameters
        ----------
        maybe_repeated : bool
            Whether the request may repeat an earlier order.
        """
        refusal: errors.Failure | None
        if (
            self._refuses_new
            or not self._dependencies.configuration.may_admit()
        ):
            refusal = _not_admitting(self._refuses_new)
        else:
            refusal = self._dependencies.gate.acquire_thread(rank)
        if refusal is not None:
            if maybe_repeated:
                refusal = problems.for_possible_repeat(refusal)
            return self._refuse(refusal)
        try:
            response = run()
        except Exception:
            self._dependencies.gate.release_thread(rank)
            raise
        response.call_on_close(
            lambda: self._dependencies.gate.release_thread(rank)
        )
        return response

    def _refuse(self, failure: errors.Failure) -> werkzeug.Response:
        self._dependencies.metrics.refusals.inc(
            {'step': failure.step.value, 'kind': failure.kind.value}
        )
        return problems.to_response(failure)


def _authenticate(
    request: werkzeug.Request, document: schema.Document
) -> types.Account | errors.Failure:
    found = accounts.authenticate(
        document, request.headers.get('Authorization', '')
    )
    if isinstance(found, result.Failure):
        return found.failure()
    return found.unwrap()


def _check_header_limits(request: werkzeug.Request) -> errors.Failure | None:
    headers = sum(name.startswith('HTTP_') for name in request.environ)
    if headers > MAX_HEADERS:
        return problems.invalid(
            f'{headers} headers, the limit is {MAX_HEADERS}'
        )
    if (
        len(request.headers.get('Idempotency-Key', ''))
        > MAX_IDEMPOTENCY_KEY_CHARACTERS
    ):
        return problems.invalid(
            'Idempotency-Key is over'
            f' {MAX_IDEMPOTENCY_KEY_CHARACTERS} characters'
        )
    return None


def _http_error(error: exceptions.HTTPException) -> werkzeug.Response:
    response = problems.to_response(
        problems.invalid(error.description or error.name)
    )
    response.status_code = error.code or 400
    return response


def _not_admitting(leaving: bool) -> errors.Failure:
    reason = (
        'this node is leaving'
        if leaving
        else 'this node cannot confirm that its configuration is in force'
    )
    return errors.Failure(
        errors.FailureKind.UNAVAILABLE,
        errors.Step.ADMIT,
        '',
        reason,
        retry_after_s=RETRY_AFTER_S,
    )


def _path_with_query(path: str, request: werkzeug.Request) -> str:
    query = request.query_string.decode('latin-1')
    quoted = urllib.parse.quote(path, safe="/:@!$&'()*+,;=~")
    return f'{quoted}?{query}' if query else quoted
