"""Admission of requests on this node: rank, fair share and capacity."""

import collections
from concurrent import futures
import threading
import time
from typing import Callable

from returns import result

from ..admission import controller
from ..core import errors
from ..core import ids
from ..core import types
from ..fleet import traffic
from ..inventory import schema
from . import pool

REFRESH_INTERVAL_S = 0.1
RETRY_AFTER_S = 1.0
# Share of the request threads that requests of a rank and of the less
# urgent ones may occupy, so that a flood leaves threads to the others.
THREAD_SHARE_BY_RANK = {
    types.Rank.URGENT: 0.95,
    types.Rank.STANDARD: 0.75,
    types.Rank.BATCH: 0.5,
}

SlotResult = result.Result[controller.Slot, errors.Failure]


class Gate:
    """Decides which requests of this node go on, and when.

    Parameters
    ----------
    threads : int
        Request threads of the node.
    """

    def __init__(
        self,
        workers: pool.NodeWorkerPool,
        admission: controller.Controller,
        document: Callable[[], schema.Document],
        threads: int,
    ) -> None:
        self._workers = workers
        self._admission = admission
        self._document = document
        self._threads = threads
        self.traffic = traffic.Meter()
        self._lock = threading.Lock()
        self._open_by_rank: collections.Counter[types.Rank] = (
            collections.Counter()
        )
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._refresh_loop, name='capacity', daemon=True
        )
        self._thread.start()

    def enter(self, rank: types.Rank) -> errors.Failure | None:
        """Count a request thread; a refusal where the rank has none left.

        Unless it is refused, `leave` has to be called when the thread is
        free again.
        """
        limit = self._threads * THREAD_SHARE_BY_RANK[rank]
        with self._lock:
            same_or_less_urgent = sum(
                count
                for other, count in self._open_by_rank.items()
                if other >= rank
            )
            if same_or_less_urgent >= limit:
                return _too_many_open(rank)
            self._open_by_rank[rank] += 1
            return None

    def leave(self, rank: types.Rank) -> None:
        """Count a request thread as free."""
        with self._lock:
            self._open_by_rank[rank] -= 1

    def submit(
        self,
        rank: types.Rank,
        account: ids.AccountId,
        service: ids.ServiceName,
        expected_tokens: float,
        deadline: float,
    ) -> 'futures.Future[SlotResult]':
        """Ask for a slot; as `Controller.submit`."""
        self._workers.count_first_attempt(service)
        self.traffic.arrived(service, rank)
        return self._admission.submit(
            rank, account, service, expected_tokens, deadline
        )

    def withdraw(self, future: 'futures.Future[SlotResult]') -> None:
        """Give up a submission, and its slot where it was granted."""
        self._admission.withdraw(future)

    def expected_tokens(
        self,
        service: ids.ServiceName,
        account: ids.AccountId,
        rank: types.Rank,
        max_tokens: float,
    ) -> float:
        """Expected tokens of a request."""
        return self._admission.expected_tokens(
            service, account, rank, max_tokens
        )

    def release(
        self,
        slot: controller.Slot,
        used_tokens: float,
        completed: bool = True,
    ) -> None:
        """Return a slot; as `Controller.release`."""
        self._admission.release(slot, used_tokens, completed)
        if completed:
            self.traffic.served(
                slot.service,
                slot.entry.rank,
                time.monotonic() - slot.granted_at,
            )
        self.refresh(slot.service)

    def refresh(self, service: ids.ServiceName) -> None:
        """Set the capacity of a service from its workers' state."""
        self._admission.set_capacity(
            service, self._workers.usable_slots(service)
        )

    def demand(self) -> tuple[tuple[ids.ServiceName, float], ...]:
        """Slots of each service that this node could use now."""
        return tuple(
            (service, float(self._admission.snapshot(service).demand))
            for service in self._services()
        )

    def snapshots(self) -> dict[ids.ServiceName, controller.Snapshot]:
        """Figures by service, for metrics and status."""
        return {
            service: self._admission.snapshot(service)
            for service in self._services()
        }

    def close(self) -> None:
        """Stop the refresh and refuse what waits."""
        self._stop.set()
        self._thread.join()
        self._admission.close()

    def _services(self) -> tuple[ids.ServiceName, ...]:
        return tuple(
            ids.ServiceName(name) for name in self._document().services_by_name
        )

    def _refresh_loop(self) -> None:
        while not self._stop.wait(REFRESH_INTERVAL_S):
            for service in self._services():
                self.refresh(service)


def _too_many_open(rank: types.Rank) -> errors.Failure:
    return errors.Failure(
        errors.FailureKind.OVERLOADED,
        errors.Step.ADMIT,
        '',
        f'too many open requests of rank {rank.name.lower()}',
        retry_after_s=RETRY_AFTER_S,
    )


def remaining_s(deadline: float) -> float:
    """Seconds until a monotonic deadline, at least 0."""
    return max(0.0, deadline - time.monotonic())
