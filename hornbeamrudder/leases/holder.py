"""Acquires and renews a lease on a background thread."""

import random
import threading
import time

from returns import result
import structlog

from ..core import ids
from ..infrastructure import table
from . import state

TICK_INTERVAL_S = 0.2

LOG = structlog.get_logger(__name__)


class LeaseHolder:
    """Acquires and renews the lease of a duty in a region."""

    def __init__(
        self,
        client: table.TableClient,
        duty: str,
        region: ids.RegionName,
        node: ids.NodeId,
        incarnation: ids.Incarnation,
        rng: random.Random,
        term_s: float = state.TERM_S,
    ) -> None:
        self._client = client
        self._rng = rng
        # Read without a lock: the object is immutable and replaced as a whole.
        self._lease = state.Lease(
            state.row_key(duty, region), node, incarnation, term_s
        )
        self._stop = threading.Event()
        self.failed_calls = 0
        self._thread = threading.Thread(
            target=self._run, name=f'lease-{duty}', daemon=True
        )
        self._thread.start()

    def fencing_number(self) -> ids.FencingNumber | None:
        """Return the fencing number if the lease is valid now, else None.

        To be called immediately before each action, since the calling
        thread may have been paused past the end of the term.
        """
        return state.valid_fencing_number(self._lease, time.monotonic())

    def close(self) -> None:
        """Stop the thread; release the lease if it is known to be held."""
        self._stop.set()
        self._thread.join()
        self._step(state.Release(self._write_id()))

    def _run(self) -> None:
        while not self._stop.wait(TICK_INTERVAL_S):
            before = self._lease.fencing
            self._step(state.Tick(self._write_id()))
            if self._lease.fencing != before:
                LOG.info(
                    'lease changed',
                    key=self._lease.key,
                    fencing=self._lease.fencing,
                )

    def _step(self, event: state.Event) -> None:
        self._lease, effect = state.step(
            self._lease, event, time.monotonic(), time.time()
        )
        match effect:
            case state.Read(key):
                rows = self._client.read([key])
                self._count_failure(rows)
                self._step(state.RowRead(rows))
            case state.Write(put):
                results = self._client.write([put])
                self._count_failure(results)
                self._step(state.WriteCompleted(results))

    def _count_failure(self, answer: object) -> None:
        if isinstance(answer, result.Failure):
            self.failed_calls += 1

    def _write_id(self) -> ids.AttemptId:
        return ids.new_attempt_id(self._lease.node, self._rng)
