"""Answers chat completions: whole, as an event stream, or resumed."""

import dataclasses
import socket
from typing import Any, Iterator

import orjson
import werkzeug

from ..answers import buffer
from ..answers import events
from ..answers import generation
from ..answers import service
from ..core import errors
from ..core import types
from . import direct
from . import problems

KEEPALIVE_S = 5.0
KEEPALIVE_COMMENT = b': keep-alive\n\n'
# Lets the head, with the request id, reach the caller before any token.
ACCEPTED_COMMENT = b': accepted\n\n'


@dataclasses.dataclass(frozen=True, slots=True)
class ResumePoint:
    """Place in an answer from which a caller wants it."""

    request_id: str
    next_offset: int


def parse_last_event_id(value: str) -> ResumePoint | None:
    """Read `<request id>:<offset>`; None where it is malformed."""
    request_id, separator, offset = value.rpartition(':')
    if not separator or not request_id or not offset.isdecimal():
        return None
    return ResumePoint(request_id, int(offset) + 1)


def stream_response(
    answers: service.AnswerService,
    item: generation.Generation,
    offset: int,
    connection: socket.socket | None,
) -> werkzeug.Response:
    """Stream an answer's events from `offset` on.

    Parameters
    ----------
    connection : socket or None
        Plain socket of an HTTP/1.1 caller for direct writes, None where the
        pieces have to go through the WSGI server.
    """
    answers.opened(item.request.id)
    response = werkzeug.Response(
        _Events(answers, item, offset, connection),
        mimetype='text/event-stream',
    )
    response.headers['X-Request-Id'] = item.request.id
    response.headers['Cache-Control'] = 'no-store'
    return response


class _Events:
    """Iterates over the bytes of an event stream, then tells the end."""

    def __init__(
        self,
        answers: service.AnswerService,
        item: generation.Generation,
        offset: int,
        connection: socket.socket | None,
    ) -> None:
        self._answers = answers
        self._item = item
        self._pieces = (
            self._read(offset)
            if connection is None
            else self._write_directly(offset, connection)
        )
        self._delivered = False

    def __iter__(self) -> Iterator[bytes]:
        return self._pieces

    def close(self) -> None:
        """Called by the WSGI server also when the caller is gone."""
        self._answers.closed(self._item.request.id, self._delivered)

    def _read(self, offset: int) -> Iterator[bytes]:
        yield ACCEPTED_COMMENT
        ended = False
        while not ended:
            data, offset, ended = self._item.buffer.wait(offset, KEEPALIVE_S)
            if data:
                yield data
            elif not ended:
                yield KEEPALIVE_COMMENT
        yield self._ending()
        self._delivered = True

    def _write_directly(
        self, offset: int, connection: socket.socket
    ) -> Iterator[bytes]:
        # The server has written the head once the next piece is asked for.
        yield ACCEPTED_COMMENT
        stream = direct.DirectStream(connection)
        if not stream.run(
            self._item.buffer, offset, KEEPALIVE_COMMENT, KEEPALIVE_S
        ):
            raise ConnectionResetError('caller is gone or too slow')
        yield self._ending()
        self._delivered = True

    def _ending(self) -> bytes:
        match self._item.buffer.state:
            case buffer.AnswerState.COMPLETE:
                return buffer.DONE_BYTES
            case buffer.AnswerState.MOVED:
                # Without the end mark the caller knows that the answer is
                # not whole and comes back with Last-Event-ID.
                return b'event: moved\ndata: {}\n\n'
            case _:
                return _error_event(self._item)


def whole_response(
    answers: service.AnswerService, item: generation.Generation
) -> werkzeug.Response:
    """Wait for an answer's end and give it as one JSON body."""
    answers.opened(item.request.id)
    ended = False
    while not ended:
        _, _, ended = item.buffer.wait(item.buffer.next_offset, KEEPALIVE_S)
    answers.closed(item.request.id, True)
    match item.buffer.state:
        case buffer.AnswerState.COMPLETE:
            response = werkzeug.Response(
                orjson.dumps(completion(item.buffer.events_from(0))),
                mimetype='application/json',
            )
            response.headers['X-Request-Id'] = item.request.id
            return response
        case buffer.AnswerState.MOVED:
            return problems.to_response(moved(item), item.request.id)
        case _:
            return problems.to_response(failure_of(item), item.request.id)


def completion(stored: list[bytes]) -> dict[str, Any]:
    """Put the chunks of a stream together into one completion."""
    chunks = [orjson.loads(event.split(b'\ndata: ', 1)[1]) for event in stored]
    text = ''.join(
        choice.get('delta', {}).get('content') or ''
        for chunk in chunks
        for choice in chunk.get('choices', ())
    )
    last = chunks[-1]
    finish_reason = next(
        (
            choice['finish_reason']
            for chunk in reversed(chunks)
            for choice in chunk.get('choices', ())
            if choice.get('finish_reason')
        ),
        None,
    )
    return {
        'id': last.get('id'),
        'object': 'chat.completion',
        'choices': [
            {
                'index': 0,
                'message': {'role': 'assistant', 'content': text},
                'finish_reason': finish_reason,
            }
        ],
        'usage': last.get('usage'),
    }


def failure_of(item: generation.Generation) -> errors.Failure:
    """Why an answer failed."""
    failure = item.buffer.failure
    assert failure is not None
    return failure


def moved(item: generation.Generation) -> errors.Failure:
    """Error for a caller whose request another node goes on with."""
    return errors.Failure(
        errors.FailureKind.UNAVAILABLE,
        errors.Step.HAND_OVER,
        '',
        'another node goes on with the request; ask for it by its id',
        types.Outcome.UNKNOWN,
    )


def _error_event(item: generation.Generation) -> bytes:
    body = problems.body_of(failure_of(item), item.request.id)
    return b'event: error\ndata: ' + body + events.EVENT_END
