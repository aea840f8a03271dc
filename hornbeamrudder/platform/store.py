"""Client of the platform's metadata store: versioned rows and change feeds."""

import base64
import binascii
import dataclasses
from typing import Any, Mapping
from urllib import parse

import orjson

from ..core import errors
from ..core import types
from ..gateway import json_client

CALL_TIMEOUT_S = 1.5
# Margin of a feed call's time-out over the wait requested from the store.
FEED_TIMEOUT_MARGIN_S = 0.7
_OK = 200
_PRECONDITION_FAILED = 412
_GONE = 410


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Row of a table; `value` is None if removed or not decodable."""

    key: str
    value: Any
    version: int
    removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Result of a store call: a snapshot of rows, or changes since a version.

    Attributes
    ----------
    version : int
        Latest version of the store; a feed can be continued from it.
    store_clock_ms : float
        The store's monotonic clock, in milliseconds.
    sent_at, received_at : float
        Local times of the request and the response, from `clock.now`, in
        seconds.
    """

    rows: tuple[Row, ...]
    version: int
    store_clock_ms: float
    sent_at: float
    received_at: float
    has_more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer has the changes after the requested version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A precondition of a write failed; contains the current rows."""

    rows: tuple[Row, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Expect:
    """Precondition on the version of a row; 0 requires that it is absent."""

    table: str
    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Write one row."""

    table: str
    key: str
    value: Mapping[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Remove:
    """Remove one row."""

    table: str
    key: str


class Store:
    """Store client; errors are returned as values."""

    def __init__(self, address: types.Address) -> None:
        self.caller = json_client.JsonClient(address, errors.Step.READ_TABLE)

    async def read(
        self,
        table: str,
        first: str = '',
        end: str = '',
        limit: int = 500,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Rows | errors.Failure:
        """Read the rows with keys in the range [`first`, `end`).

        An empty bound leaves that side of the range open.
        """
        query = {'table': table, 'part': '', 'limit': str(limit)}
        if first:
            query['from'] = first
        if end:
            query['to'] = end
        response = await self.caller.call(
            'GET', f'/rows-get?{parse.urlencode(query)}', timeout_s=timeout_s
        )
        return self._decode_rows(response)

    async def read_all(self, table: str) -> Rows | errors.Failure:
        """Read a whole table.

        If several pages are needed, the returned version is that of the
        first page, so that a feed started from it includes changes made while
        the other pages were read.
        """
        first = await self.read(table)
        if isinstance(first, errors.Failure) or not first.has_more:
            return first
        rows = list(first.rows)
        has_more = True
        while has_more:
            page = await self.read(table, first=rows[-1].key + '\x00')
            if isinstance(page, errors.Failure):
                return page
            rows.extend(page.rows)
            has_more = page.has_more and bool(page.rows)
        return dataclasses.replace(first, rows=tuple(rows), has_more=False)

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Rows | HistoryGone | errors.Failure:
        """Wait up to `wait_s` for changes of a table after a version."""
        query = parse.urlencode(
            {'table': table, 'after': after, 'waitMs': int(wait_s * 1e3)}
        )
        response = await self.caller.call(
            'GET',
            f'/rows-feed?{query}',
            timeout_s=wait_s + FEED_TIMEOUT_MARGIN_S,
        )
        if (
            isinstance(response, json_client.JsonResponse)
            and response.status == _GONE
        ):
            return HistoryGone()
        return self._decode_rows(response)

    async def write(
        self,
        changes: tuple[Put | Remove, ...],
        expected: tuple[Expect, ...] = (),
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Rows | Conflict | errors.Failure:
        """Apply all changes atomically if all preconditions hold."""
        body = {
            'expectedRev': [
                {
                    'table': item.table,
                    'part': '',
                    'key': item.key,
                    'ver': item.version,
                }
                for item in expected
            ],
            'writes': [
                {
                    'table': item.table,
                    'part': '',
                    'key': item.key,
                    'value': base64.b64encode(
                        orjson.dumps(item.value)
                    ).decode(),
                }
                for item in changes
                if isinstance(item, Put)
            ],
            'remove': [
                {'table': item.table, 'part': '', 'key': item.key}
                for item in changes
                if isinstance(item, Remove)
            ],
        }
        response = await self.caller.call(
            'POST', '/rows-tx', body, timeout_s=timeout_s
        )
        if (
            isinstance(response, json_client.JsonResponse)
            and response.status == _PRECONDITION_FAILED
        ):
            return Conflict(
                tuple(
                    map(_decode_row, (response.body or {}).get('rows') or ())
                )
            )
        return self._decode_rows(response)

    def _decode_rows(
        self, response: json_client.JsonResponse | errors.Failure
    ) -> Rows | errors.Failure:
        if isinstance(response, errors.Failure):
            return response
        if response.status != _OK or not isinstance(response.body, dict):
            # An error status guarantees that no change was applied, hence the
            # default outcome NOT_RUN.
            return errors.Failure(
                errors.FailureKind.UNAVAILABLE,
                errors.Step.READ_TABLE,
                str(self.caller.address),
                f'status {response.status}',
            )
        return Rows(
            rows=tuple(map(_decode_row, response.body.get('rows') or ())),
            version=int(response.body.get('ver') or 0),
            store_clock_ms=float(response.body.get('nowMs') or 0),
            sent_at=response.sent_at,
            received_at=response.received_at,
            has_more=bool(response.body.get('hasMore')),
        )


def _decode_row(fields: Mapping[str, Any]) -> Row:
    value = None
    removed = bool(fields.get('tombstone'))
    if not removed:
        try:
            value = orjson.loads(base64.b64decode(fields['value']))
        except (KeyError, TypeError, ValueError, binascii.Error):
            # Rows written by other programs may hold arbitrary data; the
            # caller logs a row without a value.
            value = None
    return Row(
        str(fields.get('key', '')),
        value,
        int(fields.get('ver') or 0),
        removed,
    )
