"""Splits a server-sent event stream into complete events."""

import re

from . import byte_limits

# A blank line ends an event; lines end with LF or CRLF. Further blank lines
# belong to the next event, as they are none by themselves.
_END = re.compile(rb'(?<=[^\r\n])\r?\n\r?\n')
# Longest end of an event, in bytes.
_MAX_END_BYTES = 4
_ID = re.compile(rb'(?:^|\n)id:[ ]?([^\r\n]*)')


class EventSplitter:
    """Buffers bytes and returns complete events.

    Attributes
    ----------
    last_id : str or None
        Id of the last complete event.
    count : int
        Number of complete events with an id so far.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.count = 0
        self._buffer = bytearray()
        self._skip_to: int | None = None
        self._only_numbered = False

    @property
    def partial(self) -> bytes:
        """Bytes of an incomplete event."""
        return bytes(self._buffer)

    @property
    def partial_bytes(self) -> int:
        """Size of `partial`."""
        return len(self._buffer)

    @property
    def endless(self) -> bool:
        """Whether the incomplete event is too large to be held."""
        return len(self._buffer) > byte_limits.MAX_EVENT_BYTES

    def restart(self, only_numbered: bool = False) -> None:
        """Discard the incomplete event; the stream resumes after `last_id`.

        Parameters
        ----------
        only_numbered : bool
            Whether events without an id are dropped before the first new one.
            Within a stream, they may be text of another kind.
        """
        self._buffer.clear()
        self._skip_to = _event_number(self.last_id)
        self._only_numbered = only_numbered

    def completes_event(self, data: bytes) -> bool:
        """Return whether more bytes would complete an event."""
        return _END.search(bytes(self._buffer) + data) is not None

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events completed by them.

        After a restart, events that the client already has are dropped.
        """
        scan_from = max(0, len(self._buffer) - _MAX_END_BYTES)
        self._buffer += data
        complete_bytes = max(
            (end.end() for end in _END.finditer(self._buffer, scan_from)),
            default=0,
        )
        if not complete_bytes:
            return b''
        complete = bytes(self._buffer[:complete_bytes])
        del self._buffer[:complete_bytes]
        if self._skip_to is not None:
            complete = self._drop_known_events(complete)
        found = _ID.findall(complete)
        self.count += len(found)
        if found:
            self.last_id = found[-1].decode('latin-1').strip()
        return complete

    def _drop_known_events(self, complete: bytes) -> bytes:
        new_events = []
        position = 0
        for end in _END.finditer(complete):
            event = complete[position : end.end()]
            position = end.end()
            found = _ID.search(event)
            number = _event_number(found.group(1).decode()) if found else None
            if (
                self._skip_to is None
                or (number is None and not self._only_numbered)
                or (number is not None and number > self._skip_to)
            ):
                new_events.append(event)
                self._skip_to = None if number is not None else self._skip_to
        return b''.join(new_events)


def _event_number(text: str | None) -> int | None:
    stripped = (text or '').strip()
    return int(stripped) if stripped.isdecimal() else None
