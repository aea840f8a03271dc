"""Runs non-idempotent requests: clocks, threads and calls for `state`."""

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

# Called on a thread of the executor; sends at most once and must return.
SendFunction = Callable[
    [record.StoredRequest, record.Holder], messages.SendResult
]
# Admission's decision; a success lets the request be dispatched.
CapacityFuture = futures.Future[result.Result[None, errors.Failure]]

LOG = structlog.get_logger(__name__)


class _Run:
    """One execution in progress."""

    def __init__(self, execution: messages.Execution) -> None:
        self.execution = execution
        self.lock = threading.Lock()
        self.reply: futures.Future[messages.Reply] = futures.Future()
        # The order goes on where the caller no longer waits.
        self.reply.set_running_or_notify_cancel()


class OrderExecutor:
    """Executes orders of one node; safe to use from any thread."""

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
        self._timers: list[tuple[float, int, _Run]] = []
        self._timer_numbers = itertools.count()
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
            A fresh attempt id of this node.
        capacity : Future
            Where it is already granted, the record starts in `dispatching`.
        """
        unfit = _unfit(request, idempotency_key)
        if unfit:
            refused: futures.Future[messages.Reply] = futures.Future()
            refused.set_result(_invalid(unfit))
            return refused
        wall = time.time()
        draft = record.OrderRecord(
            record.OrderState.ACCEPTED,
            account,
            request.digest(),
            holder,
            wall + timeout_s,
            wall,
            request,
        )
        execution = messages.Execution(
            record.row_key(account, idempotency_key),
            draft,
            time.monotonic() + timeout_s,
            has_capacity=_granted(capacity),
        )
        return self._start(execution, capacity)

    def take_over(
        self,
        key: str,
        version: int,
        draft: record.OrderRecord,
        capacity: CapacityFuture,
    ) -> futures.Future[messages.Reply]:
        """Execute an accepted record of a node that is gone.

        Parameters
        ----------
        version : int
            Version of the row in which the record was found.
        draft : OrderRecord
            The record with this node as its holder.
        """
        remaining_s = max(0.0, draft.deadline_wall - time.time())
        execution = messages.Execution(
            key,
            draft,
            time.monotonic() + remaining_s,
            version=version,
            has_capacity=_granted(capacity),
        )
        return self._start(execution, capacity)

    def close(self) -> None:
        """Stop timers and threads once the sends in progress have ended."""
        with self._timers_changed:
            self._closing = True
            self._timers_changed.notify()
        self._timer_thread.join()
        self._senders.shutdown()
        self._readers.shutdown()

    def _start(
        self, execution: messages.Execution, capacity: CapacityFuture
    ) -> futures.Future[messages.Reply]:
        run = _Run(execution)
        self._post(run, messages.Begin())
        if not execution.has_capacity:
            capacity.add_done_callback(
                lambda done: self._post(run, messages.Capacity(_granted(done)))
            )
        return run.reply

    def _post(self, run: _Run, event: messages.Event) -> None:
        with run.lock:
            run.execution, effects = state.step(
                run.execution, event, time.monotonic(), time.time()
            )
        for effect in effects:
            self._execute(run, effect)

    def _execute(self, run: _Run, effect: messages.Effect) -> None:
        match effect:
            case messages.Write(put, deadline):
                attempt = run.execution.draft.holder.attempt
                self._committer.submit(
                    put, attempt, deadline
                ).add_done_callback(
                    lambda done: self._post(
                        run, messages.WriteSettled(done.result())
                    )
                )
            case messages.Send():
                self._senders.submit(self._send_once, run, effect)
            case messages.Poll(key):
                self._readers.submit(self._poll, run, key)
            case messages.SetTimer(at):
                with self._timers_changed:
                    heapq.heappush(
                        self._timers, (at, next(self._timer_numbers), run)
                    )
                    self._timers_changed.notify()
            case messages.Answer(reply):
                run.reply.set_result(reply)

    def _send_once(self, run: _Run, effect: messages.Send) -> None:
        holder = run.execution.draft.holder
        # The wait for a thread counts against the window.
        if not state.may_send(effect.not_after, time.monotonic()):
            answer = state.window_closed(effect.request.service)
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
        self._post(run, messages.SendSettled(answer))

    def _poll(self, run: _Run, key: str) -> None:
        self._post(run, messages.RowRead(self._client.read([key])))

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
                _, _, run = heapq.heappop(self._timers)
            self._post(run, messages.Timer())


def _granted(capacity: CapacityFuture) -> bool:
    return (
        capacity.done()
        and not capacity.cancelled()
        and capacity.exception() is None
        and isinstance(capacity.result(), result.Success)
    )


def _unfit(request: record.StoredRequest, idempotency_key: str) -> str:
    """Why a request cannot be recorded, '' where it can."""
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
        # Such a text cannot be written as JSON; the batch would fail.
        return f'request text: {error.reason}'
    return ''


def _invalid(detail: str) -> messages.Reply:
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
