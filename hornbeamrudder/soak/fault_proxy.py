"""TCP proxy on loopback that injects connection faults."""

import asyncio
import dataclasses
import socket
import struct

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 3.0
# SO_LINGER value with which close() sends RST instead of FIN.
LINGER_ZERO = struct.pack('ii', 1, 0)


@dataclasses.dataclass(slots=True)
class ProxyFaults:
    """Faults injected into the connections of a proxy.

    Attributes
    ----------
    blackhole : bool
        Whether all data is dropped. Connections opened while this is set
        keep dropping data after the fault is cleared.
    drops_responses : bool
        Whether data from the target is dropped. A connection that loses
        data this way drops all further data in both directions.
    resets_new_connections : bool
        Whether new connections are reset.
    """

    delay_s: float = 0.0
    blackhole: bool = False
    drops_responses: bool = False
    resets_new_connections: bool = False


@dataclasses.dataclass(eq=False, slots=True)
class _Connection:
    caller: asyncio.StreamWriter
    target: asyncio.StreamWriter
    is_blackholed: bool = False


class FaultProxy:
    """Relays TCP connections from its own address to a target."""

    def __init__(self, ip: str) -> None:
        self.faults = ProxyFaults()
        self.address = ''
        self._ip = ip
        self._target = ('', 0)
        self._connections: set[_Connection] = set()

    async def start(self, target: str) -> str:
        """Start listening and return the address of the proxy."""
        ip, _, port = target.rpartition(':')
        self._target = (ip, int(port))
        listener = await asyncio.start_server(self._accept, self._ip, 0)
        self.address = '%s:%d' % listener.sockets[0].getsockname()[:2]
        return self.address

    def start_blackhole(self) -> None:
        """Drop all data; the open connections never recover."""
        self.faults.blackhole = True
        for connection in self._connections:
            connection.is_blackholed = True

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self._connections):
            _reset_connection(connection.caller)
            _reset_connection(connection.target)

    def clear_faults(self) -> None:
        """Clear all faults; blackholed connections do not recover."""
        self.faults = ProxyFaults()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.resets_new_connections:
            _reset_connection(writer)
            return
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                target_reader, target_writer = await asyncio.open_connection(
                    *self._target
                )
        except (OSError, TimeoutError):
            _reset_connection(writer)
            return
        connection = _Connection(writer, target_writer, self.faults.blackhole)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._relay(connection, reader, target_writer, False),
                self._relay(connection, target_reader, writer, True),
            )
        except (OSError, asyncio.CancelledError):
            # The event loop cancels open connections at the end of a run.
            _reset_connection(writer)
            _reset_connection(target_writer)
        finally:
            self._connections.discard(connection)
            for end in (writer, target_writer):
                end.close()

    async def _relay(
        self,
        connection: _Connection,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        while True:
            data = await source.read(CHUNK_BYTES)
            if self.faults.delay_s:
                await asyncio.sleep(self.faults.delay_s)
            if connection.is_blackholed or (
                is_response and self.faults.drops_responses
            ):
                connection.is_blackholed = True
                if not data:
                    # The end of the stream is not forwarded either.
                    return
                continue
            if not data:
                break
            sink.write(data)
            await sink.drain()
        if sink.can_write_eof():
            sink.write_eof()


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    endpoint = writer.get_extra_info('socket')
    if endpoint is not None and endpoint.fileno() >= 0:
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()
