"""Measures request rate and duration by service and rank."""

import math
import threading
import time
from typing import Callable

from ..core import ids
from ..core import types
from ..peers import messages

# With a shorter time constant, bursts would start hosts that begin to serve
# only after the burst has ended.
TIME_CONSTANT_S = 120.0
# A service with a lower rate counts as idle, and its entry is removed.
MIN_RATE_PER_S = 1e-4

Key = tuple[ids.ServiceName, types.Rank]


class Meter:
    """Exponentially weighted averages over `TIME_CONSTANT_S`; thread-safe."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._started_at = clock()
        self._decayed_at = self._started_at
        self._arrivals: dict[Key, float] = {}
        self._served: dict[Key, tuple[float, float]] = {}

    def arrived(self, service: ids.ServiceName, rank: types.Rank) -> None:
        """Count a request for a slot."""
        with self._lock:
            self._decay()
            key = (service, rank)
            self._arrivals[key] = self._arrivals.get(key, 0.0) + 1.0

    def served(
        self, service: ids.ServiceName, rank: types.Rank, seconds: float
    ) -> None:
        """Count a completed request and the time for which it held a slot."""
        with self._lock:
            self._decay()
            completed, total_s = self._served.get((service, rank), (0.0, 0.0))
            self._served[service, rank] = (completed + 1.0, total_s + seconds)

    def rates(self) -> tuple[messages.Rate, ...]:
        """Return the rates to send in the next heartbeat."""
        with self._lock:
            self._decay()
            # Corrects for the time before the start, when nothing was counted.
            elapsed_s = max(1.0, self._decayed_at - self._started_at)
            window_s = TIME_CONSTANT_S * -math.expm1(
                -elapsed_s / TIME_CONSTANT_S
            )
            rates = []
            for key, arrivals in sorted(self._arrivals.items()):
                completed, total_s = self._served.get(key, (0.0, 0.0))
                service, rank = key
                rates.append(
                    messages.Rate(
                        service,
                        int(rank),
                        arrivals / window_s,
                        total_s / completed if completed else 0.0,
                    )
                )
            return tuple(rates)

    def _decay(self) -> None:
        now = self._clock()
        factor = math.exp(-max(0.0, now - self._decayed_at) / TIME_CONSTANT_S)
        self._decayed_at = now
        self._arrivals = {
            key: arrivals * factor
            for key, arrivals in self._arrivals.items()
            if arrivals * factor / TIME_CONSTANT_S >= MIN_RATE_PER_S
        }
        self._served = {
            key: (completed * factor, total_s * factor)
            for key, (completed, total_s) in self._served.items()
            if key in self._arrivals
        }
