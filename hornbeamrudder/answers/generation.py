"""Generation of one answer: attempts, resumption and migration."""

from concurrent import futures
import dataclasses
import threading
import time
from typing import Callable

from returns import result
import structlog

from . import attempt_failures
from ..backends import client as backends_client
from . import buffer
from ..core import errors
from ..core import ids
from ..core import types
from . import generation_types
from ..infrastructure import http
from . import reader
from ..retries import decide
from . import scheduler

MAX_ATTEMPTS = 8
RETRY_DELAY_S = 0.05
# Time after the deadline for which an answer that the caller has partly read
# is still resumed: a late answer is better than a truncated one.
RESUME_GRACE_S = 60.0
# Matches no attempt, so that the buffer drops the events of all attempts.
NO_ATTEMPT = -1

log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    number: int
    worker: types.Worker
    call: http.Call | None = None
    started_at: float = dataclasses.field(default_factory=time.monotonic)


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
        self._current: _Attempt | None = None
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
        self.buffer.begin_attempt(NO_ATTEMPT)
        if attempt is None:
            return None
        cache_blob = self._export_cache(attempt)
        if not self._stop_attempt(generation_types.EndReason.MOVED, attempt):
            return None
        if cache_blob:
            self._import_cache(attempt.worker, cache_blob)
        return attempt.worker

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
        attempts: int,
        worker: types.Worker | None,
    ) -> None:
        """Resume an answer that another node handed over.

        Parameters
        ----------
        received : list of bytes
            Events of the answer so far, from offset 0.
        attempts : int
            Number of attempts so far.
        worker : Worker or None
            Worker that has the KV cache.
        """
        self.buffer.restore(received)
        self.attempts = attempts
        self._executor.submit(self._resume_at, worker)

    def _resume_at(self, worker: types.Worker | None) -> None:
        if worker is not None and self._pool.claim(self.request, worker):
            self._send(worker, imported=True)
        else:
            self._start_attempt()

    def migrate(self, use_cache_export: bool) -> None:
        """Continue at another worker, as the current one is leaving.

        Parameters
        ----------
        use_cache_export : bool
            Whether to transfer the KV cache to avoid recomputation.
        """
        with self._lock:
            attempt = self._current
        if attempt is None:
            return
        self._failed_workers |= {attempt.worker.id}
        cache_blob = self._export_cache(attempt) if use_cache_export else b''
        if self._stop_attempt(generation_types.EndReason.MOVED, attempt):
            self._start_attempt(cache_blob)

    def _start_attempt(self, cache_blob: bytes = b'') -> None:
        running = self.buffer.state is buffer.AnswerState.RUNNING
        if self._paused or not running or self._current is not None:
            return
        choice = self._pool.choose(self.request, self._failed_workers)
        match choice:
            case result.Success(worker):
                imported = bool(cache_blob) and self._import_cache(
                    worker, cache_blob
                )
                self._send(worker, imported)
            case result.Failure(failure):
                self._retry_or_fail(failure)

    def _retry_or_fail(self, failure: errors.Failure) -> None:
        """Retry later, or fail if the latest start has passed.

        A granted slot does not reserve a worker: shares change, and the free
        slots may be at workers that are not open to this request.
        """
        if time.monotonic() > self._latest_start():
            self._fail(failure)
            return
        self._failed_workers = frozenset()
        self._retry_scheduler.run_after(RETRY_DELAY_S, self._start_attempt)

    def _latest_start(self) -> float:
        grace_s = RESUME_GRACE_S if self.buffer.next_offset else 0.0
        return self.request.deadline + grace_s

    def _send(self, worker: types.Worker, imported: bool) -> None:
        with self._lock:
            self.attempts += 1
            number = self.attempts
            offset = self.buffer.begin_attempt(number)
            if offset and not imported:
                self.recomputed_tokens += offset
            stream = reader.AttemptReader(
                self.buffer,
                number,
                lambda detail: self._reject_response(number, detail),
            )
            call = self._client.start(
                backends_client.engine_request(
                    worker,
                    backends_client.EngineCall(
                        self.request.id,
                        number,
                        self.request.body,
                        self.request.rank,
                        offset,
                        self.request.traceparent,
                    ),
                ),
                stream.feed,
            )
            self._current = _Attempt(number, worker, call)
            self._started.set()
        attempt = self._current
        call.future.add_done_callback(
            lambda future: self._executor.submit(
                self._on_call_end, attempt, future.result()
            )
        )

    def _reject_response(self, number: int, detail: str) -> None:
        attempt = self._current
        if attempt is None or attempt.number != number:
            return
        log.error(
            'engine sent an event of another request',
            request_id=self.request.id,
            peer=str(attempt.worker.address),
            detail=detail,
        )
        if attempt.call is not None:
            self._client.cancel(attempt.call)

    def _on_call_end(
        self,
        attempt: _Attempt,
        outcome: http.HttpResult,
    ) -> None:
        if not self._clear_current(attempt):
            return
        # An answer with its finish reason is complete even if the end marker
        # was lost.
        self.buffer.complete(attempt.number)
        if self.buffer.state is buffer.AnswerState.COMPLETE:
            self._attempt_ended(attempt, generation_types.EndReason.COMPLETE)
            self._notify_end()
            return
        self._attempt_ended(attempt, generation_types.EndReason.FAILED)
        self._failed_workers |= {attempt.worker.id}
        failure = attempt_failures.from_outcome(outcome, attempt.worker)
        if self._may_retry(failure):
            self._retry_scheduler.run_after(RETRY_DELAY_S, self._start_attempt)
        else:
            self._fail(failure)

    def _may_retry(self, failure: errors.Failure) -> bool:
        if (
            failure.kind is errors.FailureKind.INVALID
            or self.attempts >= MAX_ATTEMPTS
            or time.monotonic() > self._latest_start()
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
        self, attempt: _Attempt, reason: generation_types.EndReason
    ) -> None:
        self._pool.ended(self.request, attempt.worker, reason)
        self._on_attempt(
            generation_types.EndedAttempt(
                self.request,
                attempt.number,
                attempt.worker,
                reason,
                time.monotonic() - attempt.started_at,
            )
        )

    def _clear_current(self, attempt: _Attempt) -> bool:
        with self._lock:
            if self._current is not attempt:
                return False
            self._current = None
            return True

    def _stop_attempt(
        self,
        reason: generation_types.EndReason,
        expected: _Attempt | None = None,
    ) -> bool:
        with self._lock:
            attempt = self._current
            if attempt is None or (
                expected is not None and attempt is not expected
            ):
                return False
            self._current = None
        self._attempt_ended(attempt, reason)
        if attempt.call is not None:
            self._client.cancel(attempt.call)
        self._client.start(
            backends_client.cancel_request(
                attempt.worker, self.request.id, attempt.number
            )
        )
        return True

    def _export_cache(self, attempt: _Attempt) -> bytes:
        response = self._client.call(
            backends_client.control_request(
                attempt.worker,
                '/v1/kv/export',
                kv_export_body(self.request.id),
            )
        )
        match response:
            case result.Success(response) if response.status == 200:
                return response.body
            case _:
                return b''

    def _import_cache(self, worker: types.Worker, cache_blob: bytes) -> bool:
        response = self._client.call(
            backends_client.control_request(
                worker, '/v1/kv/import', cache_blob
            )
        )
        match response:
            case result.Success(response):
                return response.status == 200
            case _:
                return False


def kv_export_body(request_id: ids.RequestId) -> bytes:
    """Return the request body of a KV cache export."""
    return b'{"request_id":"%s"}' % request_id.encode()
