"""Model, adapters and role of a stand-in engine, and orders for them.

An order names an absolute target state and its expiry. The engine refuses
it with status 409 when it has expired, when its fencing number is stale and
the engine checks it, or when another model is being loaded. A model whose
weights are absent is loaded from the weight store first; until then the
engine serves as before.
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

TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Serving:
    """What the engine serves."""

    model: str
    version: str
    adapters: tuple[str, ...]
    role: str


class WeightClient:
    """Asks the weight store how long a download takes."""

    def __init__(self, peer: str) -> None:
        self._peer = peer
        self._client = http.HttpClient('weights') if peer else None

    def duration_s(self, model: str) -> float | None:
        """Return the time of a download in seconds, None if refused."""
        if self._client is None:
            return None
        sent = json_call.request(
            'GET',
            self._peer,
            f'/v1/weights/{urls.quote(model, safe="")}',
            errors.Step.ORDER_ENGINE,
            TIMEOUT_S,
        )
        answer: result.Result[float, errors.Failure] = json_call.call(
            self._client, sent, lambda told: float(told['duration_s'])
        )
        return answer.value_or(None)


class EngineState:
    """Serving state of one engine; safe to use from any thread."""

    def __init__(
        self,
        serving: Serving,
        present: tuple[str, ...],
        checks_fencing: bool,
        weights: WeightClient,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._lock = threading.Lock()
        self._serving = serving
        self._present = set(present)
        self._checks_fencing = checks_fencing
        self._weights = weights
        self._wall = wall
        self._highest_fencing = 0
        self._target = serving
        self._loading = ''

    def message(self) -> dict[str, Any]:
        """Key `engine` of the load report."""
        with self._lock:
            return dataclasses.asdict(self._serving) | {
                'present': sorted(self._present),
                'loading': self._loading,
            }

    def order(self, fencing: int, order: Any) -> str:
        """Take an order; return why it is refused, or ''.

        Raises
        ------
        LookupError, TypeError, ValueError
            The order is not complete.
        """
        stated = order['target']
        target = Serving(
            str(stated['model']),
            str(stated['version']),
            tuple(sorted(map(str, stated['adapters']))),
            str(stated['role']),
        )
        expires_at = float(order['expires_at'])
        with self._lock:
            if self._checks_fencing and fencing < self._highest_fencing:
                return 'fencing number is stale'
            if expires_at < self._wall():
                return 'order has expired'
            if self._loading and self._loading != target.model:
                return f'{self._loading} is being loaded'
            self._highest_fencing = max(self._highest_fencing, fencing)
            self._target = target
            if target.model in self._present:
                self._serving = target
            elif not self._loading:
                self._loading = target.model
                threading.Thread(
                    target=self._load, args=(target.model,), daemon=True
                ).start()
        return ''

    def _load(self, model: str) -> None:
        duration_s = self._weights.duration_s(model)
        if duration_s is not None:
            time.sleep(duration_s)
        with self._lock:
            self._loading = ''
            if duration_s is not None:
                self._present.add(model)
                self._serving = self._target
