"""Stand-ins for the platform's metadata store and its cloud API."""

import asyncio
import base64
import json
import time
from typing import Any
from urllib import parse

from . import wire

MAX_PAGE_ROWS = 500
TRANSACTION_S = 0.005


class Store:
    """Rows in tables, with versions from one counter and a change feed.

    Attributes
    ----------
    is_busy : bool
        Whether all calls get 503, without effect.
    """

    def __init__(self) -> None:
        self.is_busy = False
        self.version = 0
        self.rows: dict[tuple[str, str], tuple[int, str]] = {}
        self.history: list[tuple[int, str, str, str | None]] = []
        self._changed = asyncio.Event()

    async def start(self, ip: str) -> str:
        """Start listening; return the address."""
        server = await asyncio.start_server(self._serve, ip, 0)
        return '%s:%d' % server.sockets[0].getsockname()[:2]

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row for the operator or a worker."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._commit([(table, key, text)])

    def remove(self, table: str, key: str) -> None:
        """Remove a row for the operator or a worker."""
        self._commit([(table, key, None)])

    def _commit(self, changes: list[tuple[str, str, str | None]]) -> None:
        self.version += 1
        for table, key, value in changes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (self.version, value)
            self.history.append((self.version, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while request := await wire.read_request(reader):
                writer.write(await self._answer(request))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, request: wire.Request) -> bytes:
        query = dict(
            parse.parse_qsl(
                request.target.partition('?')[2], keep_blank_values=True
            )
        )
        if self.is_busy:
            return wire.json_response(503, {})
        if request.path == '/rows-get':
            return self._reply(200, self._page(query))
        if request.path == '/rows-feed':
            return await self._feed(query)
        if request.path == '/rows-tx':
            await asyncio.sleep(TRANSACTION_S)
            return self._transact(json.loads(request.body))
        return wire.json_response(404, {})

    def _reply(self, status: int, body: dict[str, Any]) -> bytes:
        return wire.json_response(
            status,
            {
                'ver': self.version,
                'nowMs': time.monotonic() * 1e3,
                **body,
            },
        )

    def _page(self, query: dict[str, str]) -> dict[str, Any]:
        keys = sorted(
            key
            for table, key in self.rows
            if table == query['table']
            and key >= query.get('from', '')
            and (not query.get('to') or key < query['to'])
        )
        limit = min(int(query.get('limit') or MAX_PAGE_ROWS), MAX_PAGE_ROWS)
        return {
            'rows': [self._row(query['table'], key) for key in keys[:limit]],
            'hasMore': len(keys) > limit,
        }

    def _row(self, table: str, key: str) -> dict[str, Any]:
        version, value = self.rows[table, key]
        return {
            'table': table,
            'part': '',
            'key': key,
            'value': value,
            'ver': version,
        }

    async def _feed(self, query: dict[str, str]) -> bytes:
        after = int(query['after'])
        until = time.monotonic() + int(query.get('waitMs') or 0) / 1e3
        while True:
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
            left = until - time.monotonic()
            if rows or left <= 0:
                return self._reply(200, {'rows': rows})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any]) -> bytes:
        expected = body.get('expectedRev') or []
        if any(
            self.rows.get((item['table'], item['key']), (0, ''))[0]
            != item['ver']
            for item in expected
        ):
            return self._reply(
                412,
                {
                    'rows': [
                        self._row(item['table'], item['key'])
                        for item in expected
                        if (item['table'], item['key']) in self.rows
                    ]
                },
            )
        changes = [
            (item['table'], item['key'], item['value'])
            for item in body.get('writes') or []
        ]
        changes += [
            (item['table'], item['key'], None)
            for item in body.get('remove') or []
        ]
        if any(table in ('op', 'servers') for table, _, _ in changes):
            return self._reply(403, {})
        self._commit(changes)
        return self._reply(200, {})


class Cloud:
    """Accepts usage reports and orders of workers."""

    def __init__(self) -> None:
        self.calls: list[dict[str, Any]] = []

    async def start(self, ip: str) -> str:
        """Start listening; return the address."""
        server = await asyncio.start_server(self._serve, ip, 0)
        return '%s:%d' % server.sockets[0].getsockname()[:2]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while request := await wire.read_request(reader):
                self.calls.append(
                    {
                        'at': time.monotonic(),
                        'path': request.path,
                        'holder': request.headers.get(
                            'x-hornbeamrudder-duty-holder'
                        ),
                        'number': request.headers.get(
                            'x-hornbeamrudder-fencing-token'
                        ),
                        'body': json.loads(request.body or b'null'),
                    }
                )
                writer.write(wire.json_response(200, {}))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()
