"""Stand-in of the network between two ends: a TCP relay with faults.

The process prints the address of its control port; `POST /control` takes
`cut` (true resets all connections now), `refuse` (true resets new ones),
`silence` (`existing`: the connections of this moment never pass a byte
again; `all`: new ones neither; `none`: new ones work) and `pass_delay_s`.
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
# With this option, a close sends a reset instead of an orderly end.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Settings(server.ListenSettings):
    """Settings of the relay.

    Attributes
    ----------
    ip, port : str, int
        Control port.
    listen, target : str
        `ip:port` that is relayed and where it leads.
    """

    listen: str
    target: str


class Faults(pydantic.BaseModel):
    """Faults of a relay; absent keys of a message are unchanged."""

    model_config = pydantic.ConfigDict(extra='forbid')

    cut: bool = False
    refuse: bool = False
    silence: str = pydantic.Field(
        default='none', pattern='^(none|existing|all)$'
    )
    pass_delay_s: float = pydantic.Field(default=0.0, ge=0.0, le=600.0)


@dataclasses.dataclass(eq=False, slots=True)
class _Connection:
    ends: tuple[socket.socket, socket.socket]
    silent: bool
    # Set by a reset, which ends the threads of a silent connection too.
    closed: threading.Event = dataclasses.field(
        default_factory=threading.Event
    )

    def reset(self) -> None:
        """Reset both ends."""
        self.closed.set()
        for end in self.ends:
            _reset(end)


class Relay:
    """Passes bytes between its callers and the target, on threads."""

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
            # A silent connection stays so when new ones work again.
            connection.silent |= faults.silence != 'none'
            if faults.cut:
                connection.reset()

    def _accept(self) -> None:
        while True:
            caller, _ = self._listener.accept()
            threading.Thread(
                target=self._connect, args=(caller,), daemon=True
            ).start()

    def _connect(self, caller: socket.socket) -> None:
        if self._faults.refuse:
            _reset(caller)
            return
        try:
            target = socket.create_connection(self._target, CONNECT_TIMEOUT_S)
        except OSError:
            _reset(caller)
            return
        target.settimeout(None)
        for end in (caller, target):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            connection = _Connection(
                (caller, target), self._faults.silence == 'all'
            )
            self._connections.add(connection)
        backward = threading.Thread(
            target=self._pass, args=(connection, target, caller), daemon=True
        )
        backward.start()
        self._pass(connection, caller, target)
        backward.join()
        with self._lock:
            self._connections.discard(connection)
        for end in connection.ends:
            end.close()

    def _pass(
        self,
        connection: _Connection,
        source: socket.socket,
        sink: socket.socket,
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                data = source.recv(CHUNK_BYTES)
                if self._faults.pass_delay_s:
                    time.sleep(self._faults.pass_delay_s)
                if connection.silent:
                    # Neither bytes nor the end of the connection pass.
                    connection.closed.wait()
                    return
                if not data:
                    break
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
            return
        connection.reset()


def _reset(end: socket.socket) -> None:
    with contextlib.suppress(OSError):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        # Wakes the threads that wait for this socket.
        end.shutdown(socket.SHUT_RDWR)
    end.close()


def _address(text: str) -> tuple[str, int]:
    ip, _, port = text.rpartition(':')
    return ip, int(port)


def run(settings: Settings) -> int:
    """Serve until SIGTERM."""
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
