"""Client of the object store: immutable objects named by their digest."""

from urllib import parse as urls

from returns import result

from ..core import errors
from ..core import hashing
from . import http
from . import json_call

TIMEOUT_S = 5.0


class ObjectClient:
    """Calls the object store; errors are returned as values."""

    def __init__(
        self, client: http.HttpClient, peer: str, timeout_s: float = TIMEOUT_S
    ) -> None:
        self._client = client
        self._peer = peer
        self._timeout_s = timeout_s

    def put(self, body: bytes) -> result.Result[str, errors.Failure]:
        """Store an object and return its name, the digest of its content.

        Storing the same content again has no effect, so a call whose
        answer was lost may be repeated.
        """
        name = hashing.digest(body)
        return self.put_named(name, body).map(lambda _: name)

    def get(self, name: str) -> result.Result[bytes, errors.Failure]:
        """Read an object and check its content against its name."""
        sent = self._request('GET', name, errors.Step.READ_OBJECT)
        return self._checked(sent).bind(
            lambda body: self._verified(sent, name, body)
        )

    def put_named(
        self, name: str, body: bytes
    ) -> result.Result[bytes, errors.Failure]:
        """Store an object under a name that no other content has."""
        return self._checked(
            self._request('PUT', name, errors.Step.WRITE_OBJECT, body)
        )

    def get_named(self, name: str) -> result.Result[bytes, errors.Failure]:
        """Read an object whose name is not its digest."""
        return self._checked(
            self._request('GET', name, errors.Step.READ_OBJECT)
        )

    def _request(
        self, method: str, name: str, step: errors.Step, body: bytes = b''
    ) -> http.HttpRequest:
        return http.HttpRequest(
            method=method,
            peer=self._peer,
            path=f'/v1/objects/{urls.quote(name, safe="")}',
            step=step,
            headers=(('Content-Type', 'application/octet-stream'),),
            body=body,
            first_byte_timeout_s=self._timeout_s,
            total_timeout_s=self._timeout_s,
        )

    def _checked(
        self, sent: http.HttpRequest
    ) -> result.Result[bytes, errors.Failure]:
        def check(
            response: http.HttpResponse,
        ) -> result.Result[bytes, errors.Failure]:
            if response.status in (200, 201):
                return result.Success(response.body)
            kind = json_call.KINDS_BY_STATUS.get(
                response.status, errors.FailureKind.UNAVAILABLE
            )
            return result.Failure(
                json_call.failure(sent, kind, f'status {response.status}')
            )

        return self._client.call(sent).bind(check)

    def _verified(
        self, sent: http.HttpRequest, name: str, body: bytes
    ) -> result.Result[bytes, errors.Failure]:
        if hashing.digest(body) == name:
            return result.Success(body)
        return result.Failure(
            json_call.failure(
                sent, errors.FailureKind.INVALID, 'digest does not match'
            )
        )


class NamedObjects:
    """Reads and writes objects under names that the writer makes."""

    def __init__(self, client: http.HttpClient, peer: str) -> None:
        self._objects = ObjectClient(client, peer)

    def get(self, name: str) -> result.Result[bytes, errors.Failure]:
        """Read an object; the caller checks its content."""
        return self._objects.get_named(name)

    def put(
        self, name: str, body: bytes
    ) -> result.Result[bytes, errors.Failure]:
        """Write an object."""
        return self._objects.put_named(name, body)
