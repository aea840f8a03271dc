"""Limits on bytes that are received and held before they end.

A server in trouble may send bytes without end, in a head or in a body.
"""

from typing import Protocol

from . import clock
from . import shared_limit

# Bytes of an answer outside its body: heads, chunk framing and trailers.
MAX_NON_BODY_BYTES = 64 * 1024
# Memory that a header takes in addition to its bytes.
HEADER_OVERHEAD_BYTES = 150
# Body of a plain answer.
MAX_PLAIN_BODY_BYTES = 2 * 1024 * 1024
# Incomplete event of a stream.
MAX_EVENT_BYTES = 64 * 1024
# Body of an answer of the store.
MAX_JSON_BODY_BYTES = 8 * 1024 * 1024
# Body of an answer to a call that returns no rows.
MAX_ACK_BODY_BYTES = 64 * 1024
# Rows of a datagram from another node, expanded.
MAX_EXPANDED_BYTES = 2 * 1024 * 1024
# Bytes of chunk framing that one byte of a body accounts for.
FRAMING_BYTES_PER_BODY_BYTE = 8

# Share of the room for answers above which connections are read no further
# than their clients have read.
PRESSED_SHARE = 0.5


class Holder(Protocol):
    """Connection that holds bytes of an answer."""

    def end_endless(self, detail: str) -> None:
        """Fail the answer over a limit."""

    def drop_unread(self) -> None:
        """Forget the part of the answer that its reader has not taken."""


class HeldBytes:
    """Bytes of the answers that a node holds, over all connections.

    Each answer may stay below its own limit while all of them together do
    not. Over the limit, the connection that holds most is ended: a sound
    answer holds little.

    Parameters
    ----------
    limit : SharedLimit
        Shared with the clients of the node.

    Attributes
    ----------
    total : int
        Bytes held now.
    """

    def __init__(self, limit: shared_limit.SharedLimit) -> None:
        self._limit = limit
        self.total = 0
        limit.join(shared_limit.Side.SERVERS, self)
        self._count_by_holder: dict[Holder, int] = {}

    @property
    def is_pressed(self) -> bool:
        """Whether little of the room is left."""
        limit = self._limit
        if self.total <= PRESSED_SHARE * limit.reserved:
            return False
        room = limit.room(shared_limit.Side.SERVERS)
        return self.total > PRESSED_SHARE * room

    def add(self, holder: Holder, count: int) -> None:
        """Add bytes that a connection holds; end those over the limit."""
        self._count_by_holder[holder] = (
            self._count_by_holder.get(holder, 0) + count
        )
        self.total += count
        limit = self._limit
        if self.total > limit.reserved and (
            self.total > limit.room(shared_limit.Side.SERVERS)
        ):
            limit.settle(clock.now())

    def reduce(self, target: int, now: float) -> None:
        """End the largest answers until `target` bytes are held."""
        while self.total > target and self._count_by_holder:
            largest = max(
                self._count_by_holder, key=self._count_by_holder.__getitem__
            )
            self.discard(largest)
            largest.end_endless('the node holds too many bytes')
            # A reader that waits for a slow client would hold it on.
            largest.drop_unread()
            self.discard(largest)

    def subtract(self, holder: Holder, count: int) -> None:
        """Subtract bytes that a connection holds no longer."""
        held = self._count_by_holder.get(holder, 0)
        if held:
            count = min(count, held)
            self._count_by_holder[holder] = held - count
            self.total -= count

    def discard(self, holder: Holder) -> None:
        """Subtract all bytes that a connection holds."""
        self.total -= self._count_by_holder.pop(holder, 0)


def non_body_bytes(before: int, received: int, body: int) -> int:
    """Return how many received bytes no body accounts for.

    Parameters
    ----------
    before : int
        Result for the bytes received earlier.
    received, body : int
        Bytes received since then, and those of them that are of a body.
    """
    return max(0, before + received - body * (1 + FRAMING_BYTES_PER_BODY_BYTE))
