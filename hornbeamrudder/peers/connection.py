"""One TCP or TLS connection that carries frames."""

import socket
import ssl

from . import codec

CONNECT_TIMEOUT_S = 1.0
# A connection without any frame for this long is closed; a live peer sends
# one every KEEPALIVE_S.
SILENCE_S = 2.0
KEEPALIVE_S = 0.5
# Before authentication nobody may make the node hold a large frame.
MAX_HELLO_BYTES = 1024
READ_BYTES = 256 * 1024


class Malformed(Exception):
    """The peer does not keep to the protocol."""


class Connection:
    """Blocking frames over a socket; every wait ends after `SILENCE_S`."""

    def __init__(self, raw: socket.socket) -> None:
        self._socket = raw
        self._socket.settimeout(SILENCE_S)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.max_frame_bytes = MAX_HELLO_BYTES

    def start_tls(
        self, context: ssl.SSLContext, server_side: bool, name: str = ''
    ) -> None:
        """Switch to TLS."""
        self._socket = context.wrap_socket(
            self._socket,
            server_side=server_side,
            server_hostname=name or None,
        )

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
        if length > self.max_frame_bytes:
            raise Malformed(f'frame of {length} bytes')
        return self._read(length)

    def write(self, data: bytes) -> None:
        """Write all bytes; raises OSError where the peer does not read."""
        self._socket.sendall(data)

    def close(self) -> None:
        """Close the connection and end a wait of another thread."""
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._socket.close()

    def _read(self, length: int) -> bytes:
        chunks = []
        while length > 0:
            chunk = self._socket.recv(min(length, READ_BYTES))
            if not chunk:
                raise ConnectionResetError('connection closed by peer')
            chunks.append(chunk)
            length -= len(chunk)
        return b''.join(chunks)
