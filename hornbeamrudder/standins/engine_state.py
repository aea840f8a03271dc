"""Model, adapters and role of a stand-in engine, and orders that set them.

An order contains the full target state and an expiry time. The engine
rejects it with status 409 if it has expired, if its fencing number is stale
(only with `checks_fencing`), or while a different model is being loaded. A
model whose weights are not available locally is first downloaded from the
weight store; until the download finishes, the engine serves its previous
state.
"""

import dataclasses
import threading
import time
from typing import Any, Callable
from urllib import parse as urls

from returns import result

from ..core import errors
from ..infrastructure import http
from ..infrastructure import json_call

WEIGHT_STORE_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServingState:
    """Model, adapters and role that an engine serves."""

    model: str
    version: str
    adapters: tuple[str, ...]
    role: str


class WeightClient:
    """Queries the weight store for the duration of a download."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = http.HttpClient('weights') if address else None

    def download_time_s(self, model: str) -> float | None:
        """Return the duration of a download, or None if it is unavailable."""
        if self._client is None:
            return None
        request = json_call.request(
            'GET',
            self._address,
            f'/v1/weights/{urls.quote(model, safe="")}',
            errors.Step.ORDER_ENGINE,
            WEIGHT_STORE_TIMEOUT_S,
        )
        response: result.Result[float, errors.Failure] = json_call.call(
            self._client, request, lambda body: float(body['duration_s'])
        )
        return response.value_or(None)


class EngineState:
    """Serving state and loading of one engine; thread-safe."""

    def __init__(
        self,
        serving: ServingState,
        local_models: tuple[str, ...],
        checks_fencing: bool,
        weights: WeightClient,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._lock = threading.Lock()
        self._serving = serving
        self._local_models = set(local_models)
        self._checks_fencing = checks_fencing
        self._weights = weights
        self._wall_clock = wall_clock
        self._highest_fencing = 0
        self._target = serving
        self._loading = ''

    def to_json(self) -> dict[str, Any]:
        """Return the value of the key `engine` of the load report."""
        with self._lock:
            return dataclasses.asdict(self._serving) | {
                'present': sorted(self._local_models),
                'loading': self._loading,
            }

    def apply_order(self, fencing: int, order: Any) -> str:
        """Apply an order; return the reason for a rejection, or ''.

        Raises
        ------
        LookupError, TypeError, ValueError
            The order is incomplete or malformed.
        """
        fields = order['target']
        target = ServingState(
            str(fields['model']),
            str(fields['version']),
            tuple(sorted(map(str, fields['adapters']))),
            str(fields['role']),
        )
        expires_at = float(order['expires_at'])
        with self._lock:
            if self._checks_fencing and fencing < self._highest_fencing:
                return 'fencing number is stale'
            if expires_at < self._wall_clock():
                return 'order has expired'
            if self._loading and self._loading != target.model:
                return f'{self._loading} is being loaded'
            self._highest_fencing = max(self._highest_fencing, fencing)
            self._target = target
            if target.model in self._local_models:
                self._serving = target
            elif not self._loading:
                self._loading = target.model
                threading.Thread(
                    target=self._load, args=(target.model,), daemon=True
                ).start()
        return ''

    def _load(self, model: str) -> None:
        download_time_s = self._weights.download_time_s(model)
        if download_time_s is not None:
            time.sleep(download_time_s)
        with self._lock:
            self._loading = ''
            if download_time_s is not None:
                self._local_models.add(model)
                self._serving = self._target
