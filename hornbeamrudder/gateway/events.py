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
        self._rest = b''
        self._skip_to: int | None = None

    @property
    def partial(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._rest

    def restart(self) -> None:
        """Drop a partial event; another server continues after `last_id`."""
        self._rest = b''
        self._skip_to = _number(self.last_id)

    def feed(self, data: bytes) -> bytes:
        """Add bytes; returns the whole events among them.

        After a restart, events that the client already has are left out.
        """
        self._rest += data
        end = None
        for end in _END.finditer(self._rest):
            pass
        if end is None:
            return b''
        whole, self._rest = (
            self._rest[: end.end()],
            self._rest[end.end() :],
        )
        if self._skip_to is not None:
            whole = self._without_known(whole)
        found = _ID.findall(whole)
        self.count += len(found)
        if found:
            self.last_id = found[-1].decode('latin-1').strip()
        return whole

    def _without_known(self, whole: bytes) -> bytes:
        kept = []
        position = 0
        for end in _END.finditer(whole):
            event = whole[position : end.end()]
            position = end.end()
            found = _ID.search(event)
            number = _number(found.group(1).decode()) if found else None
            if (
                number is None
                or self._skip_to is None
                or number > self._skip_to
            ):
                kept.append(event)
                self._skip_to = None if number is not None else self._skip_to
        return b''.join(kept)


def _number(text: str | None) -> int | None:
    stripped = (text or '').strip()
    return int(stripped) if stripped.isdecimal() else None
