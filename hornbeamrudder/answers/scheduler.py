"""Runs functions later on an executor, with one thread for all waits."""

from concurrent import futures
import heapq
import itertools
import threading
import time
from typing import Any, Callable


class Scheduler:
    """Hands functions to an executor once their time has come."""

    def __init__(self, executor: futures.Executor) -> None:
        self._executor = executor
        self._changed = threading.Condition()
        self._due: list[tuple[float, int, Callable[[], Any]]] = []
        self._numbers = itertools.count()
        self._closing = False
        self._thread = threading.Thread(
            target=self._run, name='scheduler', daemon=True
        )
        self._thread.start()

    def run_after(self, delay_s: float, function: Callable[[], Any]) -> None:
        """Run `function` on the executor after `delay_s` seconds."""
        with self._changed:
            heapq.heappush(
                self._due,
                (time.monotonic() + delay_s, next(self._numbers), function),
            )
            self._changed.notify()

    def close(self) -> None:
        """Stop; functions that are still waiting are dropped."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        self._thread.join()

    def _run(self) -> None:
        while True:
            with self._changed:
                if self._closing:
                    return
                wait_s = (
                    self._due[0][0] - time.monotonic() if self._due else None
                )
                if wait_s is None or wait_s > 0:
                    self._changed.wait(wait_s)
                    continue
                _, _, function = heapq.heappop(self._due)
            try:
                self._executor.submit(function)
            except RuntimeError:
                # The executor is shutting down, and so is this.
                return
