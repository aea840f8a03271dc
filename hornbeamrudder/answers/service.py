"""Registry of the answers on this node, by request id."""

from concurrent import futures
import threading
import time
from typing import Callable

from ..core import errors
from ..core import ids
from ..core import types
from . import generation
from . import generation_types
from ..infrastructure import http
from . import scheduler

EXECUTOR_THREADS = 16
SWEEP_INTERVAL_S = 1.0

EndCallback = Callable[[generation.Generation], None]


class AnswerService:
    """Registry of generations; expires those that nobody reads.

    Parameters
    ----------
    kept_answer_s : float
        Time for which an answer without a reader is kept, in seconds.
    """

    def __init__(
        self,
        client: http.HttpClient,
        pool: generation_types.WorkerPool,
        kept_answer_s: float,
        on_attempt: generation_types.AttemptCallback = (
            generation_types.ignore_attempt
        ),
    ) -> None:
        self._client = client
        self._pool = pool
        self._kept_answer_s = kept_answer_s
        self._on_attempt = on_attempt
        self._executor = futures.ThreadPoolExecutor(
            EXECUTOR_THREADS, thread_name_prefix='answers'
        )
        self._retry_scheduler = scheduler.Scheduler(self._executor)
        self._lock = threading.Lock()
        self._generations_by_request_id: dict[
            ids.RequestId, generation.Generation
        ] = {}
        self._readers_by_request_id: dict[ids.RequestId, int] = {}
        self._unread_since_by_request_id: dict[ids.RequestId, float] = {}
        self._stop = threading.Event()
        self._sweeper = threading.Thread(
            target=self._sweep_loop, name='answer-sweeper', daemon=True
        )
        self._sweeper.start()

    def create(
        self, request: generation_types.GenerationRequest, on_end: EndCallback
    ) -> generation.Generation:
        """Register a generation and return it; it is not started yet.

        A generation that is already registered under the request id is
        returned instead.

        Parameters
        ----------
        on_end : callable
            Called once, when the generation ends on this node.
        """
        with self._lock:
            existing = self._generations_by_request_id.get(request.id)
            if existing is not None:
                return existing
            created = generation.Generation(
                request,
                self._client,
                self._pool,
                self._executor,
                self._retry_scheduler,
                on_end,
                self._on_attempt,
            )
            self._generations_by_request_id[request.id] = created
            self._unread_since_by_request_id[request.id] = time.monotonic()
            return created

    def find(
        self, request_id: ids.RequestId, account: ids.AccountId
    ) -> generation.Generation | None:
        """Return a generation, None unless it is here and the account's."""
        with self._lock:
            found = self._generations_by_request_id.get(request_id)
        if found is None or found.request.account != account:
            return None
        return found

    def reader_opened(self, request_id: ids.RequestId) -> None:
        """Record that a caller has started to read an answer."""
        with self._lock:
            readers = self._readers_by_request_id.get(request_id, 0)
            self._readers_by_request_id[request_id] = readers + 1
            self._unread_since_by_request_id.pop(request_id, None)

    def reader_closed(self, request_id: ids.RequestId) -> None:
        """Record that a caller has stopped reading an answer."""
        with self._lock:
            readers = self._readers_by_request_id.pop(request_id, 1) - 1
            if readers > 0:
                self._readers_by_request_id[request_id] = readers
            else:
                self._unread_since_by_request_id[request_id] = time.monotonic()

    def touch(self, request_id: ids.RequestId) -> None:
        """Record that a peer reads an answer on behalf of a caller."""
        with self._lock:
            if request_id in self._unread_since_by_request_id:
                self._unread_since_by_request_id[request_id] = time.monotonic()

    def generations(self) -> tuple[generation.Generation, ...]:
        """Return all registered generations."""
        with self._lock:
            return tuple(self._generations_by_request_id.values())

    def in_progress(self) -> tuple[generation.Generation, ...]:
        """Return the generations whose answer has not ended."""
        return tuple(
            item
            for item in self.generations()
            if item.buffer.state is generation.buffer.AnswerState.RUNNING
        )

    def remove(self, request_id: ids.RequestId) -> None:
        """Remove a generation from the registry."""
        with self._lock:
            self._generations_by_request_id.pop(request_id, None)
            self._unread_since_by_request_id.pop(request_id, None)
            self._readers_by_request_id.pop(request_id, None)

    def migrate_from(self, leaving: frozenset[ids.WorkerId]) -> None:
        """Migrate generations at leaving workers to other workers."""
        for item in self.in_progress():
            worker = item.worker
            if worker is not None and worker.id in leaving:
                self._executor.submit(item.migrate, True)

    def close(self) -> None:
        """Stop the threads of the service."""
        self._stop.set()
        self._retry_scheduler.close()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _sweep_loop(self) -> None:
        while not self._stop.wait(SWEEP_INTERVAL_S):
            self._expire_unread(time.monotonic())

    def _expire_unread(self, now: float) -> None:
        with self._lock:
            expired = [
                self._generations_by_request_id[request_id]
                for request_id, since in (
                    self._unread_since_by_request_id.items()
                )
                if now - since > self._kept_answer_s
            ]
        for item in expired:
            if item.buffer.state is generation.buffer.AnswerState.RUNNING:
                item.cancel(
                    errors.Failure(
                        errors.FailureKind.INTERRUPTED,
                        errors.Step.RELAY_ANSWER,
                        '',
                        'the caller did not return for its answer',
                        types.Outcome.FAILED,
                    )
                )
            self.remove(item.request.id)
