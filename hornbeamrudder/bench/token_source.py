"""Stand-in of a model engine that sends tokens at a constant rate.

Used to measure how nodes relay streams. One thread serves
`POST /v1/chat/completions`; writing a token is its only cost. Each event
contains the monotonic time at which it was sent, which is comparable across
the processes of a host.
"""

import argparse
import dataclasses
import heapq
import itertools
import json
import selectors
import socket
import sys
import time
from typing import Sequence

from . import load_source

TOKEN_INTERVAL_S = 0.035
LISTEN_BACKLOG = 1024
READ_BYTES = 65536
# Number of offsets within the interval over which the streams are spread.
STREAM_PHASES = 64


@dataclasses.dataclass(slots=True)
class _Connection:
    socket: socket.socket
    received: bytes = b''
    request_id: str = ''
    attempt: str = ''
    offset: int = 0
    max_tokens: int = 0
    next_send_at: float = 0.0


class TokenSource:
    """Serves all streams of the process on one thread."""

    def __init__(self, port: int, interval_s: float) -> None:
        self._interval_s = interval_s
        self._selector = selectors.DefaultSelector()
        self._listener = socket.create_server(
            ('127.0.0.1', port), backlog=LISTEN_BACKLOG
        )
        self._listener.setblocking(False)
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._scheduled: list[tuple[float, int, _Connection]] = []
        self._sequence = itertools.count()
        self.port = self._listener.getsockname()[1]

    def run(self) -> None:
        """Serve until the process is stopped."""
        while True:
            timeout = None
            if self._scheduled:
                timeout = max(0.0, self._scheduled[0][0] - time.monotonic())
            for key, _ in self._selector.select(timeout):
                if key.data is None:
                    self._accept()
                else:
                    self._read(key.data)
            self._send_scheduled()

    def _accept(self) -> None:
        accepted, _ = self._listener.accept()
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._selector.register(
            accepted, selectors.EVENT_READ, _Connection(accepted)
        )

    def _read(self, connection: _Connection) -> None:
        try:
            data = connection.socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b''
        if not data:
            self._close(connection)
            return
        connection.received += data
        self._parse_request(connection)

    def _parse_request(self, connection: _Connection) -> None:
        header_text, separator, rest = connection.received.partition(
            b'\r\n\r\n'
        )
        if not separator:
            return
        lines = header_text.decode('latin-1').split('\r\n')
        headers_by_name = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(':') for line in lines[1:])
        }
        length = int(headers_by_name.get('content-length', '0'))
        if len(rest) < length:
            return
        connection.received = rest[length:]
        if not lines[0].startswith('POST /v1/chat/completions '):
            self._send_load_report(connection)
            return
        body = json.loads(rest[:length])
        connection.request_id = headers_by_name['x-request-id']
        connection.attempt = headers_by_name['x-attempt']
        connection.max_tokens = body['max_tokens']
        connection.offset = int(headers_by_name.get('x-resume-offset', '0'))
        self._send(connection, _response_headers(connection))
        # Spread the streams over the interval, so that their tokens are not
        # sent at the same time.
        connection.next_send_at = time.monotonic() + self._interval_s * (
            (next(self._sequence) % STREAM_PHASES) / STREAM_PHASES
        )
        self._schedule_next(connection)

    def _send_load_report(self, connection: _Connection) -> None:
        """Answer a load poll.

        Without load reports a node treats the host as gone.
        """
        self._send(connection, load_source.RESPONSE)

    def _schedule_next(self, connection: _Connection) -> None:
        heapq.heappush(
            self._scheduled,
            (connection.next_send_at, next(self._sequence), connection),
        )

    def _send_scheduled(self) -> None:
        now = time.monotonic()
        while self._scheduled and self._scheduled[0][0] <= now:
            _, _, connection = heapq.heappop(self._scheduled)
            if connection.socket.fileno() < 0:
                continue
            if connection.offset < connection.max_tokens:
                self._send(connection, _chunk(_event(connection, '')))
                connection.offset += 1
                connection.next_send_at += self._interval_s
                self._schedule_next(connection)
            else:
                last = _event(connection, ',"finish_reason":"length"')
                self._send(
                    connection,
                    _chunk(last + b'data: [DONE]\n\n') + b'0\r\n\r\n',
                )

    def _send(self, connection: _Connection, data: bytes) -> None:
        try:
            connection.socket.send(data)
        except OSError:
            self._close(connection)

    def _close(self, connection: _Connection) -> None:
        if connection.socket.fileno() >= 0:
            self._selector.unregister(connection.socket)
            connection.socket.close()


def _response_headers(connection: _Connection) -> bytes:
    return (
        'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
        f'X-Request-Id: {connection.request_id}\r\n'
        f'X-Attempt: {connection.attempt}\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    ).encode()


def _event(connection: _Connection, finish: str) -> bytes:
    return (
        f'id: {connection.request_id}:{connection.offset}\n'
        f'data: {{"id":"{connection.request_id}",'
        f'"object":"chat.completion.chunk","sent":{time.monotonic():.6f},'
        f'"choices":[{{"index":0,"delta":{{"content":"chime "}}{finish}}}]}}'
        '\n\n'
    ).encode()


def _chunk(data: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(data), data)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the server; prints `listening on ip:port` when ready."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument(
        '--interval', type=float, default=TOKEN_INTERVAL_S, help='seconds'
    )
    arguments = parser.parse_args(argv)
    source = TokenSource(arguments.port, arguments.interval)
    print(f'listening on 127.0.0.1:{source.port}', flush=True)
    source.run()
    return 0


if __name__ == '__main__':
    sys.exit(main())
