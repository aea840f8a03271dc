"""Line of requests that wait for a place at a backend server.

Answers floods: requests that can still be on time go first, then by rank,
then by arrival; a request that has waited too long is refused while its
client still has time to come back.
"""

import asyncio
import dataclasses
import heapq
import itertools
from typing import Callable, Iterator

from . import records

# Part of the target time after which a waiting request counts as late.
LATE_SHARE = 0.8
# Part of the time that a late request has after which it is given up.
EXPIRY_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """One waiting request.

    Attributes
    ----------
    late_at : float
        When it can no longer be on time.
    gives_up_at : float
        When it is refused if it still waits.
    placed : Future
        Gets the result of `place`, or None at the refusal.
    place : callable
        Reserves a backend server; None where none has room.
    kind : RouteName or None
        Requests of one kind have room at the same servers, so that one
        without room stands for all. None where that isn't so.
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
    """Make the ticket of a request from its route's times."""
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
    """Waiting requests of one service on this node."""

    def __init__(self) -> None:
        self._on_time: list[tuple[int, float, int, QueuedRequest]] = []
        self._late: list[tuple[int, float, int, QueuedRequest]] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return sum(1 for _ in self.waiting())

    def waiting(self) -> Iterator[QueuedRequest]:
        """Iterate over the tickets that still wait."""
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
        """Place all requests for which there is room, in order.

        With a long line, each kind of request is tried until it has no room.

        A request without room does not hold up others: smaller ones, or
        those of a rank with more room, may still be placed.
        """
        self._expire_and_split(now)
        self._on_time = self._reserve_for(self._on_time)
        self._late = self._reserve_for(self._late)

    def _expire_and_split(self, now: float) -> None:
        kept = []
        for entry in itertools.chain(self._on_time, self._late):
            queued = entry[-1]
            if queued.reservation.done():
                continue
            if now >= queued.expires_at:
                queued.reservation.set_result(None)
                continue
            kept.append(entry)
        self._on_time = [entry for entry in kept if now < entry[-1].late_at]
        self._late = [entry for entry in kept if now >= entry[-1].late_at]
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
            try_reserve = (
                None if queued.kind in full_kinds else queued.try_reserve()
            )
            if try_reserve is None:
                unplaced.append(entry)
                if queued.kind is not None:
                    full_kinds.add(queued.kind)
            else:
                queued.reservation.set_result(try_reserve)
        heapq.heapify(unplaced)
        return unplaced

    def next_deadline(self) -> float | None:
        """When the next waiting request becomes late or is given up."""
        return min(
            (
                moment
                for queued in self.waiting()
                for moment in (queued.late_at, queued.expires_at)
            ),
            default=None,
        )
