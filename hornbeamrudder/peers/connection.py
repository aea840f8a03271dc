"""One TCP or TLS connection that carries frames."""

import socket
import ssl
import time

from . import codec
from . import tls

CONNECT_TIMEOUT_S = 1.0
# A connection without any frame for this long is closed; a live peer sends
# one every KEEPALIVE_S.
SILENCE_S = 2.0
KEEPALIVE_S = 0.5
# Before authentication nobody may make the node hold a large frame.
MAX_HELLO_BYTES = 1024
READ_BYTES = 256 * 1024
# Bounds the time for which an unauthenticated peer holds a thread.
HANDSHAKE_S = 4.0


class Malformed(Exception):
    """The peer does not keep to the protocol."""


class Connection:
    """Blocking frames over a socket; every wait ends after `SILENCE_S`.

    One thread may read while another one writes.
    """

    def __init__(self, raw: socket.socket) -> None:
        self._raw = raw
        self._raw.settimeout(SILENCE_S)
        self._raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._stream: socket.socket | tls.TlsStream = raw
        self._deadline: float | None = time.monotonic() + HANDSHAKE_S
        self._max_frame_bytes = MAX_HELLO_BYTES

    def start_tls(
        self, context: ssl.SSLContext, server_side: bool, name: str = ''
    ) -> None:
        """Switch to TLS; raises OSError where the handshake fails."""
        self._stream = tls.TlsStream(self._raw, context, server_side, name)

    def authenticated(self) -> None:
        """Lift the limits that hold before authentication."""
        self._deadline = None
        self._max_frame_bytes = codec.MAX_FRAME_BYTES

    def read_frame(self) -> bytes:
        """Read one frame; empty for a keepalive.

        Raises
        ------
        OSError
            The connection was closed or silent.
        Malformed
            The frame is over the limit.
        """
        header = self._read(codec.LENGTH.size)
        (length,) = codec.LENGTH.unpack(header)
        if length > self._max_frame_bytes:
            raise Malformed(f'frame of {length} bytes')
        return self._read(length)

    def write(self, data: bytes) -> None:
        """Write all bytes; raises OSError where the peer does not read."""
        self._stream.sendall(data)

    def close(self) -> None:
        """Close the connection and end a wait of another thread."""
        try:
            self._raw.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._raw.close()

    def _read(self, length: int) -> bytes:
        chunks = []
        while length > 0:
            if self._deadline and time.monotonic() > self._deadline:
                raise TimeoutError('authentication takes too long')
            chunk = self._stream.recv(min(length, READ_BYTES))
            if not chunk:
                raise ConnectionResetError('connection closed by peer')
            chunks.append(chunk)
            length -= len(chunk)
        return b''.join(chunks)
