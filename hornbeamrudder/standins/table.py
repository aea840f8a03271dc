"""Stand-in for the transactional table service."""

import dataclasses
import threading
import time
from typing import Any

import orjson
import werkzeug

from . import server

MAX_ITEMS_PER_WRITE = 100
ROWS_PER_READ_UNIT = 100
DEFAULT_SCAN_LIMIT = 1000


class Settings(server.ListenSettings):
    """Settings of the table service stand-in; rates are per second."""

    threads: int = 32
    writes_per_s: float = 400
    reads_per_s: float = 2000
    latency_s: float = 0.002


class TokenBucket:
    """Token bucket with a burst size of one second."""

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._updated_at = time.monotonic()

    def try_acquire(self, count: int) -> bool:
        """Take `count` tokens if available, otherwise none."""
        now = time.monotonic()
        refill = (now - self._updated_at) * self._rate_per_s
        self._tokens = min(self._rate_per_s, self._tokens + refill)
        self._updated_at = now
        if self._tokens < count:
            return False
        self._tokens -= count
        return True


@dataclasses.dataclass(slots=True)
class StoredRow:
    """A row; its version is kept after deletion so that it is not reused."""

    version: int
    value: Any


class Table:
    """In-memory rows with compare-and-set; thread-safe."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._rows_by_key: dict[str, StoredRow] = {}
        self._write_bucket = TokenBucket(settings.writes_per_s)
        self._read_bucket = TokenBucket(settings.reads_per_s)
        self.counts_by_name = {
            'writes': 0,
            'items': 0,
            'reads': 0,
            'refused': 0,
        }

    def write(self, items: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Apply each item independently; the batch counts as one write."""
        with self._lock:
            self.counts_by_name['writes'] += 1
            self.counts_by_name['items'] += len(items)
            return [self._compare_and_set(item) for item in items]

    def read(self, keys: list[str]) -> list[dict[str, Any]]:
        """Read rows by key."""
        with self._lock:
            return [self._row(key) for key in keys]

    def scan(
        self, prefix: str, after: str, limit: int
    ) -> list[dict[str, Any]]:
        """Read existing rows by key prefix, in key order."""
        with self._lock:
            keys = sorted(
                key
                for key, row in self._rows_by_key.items()
                if key.startswith(prefix)
                and key > after
                and row.value is not None
            )
            return [self._row(key) for key in keys[:limit]]

    def acquire_write(self) -> bool:
        """Take one write from the rate limit; return whether it is allowed."""
        return self._acquire(self._write_bucket, 1, 'writes')

    def acquire_reads(self, units: int) -> bool:
        """Take reads from the rate limit; return whether they are allowed."""
        return self._acquire(self._read_bucket, units, 'reads')

    def _acquire(self, bucket: TokenBucket, units: int, name: str) -> bool:
        with self._lock:
            acquired = bucket.try_acquire(units)
            if not acquired:
                self.counts_by_name['refused'] += 1
            elif name == 'reads':
                self.counts_by_name['reads'] += units
            return acquired

    def _compare_and_set(self, item: dict[str, Any]) -> dict[str, Any]:
        key = item['key']
        row = self._rows_by_key.get(key)
        current = 0 if row is None or row.value is None else row.version
        applied = current == item['expect_version']
        if applied:
            last_version = 0 if row is None else row.version
            self._rows_by_key[key] = StoredRow(last_version + 1, item['value'])
        return {'ok': applied, **self._row(key)}

    def _row(self, key: str) -> dict[str, Any]:
        row = self._rows_by_key.get(key)
        if row is None or row.value is None:
            return {'key': key, 'version': 0, 'value': None}
        return {'key': key, 'version': row.version, 'value': row.value}


def make_application(table: Table, latency_s: float) -> server.WsgiApp:
    """Create the WSGI application of the table service."""

    @werkzeug.Request.application
    def application(request: werkzeug.Request) -> werkzeug.Response:
        time.sleep(latency_s)
        if request.path == '/counts':
            return server.json_response(table.counts_by_name)
        try:
            payload = orjson.loads(request.get_data())
            return _handle_request(table, request.path, payload)
        except (KeyError, TypeError, ValueError) as error:
            return server.json_response({'error': repr(error)}, 400)

    return application


def _handle_request(
    table: Table, path: str, payload: Any
) -> werkzeug.Response:
    match path:
        case '/v1/write':
            items = payload['items']
            if len(items) > MAX_ITEMS_PER_WRITE:
                return server.json_response({'error': 'too many items'}, 400)
            if not table.acquire_write():
                return server.json_response(
                    {'error': 'write rate exceeded'}, 429
                )
            return server.json_response({'results': table.write(items)})
        case '/v1/read':
            if not table.acquire_reads(len(payload['keys'])):
                return server.json_response(
                    {'error': 'read rate exceeded'}, 429
                )
            return server.json_response({'rows': table.read(payload['keys'])})
        case '/v1/scan':
            limit = int(payload.get('limit', DEFAULT_SCAN_LIMIT))
            if not table.acquire_reads(-(-limit // ROWS_PER_READ_UNIT)):
                return server.json_response(
                    {'error': 'read rate exceeded'}, 429
                )
            rows = table.scan(
                payload['prefix'], payload.get('after', ''), limit
            )
            return server.json_response({'rows': rows})
    return server.json_response({'error': 'not found'}, 404)


def run(settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT."""
    table = Table(settings)
    return server.serve(
        make_application(table, settings.latency_s),
        settings.ip,
        settings.port,
        settings.threads,
    )
