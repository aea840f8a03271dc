"""Tables of the store passed on between nodes, where there are many nodes.

Only the hubs follow the store; the others learn from their digests whether
they are up to date, and get changes from them. Answers the load of many nodes
that would each wait for the same changes: calls to the store are priced and
limited for all nodes together.

A digest returns the time on a node's own clock at which the node has asked
for it, so a digest that was delayed, or lay unread while the host was
suspended, only counts for that time.
"""

import dataclasses
import zlib
from typing import Any, Callable, Iterable, Mapping, Sequence

import msgpack

from . import clock
from ..core import ids
from . import reports
from . import watch

CHANGES_FORMAT = 2
# Hubs that pass on each change; the second one for lost datagrams.
SENDERS = 2
# Larger datagrams would be split by the network.
MAX_DATAGRAM_BYTES = 1300
# Entries of servers resemble each other; speed matters more than size.
COMPRESSION_LEVEL = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as another node has read it."""

    key: str
    value: Any
    version: int
    removed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """All changes of a table after one version up to another."""

    table: str
    before: int
    after: int
    recovered_s: float
    rows: tuple[Row, ...]


class TableRelay:
    """Tells how far tables are known, and passes changes on.

    Parameters
    ----------
    send : callable
        Sends bytes to a node.
    hubs : callable
        Nodes that follow the store, in order; empty where all do.
    heard : callable
        Other nodes that are heard.
    """

    def __init__(
        self,
        node: ids.NodeId,
        tables: Mapping[str, watch.TableWatch],
        send: Callable[[ids.NodeId, bytes], None],
        hubs: Callable[[], Sequence[ids.NodeId]],
        uses_hubs: Callable[[], bool],
        heard: Callable[[], Iterable[ids.NodeId]],
    ) -> None:
        self.node = node
        self._tables = tables
        self._send = send
        self._hubs = hubs
        self._uses_hubs = uses_hubs
        self._heard = heard
        for name, table in tables.items():
            table.on_changes = self._changed
            table.follows_store = self.follows_store
            assert name == table.table

    def follows_store(self) -> bool:
        """Whether this node follows the store itself."""
        return not self._uses_hubs() or self.node in self._hubs()

    def states(self) -> tuple[reports.TableState, ...]:
        """How far the tables are known that this node follows."""
        if not self.follows_store():
            return ()
        now = clock.now()
        return tuple(
            reports.TableState(
                name,
                table.content_version,
                now - table.confirmed_at,
                table.recovered_s(),
            )
            for name, table in self._tables.items()
            if table.version is not None and table.failing_since is None
        )

    def take_states(
        self, asked_at: float, states: Iterable[reports.TableState]
    ) -> None:
        """Take in how far a hub knows the tables."""
        for state in states:
            table = self._tables.get(state.table)
            if table is not None:
                table.take_answer(
                    state.content_version,
                    asked_at,
                    state.age_s,
                    state.recovered_s,
                )

    def take(self, fields: Any) -> bool:
        """Take in a decoded datagram; returns whether it is a change."""
        try:
            if fields[0] != CHANGES_FORMAT:
                return False
            changes = _decode(fields)
            table = self._tables[changes.table]
        except (ValueError, TypeError, IndexError, KeyError, zlib.error):
            return False
        table.take_changes(
            changes.before, changes.after, changes.recovered_s, changes.rows
        )
        return True

    def _changed(
        self,
        table: watch.TableWatch,
        before: int,
        after: int,
        rows: Sequence[Any],
    ) -> None:
        """Pass changes on to the nodes that do not follow the store."""
        hubs = self._hubs()
        if not self._uses_hubs() or self.node not in hubs[:SENDERS]:
            return
        whole = Changes(
            table.table,
            before,
            after,
            table.recovered_s(),
            tuple(
                Row(row.key, row.value, row.version, row.removed)
                for row in sorted(rows, key=lambda row: row.version)
            ),
        )
        parts = list(_split(whole))
        for node in self._heard():
            if node not in hubs:
                for data in parts:
                    self._send(node, data)


def _split(changes: Changes) -> Iterable[bytes]:
    """Encode changes in datagrams; each goes on where the last one ended.

    Rows of one transaction stay together. What doesn't fit is left out, and
    all after it: nodes notice the gap and read the store themselves.
    """
    data = _encode(changes)
    if len(data) <= MAX_DATAGRAM_BYTES:
        yield data
        return
    versions = sorted({row.version for row in changes.rows})
    if len(versions) < 2:
        return
    middle = versions[len(versions) // 2 - 1]
    yield from _split(
        dataclasses.replace(
            changes,
            after=middle,
            rows=tuple(row for row in changes.rows if row.version <= middle),
        )
    )
    yield from _split(
        dataclasses.replace(
            changes,
            before=middle,
            rows=tuple(row for row in changes.rows if row.version > middle),
        )
    )


def _encode(changes: Changes) -> bytes:
    packed = msgpack.packb(
        [
            (row.key, row.value, row.version, row.removed)
            for row in changes.rows
        ]
    )
    data: bytes = msgpack.packb(
        [
            CHANGES_FORMAT,
            changes.table,
            changes.before,
            changes.after,
            changes.recovered_s,
            zlib.compress(packed, COMPRESSION_LEVEL),
        ]
    )
    return data


def _decode(fields: Sequence[Any]) -> Changes:
    _, table, before, after, recovered_s, packed = fields
    return Changes(
        str(table),
        int(before),
        int(after),
        float(recovered_s),
        tuple(Row(*row) for row in msgpack.unpackb(zlib.decompress(packed))),
    )
