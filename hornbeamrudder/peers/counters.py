"""Plain counters that telemetry exposes."""

import collections
import threading


class Counters:
    """Counts by name; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count_by_name: collections.Counter[str] = collections.Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Add to one counter."""
        with self._lock:
            self._count_by_name[name] += amount

    def snapshot(self) -> dict[str, int]:
        """Copy of all counters."""
        with self._lock:
            return dict(self._count_by_name)
