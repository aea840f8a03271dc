"""Recovers orders of failed nodes, under the lease `recovery`.

It also deletes final records after their retention.
"""

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
MAX_WRITES_PER_S = 20.0
WRITE_BURST = 20.0
WRITE_TIMEOUT_S = 10.0
RETENTION_S = 24 * 3600.0
# Allows for clock skew between nodes and for a result that the holder writes
# shortly after the deadline. Deciding earlier is safe but loses the result.
DEADLINE_GRACE_S = 5.0

LOG = structlog.get_logger(__name__)

IsGone = Callable[[ids.NodeId, ids.Incarnation], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOver:
    """Become the holder of an accepted order and execute it."""

    row: table.Row
    draft: record.OrderRecord


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRow:
    """Write a final state, or delete the row."""

    put: table.Put
    attempt: ids.AttemptId


Action = Union[TakeOver, WriteRow]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteBudget:
    """Token bucket that limits the rate of writes."""

    tokens: float = WRITE_BURST
    refilled_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ScanState:
    """Position of the scan over all order records, and its budget."""

    after_key: str = ''
    due_at: float = 0.0
    budget: WriteBudget = WriteBudget()


def decide(
    row: table.Row,
    holder: record.Holder,
    fencing: ids.FencingNumber,
    is_gone: IsGone,
    wall_now: float,
    retention_s: float = RETENTION_S,
) -> Action | None:
    """Return the action for a row, None if there is none.

    A dispatching order is left to its holder until its deadline, even if the
    holder seems to have failed: it may only be slow, and its result is worth
    more than an early `unknown`.
    """
    match record.from_row(row.value):
        case result.Success(found):
            pass
        case _:
            return None
    is_expired = wall_now > found.deadline_wall + DEADLINE_GRACE_S
    is_holder_gone = is_gone(found.holder.node, found.holder.incarnation)
    match found.state:
        case record.OrderState.ACCEPTED if is_expired:
            return _write_final(
                row,
                found,
                record.Reject(found.holder.attempt, fencing),
                wall_now,
            )
        case record.OrderState.ACCEPTED if (
            is_holder_gone and wall_now < found.deadline_wall
        ):
            taken_over = record.transition(
                found, record.TakeOver(holder, fencing, False), wall_now
            )
            return TakeOver(row, taken_over.unwrap())
        case record.OrderState.DISPATCHING if is_expired:
            return _write_final(
                row, found, record.MarkUnknown(fencing), wall_now
            )
        case state if (
            state in record.FINAL_STATES
            and wall_now > found.changed_wall + retention_s
        ):
            return WriteRow(
                table.Put(row.key, row.version, None), ids.AttemptId('')
            )
    return None


def take_tokens(
    budget: WriteBudget, requested: int, now: float
) -> tuple[WriteBudget, int]:
    """Take up to `requested` writes from the bucket."""
    refill = max(0.0, now - budget.refilled_at) * MAX_WRITES_PER_S
    tokens = min(WRITE_BURST, budget.tokens + refill)
    granted = min(requested, int(tokens))
    return WriteBudget(tokens - granted, now), granted


def advance_scan(
    state: ScanState,
    rows: tuple[table.Row, ...],
    decisions: tuple[tuple[str, Action], ...],
    now: float,
) -> tuple[ScanState, tuple[Action, ...]]:
    """Return the next scan position and the actions within the budget.

    Parameters
    ----------
    decisions : tuple of (row key, Action)
        Actions for `rows`, in the order of the rows.
    """
    budget, granted = take_tokens(state.budget, len(decisions), now)
    actions = tuple(action for _, action in decisions[:granted])
    if granted < len(decisions):
        # The next page starts at the first row over the budget.
        key = decisions[granted][0]
        earlier = [row.key for row in rows if row.key < key]
        after_key = earlier[-1] if earlier else state.after_key
        due_at = now + PAGE_INTERVAL_S
    elif len(rows) < PAGE_ROWS:
        after_key, due_at = '', now + PASS_INTERVAL_S
    else:
        after_key, due_at = rows[-1].key, now + PAGE_INTERVAL_S
    return ScanState(after_key, due_at, budget), actions


class Recovery:
    """Scans the order records while the node holds the lease.

    Parameters
    ----------
    fencing_number : callable
        Returns the fencing number while this node holds the lease, else None.
    is_gone : callable
        Returns whether an incarnation of a node has ended.
    new_capacity : callable
        Requests capacity from admission for an order that was taken over.
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
            record.KEY_PREFIX, self._state.after_key, PAGE_ROWS
        ):
            case result.Success(rows):
                self._process_page(rows, fencing)
            case result.Failure():
                self.scan_failures += 1

    def _process_page(
        self, rows: tuple[table.Row, ...], fencing: ids.FencingNumber
    ) -> None:
        wall_now = time.time()
        decisions = tuple(
            (row.key, action)
            for row in rows
            if (
                action := decide(
                    row,
                    self._new_holder(),
                    fencing,
                    self._is_gone,
                    wall_now,
                    self._retention_s,
                )
            )
            is not None
        )
        self._state, actions = advance_scan(
            self._state, rows, decisions, time.monotonic()
        )
        for action in actions:
            # The lease may have expired during the scan or a pause.
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
            case WriteRow(put, attempt):
                self._committer.submit(
                    put, attempt, time.monotonic() + WRITE_TIMEOUT_S
                )

    def _new_holder(self) -> record.Holder:
        return record.Holder(
            ids.new_attempt_id(self._node, self._rng),
            self._node,
            self._incarnation,
        )


def _write_final(
    row: table.Row,
    found: record.OrderRecord,
    change: record.Transition,
    wall_now: float,
) -> WriteRow:
    final = record.transition(found, change, wall_now).unwrap()
    return WriteRow(
        table.Put(row.key, row.version, record.to_row(final)),
        final.holder.attempt,
    )
