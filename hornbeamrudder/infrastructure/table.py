"""Client of the transactional table service."""

import dataclasses
from typing import Any, Sequence

import orjson
from returns import result

from ..core import errors
from . import http

TIMEOUT_S = 2.0
# With these answers the service did not take the request; after any other
# error a write may still take effect.
KINDS_BY_STATUS = {
    429: errors.FailureKind.OVERLOADED,
    503: errors.FailureKind.REFUSED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as read; version 0 and value None mean that it is absent."""

    key: str
    version: int
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A compare-and-set of one row.

    Attributes
    ----------
    expect_version : int
        Version that the row must have; 0 for an absent row.
    value : JSON value or None
        New value; None deletes the row.
    """

    key: str
    expect_version: int
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class PutResult:
    """Answer for one `Put`: the row as it is after the attempt."""

    applied: bool
    row: Row


class TableClient:
    """Calls the table service; errors are returned as values."""

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
        ).bind(lambda answer: self._rows(answer, errors.Step.READ_TABLE))

    def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[tuple[Row, ...], errors.Failure]:
        """Read up to `limit` rows whose key starts with `prefix`.

        Parameters
        ----------
        after : str
            Return only keys that sort after this one.
        """
        return self._call(
            errors.Step.READ_TABLE,
            '/v1/scan',
            {'prefix': prefix, 'after': after, 'limit': limit},
        ).bind(lambda answer: self._rows(answer, errors.Step.READ_TABLE))

    def write(
        self, puts: Sequence[Put]
    ) -> result.Result[tuple[PutResult, ...], errors.Failure]:
        """Apply independent compare-and-sets as one write.

        A failure of kind TIMEOUT or INTERRUPTED leaves open whether the
        write took effect; the caller has to read the rows back.
        """
        answer = self._call(
            errors.Step.WRITE_TABLE,
            '/v1/write',
            {'items': [dataclasses.asdict(put) for put in puts]},
        )
        return answer.bind(lambda value: self._put_results(value, len(puts)))

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
            # A write that libcurl sends twice would fail its own
            # compare-and-set and look like a conflict.
            single_send=step is errors.Step.WRITE_TABLE,
        )
        return self._client.call(request).bind(
            lambda response: self._decode(response, step)
        )

    def _decode(
        self, response: http.HttpResponse, step: errors.Step
    ) -> result.Result[Any, errors.Failure]:
        if response.status != 200:
            kind = KINDS_BY_STATUS.get(
                response.status, errors.FailureKind.UNAVAILABLE
            )
            return self._failed(step, kind, f'status {response.status}')
        try:
            return result.Success(orjson.loads(response.body))
        except orjson.JSONDecodeError as error:
            return self._failed(step, errors.FailureKind.INVALID, str(error))

    def _rows(
        self, answer: Any, step: errors.Step
    ) -> result.Result[tuple[Row, ...], errors.Failure]:
        try:
            return result.Success(tuple(_row(item) for item in answer['rows']))
        except (KeyError, TypeError) as error:
            return self._failed(step, errors.FailureKind.INVALID, repr(error))

    def _put_results(
        self, answer: Any, expected: int
    ) -> result.Result[tuple[PutResult, ...], errors.Failure]:
        try:
            results = tuple(
                PutResult(bool(item['ok']), _row(item))
                for item in answer['results']
            )
        except (KeyError, TypeError) as error:
            return self._failed(
                errors.Step.WRITE_TABLE,
                errors.FailureKind.INVALID,
                repr(error),
            )
        if len(results) != expected:
            return self._failed(
                errors.Step.WRITE_TABLE,
                errors.FailureKind.INVALID,
                f'{len(results)} results for {expected} items',
            )
        return result.Success(results)

    def _failed(
        self, step: errors.Step, kind: errors.FailureKind, detail: str
    ) -> result.Result[Any, errors.Failure]:
        return result.Failure(errors.Failure(kind, step, self._peer, detail))


def _row(item: Any) -> Row:
    return Row(item['key'], item['version'], item['value'])
