"""Retry budget: a token bucket filled by a share of the first attempts."""

import dataclasses

RETRY_SHARE = 0.1
# Allows a burst after a wave: the retries of the last 200 requests.
MAX_SAVED_RETRIES = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Retries that may still be made.

    The bucket starts empty, so retries never exceed `share` of the requests.

    Attributes
    ----------
    share : float
        Retries earned by one request.
    saved : float
        Retries available now; at most `limit`.
    """

    share: float = RETRY_SHARE
    limit: float = MAX_SAVED_RETRIES
    saved: float = 0.0


def earn(budget: Budget) -> Budget:
    """Count one first attempt."""
    return dataclasses.replace(
        budget, saved=min(budget.limit, budget.saved + budget.share)
    )


def can_spend(budget: Budget) -> bool:
    """Whether one retry is left."""
    # Ten additions of 0.1 give slightly less than 1.
    return budget.saved >= 1.0 - 1e-9


def spend(budget: Budget) -> Budget:
    """Use one retry; call only where `can_spend` holds."""
    return dataclasses.replace(budget, saved=max(0.0, budget.saved - 1.0))
