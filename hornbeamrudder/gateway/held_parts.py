"""Keeps the prompt parts that are held back in the store.

One row outlasts a restart of all nodes. One node at a time reads and writes
it, chosen by hash, and tells the others; a condition on the row's version
makes each trial the trial of one node. Removing holds from the row releases
them.
"""

import asyncio
from typing import Any, Iterable, Mapping

from . import clock
from ..core import errors
from ..core import hashing
from . import crash_evidence
from . import node_state
from . import store_health

TABLE = 'held_parts'
KEY = 'holds'
CHECK_INTERVAL_S = 0.5
# Interval between reads of the row while something is held back.
READ_INTERVAL_S = 5.0
CALL_TIMEOUT_S = 0.5
# Time after the start in which other nodes are heard of.
START_PAUSE_S = 1.5


class HeldParts:
    """Reads and writes the holds of all nodes."""

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
        self._started_at = clock.now()
        self._is_loaded = False
        self._read_at = float('-inf')
        self._stored: dict[
            frozenset[crash_evidence.PartKey], crash_evidence.Hold
        ] = {}

    async def run(self) -> None:
        """Read the row once, and keep it current while needed."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self._health.is_failing and self._is_due():
                await self._synchronize()

    def _is_due(self) -> bool:
        if (
            clock.now() - self._started_at < START_PAUSE_S
            or not self._is_keeper()
        ):
            return False
        held = self._state.part_guard.evidence.hold_by_parts
        if not (held or self._stored):
            return not self._is_loaded
        return (
            _trials(held.values()) != _trials(self._stored.values())
            or clock.now() - self._read_at >= READ_INTERVAL_S
        )

    def _is_keeper(self) -> bool:
        own = self._state.settings.node
        return own == max(
            (own, *self._state.peers.live_nodes()),
            key=lambda node: (hashing.stable_hash('keeper', node), node),
        )

    async def _read(self) -> int | None:
        """Apply the row; return its version, or None if it was not read."""
        answer = await self._store.read(TABLE, timeout_s=CALL_TIMEOUT_S)
        if isinstance(answer, errors.Failure):
            return None
        self._read_at = clock.now()
        self._is_loaded = True
        row = next((row for row in answer.rows if row.key == KEY), None)
        stored = {
            hold.parts: hold
            for hold in self._decode(row.value if row else None)
        }
        guard = self._state.part_guard
        for parts in self._stored.keys() - stored.keys():
            if parts in guard.evidence.hold_by_parts:
                for part in parts:
                    guard.release(part, 'store')
        for hold in stored.values():
            guard.adopt(hold, 'store')
        self._stored = stored
        return row.version if row else 0

    async def _synchronize(self) -> None:
        """Read the row, and write it if it lacks what this node knows."""
        was_loaded = self._is_loaded
        version = await self._read()
        if version is None or not was_loaded:
            return
        held = self._state.part_guard.evidence.hold_by_parts
        if _trials(held.values()) != _trials(self._stored.values()):
            await self._write(held.values(), version)

    async def _write(
        self, holds: Iterable[crash_evidence.Hold], version: int
    ) -> bool:
        """Write the row if its version is still the same."""
        holds = tuple(holds)
        written = await self._store.write(
            (self._platform.Put(TABLE, KEY, self._encode(holds)),),
            (self._platform.Expect(TABLE, KEY, version),),
            timeout_s=CALL_TIMEOUT_S,
        )
        if isinstance(written, (errors.Failure, self._platform.Conflict)):
            self._state.log.info(
                'held prompt parts are not stored', failure=str(written)
            )
            return False
        self._stored = {hold.parts: hold for hold in holds}
        return True

    async def claim_trial(self, hold: crash_evidence.Hold) -> bool:
        """Count one more trial under a hold; return whether it is ours."""
        if self._health.is_failing:
            return False
        version = await self._read()
        guard = self._state.part_guard
        present = guard.evidence.hold_by_parts.get(hold.parts)
        if (
            version is None
            or present is None
            or present.trials != hold.trials
            or hold.parts not in self._stored
        ):
            return False
        tried = crash_evidence.with_trial(present)
        others = self._stored.keys() - {hold.parts}
        if not await self._write(
            [*(self._stored[parts] for parts in others), tried], version
        ):
            return False
        guard.adopt(tried, 'trial')
        return True

    # Row

    def _encode(
        self, holds: Iterable[crash_evidence.Hold]
    ) -> dict[str, object]:
        offset_s = self._state.peers.cluster_time() - clock.now()
        return {
            'holds': [
                {
                    'parts': [f'{part:016x}' for part in sorted(hold.parts)],
                    'first_at': hold.first_at + offset_s,
                    'held_at': hold.held_at + offset_s,
                    'crashes': hold.crashes,
                    'trials': hold.trials,
                }
                for hold in holds
            ]
        }

    def _decode(self, value: Any) -> tuple[crash_evidence.Hold, ...]:
        """Decode the row; one that is malformed holds nothing back."""
        try:
            return tuple(map(self._decode_hold, (value or {})['holds']))
        except KeyError:
            return ()
        except (TypeError, ValueError, AttributeError, OverflowError) as error:
            self._state.log.error(
                'row of held prompt parts is malformed', failure=repr(error)
            )
            return ()

    def _decode_hold(self, fields: Mapping[str, Any]) -> crash_evidence.Hold:
        now = clock.now()
        offset_s = self._state.peers.cluster_time() - now
        return crash_evidence.Hold(
            frozenset(
                crash_evidence.PartKey(int(part, 16))
                for part in fields['parts']
            ),
            min(now, float(fields['first_at']) - offset_s),
            min(now, float(fields['held_at']) - offset_s),
            int(fields['crashes']),
            int(fields['trials']),
        )


def _trials(
    holds: Iterable[crash_evidence.Hold],
) -> dict[frozenset[crash_evidence.PartKey], int]:
    return {hold.parts: hold.trials for hold in holds}
