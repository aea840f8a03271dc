"""Mutual authentication by HMAC over both sides' nonces.

The listener sends a challenge, the connecting side proves that it has the
key, and then the listener does the same. TLS, where it is configured,
protects the messages that follow.
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
CONNECTING = b'connecting'
LISTENING = b'listening'


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who a node is to its peers."""

    node: ids.NodeId
    incarnation: ids.Incarnation
    address: types.Address
    key: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """An authenticated peer."""

    node: ids.NodeId
    incarnation: ids.Incarnation
    address: types.Address


def answer(opened: connection.Connection, own: Identity) -> Peer | None:
    """Authenticate a connection that a peer has opened.

    Returns
    -------
    Peer or None
        None where the peer does not have the key.
    """
    challenge = secrets.token_bytes(NONCE_BYTES)
    _write(opened, own, messages.Hello(own.address, challenge))
    envelope, hello = _read(opened)
    if not _is_valid(own.key, CONNECTING, challenge, envelope, hello):
        return None
    nonce = secrets.token_bytes(NONCE_BYTES)
    mac = _mac(own, LISTENING, hello.nonce, nonce)
    _write(opened, own, messages.Hello(own.address, nonce, mac))
    opened.authenticated()
    return Peer(envelope.sender, envelope.incarnation, hello.address)


def open_as(opened: connection.Connection, own: Identity) -> Peer | None:
    """Authenticate a connection that this node has opened."""
    _, challenge = _read(opened)
    nonce = secrets.token_bytes(NONCE_BYTES)
    mac = _mac(own, CONNECTING, challenge.nonce, nonce)
    _write(opened, own, messages.Hello(own.address, nonce, mac))
    envelope, hello = _read(opened)
    if not _is_valid(own.key, LISTENING, nonce, envelope, hello):
        return None
    opened.authenticated()
    return Peer(envelope.sender, envelope.incarnation, hello.address)


def _write(
    opened: connection.Connection, own: Identity, hello: messages.Hello
) -> None:
    envelope = messages.Envelope(own.node, own.incarnation, hello)
    opened.write(codec.frame(codec.encode(envelope).unwrap()))


def _read(
    opened: connection.Connection,
) -> tuple[messages.Envelope, messages.Hello]:
    envelope = codec.decode(opened.read_frame()).value_or(None)
    if envelope is None or not isinstance(envelope.message, messages.Hello):
        raise connection.Malformed('no Hello')
    hello = envelope.message
    if (
        hello.protocol != messages.PROTOCOL
        or len(hello.nonce) != NONCE_BYTES
        or not 0 < hello.address.port < 65536
    ):
        raise connection.Malformed('Hello of another protocol')
    return envelope, hello


def _mac(
    own: Identity, role: bytes, peer_nonce: bytes, own_nonce: bytes
) -> bytes:
    return _digest(
        own.key,
        role,
        peer_nonce,
        own_nonce,
        own.node,
        own.incarnation,
        own.address,
    )


def _is_valid(
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
    # The role keeps a proof from being returned to its sender. Each part
    # has its length before it, so that no two inputs have the same bytes.
    parts = (
        role,
        challenge,
        nonce,
        node.encode(),
        str(incarnation).encode(),
        str(address).encode(),
    )
    return hmac.digest(key, b''.join(map(codec.frame, parts)), hashlib.sha256)
