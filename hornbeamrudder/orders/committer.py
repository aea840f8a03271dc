"""Group commit: batches of compare-and-sets with exact outcomes."""

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
# Spreads the load of a table service that refuses or loses writes over
# several commit intervals.
RETRY_DELAY_S = 0.1
# The table service did not take the request: no connection was made, or it
# answered that it is over its limit. After every other failure the write may
# have taken effect, or may still take effect.
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
    """The compare-and-set took effect; `row` is the row it made."""

    row: table.Row


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The row has another version; the write cannot take effect any more.

    A write that was in doubt may have taken effect before another node
    changed the row again; the row then shows the later state.
    """

    row: table.Row


Commit = Union[Committed, Conflict]
CommitResult = result.Result[Commit, errors.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A compare-and-set to be committed.

    Attributes
    ----------
    attempt : AttemptId
        Attempt id in the new value; empty where the row is deleted.
    deadline : float
        Monotonic seconds after which the item is given up.
    in_doubt : bool
        An earlier write of the item may have taken effect.
    read_back : bool
        The row has to be read before the item is written again.
    """

    number: int
    put: table.Put
    attempt: ids.AttemptId
    deadline: float
    not_before: float = 0.0
    in_doubt: bool = False
    read_back: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """Final outcome of an item."""

    number: int
    commit: CommitResult


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Items for one call of the table service."""

    items: tuple[Item, ...]
    reading: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CommitState:
    """Items that are not in the batch in flight, oldest first."""

    pending: tuple[Item, ...] = ()
    next_write_at: float = 0.0


Decision = tuple[CommitState, tuple[Settled, ...]]


def proves_not_written(kind: errors.FailureKind) -> bool:
    """Whether a failed write certainly has no effect, now or later."""
    return kind in NOT_WRITTEN_KINDS


def next_batch(
    state: CommitState, now: float
) -> tuple[CommitState, tuple[Settled, ...], Batch | None]:
    """Choose the next call; must not be used while one is in flight.

    Items past their deadline are settled. Rows are read back before new
    writes, since their callers have waited longest.
    """
    expired = tuple(item for item in state.pending if now >= item.deadline)
    settled = tuple(Settled(item.number, _give_up(item)) for item in expired)
    pending = tuple(item for item in state.pending if now < item.deadline)
    state = dataclasses.replace(state, pending=pending)
    ready = [item for item in pending if item.not_before <= now]
    reads = tuple(item for item in ready if item.read_back)
    if reads:
        batch = Batch(reads[:MAX_BATCH_ITEMS], reading=True)
    elif ready and now >= state.next_write_at:
        # A second write of the same row in a batch could only fail.
        first_by_key: dict[str, Item] = {}
        for item in ready:
            first_by_key.setdefault(item.put.key, item)
        items = tuple(first_by_key.values())[:MAX_BATCH_ITEMS]
        batch = Batch(items, reading=False)
        state = dataclasses.replace(
            state, next_write_at=now + COMMIT_INTERVAL_S
        )
    else:
        return state, settled, None
    taken = frozenset(item.number for item in batch.items)
    rest = tuple(item for item in pending if item.number not in taken)
    return dataclasses.replace(state, pending=rest), settled, batch


def wake_at(state: CommitState) -> float | None:
    """Monotonic time of the next action, None where nothing is pending."""
    times = [
        min(
            item.deadline,
            item.not_before
            if item.read_back
            else max(item.not_before, state.next_write_at),
        )
        for item in state.pending
    ]
    return min(times, default=None)


def on_written(
    state: CommitState,
    items: tuple[Item, ...],
    answer: result.Result[tuple[table.PutResult, ...], errors.Failure],
    now: float,
) -> Decision:
    """Interpret the answer to a batch of writes."""
    match answer:
        case result.Success(put_results):
            return state, tuple(
                Settled(item.number, result.Success(_commit(item, put_result)))
                for item, put_result in zip(items, put_results)
            )
        case result.Failure(failure):
            written = not proves_not_written(failure.kind)
            again = tuple(
                dataclasses.replace(
                    item,
                    in_doubt=item.in_doubt or written,
                    read_back=item.in_doubt or written,
                    not_before=now if written else now + RETRY_DELAY_S,
                )
                for item in items
            )
            return _put_back(state, again), ()
    raise TypeError(answer)


def on_read(
    state: CommitState,
    items: tuple[Item, ...],
    answer: result.Result[tuple[table.Row, ...], errors.Failure],
    now: float,
) -> Decision:
    """Interpret rows that were read back after a lost response.

    A row that still has the expected version does not prove that the write
    had no effect: it may be delayed. The same compare-and-set is sent again;
    at most one of the two can take effect, and the answer to the second
    settles both.
    """
    match answer:
        case result.Success(rows):
            row_by_key = {row.key: row for row in rows}
            settled: list[Settled] = []
            again: list[Item] = []
            for item in items:
                row = row_by_key.get(item.put.key)
                if row is None:
                    again.append(_delayed(item, now))
                elif _is_own(item, row):
                    settled.append(
                        Settled(item.number, result.Success(Committed(row)))
                    )
                elif row.version == item.put.expect_version:
                    again.append(
                        dataclasses.replace(
                            item, read_back=False, not_before=now
                        )
                    )
                else:
                    settled.append(
                        Settled(item.number, result.Success(Conflict(row)))
                    )
            return _put_back(state, tuple(again)), tuple(settled)
        case result.Failure():
            later = tuple(_delayed(item, now) for item in items)
            return _put_back(state, later), ()
    raise TypeError(answer)


def submit(state: CommitState, item: Item) -> CommitState:
    """Add an item to those that wait for a batch."""
    return _put_back(state, (item,))


def _delayed(item: Item, now: float) -> Item:
    return dataclasses.replace(item, not_before=now + RETRY_DELAY_S)


def _commit(item: Item, put_result: table.PutResult) -> Commit:
    if put_result.applied or (item.in_doubt and _is_own(item, put_result.row)):
        return Committed(put_result.row)
    return Conflict(put_result.row)


def _is_own(item: Item, row: table.Row) -> bool:
    """Whether the row is the one that the item's write makes.

    One attempt writes several states, so the attempt id alone is not
    enough: an older state of the same attempt is not this write.
    """
    if item.put.value is None:
        return row.value is None
    return (
        isinstance(row.value, dict)
        and row.value.get('attempt') == item.attempt
        and row.value == item.put.value
    )


def _put_back(state: CommitState, items: tuple[Item, ...]) -> CommitState:
    pending = sorted((*items, *state.pending), key=lambda item: item.number)
    return dataclasses.replace(state, pending=tuple(pending))


def _give_up(item: Item) -> CommitResult:
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
    """Runs the batches of one node on one thread."""

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
            Monotonic seconds; retries and reads end then.

        Returns
        -------
        Future of Result
            A failure with outcome NOT_RUN proves that the write has no
            effect; with outcome UNKNOWN it may still take effect.
        """
        future: futures.Future[CommitResult] = futures.Future()
        # A caller cannot cancel a write that may be in flight.
        future.set_running_or_notify_cancel()
        with self._changed:
            item = Item(self._next_number, put, attempt, deadline)
            if self._closing:
                future.set_result(_give_up(item))
                return future
            self._next_number += 1
            self._futures_by_number[item.number] = future
            self._state = submit(self._state, item)
            self._changed.notify()
        return future

    def close(self) -> None:
        """End after the batch in flight; other items are given up."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        self._thread.join()

    def _run(self) -> None:
        while True:
            with self._changed:
                if self._closing:
                    rest = self._state.pending
                    self._state = CommitState()
                    break
                self._state, settled, batch = next_batch(
                    self._state, time.monotonic()
                )
                if batch is None and not settled:
                    at = wake_at(self._state)
                    self._changed.wait(
                        None if at is None else max(0.0, at - time.monotonic())
                    )
            self._settle(settled)
            if batch is not None:
                self._settle(self._call(batch))
        self._settle(
            tuple(Settled(item.number, _give_up(item)) for item in rest)
        )

    def _call(self, batch: Batch) -> tuple[Settled, ...]:
        puts = [item.put for item in batch.items]
        if batch.reading:
            self.batches_read_back += 1
            rows = _guarded(
                lambda: self._client.read([put.key for put in puts])
            )
            with self._changed:
                self._state, settled = on_read(
                    self._state, batch.items, rows, time.monotonic()
                )
            return settled
        self.batches_written += 1
        self.items_written += len(puts)
        answer = _guarded(lambda: self._client.write(puts))
        with self._changed:
            self._state, settled = on_written(
                self._state, batch.items, answer, time.monotonic()
            )
        return settled

    def _settle(self, settled: tuple[Settled, ...]) -> None:
        for item in settled:
            with self._changed:
                future = self._futures_by_number.pop(item.number)
            future.set_result(item.commit)


def _guarded(
    call: Callable[[], result.Result[Rows, errors.Failure]],
) -> result.Result[Rows, errors.Failure]:
    """Turn an exception into a failure that leaves the outcome open.

    An exception would end the thread, and with it all orders of the node.
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
