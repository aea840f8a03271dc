"""Registration of nodes in the store, through which they find each other."""

import asyncio
from typing import Any, Callable

from . import clock
from ..core import errors
from ..core import ids
from ..core import types
from . import node_state
from . import peers

TABLE = 'nodes'
# Entry of a node that was not heard for this long is removed.
GONE_S = 12.0
# How often the own entry is looked at.
LOOK_S = 0.2
CALL_TIMEOUT_S = 0.5
# Time for the removal of the own entry at a stop.
LEAVE_TIMEOUT_S = 0.3
# A transaction of the store holds 100 entries.
MAX_REMOVALS = 90


class Registration:
    """Entry of this node, and those of the others."""

    def __init__(
        self, state: node_state.NodeState, store: Any, platform: Any
    ) -> None:
        self._state = state
        self._store = store
        self._platform = platform
        settings = state.settings
        self._own_entry = peers.KnownNode(
            types.Address(settings.ip, settings.peer_port),
            settings.link_mbps,
        )
        self._is_registered = False
        self._started_at = clock.now()
        self._sweep_at = 0.0

    def take_rows(self, rows: tuple[Any, ...], snapshot: bool) -> None:
        """Take in entries; a snapshot also says which are gone."""
        state = self._state
        known = {} if snapshot else dict(state.peers.known_by_id)
        for row in rows:
            node = ids.NodeId(row.key)
            if row.removed:
                known.pop(node, None)
            elif isinstance(row.value, dict):
                known[node] = peers.KnownNode(
                    types.Address(
                        str(row.value.get('ip')),
                        int(row.value.get('port') or 0),
                    ),
                    float(row.value.get('link_mbps') or 0.0),
                )
        self._is_registered = known.get(state.settings.node) == self._own_entry
        state.peers.set_known(known)

    async def run(self, holds_duties: Callable[[], bool]) -> None:
        """Register where the entry is missing, until cancelled.

        Parameters
        ----------
        holds_duties : callable
            Whether this node is the one that removes entries of others.
        """
        while True:
            await asyncio.sleep(LOOK_S)
            if not self._is_registered and not self._state.stopping:
                await self._register()
            if holds_duties():
                await self._remove_gone()

    async def leave(self) -> None:
        """Remove the own entry."""
        await self._store.write(
            (self._platform.Remove(TABLE, self._state.settings.node),),
            timeout_s=LEAVE_TIMEOUT_S,
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
            # Tried again at the next call.
            return
        self._is_registered = True
        state.peers.set_known(
            state.peers.known_by_id | {state.settings.node: self._own_entry}
        )

    async def _remove_gone(self) -> None:
        """Remove the entries of nodes that are gone for good.

        A node that was only cut off registers again when it sees this.
        """
        now = clock.now()
        if now < self._sweep_at or now - self._started_at < GONE_S:
            return
        self._sweep_at = now + GONE_S / 4
        state = self._state
        gone = [
            node
            for node in state.peers.known_by_id
            if node != state.settings.node
            and state.peers.silent_for(node) > GONE_S
        ][:MAX_REMOVALS]
        if not gone:
            return
        state.log.info('nodes are gone', nodes=gone)
        await self._store.write(
            tuple(self._platform.Remove(TABLE, node) for node in gone),
            timeout_s=CALL_TIMEOUT_S,
        )
