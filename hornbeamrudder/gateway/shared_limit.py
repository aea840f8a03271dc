"""Limit on the bytes that clients and backend servers make a node hold.

Both share one limit, derived from the memory of the host: what one side
leaves, the other may use. Each keeps a part that the other cannot take, so
that a crowd of clients does not stop answers, nor answers without end stop
clients.
"""

import enum
from typing import Protocol

# Share of a node's memory that both sides may take; the interpreter needs the
# rest.
HELD_SHARE = 0.4
# Share of the limit that a side keeps whatever the other one holds.
RESERVED_SHARE = 0.25
# Share of the limit above which a side gives first when the limit is exceeded.
EVEN_SHARE = 0.5


class Side(enum.Enum):
    """Who makes the node hold bytes."""

    CLIENTS = 'clients'
    SERVERS = 'backend servers'


class Account(Protocol):
    """Bytes that one side makes the node hold."""

    total: int

    def reduce(self, target: int, now: float) -> None:
        """Bring `total` to `target` bytes, as far as possible."""


class SharedLimit:
    """One limit, and the decision which side gives when it is exceeded.

    Parameters
    ----------
    limit : int
        In bytes.

    Attributes
    ----------
    reserved : int
        Bytes that each side keeps; one that holds no more is not limited.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.reserved = int(RESERVED_SHARE * limit)
        self._account_by_side: dict[Side, Account] = {}
        self._is_settling = False

    def join(self, side: Side, account: Account) -> None:
        """Count the account of a side."""
        self._account_by_side[side] = account

    def room(self, side: Side) -> int:
        """Return the bytes that a side may hold now."""
        return self.limit - max(
            (
                max(account.total, self.reserved)
                for other, account in self._account_by_side.items()
                if other is not side
            ),
            default=0,
        )

    def settle(self, now: float) -> None:
        """Reduce the sides while the limit is exceeded.

        The side that holds most goes first, down to half of the limit; the
        other one then gives what the first cannot, down to its own part.
        """
        if self._is_settling:
            # Ending a connection may change what it holds.
            return
        self._is_settling = True
        try:
            in_order = sorted(
                self._account_by_side.items(),
                key=lambda item: item[1].total,
                reverse=True,
            )
            for (side, account), kept in zip(
                in_order,
                (int(EVEN_SHARE * self.limit), self.reserved),
                strict=False,
            ):
                target = max(self.room(side), kept)
                if account.total > target:
                    account.reduce(target, now)
        finally:
            self._is_settling = False


def for_memory(memory_bytes: float) -> SharedLimit:
    """Return the limit of a node that may use `memory_bytes` bytes."""
    return SharedLimit(int(HELD_SHARE * memory_bytes))
