"""Reads many token streams on one thread and measures their latency."""

import dataclasses
import selectors
import socket
import time

from hdrh import histogram
import orjson

from ..core import types

READ_BYTES = 65536
MIN_DELAY_US = 1
MAX_DELAY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
SENT_FIELD = b'"sent":'
DONE_MARKER = b'data: [DONE]'


@dataclasses.dataclass(slots=True)
class _Stream:
    socket: socket.socket
    buffer: bytes = b''
    tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DelayReport:
    """Latency of tokens from sending to receipt."""

    streams: int
    finished: int
    tokens: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    seconds: float


def measure(
    address: types.Address,
    path: str,
    headers: tuple[tuple[str, str], ...],
    model: str,
    streams: int,
    tokens: int,
    warm_up_tokens: int,
    timeout_s: float,
) -> DelayReport:
    """Open streams and read all of them to the end.

    Parameters
    ----------
    warm_up_tokens : int
        Tokens at the start of each stream whose latency is not recorded.
    """
    delays = histogram.HdrHistogram(
        MIN_DELAY_US, MAX_DELAY_US, SIGNIFICANT_DIGITS
    )
    selector = selectors.DefaultSelector()
    for number in range(streams):
        connection = _open_stream(
            address, path, headers, model, tokens, number
        )
        selector.register(
            connection, selectors.EVENT_READ, _Stream(connection)
        )
    started_at = time.monotonic()
    finished = received = 0
    while selector.get_map() and time.monotonic() - started_at < timeout_s:
        for key, _ in selector.select(1.0):
            stream: _Stream = key.data
            data = stream.socket.recv(READ_BYTES)
            received += _record_delays(stream, data, delays, warm_up_tokens)
            if not data or DONE_MARKER in stream.buffer + data:
                finished += DONE_MARKER in stream.buffer + data
                selector.unregister(stream.socket)
                stream.socket.close()
    return DelayReport(
        streams,
        finished,
        received,
        delays.get_value_at_percentile(50) / 1000,
        delays.get_value_at_percentile(95) / 1000,
        delays.get_value_at_percentile(99) / 1000,
        time.monotonic() - started_at,
    )


def _record_delays(
    stream: _Stream,
    data: bytes,
    delays: histogram.HdrHistogram,
    warm_up_tokens: int,
) -> int:
    now = time.monotonic()
    *events, stream.buffer = (stream.buffer + data).split(b'\n\n')
    count = 0
    for event in events:
        _, separator, tail = event.partition(SENT_FIELD)
        if not separator:
            continue
        count += 1
        stream.tokens += 1
        if stream.tokens > warm_up_tokens:
            sent_at = float(tail[: tail.find(b',')])
            delays.record_value(max(1, int((now - sent_at) * 1e6)))
    return count


def _open_stream(
    address: types.Address,
    path: str,
    headers: tuple[tuple[str, str], ...],
    model: str,
    tokens: int,
    number: int,
) -> socket.socket:
    body = orjson.dumps(
        {
            'model': model,
            'stream': True,
            'max_tokens': tokens,
            'messages': [{'role': 'user', 'content': f'plan {number}'}],
        }
    )
    lines = [
        f'POST {path} HTTP/1.1',
        f'Host: {address}',
        f'Content-Length: {len(body)}',
        *(f'{name}: {value}' for name, value in headers),
    ]
    connection = socket.create_connection((address.ip, address.port))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.sendall('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
    return connection
