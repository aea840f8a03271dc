"""Keeps one lease on a thread."""

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
    """Acquires and renews the lease of one duty in one region."""

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
        # Read without a lock: the value is immutable and replaced as a whole.
        self._lease = state.Lease(
            state.row_key(duty, region), node, incarnation, term_s
        )
        self._stop = threading.Event()
        self.failures = 0
        self._thread = threading.Thread(
            target=self._run, name=f'lease-{duty}', daemon=True
        )
        self._thread.start()

    def fencing_number(self) -> ids.FencingNumber | None:
        """Fencing number while this node may act, by its own clock now.

        To be called right before each action, since the thread may have
        been paused past the end of the term.
        """
        return state.may_act(self._lease, time.monotonic())

    def close(self) -> None:
        """Stop acting and release the lease where that is certain."""
        self._stop.set()
        self._thread.join()
        self._advance(state.Release(self._write_id()))

    def _run(self) -> None:
        while not self._stop.wait(TICK_INTERVAL_S):
            before = self._lease.fencing
            self._advance(state.Tick(self._write_id()))
            if self._lease.fencing != before:
                LOG.info(
                    'lease changed',
                    key=self._lease.key,
                    fencing=self._lease.fencing,
                )

    def _advance(self, event: state.Event) -> None:
        self._lease, effect = state.step(
            self._lease, event, time.monotonic(), time.time()
        )
        match effect:
            case state.Read(key):
                rows = self._client.read([key])
                self._count(rows)
                self._advance(state.RowRead(rows))
            case state.Write(put):
                results = self._client.write([put])
                self._count(results)
                self._advance(state.WriteAnswered(results))

    def _count(self, answer: object) -> None:
        if isinstance(answer, result.Failure):
            self.failures += 1

    def _write_id(self) -> ids.AttemptId:
        return ids.new_attempt_id(self._lease.node, self._rng)
