"""Prompt prefixes: block hashes, engine cache events, consistent-hash ring."""

import bisect
import dataclasses
import itertools
from typing import Iterable, Iterator, Mapping, Sequence

from ..core import hashing
from ..core import ids

BLOCK_CHARACTERS = 256
MAX_PROMPT_BLOCKS = 64
# Blocks covered by the ring key: the instructions shared by the requests of
# one application, not the question that follows them.
RING_KEY_BLOCKS = 4
POINTS_PER_WORKER = 64
# Bounds the memory of a cache view; the oldest blocks are removed first.
MAX_BLOCKS_PER_WORKER = 4096


def block_hashes(prompt: str) -> tuple[int, ...]:
    """Hash the full blocks of a prompt, each with all blocks before it."""
    hashes: list[int] = []
    previous = ''
    for start in range(0, len(prompt), BLOCK_CHARACTERS):
        block = prompt[start : start + BLOCK_CHARACTERS]
        if len(block) < BLOCK_CHARACTERS or len(hashes) == MAX_PROMPT_BLOCKS:
            break
        hashes.append(hashing.stable_hash(previous, block))
        previous = str(hashes[-1])
    return tuple(hashes)


def ring_key(blocks: Sequence[int]) -> str:
    """Return the ring key of a prompt; empty if it has no full block."""
    return str(blocks[:RING_KEY_BLOCKS][-1]) if blocks else ''


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of an engine's prefix cache."""

    sequence: int
    block: int
    stored: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CacheView:
    """Blocks in the prefix cache of one worker, according to its events.

    Attributes
    ----------
    blocks : mapping
        Block hash to the sequence number of the event that stored it.
    """

    last_sequence: int = 0
    blocks: Mapping[int, int] = dataclasses.field(default_factory=dict)


def apply_events(view: CacheView, events: Iterable[CacheEvent]) -> CacheView:
    """Apply cache events that may be late, duplicated or lost.

    A lost event may have been the eviction of any block stored before, so
    blocks stored before a gap in the sequence are discarded.
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
    """Count the leading blocks of a prompt in the cache of a worker."""
    return sum(
        1
        for _ in itertools.takewhile(
            lambda block: block in view.blocks, blocks
        )
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Ring:
    """Consistent-hash ring; `owners[i]` is the worker at `points[i]`."""

    points: tuple[int, ...] = ()
    owners: tuple[ids.WorkerId, ...] = ()
    workers: frozenset[ids.WorkerId] = frozenset()


def build_ring(workers: Iterable[ids.WorkerId]) -> Ring:
    """Build a ring with `POINTS_PER_WORKER` points for each worker."""
    workers = frozenset(workers)
    owned_points = sorted(
        (hashing.stable_hash('ring', worker, str(number)), worker)
        for worker in workers
        for number in range(POINTS_PER_WORKER)
    )
    return Ring(
        tuple(point for point, _ in owned_points),
        tuple(worker for _, worker in owned_points),
        workers,
    )


def updated_ring(ring: Ring, workers: Iterable[ids.WorkerId]) -> Ring:
    """Return a ring of the workers, reusing `ring` if they are unchanged.

    Most configuration changes do not change the workers, and building a ring
    takes longer than everything else a change causes on a node.
    """
    workers = frozenset(workers)
    return ring if workers == ring.workers else build_ring(workers)


def ring_order(ring: Ring, key: str) -> Iterator[ids.WorkerId]:
    """Iterate over all workers in ring order starting at `key`."""
    start = bisect.bisect(ring.points, hashing.stable_hash('key', key))
    seen: set[ids.WorkerId] = set()
    for index in range(len(ring.owners)):
        owner = ring.owners[(start + index) % len(ring.owners)]
        if owner not in seen:
            seen.add(owner)
            yield owner
