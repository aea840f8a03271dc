"""One answer of a model engine: attempts, resume, move to another worker."""

from concurrent import futures
import dataclasses
import enum
import threading
import time
from typing import Callable, Protocol

from returns import result
import structlog

from ..backends import client as backends_client
from . import buffer
from ..core import errors
from ..core import ids
from ..core import types
from ..platform import http
from . import reader

MAX_ATTEMPTS = 8
RETRY_PAUSE_S = 0.05

log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationRequest:
    """An accepted request for a model answer.

    Attributes
    ----------
    deadline : float
        Monotonic time in seconds after which no attempt is started.
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
    deadline: float
    traceparent: str = ''


class EndReason(enum.Enum):
    """How an attempt ended, as told to the worker pool."""

    COMPLETE = 'complete'
    FAILED = 'failed'
    MOVED = 'moved'


class WorkerPool(Protocol):
    """Chooses workers and keeps count of the work sent to them."""

    def choose(
        self,
        request: GenerationRequest,
        excluded: frozenset[ids.WorkerId],
    ) -> result.Result[types.Worker, errors.Failure]:
        """Choose a worker and count the request as sent to it."""

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
        on_end: Callable[['Generation'], None],
    ) -> None:
        self.request = request
        self.buffer = buffer.AnswerBuffer(request.id)
        self.accepted_at = time.monotonic()
        self.attempts = 0
        self.recomputed_tokens = 0
        self._client = client
        self._pool = pool
        self._executor = executor
        self._on_end = on_end
        self._lock = threading.Lock()
        self._current: _Attempt | None = None
        self._failed_workers: frozenset[ids.WorkerId] = frozenset()

    @property
    def first_token_at(self) -> float | None:
        """Monotonic time of the first token, None before it."""
        return self.buffer.first_event_at

    @property
    def worker(self) -> types.Worker | None:
        """Worker of the current attempt."""
        current = self._current
        return None if current is None else current.worker

    def start(self) -> None:
        """Start the first attempt on the executor."""
        self._executor.submit(self._start_attempt)

    def run_first_attempt(self) -> None:
        """Start the first attempt on the calling thread."""
        self._start_attempt()

    def cancel(self, failure: errors.Failure) -> None:
        """End the answer with `failure` and stop the engine's work."""
        self.buffer.fail(failure)
        self._abandon(EndReason.FAILED)
        self._on_end(self)

    def hand_over(self) -> None:
        """Stop here, as another node goes on with the answer."""
        self.buffer.move()
        self._abandon(EndReason.MOVED)
        self._on_end(self)

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
        if self.buffer.state is not buffer.AnswerState.RUNNING:
            return
        chosen = self._pool.choose(self.request, self._failed_workers)
        match chosen:
            case result.Success(worker):
                self._send(worker, cache_blob)
            case result.Failure(failure):
                self._end_with(failure)

    def _send(self, worker: types.Worker, cache_blob: bytes) -> None:
        imported = bool(cache_blob) and self._import_cache(worker, cache_blob)
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
            self._pool.ended(self.request, attempt.worker, EndReason.COMPLETE)
            self._on_end(self)
            return
        self._pool.ended(self.request, attempt.worker, EndReason.FAILED)
        self._failed_workers |= {attempt.worker.id}
        failure = _attempt_failure(outcome, attempt.worker)
        if self._may_go_on(failure):
            time.sleep(RETRY_PAUSE_S)
            self._start_attempt()
        else:
            self._end_with(failure)

    def _may_go_on(self, failure: errors.Failure) -> bool:
        return (
            failure.kind is not errors.FailureKind.INVALID
            and self.attempts < MAX_ATTEMPTS
            and time.monotonic() < self.request.deadline
            and self._pool.may_retry(self.request)
        )

    def _end_with(self, failure: errors.Failure) -> None:
        self.buffer.fail(failure)
        self._on_end(self)

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
        self._pool.ended(self.request, attempt.worker, reason)
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


def _attempt_failure(
    outcome: http.HttpResult, worker: types.Worker
) -> errors.Failure:
    match outcome:
        case result.Success(response) if response.status == 400:
            return errors.Failure(
                errors.FailureKind.INVALID,
                errors.Step.READ_ANSWER,
                str(worker.address),
                response.body[:200].decode('utf-8', 'replace'),
                types.Outcome.FAILED,
            )
        case result.Success(response):
            return errors.Failure(
                errors.FailureKind.INTERRUPTED,
                errors.Step.READ_ANSWER,
                str(worker.address),
                f'status {response.status}, answer is not whole',
                types.Outcome.FAILED,
            )
        case result.Failure(failure):
            return dataclasses.replace(failure, outcome=types.Outcome.FAILED)
    raise AssertionError(outcome)
