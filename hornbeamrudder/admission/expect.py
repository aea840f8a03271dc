"""Expected tokens and duration of requests, from observation."""

import dataclasses
from typing import Mapping

from ..core import ids
from ..core import types

# One observation moves an average by this part; about 20 count.
GAIN = 0.1
# Used until the first answer of an account and rank has been seen.
UNSEEN_PART_OF_LIMIT = 0.5
DEFAULT_TOKENS_PER_SLOT_S = 25.0
# Mean absolute deviations above the mean duration that a request must have
# left before its deadline after the wait that is estimated at admission.
ADMISSION_DEVIATIONS = 3.0
LOWEST_RATIO = 0.25
HIGHEST_RATIO = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Average:
    """Mean of the first observations, then an exponential average."""

    value: float
    count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Expectations:
    """Average tokens used by account and rank, for one service."""

    tokens_by_caller: Mapping[tuple[ids.AccountId, types.Rank], Average] = (
        dataclasses.field(default_factory=dict)
    )


def expected_tokens(
    expectations: Expectations,
    account: ids.AccountId,
    rank: types.Rank,
    max_tokens: float,
) -> float:
    """Expected tokens of a request, at least 1 and at most `max_tokens`."""
    seen = expectations.tokens_by_caller.get((account, rank))
    expected = (
        max_tokens * UNSEEN_PART_OF_LIMIT if seen is None else seen.value
    )
    return max(1.0, min(float(max_tokens), expected))


def observe(
    expectations: Expectations,
    account: ids.AccountId,
    rank: types.Rank,
    used_tokens: float,
) -> Expectations:
    """Include one finished request."""
    caller = (account, rank)
    seen = expectations.tokens_by_caller.get(caller, Average(0.0))
    gain = max(GAIN, 1 / (seen.count + 1))
    updated = Average(
        seen.value + gain * (used_tokens - seen.value), seen.count + 1
    )
    return Expectations({**expectations.tokens_by_caller, caller: updated})


@dataclasses.dataclass(frozen=True, slots=True)
class Stretch:
    """Duration of requests relative to expected tokens by token rate.

    Attributes
    ----------
    mean, deviation : float
        Averages of the ratio and of its absolute deviation.
    """

    mean: float = 1.0
    deviation: float = 0.25


def observe_stretch(stretch: Stretch, ratio: float) -> Stretch:
    """Include the ratio of one finished request.

    The ratio is limited, because a first estimate of the tokens may be far
    off and would keep later requests out.
    """
    ratio = min(max(ratio, LOWEST_RATIO), HIGHEST_RATIO)
    return Stretch(
        moved_average(stretch.mean, ratio),
        moved_average(stretch.deviation, abs(ratio - stretch.mean)),
    )


def moved_average(average: float, observation: float) -> float:
    """Move an exponential average towards one observation."""
    return average + GAIN * (observation - average)
