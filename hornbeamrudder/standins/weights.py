"""Stand-in for the weight store: downloads that share the bandwidth.

A response states the size and the duration of the download, computed from
the number of concurrent downloads at its start. No content is transferred.
"""

import threading
import time
from typing import Callable

import pydantic
import werkzeug

from . import server

PATH_PREFIX = '/v1/weights/'


class Settings(server.ListenSettings):
    """Settings of the weight store stand-in.

    Attributes
    ----------
    bytes_by_model : dict of str to int
        Size of the weights of each model.
    bytes_per_second : float
        Bandwidth that concurrent downloads share.
    max_downloads : int
        Further concurrent downloads are rejected with status 429.
    """

    bytes_by_model: dict[str, int] = {}
    bytes_per_second: float = pydantic.Field(default=2e9, gt=0.0)
    max_downloads: int = pydantic.Field(default=8, ge=1)


class WeightStore:
    """Tracks concurrent downloads and handles requests."""

    def __init__(
        self, settings: Settings, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._finish_times: list[float] = []

    def handle_request(self, request: werkzeug.Request) -> werkzeug.Response:
        """Handle one request."""
        model = request.path.removeprefix(PATH_PREFIX)
        size = self._settings.bytes_by_model.get(model)
        if size is None or not request.path.startswith(PATH_PREFIX):
            return server.json_response({'error': 'unknown model'}, 404)
        now = self._clock()
        with self._lock:
            self._finish_times = [
                finish for finish in self._finish_times if finish > now
            ]
            if len(self._finish_times) >= self._settings.max_downloads:
                response = server.json_response({'error': 'busy'}, 429)
                wait_s = int(min(self._finish_times) - now) + 1
                response.headers['Retry-After'] = str(wait_s)
                return response
            concurrent = len(self._finish_times) + 1
            rate = self._settings.bytes_per_second / concurrent
            duration_s = size / rate
            self._finish_times.append(now + duration_s)
        return server.json_response(
            {
                'model': model,
                'bytes': size,
                'duration_s': duration_s,
                'concurrent': concurrent,
            }
        )


def run(settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT."""
    return server.serve(
        werkzeug.Request.application(WeightStore(settings).handle_request),
        settings.ip,
        settings.port,
        settings.threads,
    )


def main(path: str) -> int:
    """Serve with settings read from the YAML file at `path`."""
    return run(server.load_settings(path, Settings))
