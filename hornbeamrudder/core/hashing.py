"""Stable hashes and rendezvous order."""

import hashlib
from typing import Iterable, Sequence

import xxhash


def stable_hash(*parts: str) -> int:
    """Hash strings to 64 bits, the same in every process."""
    return xxhash.xxh3_64_intdigest('\x00'.join(parts).encode())


def digest(body: bytes) -> str:
    """Hexadecimal SHA-256 digest of `body`."""
    return hashlib.sha256(body).hexdigest()


def rendezvous_order(key: str, names: Iterable[str]) -> Sequence[str]:
    """Order `names` by rendezvous hash for `key`, highest first."""
    return sorted(
        names, key=lambda name: (stable_hash(key, name), name), reverse=True
    )
