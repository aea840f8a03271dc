"""Parser of the server-sent events of a model engine.

Each event has the id `<request id>:<offset>`, where the offset counts the
tokens of the answer from 0. A complete answer ends with `data: [DONE]`. Events
are relayed as bytes; only their ids are parsed.
"""

import dataclasses
from typing import Union

import orjson

from ..core import ids

EVENT_END = b'\n\n'
DONE_EVENT = b'data: [DONE]'
MAX_EVENT_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class TokenEvent:
    """An event with one token of the answer, including its terminator."""

    offset: int
    event: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class EndMarker:
    """The end marker of a complete answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnexpectedEvent:
    """A malformed event or an event of another request."""

    detail: str


Event = Union[TokenEvent, EndMarker, UnexpectedEvent]


class EventParser:
    """Incremental parser for the response body of one attempt."""

    def __init__(self, request_id: ids.RequestId) -> None:
        self._prefix = f'id: {request_id}:'.encode()
        self._partial_event = b''

    def feed(self, chunk: bytes) -> list[Event]:
        """Parse the next bytes; return the events that they complete.

        An event over `MAX_EVENT_BYTES` is returned as `UnexpectedEvent`.
        """
        data = self._partial_event + chunk if self._partial_event else chunk
        *events, self._partial_event = data.split(EVENT_END)
        if len(self._partial_event) > MAX_EVENT_BYTES:
            return [UnexpectedEvent(f'event exceeds {MAX_EVENT_BYTES} bytes')]
        return [self._parse_event(event) for event in events if event]

    def _parse_event(self, event: bytes) -> Event:
        if event == DONE_EVENT:
            return EndMarker()
        line_end = event.find(b'\n')
        if not event.startswith(self._prefix) or line_end < 0:
            return UnexpectedEvent(
                f'event without id of this request: {event[:80]!r}'
            )
        try:
            offset = int(event[len(self._prefix) : line_end])
        except ValueError:
            return UnexpectedEvent(
                f'event id without offset: {event[:line_end][:80]!r}'
            )
        return TokenEvent(offset, event + EVENT_END)


def has_finish_reason(event: bytes) -> bool:
    """Return whether an event has the `finish_reason` of a full answer."""
    _, separator, data = event.partition(b'\ndata: ')
    if not separator:
        return False
    try:
        choices = orjson.loads(data).get('choices', ())
        return any(choice.get('finish_reason') for choice in choices)
    except (orjson.JSONDecodeError, AttributeError, TypeError):
        return False
