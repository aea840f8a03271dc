"""Continuous batching and prefix cache of the model engine stand-in."""

import collections
import dataclasses
import heapq
import itertools
import queue
import threading
import time
from typing import Sequence

from ..core import hashing
from ..routing import prefix

IDLE_WAIT_S = 0.05
MAX_CACHE_EVENTS = 4096
WORDS = (
    'bell apron chime leather wire canvas strap bracket coil rivet'
    ' stitch relay button pocket plate buckle'
).split()


@dataclasses.dataclass(frozen=True, slots=True)
class BatchLimits:
    """Speed and cache size of the engine.

    Attributes
    ----------
    step_s : float
        Fixed part of the duration of a decoding step, in seconds.
    step_per_sequence_s : float
        Additional duration per sequence in the batch, in seconds.
    prefill_per_token_s : float
        Prefill time of one prompt token that is not cached, in seconds.
    cache_blocks : int
        Prefix cache size, in blocks of `routing.prefix`.
    """

    max_batch: int = 16
    step_s: float = 0.010
    step_per_sequence_s: float = 0.0005
    prefill_per_token_s: float = 0.0002
    cache_blocks: int = 2048


@dataclasses.dataclass(slots=True)
class EngineSequence:
    """One request in the engine.

    Attributes
    ----------
    next_offset : int
        Offset of the next token to generate; above 0 for a resumed stream.
    output : SimpleQueue
        Offsets of generated tokens, then None at the end or on cancellation.
    """

    request_id: str
    attempt: int
    prompt: str
    max_tokens: int
    next_offset: int
    priority: int
    output: queue.SimpleQueue[int | None]
    cached_tokens: int = 0
    recomputed_tokens: int = 0
    cancelled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of the prefix cache."""

    number: int
    kind: str
    block: int
    at: float


def token_text(prompt: str, offset: int) -> str:
    """Return token `offset` for `prompt`; the same on every engine."""
    return WORDS[hashing.stable_hash(prompt, str(offset)) % len(WORDS)] + ' '


class PrefixCache:
    """LRU cache of prefix blocks."""

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._event_numbers = itertools.count(1)
        self.events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_CACHE_EVENTS
        )

    def access(self, blocks: Sequence[int], now: float) -> int:
        """Access and store `blocks`; return the number of leading hits."""
        hits = len(
            list(itertools.takewhile(self._blocks.__contains__, blocks))
        )
        for block in blocks:
            if block not in self._blocks:
                self._record('stored', block, now)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            block, _ = self._blocks.popitem(last=False)
            self._record('evicted', block, now)
        return hits

    def _record(self, kind: str, block: int, now: float) -> None:
        self.events.append(
            CacheEvent(next(self._event_numbers), kind, block, now)
        )


class Batch:
    """Decodes sequences on one thread, admitting them by priority.

    Each step generates one token for every running sequence.
    """

    def __init__(self, limits: BatchLimits) -> None:
        self._limits = limits
        self._condition = threading.Condition()
        self._waiting: list[tuple[int, int, EngineSequence]] = []
        self._arrival_numbers = itertools.count()
        self._running: list[EngineSequence] = []
        self.cache = PrefixCache(limits.cache_blocks)
        self.imported_tokens_by_request: dict[str, int] = {}
        self.generated_tokens = 0
        self.recomputed_tokens = 0
        self.prefilled_tokens = 0
        self.cached_tokens = 0
        threading.Thread(target=self._run, daemon=True).start()

    def submit(self, sequence: EngineSequence) -> None:
        """Queue a sequence."""
        with self._condition:
            heapq.heappush(
                self._waiting,
                (sequence.priority, next(self._arrival_numbers), sequence),
            )
            self._condition.notify()

    def cancel(self, request_id: str, attempt: int | None = None) -> int:
        """Cancel the sequences of a request; return their number."""
        with self._condition:
            found = [
                sequence
                for sequence in self._all_sequences()
                if sequence.request_id == request_id
                and attempt in (None, sequence.attempt)
            ]
            for sequence in found:
                sequence.cancelled = True
            return len(found)

    def find_sequence(self, request_id: str) -> EngineSequence | None:
        """Return the running or waiting sequence of a request."""
        with self._condition:
            return next(
                (
                    sequence
                    for sequence in self._all_sequences()
                    if sequence.request_id == request_id
                ),
                None,
            )

    def queue_sizes(self) -> tuple[int, int, int]:
        """Return the running and waiting sequences and the pending tokens."""
        with self._condition:
            outstanding = sum(
                sequence.max_tokens - sequence.next_offset
                for sequence in self._all_sequences()
            )
            return len(self._running), len(self._waiting), outstanding

    def _all_sequences(self) -> list[EngineSequence]:
        return [*self._running, *(item[2] for item in self._waiting)]

    def _run(self) -> None:
        next_step_at = time.monotonic()
        while True:
            with self._condition:
                if not self._running and not self._waiting:
                    self._condition.wait(IDLE_WAIT_S)
                    next_step_at = time.monotonic()
                    continue
                prefill_s = self._admit()
                step_s = (
                    self._limits.step_s
                    + self._limits.step_per_sequence_s * len(self._running)
                )
            next_step_at += prefill_s + step_s
            time.sleep(max(0.0, next_step_at - time.monotonic()))
            with self._condition:
                self._decode_step()

    def _admit(self) -> float:
        prefill_s = 0.0
        while self._waiting and len(self._running) < self._limits.max_batch:
            _, _, sequence = heapq.heappop(self._waiting)
            if sequence.cancelled:
                sequence.output.put(None)
                continue
            prefill_s += self._prefill(sequence)
            if sequence.next_offset >= sequence.max_tokens:
                sequence.output.put(None)
                continue
            self._running.append(sequence)
        return prefill_s

    def _prefill(self, sequence: EngineSequence) -> float:
        blocks = prefix.block_hashes(sequence.prompt)
        prompt_tokens = len(sequence.prompt.split())
        hits = self.cache.access(blocks, time.monotonic())
        imported = self.imported_tokens_by_request.pop(sequence.request_id, 0)
        cached_text = sequence.prompt[: hits * prefix.BLOCK_CHARACTERS]
        sequence.cached_tokens = len(cached_text.split())
        computed = prompt_tokens - sequence.cached_tokens
        if imported:
            computed = 0
        sequence.recomputed_tokens = max(0, sequence.next_offset - imported)
        if sequence.next_offset:
            sequence.recomputed_tokens += computed
        else:
            self.prefilled_tokens += computed
        self.cached_tokens += sequence.cached_tokens
        self.recomputed_tokens += sequence.recomputed_tokens
        prefill_tokens = computed + max(0, sequence.next_offset - imported)
        return prefill_tokens * self._limits.prefill_per_token_s

    def _decode_step(self) -> None:
        for sequence in self._running:
            if sequence.cancelled:
                sequence.output.put(None)
                continue
            sequence.output.put(sequence.next_offset)
            sequence.next_offset += 1
            self.generated_tokens += 1
            if sequence.next_offset >= sequence.max_tokens:
                sequence.output.put(None)
        self._running = [
            sequence
            for sequence in self._running
            if not sequence.cancelled
            and sequence.next_offset < sequence.max_tokens
        ]
