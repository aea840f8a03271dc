"""Answers without end, which a server in trouble sends until it is cut off."""

import asyncio
import dataclasses
import enum
import time

PIECE_BYTES = 16 * 1024
# Pause between the pieces of `Endless.DRIP`.
DRIP_INTERVAL_S = 0.002
# What an answer that has become slow sends, and the pause between.
SLOW_BYTES = 1
SLOW_INTERVAL_S = 0.1
_FILLER = b'x' * PIECE_BYTES
_EVENT = b'data: ' + b'x' * 4000 + b'\n\n'


class Endless(enum.Enum):
    """What is sent without end, and where in an answer.

    `OTHER_ANSWER` is the body of an answer to another request. `DRIP` sends a
    few bytes at a time within an event; the other kinds send as fast as the
    connection takes it. The events of `EVENTS` are complete.
    """

    BLANK_HEAD = 'blank lines before the head'
    HEADER_LINE = 'header line'
    HEADERS = 'header lines'
    INTERIM = 'interim answers'
    OTHER_ANSWER = 'answer to another request'
    SIZED = 'sized body'
    CHUNKED = 'chunked body'
    UNFRAMED = 'body without a length'
    CHUNK_EXTENSION = 'chunk extension'
    TRAILER = 'trailer'
    EVENT = 'event'
    EVENTS = 'complete events'
    BLANK_LINES = 'blank lines'
    DRIP = 'drip'


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer without end, and how much of it was sent.

    Attributes
    ----------
    events : bytes or None
        Complete events to be sent first; None if the answer is no stream.
    status : str
        Status code and reason.
    burst_bytes : int or None
        Bytes after which it goes on slowly; None for never.
    elapsed_s : float or None
        Seconds until the other side closed the connection; None if it has
        not.
    """

    kind: Endless
    events: bytes | None = None
    byte_count: int = 0
    status: str = '200 OK'
    burst_bytes: int | None = None
    elapsed_s: float | None = None

    async def send(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        """Send until the connection is closed.

        Parameters
        ----------
        head : bytes
            Complete head without framing headers.
        """
        head = head.removesuffix(b'\r\n')
        if self.events is not None:
            head += b'Content-Type: text/event-stream\r\n'
        started_at = time.monotonic()
        start, piece = _parts(self.kind, head, _chunk(self.events or b''))
        writer.write(start)
        pause_s = DRIP_INTERVAL_S if self.kind is Endless.DRIP else 0.0
        try:
            while not writer.transport.is_closing():
                if self.burst_bytes and self.byte_count >= self.burst_bytes:
                    piece, pause_s = piece[:SLOW_BYTES], SLOW_INTERVAL_S
                writer.write(piece)
                self.byte_count += len(piece)
                await writer.drain()
                await asyncio.sleep(pause_s)
        except ConnectionError:
            pass
        self.elapsed_s = time.monotonic() - started_at


def _chunk(data: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(data), data) if data else b''


def _parts(
    kind: Endless, head: bytes, first_chunk: bytes
) -> tuple[bytes, bytes]:
    """Return the start of an answer and the piece that is then repeated."""
    framing = b'Transfer-Encoding: chunked\r\n\r\n'
    chunked = head + framing + first_chunk
    chunk = _chunk(_FILLER)
    match kind:
        case Endless.BLANK_HEAD:
            return b'', b'\r\n' * (PIECE_BYTES // 2)
        case Endless.HEADER_LINE:
            return head + b'X-Filler: ', _FILLER
        case Endless.HEADERS:
            return head, b'X-Filler: 12345\r\n' * (PIECE_BYTES // 17)
        case Endless.INTERIM:
            return b'', b'HTTP/1.1 100 Continue\r\n\r\n' * (PIECE_BYTES // 25)
        case Endless.OTHER_ANSWER:
            other = b'HTTP/1.1 200 OK\r\nX-Hornbeamrudder-Request-Id: other'
            return other + b'\r\n' + framing, chunk
        case Endless.SIZED:
            return head + b'Content-Length: %d\r\n\r\n' % 10**12, _FILLER
        case Endless.UNFRAMED:
            return head + b'\r\n', _FILLER
        case Endless.CHUNK_EXTENSION:
            return chunked + b'5;', _FILLER
        case Endless.TRAILER:
            return chunked + b'0\r\nX-Filler: ', _FILLER
        case Endless.BLANK_LINES:
            return chunked, _chunk(b'\n' * PIECE_BYTES)
        case Endless.DRIP:
            return chunked, _chunk(b'xxxx')
        case Endless.EVENTS:
            return chunked, _chunk(_EVENT)
        case Endless.CHUNKED | Endless.EVENT:
            return chunked, chunk
