"""Splits a server-sent event stream into whole events."""

import re

# A blank line ends an event; lines end with LF or CRLF.
_END = re.compile(rb'\r?\n\r?\n')
_ID = re.compile(rb'(?:^|\n)id:[ ]?([^\r\n]*)')


class EventSplitter:
    """Collects bytes until they are whole events.

    Attributes
    ----------
    last_id : str or None
        Id of the last whole event.
    count : int
        Whole events so far.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.count = 0
        self._buffer = b''
        self._skip_to: int | None = None

    @property
    def partial(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._buffer

    def restart(self) -> None:
        """Drop a partial event; another server continues after `last_id`."""
        self._buffer = b''
        self._skip_to = _event_number(self.last_id)

    def feed(self, data: bytes) -> bytes:
        """Add bytes; returns the whole events among them.

        After a restart, events that the client already has are left out.
        """
        self._buffer += data
        end = None
        for end in _END.finditer(self._buffer):
            pass
        if end is None:
            return b''
        whole, self._buffer = (
            self._buffer[: end.end()],
            self._buffer[end.end() :],
        )
        if self._skip_to is not None:
            whole = self._drop_known_events(whole)
        found = _ID.findall(whole)
        self.count += len(found)
        if found:
            self.last_id = found[-1].decode('latin-1').strip()
        return whole

    def _drop_known_events(self, whole: bytes) -> bytes:
        kept = []
        position = 0
        for end in _END.finditer(whole):
            event = whole[position : end.end()]
            position = end.end()
            found = _ID.search(event)
            number = _event_number(found.group(1).decode()) if found else None
            if (
                number is None
                or self._skip_to is None
                or number > self._skip_to
            ):
                kept.append(event)
                self._skip_to = None if number is not None else self._skip_to
        return b''.join(kept)


def _event_number(text: str | None) -> int | None:
    stripped = (text or '').strip()
    return int(stripped) if stripped.isdecimal() else None
