"""Estimates of the tokens and duration of requests, from completed ones."""

import dataclasses
from typing import Mapping

from ..core import ids
from ..core import types

# Weight of one observation in an exponential average; the average covers
# about the last 20 observations.
SMOOTHING_FACTOR = 0.1
# Estimate, as a fraction of the stated limit, before the first completed
# request of an account and rank.
INITIAL_FRACTION_OF_LIMIT = 0.5
DEFAULT_TOKENS_PER_SLOT_S = 25.0
# A request is admitted if, after its estimated wait, the time to its deadline
# covers the mean duration plus this many mean absolute deviations.
ADMISSION_MARGIN_DEVIATIONS = 3.0
# Observed duration ratios are clamped to this range.
MIN_DURATION_RATIO = 0.25
MAX_DURATION_RATIO = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Average:
    """Mean of the first observations, exponential average afterwards."""

    value: float
    count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TokenEstimates:
    """Average tokens used per account and rank, for one service."""

    average_by_account_rank: Mapping[
        tuple[ids.AccountId, types.Rank], Average
    ] = dataclasses.field(default_factory=dict)


def expected_tokens(
    estimates: TokenEstimates,
    account: ids.AccountId,
    rank: types.Rank,
    max_tokens: float,
) -> float:
    """Estimate the tokens of a request, between 1 and `max_tokens`."""
    average = estimates.average_by_account_rank.get((account, rank))
    expected = (
        max_tokens * INITIAL_FRACTION_OF_LIMIT
        if average is None
        else average.value
    )
    return max(1.0, min(float(max_tokens), expected))


def observe(
    estimates: TokenEstimates,
    account: ids.AccountId,
    rank: types.Rank,
    used_tokens: float,
) -> TokenEstimates:
    """Update the estimates with a completed request."""
    key = (account, rank)
    average = estimates.average_by_account_rank.get(key, Average(0.0))
    gain = max(SMOOTHING_FACTOR, 1 / (average.count + 1))
    updated = Average(
        average.value + gain * (used_tokens - average.value), average.count + 1
    )
    return TokenEstimates({**estimates.average_by_account_rank, key: updated})


@dataclasses.dataclass(frozen=True, slots=True)
class DurationRatio:
    """Observed request duration relative to the predicted duration.

    The prediction is the expected tokens divided by the throughput of a slot.

    Attributes
    ----------
    mean, deviation : float
        Exponential averages of the ratio and of its absolute deviation.
    """

    mean: float = 1.0
    deviation: float = 0.25


def observe_duration_ratio(
    previous: DurationRatio, ratio: float
) -> DurationRatio:
    """Update the averages with the ratio of a completed request.

    The ratio is clamped: an early token estimate may be far off, and an
    extreme ratio would cause later requests to be rejected.
    """
    ratio = min(max(ratio, MIN_DURATION_RATIO), MAX_DURATION_RATIO)
    return DurationRatio(
        updated_average(previous.mean, ratio),
        updated_average(previous.deviation, abs(ratio - previous.mean)),
    )


def updated_average(average: float, observation: float) -> float:
    """Update an exponential average with one observation."""
    return average + SMOOTHING_FACTOR * (observation - average)
