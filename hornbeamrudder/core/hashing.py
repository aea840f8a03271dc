"""Process-independent hashes and rendezvous hashing."""

import hashlib
from typing import Iterable, Sequence

import xxhash


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash of `parts` that is equal in every process.

    The built-in `hash` is randomized per process for strings.
    """
    return xxhash.xxh3_64_intdigest('\x00'.join(parts).encode())


def digest(body: bytes) -> str:
    """Return the hexadecimal SHA-256 digest of `body`."""
    return hashlib.sha256(body).hexdigest()


def rendezvous_order(key: str, names: Iterable[str]) -> Sequence[str]:
    """Return `names` sorted by rendezvous hash for `key`, highest first."""
    return sorted(
        names, key=lambda name: (stable_hash(key, name), name), reverse=True
    )
