"""Relay of store tables from hubs to other nodes in large deployments.

Only the hubs follow the store. Other nodes receive changes from the hubs, and
learn from their digests whether they are up to date. This limits the load on
the store, whose calls are priced and limited for all nodes together.

A confirmation states a time on the recipient's clock that had not passed when
it was sent (see `peers.Peers.clock_bound`), so one that was delayed, or not
read while the host was suspended, only confirms the state at that time. If the
hubs can't reach the store, another node that can confirms the tables to them.
"""

import dataclasses
import zlib
from typing import Any, Callable, Iterable, Mapping, Sequence

import msgpack

from . import byte_limits
from . import clock
from ..core import ids
from . import reports
from . import store_health
from . import watch

CHANGES_FORMAT = 2
# Number of hubs that follow the store and send each change; the second one
# covers lost datagrams.
FOLLOWING_HUBS = 2
# Larger datagrams may be fragmented.
MAX_DATAGRAM_BYTES = 1300
# Entries of servers are similar to each other; speed matters more than size.
COMPRESSION_LEVEL = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Row as read by another node."""

    key: str
    value: Any
    version: int
    removed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes of a table after version `before`, up to version `after`."""

    table: str
    before: int
    after: int
    recovered_s: float
    rows: tuple[Row, ...]


class TableRelay:
    """Reports the state of tables and relays their changes.

    Parameters
    ----------
    send : callable
        Sends a datagram to a node.
    hubs : callable
        Nodes that follow the store, in order; empty if all nodes do.
    live_nodes : callable
        Other registered nodes with a current report or digest.
    health : StoreHealth
        Outage of the store as seen by this node.
    """

    def __init__(
        self,
        node: ids.NodeId,
        tables: Mapping[str, watch.TableWatch],
        send: Callable[[ids.NodeId, bytes], None],
        hubs: Callable[[], Sequence[ids.NodeId]],
        uses_hubs: Callable[[], bool],
        live_nodes: Callable[[], Iterable[ids.NodeId]],
        health: store_health.StoreHealth,
    ) -> None:
        self.node = node
        self._health = health
        health.is_relayed = lambda: not self.follows_store()
        self._tables = tables
        self._send = send
        self._hubs = hubs
        self._uses_hubs = uses_hubs
        self._live_nodes = live_nodes
        for name, table in tables.items():
            table.on_changes = self._forward_changes
            table.follows_store = self.follows_store
            table.is_relied_on = uses_hubs
            assert name == table.table

    def follows_store(self) -> bool:
        """Return whether this node follows the store itself."""
        return (
            not self._uses_hubs() or self.node in self._hubs()[:FOLLOWING_HUBS]
        )

    def must_share_confirmations(self) -> bool:
        """Return whether nodes rely on what others confirm to this hub."""
        return self._health.is_failing and self.node in self._hubs()

    def states(self) -> tuple[reports.TableState, ...]:
        """Return the state of the tables that are current at this node."""
        now = clock.now()
        return tuple(
            reports.TableState(
                name,
                table.content_version,
                now - table.confirmed_at,
                self._health.seconds_since_recovery(),
            )
            for name, table in self._tables.items()
            if table.is_current()
        )

    def apply_states(
        self, asked_at: float, states: Iterable[reports.TableState]
    ) -> bool:
        """Apply the state of the tables at another node.

        Parameters
        ----------
        asked_at : float
            Time on this node's clock at or before the states were sent.

        Returns
        -------
        bool
            Whether a table is now known to be current until later.
        """
        applied = [
            self._tables[state.table].apply_confirmation(
                state.content_version,
                asked_at,
                state.age_s,
                state.recovered_s,
            )
            for state in states
            if state.table in self._tables
        ]
        return any(applied)

    def handle_datagram(self, fields: Any) -> bool:
        """Apply a decoded datagram; return whether it contains changes."""
        try:
            if fields[0] != CHANGES_FORMAT:
                return False
            changes = _decode(fields)
            table = self._tables[changes.table]
        except (ValueError, TypeError, IndexError, KeyError, zlib.error):
            return False
        table.apply_changes(
            changes.before, changes.after, changes.recovered_s, changes.rows
        )
        return True

    def _forward_changes(
        self,
        table: watch.TableWatch,
        before: int,
        after: int,
        rows: Sequence[Any],
    ) -> None:
        """Send changes to the nodes that do not follow the store."""
        hubs = self._hubs()
        if not self._uses_hubs() or self.node not in hubs[:FOLLOWING_HUBS]:
            return
        changes = Changes(
            table.table,
            before,
            after,
            self._health.seconds_since_recovery(),
            tuple(
                Row(row.key, row.value, row.version, row.removed)
                for row in sorted(rows, key=lambda row: row.version)
            ),
        )
        parts = list(_split(changes))
        for node in self._live_nodes():
            if node not in hubs:
                for data in parts:
                    self._send(node, data)


def _split(changes: Changes) -> Iterable[bytes]:
    """Encode changes as datagrams with consecutive version ranges.

    Rows of one transaction are not split. Transactions that do not fit into a
    datagram are omitted; recipients detect the gap and read the store.
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
            (row.key, _packable(row.value), row.version, row.removed)
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


def _packable(value: Any) -> Any:
    """Return a value, or None if no other node could unpack it.

    A row of another writer may be nested too deeply, or hold a number that is
    too large; then it has no value, as one that can't be read.
    """
    try:
        msgpack.unpackb(msgpack.packb(value))
    except (ValueError, OverflowError, TypeError, RecursionError):
        return None
    return value


def _decode(fields: Sequence[Any]) -> Changes:
    _, table, before, after, recovered_s, packed = fields
    return Changes(
        str(table),
        int(before),
        int(after),
        float(recovered_s),
        tuple(Row(*row) for row in msgpack.unpackb(_expand(packed))),
    )


def _expand(packed: bytes) -> bytes:
    """Decompress the rows of a datagram.

    Raises
    ------
    ValueError, zlib.error
        The rows exceed the limit or are incomplete or malformed.
    """
    expander = zlib.decompressobj()
    data = expander.decompress(packed, byte_limits.MAX_EXPANDED_BYTES)
    if not expander.eof:
        raise ValueError('rows are too large or incomplete')
    return data
