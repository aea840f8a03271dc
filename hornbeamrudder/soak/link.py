"""A loopback proxy between two programs, whose connections can be faulty."""

import asyncio
import dataclasses
import socket
import struct

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 3.0
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@dataclasses.dataclass(slots=True)
class Faults:
    """What happens to bytes and connections from now on.

    Attributes
    ----------
    silent : bool
        Whether nothing passes; connections of that time stay so for good.
    one_way : bool
        Whether only bytes to the target pass, no answers.
    refuses : bool
        Whether new connections are reset.
    """

    delay_s: float = 0.0
    silent: bool = False
    one_way: bool = False
    refuses: bool = False


@dataclasses.dataclass(eq=False, slots=True)
class _Connection:
    caller: asyncio.StreamWriter
    target: asyncio.StreamWriter
    is_lost: bool = False


class Link:
    """Passes bytes from its own address to a target."""

    def __init__(self, ip: str) -> None:
        self.faults = Faults()
        self.address = ''
        self._ip = ip
        self._target = ('', 0)
        self._connections: set[_Connection] = set()

    async def start(self, target: str) -> str:
        """Listen; returns the address to use in place of the target's."""
        ip, _, port = target.rpartition(':')
        self._target = (ip, int(port))
        listener = await asyncio.start_server(self._accept, self._ip, 0)
        self.address = '%s:%d' % listener.sockets[0].getsockname()[:2]
        return self.address

    def set_silent(self) -> None:
        """Let all connections of this moment pass nothing, for good."""
        self.faults.silent = True
        for connection in self._connections:
            connection.is_lost = True

    def reset(self) -> None:
        """Reset all connections."""
        for connection in list(self._connections):
            _reset(connection.caller)
            _reset(connection.target)

    def heal(self) -> None:
        """Let new connections work; silent ones stay lost."""
        self.faults = Faults()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.refuses:
            _reset(writer)
            return
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                answers, target = await asyncio.open_connection(*self._target)
        except (OSError, TimeoutError):
            _reset(writer)
            return
        connection = _Connection(writer, target, self.faults.silent)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._pass(connection, reader, target, False),
                self._pass(connection, answers, writer, True),
            )
        except (OSError, asyncio.CancelledError):
            # Cancelled at the end of the run.
            _reset(writer)
            _reset(target)
        finally:
            self._connections.discard(connection)
            for end in (writer, target):
                end.close()

    async def _pass(
        self,
        connection: _Connection,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        while True:
            data = await source.read(CHUNK_BYTES)
            if self.faults.delay_s:
                await asyncio.sleep(self.faults.delay_s)
            if connection.is_lost or (is_answer and self.faults.one_way):
                connection.is_lost = True
                if not data:
                    # The other side does not learn of the end either.
                    return
                continue
            if not data:
                break
            sink.write(data)
            await sink.drain()
        if sink.can_write_eof():
            sink.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    end = writer.get_extra_info('socket')
    if end is not None and end.fileno() >= 0:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
