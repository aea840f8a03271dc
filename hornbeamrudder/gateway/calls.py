"""Requests of clients in progress."""

import asyncio
import dataclasses
import enum

from . import admit
from ..core import ids
from . import events
from . import http_server
from . import records
from . import server_registry


class Result(enum.Enum):
    """How sending a request to one backend server ended."""

    DONE = 'done'
    NOT_SENT = 'not sent'
    NOT_EXECUTED = 'not executed'
    # The request may have run, and its answer is not usable.
    FAILED = 'failed'
    OUT_OF_TIME = 'out of time'
    # The run goes on at another backend server, from a copy of its memory.
    MOVED = 'moved'


@dataclasses.dataclass(frozen=True, slots=True)
class Moved:
    """A copy of a run's memory, and the place that waits for the run."""

    copy: str
    placement: server_registry.Placement


@dataclasses.dataclass(slots=True)
class Stream:
    """Events of an answer that were passed on.

    Attributes
    ----------
    leave_at : float or None
        Time at which the stream is to go on elsewhere, as its backend
        server is about to end.
    moving : Task or None
        Copies the run's memory to another backend server.
    """

    splitter: events.EventSplitter
    started: bool = False
    leave_at: float | None = None
    moving: 'asyncio.Task[Moved | None] | None' = None
    moved: Moved | None = None
    copy: str | None = None
    last_record: server_registry.ServerRecord | None = None

    def take_moved(self) -> server_registry.Placement | None:
        """Placement that a move has reserved; its copy is used next."""
        if self.moved is None:
            return None
        placement = self.moved.placement
        self.copy = self.moved.copy
        self.moved = None
        return placement


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """One request of a client in progress.

    Attributes
    ----------
    sends : int
        Backend servers that got the request.
    may_have_run : bool
        Whether one of them may have run it, so that "not run" is no longer
        true.
    counted : bool
        Whether it was counted as usage of its account.
    """

    request: http_server.CallerRequest
    reply: http_server.Reply
    admitted: admit.Admitted
    service: records.BackendService
    stream: Stream
    sends: int = 0
    unreachable: int = 0
    may_have_run: bool = False
    counted: bool = False
    waited_s: float = 0.0
    first_at: float | None = None
    status: int = 0
    detail: str = ''
    placement: server_registry.Placement | None = None
    excluded: set[ids.WorkerId] = dataclasses.field(default_factory=set)

    @property
    def request_id(self) -> ids.RequestId:
        """Id of the request; checked at admission."""
        assert self.admitted.metadata.request_id is not None
        return self.admitted.metadata.request_id
