"""Framed messages over one TCP or TLS connection."""

import socket
import ssl
import time

from . import codec
from . import tls

CONNECT_TIMEOUT_S = 1.0
# A connection that receives nothing for this long is closed; a live peer sends
# at least one frame per KEEPALIVE_INTERVAL_S.
SILENCE_TIMEOUT_S = 2.0
KEEPALIVE_INTERVAL_S = 0.5
# Bounds the memory that an unauthenticated peer can use.
MAX_HANDSHAKE_FRAME_BYTES = 1024
READ_BUFFER_BYTES = 256 * 1024
# Bounds the time that an unauthenticated peer can occupy a thread.
HANDSHAKE_TIMEOUT_S = 4.0


class ProtocolError(Exception):
    """The peer has violated the protocol."""


class Connection:
    """Connection with blocking I/O, where each wait has a timeout.

    One thread may read while another one writes. A socket operation that makes
    no progress for `SILENCE_TIMEOUT_S` fails.
    """

    def __init__(self, raw: socket.socket) -> None:
        self._raw = raw
        self._raw.settimeout(SILENCE_TIMEOUT_S)
        self._raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._stream: socket.socket | tls.TlsStream = raw
        self._deadline: float | None = time.monotonic() + HANDSHAKE_TIMEOUT_S
        self._max_frame_bytes = MAX_HANDSHAKE_FRAME_BYTES

    def start_tls(
        self, context: ssl.SSLContext, server_side: bool, name: str = ''
    ) -> None:
        """Switch to TLS; raises OSError if the TLS handshake fails."""
        self._stream = tls.TlsStream(self._raw, context, server_side, name)

    def mark_authenticated(self) -> None:
        """Remove the limits that apply before authentication."""
        self._deadline = None
        self._max_frame_bytes = codec.MAX_FRAME_BYTES

    def read_frame(self) -> bytes:
        """Read one frame; the body of a keepalive is empty.

        Raises
        ------
        OSError
            The connection was closed or timed out.
        ProtocolError
            The frame exceeds the size limit.
        """
        header = self._read(codec.LENGTH_PREFIX.size)
        (length,) = codec.LENGTH_PREFIX.unpack(header)
        if length > self._max_frame_bytes:
            raise ProtocolError(
                f'frame of {length} bytes exceeds {self._max_frame_bytes}'
            )
        return self._read(length)

    def write(self, data: bytes) -> None:
        """Write all bytes; raises OSError if the peer stops reading."""
        self._stream.sendall(data)

    def close(self) -> None:
        """Close the connection; blocked reads and writes fail."""
        try:
            self._raw.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._raw.close()

    def _read(self, length: int) -> bytes:
        chunks = []
        while length > 0:
            if self._deadline and time.monotonic() > self._deadline:
                raise TimeoutError(
                    f'authentication exceeded {HANDSHAKE_TIMEOUT_S} s'
                )
            chunk = self._stream.recv(min(length, READ_BUFFER_BYTES))
            if not chunk:
                raise ConnectionResetError('connection closed by peer')
            chunks.append(chunk)
            length -= len(chunk)
        return b''.join(chunks)
