"""Priority queue of requests that wait for capacity at a backend server.

Under overload, requests that can still meet their target time go first, then
by rank, then by arrival. A request that has waited too long is refused while
its client still has time to retry.
"""

import asyncio
import dataclasses
import heapq
import itertools
from typing import Callable, Iterator

from . import records

# A queued request counts as late after this share of its target time.
LATE_SHARE = 0.8
# A late request is refused after this share of the time from its arrival to
# its deadline.
EXPIRY_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """One queued request.

    Attributes
    ----------
    late_at : float
        Time from which it can no longer meet its target.
    expires_at : float
        Time at which it is refused if still queued.
    reservation : Future
        Set to the result of `try_reserve`, or to None on refusal.
    try_reserve : callable
        Reserves a slot; returns None if no backend server has capacity.
    kind : RouteName or None
        Requests of one kind can use the same servers, so if one finds no
        capacity the others need not try. None to always try.
    """

    rank: int
    arrived_at: float
    late_at: float
    expires_at: float
    try_reserve: Callable[[], object | None]
    reservation: asyncio.Future[object | None]
    kind: records.RouteName | None = None


def make_queued_request(
    route: records.Route,
    rank: int,
    arrived_at: float,
    deadline: float,
    try_reserve: Callable[[], object | None],
    reservation: asyncio.Future[object | None],
    kind: records.RouteName | None = None,
) -> QueuedRequest:
    """Create a queued request with the time limits of its route."""
    late_at = arrived_at + LATE_SHARE * route.target_s
    return QueuedRequest(
        rank=rank,
        arrived_at=arrived_at,
        late_at=late_at,
        expires_at=max(
            min(late_at, deadline),
            arrived_at + EXPIRY_SHARE * (deadline - arrived_at),
        ),
        try_reserve=try_reserve,
        reservation=reservation,
        kind=kind,
    )


class WaitQueue:
    """Queued requests of one service on this node."""

    def __init__(self) -> None:
        self._on_time: list[tuple[int, float, int, QueuedRequest]] = []
        self._late: list[tuple[int, float, int, QueuedRequest]] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return sum(1 for _ in self.waiting())

    def waiting(self) -> Iterator[QueuedRequest]:
        """Iterate over the requests that are still queued."""
        return (
            entry[-1]
            for entry in itertools.chain(self._on_time, self._late)
            if not entry[-1].reservation.done()
        )

    def add(self, queued: QueuedRequest) -> None:
        """Add a request."""
        heapq.heappush(
            self._on_time,
            (queued.rank, queued.arrived_at, next(self._sequence), queued),
        )

    def dispatch(self, now: float) -> None:
        """Reserve slots for queued requests in order, and refuse expired ones.

        A request without capacity does not block the ones behind it: a
        smaller one, or one whose rank may take more slots, may still fit.
        Each kind is tried only until it finds no capacity, which bounds the
        work for a long queue.
        """
        self._expire_and_split(now)
        self._on_time = self._reserve_for(self._on_time)
        self._late = self._reserve_for(self._late)

    def _expire_and_split(self, now: float) -> None:
        pending = []
        for entry in itertools.chain(self._on_time, self._late):
            queued = entry[-1]
            if queued.reservation.done():
                continue
            if now >= queued.expires_at:
                queued.reservation.set_result(None)
                continue
            pending.append(entry)
        self._on_time = [entry for entry in pending if now < entry[-1].late_at]
        self._late = [entry for entry in pending if now >= entry[-1].late_at]
        heapq.heapify(self._on_time)
        heapq.heapify(self._late)

    def _reserve_for(
        self, entries: list[tuple[int, float, int, QueuedRequest]]
    ) -> list[tuple[int, float, int, QueuedRequest]]:
        unplaced = []
        full_kinds = set()
        while entries:
            entry = heapq.heappop(entries)
            queued = entry[-1]
            placement = (
                None if queued.kind in full_kinds else queued.try_reserve()
            )
            if placement is None:
                unplaced.append(entry)
                if queued.kind is not None:
                    full_kinds.add(queued.kind)
            else:
                queued.reservation.set_result(placement)
        heapq.heapify(unplaced)
        return unplaced

    def next_deadline(self) -> float | None:
        """Time at which the next queued request becomes late or expires."""
        return min(
            (
                moment
                for queued in self.waiting()
                for moment in (queued.late_at, queued.expires_at)
            ),
            default=None,
        )
