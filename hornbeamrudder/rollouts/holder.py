"""Makes the steps of the roll-outs, on the node that holds the duties.

Each state is written under the condition that the row is still the one that
was read, so of two holders one writes. The fencing number in the row keeps a
former holder from going on after its successor.
"""

import asyncio
import dataclasses
from typing import Any, Callable

from ..core import errors
from ..core import ids
from ..gateway import clock
from ..gateway import server_registry
from . import judgement
from . import state
from . import tracker

POLL_INTERVAL_S = 0.1
IDLE_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 0.8
# Pause after a write that failed or whose outcome is unknown. The state is
# followed meanwhile, as the row may have been written.
RETRY_S = 0.4
# Interval at which the counts of a roll-out in progress are written.
COUNTS_INTERVAL_S = 2.0


class RollOutHolder:
    """Holder of the roll-outs.

    Parameters
    ----------
    number : callable
        Fencing number of the term held by this node; 0 if none.
    nodes : callable
        Number of live nodes, this one included.
    is_known : callable
        Whether the table of the states has been read.
    """

    def __init__(
        self,
        rollouts: tracker.RollOuts,
        servers: server_registry.ServerRegistry,
        store: Any,
        platform: Any,
        number: Callable[[], int],
        nodes: Callable[[], int],
        is_known: Callable[[], bool],
        cluster_time: Callable[[], float],
        log: Any,
    ) -> None:
        self._rollouts = rollouts
        self._servers = servers
        self._store = store
        self._platform = platform
        self._number = number
        self._nodes = nodes
        self._is_known = is_known
        self._cluster_time = cluster_time
        self._log = log
        self._retry_at: dict[ids.ServiceName, float] = {}
        self._written_at: dict[ids.ServiceName, float] = {}

    async def run(self) -> None:
        """Make the steps while this node holds the duties."""
        while True:
            is_active = self._rollouts.is_active()
            await asyncio.sleep(
                POLL_INTERVAL_S if is_active else IDLE_INTERVAL_S
            )
            await self.step_all()

    async def step_all(self) -> None:
        """Make the steps that are due."""
        if not self._is_known():
            return
        await asyncio.gather(
            *(
                self._step(known)
                for known in list(self._rollouts.by_service.values())
                if known.is_active
                and clock.now()
                >= self._retry_at.get(known.service, float('-inf'))
            )
        )

    async def _step(self, known: judgement.ServiceRollOut) -> None:
        number = ids.FencingNumber(self._number())
        before = known.rollout
        if not number or (before is not None and number < before.number):
            return
        after = self._next_state(known)
        if after is None:
            return
        after = dataclasses.replace(
            after, number=number, counts=known.totals.counts()
        )
        await self._write(known, after)

    def _next_state(
        self, known: judgement.ServiceRollOut
    ) -> state.RollOut | None:
        """Return the state to write; None if there is nothing to write."""
        order, before = known.order, known.rollout
        target = before.target if before is not None else None
        if order is not None and (before is None or before.phase.is_over):
            target = order.target
        assert target is not None
        now = self._cluster_time()
        seen = dataclasses.replace(
            _observe(known, self._servers, target), nodes=self._nodes()
        )
        if before is None or before.phase.is_over:
            assert order is not None
            return state.begin(order, before, seen, now)
        after = state.step(before, order, seen, now)
        if after is not before:
            self._log.info(
                'roll-out makes a step',
                service=known.service,
                target=target,
                before=before.phase.value,
                phase=after.phase.value,
                reason=after.reason,
                left_s=round(before.due_at - now, 2),
                number=self._number(),
                row=known.row_version,
                **{
                    field.name: getattr(seen, field.name)
                    for field in dataclasses.fields(seen)
                    if field.name != 'old_versions'
                },
            )
            return after
        written_at = self._written_at.get(known.service, float('-inf'))
        has_changed = known.totals.counts() != before.counts
        if has_changed and clock.now() - written_at >= COUNTS_INTERVAL_S:
            return before
        return None

    async def _write(
        self, known: judgement.ServiceRollOut, after: state.RollOut
    ) -> None:
        platform = self._platform
        key = platform.roll_out_key(known.service)
        written = await self._store.write(
            (
                platform.Put(
                    platform.ROLL_OUT_TABLE,
                    key,
                    platform.encode_roll_out(after),
                ),
            ),
            (
                platform.Expect(
                    platform.ROLL_OUT_TABLE, key, known.row_version
                ),
            ),
            timeout_s=CALL_TIMEOUT_S,
        )
        if isinstance(written, errors.Failure):
            # It may still be written, which the next write would show.
            self._log.info(
                'state of a roll-out is not written',
                service=known.service,
                phase=after.phase.value,
                failure=str(written),
            )
            self._retry_at[known.service] = clock.now() + RETRY_S
            return
        if isinstance(written, platform.Conflict):
            self._adopt(known, written)
            return
        self._written_at[known.service] = clock.now()
        self._rollouts.confirm(written.sent_at)
        self._rollouts.set_state(after, written.version)

    def _adopt(self, known: judgement.ServiceRollOut, conflict: Any) -> None:
        """Go on from the row that another holder, or a late call, wrote."""
        self._retry_at[known.service] = clock.now() + RETRY_S
        for row in conflict.rows:
            if row.removed:
                continue
            found = self._platform.decode_roll_out(row.key, row.value)
            if isinstance(found, errors.Failure):
                self._log.error(
                    'state of a roll-out is malformed', failure=str(found)
                )
                # Written by another program: replaced by the next step.
                known.row_version = max(known.row_version, row.version)
            else:
                self._rollouts.set_state(found, row.version)


def _observe(
    known: judgement.ServiceRollOut,
    servers: server_registry.ServerRegistry,
    target: state.SoftwareVersion,
) -> state.Observation:
    """Return what this node sees of a service, over all nodes."""
    records = list(servers.of_service(known.service))
    usable = [
        record
        for record in records
        if record.usable and record.missing_since is None
    ]
    new = [item.entry for item in usable if item.entry.version == target]
    old = [item.entry for item in usable if item.entry.version != target]
    node = known.totals.node
    return state.Observation(
        new_servers=len(new),
        old_servers=len(old),
        old_versions=frozenset(entry.version for entry in old),
        new_slots=sum(entry.slots for entry in new),
        old_slots=sum(entry.slots for entry in old),
        running=sum(item.running + item.peer_running for item in records),
        outside_runs=node.outside_runs,
        confirmed_nodes=node.transferred,
        failure=known.halted,
    )
