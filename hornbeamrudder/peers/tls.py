"""TLS over a socket that is read and written by different threads."""

import socket
import ssl
import threading

READ_BUFFER_BYTES = 64 * 1024


class TlsStream:
    """TLS stream whose state is guarded by a lock that is not held during I/O.

    `ssl.SSLSocket` of this Python version must not be used by two threads at
    once: both would access the same OpenSSL object without a lock.
    """

    def __init__(
        self,
        raw: socket.socket,
        context: ssl.SSLContext,
        server_side: bool,
        name: str,
    ) -> None:
        self._raw = raw
        self._received = ssl.MemoryBIO()
        self._to_send = ssl.MemoryBIO()
        self._tls = context.wrap_bio(
            self._received,
            self._to_send,
            server_side=server_side,
            server_hostname=name or None,
        )
        self._state_lock = threading.Lock()
        # TLS records must be sent in the order of their encryption.
        self._write_lock = threading.Lock()
        self._handshake()

    def recv(self, limit: int) -> bytes:
        """Read up to `limit` bytes; returns no bytes at end of stream."""
        while True:
            with self._state_lock:
                try:
                    return self._tls.read(limit)
                except ssl.SSLWantReadError:
                    pass
                except ssl.SSLZeroReturnError:
                    return b''
            self._flush()
            if not self._receive():
                return b''

    def sendall(self, data: bytes) -> None:
        """Encrypt and send all bytes."""
        view = memoryview(data)
        with self._write_lock:
            while view:
                with self._state_lock:
                    written = self._tls.write(view)
                    records = self._to_send.read()
                view = view[written:]
                self._raw.sendall(records)

    def _handshake(self) -> None:
        while True:
            try:
                self._tls.do_handshake()
            except ssl.SSLWantReadError:
                self._flush()
                if not self._receive():
                    raise ConnectionResetError(
                        'connection closed in the TLS handshake'
                    ) from None
            else:
                self._flush()
                return

    def _flush(self) -> None:
        with self._write_lock:
            with self._state_lock:
                records = self._to_send.read()
            if records:
                self._raw.sendall(records)

    def _receive(self) -> bool:
        records = self._raw.recv(READ_BUFFER_BYTES)
        with self._state_lock:
            self._received.write(records)
        return bool(records)
