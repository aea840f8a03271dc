"""Polls model engines for prefix cache events used in routing."""

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

POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 1.0
# Bounds the control traffic of a node; further engines are polled in rotation.
MAX_ENGINES_PER_POLL = 32


class CacheWatcher:
    """Polls the engines in rotation on one thread."""

    def __init__(
        self, client: http.HttpClient, workers: pool.NodeWorkerPool
    ) -> None:
        self._client = client
        self._workers = workers
        self._lock = threading.Lock()
        self._engines: tuple[types.Worker, ...] = ()
        self._next_index = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='cache-events', daemon=True
        )
        self._thread.start()

    def set_engines(self, engines: Iterable[types.Worker]) -> None:
        """Replace the engines after a configuration change."""
        with self._lock:
            self._engines = tuple(engines)
            self._next_index = 0

    def close(self) -> None:
        """Stop the thread."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(POLL_INTERVAL_S):
            requests = [
                (engine.id, self._request_events(engine))
                for engine in self._next_engines()
            ]
            for worker, future in requests:
                self._apply_answer(worker, future.result())

    def _next_engines(self) -> tuple[types.Worker, ...]:
        with self._lock:
            count = min(MAX_ENGINES_PER_POLL, len(self._engines))
            chosen = tuple(
                self._engines[(self._next_index + index) % len(self._engines)]
                for index in range(count)
            )
            self._next_index += count
            return chosen

    def _request_events(
        self, engine: types.Worker
    ) -> 'futures.Future[http.HttpResult]':
        after = self._workers.last_cache_event_number(engine.id)
        return self._client.start(
            http.HttpRequest(
                method='GET',
                peer=str(engine.address),
                path=f'/v1/cache-events?after={after}',
                step=errors.Step.ROUTE,
                first_byte_timeout_s=POLL_TIMEOUT_S,
                total_timeout_s=POLL_TIMEOUT_S,
            )
        ).future

    def _apply_answer(
        self, worker: ids.WorkerId, answer: http.HttpResult
    ) -> None:
        match answer:
            case result.Success(response) if response.status == 200:
                self._workers.apply_cache_events(
                    worker, parse_events(response.body)
                )


def parse_events(body: bytes) -> tuple[prefix.CacheEvent, ...]:
    """Parse cache events; a malformed body contains none."""
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
