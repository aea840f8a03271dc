"""Stand-in of the weight store: downloads that share one rate.

An answer gives the size and the time that the download takes at the number
of downloads in progress when it starts; the content itself is not sent.
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
    max_downloads : int
        More downloads at once are refused with status 429.
    """

    bytes_by_model: dict[str, int] = {}
    bytes_per_second: float = pydantic.Field(default=2e9, gt=0.0)
    max_downloads: int = pydantic.Field(default=8, ge=1)


class WeightStore:
    """Downloads in progress and the answers to requests."""

    def __init__(
        self, settings: Settings, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._ends: list[float] = []

    def answer(self, request: werkzeug.Request) -> werkzeug.Response:
        """Answer one request."""
        model = request.path.removeprefix(PATH_PREFIX)
        size = self._settings.bytes_by_model.get(model)
        if size is None or not request.path.startswith(PATH_PREFIX):
            return server.json_response({'error': 'unknown model'}, 404)
        now = self._clock()
        with self._lock:
            self._ends = [end for end in self._ends if end > now]
            if len(self._ends) >= self._settings.max_downloads:
                response = server.json_response({'error': 'busy'}, 429)
                wait_s = int(min(self._ends) - now) + 1
                response.headers['Retry-After'] = str(wait_s)
                return response
            concurrent = len(self._ends) + 1
            rate = self._settings.bytes_per_second / concurrent
            duration_s = size / rate
            self._ends.append(now + duration_s)
        return server.json_response(
            {
                'model': model,
                'bytes': size,
                'duration_s': duration_s,
                'concurrent': concurrent,
            }
        )


def run(settings: Settings) -> int:
    """Serve until SIGTERM."""
    return server.serve(
        werkzeug.Request.application(WeightStore(settings).answer),
        settings.ip,
        settings.port,
        settings.threads,
    )


def main(path: str) -> int:
    """Serve with the settings in a YAML file."""
    return run(server.load_settings(path, Settings))
