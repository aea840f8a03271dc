"""Stand-in for the platform's metadata store: rows, transactions, feed.

It implements the published API of the platform. Tests inject faults by
setting `RowStore.faults`.
"""

import asyncio
import base64
import dataclasses
import time
from typing import Any
from urllib import parse

import orjson

from ..gateway import http_server

MAX_PAGE_ROWS = 500


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that apply to all following calls.

    Attributes
    ----------
    error_status : int or None
        HTTP status that is returned for every call, without effect.
    unresponsive : bool
        Whether calls are accepted but never receive a response.
    drops_write_responses : bool
        Whether transactions are committed but the connection is closed
        before the response.
    """

    error_status: int | None = None
    unresponsive: bool = False
    drops_write_responses: bool = False


class RowStore:
    """In-memory rows with versions from a single counter.

    Attributes
    ----------
    compacted_version : int
        The feed answers with 410 for positions below this version.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.version = 0
        self.rows: dict[tuple[str, str], tuple[int, str]] = {}
        self.history: list[tuple[int, str, str, str | None]] = []
        self.compacted_version = 0
        self.calls = 0
        self._changed = asyncio.Event()
        self._server = http_server.CallerServer(self._handle)

    async def start(self, ip: str, port: int = 0) -> int:
        """Start listening and return the port."""
        listener = await asyncio.get_running_loop().create_server(
            self._server.make_connection, ip, port
        )
        bound_port: int = listener.sockets[0].getsockname()[1]
        return bound_port

    def put(self, table: str, key: str, value: Any) -> int:
        """Write a row without an HTTP call, on behalf of another client."""
        return self.put_raw(table, key, orjson.dumps(value))

    def put_raw(self, table: str, key: str, value: bytes) -> int:
        """Write a row whose value need not be JSON."""
        return self._commit([(table, key, base64.b64encode(value).decode())])

    def remove(self, table: str, key: str) -> int:
        """Remove a row without an HTTP call."""
        return self._commit([(table, key, None)])

    def read(self, table: str, key: str) -> Any:
        """Return the value of a row, or None if it does not exist."""
        row = self.rows.get((table, key))
        return None if row is None else orjson.loads(base64.b64decode(row[1]))

    def drop_history(self) -> None:
        """Make the changes so far unavailable in the feed."""
        self.compacted_version = self.version

    def _commit(self, changes: list[tuple[str, str, str | None]]) -> int:
        self.version += 1
        for table, key, value in changes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (self.version, value)
            self.history.append((self.version, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    async def _handle(
        self,
        request: http_server.CallerRequest,
        reply: http_server.ResponseWriter,
    ) -> None:
        self.calls += 1
        if self.faults.unresponsive:
            await asyncio.Event().wait()
        if self.faults.error_status is not None:
            reply.send(self.faults.error_status, (), b'')
            return
        path, _, query_text = request.target.decode().partition('?')
        query = dict(parse.parse_qsl(query_text, keep_blank_values=True))
        match path:
            case '/rows-get':
                self._respond(reply, 200, self._page(query))
            case '/rows-feed':
                await self._feed(query, reply)
            case '/rows-tx':
                self._transact(orjson.loads(request.body.joined()), reply)
            case _:
                reply.send(404, (), b'')

    def _respond(
        self,
        reply: http_server.ResponseWriter,
        status: int,
        body: dict[str, Any],
    ) -> None:
        body.setdefault('ver', self.version)
        body['nowMs'] = time.monotonic() * 1e3
        reply.send(status, (), orjson.dumps(body))

    def _page(self, query: dict[str, str]) -> dict[str, Any]:
        keys = sorted(
            key
            for table, key in self.rows
            if table == query['table']
            and key >= query.get('from', '')
            and (not query.get('to') or key < query['to'])
        )
        limit = int(query.get('limit') or MAX_PAGE_ROWS)
        return {
            'rows': [self._row(query['table'], key) for key in keys[:limit]],
            'hasMore': len(keys) > limit,
        }

    def _row(self, table: str, key: str) -> dict[str, Any]:
        version, value = self.rows.get((table, key), (0, ''))
        return {
            'table': table,
            'part': '',
            'key': key,
            'value': value,
            'ver': version,
        }

    async def _feed(
        self, query: dict[str, str], reply: http_server.ResponseWriter
    ) -> None:
        after = int(query['after'])
        deadline = time.monotonic() + int(query.get('waitMs') or 0) / 1e3
        while True:
            if after < self.compacted_version:
                self._respond(reply, 410, {})
                return
            rows = [
                {
                    'table': table,
                    'part': '',
                    'key': key,
                    'ver': version,
                    **(
                        {'tombstone': True}
                        if value is None
                        else {'value': value}
                    ),
                }
                for version, table, key, value in self.history
                if version > after and table == query['table']
            ]
            remaining_s = deadline - time.monotonic()
            if rows or remaining_s <= 0:
                self._respond(reply, 200, {'rows': rows})
                return
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                continue

    def _transact(
        self, body: dict[str, Any], reply: http_server.ResponseWriter
    ) -> None:
        conflicts = [
            item
            for item in body.get('expectedRev') or ()
            if self.rows.get((item['table'], item['key']), (0, ''))[0]
            != item['ver']
        ]
        if conflicts:
            self._respond(
                reply,
                412,
                {
                    'rows': [
                        self._row(item['table'], item['key'])
                        for item in body['expectedRev']
                        if (item['table'], item['key']) in self.rows
                    ]
                },
            )
            return
        self._commit(
            [
                (item['table'], item['key'], item['value'])
                for item in body.get('writes') or ()
            ]
            + [
                (item['table'], item['key'], None)
                for item in body.get('remove') or ()
            ]
        )
        if self.faults.drops_write_responses:
            reply.abort()
            return
        self._respond(reply, 200, {})
