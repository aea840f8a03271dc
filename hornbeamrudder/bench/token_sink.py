"""Reads many token streams on one thread and measures their delay."""

import dataclasses
import selectors
import socket
import time

from hdrh import histogram
import orjson

from ..core import types

READ_BYTES = 65536
LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
SENT_MARK = b'"sent":'
END_MARK = b'data: [DONE]'


@dataclasses.dataclass(slots=True)
class _Stream:
    socket: socket.socket
    rest: bytes = b''
    tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DelayReport:
    """Delay from a token's sending to its arrival, in milliseconds."""

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
    """Open streams and read them to their end.

    Parameters
    ----------
    warm_up_tokens : int
        First tokens of each stream that are left out of the delays.
    """
    delays = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    selector = selectors.DefaultSelector()
    for number in range(streams):
        opened = _open(address, path, headers, model, tokens, number)
        selector.register(opened, selectors.EVENT_READ, _Stream(opened))
    started_at = time.monotonic()
    finished = received = 0
    while selector.get_map() and time.monotonic() - started_at < timeout_s:
        for key, _ in selector.select(1.0):
            stream: _Stream = key.data
            data = stream.socket.recv(READ_BYTES)
            received += _record(stream, data, delays, warm_up_tokens)
            if not data or END_MARK in stream.rest + data:
                finished += END_MARK in stream.rest + data
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


def _record(
    stream: _Stream,
    data: bytes,
    delays: histogram.HdrHistogram,
    warm_up_tokens: int,
) -> int:
    now = time.monotonic()
    *parts, stream.rest = (stream.rest + data).split(b'\n\n')
    found = 0
    for part in parts:
        _, mark, tail = part.partition(SENT_MARK)
        if not mark:
            continue
        found += 1
        stream.tokens += 1
        if stream.tokens > warm_up_tokens:
            sent_at = float(tail[: tail.find(b',')])
            delays.record_value(max(1, int((now - sent_at) * 1e6)))
    return found


def _open(
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
    opened = socket.create_connection((address.ip, address.port))
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.sendall('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
    return opened
