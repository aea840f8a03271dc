"""Buffer that assembles the answer to a request from its attempts."""

import enum
import threading
import time
from typing import Callable

from ..core import errors
from ..core import ids
from . import events

DONE_BYTES = events.DONE_EVENT + events.EVENT_END
# An engine sends the events of a stream in order. The reorder window is for
# events that a peer forwards over another connection.
MAX_OUT_OF_ORDER_EVENTS = 256


class AnswerState(enum.Enum):
    """State of an answer."""

    RUNNING = 'running'
    COMPLETE = 'complete'
    FAILED = 'failed'
    MOVED = 'moved'


# Called with the bytes of new events and whether the answer has ended.
Sink = Callable[[bytes, bool], None]


class AnswerBuffer:
    """Events of an answer by offset, without gaps. Thread-safe.

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
        """State of the answer."""
        return self._state

    @property
    def failure(self) -> errors.Failure | None:
        """Failure of the answer, None unless the state is FAILED."""
        return self._failure

    @property
    def next_offset(self) -> int:
        """Offset of the first missing event."""
        return len(self._events)

    def begin_attempt(self, attempt: int) -> int:
        """Accept only events of `attempt` from now on.

        Returns
        -------
        int
            Offset to resume at, the number of events in the buffer.
        """
        with self._changed:
            self._attempt = attempt
            self._out_of_order_by_offset.clear()
            return len(self._events)

    def accept(self, attempt: int, token_event: events.TokenEvent) -> None:
        """Store an event; drop it if it is stale or a duplicate."""
        with self._changed:
            if not self._is_expected(attempt, token_event.offset):
                self.dropped_pieces += 1
                return
            if token_event.offset > len(self._events):
                self._out_of_order_by_offset[token_event.offset] = (
                    token_event.event
                )
                return
            if token_event.offset == 0:
                self.first_event_at = time.monotonic()
            data = token_event.event
            self._events.append(data)
            if self._out_of_order_by_offset:
                data += self._append_contiguous()
            if self._sink is not None:
                self._sink(data, False)
            else:
                self._changed.notify_all()

    def complete(self, attempt: int) -> bool:
        """Complete the answer; return False if events are missing.

        The last event must have the finish reason: the end marker alone does
        not show whether the last events before it were lost.
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
        """End the answer with a failure."""
        with self._changed:
            if not self._ended():
                self._failure = failure
                self._end(AnswerState.FAILED)

    def mark_moved(self) -> None:
        """End the answer on this node, as another node continues it."""
        with self._changed:
            if not self._ended():
                self._attempt += 1
                self._end(AnswerState.MOVED)

    def restore(self, received: list[bytes]) -> None:
        """Set the events received from another node."""
        with self._changed:
            self._events = list(received)
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
        """Push events from `offset` on to `sink`, replacing the last sink.

        The sink is called with the lock of the buffer held and must not block.
        """
        with self._changed:
            self._sink = sink
            sink(b''.join(self._events[offset:]), self._ended())

    def detach(self, sink: Sink) -> None:
        """Stop pushing events to `sink`."""
        with self._changed:
            if self._sink == sink:
                self._sink = None

    def _append_contiguous(self) -> bytes:
        """Append buffered events that are now contiguous; return them."""
        first = len(self._events)
        while True:
            event = self._out_of_order_by_offset.pop(len(self._events), None)
            if event is None:
                return b''.join(self._events[first:])
            self._events.append(event)

    def _is_expected(self, attempt: int, offset: int) -> bool:
        return (
            attempt == self._attempt
            and not self._ended()
            and len(self._events) <= offset
            and offset < len(self._events) + MAX_OUT_OF_ORDER_EVENTS
            and offset not in self._out_of_order_by_offset
        )

    def _ended(self) -> bool:
        return self._state is not AnswerState.RUNNING

    def _end(self, state: AnswerState) -> None:
        self._state = state
        if self._sink is not None:
            self._sink(b'', True)
        self._changed.notify_all()
