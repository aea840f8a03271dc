"""Client of the object store.

Objects are immutable and are named by the SHA-256 digest of their content or
by a name that the writer chooses.
"""

from urllib import parse as urls

from returns import result

from ..core import errors
from ..core import hashing
from . import http
from . import json_call

TIMEOUT_S = 5.0


class ObjectClient:
    """Object store client; errors are returned as values."""

    def __init__(
        self, client: http.HttpClient, peer: str, timeout_s: float = TIMEOUT_S
    ) -> None:
        self._client = client
        self._peer = peer
        self._timeout_s = timeout_s

    def put(self, body: bytes) -> result.Result[str, errors.Failure]:
        """Store an object under its SHA-256 digest and return that name.

        The call is idempotent, so it may be retried after its response was
        lost.
        """
        name = hashing.digest(body)
        return self.put_named(name, body).map(lambda _: name)

    def get(self, name: str) -> result.Result[bytes, errors.Failure]:
        """Read an object and verify its content against its name."""
        request = self._request('GET', name, errors.Step.READ_OBJECT)
        return self._call(request).bind(
            lambda body: self._verify_digest(request, name, body)
        )

    def put_named(
        self, name: str, body: bytes
    ) -> result.Result[bytes, errors.Failure]:
        """Store an object under a name not used for any other content."""
        return self._call(
            self._request('PUT', name, errors.Step.WRITE_OBJECT, body)
        )

    def get_named(self, name: str) -> result.Result[bytes, errors.Failure]:
        """Read an object whose name is not the digest of its content."""
        return self._call(self._request('GET', name, errors.Step.READ_OBJECT))

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

    def _call(
        self, request: http.HttpRequest
    ) -> result.Result[bytes, errors.Failure]:
        def check(
            response: http.HttpResponse,
        ) -> result.Result[bytes, errors.Failure]:
            if response.status in (200, 201):
                return result.Success(response.body)
            kind = json_call.KIND_BY_STATUS.get(
                response.status, errors.FailureKind.UNAVAILABLE
            )
            return result.Failure(
                json_call.failure(request, kind, f'status {response.status}')
            )

        return self._client.call(request).bind(check)

    def _verify_digest(
        self, request: http.HttpRequest, name: str, body: bytes
    ) -> result.Result[bytes, errors.Failure]:
        if hashing.digest(body) == name:
            return result.Success(body)
        return result.Failure(
            json_call.failure(
                request,
                errors.FailureKind.INVALID,
                'SHA-256 of the content does not match the object name',
            )
        )


class NamedObjects:
    """Reads and writes objects under names chosen by the writer."""

    def __init__(self, client: http.HttpClient, peer: str) -> None:
        self._objects = ObjectClient(client, peer)

    def get(self, name: str) -> result.Result[bytes, errors.Failure]:
        """Read an object; the caller must verify its content."""
        return self._objects.get_named(name)

    def put(
        self, name: str, body: bytes
    ) -> result.Result[bytes, errors.Failure]:
        """Store an object under `name`."""
        return self._objects.put_named(name, body)
