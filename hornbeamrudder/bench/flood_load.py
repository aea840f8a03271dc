"""Request loads of the flood measurements."""

import dataclasses
import heapq
import random
from typing import Iterable, Iterator

from ..core import types

LOAD_DURATION_S = 20.0
# Engines that fail at once without notice: 43% of 9, rounded up.
WAVE_AT_S = 6.0
WAVE_ENGINES = 4
ENGINES = 9
SLOTS = 16
STEP_S = 0.1
STEP_PER_SEQUENCE_S = 0.0005
# Total rate of all engines with full batches.
CAPACITY_TOKENS_PER_S = (
    ENGINES * SLOTS / (STEP_S + STEP_PER_SEQUENCE_S * SLOTS)
)
# Range of the answer length as a factor of its mean. Answers of equal length
# that start together also end together, so a flood would occupy all slots for
# the whole duration of its first answers.
ANSWER_LENGTH_FACTORS = (0.25, 1.75)
DEADLINE_S_BY_RANK = {
    types.Rank.URGENT: 8.0,
    types.Rank.STANDARD: 14.0,
    types.Rank.BATCH: 20.0,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one account with random arrivals.

    Attributes
    ----------
    tokens : int
        Mean length of the answers; 0 for an order at the plain service.
    per_second : float
        Mean arrival rate.
    """

    account: str
    rank: types.Rank
    tokens: int
    per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A base load with a disturbance, and its reference without it.

    Attributes
    ----------
    flood : tuple of Stream
        Additional load; omitted in the reference run.
    wave : bool
        Whether engines are killed; false in the reference run.
    quiet_part : float
        Rule `quiet_part` of the configuration.
    """

    base: tuple[Stream, ...]
    flood: tuple[Stream, ...] = ()
    wave: bool = False
    quiet_part: float = 0.0

    def reference(self) -> 'Scenario':
        """Return the scenario without the disturbance."""
        return dataclasses.replace(self, flood=(), wave=False)

    @property
    def streams(self) -> tuple[Stream, ...]:
        """Streams of the base load and of the flood."""
        return self.base + self.flood


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Arrival:
    """One request; `at` is in seconds from the start of the load."""

    at: float
    number: int
    stream: Stream = dataclasses.field(compare=False)
    tokens: int = dataclasses.field(default=0, compare=False)


def tokens_per_second(streams: Iterable[Stream]) -> float:
    """Total tokens per second that the streams request."""
    return sum(item.tokens * item.per_second for item in streams)


def arrivals(streams: Iterable[Stream], seed: int) -> Iterator[Arrival]:
    """Generate Poisson arrivals; a stream's do not depend on other streams."""
    return heapq.merge(*(_stream_arrivals(item, seed) for item in streams))


def _stream_arrivals(stream: Stream, seed: int) -> Iterator[Arrival]:
    # The seed contains the repr of `stream`: renaming the class or its fields
    # changes the arrivals.
    rng = random.Random(f'{seed}/{stream}')
    at, number = rng.expovariate(stream.per_second), 0
    while at < LOAD_DURATION_S:
        low, high = ANSWER_LENGTH_FACTORS
        tokens = round(stream.tokens * rng.uniform(low, high))
        yield Arrival(at, number, stream, tokens)
        at, number = at + rng.expovariate(stream.per_second), number + 1


_FITTERS = Stream('fitters', types.Rank.URGENT, 12, 6.0)
_FRONT_DESK = Stream('front-desk', types.Rank.STANDARD, 24, 8.0)
_PLANNING = Stream('planning', types.Rank.BATCH, 96, 1.0)
_ORDERS = Stream('front-desk', types.Rank.STANDARD, 0, 4.0)
_BASE_LOAD = (_FITTERS, _FRONT_DESK, _PLANNING, _ORDERS)
_SMALL_CALLERS = (
    Stream('shop-a', types.Rank.STANDARD, 24, 2.0),
    Stream('shop-b', types.Rank.STANDARD, 24, 2.0),
)

SCENARIOS = {
    'batch-flood': Scenario(
        _BASE_LOAD,
        (
            Stream(
                'planning',
                types.Rank.BATCH,
                96,
                10 * CAPACITY_TOKENS_PER_S / 96,
            ),
        ),
    ),
    'urgent-flood': Scenario(
        _BASE_LOAD,
        (
            Stream(
                'fitters',
                types.Rank.URGENT,
                12,
                2 * CAPACITY_TOKENS_PER_S / 12,
            ),
        ),
    ),
    'large-caller': Scenario(
        _SMALL_CALLERS,
        (
            Stream(
                'chain',
                types.Rank.STANDARD,
                96,
                50 * tokens_per_second(_SMALL_CALLERS) / 96,
            ),
        ),
        quiet_part=0.25,
    ),
    'wave': Scenario(
        (
            dataclasses.replace(_FITTERS, per_second=10.0),
            _FRONT_DESK,
            dataclasses.replace(_PLANNING, per_second=3.0),
            _ORDERS,
        ),
        wave=True,
    ),
}
