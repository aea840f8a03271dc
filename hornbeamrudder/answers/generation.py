"""One answer of a model engine: attempts, resume, move to another worker."""

from concurrent import futures
import dataclasses
import enum
import threading
import time
from typing import Callable, Protocol

from returns import result
import structlog

from . import attempts
from ..backends import client as backends_client
from . import buffer
from ..core import errors
from ..core import ids
from ..core import types
from ..infrastructure import http
from . import reader
from ..retries import decide
from . import scheduler

MAX_ATTEMPTS = 8
RETRY_PAUSE_S = 0.05
# An answer that has begun is worth more than its deadline: the caller has
# read a part of it. Past this time it is given up.
RESUME_GRACE_S = 60.0
# Number of no attempt; pieces of all attempts are dropped.
PAUSED_ATTEMPT = -1

log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationRequest:
    """An accepted request for a model answer.

    Attributes
    ----------
    expected_tokens : float
        Tokens that the answer is expected to have.
    deadline : float
        Monotonic time in seconds after which no first token is worth it.
    prompt_key : str
        Prompt text by which a worker with a cached prefix is found.
    """

    id: ids.RequestId
    account: ids.AccountId
    service: ids.ServiceName
    rank: types.Rank
    body: bytes
    prompt_key: str
    max_tokens: int
    expected_tokens: float
    deadline: float
    traceparent: str = ''


class EndReason(enum.Enum):
    """How an attempt ended, as told to the worker pool."""

    COMPLETE = 'complete'
    FAILED = 'failed'
    MOVED = 'moved'


@dataclasses.dataclass(frozen=True, slots=True)
class EndedAttempt:
    """One attempt that has ended, for traces; none is made for a token.

    Attributes
    ----------
    seconds : float
        From the sending of the request to the end.
    """

    request: GenerationRequest
    number: int
    worker: types.Worker
    reason: EndReason
    seconds: float


AttemptCallback = Callable[[EndedAttempt], None]


def ignore_attempt(ended: EndedAttempt) -> None:
    """Do nothing at the end of an attempt."""


class WorkerPool(Protocol):
    """Chooses workers and keeps count of the work sent to them."""

    def choose(
        self,
        request: GenerationRequest,
        excluded: frozenset[ids.WorkerId],
    ) -> result.Result[types.Worker, errors.Failure]:
        """Choose a worker and count the request as sent to it."""

    def claim(self, request: GenerationRequest, worker: types.Worker) -> bool:
        """Count the request as sent to this worker, if it takes new work."""

    def ended(
        self,
        request: GenerationRequest,
        worker: types.Worker,
        reason: EndReason,
    ) -> None:
        """Take the request off the worker's count."""

    def may_retry(self, request: GenerationRequest) -> bool:
        """Take one retry from the budget."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    number: int
    worker: types.Worker
    call: http.Call | None = None
    started_at: float = dataclasses.field(default_factory=time.monotonic)


class Generation:
    """Drives the attempts of one request until its answer is whole.

    Methods may be called from any thread. Steps that may wait run on the
    given executor, never on the thread of the HTTP client.
    """

    def __init__(
        self,
        request: GenerationRequest,
        client: http.HttpClient,
        pool: WorkerPool,
        executor: futures.Executor,
        waits: scheduler.Scheduler,
        on_end: Callable[['Generation'], None],
        on_attempt: AttemptCallback = ignore_attempt,
    ) -> None:
        self.request = request
        self.buffer = buffer.AnswerBuffer(request.id)
        self.accepted_at = time.monotonic()
        self.attempts = 0
        self.recomputed_tokens = 0
        self._client = client
        self._pool = pool
        self._executor = executor
        self._waits = waits
        self._on_end = on_end
        self._on_attempt = on_attempt
        self._lock = threading.Lock()
        self._current: _Attempt | None = None
        self._failed_workers: frozenset[ids.WorkerId] = frozenset()
        self._paused = False
        self._told_end = False
        self._begun = threading.Event()

    @property
    def first_token_at(self) -> float | None:
        """Monotonic time of the first token, None before it."""
        return self.buffer.first_event_at

    @property
    def worker(self) -> types.Worker | None:
        """Worker of the current attempt."""
        current = self._current
        return None if current is None else current.worker

    def run_first_attempt(self) -> None:
        """Start the first attempt on the calling thread."""
        self._start_attempt()

    def wait_begun(self, timeout_s: float) -> None:
        """Wait until an attempt was sent or the answer has ended."""
        self._begun.wait(timeout_s)

    def cancel(self, failure: errors.Failure) -> None:
        """End the answer with `failure` and stop the engine's work."""
        self.buffer.fail(failure)
        self._abandon(EndReason.FAILED)
        self._tell_end()

    def pause(self) -> types.Worker | None:
        """Stop the current attempt and accept no more pieces.

        The KV cache is put back at the worker under the request's id, so
        that the node that goes on with the answer resumes there without
        computing it again.

        Returns
        -------
        Worker or None
            Worker of the attempt that was stopped.
        """
        with self._lock:
            self._paused = True
            attempt = self._current
        self.buffer.begin_attempt(PAUSED_ATTEMPT)
        if attempt is None:
            return None
        blob = self._export_cache(attempt)
        if not self._abandon(EndReason.MOVED, attempt):
            return None
        if blob:
            self._import_cache(attempt.worker, blob)
        return attempt.worker

    def unpause(self) -> None:
        """Go on here after `pause`, as no other node took the answer."""
        with self._lock:
            self._paused = False
        self._start_attempt()

    def finish_handover(self) -> None:
        """End here, as another node goes on with the answer."""
        self.buffer.move()
        self._tell_end()

    def continue_from(
        self,
        stored: list[bytes],
        attempts: int,
        worker: types.Worker | None,
    ) -> None:
        """Go on with an answer that another node handed over.

        Parameters
        ----------
        stored : list of bytes
            Events of the answer so far, from offset 0.
        attempts : int
            Attempts made so far.
        worker : Worker or None
            Worker that holds the KV cache.
        """
        self.buffer.load(stored)
        self.attempts = attempts
        self._executor.submit(self._resume_at, worker)

    def _resume_at(self, worker: types.Worker | None) -> None:
        if worker is not None and self._pool.claim(self.request, worker):
            self._send(worker, imported=True)
        else:
            self._start_attempt()

    def leave_worker(self, use_cache_export: bool) -> None:
        """Go on at another worker, as the current one is leaving.

        Parameters
        ----------
        use_cache_export : bool
            Whether to carry the KV cache over, so that nothing has to be
            computed again.
        """
        with self._lock:
            attempt = self._current
        if attempt is None:
            return
        self._failed_workers |= {attempt.worker.id}
        blob = self._export_cache(attempt) if use_cache_export else b''
        if self._abandon(EndReason.MOVED, attempt):
            self._start_attempt(blob)

    def _start_attempt(self, cache_blob: bytes = b'') -> None:
        running = self.buffer.state is buffer.AnswerState.RUNNING
        if self._paused or not running or self._current is not None:
            return
        chosen = self._pool.choose(self.request, self._failed_workers)
        match chosen:
            case result.Success(worker):
                imported = bool(cache_blob) and self._import_cache(
                    worker, cache_blob
                )
                self._send(worker, imported)
            case result.Failure(failure):
                self._wait_for_worker(failure)

    def _wait_for_worker(self, failure: errors.Failure) -> None:
        """Try again later within the deadline, then refuse.

        A slot of this node is no reservation of a worker: shares change, and
        the free slots may be at workers that are closed to this request.
        """
        if time.monotonic() > self._latest_start():
            self._end_with(failure)
            return
        self._failed_workers = frozenset()
        self._waits.run_after(RETRY_PAUSE_S, self._start_attempt)

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
                lambda detail: self._refuse_foreign(number, detail),
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
            self._begun.set()
        attempt = self._current
        call.future.add_done_callback(
            lambda future: self._executor.submit(
                self._on_call_end, attempt, future.result()
            )
        )

    def _refuse_foreign(self, number: int, detail: str) -> None:
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
        if not self._take_current(attempt):
            return
        # An answer is whole with its finish reason, even where the end mark
        # after it was lost.
        self.buffer.complete(attempt.number)
        if self.buffer.state is buffer.AnswerState.COMPLETE:
            self._attempt_ended(attempt, EndReason.COMPLETE)
            self._tell_end()
            return
        self._attempt_ended(attempt, EndReason.FAILED)
        self._failed_workers |= {attempt.worker.id}
        failure = attempts.failure_of(outcome, attempt.worker)
        if self._may_go_on(failure):
            self._waits.run_after(RETRY_PAUSE_S, self._start_attempt)
        else:
            self._end_with(failure)

    def _may_go_on(self, failure: errors.Failure) -> bool:
        if (
            failure.kind is errors.FailureKind.INVALID
            or self.attempts >= MAX_ATTEMPTS
            or time.monotonic() > self._latest_start()
        ):
            return False
        return not decide.needs_budget(
            self.buffer.next_offset
        ) or self._pool.may_retry(self.request)

    def _end_with(self, failure: errors.Failure) -> None:
        self.buffer.fail(failure)
        self._tell_end()

    def _tell_end(self) -> None:
        with self._lock:
            first, self._told_end = not self._told_end, True
        self._begun.set()
        if first:
            self._on_end(self)

    def _attempt_ended(self, attempt: _Attempt, reason: EndReason) -> None:
        self._pool.ended(self.request, attempt.worker, reason)
        self._on_attempt(
            EndedAttempt(
                self.request,
                attempt.number,
                attempt.worker,
                reason,
                time.monotonic() - attempt.started_at,
            )
        )

    def _take_current(self, attempt: _Attempt) -> bool:
        with self._lock:
            if self._current is not attempt:
                return False
            self._current = None
            return True

    def _abandon(
        self, reason: EndReason, expected: _Attempt | None = None
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
        answer = self._client.call(
            backends_client.control_request(
                attempt.worker,
                '/v1/kv/export',
                export_body(self.request.id),
            )
        )
        match answer:
            case result.Success(response) if response.status == 200:
                return response.body
            case _:
                return b''

    def _import_cache(self, worker: types.Worker, blob: bytes) -> bool:
        answer = self._client.call(
            backends_client.control_request(worker, '/v1/kv/import', blob)
        )
        match answer:
            case result.Success(response):
                return response.status == 200
            case _:
                return False


def export_body(request_id: ids.RequestId) -> bytes:
    """Body of a KV cache export."""
    return b'{"request_id":"%s"}' % request_id.encode()
