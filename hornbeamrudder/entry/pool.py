"""Chooses workers for requests and counts the work sent to each."""

import collections
import threading
from typing import Callable

from returns import result

from ..answers import generation
from ..core import errors
from ..core import ids
from ..core import types
from ..inventory import schema

RETRY_AFTER_S = 1.0


class NodeWorkerPool:
    """Worker pool of one node; safe to use from any thread."""

    def __init__(self, document: Callable[[], schema.Document]) -> None:
        self._document = document
        self._lock = threading.Lock()
        self._sent_by_worker: collections.Counter[ids.WorkerId] = (
            collections.Counter()
        )

    def choose(
        self,
        request: generation.GenerationRequest,
        excluded: frozenset[ids.WorkerId],
    ) -> result.Result[types.Worker, errors.Failure]:
        """Choose the worker with the least work sent by this node."""
        return self.choose_for(request.service, excluded)

    def choose_for(
        self, service: ids.ServiceName, excluded: frozenset[ids.WorkerId]
    ) -> result.Result[types.Worker, errors.Failure]:
        """Choose a worker of a service and count one request for it."""
        workers = [
            worker
            for worker in self._document().workers_by_id.values()
            if worker.service == service
        ]
        preferred = [worker for worker in workers if worker.id not in excluded]
        with self._lock:
            chosen = min(
                preferred or workers,
                key=lambda worker: self._sent_by_worker[worker.id],
                default=None,
            )
            if chosen is not None:
                self._sent_by_worker[chosen.id] += 1
                return result.Success(chosen)
        return result.Failure(
            errors.Failure(
                errors.FailureKind.UNAVAILABLE,
                errors.Step.ROUTE,
                service,
                'no worker of the service takes new work',
                retry_after_s=RETRY_AFTER_S,
            )
        )

    def ended(
        self,
        request: generation.GenerationRequest,
        worker: types.Worker,
        reason: generation.EndReason,
    ) -> None:
        """Take the request off the worker's count."""
        self.release(worker)

    def release(self, worker: types.Worker) -> None:
        """Take one request off the worker's count."""
        with self._lock:
            self._sent_by_worker[worker.id] -= 1

    def may_retry(self, request: generation.GenerationRequest) -> bool:
        """Take one retry from the budget."""
        return True
