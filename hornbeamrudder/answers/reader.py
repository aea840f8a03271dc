"""Reads the response of one attempt into the buffer of the answer."""

from typing import Callable

from . import buffer
from . import events
from ..infrastructure import http


class AttemptReader:
    """Passes events of one attempt to the buffer of its answer.

    Parameters
    ----------
    on_mismatch : callable
        Called once with a reason if the response is malformed or belongs to
        another request or attempt; all data after that is discarded.
    on_begin : callable
        Called once, before the first event is passed on.
    """

    def __init__(
        self,
        target: buffer.AnswerBuffer,
        attempt: int,
        on_mismatch: Callable[[str], None],
        on_begin: Callable[[], None],
    ) -> None:
        self._buffer = target
        self._attempt = attempt
        self._on_mismatch = on_mismatch
        self._on_begin = on_begin
        self._begun = False
        self._parser = events.EventParser(target.request_id)
        self._headers_match = False
        self._rejected = False

    def feed(self, response: http.HttpResponse, chunk: bytes) -> None:
        """Process the next bytes of the response body."""
        if self._rejected or not self._check_headers(response):
            return
        for event in self._parser.feed(chunk):
            match event:
                case events.TokenEvent():
                    if not self._begun:
                        self._begun = True
                        self._on_begin()
                    self._buffer.accept(self._attempt, event)
                case events.EndMarker():
                    self._buffer.complete(self._attempt)
                case events.UnexpectedEvent(detail):
                    self._reject(detail)
                    return

    def _check_headers(self, response: http.HttpResponse) -> bool:
        if self._headers_match:
            return True
        headers = response.headers_by_name
        request_id = http.header(headers, 'X-Request-Id')
        attempt = http.header(headers, 'X-Attempt')
        self._headers_match = (
            request_id == self._buffer.request_id
            and attempt == str(self._attempt)
        )
        if not self._headers_match:
            self._reject(
                f'response to request {request_id!r}, attempt {attempt!r}'
            )
        return self._headers_match

    def _reject(self, detail: str) -> None:
        self._rejected = True
        self._on_mismatch(detail)
