"""Bytes that clients make a node hold, and the decision who goes first.

A client may stay below each of its own limits while all of them together
exceed the memory of the host. One account counts what all connections hold.
A large body is read once room for it has been granted; until then its
connection is not read. Under pressure, connections that hold much and make no
progress are closed. A request that was read whole is not affected.
"""

import dataclasses
import enum
import itertools
from typing import Iterable, Protocol

from . import shared_limit

# Part of the limit that large bodies may take; the rest is for the heads and
# small bodies of all others.
GRANT_SHARE = 0.75
# Share of the limit to which the account is brought when it is exceeded, so
# that connections are not ordered again for each one closed.
RELIEF_SHARE = 0.9
# Largest body that is read without a grant.
SMALL_BODY_BYTES = 64 * 1024
# Factor by which the grant of a body without a declared length grows.
GRANT_GROWTH = 4
# Memory of an open connection without a request, and of a request without its
# bytes and fields.
CONNECTION_BYTES = 6 * 1024
REQUEST_BYTES = 1024
# Receive buffer of a connection in the kernel, which is held while the
# connection is not read.
RECEIVE_BUFFER_BYTES = 128 * 1024
SEND_BUFFER_BYTES = 128 * 1024
# Bytes by which a request or a response has to go on to count as progress.
PROGRESS_BYTES = 16 * 1024
# Time without progress after which a connection may be closed under pressure.
MIN_STALL_S = 0.25
# Longest time that a connection waits for a grant.
MAX_GRANT_WAIT_S = 1.0
# Descriptors that the platform reserves for files.
RESERVED_FDS = 200
# Shares of the other descriptors that connections of clients may take, and
# those at each of the other listeners. Each request needs one more for its
# server.
CLIENT_FD_SHARE = 0.5
OTHER_FD_SHARE = 0.08
MAX_OTHER_CONNECTIONS = 64
# Share of the connections that are closed at once when there are too many.
CLOSED_SHARE = 1 / 16
# Bytes that each field of a head accounts for in the limit on their number.
MIN_FIELD_BYTES = 16
# Bytes that each parsed piece (field, chunk, packet) should have on average.
PIECE_BYTES = 64
# Shortfall of a connection, in bytes, above which its reading is delayed.
MAX_SHORTFALL_BYTES = 64 * 1024
# Pieces per second, over all connections with too small ones.
SMALL_PIECES_PER_S = 250_000.0


class Phase(enum.Enum):
    """What the client of a connection does, from the node's view."""

    IDLE = 'idle'
    READING = 'reading'
    ANSWERING = 'answering'
    CLOSING = 'closing'


class Part(enum.IntEnum):
    """What the bytes of a connection are held for.

    `READING` is a request that has not been read completely, `QUEUED` those
    behind the one in progress, `RUNNING` the one in progress, `UNREAD` a
    response that the client has not read, `UNRECEIVED` the receive buffer of
    a connection that is not read.
    """

    CONNECTION = 0
    READING = 1
    QUEUED = 2
    RUNNING = 3
    UNREAD = 4
    UNRECEIVED = 5


class Reason(enum.Enum):
    """Why a connection was closed, or a request refused."""

    TOO_MANY_BYTES = 'clients hold too many bytes'
    NO_GRANT = 'no room for a body in time'
    TOO_MANY_CONNECTIONS = 'too many connections'
    UNREAD_RESPONSE = 'response is not read'
    SLOW_BODY = 'body takes too long'
    TOO_MANY_FIELDS = 'too many fields'


@dataclasses.dataclass(slots=True)
class Holding:
    """What one connection holds.

    Attributes
    ----------
    since : float
        Time of its latest progress, in seconds.
    granted : int
        Bytes that are granted for bodies; part of `bytes_by_part`.
    has_completed : bool
        Whether a request has been read completely.
    """

    since: float
    phase: Phase = Phase.IDLE
    granted: int = 0
    has_completed: bool = False
    bytes_by_part: list[int] = dataclasses.field(
        default_factory=lambda: [0] * len(Part)
    )

    def evictable(self, now: float) -> int:
        """Return the bytes that closing the connection frees.

        A request in progress is finished, and a client that reads its response
        slowly is not closed.
        """
        count = self.bytes_by_part
        found = (
            count[Part.READING] + count[Part.QUEUED] + count[Part.UNRECEIVED]
        )
        if now - self.since >= MIN_STALL_S:
            found += count[Part.UNREAD]
        return found


class Client(Protocol):
    """Connection of a client."""

    def evict(self, reason: Reason) -> None:
        """Refuse what has not begun to run, and close."""

    def grant(self) -> None:
        """Read on: the body has been granted."""


def eviction_order(
    holdings: Iterable[tuple[Client, Holding]], now: float
) -> list[Client]:
    """Return connections that hold bytes they may lose, first to go first.

    The first is the one that holds most for longest without progress.
    """
    scored = [
        (evictable * max(now - holding.since, 1e-3), number, client)
        for number, (client, holding) in enumerate(holdings)
        if (evictable := holding.evictable(now))
    ]
    scored.sort(reverse=True)
    return [client for _, _, client in scored]


def closing_order(
    holdings: Iterable[tuple[Client, Holding]],
) -> list[Client]:
    """Return connections without a request in progress, first to go first.

    Those that are closing already come first, then clients that have not sent
    a whole request yet, each by the time without progress.
    """
    candidates = [
        (
            holding.phase is not Phase.CLOSING,
            holding.has_completed,
            holding.since,
            number,
            client,
        )
        for number, (client, holding) in enumerate(holdings)
        if holding.phase is not Phase.ANSWERING
    ]
    candidates.sort()
    return [candidate[-1] for candidate in candidates]


class ClientBytes:
    """Account of the bytes that all clients of a node make it hold.

    Parameters
    ----------
    limit : SharedLimit
        Shared with the backend servers of the node.

    Attributes
    ----------
    total, granted : int
        Bytes held now, and those of them that are granted for bodies.
    """

    def __init__(self, limit: shared_limit.SharedLimit) -> None:
        self._limit = limit
        limit.join(shared_limit.Side.CLIENTS, self)
        self.total = 0
        self.granted = 0
        self._holding_by_client: dict[Client, Holding] = {}
        # Size and start of the wait, in order of arrival.
        self._wait_by_client: dict[Client, tuple[int, float]] = {}

    @property
    def limit(self) -> int:
        """Bytes that clients may make the node hold now."""
        return self._limit.room(shared_limit.Side.CLIENTS)

    @property
    def is_full(self) -> bool:
        """Whether the limit is exceeded."""
        return self.total > self._limit.reserved and self.total > self.limit

    @property
    def waiting(self) -> int:
        """Number of connections that wait for a grant."""
        return len(self._wait_by_client)

    def open(self, client: Client, now: float) -> Holding:
        """Add a connection."""
        holding = Holding(now)
        self._holding_by_client[client] = holding
        self.charge(holding, Part.CONNECTION, CONNECTION_BYTES)
        return holding

    def discard(self, client: Client) -> None:
        """Remove a connection and all that it holds."""
        holding = self._holding_by_client.pop(client, None)
        self._wait_by_client.pop(client, None)
        if holding is None:
            return
        self.total -= sum(holding.bytes_by_part)
        self.granted -= holding.granted
        # Later changes by its last request do not count.
        holding.granted = 0
        holding.bytes_by_part = [0] * len(Part)

    def charge(self, holding: Holding, part: Part, count: int) -> None:
        """Add bytes to a part, or subtract them if `count` is negative."""
        holding.bytes_by_part[part] += count
        self.total += count

    def set_part(self, holding: Holding, part: Part, count: int) -> None:
        """Set the bytes of a part."""
        self.charge(holding, part, count - holding.bytes_by_part[part])

    def request_grant(self, client: Client, size: int, now: float) -> bool:
        """Grant room for a body of `size` bytes, now or by `sweep`."""
        holding = self._holding_by_client[client]
        if not self._wait_by_client and self._fits(size, holding):
            self._give(holding, size)
            return True
        self._wait_by_client.setdefault(client, (size, now))
        return False

    def withdraw(self, client: Client) -> None:
        """Stop waiting for a grant."""
        self._wait_by_client.pop(client, None)

    def return_grant(self, holding: Holding, count: int) -> None:
        """Return granted bytes, all or some."""
        count = min(count, holding.granted)
        holding.granted -= count
        self.granted -= count

    def sweep(self, now: float) -> None:
        """Grant what fits; close those that stall while others wait.

        A body that waits too long is refused.
        """
        self._grant_waiting()
        overdue = [
            client
            for client, (_, since) in self._wait_by_client.items()
            if now - since >= MAX_GRANT_WAIT_S
        ]
        if self._wait_by_client:
            stalled = [
                (client, holding)
                for client, holding in self._holding_by_client.items()
                if holding.phase is Phase.READING
                and holding.granted
                and now - holding.since >= MIN_STALL_S
            ]
            wanted = sum(size for size, _ in self._wait_by_client.values())
            room = GRANT_SHARE * self.limit
            for client in eviction_order(stalled, now):
                if self.granted + wanted <= room:
                    break
                client.evict(Reason.TOO_MANY_BYTES)
            self._grant_waiting()
        for client in overdue:
            if client in self._wait_by_client:
                client.evict(Reason.NO_GRANT)

    def settle(self, now: float) -> None:
        """Close connections while the limit is exceeded."""
        if self.is_full:
            self._limit.settle(now)

    def reduce(self, target: int, now: float) -> None:
        """Close connections until `target` bytes are held."""
        for client in eviction_order(self._holding_by_client.items(), now):
            if self.total <= RELIEF_SHARE * target:
                break
            client.evict(Reason.TOO_MANY_BYTES)

    def _grant_waiting(self) -> None:
        for client, (size, _) in list(self._wait_by_client.items()):
            if client not in self._wait_by_client:
                # Closed for what one before it was read on to.
                continue
            holding = self._holding_by_client[client]
            if self._fits(size, holding):
                del self._wait_by_client[client]
                self._give(holding, size)
                client.grant()

    def _fits(self, size: int, holding: Holding) -> bool:
        """Whether a body fits; one of any size does if there is no other."""
        return (
            self.granted == holding.granted
            or self.granted + size <= GRANT_SHARE * self.limit
        )

    def _give(self, holding: Holding, size: int) -> None:
        holding.granted += size
        self.granted += size


class Pacer:
    """Bounds the work on very small pieces, over all connections."""

    def __init__(self) -> None:
        self._next_at = 0.0

    def delay_s(self, shortfall: int, now: float) -> float:
        """Return how long a connection is not read.

        Parameters
        ----------
        shortfall : int
            Bytes that its pieces lack.
        """
        self._next_at = (
            max(self._next_at, now)
            + shortfall / PIECE_BYTES / SMALL_PIECES_PER_S
        )
        return self._next_at - now


def max_fields(max_header_bytes: int) -> int:
    """Return the limit on the number of fields in a head."""
    return max_header_bytes // MIN_FIELD_BYTES


def max_connections(max_fds: int) -> int:
    """Return the limit on connections of clients at the front."""
    return int(max(0, max_fds - RESERVED_FDS) * CLIENT_FD_SHARE)


def max_other_connections(max_fds: int) -> int:
    """Return the limit on connections at each of the other listeners."""
    return min(
        MAX_OTHER_CONNECTIONS,
        int(max(0, max_fds - RESERVED_FDS) * OTHER_FD_SHARE),
    )


def connections_to_close(
    holdings: Iterable[tuple[Client, Holding]], limit: int
) -> list[Client]:
    """Return the connections to close, as there are more than `limit`."""
    return list(
        itertools.islice(
            closing_order(holdings), max(1, int(CLOSED_SHARE * limit))
        )
    )
