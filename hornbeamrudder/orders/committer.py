"""Group commit: batches compare-and-sets and resolves their outcomes."""

from concurrent import futures
import dataclasses
import threading
import time
from typing import Callable, TypeVar, Union

from returns import result
import structlog

from ..core import errors
from ..core import ids
from ..core import types
from ..infrastructure import table

COMMIT_INTERVAL_S = 0.025
MAX_BATCH_ITEMS = 100
# Several commit intervals, to limit the load on a table service that rejects
# or loses writes.
RETRY_DELAY_S = 0.1
# Failures that prove that the write was not applied: no connection was made,
# or the table service rejected the request because it is over its limit. After
# any other failure the write may have been applied, or may still be applied.
NOT_WRITTEN_KINDS = frozenset(
    (
        errors.FailureKind.NOT_CONNECTED,
        errors.FailureKind.OVERLOADED,
        errors.FailureKind.REFUSED,
    )
)

LOG = structlog.get_logger(__name__)
Rows = TypeVar('Rows')


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The compare-and-set was applied; `row` is the resulting row."""

    row: table.Row


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The row has another version; the write can no longer be applied.

    An in-doubt write may have been applied before another node changed the
    row again; `row` is then the later state.
    """

    row: table.Row


CommitOutcome = Union[Committed, Conflict]
CommitResult = result.Result[CommitOutcome, errors.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A compare-and-set to be committed.

    Attributes
    ----------
    number : int
        Sequence number of the item on this node.
    attempt : AttemptId
        Attempt id in the new value; empty if the row is deleted.
    deadline : float
        Monotonic time in seconds after which the item is not retried.
    not_before : float
        Monotonic time in seconds of the earliest next call for the item.
    in_doubt : bool
        Whether an earlier write of the item may have been applied.
    needs_read_back : bool
        Whether the row must be read before the item is written again.
    """

    number: int
    put: table.Put
    attempt: ids.AttemptId
    deadline: float
    not_before: float = 0.0
    in_doubt: bool = False
    needs_read_back: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """Final outcome of an item."""

    number: int
    commit: CommitResult


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Items for one call to the table service.

    Attributes
    ----------
    is_read : bool
        Whether the call reads the rows back instead of writing them.
    """

    items: tuple[Item, ...]
    is_read: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CommitState:
    """Items outside the batch in flight, in order of submission."""

    pending: tuple[Item, ...] = ()
    next_write_at: float = 0.0


Decision = tuple[CommitState, tuple[Settled, ...]]


def proves_not_written(kind: errors.FailureKind) -> bool:
    """Return whether a failed write was not applied and never will be."""
    return kind in NOT_WRITTEN_KINDS


def next_batch(
    state: CommitState, now: float
) -> tuple[CommitState, tuple[Settled, ...], Batch | None]:
    """Return the next call; must not be used while a call is in flight.

    Items past their deadline are settled. Reads of in-doubt items come before
    writes, because the callers of these items have waited longest.
    """
    expired = tuple(item for item in state.pending if now >= item.deadline)
    settled = tuple(
        Settled(item.number, _unsettled_failure(item)) for item in expired
    )
    pending = tuple(item for item in state.pending if now < item.deadline)
    state = dataclasses.replace(state, pending=pending)
    ready = [item for item in pending if item.not_before <= now]
    reads = tuple(item for item in ready if item.needs_read_back)
    if reads:
        batch = Batch(reads[:MAX_BATCH_ITEMS], is_read=True)
    elif ready and now >= state.next_write_at:
        # Of two writes to a row in the same batch, the second would fail.
        first_by_key: dict[str, Item] = {}
        for item in ready:
            first_by_key.setdefault(item.put.key, item)
        items = tuple(first_by_key.values())[:MAX_BATCH_ITEMS]
        batch = Batch(items, is_read=False)
        state = dataclasses.replace(
            state, next_write_at=now + COMMIT_INTERVAL_S
        )
    else:
        return state, settled, None
    batched = frozenset(item.number for item in batch.items)
    remaining = tuple(item for item in pending if item.number not in batched)
    return dataclasses.replace(state, pending=remaining), settled, batch


def next_wakeup(state: CommitState) -> float | None:
    """Return the monotonic time of the next action, None if idle."""
    times = [
        min(
            item.deadline,
            item.not_before
            if item.needs_read_back
            else max(item.not_before, state.next_write_at),
        )
        for item in state.pending
    ]
    return min(times, default=None)


def on_written(
    state: CommitState,
    items: tuple[Item, ...],
    response: result.Result[tuple[table.PutResult, ...], errors.Failure],
    now: float,
) -> Decision:
    """Process the response to a batch of writes."""
    match response:
        case result.Success(put_results):
            return state, tuple(
                Settled(
                    item.number,
                    result.Success(_commit_outcome(item, put_result)),
                )
                for item, put_result in zip(items, put_results)
            )
        case result.Failure(failure):
            may_be_applied = not proves_not_written(failure.kind)
            requeued = tuple(
                dataclasses.replace(
                    item,
                    in_doubt=item.in_doubt or may_be_applied,
                    needs_read_back=item.in_doubt or may_be_applied,
                    not_before=now if may_be_applied else now + RETRY_DELAY_S,
                )
                for item in items
            )
            return _enqueue(state, requeued), ()
    raise TypeError(response)


def on_read(
    state: CommitState,
    items: tuple[Item, ...],
    response: result.Result[tuple[table.Row, ...], errors.Failure],
    now: float,
) -> Decision:
    """Process the rows of in-doubt items.

    A row that still has the expected version does not prove that the write
    was lost: it may be delayed. The same compare-and-set is therefore sent
    again. At most one of the two can be applied, and the response to the
    second determines the outcome of both.
    """
    match response:
        case result.Success(rows):
            row_by_key = {row.key: row for row in rows}
            settled: list[Settled] = []
            requeued: list[Item] = []
            for item in items:
                row = row_by_key.get(item.put.key)
                if row is None:
                    requeued.append(_with_retry_delay(item, now))
                elif _is_written_by(item, row):
                    settled.append(
                        Settled(item.number, result.Success(Committed(row)))
                    )
                elif row.version == item.put.expect_version:
                    requeued.append(
                        dataclasses.replace(
                            item, needs_read_back=False, not_before=now
                        )
                    )
                else:
                    settled.append(
                        Settled(item.number, result.Success(Conflict(row)))
                    )
            return _enqueue(state, tuple(requeued)), tuple(settled)
        case result.Failure():
            later = tuple(_with_retry_delay(item, now) for item in items)
            return _enqueue(state, later), ()
    raise TypeError(response)


def submit(state: CommitState, item: Item) -> CommitState:
    """Add an item to the queue."""
    return _enqueue(state, (item,))


def _with_retry_delay(item: Item, now: float) -> Item:
    return dataclasses.replace(item, not_before=now + RETRY_DELAY_S)


def _commit_outcome(item: Item, put_result: table.PutResult) -> CommitOutcome:
    if put_result.applied or (
        item.in_doubt and _is_written_by(item, put_result.row)
    ):
        return Committed(put_result.row)
    return Conflict(put_result.row)


def _is_written_by(item: Item, row: table.Row) -> bool:
    """Return whether the row is the result of the item's write.

    The whole value is compared: an attempt writes several states, so its
    attempt id is also in rows of its earlier writes.
    """
    if item.put.value is None:
        return row.value is None
    return (
        isinstance(row.value, dict)
        and row.value.get('attempt') == item.attempt
        and row.value == item.put.value
    )


def _enqueue(state: CommitState, items: tuple[Item, ...]) -> CommitState:
    pending = sorted((*items, *state.pending), key=lambda item: item.number)
    return dataclasses.replace(state, pending=tuple(pending))


def _unsettled_failure(item: Item) -> CommitResult:
    return result.Failure(
        errors.Failure(
            errors.FailureKind.DEADLINE,
            errors.Step.WRITE_TABLE,
            '',
            'no answer that settles the write'
            if item.in_doubt
            else 'not written',
            types.Outcome.UNKNOWN if item.in_doubt else types.Outcome.NOT_RUN,
        )
    )


class Committer:
    """Commits the writes of a node on a background thread."""

    def __init__(self, client: table.TableClient) -> None:
        self._client = client
        self._state = CommitState()
        self._futures_by_number: dict[int, futures.Future[CommitResult]] = {}
        self._next_number = 0
        self._changed = threading.Condition()
        self._closing = False
        self.batches_written = 0
        self.items_written = 0
        self.batches_read_back = 0
        self._thread = threading.Thread(
            target=self._run, name='committer', daemon=True
        )
        self._thread.start()

    def submit(
        self, put: table.Put, attempt: ids.AttemptId, deadline: float
    ) -> futures.Future[CommitResult]:
        """Commit a compare-and-set.

        Parameters
        ----------
        deadline : float
            Monotonic time in seconds after which nothing is retried.

        Returns
        -------
        Future of Result
            A failure with outcome NOT_RUN proves that the write is never
            applied; with outcome UNKNOWN it may still be applied.
        """
        future: futures.Future[CommitResult] = futures.Future()
        # Disables cancellation: the write may already be in flight.
        future.set_running_or_notify_cancel()
        with self._changed:
            item = Item(self._next_number, put, attempt, deadline)
            if self._closing:
                future.set_result(_unsettled_failure(item))
                return future
            self._next_number += 1
            self._futures_by_number[item.number] = future
            self._state = submit(self._state, item)
            self._changed.notify()
        return future

    def close(self) -> None:
        """Stop after the batch in flight and fail all other items."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        self._thread.join()

    def _run(self) -> None:
        while True:
            with self._changed:
                if self._closing:
                    unsettled = self._state.pending
                    self._state = CommitState()
                    break
                self._state, settled, batch = next_batch(
                    self._state, time.monotonic()
                )
                if batch is None and not settled:
                    wakeup = next_wakeup(self._state)
                    self._changed.wait(
                        None
                        if wakeup is None
                        else max(0.0, wakeup - time.monotonic())
                    )
            self._settle(settled)
            if batch is not None:
                self._settle(self._call(batch))
        self._settle(
            tuple(
                Settled(item.number, _unsettled_failure(item))
                for item in unsettled
            )
        )

    def _call(self, batch: Batch) -> tuple[Settled, ...]:
        puts = [item.put for item in batch.items]
        if batch.is_read:
            self.batches_read_back += 1
            rows = _call_safely(
                lambda: self._client.read([put.key for put in puts])
            )
            with self._changed:
                self._state, settled = on_read(
                    self._state, batch.items, rows, time.monotonic()
                )
            return settled
        self.batches_written += 1
        self.items_written += len(puts)
        response = _call_safely(lambda: self._client.write(puts))
        with self._changed:
            self._state, settled = on_written(
                self._state, batch.items, response, time.monotonic()
            )
        return settled

    def _settle(self, settled: tuple[Settled, ...]) -> None:
        for item in settled:
            with self._changed:
                future = self._futures_by_number.pop(item.number)
            future.set_result(item.commit)


def _call_safely(
    call: Callable[[], result.Result[Rows, errors.Failure]],
) -> result.Result[Rows, errors.Failure]:
    """Convert an exception into a failure with an unknown outcome.

    An uncaught exception would end the thread and stop all orders of the node.
    """
    try:
        return call()
    except Exception as error:
        LOG.exception('call of the table service raised an exception')
        return result.Failure(
            errors.Failure(
                errors.FailureKind.INVALID,
                errors.Step.WRITE_TABLE,
                '',
                repr(error),
            )
        )
