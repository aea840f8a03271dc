"""Stand-in of the users' metadata store: rows, transactions, a feed.

Written from the published pages of the platform. Faults are set from outside
through `faults`.
"""

import asyncio
import base64
import dataclasses
import time
from typing import Any
from urllib import parse

import orjson

from ..gateway import http_server

# A page holds at most this many rows.
PAGE_ROWS = 500


@dataclasses.dataclass(slots=True)
class Faults:
    """What the store does wrong from now on.

    Attributes
    ----------
    refuses_with : int or None
        Status with which every call is refused.
    silent : bool
        Whether calls get no answer at all.
    loses_answers : bool
        Whether writes are carried out and their connection is cut.
    """

    refuses_with: int | None = None
    silent: bool = False
    loses_answers: bool = False


class RowStore:
    """Rows in memory, with versions from one counter."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.version = 0
        self.rows: dict[tuple[str, str], tuple[int, str]] = {}
        self.history: list[tuple[int, str, str, str | None]] = []
        self.dropped_before = 0
        self.calls = 0
        self._changed = asyncio.Event()
        self._server = http_server.CallerServer(self._handle)

    async def start(self, ip: str, port: int = 0) -> int:
        """Listen; returns the port."""
        listener = await asyncio.get_running_loop().create_server(
            self._server.make_connection, ip, port
        )
        bound: int = listener.sockets[0].getsockname()[1]
        return bound

    def put(self, table: str, key: str, value: Any) -> int:
        """Write a row directly, as the operator or a server does."""
        encoded = base64.b64encode(orjson.dumps(value)).decode()
        return self._commit([(table, key, encoded)])

    def remove(self, table: str, key: str) -> int:
        """Remove a row directly."""
        return self._commit([(table, key, None)])

    def read(self, table: str, key: str) -> Any:
        """Value of a row; None where there is none."""
        row = self.rows.get((table, key))
        return None if row is None else orjson.loads(base64.b64decode(row[1]))

    def drop_history(self) -> None:
        """Forget all changes so far."""
        self.dropped_before = self.version

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
        self, request: http_server.CallerRequest, reply: http_server.Reply
    ) -> None:
        self.calls += 1
        if self.faults.silent:
            await asyncio.Event().wait()
        if self.faults.refuses_with is not None:
            reply.send(self.faults.refuses_with, (), b'')
            return
        path, _, text = request.target.decode().partition('?')
        query = dict(parse.parse_qsl(text, keep_blank_values=True))
        match path:
            case '/rows-get':
                self._answer(reply, 200, self._page(query))
            case '/rows-feed':
                await self._feed(query, reply)
            case '/rows-tx':
                self._transact(orjson.loads(request.body), reply)
            case _:
                reply.send(404, (), b'')

    def _answer(
        self, reply: http_server.Reply, status: int, body: dict[str, Any]
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
        limit = int(query.get('limit') or PAGE_ROWS)
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
        self, query: dict[str, str], reply: http_server.Reply
    ) -> None:
        after = int(query['after'])
        until = time.monotonic() + int(query.get('waitMs') or 0) / 1e3
        while True:
            if after < self.dropped_before:
                self._answer(reply, 410, {})
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
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                self._answer(reply, 200, {'rows': rows})
                return
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(
        self, body: dict[str, Any], reply: http_server.Reply
    ) -> None:
        unmet = [
            item
            for item in body.get('expectedRev') or ()
            if self.rows.get((item['table'], item['key']), (0, ''))[0]
            != item['ver']
        ]
        if unmet:
            self._answer(
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
        if self.faults.loses_answers:
            reply.abort()
            return
        self._answer(reply, 200, {})
