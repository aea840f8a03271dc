"""Gives answers to callers: whole, as an event stream, or the rest of one."""

import dataclasses
import socket
import ssl
from typing import Any, Callable, Iterator, Protocol

import orjson
import werkzeug

from ..answers import buffer
from ..answers import events
from ..answers import generation
from ..answers import service
from ..core import errors
from ..core import ids
from ..core import types
from . import direct
from . import problems
from . import server

KEEPALIVE_S = 5.0
KEEPALIVE_COMMENT = b': keep-alive\n\n'
# Lets the head, with the request id, reach the caller before any token.
ACCEPTED_COMMENT = b': accepted\n\n'
# Without the end mark the caller knows that the answer is not whole and
# comes back with its request id and Last-Event-ID.
MOVED_EVENT = b'event: moved\ndata: {}\n\n'


class Answer(Protocol):
    """An answer that is here or at another node."""

    @property
    def state(self) -> buffer.AnswerState:
        """State of the answer."""

    @property
    def failure(self) -> errors.Failure | None:
        """Why the answer failed."""

    def wait(self, offset: int, timeout_s: float) -> tuple[bytes, int, bool]:
        """Wait for events from `offset` on."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerSource:
    """An answer to read, and what to call when its reader has gone."""

    request_id: ids.RequestId
    answer: Answer
    on_close: Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class ResumePoint:
    """Place in an answer from which a caller wants it."""

    request_id: str
    next_offset: int


def parse_last_event_id(value: str) -> ResumePoint | None:
    """Read `<request id>:<offset>`; None where it is malformed."""
    request_id, separator, offset = value.rpartition(':')
    if (
        not separator
        or not request_id
        or not (offset.isascii() and offset.isdecimal())
        or len(offset) > 9
    ):
        return None
    return ResumePoint(request_id, int(offset) + 1)


def local_answer(
    answers: service.AnswerService, item: generation.Generation
) -> AnswerSource:
    """Read an answer of this node."""
    request_id = item.request.id
    answers.reader_opened(request_id)
    return AnswerSource(
        request_id, item.buffer, lambda: answers.reader_closed(request_id)
    )


def direct_connection(request: werkzeug.Request) -> socket.socket | None:
    """Return the socket of a caller that may be written to directly."""
    connection = request.environ.get(server.CONNECTION_KEY)
    if (
        isinstance(connection, socket.socket)
        and not isinstance(connection, ssl.SSLSocket)
        and request.environ['SERVER_PROTOCOL'] == 'HTTP/1.1'
    ):
        return connection
    return None


def stream_response(
    source: AnswerSource, offset: int, connection: socket.socket | None
) -> werkzeug.Response:
    """Stream an answer's events from `offset` on.

    Parameters
    ----------
    connection : socket or None
        Plain socket of an HTTP/1.1 caller for direct writes, None where the
        pieces have to go through the WSGI server.
    """
    response = werkzeug.Response(
        _pieces(source, offset, connection), mimetype='text/event-stream'
    )
    response.call_on_close(source.on_close)
    response.headers['X-Request-Id'] = source.request_id
    response.headers['Cache-Control'] = 'no-store'
    return response


def whole_response(source: AnswerSource) -> werkzeug.Response:
    """Wait for an answer's end and give it as one JSON body."""
    pieces, offset, ended = [], 0, False
    while not ended:
        data, offset, ended = source.answer.wait(offset, KEEPALIVE_S)
        pieces.append(data)
    source.on_close()
    match source.answer.state:
        case buffer.AnswerState.COMPLETE:
            response = werkzeug.Response(
                orjson.dumps(completion(b''.join(pieces))),
                mimetype='application/json',
            )
            response.headers['X-Request-Id'] = source.request_id
            return response
        case buffer.AnswerState.MOVED:
            return problems.to_response(_moved(), source.request_id)
        case _:
            return problems.to_response(
                _failure(source.answer), source.request_id
            )


def completion(stream: bytes) -> dict[str, Any]:
    """Put the chunks of a whole stream together into one completion."""
    chunks = [
        orjson.loads(event.partition(b'\ndata: ')[2])
        for event in stream.split(events.EVENT_END)
        if event
    ]
    choices = [
        choice for chunk in chunks for choice in chunk.get('choices', ())
    ]
    return {
        'id': chunks[-1].get('id'),
        'object': 'chat.completion',
        'choices': [
            {
                'index': 0,
                'message': {
                    'role': 'assistant',
                    'content': ''.join(
                        choice.get('delta', {}).get('content') or ''
                        for choice in choices
                    ),
                },
                'finish_reason': choices[-1].get('finish_reason'),
            }
        ],
        'usage': chunks[-1].get('usage'),
    }


def failure_of(item: generation.Generation) -> errors.Failure:
    """Why an answer of this node failed."""
    return _failure(item.buffer)


def _pieces(
    source: AnswerSource, offset: int, connection: socket.socket | None
) -> Iterator[bytes]:
    yield ACCEPTED_COMMENT
    # The server has written the head once the next piece is asked for.
    answer = source.answer
    if connection is not None and isinstance(answer, buffer.AnswerBuffer):
        stream = direct.DirectStream(connection)
        if not stream.run(answer, offset, KEEPALIVE_COMMENT, KEEPALIVE_S):
            raise ConnectionResetError('caller is gone or too slow')
    else:
        yield from _waited_pieces(answer, offset)
    yield _ending(source)


def _waited_pieces(answer: Answer, offset: int) -> Iterator[bytes]:
    ended = False
    while not ended:
        data, offset, ended = answer.wait(offset, KEEPALIVE_S)
        if data:
            yield data
        elif not ended:
            yield KEEPALIVE_COMMENT


def _ending(source: AnswerSource) -> bytes:
    match source.answer.state:
        case buffer.AnswerState.COMPLETE:
            return buffer.DONE_BYTES
        case buffer.AnswerState.MOVED:
            return MOVED_EVENT
        case _:
            body = problems.body_of(_failure(source.answer), source.request_id)
            return b'event: error\ndata: ' + body + events.EVENT_END


def _failure(answer: Answer) -> errors.Failure:
    assert answer.failure is not None
    return answer.failure


def _moved() -> errors.Failure:
    return errors.Failure(
        errors.FailureKind.UNAVAILABLE,
        errors.Step.HAND_OVER,
        '',
        'another node goes on with the request; ask for it by its id',
        types.Outcome.UNKNOWN,
    )
