"""Data types of generations, and the worker pool that they use."""

import dataclasses
import enum
from typing import Callable, Protocol

from returns import result

from ..core import errors
from ..core import ids
from ..core import types


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationRequest:
    """An accepted request for a model answer.

    Attributes
    ----------
    expected_tokens : float
        Expected length of the answer in tokens.
    deadline : float
        Monotonic time in seconds by which the first token is needed.
    prompt_key : str
        Prompt text that is matched with the prefixes cached by workers.
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
    """How an attempt ended, as reported to the worker pool."""

    COMPLETE = 'complete'
    FAILED = 'failed'
    MOVED = 'moved'


@dataclasses.dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt that has ended, for traces; tokens are not traced.

    Attributes
    ----------
    seconds : float
        Time from sending the request to the end.
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
    """Chooses workers and counts the requests sent to them."""

    def choose(
        self,
        request: GenerationRequest,
        excluded: frozenset[ids.WorkerId],
    ) -> result.Result[types.Worker, errors.Failure]:
        """Choose a worker and count the request as sent to it."""

    def claim(self, request: GenerationRequest, worker: types.Worker) -> bool:
        """Count the request as sent to this worker if it accepts work."""

    def ended(
        self,
        request: GenerationRequest,
        worker: types.Worker,
        reason: EndReason,
    ) -> None:
        """Remove the request from the count of the worker."""

    def may_retry(self, request: GenerationRequest) -> bool:
        """Take a retry from the budget; return False if it is spent."""
