"""Stand-in for the network between two endpoints: a TCP relay with faults.

The process prints the address of its control port. `POST /control` accepts:

- `cut`: true resets all open connections once.
- `refuse`: true resets new connections.
- `silence`: `existing` stalls the open connections for good, `all` also
  stalls new ones, `none` lets new ones work.
- `pass_delay_s`: delay of each forwarded chunk, in seconds.
"""

import contextlib
import dataclasses
import socket
import struct
import threading
import time
from typing import Any, Mapping

import pydantic
import werkzeug

from . import server

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 5.0
LISTEN_BACKLOG = 256
# SO_LINGER value with which close() sends RST instead of FIN.
LINGER_ZERO = struct.pack('ii', 1, 0)


class Settings(server.ListenSettings):
    """Settings of the relay.

    Attributes
    ----------
    ip, port : str, int
        Control port.
    listen, target : str
        `ip:port` that the relay listens on, and that it forwards to.
    """

    listen: str
    target: str


class Faults(pydantic.BaseModel):
    """Faults of a relay; keys absent from a message stay unchanged.

    `cut` is the exception: it applies only to the message that sets it.
    """

    model_config = pydantic.ConfigDict(extra='forbid')

    cut: bool = False
    refuse: bool = False
    silence: str = pydantic.Field(
        default='none', pattern='^(none|existing|all)$'
    )
    pass_delay_s: float = pydantic.Field(default=0.0, ge=0.0, le=600.0)


@dataclasses.dataclass(eq=False, slots=True)
class _Connection:
    sockets: tuple[socket.socket, socket.socket]
    stalled: bool
    # Set by a reset; stops the forwarding threads of a stalled connection.
    closed: threading.Event = dataclasses.field(
        default_factory=threading.Event
    )

    def reset(self) -> None:
        """Reset both sockets."""
        self.closed.set()
        for endpoint in self.sockets:
            _reset(endpoint)


class Relay:
    """Forwards bytes between clients and the target, using threads."""

    def __init__(self, settings: Settings) -> None:
        self._target = _address(settings.target)
        self._faults = Faults()
        self._lock = threading.Lock()
        self._connections: set[_Connection] = set()
        self._listener = socket.create_server(
            _address(settings.listen), backlog=LISTEN_BACKLOG
        )
        threading.Thread(target=self._accept, daemon=True).start()

    def control(self, message: Mapping[str, Any]) -> None:
        """Apply a control message."""
        with self._lock:
            self._faults = Faults.model_validate(
                self._faults.model_dump() | {'cut': False} | dict(message)
            )
            faults = self._faults
            connections = tuple(self._connections)
        for connection in connections:
            # A stalled connection stays stalled when `silence` is cleared.
            connection.stalled |= faults.silence != 'none'
            if faults.cut:
                connection.reset()

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            threading.Thread(
                target=self._connect, args=(client,), daemon=True
            ).start()

    def _connect(self, client: socket.socket) -> None:
        if self._faults.refuse:
            _reset(client)
            return
        try:
            target = socket.create_connection(self._target, CONNECT_TIMEOUT_S)
        except OSError:
            _reset(client)
            return
        target.settimeout(None)
        for endpoint in (client, target):
            endpoint.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            connection = _Connection(
                (client, target), self._faults.silence == 'all'
            )
            self._connections.add(connection)
        reverse = threading.Thread(
            target=self._forward,
            args=(connection, target, client),
            daemon=True,
        )
        reverse.start()
        self._forward(connection, client, target)
        reverse.join()
        with self._lock:
            self._connections.discard(connection)
        for endpoint in connection.sockets:
            endpoint.close()

    def _forward(
        self,
        connection: _Connection,
        source: socket.socket,
        destination: socket.socket,
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                data = source.recv(CHUNK_BYTES)
                if self._faults.pass_delay_s:
                    time.sleep(self._faults.pass_delay_s)
                if connection.stalled:
                    # Forward neither data nor the close of the connection.
                    connection.closed.wait()
                    return
                if not data:
                    break
                destination.sendall(data)
            destination.shutdown(socket.SHUT_WR)
            return
        connection.reset()


def _reset(endpoint: socket.socket) -> None:
    with contextlib.suppress(OSError):
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        # Wakes threads that are blocked on this socket.
        endpoint.shutdown(socket.SHUT_RDWR)
    endpoint.close()


def _address(text: str) -> tuple[str, int]:
    ip, _, port = text.rpartition(':')
    return ip, int(port)


def run(settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT."""
    relay = Relay(settings)
    return server.serve(
        werkzeug.Request.application(
            lambda _: server.json_response({'error': 'not found'}, 404)
        ),
        settings.ip,
        settings.port,
        settings.threads,
        relay.control,
    )
