"""Crowds of clients that don't keep to the limits of a node.

Each client sends what its kind says to one of the places at which a node
listens, as far as the node lets it, and keeps its connection open.
"""

import asyncio
import dataclasses
import enum
import itertools
import socket
from typing import Iterator

from ..core import types
from ..standins import platform_caller

CONNECT_TIMEOUT_S = 2.0
# Receive buffer of clients that don't read.
UNREAD_BUFFER_BYTES = 4096
PIECE_BYTES = 1000
CHUNK_BYTES = 4000
TINY_CHUNKS = 20_000
REQUESTS_AHEAD = 16
UNREAD_REQUESTS = 240
# Requests that a client sends at once, fewer than a connection may have
# pending.
UNREAD_BATCH = 8
UNREAD_PAUSE_S = 0.01
TRICKLE_PAUSE_S = 0.02
# Deadline of requests whose answers are not read.
ANSWER_MS = 20_000
OVERSIZE_FACTOR = 10
# Share of the limit on heads that the fields of a request take.
FIELDS_SHARE = 0.9


class Kind(enum.Enum):
    """What the clients of a crowd send.

    The bodies of `WHOLE_BODIES`, `PIECES` and `CHUNKS` stop one byte short of
    their end; `TINY_CHUNKS` holds one byte in a chunk. `OVERSIZE` declares a
    body over the limit, `OVERSIZE_CHUNKS` doesn't and sends one. `FIELDS`
    holds very many short fields and stops before the end of the head.
    `FIELDS_AHEAD` and `BODIES_AHEAD` send such heads, or bodies, in requests
    one after the other. `UNREAD` doesn't read the answers, `ONE_UNREAD` the
    one to a request inside the limits, `HALF_HEADS` stops in the first line,
    `TRICKLE` sends a body byte by byte, `SILENT` sends nothing.
    """

    WHOLE_BODIES = 'whole bodies'
    PIECES = 'bodies in pieces'
    CHUNKS = 'bodies in chunks'
    TINY_CHUNKS = 'chunks of one byte'
    OVERSIZE = 'bodies over the limit'
    OVERSIZE_CHUNKS = 'chunks over the limit'
    FIELDS = 'heads of many fields'
    FIELDS_AHEAD = 'heads of many fields ahead'
    BODIES_AHEAD = 'bodies ahead'
    UNREAD = 'answers unread'
    ONE_UNREAD = 'one answer unread'
    HALF_HEADS = 'half heads'
    TRICKLE = 'trickled bodies'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A place at which a node listens.

    Attributes
    ----------
    path : str
        Path of the requests; with or without a route.
    """

    address: types.Address
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the configuration in force, in bytes."""

    body_bytes: int
    head_bytes: int


class Crowd:
    """Clients of one kind, on connections to the targets in turn."""

    def __init__(
        self,
        kind: Kind,
        count: int,
        targets: tuple[Target, ...],
        limits: Limits,
    ) -> None:
        self._kind = kind
        self._limits = limits
        self._targets = tuple(
            itertools.islice(itertools.cycle(targets), count)
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._sockets: list[socket.socket] = []
        self.sent_bytes = 0

    async def start(self, settle_s: float) -> None:
        """Start all clients; return when they hold, at most `settle_s` later.

        A node that reads no further makes its clients wait.
        """
        self._tasks = [
            asyncio.create_task(self._play(target)) for target in self._targets
        ]
        await asyncio.wait(self._tasks, timeout=settle_s)

    async def stop(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self._sockets:
            client.close()

    async def _play(self, target: Target) -> None:
        loop = asyncio.get_running_loop()
        client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sockets.append(client)
        client.setblocking(False)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._kind in (Kind.UNREAD, Kind.ONE_UNREAD):
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES
            )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(
                    client, (target.address.ip, target.address.port)
                )
            for pause_s, data in self._pieces(target):
                await loop.sock_sendall(client, data)
                self.sent_bytes += len(data)
                if pause_s:
                    await asyncio.sleep(pause_s)
        except OSError:
            # The node has refused or closed the connection.
            pass

    def _pieces(self, target: Target) -> Iterator[tuple[float, bytes]]:
        """Return pauses in seconds, and what is sent before them."""
        size = self._limits.body_bytes
        short = b'x' * (size - 1)
        match self._kind:
            case Kind.WHOLE_BODIES:
                yield 0.0, _head(target, size) + short
            case Kind.PIECES:
                yield 0.0, _head(target, size)
                for start in range(0, len(short), PIECE_BYTES):
                    yield 0.0, short[start : start + PIECE_BYTES]
            case Kind.CHUNKS:
                yield 0.0, _head(target, None)
                for _ in range(size // CHUNK_BYTES):
                    yield 0.0, _chunk(CHUNK_BYTES)
            case Kind.TINY_CHUNKS:
                yield 0.0, _head(target, None) + _chunk(1) * TINY_CHUNKS
            case Kind.OVERSIZE:
                yield 0.0, _head(target, OVERSIZE_FACTOR * size)
                for _ in range(OVERSIZE_FACTOR):
                    yield 0.0, short
            case Kind.OVERSIZE_CHUNKS:
                yield 0.0, _head(target, None)
                for _ in range(OVERSIZE_FACTOR * size // CHUNK_BYTES):
                    yield 0.0, _chunk(CHUNK_BYTES)
            case Kind.FIELDS:
                yield 0.0, self._head_of_fields(target)
            case Kind.FIELDS_AHEAD:
                request = self._head_of_fields(target) + b'\r\n'
                yield 0.0, request * REQUESTS_AHEAD
            case Kind.BODIES_AHEAD:
                request = _head(target, size) + short + b'x'
                for _ in range(REQUESTS_AHEAD):
                    yield 0.0, request
            case Kind.UNREAD:
                request = _head(target, 0)
                for _ in range(UNREAD_REQUESTS // UNREAD_BATCH):
                    yield UNREAD_PAUSE_S, request * UNREAD_BATCH
            case Kind.ONE_UNREAD:
                yield (
                    0.0,
                    platform_caller.request_bytes(
                        target.path, remaining_ms=ANSWER_MS
                    ),
                )
            case Kind.HALF_HEADS:
                yield 0.0, b'POST ' + target.path.encode()
            case Kind.TRICKLE:
                yield 0.0, _head(target, size) + short[: size // 2]
                for _ in range(size // 2):
                    yield TRICKLE_PAUSE_S, b'x'
            case Kind.SILENT:
                return

    def _head_of_fields(self, target: Target) -> bytes:
        """Return a head without its end, of the limit's size."""
        field = b'ab:cd\r\n'
        # A node counts four bytes for the framing of a field.
        count = int(FIELDS_SHARE * self._limits.head_bytes / (len(field) + 1))
        return _head(target, 0)[: -len(b'\r\n')] + field * count


def _head(target: Target, length: int | None) -> bytes:
    framing = (
        'Transfer-Encoding: chunked'
        if length is None
        else f'Content-Length: {length}'
    )
    return (
        f'POST {target.path} HTTP/1.1\r\nHost: shop.example\r\n'
        'Authorization: Bearer key-north\r\n'
        f'{framing}\r\n\r\n'
    ).encode()


def _chunk(size: int) -> bytes:
    return b'%x\r\n%s\r\n' % (size, b'x' * size)
