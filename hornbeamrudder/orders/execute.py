"""Executes non-idempotent requests: clocks, threads and I/O for `state`."""

from concurrent import futures
import heapq
import itertools
import threading
import time
from typing import Callable

from returns import result
import structlog

from . import committer
from ..core import errors
from ..core import ids
from ..core import types
from ..infrastructure import table
from . import messages
from . import record
from . import state

MAX_BODY_BYTES = 256 * 1024
SENDER_THREADS = 64
READER_THREADS = 4

# Called on an executor thread; must send at most once and return.
SendFunction = Callable[
    [record.StoredRequest, record.Holder], messages.SendResult
]
# Decision of admission; a success permits the dispatch of the request.
CapacityFuture = futures.Future[result.Result[None, errors.Failure]]

LOG = structlog.get_logger(__name__)


class _ActiveExecution:
    """An execution in progress, with its lock and its future."""

    def __init__(self, execution: messages.Execution) -> None:
        self.execution = execution
        self.lock = threading.Lock()
        self.reply: futures.Future[messages.Reply] = futures.Future()
        # Disables cancellation: the order continues without its caller.
        self.reply.set_running_or_notify_cancel()


class OrderExecutor:
    """Executes the orders of one node. Thread-safe."""

    def __init__(
        self,
        client: table.TableClient,
        group_commit: committer.Committer,
        send: SendFunction,
    ) -> None:
        self._client = client
        self._committer = group_commit
        self._send = send
        self._senders = futures.ThreadPoolExecutor(
            SENDER_THREADS, thread_name_prefix='order-send'
        )
        self._readers = futures.ThreadPoolExecutor(
            READER_THREADS, thread_name_prefix='order-read'
        )
        self._timers: list[tuple[float, int, _ActiveExecution]] = []
        self._timer_sequence = itertools.count()
        self._timers_changed = threading.Condition()
        self._closing = False
        self._timer_thread = threading.Thread(
            target=self._run_timers, name='order-timer', daemon=True
        )
        self._timer_thread.start()

    def submit(
        self,
        account: ids.AccountId,
        idempotency_key: str,
        request: record.StoredRequest,
        holder: record.Holder,
        timeout_s: float,
        capacity: CapacityFuture,
    ) -> futures.Future[messages.Reply]:
        """Execute a request of a caller.

        Parameters
        ----------
        holder : Holder
            This node, with a new attempt id.
        capacity : Future
            If it is already granted, the record starts as `dispatching`.
        """
        invalid = _validation_error(request, idempotency_key)
        if invalid:
            refused: futures.Future[messages.Reply] = futures.Future()
            refused.set_result(_invalid_reply(invalid))
            return refused
        wall_now = time.time()
        draft = record.OrderRecord(
            record.OrderState.ACCEPTED,
            account,
            request.digest(),
            holder,
            wall_now + timeout_s,
            wall_now,
            request,
        )
        execution = messages.Execution(
            record.row_key(account, idempotency_key),
            draft,
            time.monotonic() + timeout_s,
            has_capacity=_is_granted(capacity),
        )
        return self._start(execution, capacity)

    def take_over(
        self,
        key: str,
        version: int,
        draft: record.OrderRecord,
        capacity: CapacityFuture,
    ) -> futures.Future[messages.Reply]:
        """Execute an accepted order of a failed node.

        Parameters
        ----------
        version : int
            Version of the row that the record was read from.
        draft : OrderRecord
            The record with this node as its holder.
        """
        remaining_s = max(0.0, draft.deadline_wall - time.time())
        execution = messages.Execution(
            key,
            draft,
            time.monotonic() + remaining_s,
            version=version,
            has_capacity=_is_granted(capacity),
        )
        return self._start(execution, capacity)

    def close(self) -> None:
        """Stop timers and threads after the sends in progress."""
        with self._timers_changed:
            self._closing = True
            self._timers_changed.notify()
        self._timer_thread.join()
        self._senders.shutdown()
        self._readers.shutdown()

    def _start(
        self, execution: messages.Execution, capacity: CapacityFuture
    ) -> futures.Future[messages.Reply]:
        active = _ActiveExecution(execution)
        self._deliver(active, messages.Begin())
        if not execution.has_capacity:
            capacity.add_done_callback(
                lambda done: self._deliver(
                    active, messages.CapacityDecided(_is_granted(done))
                )
            )
        return active.reply

    def _deliver(
        self, active: _ActiveExecution, event: messages.Event
    ) -> None:
        with active.lock:
            active.execution, effects = state.step(
                active.execution, event, time.monotonic(), time.time()
            )
        for effect in effects:
            self._apply_effect(active, effect)

    def _apply_effect(
        self, active: _ActiveExecution, effect: messages.Effect
    ) -> None:
        match effect:
            case messages.Write(put, deadline):
                attempt = active.execution.draft.holder.attempt
                self._committer.submit(
                    put, attempt, deadline
                ).add_done_callback(
                    lambda done: self._deliver(
                        active, messages.WriteSettled(done.result())
                    )
                )
            case messages.Send():
                self._senders.submit(self._send_once, active, effect)
            case messages.Poll(key):
                self._readers.submit(self._poll, active, key)
            case messages.SetTimer(due_at):
                with self._timers_changed:
                    heapq.heappush(
                        self._timers,
                        (due_at, next(self._timer_sequence), active),
                    )
                    self._timers_changed.notify()
            case messages.Respond(reply):
                active.reply.set_result(reply)

    def _send_once(
        self, active: _ActiveExecution, effect: messages.Send
    ) -> None:
        holder = active.execution.draft.holder
        # The time spent waiting for a thread counts against the send window.
        if not state.may_send(effect.not_after, time.monotonic()):
            answer = state.send_window_expired(effect.request.service)
        else:
            try:
                answer = self._send(effect.request, holder)
            except Exception as error:
                LOG.exception('send failed with an exception')
                answer = result.Failure(
                    errors.Failure(
                        errors.FailureKind.INTERRUPTED,
                        errors.Step.DISPATCH,
                        effect.request.service,
                        repr(error),
                        types.Outcome.UNKNOWN,
                    )
                )
        self._deliver(active, messages.SendSettled(answer))

    def _poll(self, active: _ActiveExecution, key: str) -> None:
        self._deliver(active, messages.RowRead(self._client.read([key])))

    def _run_timers(self) -> None:
        while True:
            with self._timers_changed:
                if self._closing:
                    return
                now = time.monotonic()
                if not self._timers or self._timers[0][0] > now:
                    self._timers_changed.wait(
                        self._timers[0][0] - now if self._timers else None
                    )
                    continue
                _, _, active = heapq.heappop(self._timers)
            self._deliver(active, messages.TimerFired())


def _is_granted(capacity: CapacityFuture) -> bool:
    return (
        capacity.done()
        and not capacity.cancelled()
        and capacity.exception() is None
        and isinstance(capacity.result(), result.Success)
    )


def _validation_error(
    request: record.StoredRequest, idempotency_key: str
) -> str:
    """Return why a request cannot be recorded, '' if it can."""
    size = len(request.body)
    if size > MAX_BODY_BYTES:
        return f'body of {size} bytes, the limit is {MAX_BODY_BYTES}'
    texts = (
        idempotency_key,
        request.service,
        request.method,
        request.path,
        *itertools.chain.from_iterable(request.headers),
    )
    try:
        ''.join(texts).encode()
    except UnicodeEncodeError as error:
        # The text cannot be encoded as JSON; its whole batch would fail.
        return f'request text: {error.reason}'
    return ''


def _invalid_reply(detail: str) -> messages.Reply:
    return messages.Reply(
        result.Failure(
            errors.Failure(
                errors.FailureKind.INVALID,
                errors.Step.RECORD_ORDER,
                '',
                detail,
            )
        ),
        recorded=False,
    )
