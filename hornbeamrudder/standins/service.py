"""Stand-in for a plain service that counts executions per key."""

import collections
import sys
import threading
import time
from typing import Any

import orjson
import werkzeug

from . import server


class Settings(server.ListenSettings):
    """Settings of the plain service stand-in; times in seconds.

    Attributes
    ----------
    slots : int
        Calls that are executed concurrently; further calls wait.
    """

    threads: int = 16
    slots: int = 8
    latency_s: float = 0.02


class PlainService:
    """Executes calls and counts them by idempotency key or request id."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._slots = threading.Semaphore(settings.slots)
        self._running = 0
        self.runs_by_key: collections.Counter[str] = collections.Counter()

    def run(self, key: str, method: str, path: str, body: bytes) -> Any:
        """Execute one call; it is counted before the response is sent."""
        with self._lock:
            self._running += 1
        try:
            with self._slots:
                with self._lock:
                    self.runs_by_key[key] += 1
                    number = sum(self.runs_by_key.values())
                    # `bench.deployment` counts executions in the log, because
                    # counters in memory are lost when the process is killed.
                    print(f'run {path}', file=sys.stderr, flush=True)
                time.sleep(self._settings.latency_s)
        finally:
            with self._lock:
                self._running -= 1
        return {
            'number': number,
            'key': key,
            'method': method,
            'path': path,
            'body_bytes': len(body),
        }

    def load(self) -> dict[str, Any]:
        """Return the current load."""
        with self._lock:
            running = min(self._running, self._settings.slots)
            return {
                'running': running,
                'waiting': self._running - running,
                'outstanding_tokens': self._running,
                'slots': self._settings.slots,
                'incarnation': 1,
            }


def make_application(service: PlainService) -> server.WsgiApp:
    """Create the WSGI application of the service."""

    @werkzeug.Request.application
    def application(request: werkzeug.Request) -> werkzeug.Response:
        match request.path:
            case '/v1/load':
                content = service.load()
            case '/runs':
                content = dict(service.runs_by_key)
            case _:
                request_id = request.headers.get('X-Request-Id', '')
                content = service.run(
                    request.headers.get('Idempotency-Key', request_id),
                    request.method,
                    request.path,
                    request.get_data(),
                )
        return werkzeug.Response(
            orjson.dumps(content),
            mimetype='application/json',
            headers={
                'X-Request-Id': request.headers.get('X-Request-Id', ''),
                'X-Attempt': request.headers.get('X-Attempt', ''),
            },
        )

    return application


def run(settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT."""
    return server.serve(
        make_application(PlainService(settings)),
        settings.ip,
        settings.port,
        settings.threads,
    )
