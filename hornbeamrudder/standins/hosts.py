"""Stand-in for the host list: a delayed view of the cloud's hosts."""

import collections
import threading
import time
from typing import Any

import pydantic
from returns import result
import werkzeug

from ..core import hosts
from ..infrastructure import cloud
from ..infrastructure import http
from . import server


class Settings(server.ListenSettings):
    """Settings of the host list stand-in.

    Attributes
    ----------
    cloud : str
        `ip:port` of the cloud stand-in.
    lag_s : float
        Age of the state that is served, in seconds.
    """

    cloud: str
    lag_s: float = pydantic.Field(default=2.0, ge=0.0)
    poll_interval_s: float = pydantic.Field(default=0.2, gt=0.0)


class HostList:
    """Polls the cloud stand-in and serves its past host states."""

    def __init__(self, settings: Settings, client: cloud.CloudClient) -> None:
        self._settings = settings
        self._client = client
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._states: collections.deque[
            tuple[float, tuple[hosts.CloudHost, ...]]
        ] = collections.deque()
        self._thread = threading.Thread(
            target=self._poll, name='host-list', daemon=True
        )
        self._thread.start()

    def handle_request(self, _request: werkzeug.Request) -> werkzeug.Response:
        """Return the newest state that is at least `lag_s` old."""
        visible_until = time.monotonic() - self._settings.lag_s
        with self._lock:
            while (
                len(self._states) > 1 and self._states[1][0] <= visible_until
            ):
                self._states.popleft()
            has_state = self._states and self._states[0][0] <= visible_until
            listed = self._states[0][1] if has_state else ()
        return server.json_response(
            {'hosts': [_to_json(host) for host in listed]}
        )

    def close(self) -> None:
        """Stop the polling thread."""
        self._stop.set()
        self._thread.join()

    def _poll(self) -> None:
        while not self._stop.is_set():
            match self._client.list_hosts():
                case result.Success(listed):
                    with self._lock:
                        self._states.append((time.monotonic(), listed))
            self._stop.wait(self._settings.poll_interval_s)


def _to_json(host: hosts.CloudHost) -> dict[str, Any]:
    is_leaving = host.phase is hosts.HostPhase.LEAVING
    return {
        'id': host.id,
        'zone': host.offer.zone,
        'state': 'leaving' if is_leaving else 'live',
        'incarnation': host.incarnation,
    }


def run(settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT."""
    client = http.HttpClient('host-list')
    host_list = HostList(settings, cloud.CloudClient(client, settings.cloud))
    status = server.serve(
        werkzeug.Request.application(host_list.handle_request),
        settings.ip,
        settings.port,
        settings.threads,
    )
    host_list.close()
    client.close()
    return status


def main(path: str) -> int:
    """Serve with settings read from the YAML file at `path`."""
    return run(server.load_settings(path, Settings))
