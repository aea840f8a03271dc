"""Tables of the store passed on between nodes, where there are many nodes.

A few nodes follow the store; the others ask them whether they are up to date
and get changes from them. Answers the load of many nodes that would each wait
for the same changes: calls to the store are priced and limited for all nodes
together.

A node asks with a time on its own clock and gets it back, so an answer that
was delayed, or lay unread while the host was suspended, only counts for the
time at which it was asked for.
"""

import dataclasses
import enum
import random
from typing import Any, Callable, Iterable, Mapping, Sequence

import msgpack

from . import clock
from ..core import hashing
from ..core import ids
from . import watch

FORMAT = 2
# Nodes that follow the store themselves; one may be slow, one cut off.
FOLLOWERS = 3
# Followers that a node asks each time, for lost datagrams.
ASKED = 2
ASK_INTERVAL_S = 0.6
# Larger datagrams would be split by the network.
MAX_DATAGRAM_BYTES = 1300


class Kind(enum.IntEnum):
    """Kind of a message between nodes."""

    ASK = 0
    ANSWER = 1
    CHANGES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as another node has read it."""

    key: str
    value: Any
    version: int
    removed: bool


def followers(nodes: Iterable[ids.NodeId]) -> list[ids.NodeId]:
    """Nodes that follow the store, the same for all that hear the same."""
    return sorted(
        nodes, key=lambda node: hashing.stable_hash('follower', node)
    )[:FOLLOWERS]


class TableRelay:
    """Asks followers, answers askers, and passes changes on.

    Parameters
    ----------
    send : callable
        Sends bytes to a node.
    heard : callable
        Other nodes that are heard.
    applies : callable
        Whether there are so many nodes that tables are relayed.
    """

    def __init__(
        self,
        node: ids.NodeId,
        tables: Mapping[str, watch.TableWatch],
        send: Callable[[ids.NodeId, bytes], None],
        heard: Callable[[], Iterable[ids.NodeId]],
        applies: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self.node = node
        self._tables = tables
        self._send = send
        self._heard = heard
        self._applies = applies
        self._rng = rng
        self._asked_at = 0.0
        for name, table in tables.items():
            table.on_changes = self._changed
            table.follows_store = self.follows_store
            assert name == table.table

    def follows_store(self) -> bool:
        """Whether this node follows the store itself."""
        return not self._applies() or self.node in self._followers()

    def _followers(self) -> list[ids.NodeId]:
        return followers({self.node, *self._heard()})

    def ask(self) -> None:
        """Ask followers about all tables; call often."""
        now = clock.now()
        if now - self._asked_at < ASK_INTERVAL_S or self.follows_store():
            return
        self._asked_at = now
        others = self._followers()
        for node in self._rng.sample(others, min(ASKED, len(others))):
            self._send(node, _pack(Kind.ASK, self.node, now))

    def take(self, data: bytes) -> bool:
        """Take in a datagram; returns whether it is one of these."""
        try:
            fields = msgpack.unpackb(data)
            if fields[0] != FORMAT:
                return False
            self._take(Kind(fields[1]), fields[2:])
        except (ValueError, TypeError, IndexError, KeyError):
            return False
        return True

    def _take(self, kind: Kind, fields: Sequence[Any]) -> None:
        match kind:
            case Kind.ASK:
                node, asked_at = fields
                if self.follows_store():
                    self._answer(ids.NodeId(node), asked_at)
            case Kind.ANSWER:
                asked_at, states = fields
                for name, content_version, age_s, recovered_s in states:
                    self._tables[name].take_answer(
                        content_version, asked_at, age_s, recovered_s
                    )
            case Kind.CHANGES:
                name, before, after, recovered_s, rows = fields
                self._tables[name].take_changes(
                    before,
                    after,
                    recovered_s,
                    tuple(Row(*row) for row in rows),
                )

    def _answer(self, node: ids.NodeId, asked_at: float) -> None:
        now = clock.now()
        states = [
            (
                name,
                table.content_version,
                now - table.confirmed_at,
                table.recovered_s(),
            )
            for name, table in self._tables.items()
            if table.version is not None and table.failing_since is None
        ]
        self._send(node, _pack(Kind.ANSWER, asked_at, states))

    def _changed(
        self,
        table: watch.TableWatch,
        before: int,
        after: int,
        rows: Sequence[Any],
    ) -> None:
        """Pass changes on to the nodes that do not follow the store."""
        if not self._applies() or not self.follows_store():
            return
        data = _pack(
            Kind.CHANGES,
            table.table,
            before,
            after,
            table.recovered_s(),
            [(row.key, row.value, row.version, row.removed) for row in rows],
        )
        if len(data) > MAX_DATAGRAM_BYTES:
            # The others learn of it when they ask, and read the store.
            return
        following = self._followers()
        for node in self._heard():
            if node not in following:
                self._send(node, data)


def _pack(kind: Kind, *fields: Any) -> bytes:
    packed: bytes = msgpack.packb([FORMAT, int(kind), *fields])
    return packed
