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
GIVE_UP_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class Ticket:
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
    gives_up_at: float
    place: Callable[[], object | None]
    placed: asyncio.Future[object | None]
    kind: records.RouteName | None = None


def make_ticket(
    route: records.Route,
    rank: int,
    arrived_at: float,
    deadline: float,
    place: Callable[[], object | None],
    placed: asyncio.Future[object | None],
    kind: records.RouteName | None = None,
) -> Ticket:
    """Make the ticket of a request from its route's times."""
    late_at = arrived_at + LATE_SHARE * route.target_s
    return Ticket(
        rank=rank,
        arrived_at=arrived_at,
        late_at=late_at,
        gives_up_at=max(
            min(late_at, deadline),
            arrived_at + GIVE_UP_SHARE * (deadline - arrived_at),
        ),
        place=place,
        placed=placed,
        kind=kind,
    )


class Line:
    """Waiting requests of one service on this node."""

    def __init__(self) -> None:
        self._tickets: list[tuple[int, float, int, Ticket]] = []
        self._late: list[tuple[int, float, int, Ticket]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return sum(1 for _ in self.waiting())

    def waiting(self) -> Iterator[Ticket]:
        """Iterate over the tickets that still wait."""
        return (
            entry[-1]
            for entry in itertools.chain(self._tickets, self._late)
            if not entry[-1].placed.done()
        )

    def add(self, ticket: Ticket) -> None:
        """Add a request."""
        heapq.heappush(
            self._tickets,
            (ticket.rank, ticket.arrived_at, next(self._numbers), ticket),
        )

    def serve(self, now: float) -> None:
        """Place all requests for which there is room, in order.

        With a long line, each kind of request is tried until it has no room.

        A request without room does not hold up others: smaller ones, or
        those of a rank with more room, may still be placed.
        """
        self._sort_out(now)
        self._tickets = self._place(self._tickets)
        self._late = self._place(self._late)

    def _sort_out(self, now: float) -> None:
        kept = []
        for entry in itertools.chain(self._tickets, self._late):
            ticket = entry[-1]
            if ticket.placed.done():
                continue
            if now >= ticket.gives_up_at:
                ticket.placed.set_result(None)
                continue
            kept.append(entry)
        self._tickets = [entry for entry in kept if now < entry[-1].late_at]
        self._late = [entry for entry in kept if now >= entry[-1].late_at]
        heapq.heapify(self._tickets)
        heapq.heapify(self._late)

    def _place(
        self, entries: list[tuple[int, float, int, Ticket]]
    ) -> list[tuple[int, float, int, Ticket]]:
        left = []
        without_room = set()
        while entries:
            entry = heapq.heappop(entries)
            ticket = entry[-1]
            place = None if ticket.kind in without_room else ticket.place()
            if place is None:
                left.append(entry)
                if ticket.kind is not None:
                    without_room.add(ticket.kind)
            else:
                ticket.placed.set_result(place)
        heapq.heapify(left)
        return left

    def next_deadline(self) -> float | None:
        """When the next waiting request becomes late or is given up."""
        return min(
            (
                moment
                for ticket in self.waiting()
                for moment in (ticket.late_at, ticket.gives_up_at)
            ),
            default=None,
        )
