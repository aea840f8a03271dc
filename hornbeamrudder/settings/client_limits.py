"""Reference of the limits on clients of a node on the platform."""

import pydantic

from ..gateway import byte_limits
from ..gateway import caller_connection
from ..gateway import client_limits
from ..gateway import shared_limit


class ClientLimits(pydantic.BaseModel):
    """Limits that have no keys in a settings file.

    They follow from the host's `memoryMb` and `maxFds` and from the limits of
    the configuration. Clients inside these do not meet them in calm.

    Attributes
    ----------
    held_share : float
        Share of `memoryMb` that clients and backend servers together may make
        a node hold: connections, heads, bodies, unread responses and unread
        receive buffers of clients, incomplete answers of servers. Over it,
        the side that holds most gives first, down to half. Connections that
        hold most for longest without progress are closed, requests that were
        read whole are kept; of answers, the largest is ended.
    reserved_share : float
        Share of that which each side keeps, whatever the other one holds.
    pressed_share : float
        Share of the room for answers above which servers are read no further
        than clients have read.
    granted_share : float
        Share of the room for clients that bodies over `small_body_bytes` may
        take; further ones are not read until there is room.
    small_body_bytes : int
        Largest body that is read without waiting for room.
    grant_wait_s : float
        Time after which a body that finds no room is refused with 503.
    stall_s : float
        Time without progress after which a body with room is closed for one
        that waits.
    progress_bytes : int
        Bytes that count as progress.
    reserved_fds : int
        Descriptors of `maxFds` that are left to files.
    connection_fd_share : float
        Share of the other descriptors that connections at the front may take.
        Over it, clients that have not sent a request are closed first, then
        idle ones.
    other_fd_share : float
        The same at the readiness check and at the metrics, each.
    other_connections : int
        Most connections at the readiness check and at the metrics, each.
    field_bytes : int
        A head may have `maxHeaderBytes` divided by this many fields; above,
        431.
    pipelined_requests : int
        Requests of a connection that may be pending; more are not read until
        earlier ones are answered.
    receive_buffer_bytes, send_buffer_bytes : int
        Buffers in the kernel for each connection.
    piece_bytes : int
        Bytes that each field, chunk and packet of a request should have on
        average; the rest is a shortfall.
    shortfall_bytes : int
        Shortfall in one request above which its connection is read more
        slowly.
    small_pieces_per_second : float
        Pieces that all such connections together may send.
    """

    held_share: float = shared_limit.HELD_SHARE
    reserved_share: float = shared_limit.RESERVED_SHARE
    pressed_share: float = byte_limits.PRESSED_SHARE
    granted_share: float = client_limits.GRANT_SHARE
    small_body_bytes: int = client_limits.SMALL_BODY_BYTES
    grant_wait_s: float = client_limits.MAX_GRANT_WAIT_S
    stall_s: float = client_limits.MIN_STALL_S
    progress_bytes: int = client_limits.PROGRESS_BYTES
    reserved_fds: int = client_limits.RESERVED_FDS
    connection_fd_share: float = client_limits.CLIENT_FD_SHARE
    other_fd_share: float = client_limits.OTHER_FD_SHARE
    other_connections: int = client_limits.MAX_OTHER_CONNECTIONS
    field_bytes: int = client_limits.MIN_FIELD_BYTES
    pipelined_requests: int = caller_connection.MAX_PIPELINED
    receive_buffer_bytes: int = client_limits.RECEIVE_BUFFER_BYTES
    send_buffer_bytes: int = client_limits.SEND_BUFFER_BYTES
    piece_bytes: int = client_limits.PIECE_BYTES
    shortfall_bytes: int = client_limits.MAX_SHORTFALL_BYTES
    small_pieces_per_second: float = client_limits.SMALL_PIECES_PER_S
