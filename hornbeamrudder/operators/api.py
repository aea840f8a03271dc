"""Request handlers of the operator API."""

import hmac
from typing import Any, Mapping, Protocol, Sequence

import orjson
from returns import result
from werkzeug import exceptions
from werkzeug import wrappers

from ..core import errors
from ..core import hashing
from ..core import ids
from ..core import types
from ..inventory import problems
from ..inventory import schema
from . import messages

DEFAULT_HISTORY_LIMIT = 50
_BEARER = 'bearer '
_STATUS_BY_KIND = {
    errors.FailureKind.INVALID: 400,
    errors.FailureKind.UNAUTHORIZED: 401,
    errors.FailureKind.NOT_FOUND: 404,
    errors.FailureKind.CONFLICT: 409,
    errors.FailureKind.OVERLOADED: 429,
}
_METHODS_BY_PATH = {
    messages.CONFIGURATION_PATH: ('GET', 'PUT'),
    messages.STATUS_PATH: ('GET',),
    messages.HISTORY_PATH: ('GET',),
    messages.DRAIN_PATH: ('POST',),
}


class Backend(Protocol):
    """Operations of a node that the operator API exposes."""

    def operators(self) -> Sequence[schema.Operator]:
        """Return the authorised operators, including those in the settings."""

    def current(self) -> result.Result[messages.Configuration, errors.Failure]:
        """Return the configuration in force."""

    def apply(self, change: messages.ChangeRequest) -> messages.ChangeResult:
        """Write a change and wait until it is in force everywhere.

        A failure has the outcome NOT_RUN only if nothing was written.
        """

    def status(self) -> Mapping[str, Any]:
        """Return the state of the node and its peers as a JSON object."""

    def history(
        self, limit: int
    ) -> result.Result[messages.History, errors.Failure]:
        """Return the latest versions, newest first."""

    def drain(
        self, operator: ids.OperatorId, host: ids.HostId
    ) -> result.Result[types.HostState, errors.Failure]:
        """Mark a host as leaving on all nodes."""


def handle(request: wrappers.Request, backend: Backend) -> wrappers.Response:
    """Handle one request to the operator API."""
    operator = authenticate(
        request.headers.get('Authorization', ''), backend.operators()
    )
    if operator is None:
        response = _failure_response(
            errors.Failure(
                errors.FailureKind.UNAUTHORIZED,
                errors.Step.AUTHENTICATE,
                '',
                'the operator token is absent or unknown',
            )
        )
        response.headers['WWW-Authenticate'] = 'Bearer'
        return response
    methods = _METHODS_BY_PATH.get(request.path)
    if methods is None:
        return _failure_response(
            _invalid_request('no such path', errors.FailureKind.NOT_FOUND)
        )
    if request.method not in methods:
        response = _failure_response(
            _invalid_request(f'use {" or ".join(methods)}'), 405
        )
        response.headers['Allow'] = ', '.join(methods)
        return response
    match request.method, request.path:
        case 'PUT', _:
            return _put_configuration(request, backend, operator)
        case 'POST', _:
            return _post_drain(request, backend, operator)
        case _, messages.STATUS_PATH:
            return _json_response(200, dict(backend.status()))
        case _, messages.HISTORY_PATH:
            return _get_history(request, backend)
    return _get_configuration(backend)


def authenticate(
    authorization: str, operators: Sequence[schema.Operator]
) -> ids.OperatorId | None:
    """Return the operator that the bearer token identifies, or None.

    The digest is compared with all operators in constant time, to prevent
    timing attacks.
    """
    if not authorization.lower().startswith(_BEARER):
        return None
    token = authorization[len(_BEARER) :].strip()
    digest = hashing.digest(token.encode('utf-8', 'surrogateescape'))
    matching = [
        ids.OperatorId(operator.id)
        for operator in operators
        if hmac.compare_digest(operator.token_sha256, digest)
    ]
    return matching[0] if matching else None


def _get_configuration(backend: Backend) -> wrappers.Response:
    current = backend.current()
    if isinstance(current, result.Failure):
        return _failure_response(current.failure())
    configuration = current.unwrap()
    return _json_response(
        200,
        {
            'version': configuration.version,
            'document': schema.to_json(configuration.document),
        },
    )


def _put_configuration(
    request: wrappers.Request, backend: Backend, operator: ids.OperatorId
) -> wrappers.Response:
    body = _parse_body(request, {'base_version': int, 'document': dict})
    if isinstance(body, wrappers.Response):
        return body
    parsed = schema.parse_document(body['document'])
    if isinstance(parsed, result.Failure):
        return _invalid_document_response(parsed.failure())
    outcome = backend.apply(
        messages.ChangeRequest(
            operator, ids.Version(body['base_version']), parsed.unwrap()
        )
    )
    if isinstance(outcome, result.Failure):
        return _failure_response(outcome.failure())
    match outcome.unwrap():
        case messages.Applied() as applied:
            return _json_response(200, applied.model_dump(mode='json'))
        case messages.Conflict() as conflict:
            return _json_response(409, conflict.model_dump(mode='json'))


def _invalid_document_response(
    document_problems: tuple[problems.Problem, ...],
) -> wrappers.Response:
    failure = _invalid_request(
        '; '.join(str(item) for item in document_problems)
    )
    extensions = {'problems': [item.to_json() for item in document_problems]}
    return _json_response(
        422, messages.problem_details(422, failure, **extensions), True
    )


def _get_history(
    request: wrappers.Request, backend: Backend
) -> wrappers.Response:
    text = request.args.get('limit', str(DEFAULT_HISTORY_LIMIT))
    if not (text.isascii() and text.isdecimal() and len(text) <= 6):
        return _failure_response(
            _invalid_request('limit is not a whole number')
        )
    history = backend.history(min(int(text), messages.MAX_HISTORY_LIMIT))
    if isinstance(history, result.Failure):
        return _failure_response(history.failure())
    return _json_response(200, history.unwrap().model_dump(mode='json'))


def _post_drain(
    request: wrappers.Request, backend: Backend, operator: ids.OperatorId
) -> wrappers.Response:
    body = _parse_body(request, {'host': str})
    if isinstance(body, wrappers.Response):
        return body
    host = ids.HostId(body['host'])
    state = backend.drain(operator, host)
    if isinstance(state, result.Failure):
        return _failure_response(state.failure())
    return _json_response(200, {'host': host, 'state': state.unwrap().value})


def _parse_body(
    request: wrappers.Request, type_by_key: Mapping[str, type]
) -> dict[str, Any] | wrappers.Response:
    request.max_content_length = messages.MAX_DOCUMENT_BYTES
    try:
        value = orjson.loads(request.get_data(cache=False))
    except exceptions.RequestEntityTooLarge:
        detail = f'body is larger than {messages.MAX_DOCUMENT_BYTES} bytes'
        return _failure_response(_invalid_request(detail), 413)
    except exceptions.HTTPException:
        return _failure_response(_invalid_request('body ended early'))
    except orjson.JSONDecodeError as error:
        return _failure_response(
            _invalid_request(f'body is not JSON: {error}')
        )
    if not isinstance(value, dict) or value.keys() != type_by_key.keys():
        expected = ', '.join(type_by_key)
        return _failure_response(
            _invalid_request(f'expected an object with {expected}')
        )
    for key, expected_type in type_by_key.items():
        # isinstance() would accept a boolean as an int.
        if type(value[key]) is not expected_type:
            return _failure_response(
                _invalid_request(f'{key}: expected {expected_type.__name__}')
            )
    return value


def _invalid_request(
    detail: str, kind: errors.FailureKind = errors.FailureKind.INVALID
) -> errors.Failure:
    return errors.Failure(kind, errors.Step.READ_REQUEST, '', detail)


def _failure_response(
    failure: errors.Failure, status: int | None = None
) -> wrappers.Response:
    if status is None:
        status = _STATUS_BY_KIND.get(failure.kind, 503)
    response = _json_response(
        status, messages.problem_details(status, failure), True
    )
    if failure.retry_after_s is not None:
        response.headers['Retry-After'] = f'{failure.retry_after_s:.0f}'
    return response


def _json_response(status: int, value: Any, is_problem: bool = False) -> Any:
    content_type = messages.PROBLEM_TYPE if is_problem else 'application/json'
    return wrappers.Response(
        orjson.dumps(value), status=status, content_type=content_type
    )
