"""Rate and duration of the requests of each service and rank."""

import math
import threading
import time
from typing import Callable

from ..core import ids
from ..core import types
from ..peers import messages

# Shorter means would start hosts for bursts that end before they serve.
MEAN_S = 120.0
# Below this rate a service is idle; its key is dropped.
LOWEST_RATE = 1e-4

Key = tuple[ids.ServiceName, types.Rank]


class Meter:
    """Exponential means over `MEAN_S`; safe to use from any thread."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._started_at = clock()
        self._decayed_at = self._started_at
        self._arrivals: dict[Key, float] = {}
        self._served: dict[Key, tuple[float, float]] = {}

    def arrived(self, service: ids.ServiceName, rank: types.Rank) -> None:
        """Count a request that asks for a slot."""
        with self._lock:
            self._decay()
            key = (service, rank)
            self._arrivals[key] = self._arrivals.get(key, 0.0) + 1.0

    def served(
        self, service: ids.ServiceName, rank: types.Rank, seconds: float
    ) -> None:
        """Count a completed request and the time that it used a slot."""
        with self._lock:
            self._decay()
            count, total = self._served.get((service, rank), (0.0, 0.0))
            self._served[service, rank] = (count + 1.0, total + seconds)

    def rates(self) -> tuple[messages.Rate, ...]:
        """Rates for the next heartbeat."""
        with self._lock:
            self._decay()
            # Corrects for the time before the start, which had no arrivals.
            elapsed_s = max(1.0, self._decayed_at - self._started_at)
            window_s = MEAN_S * -math.expm1(-elapsed_s / MEAN_S)
            rates = []
            for key, arrivals in sorted(self._arrivals.items()):
                count, total = self._served.get(key, (0.0, 0.0))
                service, rank = key
                rates.append(
                    messages.Rate(
                        service,
                        int(rank),
                        arrivals / window_s,
                        total / count if count else 0.0,
                    )
                )
            return tuple(rates)

    def _decay(self) -> None:
        now = self._clock()
        factor = math.exp(-max(0.0, now - self._decayed_at) / MEAN_S)
        self._decayed_at = now
        self._arrivals = {
            key: arrivals * factor
            for key, arrivals in self._arrivals.items()
            if arrivals * factor / MEAN_S >= LOWEST_RATE
        }
        self._served = {
            key: (count * factor, total * factor)
            for key, (count, total) in self._served.items()
            if key in self._arrivals
        }
