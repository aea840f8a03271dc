"""Registration and discovery of nodes through the store."""

import asyncio
from typing import Any, Callable

from . import clock
from ..core import errors
from ..core import ids
from ..core import types
from . import node_state
from . import peers
from . import store_health

TABLE = 'nodes'
# Entries of nodes without a report for this long are removed.
EXPIRY_S = 12.0
# Interval between checks of the entries.
CHECK_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 0.5
# Time-out for removing the entry of this node when it stops.
DEREGISTER_TIMEOUT_S = 0.6
# A transaction of the store is limited to 100 entries.
MAX_REMOVALS = 90
MAX_DETAIL = 200


class Registration:
    """Maintains the entry of this node and removes expired ones."""

    def __init__(
        self,
        state: node_state.NodeState,
        store: Any,
        platform: Any,
        health: store_health.StoreHealth,
    ) -> None:
        self._state = state
        self._store = store
        self._platform = platform
        self._health = health
        settings = state.settings
        self._own_entry = peers.KnownNode(
            types.Address(settings.ip, settings.peer_port),
            settings.link_mbps,
        )
        self._is_registered = False
        self._started_at = clock.now()
        self._next_sweep_at = 0.0

    def apply_rows(self, rows: tuple[Any, ...], snapshot: bool) -> None:
        """Apply entries; entries missing from a snapshot are removed."""
        state = self._state
        known = {} if snapshot else dict(state.peers.known_by_id)
        for row in rows:
            node = ids.NodeId(row.key)
            if row.removed:
                known.pop(node, None)
            else:
                entry = self._decode_entry(row)
                if entry is not None:
                    known[node] = entry
        self._is_registered = known.get(state.settings.node) == self._own_entry
        state.peers.set_known(known)

    def _decode_entry(self, row: Any) -> peers.KnownNode | None:
        """Decode an entry; None for one that another program has written."""
        try:
            return peers.KnownNode(
                self._platform.decode_endpoint(
                    row.value['ip'], row.value['port']
                ),
                float(row.value.get('link_mbps') or 0.0),
            )
        except (
            KeyError,
            TypeError,
            ValueError,
            AttributeError,
            OverflowError,
        ) as error:
            self._state.log.info(
                'entry names no node',
                entry=row.key,
                failure=repr(error)[:MAX_DETAIL],
            )
            return None

    async def run(self, holds_duties: Callable[[], bool]) -> None:
        """Register whenever the entry is missing, until cancelled.

        Parameters
        ----------
        holds_duties : callable
            Whether this node holds the term; the holder removes expired
            entries.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._health.is_failing:
                continue
            if not self._is_registered and not self._state.stopping:
                await self._register()
            if holds_duties():
                await self._remove_expired()

    async def deregister(self, last_rows: tuple[Any, ...]) -> None:
        """Remove the entry of this node and write what it leaves behind.

        Parameters
        ----------
        last_rows : tuple
            Other changes, made in the same transaction.
        """
        await self._store.write(
            (
                self._platform.Remove(TABLE, self._state.settings.node),
                *last_rows,
            ),
            timeout_s=DEREGISTER_TIMEOUT_S,
        )

    async def _register(self) -> None:
        state = self._state
        address = self._own_entry.address
        written = await self._store.write(
            (
                self._platform.Put(
                    TABLE,
                    state.settings.node,
                    {
                        'ip': address.ip,
                        'port': address.port,
                        'started': state.started,
                        'link_mbps': self._own_entry.link_mbps,
                    },
                ),
            ),
            timeout_s=CALL_TIMEOUT_S,
        )
        if isinstance(written, errors.Failure):
            # Retried at the next check.
            return
        self._is_registered = True
        state.peers.set_known(
            state.peers.known_by_id | {state.settings.node: self._own_entry}
        )

    async def _remove_expired(self) -> None:
        """Remove the entries of nodes without a report for `EXPIRY_S`.

        A node that was only partitioned registers again when it reads this.
        """
        now = clock.now()
        if now < self._next_sweep_at or now - self._started_at < EXPIRY_S:
            return
        self._next_sweep_at = now + EXPIRY_S / 4
        state = self._state
        expired = [
            node
            for node in state.peers.known_by_id
            if node != state.settings.node
            and state.peers.seconds_since_last_report(node) > EXPIRY_S
        ][:MAX_REMOVALS]
        if not expired:
            return
        state.log.info('nodes are gone', nodes=expired)
        await self._store.write(
            tuple(self._platform.Remove(TABLE, node) for node in expired),
            timeout_s=CALL_TIMEOUT_S,
        )
