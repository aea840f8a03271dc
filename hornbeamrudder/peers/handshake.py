"""Mutual challenge-response authentication by HMAC over both sides' nonces.

The listening side sends a challenge, the connecting side proves that it has
the shared key, and then the listening side does. The handshake itself does not
protect later messages; TLS does, if configured.
"""

import dataclasses
import hashlib
import hmac
import secrets

from . import codec
from . import connection
from ..core import ids
from ..core import types
from . import messages

NONCE_BYTES = 32
CONNECTOR_ROLE = b'connecting'
LISTENER_ROLE = b'listening'


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity and shared key with which a node authenticates itself."""

    node: ids.NodeId
    incarnation: ids.Incarnation
    address: types.Address
    key: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Identity of an authenticated peer."""

    node: ids.NodeId
    incarnation: ids.Incarnation
    address: types.Address


def authenticate_incoming(
    conn: connection.Connection, identity: Identity
) -> Peer | None:
    """Authenticate the peer of an accepted connection.

    Returns
    -------
    Peer or None
        None if the peer does not have the shared key.
    """
    challenge = secrets.token_bytes(NONCE_BYTES)
    _write(conn, identity, messages.Hello(identity.address, challenge))
    envelope, hello = _read(conn)
    if not _has_valid_mac(
        identity.key, CONNECTOR_ROLE, challenge, envelope, hello
    ):
        return None
    nonce = secrets.token_bytes(NONCE_BYTES)
    mac = _mac(identity, LISTENER_ROLE, hello.nonce, nonce)
    _write(conn, identity, messages.Hello(identity.address, nonce, mac))
    conn.mark_authenticated()
    return Peer(envelope.sender, envelope.incarnation, hello.address)


def authenticate_outgoing(
    conn: connection.Connection, identity: Identity
) -> Peer | None:
    """Authenticate the peer of a connection that this node has opened."""
    _, challenge = _read(conn)
    nonce = secrets.token_bytes(NONCE_BYTES)
    mac = _mac(identity, CONNECTOR_ROLE, challenge.nonce, nonce)
    _write(conn, identity, messages.Hello(identity.address, nonce, mac))
    envelope, hello = _read(conn)
    if not _has_valid_mac(identity.key, LISTENER_ROLE, nonce, envelope, hello):
        return None
    conn.mark_authenticated()
    return Peer(envelope.sender, envelope.incarnation, hello.address)


def _write(
    conn: connection.Connection, identity: Identity, hello: messages.Hello
) -> None:
    envelope = messages.Envelope(identity.node, identity.incarnation, hello)
    conn.write(codec.frame(codec.encode(envelope).unwrap()))


def _read(
    conn: connection.Connection,
) -> tuple[messages.Envelope, messages.Hello]:
    envelope = codec.decode(conn.read_frame()).value_or(None)
    if envelope is None or not isinstance(envelope.message, messages.Hello):
        raise connection.ProtocolError('expected a Hello message')
    hello = envelope.message
    if (
        hello.protocol != messages.PROTOCOL_VERSION
        or len(hello.nonce) != NONCE_BYTES
        or not 0 < hello.address.port < 65536
    ):
        raise connection.ProtocolError(
            'invalid Hello or unsupported protocol version'
        )
    return envelope, hello


def _mac(
    identity: Identity, role: bytes, peer_nonce: bytes, own_nonce: bytes
) -> bytes:
    return _digest(
        identity.key,
        role,
        peer_nonce,
        own_nonce,
        identity.node,
        identity.incarnation,
        identity.address,
    )


def _has_valid_mac(
    key: bytes,
    role: bytes,
    challenge: bytes,
    envelope: messages.Envelope,
    hello: messages.Hello,
) -> bool:
    expected = _digest(
        key,
        role,
        challenge,
        hello.nonce,
        envelope.sender,
        envelope.incarnation,
        hello.address,
    )
    return hmac.compare_digest(expected, hello.mac)


def _digest(
    key: bytes,
    role: bytes,
    challenge: bytes,
    nonce: bytes,
    node: ids.NodeId,
    incarnation: ids.Incarnation,
    address: types.Address,
) -> bytes:
    # The role prevents reflection of a MAC to its sender. The length prefixes
    # ensure that different inputs never give the same bytes.
    parts = (
        role,
        challenge,
        nonce,
        node.encode(),
        str(incarnation).encode(),
        str(address).encode(),
    )
    return hmac.digest(key, b''.join(map(codec.frame, parts)), hashlib.sha256)
