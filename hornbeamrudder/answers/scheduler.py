"""Delayed execution of functions on an executor, with one timer thread."""

from concurrent import futures
import heapq
import itertools
import threading
import time
from typing import Any, Callable


class Scheduler:
    """Submits functions to an executor after a delay."""

    def __init__(self, executor: futures.Executor) -> None:
        self._executor = executor
        self._changed = threading.Condition()
        self._queue: list[tuple[float, int, Callable[[], Any]]] = []
        self._sequence = itertools.count()
        self._closing = False
        self._thread = threading.Thread(
            target=self._run, name='scheduler', daemon=True
        )
        self._thread.start()

    def run_after(self, delay_s: float, function: Callable[[], Any]) -> None:
        """Run `function` on the executor after `delay_s` seconds."""
        with self._changed:
            heapq.heappush(
                self._queue,
                (time.monotonic() + delay_s, next(self._sequence), function),
            )
            self._changed.notify()

    def close(self) -> None:
        """Stop the timer thread and drop the functions still queued."""
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
                    self._queue[0][0] - time.monotonic()
                    if self._queue
                    else None
                )
                if wait_s is None or wait_s > 0:
                    self._changed.wait(wait_s)
                    continue
                _, _, function = heapq.heappop(self._queue)
            try:
                self._executor.submit(function)
            except RuntimeError:
                # The executor has been shut down.
                return
