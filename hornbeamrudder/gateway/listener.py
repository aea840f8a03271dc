"""Orderly close of a listening socket."""

import asyncio
import contextlib

from . import http_server


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
