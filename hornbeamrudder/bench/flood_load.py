"""Loads of the flood measurements: who asks for what, how often."""

import dataclasses
import heapq
import random
from typing import Iterable, Iterator

from ..core import types

LOAD_S = 20.0
# Unannounced loss of the wave: 43% of 9 engines, rounded up.
WAVE_AT_S = 6.0
WAVE_ENGINES = 4
ENGINES = 9
SLOTS = 16
STEP_S = 0.1
STEP_PER_SEQUENCE_S = 0.0005
# Tokens per second of all engines with full batches.
CAPACITY = ENGINES * SLOTS / (STEP_S + STEP_PER_SEQUENCE_S * SLOTS)
# Answers of one length that begin together also end together, and a flood
# would hold all slots for the whole of their first length.
LENGTH_RANGE = (0.25, 1.75)
DEADLINE_S_BY_RANK = {
    types.Rank.URGENT: 8.0,
    types.Rank.STANDARD: 14.0,
    types.Rank.BATCH: 20.0,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one account, arriving at random.

    Attributes
    ----------
    tokens : int
        Mean length of the answers; 0 for an order at the plain service.
    per_second : float
        Mean arrivals.
    """

    account: str
    rank: types.Rank
    tokens: int
    per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A load with its disturbance, and the same load without it.

    Attributes
    ----------
    flood : tuple of Stream
        Left out of the reference run.
    wave : bool
        Whether engines are killed; they are not in the reference run.
    """

    base: tuple[Stream, ...]
    flood: tuple[Stream, ...] = ()
    wave: bool = False
    quiet_part: float = 0.0

    def reference(self) -> 'Scenario':
        """Return the load without the disturbance."""
        return dataclasses.replace(self, flood=(), wave=False)

    @property
    def streams(self) -> tuple[Stream, ...]:
        """All streams."""
        return self.base + self.flood


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Arrival:
    """One request at a time in seconds from the start."""

    at: float
    number: int
    stream: Stream = dataclasses.field(compare=False)
    tokens: int = dataclasses.field(default=0, compare=False)


def tokens_per_second(streams: Iterable[Stream]) -> float:
    """Tokens that some streams ask for in a second."""
    return sum(item.tokens * item.per_second for item in streams)


def arrivals(streams: Iterable[Stream], seed: int) -> Iterator[Arrival]:
    """Poisson arrivals; a stream's are the same with and without others."""
    return heapq.merge(*(_stream_arrivals(item, seed) for item in streams))


def _stream_arrivals(stream: Stream, seed: int) -> Iterator[Arrival]:
    rng = random.Random(f'{seed}/{stream}')
    at, number = rng.expovariate(stream.per_second), 0
    while at < LOAD_S:
        low, high = LENGTH_RANGE
        tokens = round(stream.tokens * rng.uniform(low, high))
        yield Arrival(at, number, stream, tokens)
        at, number = at + rng.expovariate(stream.per_second), number + 1


_FITTERS = Stream('fitters', types.Rank.URGENT, 12, 6.0)
_DESK = Stream('front-desk', types.Rank.STANDARD, 24, 8.0)
_PLANNING = Stream('planning', types.Rank.BATCH, 96, 1.0)
_ORDERS = Stream('front-desk', types.Rank.STANDARD, 0, 4.0)
_BASE = (_FITTERS, _DESK, _PLANNING, _ORDERS)
_SMALL = (
    Stream('shop-a', types.Rank.STANDARD, 24, 2.0),
    Stream('shop-b', types.Rank.STANDARD, 24, 2.0),
)

SCENARIOS = {
    'batch-flood': Scenario(
        _BASE,
        (Stream('planning', types.Rank.BATCH, 96, 10 * CAPACITY / 96),),
    ),
    'urgent-flood': Scenario(
        _BASE, (Stream('fitters', types.Rank.URGENT, 12, 2 * CAPACITY / 12),)
    ),
    'large-caller': Scenario(
        _SMALL,
        (
            Stream(
                'chain',
                types.Rank.STANDARD,
                96,
                50 * tokens_per_second(_SMALL) / 96,
            ),
        ),
        quiet_part=0.25,
    ),
    'wave': Scenario(
        (
            dataclasses.replace(_FITTERS, per_second=10.0),
            _DESK,
            dataclasses.replace(_PLANNING, per_second=3.0),
            _ORDERS,
        ),
        wave=True,
    ),
}
