"""Reads the cache events of model engines for the choice of workers."""

from concurrent import futures
import threading
from typing import Iterable

import orjson
from returns import result

from ..core import errors
from ..core import ids
from ..core import types
from ..infrastructure import http
from . import pool
from ..routing import prefix

INTERVAL_S = 1.0
TIMEOUT_S = 1.0
# Bounds the control traffic of a node; more engines are read in turn.
MAX_ENGINES_PER_ROUND = 32


class CacheWatcher:
    """Polls the engines in turn on one thread."""

    def __init__(
        self, client: http.HttpClient, workers: pool.NodeWorkerPool
    ) -> None:
        self._client = client
        self._workers = workers
        self._lock = threading.Lock()
        self._engines: tuple[types.Worker, ...] = ()
        self._next = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='cache-events', daemon=True
        )
        self._thread.start()

    def set_engines(self, engines: Iterable[types.Worker]) -> None:
        """Replace the engines, after a configuration change."""
        with self._lock:
            self._engines = tuple(engines)
            self._next = 0

    def close(self) -> None:
        """Stop the thread."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(INTERVAL_S):
            started = [
                (engine.id, self._start(engine)) for engine in self._round()
            ]
            for worker, future in started:
                self._take(worker, future.result())

    def _round(self) -> tuple[types.Worker, ...]:
        with self._lock:
            count = min(MAX_ENGINES_PER_ROUND, len(self._engines))
            chosen = tuple(
                self._engines[(self._next + index) % len(self._engines)]
                for index in range(count)
            )
            self._next += count
            return chosen

    def _start(
        self, engine: types.Worker
    ) -> 'futures.Future[http.HttpResult]':
        after = self._workers.last_cache_event(engine.id)
        return self._client.start(
            http.HttpRequest(
                method='GET',
                peer=str(engine.address),
                path=f'/v1/cache-events?after={after}',
                step=errors.Step.ROUTE,
                first_byte_timeout_s=TIMEOUT_S,
                total_timeout_s=TIMEOUT_S,
            )
        ).future

    def _take(self, worker: ids.WorkerId, answer: http.HttpResult) -> None:
        match answer:
            case result.Success(response) if response.status == 200:
                self._workers.take_cache_events(
                    worker, parse_events(response.body)
                )


def parse_events(body: bytes) -> tuple[prefix.CacheEvent, ...]:
    """Read cache events; a malformed answer gives none."""
    try:
        return tuple(
            prefix.CacheEvent(
                int(item['number']),
                int(item['block']),
                item['kind'] == 'stored',
            )
            for item in orjson.loads(body)['events']
        )
    except (ValueError, KeyError, TypeError):
        return ()
