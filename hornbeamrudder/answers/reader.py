"""Reads the stream of one attempt into the buffer of its answer."""

from typing import Callable

from . import buffer
from . import events
from ..infrastructure import http


class AttemptReader:
    """Passes the pieces of one attempt on while they are its own.

    Parameters
    ----------
    on_foreign : callable
        Called once with a reason when the stream belongs to another
        request or attempt; nothing after that is passed on.
    """

    def __init__(
        self,
        target: buffer.AnswerBuffer,
        attempt: int,
        on_foreign: Callable[[str], None],
    ) -> None:
        self._buffer = target
        self._attempt = attempt
        self._on_foreign = on_foreign
        self._splitter = events.EventSplitter(target.request_id)
        self._identified = False
        self._foreign = False

    def feed(self, response: http.HttpResponse, chunk: bytes) -> None:
        """Take bytes of the body as they arrive."""
        if self._foreign or not self._identify(response):
            return
        for event in self._splitter.feed(chunk):
            match event:
                case events.Token():
                    self._buffer.accept(self._attempt, event)
                case events.Done():
                    self._buffer.complete(self._attempt)
                case events.Foreign(detail):
                    self._refuse(detail)
                    return

    def _identify(self, response: http.HttpResponse) -> bool:
        if self._identified:
            return True
        names = response.headers_by_name
        request_id = http.header(names, 'X-Request-Id')
        attempt = http.header(names, 'X-Attempt')
        self._identified = (
            request_id == self._buffer.request_id
            and attempt == str(self._attempt)
        )
        if not self._identified:
            self._refuse(f'answer to {request_id!r}, attempt {attempt!r}')
        return self._identified

    def _refuse(self, detail: str) -> None:
        self._foreign = True
        self._on_foreign(detail)
