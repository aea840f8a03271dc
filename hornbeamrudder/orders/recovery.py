"""Decides orders whose holder is gone, under the lease `recovery`."""

import dataclasses
import random
import threading
import time
from typing import Callable, Union

from returns import result
import structlog

from . import committer
from ..core import ids
from . import execute
from ..infrastructure import table
from . import record

PAGE_ROWS = 200
PAGE_INTERVAL_S = 0.25
PASS_INTERVAL_S = 2.0
WRITES_PER_S = 20.0
WRITE_BURST = 20.0
WRITE_TIMEOUT_S = 10.0
RETENTION_S = 24 * 3600.0
# Wall clocks of nodes differ and a holder may write its result shortly
# after the deadline. Deciding early is safe but loses the answer.
DEADLINE_GRACE_S = 5.0

LOG = structlog.get_logger(__name__)

IsGone = Callable[[ids.NodeId, ids.Incarnation], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOver:
    """Become the holder of an accepted record and execute it."""

    row: table.Row
    draft: record.OrderRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Write a final state, or delete the row."""

    put: table.Put
    attempt: ids.AttemptId


Action = Union[TakeOver, Change]


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Token bucket of writes."""

    tokens: float = WRITE_BURST
    filled_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ScanState:
    """Position of the scan over all order records."""

    after: str = ''
    due_at: float = 0.0
    budget: Budget = Budget()


def decide(
    row: table.Row,
    holder: record.Holder,
    fencing: ids.FencingNumber,
    is_gone: IsGone,
    wall: float,
    retention_s: float = RETENTION_S,
) -> Action | None:
    """Decide one row.

    A dispatching record is left to its holder until its deadline, even
    where the holder seems gone: it may only be slow, and its answer is
    worth more than an early `unknown`.
    """
    match record.from_row(row.value):
        case result.Success(found):
            pass
        case _:
            return None
    late = wall > found.deadline_wall + DEADLINE_GRACE_S
    gone = is_gone(found.holder.node, found.holder.incarnation)
    match found.state:
        case record.OrderState.ACCEPTED if late:
            return _final(
                row, found, record.Reject(found.holder.attempt, fencing), wall
            )
        case record.OrderState.ACCEPTED if gone and wall < found.deadline_wall:
            taken = record.transition(
                found, record.TakeOver(holder, fencing, False), wall
            )
            return TakeOver(row, taken.unwrap())
        case record.OrderState.DISPATCHING if late:
            return _final(row, found, record.GiveUp(fencing), wall)
        case state if (
            state in record.FINAL_STATES
            and wall > found.changed_wall + retention_s
        ):
            return Change(
                table.Put(row.key, row.version, None), ids.AttemptId('')
            )
    return None


def take_tokens(budget: Budget, wanted: int, now: float) -> tuple[Budget, int]:
    """Take up to `wanted` writes from the bucket."""
    earned = max(0.0, now - budget.filled_at) * WRITES_PER_S
    tokens = min(WRITE_BURST, budget.tokens + earned)
    granted = min(wanted, int(tokens))
    return Budget(tokens - granted, now), granted


def after_page(
    state: ScanState,
    rows: tuple[table.Row, ...],
    decisions: tuple[tuple[str, Action], ...],
    now: float,
) -> tuple[ScanState, tuple[Action, ...]]:
    """Choose the actions that the budget allows and the next page.

    Parameters
    ----------
    decisions : tuple of (row key, Action)
        Decisions on `rows`, in their order.
    """
    budget, granted = take_tokens(state.budget, len(decisions), now)
    actions = tuple(action for _, action in decisions[:granted])
    if granted < len(decisions):
        # The next page starts at the first row that had to wait.
        key = decisions[granted][0]
        earlier = [row.key for row in rows if row.key < key]
        after = earlier[-1] if earlier else state.after
        due_at = now + PAGE_INTERVAL_S
    elif len(rows) < PAGE_ROWS:
        after, due_at = '', now + PASS_INTERVAL_S
    else:
        after, due_at = rows[-1].key, now + PAGE_INTERVAL_S
    return ScanState(after, due_at, budget), actions


class Recovery:
    """Runs the scan on one thread while the node holds the lease.

    Parameters
    ----------
    fencing_number : callable
        Fencing number while this node may act for the duty, else None.
    new_capacity : callable
        Asks admission for capacity for a record that was taken over.
    """

    def __init__(
        self,
        client: table.TableClient,
        group_commit: committer.Committer,
        executor: execute.OrderExecutor,
        fencing_number: Callable[[], ids.FencingNumber | None],
        is_gone: IsGone,
        new_capacity: Callable[[record.OrderRecord], execute.CapacityFuture],
        node: ids.NodeId,
        incarnation: ids.Incarnation,
        rng: random.Random,
        retention_s: float = RETENTION_S,
    ) -> None:
        self._client = client
        self._committer = group_commit
        self._executor = executor
        self._fencing_number = fencing_number
        self._is_gone = is_gone
        self._new_capacity = new_capacity
        self._node = node
        self._incarnation = incarnation
        self._rng = rng
        self._retention_s = retention_s
        self._state = ScanState()
        self._stop = threading.Event()
        self.actions_taken = 0
        self.scan_failures = 0
        self._thread = threading.Thread(
            target=self._run, name='order-recovery', daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        """Stop the thread."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(PAGE_INTERVAL_S):
            fencing = self._fencing_number()
            if fencing is None:
                self._state = ScanState(budget=self._state.budget)
            elif time.monotonic() >= self._state.due_at:
                self._scan_page(fencing)

    def _scan_page(self, fencing: ids.FencingNumber) -> None:
        match self._client.scan(
            record.KEY_PREFIX, self._state.after, PAGE_ROWS
        ):
            case result.Success(rows):
                self._act_on(rows, fencing)
            case result.Failure():
                self.scan_failures += 1

    def _act_on(
        self, rows: tuple[table.Row, ...], fencing: ids.FencingNumber
    ) -> None:
        wall = time.time()
        decisions = tuple(
            (row.key, action)
            for row in rows
            if (
                action := decide(
                    row,
                    self._new_holder(),
                    fencing,
                    self._is_gone,
                    wall,
                    self._retention_s,
                )
            )
            is not None
        )
        self._state, actions = after_page(
            self._state, rows, decisions, time.monotonic()
        )
        for action in actions:
            # The scan or a pause may have outlasted the lease.
            if self._fencing_number() != fencing:
                return
            self._apply(action)

    def _apply(self, action: Action) -> None:
        self.actions_taken += 1
        match action:
            case TakeOver(row, draft):
                LOG.info(
                    'order taken over',
                    key=row.key,
                    attempt=draft.holder.attempt,
                )
                self._executor.take_over(
                    row.key, row.version, draft, self._new_capacity(draft)
                )
            case Change(put, attempt):
                self._committer.submit(
                    put, attempt, time.monotonic() + WRITE_TIMEOUT_S
                )

    def _new_holder(self) -> record.Holder:
        return record.Holder(
            ids.new_attempt_id(self._node, self._rng),
            self._node,
            self._incarnation,
        )


def _final(
    row: table.Row,
    found: record.OrderRecord,
    change: record.Transition,
    wall: float,
) -> Change:
    after = record.transition(found, change, wall).unwrap()
    return Change(
        table.Put(row.key, row.version, record.to_row(after)),
        after.holder.attempt,
    )
