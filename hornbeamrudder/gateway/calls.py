"""State of client requests in progress."""

import asyncio
import collections
import dataclasses
import enum

from . import admit
from ..core import ids
from . import crash_evidence
from . import events
from . import http_client
from . import http_server
from . import records
from . import server_registry


class Result(enum.Enum):
    """Result of sending a request to one backend server."""

    DONE = 'done'
    NOT_SENT = 'not sent'
    NOT_EXECUTED = 'not executed'
    # The request may have run, but there is no usable response.
    FAILED = 'failed'
    DEADLINE_EXCEEDED = 'out of time'
    # The run continues at another backend server from a copy of its KV cache.
    MOVED = 'moved'
    # Servers have crashed under a part of its prompt.
    HELD = 'held back'
    # Another backend server has accepted the request.
    FAILED_OVER = 'failed over'


@dataclasses.dataclass(frozen=True, slots=True)
class KeptRun:
    """KV cache of a stopped run at the engine that ran it."""

    copy: str
    record: server_registry.ServerRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Moved:
    """A copied KV cache, and the slot reserved to continue the run.

    Attributes
    ----------
    kept : KeptRun or None
        Where the run can go on if it can't at the slot.
    """

    copy: str
    placement: server_registry.Placement
    kept: KeptRun | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A request that was sent to one backend server.

    Attributes
    ----------
    sent_at : float
        Time on `clock.now`, in seconds.
    reused : bool
        Whether the connection was used before.
    """

    placement: server_registry.Placement
    connection: http_client.ServerConnection
    exchange: http_client.Exchange
    sent_at: float
    reused: bool = False

    @property
    def server(self) -> ids.WorkerId:
        """Id of the backend server."""
        return self.placement.record.entry.id


@dataclasses.dataclass(eq=False, slots=True)
class ErrorResponse:
    """Complete error response of a backend server that ran the request.

    Kept while other servers are asked. Over the limit on held bytes it loses
    its body: the status tells that the request has run.
    """

    status: int
    headers: tuple[http_client.Header, ...]
    body: bytes

    def end_endless(self, detail: str) -> None:
        """Give up the body."""
        self.body = b''

    def drop_unread(self) -> None:
        """Do nothing; the body was given up."""


@dataclasses.dataclass(slots=True)
class Stream:
    """State of a streamed response.

    Attributes
    ----------
    started : bool
        Whether any event has been sent to the client.
    last_event_at : float or None
        Time at which the latest event was sent to the client.
    last_event_from : WorkerId or None
        Backend server that it came from.
    longest_gap_s : float
        Longest time between two events that were sent to the client.
    resume_elsewhere_at : float or None
        Time at which the stream should continue elsewhere, because its
        backend server is about to terminate.
    is_resumed : bool
        Whether the present attempt goes on with a stream that has started.
    moving : Task or None
        Task that copies the run's KV cache to another backend server.
    kept : KeptRun or None
        The run at the engine that it was moved off.
    lost_at : set of WorkerId
        Engines at which a copy of the run was lost.
    """

    splitter: events.EventSplitter
    started: bool = False
    last_event_at: float | None = None
    last_event_from: ids.WorkerId | None = None
    longest_gap_s: float = 0.0
    resume_elsewhere_at: float | None = None
    moving: 'asyncio.Task[Moved | None] | None' = None
    moved: Moved | None = None
    copy: str | None = None
    kept: KeptRun | None = None
    last_record: server_registry.ServerRecord | None = None
    is_resumed: bool = False
    lost_at: set[ids.WorkerId] = dataclasses.field(default_factory=set)

    def take_moved(self) -> server_registry.Placement | None:
        """Take the placement of a finished move; its copy is sent next."""
        if self.moved is None:
            return None
        placement = self.moved.placement
        self.copy = self.moved.copy
        self.kept = self.moved.kept
        self.moved = None
        return placement


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """One client request in progress.

    Attributes
    ----------
    sends : int
        Number of times that the request was sent to a backend server.
    refusals : int
        Number of these to which a server answered that it did not run it.
    tried : set of WorkerId
        Backend servers that the request was sent to.
    may_have_run_at : Counter of WorkerId
        Sends that may have run it, by server. Unless there are none, it can't
        be reported to the client as not run.
    excluded : set of WorkerId
        Servers that failed it, refused it or were not reached.
    counted : bool
        Whether it was counted as usage of its account.
    error_response : ErrorResponse or None
        Sent to the client if no other backend server responds.
    next_attempt : Attempt or None
        Attempt to which the request was failed over, until it is followed.
    tried_at : float
        Time at which another server was last tried in vain.
    part_keys : tuple of PartKey
        Parts of the prompt, in order.
    crash_check : Task or None
        Whether its server has crashed, if it must not be repeated then.
    broken_at : float
        Time at which that server broke off its answer.
    task : Task or None
        Task that serves it.
    is_trial : bool
        Whether it is sent although its parts are held back.
    """

    request: http_server.CallerRequest
    reply: http_server.ResponseWriter
    admitted: admit.Admitted
    service: records.BackendService
    stream: Stream
    sends: int = 0
    unreachable: int = 0
    refusals: int = 0
    tried: set[ids.WorkerId] = dataclasses.field(default_factory=set)
    may_have_run_at: collections.Counter[ids.WorkerId] = dataclasses.field(
        default_factory=collections.Counter
    )
    counted: bool = False
    waited_s: float = 0.0
    first_at: float | None = None
    status: int = 0
    detail: str = ''
    placement: server_registry.Placement | None = None
    excluded: set[ids.WorkerId] = dataclasses.field(default_factory=set)
    error_response: ErrorResponse | None = None
    next_attempt: Attempt | None = None
    tried_at: float = float('-inf')
    part_keys: tuple[crash_evidence.PartKey, ...] = ()
    crash_check: 'asyncio.Task[bool] | None' = None
    broken_at: float = float('-inf')
    is_trial: bool = False
    task: 'asyncio.Task[None] | None' = None

    def record_send(self, server: ids.WorkerId) -> None:
        """Count one more send."""
        self.sends += 1
        self.tried.add(server)
        self.may_have_run_at[server] += 1

    def record_refusal(self, server: ids.WorkerId) -> None:
        """Record that a server has not run the last send to it.

        It may still have run an earlier one.
        """
        self.refusals += 1
        self.may_have_run_at -= collections.Counter([server])

    @property
    def may_start_anew(self) -> bool:
        """Whether a server may begin the request from nothing.

        One that must not be repeated, and may have run, can only go on from
        the memory of its run. What later servers answer changes nothing.
        """
        return self.admitted.route.retryable or not self.may_have_run_at

    def take_next_attempt(self) -> Attempt | None:
        """Take the attempt to which the request was failed over."""
        next_attempt, self.next_attempt = self.next_attempt, None
        return next_attempt

    def progress(self, now: float) -> dict[str, int | bool | None]:
        """Return log fields that tell how much of the response was sent."""
        last_event_at = self.stream.last_event_at
        return {
            'sends': self.sends,
            'max_servers': self.admitted.route.max_servers,
            'events': self.stream.splitter.count,
            'silent_ms': int((now - last_event_at) * 1e3)
            if last_event_at is not None
            else None,
            'left_ms': int((self.admitted.deadline - now) * 1e3),
        }

    @property
    def request_id(self) -> ids.RequestId:
        """Id of the request; admission guarantees that there is one."""
        assert self.admitted.metadata.request_id is not None
        return self.admitted.metadata.request_id
