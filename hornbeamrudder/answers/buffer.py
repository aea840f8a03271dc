"""The answer of one request, put together from the pieces of attempts."""

import enum
import threading
import time
from typing import Callable

from ..core import errors
from ..core import ids
from . import events

DONE_BYTES = events.DONE_EVENT + events.EVENT_END
# An engine sends events of a stream in order; a short window is kept for
# pieces that a peer passes on by way of another connection.
MAX_OUT_OF_ORDER = 256


class AnswerState(enum.Enum):
    """State of an answer."""

    RUNNING = 'running'
    COMPLETE = 'complete'
    FAILED = 'failed'
    MOVED = 'moved'


# Called with the bytes of new events and whether the answer has ended.
Sink = Callable[[bytes, bool], None]


class AnswerBuffer:
    """Events by offset, from 0 without gaps; safe to use from any thread.

    The event with the finish reason takes the offset after the last token.
    """

    def __init__(self, request_id: ids.RequestId) -> None:
        self.request_id = request_id
        self._changed = threading.Condition()
        self._events: list[bytes] = []
        self._out_of_order_by_offset: dict[int, bytes] = {}
        self._attempt = 0
        self._state = AnswerState.RUNNING
        self._failure: errors.Failure | None = None
        self._sink: Sink | None = None
        self.dropped_pieces = 0
        self.first_event_at: float | None = None

    @property
    def state(self) -> AnswerState:
        """Current state."""
        return self._state

    @property
    def failure(self) -> errors.Failure | None:
        """Why the answer failed, None unless the state is FAILED."""
        return self._failure

    @property
    def next_offset(self) -> int:
        """Offset of the next event that is missing."""
        return len(self._events)

    def begin_attempt(self, attempt: int) -> int:
        """Accept pieces of `attempt` alone; return the offset to resume at.

        Returns
        -------
        int
            Number of events that the answer already has.
        """
        with self._changed:
            self._attempt = attempt
            self._out_of_order_by_offset.clear()
            return len(self._events)

    def accept(self, attempt: int, piece: events.Token) -> None:
        """Store a piece; late, doubled and foreign ones are dropped."""
        with self._changed:
            if not self._wanted(attempt, piece.offset):
                self.dropped_pieces += 1
                return
            if piece.offset > len(self._events):
                self._out_of_order_by_offset[piece.offset] = piece.event
                return
            if piece.offset == 0:
                self.first_event_at = time.monotonic()
            data = piece.event
            self._events.append(data)
            if self._out_of_order_by_offset:
                data += self._append_following()
            if self._sink is not None:
                self._sink(data, False)
            else:
                self._changed.notify_all()

    def complete(self, attempt: int) -> bool:
        """End the answer where it is whole; False where pieces are missing.

        The last event must have the finish reason: an end mark alone would
        not show that the last pieces before it were lost.
        """
        with self._changed:
            if attempt != self._attempt or self._ended():
                return False
            if self._out_of_order_by_offset or not self._events:
                return False
            if not events.has_finish_reason(self._events[-1]):
                return False
            self._end(AnswerState.COMPLETE)
            return True

    def fail(self, failure: errors.Failure) -> None:
        """End the answer with an error."""
        with self._changed:
            if not self._ended():
                self._failure = failure
                self._end(AnswerState.FAILED)

    def move(self) -> None:
        """End the answer here, as another node goes on with it."""
        with self._changed:
            if not self._ended():
                self._attempt += 1
                self._end(AnswerState.MOVED)

    def load(self, stored: list[bytes]) -> None:
        """Start from events that another node has passed on."""
        with self._changed:
            self._events = list(stored)
            self._changed.notify_all()

    def events_from(self, offset: int) -> list[bytes]:
        """Return the events from `offset` on."""
        with self._changed:
            return self._events[offset:]

    def wait(self, offset: int, timeout_s: float) -> tuple[bytes, int, bool]:
        """Wait for events from `offset` on.

        Returns
        -------
        tuple of (bytes, int, bool)
            Events joined, offset after them, whether the answer has ended.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: len(self._events) > offset or self._ended(), timeout_s
            )
            return (
                b''.join(self._events[offset:]),
                max(offset, len(self._events)),
                self._ended(),
            )

    def attach(self, offset: int, sink: Sink) -> None:
        """Give events from `offset` on to `sink`, in place of an older one.

        The sink is called with the buffer's lock held and must not block.
        """
        with self._changed:
            self._sink = sink
            sink(b''.join(self._events[offset:]), self._ended())

    def detach(self, sink: Sink) -> None:
        """Stop giving events to `sink`."""
        with self._changed:
            if self._sink == sink:
                self._sink = None

    def _append_following(self) -> bytes:
        """Append the pieces that came too early and now follow."""
        first = len(self._events)
        while True:
            following = self._out_of_order_by_offset.pop(
                len(self._events), None
            )
            if following is None:
                return b''.join(self._events[first:])
            self._events.append(following)

    def _wanted(self, attempt: int, offset: int) -> bool:
        return (
            attempt == self._attempt
            and not self._ended()
            and len(self._events) <= offset
            and offset < len(self._events) + MAX_OUT_OF_ORDER
            and offset not in self._out_of_order_by_offset
        )

    def _ended(self) -> bool:
        return self._state is not AnswerState.RUNNING

    def _end(self, state: AnswerState) -> None:
        self._state = state
        if self._sink is not None:
            self._sink(b'', True)
        self._changed.notify_all()
