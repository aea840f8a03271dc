"""Expected tokens of requests and token rate of a slot, from observation."""

import dataclasses
from typing import Mapping

from ..core import ids
from ..core import types

# One observation moves an average by this part; about 20 count.
GAIN = 0.1
# Used until the first answer of an account and rank has been seen.
UNSEEN_PART_OF_LIMIT = 0.5
DEFAULT_TOKENS_PER_SLOT_S = 25.0


@dataclasses.dataclass(frozen=True, slots=True)
class Expectations:
    """Average tokens used by account and rank."""

    tokens_by_caller: Mapping[tuple[ids.AccountId, types.Rank], float] = (
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
    if seen is None:
        seen = max_tokens * UNSEEN_PART_OF_LIMIT
    return max(1.0, min(float(max_tokens), seen))


def observe(
    expectations: Expectations,
    account: ids.AccountId,
    rank: types.Rank,
    used_tokens: float,
) -> Expectations:
    """Include one finished request."""
    seen = expectations.tokens_by_caller.get((account, rank), used_tokens)
    return Expectations(
        {
            **expectations.tokens_by_caller,
            (account, rank): moved_average(seen, used_tokens),
        }
    )


def moved_average(average: float, observation: float) -> float:
    """Move an exponential average towards one observation."""
    return average + GAIN * (observation - average)
