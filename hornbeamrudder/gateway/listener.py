"""Opens and closes listening sockets."""

import asyncio
import contextlib
import socket

from . import client_limits
from ..core import types
from . import http_server

# Connections that the kernel completes before they are accepted.
BACKLOG = 512
# Connections that are accepted before those that are open have their turn, so
# that the limit on their number is kept.
ACCEPT_BATCH = 8


class _ListeningSocket(socket.socket):
    """Socket whose queue is longer than what the loop accepts at once.

    The loop takes both from one parameter.
    """

    def listen(self, backlog: int = BACKLOG) -> None:
        """Listen with the longer queue."""
        super().listen(BACKLOG)


async def open_listener(
    address: types.Address, server: http_server.CallerServer
) -> asyncio.Server:
    """Listen for connections of clients.

    Raises
    ------
    OSError
        The address cannot be used.
    """
    listening = _ListeningSocket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit the sizes of the buffers.
        for option, size in (
            (socket.SO_RCVBUF, client_limits.RECEIVE_BUFFER_BYTES),
            (socket.SO_SNDBUF, client_limits.SEND_BUFFER_BYTES),
        ):
            with contextlib.suppress(OSError):
                listening.setsockopt(socket.SOL_SOCKET, option, size)
        listening.bind((address.ip, address.port))
    except OSError:
        listening.close()
        raise
    return await asyncio.get_running_loop().create_server(
        server.make_connection, sock=listening, backlog=ACCEPT_BATCH
    )


async def close_listener(
    listener: asyncio.Server, server: http_server.CallerServer
) -> None:
    """Close a listener, and accept the connections in its queue.

    The copies keep the queue when the loop closes its own sockets; nothing
    else runs between the last accept and the close.
    """
    copies = [listening.dup() for listening in listener.sockets]
    listener.close()
    accepted = []
    for copy in copies:
        with copy, contextlib.suppress(OSError):
            while True:
                accepted.append(copy.accept()[0])
    for client in accepted:
        client.setblocking(False)
        await asyncio.get_running_loop().connect_accepted_socket(
            server.make_connection, client
        )
