"""Responses to chat requests: JSON, event streams and resumed streams."""

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
from . import direct_stream
from . import problems
from . import server

KEEPALIVE_INTERVAL_S = 5.0
KEEPALIVE_COMMENT = b': keep-alive\n\n'
# Sends the response headers, with the request id, before the first token.
ACCEPTED_COMMENT = b': accepted\n\n'
# Ends a stream without the `[DONE]` marker, so that the caller detects that
# the answer is incomplete and resumes with its request id and Last-Event-ID.
MOVED_EVENT = b'event: moved\ndata: {}\n\n'


class Answer(Protocol):
    """An answer stored on this node or on another one."""

    @property
    def state(self) -> buffer.AnswerState:
        """State of the answer."""

    @property
    def failure(self) -> errors.Failure | None:
        """Why the answer failed; None if it has not."""

    def wait(self, offset: int, timeout_s: float) -> tuple[bytes, int, bool]:
        """Wait for events from `offset` on.

        Returns the data, the next offset and whether the answer has ended.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerSource:
    """An answer to read, with a callback for the end of reading."""

    request_id: ids.RequestId
    answer: Answer
    on_close: Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class ResumePoint:
    """Offset in an answer from which a caller resumes."""

    request_id: str
    next_offset: int


def parse_last_event_id(value: str) -> ResumePoint | None:
    """Parse `<request id>:<offset>`; None if malformed."""
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
    """Return a source that reads an answer stored on this node."""
    request_id = item.request.id
    answers.reader_opened(request_id)
    return AnswerSource(
        request_id, item.buffer, lambda: answers.reader_closed(request_id)
    )


def direct_connection(request: werkzeug.Request) -> socket.socket | None:
    """Return the caller's socket, None if it does not allow direct writes."""
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
    """Return an event stream of an answer from `offset` on.

    Parameters
    ----------
    connection : socket or None
        Plain-text socket of an HTTP/1.1 caller for direct writes, None if
        the events must be written by the WSGI server.
    """
    response = werkzeug.Response(
        _event_stream(source, offset, connection), mimetype='text/event-stream'
    )
    response.call_on_close(source.on_close)
    response.headers['X-Request-Id'] = source.request_id
    response.headers['Cache-Control'] = 'no-store'
    return response


def json_response(source: AnswerSource) -> werkzeug.Response:
    """Wait for the end of an answer and return it as one JSON body."""
    pieces, offset, ended = [], 0, False
    while not ended:
        data, offset, ended = source.answer.wait(offset, KEEPALIVE_INTERVAL_S)
        pieces.append(data)
    source.on_close()
    match source.answer.state:
        case buffer.AnswerState.COMPLETE:
            response = werkzeug.Response(
                orjson.dumps(assemble_completion(b''.join(pieces))),
                mimetype='application/json',
            )
            response.headers['X-Request-Id'] = source.request_id
            return response
        case buffer.AnswerState.MOVED:
            return problems.to_response(_moved_failure(), source.request_id)
        case _:
            return problems.to_response(
                _failure(source.answer), source.request_id
            )


def assemble_completion(stream: bytes) -> dict[str, Any]:
    """Assemble the chunks of a complete stream into one completion."""
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
    """Return why an answer stored on this node failed."""
    return _failure(item.buffer)


def _event_stream(
    source: AnswerSource, offset: int, connection: socket.socket | None
) -> Iterator[bytes]:
    yield ACCEPTED_COMMENT
    # The server has written the response headers when it requests the next
    # item.
    answer = source.answer
    if connection is not None and isinstance(answer, buffer.AnswerBuffer):
        stream = direct_stream.DirectStream(connection)
        if not stream.run(
            answer, offset, KEEPALIVE_COMMENT, KEEPALIVE_INTERVAL_S
        ):
            raise ConnectionResetError(
                'caller disconnected or reads too slowly'
            )
    else:
        yield from _poll_events(answer, offset)
    yield _final_event(source)


def _poll_events(answer: Answer, offset: int) -> Iterator[bytes]:
    ended = False
    while not ended:
        data, offset, ended = answer.wait(offset, KEEPALIVE_INTERVAL_S)
        if data:
            yield data
        elif not ended:
            yield KEEPALIVE_COMMENT


def _final_event(source: AnswerSource) -> bytes:
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


def _moved_failure() -> errors.Failure:
    return errors.Failure(
        errors.FailureKind.UNAVAILABLE,
        errors.Step.HAND_OVER,
        '',
        'another node goes on with the request; ask for it by its id',
        types.Outcome.UNKNOWN,
    )
