"""Generation of one answer: attempts, resumption and migration."""

from concurrent import futures
import threading
import time
from typing import Callable

from returns import result
import structlog

from . import attempt_failures
from . import attempts
from . import buffer
from ..core import errors
from ..core import ids
from ..core import types
from . import generation_types
from ..infrastructure import http
from . import reader
from . import resumption
from ..retries import decide
from . import scheduler

# Matches no attempt, so that the buffer drops the events of all attempts.
NO_ATTEMPT = -1

log = structlog.get_logger()


class Generation:
    """Makes attempts for one request until its answer is complete.

    Thread-safe. Blocking operations run on the given executor, never on the
    thread of the HTTP client.
    """

    def __init__(
        self,
        request: generation_types.GenerationRequest,
        client: http.HttpClient,
        pool: generation_types.WorkerPool,
        executor: futures.Executor,
        retry_scheduler: scheduler.Scheduler,
        on_end: Callable[['Generation'], None],
        on_attempt: generation_types.AttemptCallback = (
            generation_types.ignore_attempt
        ),
    ) -> None:
        self.request = request
        self.buffer = buffer.AnswerBuffer(request.id)
        self.accepted_at = time.monotonic()
        self.attempts = 0
        self.recomputed_tokens = 0
        self._client = client
        self._pool = pool
        self._executor = executor
        self._retry_scheduler = retry_scheduler
        self._on_end = on_end
        self._on_attempt = on_attempt
        self._lock = threading.Lock()
        self._current: attempts.Attempt | None = None
        # Asked to continue for the current one, whose worker is leaving.
        self._next: attempts.Attempt | None = None
        self._moving: attempts.Attempt | None = None
        self._use_cache_export = False
        self._refusals = resumption.Refusals()
        self._failed_workers: frozenset[ids.WorkerId] = frozenset()
        self._paused = False
        self._end_notified = False
        self._started = threading.Event()

    @property
    def first_token_at(self) -> float | None:
        """Monotonic time of the first token, None if there is none yet."""
        return self.buffer.first_event_at

    @property
    def worker(self) -> types.Worker | None:
        """Worker of the current attempt."""
        current = self._current
        return None if current is None else current.worker

    @property
    def refused_attempts(self) -> int:
        """Number of attempts that do not count towards their limit."""
        return self._refusals.total

    def run_first_attempt(self) -> None:
        """Start the first attempt on the calling thread."""
        self._start_attempt()

    def wait_for_start(self, timeout_s: float) -> None:
        """Wait until the first attempt is sent or the answer has ended."""
        self._started.wait(timeout_s)

    def cancel(self, failure: errors.Failure) -> None:
        """End the answer with `failure` and cancel the attempt."""
        self.buffer.fail(failure)
        self._stop_attempt(generation_types.EndReason.FAILED)
        self._stop_next()
        self._notify_end()

    def pause(self) -> types.Worker | None:
        """Stop the current attempt and accept no more events.

        The KV cache is exported and imported again at the same worker under
        the request id, so that the node that continues the answer can resume
        there without recomputation.

        Returns
        -------
        Worker or None
            Worker of the stopped attempt.
        """
        with self._lock:
            self._paused = True
            attempt = self._current
            asked, self._next = self._next, None
        self.buffer.begin_attempt(NO_ATTEMPT)
        self._end_stopped(asked, generation_types.EndReason.MOVED)
        if attempt is None:
            return None
        worker = attempt.worker
        cache = attempts.export_cache(self._client, self.request.id, worker)
        if not self._stop_attempt(generation_types.EndReason.MOVED, attempt):
            return None
        attempts.import_cache(self._client, worker, cache)
        return worker

    def unpause(self) -> None:
        """Continue after `pause` because no node took the answer over."""
        with self._lock:
            self._paused = False
        self._start_attempt()

    def finish_handover(self) -> None:
        """End on this node, as another node continues the answer."""
        self.buffer.mark_moved()
        self._notify_end()

    def resume_from(
        self,
        received: list[bytes],
        attempts_so_far: int,
        refused: int,
        worker: types.Worker | None,
    ) -> None:
        """Resume an answer that another node handed over.

        Parameters
        ----------
        received : list of bytes
            Events of the answer so far, from offset 0.
        attempts_so_far : int
            Number of attempts so far.
        refused : int
            Number of these that do not count towards their limit.
        worker : Worker or None
            Worker that has the KV cache.
        """
        self.buffer.restore(received)
        self.attempts = attempts_so_far
        self._refusals = resumption.Refusals(refused)
        self._executor.submit(self._resume_at, worker)

    def _resume_at(self, worker: types.Worker | None) -> None:
        if worker is not None and self._pool.claim(self.request, worker):
            self._send(worker, imported=True)
        else:
            self._start_attempt()

    def migrate(self, use_cache_export: bool) -> None:
        """Continue at another worker, as the current one is leaving.

        The current attempt is stopped only once another one has begun.

        Parameters
        ----------
        use_cache_export : bool
            Whether to transfer the KV cache to avoid recomputation.
        """
        with self._lock:
            attempt = self._current
            if attempt is None or self._moving is attempt:
                return
            self._moving = attempt
            self._use_cache_export = use_cache_export
        self._ask_next(attempt)

    def _ask_next(self, leaving: attempts.Attempt) -> None:
        if not self._is_expected(leaving) or self._left_s() < 0:
            return
        self._failed_workers |= {leaving.worker.id}
        match self._pool.choose(self.request, self._failed_workers):
            case result.Success(worker) if worker.id != leaving.worker.id:
                imported = self._use_cache_export and attempts.copy_cache(
                    self._client, self.request.id, leaving.worker, worker
                )
                self._send(worker, imported, leaving)
                return
            case result.Success(worker):
                self._pool.ended(
                    self.request, worker, generation_types.EndReason.MOVED
                )
        self._failed_workers = frozenset()
        self._retry_scheduler.run_after(
            resumption.RETRY_DELAY_S, lambda: self._ask_next(leaving)
        )

    def _start_attempt(self) -> None:
        if not self._is_expected(None):
            return
        match self._pool.choose(self.request, self._failed_workers):
            case result.Success(worker):
                self._send(worker, False)
            case result.Failure(failure):
                self._retry_or_fail(failure)

    def _is_expected(self, current: attempts.Attempt | None) -> bool:
        running = self.buffer.state is buffer.AnswerState.RUNNING
        return running and not self._paused and self._current is current

    def _retry_or_fail(self, failure: errors.Failure) -> None:
        """Retry later, or fail if the latest start has passed.

        A granted slot does not reserve a worker: shares change, and the free
        slots may be at workers that are not open to this request.
        """
        if self._left_s() < 0:
            self._fail(failure)
            return
        self._failed_workers = frozenset()
        self._retry_scheduler.run_after(
            resumption.RETRY_DELAY_S, self._start_attempt
        )

    def _left_s(self) -> float:
        begun = self.buffer.next_offset > 0
        latest_start = resumption.latest_start(self.request.deadline, begun)
        return latest_start - time.monotonic()

    def _send(
        self,
        worker: types.Worker,
        imported: bool,
        leaving: attempts.Attempt | None = None,
    ) -> None:
        attempt = self._open(worker, imported, leaving)
        if attempt is None:
            self._pool.ended(
                self.request, worker, generation_types.EndReason.MOVED
            )
            return
        attempt.call.future.add_done_callback(
            lambda future: self._executor.submit(
                self._on_call_end, attempt, future.result()
            )
        )

    def _open(
        self,
        worker: types.Worker,
        imported: bool,
        leaving: attempts.Attempt | None,
    ) -> attempts.Attempt | None:
        with self._lock:
            if not self._is_expected(leaving):
                return None
            self.attempts += 1
            number = self.attempts
            offset = (
                self.buffer.begin_attempt(number)
                if leaving is None
                else self.buffer.next_offset
            )
            stream = reader.AttemptReader(
                self.buffer,
                number,
                lambda detail: self._reject_response(number, detail),
                lambda: self._on_begin(number),
            )
            call = attempts.send(
                self._client, self.request, worker, number, offset, stream.feed
            )
            attempt = attempts.Attempt(
                number, worker, offset, imported, call, leaving
            )
            if leaving is None:
                self._current = attempt
            else:
                self._next = attempt
            self._started.set()
        return attempt

    def _on_begin(self, number: int) -> None:
        """Stop the attempt at a leaving worker, as the next has begun.

        Runs on the thread of the HTTP client.
        """
        with self._lock:
            moved, attempt = None, self._current
            if self._next is not None and self._next.number == number:
                moved, attempt = self._current, self._next
                self._current, self._next = attempt, None
                self.buffer.begin_attempt(number)
            if attempt is None or attempt.number != number:
                return
            if not attempt.imported:
                self.recomputed_tokens += attempt.offset
        if moved is not None:
            try:
                self._executor.submit(
                    self._end_stopped, moved, generation_types.EndReason.MOVED
                )
            except RuntimeError:
                # The executor has been shut down.
                return

    def _reject_response(self, number: int, detail: str) -> None:
        with self._lock:
            known = (self._current, self._next)
            attempts_by_number = {item.number: item for item in known if item}
        attempt = attempts_by_number.get(number)
        if attempt is None:
            return
        log.error(
            'engine sent an event of another request',
            request_id=self.request.id,
            peer=str(attempt.worker.address),
            detail=detail,
        )
        self._client.cancel(attempt.call)

    def _on_call_end(
        self,
        attempt: attempts.Attempt,
        outcome: http.HttpResult,
    ) -> None:
        if not self._clear(attempt):
            return
        # An answer with its finish reason is complete even if the end marker
        # was lost.
        self.buffer.complete(attempt.number)
        if self.buffer.state is buffer.AnswerState.COMPLETE:
            self._attempt_ended(attempt, generation_types.EndReason.COMPLETE)
            self._stop_next()
            self._notify_end()
            return
        self._attempt_ended(attempt, generation_types.EndReason.FAILED)
        self._failed_workers |= {attempt.worker.id}
        self._refusals = resumption.after_failure(
            self._refusals,
            attempt_failures.is_proved_not_run(outcome),
            self.buffer.next_offset > 0,
        )
        current = self._use_next()
        if current is not None and current is not attempt.leaving:
            return
        failure = attempt_failures.from_outcome(outcome, attempt.worker)
        if self._may_retry(failure):
            self._retry_scheduler.run_after(
                resumption.delay_s(self._refusals, self._left_s()),
                self._start_attempt
                if current is None
                else lambda: self._ask_next(current),
            )
        elif current is None:
            self._fail(failure)

    def _may_retry(self, failure: errors.Failure) -> bool:
        if (
            failure.kind is errors.FailureKind.INVALID
            or not resumption.may_attempt(
                self.attempts, self._refusals, self._left_s()
            )
        ):
            return False
        return not decide.needs_budget(
            self.buffer.next_offset
        ) or self._pool.may_retry(self.request)

    def _fail(self, failure: errors.Failure) -> None:
        self.buffer.fail(failure)
        self._notify_end()

    def _notify_end(self) -> None:
        with self._lock:
            first, self._end_notified = not self._end_notified, True
        self._started.set()
        if first:
            self._on_end(self)

    def _attempt_ended(
        self, attempt: attempts.Attempt, reason: generation_types.EndReason
    ) -> None:
        self._pool.ended(self.request, attempt.worker, reason)
        self._on_attempt(attempts.to_ended(self.request, attempt, reason))

    def _clear(self, attempt: attempts.Attempt) -> bool:
        """Forget an attempt that ended; return False if it was stopped."""
        with self._lock:
            if self._next is attempt:
                self._next = None
            elif self._current is attempt:
                self._current = None
            else:
                return False
            return True

    def _use_next(self) -> attempts.Attempt | None:
        """Return the current attempt, after a broken one the next."""
        with self._lock:
            if self._current is None and self._next is not None:
                self._current, self._next = self._next, None
                self.buffer.begin_attempt(self._current.number)
            return self._current

    def _stop_next(self) -> None:
        with self._lock:
            asked, self._next = self._next, None
        self._end_stopped(asked, generation_types.EndReason.MOVED)

    def _stop_attempt(
        self,
        reason: generation_types.EndReason,
        expected: attempts.Attempt | None = None,
    ) -> bool:
        with self._lock:
            attempt = self._current
            if attempt is None or (
                expected is not None and attempt is not expected
            ):
                return False
            self._current = None
        self._end_stopped(attempt, reason)
        return True

    def _end_stopped(
        self,
        attempt: attempts.Attempt | None,
        reason: generation_types.EndReason,
    ) -> None:
        if attempt is not None:
            self._attempt_ended(attempt, reason)
            attempts.stop(self._client, self.request.id, attempt)
