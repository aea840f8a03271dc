"""Connects the roll-outs of a node with the store and the moves of runs."""

from typing import Any, Coroutine, Iterable

from . import clock
from ..core import errors
from . import duties
from . import moves
from . import node_state
from ..rollouts import holder
from . import store_health
from . import watch

# Long-poll time of the table with the states, which is followed only while a
# roll-out is in progress. Short, as the age of a confirmation counts.
LONG_POLL_S = 0.5


class RollOutTables:
    """Applies the rows of orders and states, and runs the holder.

    Attributes
    ----------
    table : TableWatch
        Watch on the table with the states.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        store: Any,
        platform: Any,
        duties_: duties.Duties,
        health: store_health.StoreHealth,
        mover: moves.Mover,
    ) -> None:
        self._state = state
        self._platform = platform
        self._duties = duties_
        rollouts = state.rollouts
        rollouts.on_ending = lambda record, in_s: mover.move_off(
            record, clock.now() + in_s
        )
        rollouts.on_kept = mover.returned
        self.table = watch.TableWatch(
            store,
            platform.ROLL_OUT_TABLE,
            LONG_POLL_S,
            state.log,
            health,
            self._apply_states,
            rollouts.confirm,
        )
        self.table.is_needed = rollouts.is_active
        self._holder = holder.RollOutHolder(
            rollouts,
            state.servers,
            store,
            platform,
            self._fencing_number,
            lambda: len(state.peers.live_nodes()) + 1,
            lambda: self.table.version is not None,
            state.peers.cluster_time,
            state.log,
        )

    def tables(self) -> tuple[watch.TableWatch, ...]:
        """Return the tables to relay; none without bounds on roll-outs."""
        return (self.table,) if self._state.rollouts.is_enabled else ()

    def jobs(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return what runs beside the requests."""
        if not self._state.rollouts.is_enabled:
            return ()
        return (self.table.run(), self._holder.run())

    def apply_orders(self, rows: Iterable[Any], snapshot: bool) -> None:
        """Apply the rows of the operator's orders."""
        rollouts = self._state.rollouts
        if not rollouts.is_enabled:
            return
        present = set()
        for row in rows:
            service = self._platform.roll_out_service(row.key)
            if service is None:
                continue
            if row.removed:
                rollouts.set_order(service, None)
                continue
            present.add(service)
            order = self._platform.decode_roll_out_order(
                row.key, row.value, row.version
            )
            if isinstance(order, errors.Failure):
                self._state.log.error(
                    'order of a roll-out is malformed', failure=str(order)
                )
                continue
            rollouts.set_order(service, order)
        if snapshot:
            rollouts.keep_orders(present)

    def _fencing_number(self) -> int:
        held = self._duties.holder()
        return held.fencing if held else 0

    def _apply_states(self, rows: tuple[Any, ...], snapshot: bool) -> None:
        for row in rows:
            if row.removed or self._platform.roll_out_service(row.key) is None:
                continue
            found = self._platform.decode_roll_out(row.key, row.value)
            if isinstance(found, errors.Failure):
                self._state.log.error(
                    'state of a roll-out is malformed', failure=str(found)
                )
                continue
            self._state.rollouts.set_state(found, row.version)
