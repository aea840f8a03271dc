"""HTTP client of the operator API."""

import dataclasses
import pathlib
import re
from typing import Any, Sequence, TypeVar

import orjson
import pydantic
from returns import result

from ..core import errors
from ..core import ids
from ..core import types
from ..infrastructure import http
from ..inventory import schema

from . import messages

READ_TIMEOUT_S = 10.0
# A node responds once the change is in force or its own wait has timed out.
# The design requires that a change is in force within 6 s.
APPLY_TIMEOUT_S = 45.0
MAX_TOKEN_BYTES = 4096
# Other characters, such as a line break, would allow header injection.
_TOKEN = re.compile(r'[A-Za-z0-9._~+/=-]+')
_STEP = errors.Step.PUBLISH_CONFIGURATION
_KIND_BY_STATUS = {
    401: errors.FailureKind.UNAUTHORIZED,
    403: errors.FailureKind.UNAUTHORIZED,
    404: errors.FailureKind.NOT_FOUND,
    409: errors.FailureKind.CONFLICT,
    429: errors.FailureKind.OVERLOADED,
}
_UNKNOWN_OUTCOME_KINDS = (
    errors.FailureKind.TIMEOUT,
    errors.FailureKind.INTERRUPTED,
)

ModelType = TypeVar('ModelType', bound=messages.Message)
ResponseResult = result.Result[http.HttpResponse, errors.Failure]


class OperatorClient:
    """Calls the operator API of the first reachable node.

    Parameters
    ----------
    peers : sequence of str
        `ip:port` of nodes, tried in this order.
    """

    def __init__(
        self,
        client: http.HttpClient,
        peers: Sequence[str],
        token: str,
        scheme: str = 'http',
        apply_timeout_s: float = APPLY_TIMEOUT_S,
    ) -> None:
        self._client = client
        self._peers = tuple(peers)
        self._token = token
        self._scheme = scheme
        self._apply_timeout_s = apply_timeout_s

    def configuration(
        self,
    ) -> result.Result[messages.Configuration, errors.Failure]:
        """Read the configuration in force and its version."""
        return self._read(messages.CONFIGURATION_PATH).bind(
            _parse_configuration_response
        )

    def apply(
        self, base_version: ids.Version, document: schema.Document
    ) -> messages.ChangeResult:
        """Send a change and wait until it is in force.

        After a failure with the outcome UNKNOWN, the change may have been
        written.
        """
        call_result = self._write(
            'PUT',
            messages.CONFIGURATION_PATH,
            {
                'base_version': base_version,
                'document': schema.to_json(document),
            },
            self._apply_timeout_s,
        )
        return call_result.bind(_parse_change_result)

    def status(self) -> result.Result[dict[str, Any], errors.Failure]:
        """Read the state of a node and its peers."""
        return self._read(messages.STATUS_PATH).bind(_parse_object)

    def history(
        self, limit: int
    ) -> result.Result[messages.History, errors.Failure]:
        """Read the latest versions, newest first."""
        path = f'{messages.HISTORY_PATH}?limit={limit}'
        return self._read(path).bind(
            lambda response: _parse_model(messages.History, response)
        )

    def drain(
        self, host: ids.HostId
    ) -> result.Result[messages.DrainResult, errors.Failure]:
        """Mark a host as leaving."""
        call_result = self._write(
            'POST', messages.DRAIN_PATH, {'host': host}, READ_TIMEOUT_S
        )
        return call_result.bind(
            lambda response: _parse_model(messages.DrainResult, response)
        )

    def _read(self, path: str) -> ResponseResult:
        return self._call('GET', path, b'', READ_TIMEOUT_S)

    def _write(
        self, method: str, path: str, value: Any, timeout_s: float
    ) -> ResponseResult:
        return self._call(method, path, orjson.dumps(value), timeout_s)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> ResponseResult:
        failures: list[errors.Failure] = []
        for peer in self._peers:
            call_result = self._call_peer(method, peer, path, body, timeout_s)
            if not isinstance(call_result, result.Failure):
                return call_result
            failures.append(call_result.failure())
            if not _may_try_next(method, failures[-1]):
                break
        return result.Failure(_combine_failures(failures))

    def _call_peer(
        self, method: str, peer: str, path: str, body: bytes, timeout_s: float
    ) -> ResponseResult:
        request = http.HttpRequest(
            method=method,
            peer=peer,
            path=path,
            step=_STEP,
            headers=(
                ('Authorization', f'Bearer {self._token}'),
                ('Content-Type', 'application/json'),
            ),
            body=body,
            single_send=method != 'GET',
            first_byte_timeout_s=timeout_s,
            total_timeout_s=timeout_s + http.CONNECT_TIMEOUT_S,
            scheme=self._scheme,
        )
        call_result = self._client.call(request)
        if isinstance(call_result, result.Failure):
            failure = call_result.failure()
            if method != 'GET' and failure.kind in _UNKNOWN_OUTCOME_KINDS:
                failure = dataclasses.replace(
                    failure, outcome=types.Outcome.UNKNOWN
                )
            return result.Failure(failure)
        response = call_result.unwrap()
        if response.status == 200 or (method, response.status) == ('PUT', 409):
            return call_result
        return result.Failure(_parse_problem(response, peer))


def read_token(path: pathlib.Path) -> result.Result[str, errors.Failure]:
    """Read a bearer token from a file."""
    try:
        if not path.is_file():
            return _invalid_token(f'{path} is absent or not a regular file')
        with path.open('rb') as stream:
            content = stream.read(MAX_TOKEN_BYTES + 1)
    except (OSError, ValueError) as error:
        return _invalid_token(f'{path} cannot be read: {error}')
    token = content.decode('latin-1').strip()
    if len(content) > MAX_TOKEN_BYTES or not _TOKEN.fullmatch(token):
        return _invalid_token(f'{path} does not contain a bearer token')
    return result.Success(token)


def _invalid_token(detail: str) -> result.Result[str, errors.Failure]:
    return result.Failure(
        errors.Failure(
            errors.FailureKind.UNAUTHORIZED,
            errors.Step.AUTHENTICATE,
            '',
            detail,
        )
    )


def _may_try_next(method: str, failure: errors.Failure) -> bool:
    match failure.kind:
        case errors.FailureKind.NOT_CONNECTED:
            return True
        case (
            errors.FailureKind.UNAVAILABLE
            | errors.FailureKind.TIMEOUT
            | errors.FailureKind.INTERRUPTED
        ):
            # A write that may have run is not sent to another node, where it
            # would conflict with itself.
            return method == 'GET' or failure.outcome is types.Outcome.NOT_RUN
    return False


def _combine_failures(failures: list[errors.Failure]) -> errors.Failure:
    if not failures:
        return errors.Failure(
            errors.FailureKind.NOT_CONNECTED,
            _STEP,
            '',
            'no node address is given',
        )
    last = failures[-1]
    if len(failures) == 1:
        return last
    earlier = '; '.join(
        f'{failure.peer}: {failure.detail}' for failure in failures[:-1]
    )
    return dataclasses.replace(
        last, detail=f'{last.detail}; earlier failures: {earlier}'
    )


def _parse_problem(response: http.HttpResponse, peer: str) -> errors.Failure:
    kind = _KIND_BY_STATUS.get(response.status)
    if kind is None:
        kind = (
            errors.FailureKind.INVALID
            if 400 <= response.status < 500
            else errors.FailureKind.UNAVAILABLE
        )
    try:
        value = orjson.loads(response.body)
    except orjson.JSONDecodeError:
        value = None
    fields = value if isinstance(value, dict) else {}
    detail = fields.get('detail')
    # A server error without problem details may follow a write.
    outcome = (
        types.Outcome.NOT_RUN
        if response.status < 500
        else types.Outcome.UNKNOWN
    )
    try:
        outcome = types.Outcome(fields.get('outcome', outcome))
    except ValueError:
        pass
    if not isinstance(detail, str):
        detail = f'status {response.status}'
    return errors.Failure(kind, _STEP, peer, detail, outcome)


def _invalid_response(detail: str) -> errors.Failure:
    return errors.Failure(
        errors.FailureKind.UNAVAILABLE,
        _STEP,
        '',
        f'invalid response from the node: {detail}',
        types.Outcome.UNKNOWN,
    )


def _parse_object(
    response: http.HttpResponse,
) -> result.Result[dict[str, Any], errors.Failure]:
    try:
        value = orjson.loads(response.body)
    except orjson.JSONDecodeError as error:
        return result.Failure(_invalid_response(str(error)))
    if not isinstance(value, dict):
        return result.Failure(_invalid_response('not a JSON object'))
    return result.Success(value)


def _parse_model(
    model: type[ModelType], response: http.HttpResponse
) -> result.Result[ModelType, errors.Failure]:
    try:
        return result.Success(model.model_validate_json(response.body))
    except pydantic.ValidationError as error:
        validation_errors = '; '.join(
            f'{item["loc"]}: {item["msg"]}' for item in error.errors()
        )
        return result.Failure(_invalid_response(validation_errors))


def _parse_change_result(response: http.HttpResponse) -> messages.ChangeResult:
    if response.status == 409:
        return _parse_model(messages.Conflict, response)
    return _parse_model(messages.Applied, response)


def _parse_configuration_response(
    response: http.HttpResponse,
) -> result.Result[messages.Configuration, errors.Failure]:
    return _parse_object(response).bind(_parse_configuration)


def _parse_configuration(
    value: dict[str, Any],
) -> result.Result[messages.Configuration, errors.Failure]:
    version = value.get('version')
    if type(version) is not int:
        return result.Failure(_invalid_response('version is missing'))
    parsed = schema.parse_document(value.get('document'))
    if isinstance(parsed, result.Failure):
        validation_errors = '; '.join(str(item) for item in parsed.failure())
        return result.Failure(_invalid_response(validation_errors))
    return result.Success(
        messages.Configuration(ids.Version(version), parsed.unwrap())
    )
