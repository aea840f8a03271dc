"""Thread-safe counters that are exported as metrics."""

import collections
import threading


class Counters:
    """Counters by name; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count_by_name: collections.Counter[str] = collections.Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Increase a counter."""
        with self._lock:
            self._count_by_name[name] += amount

    def snapshot(self) -> dict[str, int]:
        """Return a copy of all counters."""
        with self._lock:
            return dict(self._count_by_name)
