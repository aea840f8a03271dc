"""Server-sent events of a model engine, split and checked by offset.

The engine marks each event with `id: <request id>:<offset>`, where the
offset counts the tokens of the answer from 0, and ends a whole answer with
`data: [DONE]`. Events are passed on as bytes; only their ids are read.
"""

import dataclasses
from typing import Union

import orjson

from ..core import ids

EVENT_END = b'\n\n'
DONE_EVENT = b'data: [DONE]'
MAX_EVENT_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """An event with one token of the answer, ending mark included."""

    offset: int
    event: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The end mark of a whole answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Foreign:
    """An event that does not belong to this request."""

    detail: str


Event = Union[Token, Done, Foreign]


class EventSplitter:
    """Splits the bytes of one attempt into events."""

    def __init__(self, request_id: ids.RequestId) -> None:
        self._prefix = f'id: {request_id}:'.encode()
        self._rest = b''

    def feed(self, chunk: bytes) -> list[Event]:
        """Take bytes as they arrive; return the events that are whole.

        An event over `MAX_EVENT_BYTES` is returned as `Foreign`.
        """
        data = self._rest + chunk if self._rest else chunk
        *events, self._rest = data.split(EVENT_END)
        if len(self._rest) > MAX_EVENT_BYTES:
            return [Foreign(f'event over {MAX_EVENT_BYTES} bytes')]
        return [self._event(event) for event in events if event]

    def _event(self, event: bytes) -> Event:
        if event == DONE_EVENT:
            return Done()
        line_end = event.find(b'\n')
        if not event.startswith(self._prefix) or line_end < 0:
            return Foreign(f'event starts with {event[:80]!r}')
        try:
            offset = int(event[len(self._prefix) : line_end])
        except ValueError:
            return Foreign(f'event id is {event[:line_end][:80]!r}')
        return Token(offset, event + EVENT_END)


def has_finish_reason(event: bytes) -> bool:
    """Whether an event carries the `finish_reason` of a whole answer."""
    _, separator, data = event.partition(b'\ndata: ')
    if not separator:
        return False
    try:
        choices = orjson.loads(data).get('choices', ())
        return any(choice.get('finish_reason') for choice in choices)
    except (orjson.JSONDecodeError, AttributeError, TypeError):
        return False
