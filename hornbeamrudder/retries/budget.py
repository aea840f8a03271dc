"""Retry budget: a token bucket filled in proportion to first attempts."""

import dataclasses

# Retries allowed per first attempt.
RETRY_RATIO = 0.1
# Allows a burst of retries after many hosts are lost at once: the deposits of
# the last 200 requests.
MAX_RETRY_BALANCE = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Balance of the retry budget.

    The bucket starts empty by default, so retries never exceed the fraction
    `ratio` of the requests.

    Attributes
    ----------
    ratio : float
        Retries deposited per first attempt.
    balance : float
        Available retries; at most `limit`.
    """

    ratio: float = RETRY_RATIO
    limit: float = MAX_RETRY_BALANCE
    balance: float = 0.0


def deposit(budget: Budget) -> Budget:
    """Add the deposit of one first attempt."""
    return dataclasses.replace(
        budget, balance=min(budget.limit, budget.balance + budget.ratio)
    )


def can_withdraw(budget: Budget) -> bool:
    """Return whether at least one retry is available."""
    # Tolerates rounding: ten additions of 0.1 give slightly less than 1.
    return budget.balance >= 1.0 - 1e-9


def withdraw(budget: Budget) -> Budget:
    """Take one retry; requires `can_withdraw`."""
    return dataclasses.replace(budget, balance=max(0.0, budget.balance - 1.0))
