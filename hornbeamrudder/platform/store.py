"""The platform's metadata store: rows with versions and a feed of changes."""

import base64
import binascii
import dataclasses
from typing import Any, Mapping
from urllib import parse

import orjson

from ..core import errors
from ..core import types
from ..gateway import json_calls

CALL_TIMEOUT_S = 1.5
# Added to the time for which a feed call asks the store to wait.
FEED_SLACK_S = 0.7
_OK = 200
_CONFLICT = 412
_HISTORY_GONE = 410


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row; `value` is None where it can't be decoded or is gone."""

    key: str
    value: Any
    version: int
    removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Rows as of one moment, or changes since a version.

    Attributes
    ----------
    version : int
        Newest version of the store, from which a feed goes on.
    steady_ms : float
        Steady clock of the store.
    sent_at, received_at : float
        Times of the call on `clock.now`, in seconds.
    """

    rows: tuple[Row, ...]
    version: int
    steady_ms: float
    sent_at: float
    received_at: float
    has_more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """The feed can't go on from the version asked for."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A condition of a write didn't hold; the rows as they are."""

    rows: tuple[Row, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Expect:
    """A row must have this version; 0 means that it doesn't exist."""

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
    """Calls to the store."""

    def __init__(self, address: types.Address) -> None:
        self.caller = json_calls.JsonCaller(address, errors.Step.READ_TABLE)

    async def read(
        self,
        table: str,
        first: str = '',
        end: str = '',
        limit: int = 500,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Rows | errors.Failure:
        """Read rows with keys from `first` up to `end`, without it."""
        query = {'table': table, 'part': '', 'limit': str(limit)}
        if first:
            query['from'] = first
        if end:
            query['to'] = end
        answer = await self.caller.call(
            'GET', f'/rows-get?{parse.urlencode(query)}', timeout_s=timeout_s
        )
        return self._rows(answer)

    async def read_all(self, table: str) -> Rows | errors.Failure:
        """Read a whole table.

        Where it takes several calls, the version is that of the first, so
        that a feed repeats what changed between them.
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
        """Wait for changes of a table after a version."""
        query = parse.urlencode(
            {'table': table, 'after': after, 'waitMs': int(wait_s * 1e3)}
        )
        answer = await self.caller.call(
            'GET', f'/rows-feed?{query}', timeout_s=wait_s + FEED_SLACK_S
        )
        if (
            isinstance(answer, json_calls.Answer)
            and answer.status == _HISTORY_GONE
        ):
            return HistoryGone()
        return self._rows(answer)

    async def write(
        self,
        changes: tuple[Put | Remove, ...],
        expected: tuple[Expect, ...] = (),
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Rows | Conflict | errors.Failure:
        """Apply all changes, or none where a condition doesn't hold."""
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
        answer = await self.caller.call(
            'POST', '/rows-tx', body, timeout_s=timeout_s
        )
        if (
            isinstance(answer, json_calls.Answer)
            and answer.status == _CONFLICT
        ):
            return Conflict(
                tuple(map(_decode_row, (answer.body or {}).get('rows') or ()))
            )
        return self._rows(answer)

    def _rows(
        self, answer: json_calls.Answer | errors.Failure
    ) -> Rows | errors.Failure:
        if isinstance(answer, errors.Failure):
            return answer
        if answer.status != _OK or not isinstance(answer.body, dict):
            # A refusal by status promises that nothing was done.
            return errors.Failure(
                errors.FailureKind.UNAVAILABLE,
                errors.Step.READ_TABLE,
                str(self.caller.address),
                f'status {answer.status}',
            )
        return Rows(
            rows=tuple(map(_decode_row, answer.body.get('rows') or ())),
            version=int(answer.body.get('ver') or 0),
            steady_ms=float(answer.body.get('nowMs') or 0),
            sent_at=answer.sent_at,
            received_at=answer.received_at,
            has_more=bool(answer.body.get('hasMore')),
        )


def _decode_row(fields: Mapping[str, Any]) -> Row:
    value = None
    removed = bool(fields.get('tombstone'))
    if not removed:
        try:
            value = orjson.loads(base64.b64decode(fields['value']))
        except (KeyError, TypeError, ValueError, binascii.Error):
            # Other writers may leave anything; the reader logs such a row.
            value = None
    return Row(
        str(fields.get('key', '')),
        value,
        int(fields.get('ver') or 0),
        removed,
    )
