"""Body of a message, kept once in blocks of equal size."""

from typing import Sequence

# Blocks of one size are reused by the allocator, and none has to be copied to
# grow a large body.
BLOCK_BYTES = 64 * 1024


class RequestBody:
    """Bytes of a body, in order."""

    __slots__ = ('_blocks', '_size')

    def __init__(self) -> None:
        self._blocks: list[bytearray] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def blocks(self) -> Sequence[bytearray]:
        """The blocks; not to be changed."""
        return self._blocks

    def append(self, data: bytes) -> None:
        """Add bytes at the end."""
        if not self._blocks or (
            len(self._blocks[-1]) + len(data) > BLOCK_BYTES
        ):
            self._blocks.append(bytearray())
        self._blocks[-1] += data
        self._size += len(data)

    def joined(self) -> bytes:
        """Return a copy in one piece, for small bodies."""
        return b''.join(self._blocks)
