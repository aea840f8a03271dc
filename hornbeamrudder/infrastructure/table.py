"""Client of the transactional table service."""

import dataclasses
from typing import Any, Sequence

import orjson
from returns import result

from ..core import errors
from . import http

TIMEOUT_S = 2.0
# With these statuses the service did not accept the request; after any other
# error a write may still take effect.
KIND_BY_STATUS = {
    429: errors.FailureKind.OVERLOADED,
    503: errors.FailureKind.REFUSED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Row as read; an absent row has version 0 and value None."""

    key: str
    version: int
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Compare-and-set of one row.

    Attributes
    ----------
    expect_version : int
        Version that the row must have; 0 requires that the row is absent.
    value : JSON value or None
        New value; None deletes the row.
    """

    key: str
    expect_version: int
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class PutResult:
    """Result of one `Put`, with the row as it is after the attempt."""

    applied: bool
    row: Row


class TableClient:
    """Table service client; errors are returned as values."""

    def __init__(
        self, client: http.HttpClient, peer: str, timeout_s: float = TIMEOUT_S
    ) -> None:
        self._client = client
        self._peer = peer
        self._timeout_s = timeout_s

    def read(
        self, keys: Sequence[str]
    ) -> result.Result[tuple[Row, ...], errors.Failure]:
        """Read rows, in the order of `keys`."""
        return self._call(
            errors.Step.READ_TABLE, '/v1/read', {'keys': list(keys)}
        ).bind(lambda body: self._parse_rows(body, errors.Step.READ_TABLE))

    def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[tuple[Row, ...], errors.Failure]:
        """Read up to `limit` rows whose key starts with `prefix`.

        Parameters
        ----------
        after : str
            Return only keys greater than this one.
        """
        return self._call(
            errors.Step.READ_TABLE,
            '/v1/scan',
            {'prefix': prefix, 'after': after, 'limit': limit},
        ).bind(lambda body: self._parse_rows(body, errors.Step.READ_TABLE))

    def write(
        self, puts: Sequence[Put]
    ) -> result.Result[tuple[PutResult, ...], errors.Failure]:
        """Apply independent compare-and-sets in one call.

        After TIMEOUT or INTERRUPTED it is unknown whether the write took
        effect; the caller must read the rows back.
        """
        written = self._call(
            errors.Step.WRITE_TABLE,
            '/v1/write',
            {'items': [dataclasses.asdict(put) for put in puts]},
        )
        return written.bind(
            lambda body: self._parse_put_results(body, len(puts))
        )

    def _call(
        self, step: errors.Step, path: str, payload: Any
    ) -> result.Result[Any, errors.Failure]:
        request = http.HttpRequest(
            method='POST',
            peer=self._peer,
            path=path,
            step=step,
            headers=(('Content-Type', 'application/json'),),
            body=orjson.dumps(payload),
            first_byte_timeout_s=self._timeout_s,
            total_timeout_s=self._timeout_s,
            # If libcurl resent a write, the second copy would fail its
            # compare-and-set and be reported as a conflict.
            single_send=step is errors.Step.WRITE_TABLE,
        )
        return self._client.call(request).bind(
            lambda response: self._decode(response, step)
        )

    def _decode(
        self, response: http.HttpResponse, step: errors.Step
    ) -> result.Result[Any, errors.Failure]:
        if response.status != 200:
            kind = KIND_BY_STATUS.get(
                response.status, errors.FailureKind.UNAVAILABLE
            )
            return self._failure(step, kind, f'status {response.status}')
        try:
            return result.Success(orjson.loads(response.body))
        except orjson.JSONDecodeError as error:
            return self._failure(step, errors.FailureKind.INVALID, str(error))

    def _parse_rows(
        self, body: Any, step: errors.Step
    ) -> result.Result[tuple[Row, ...], errors.Failure]:
        try:
            return result.Success(
                tuple(_parse_row(item) for item in body['rows'])
            )
        except (KeyError, TypeError) as error:
            return self._failure(step, errors.FailureKind.INVALID, repr(error))

    def _parse_put_results(
        self, body: Any, expected: int
    ) -> result.Result[tuple[PutResult, ...], errors.Failure]:
        try:
            results = tuple(
                PutResult(bool(item['ok']), _parse_row(item))
                for item in body['results']
            )
        except (KeyError, TypeError) as error:
            return self._failure(
                errors.Step.WRITE_TABLE,
                errors.FailureKind.INVALID,
                repr(error),
            )
        if len(results) != expected:
            return self._failure(
                errors.Step.WRITE_TABLE,
                errors.FailureKind.INVALID,
                f'got {len(results)} results for {expected} items',
            )
        return result.Success(results)

    def _failure(
        self, step: errors.Step, kind: errors.FailureKind, detail: str
    ) -> result.Result[Any, errors.Failure]:
        return result.Failure(errors.Failure(kind, step, self._peer, detail))


def _parse_row(item: Any) -> Row:
    return Row(item['key'], item['version'], item['value'])
