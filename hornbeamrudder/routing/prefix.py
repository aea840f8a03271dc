"""Prompt prefixes: block hashes, cache events of engines, ring of workers."""

import bisect
import dataclasses
import itertools
from typing import Iterable, Iterator, Mapping, Sequence

from ..core import hashing
from ..core import ids

BLOCK_CHARACTERS = 256
MAX_BLOCKS = 64
# The ring key covers the blocks that the requests of one desk share (the
# house rules), not the question that follows.
KEY_BLOCKS = 4
POINTS_PER_WORKER = 64
# Bounds the memory of the view; the oldest blocks are forgotten first.
MAX_BLOCKS_PER_WORKER = 4096


def block_hashes(prompt: str) -> tuple[int, ...]:
    """Hash the whole blocks of a prompt; each hash covers all before it."""
    hashes: list[int] = []
    previous = ''
    for start in range(0, len(prompt), BLOCK_CHARACTERS):
        block = prompt[start : start + BLOCK_CHARACTERS]
        if len(block) < BLOCK_CHARACTERS or len(hashes) == MAX_BLOCKS:
            break
        hashes.append(hashing.stable_hash(previous, block))
        previous = str(hashes[-1])
    return tuple(hashes)


def ring_key(blocks: Sequence[int]) -> str:
    """Key of a prompt on the ring; empty where no block is whole."""
    return str(blocks[:KEY_BLOCKS][-1]) if blocks else ''


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of an engine's prefix cache."""

    sequence: int
    block: int
    stored: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CacheView:
    """Blocks that one worker is believed to hold.

    Attributes
    ----------
    blocks : mapping
        Block hash to the sequence number of the event that stored it.
    """

    last_sequence: int = 0
    blocks: Mapping[int, int] = dataclasses.field(default_factory=dict)


def apply_events(view: CacheView, events: Iterable[CacheEvent]) -> CacheView:
    """Apply events that may be late, repeated or missing.

    After a gap, blocks stored before it may have been evicted unseen, so
    only blocks stored after the gap are kept.
    """
    blocks = dict(view.blocks)
    last_sequence = view.last_sequence
    for event in sorted(events, key=lambda item: item.sequence):
        if event.sequence <= last_sequence:
            continue
        if event.sequence > last_sequence + 1:
            blocks.clear()
        last_sequence = event.sequence
        if event.stored:
            blocks.pop(event.block, None)
            blocks[event.block] = event.sequence
        else:
            blocks.pop(event.block, None)
    excess = max(0, len(blocks) - MAX_BLOCKS_PER_WORKER)
    return CacheView(
        last_sequence, dict(itertools.islice(blocks.items(), excess, None))
    )


def cached_blocks(view: CacheView, blocks: Sequence[int]) -> int:
    """Count the leading blocks of a prompt that the worker holds."""
    return sum(
        1
        for _ in itertools.takewhile(
            lambda block: block in view.blocks, blocks
        )
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Ring:
    """Consistent-hash ring; points and owners have equal length."""

    points: tuple[int, ...] = ()
    owners: tuple[ids.WorkerId, ...] = ()
    workers: frozenset[ids.WorkerId] = frozenset()


def build_ring(workers: Iterable[ids.WorkerId]) -> Ring:
    """Place each worker on the ring at several points."""
    workers = frozenset(workers)
    placed = sorted(
        (hashing.stable_hash('ring', worker, str(number)), worker)
        for worker in workers
        for number in range(POINTS_PER_WORKER)
    )
    return Ring(
        tuple(point for point, _ in placed),
        tuple(worker for _, worker in placed),
        workers,
    )


def updated_ring(ring: Ring, workers: Iterable[ids.WorkerId]) -> Ring:
    """Return a ring of these workers, the same one where they are the same.

    Most configuration changes leave the workers as they are, and a new ring
    takes longer than all else that a change causes on a node.
    """
    workers = frozenset(workers)
    return ring if workers == ring.workers else build_ring(workers)


def ring_order(ring: Ring, key: str) -> Iterator[ids.WorkerId]:
    """Iterate over the workers in ring order from `key`, each once."""
    start = bisect.bisect(ring.points, hashing.stable_hash('key', key))
    seen: set[ids.WorkerId] = set()
    for index in range(len(ring.owners)):
        owner = ring.owners[(start + index) % len(ring.owners)]
        if owner not in seen:
            seen.add(owner)
            yield owner
