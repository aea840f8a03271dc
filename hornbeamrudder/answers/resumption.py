"""Decides whether and when another attempt is made for an answer."""

import dataclasses

# Attempts of one answer that a worker may have run.
MAX_ATTEMPTS = 8
# Wait before another attempt, if the last one ran or none found a worker.
RETRY_DELAY_S = 0.05
# Limit of the wait after refusals in a row, which doubles with each of them.
MAX_REFUSED_DELAY_S = 1.0
# Time after the deadline for which an answer that the caller has partly read
# is still resumed: a late answer is better than a truncated one.
RESUME_GRACE_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refusals:
    """Attempts that were proved not run after the answer had begun.

    Attributes
    ----------
    total : int
        Number of these attempts; they do not count towards `MAX_ATTEMPTS`.
    in_row : int
        Number of them since the last attempt that may have run.
    """

    total: int = 0
    in_row: int = 0


def after_failure(
    refusals: Refusals, proved_not_run: bool, begun: bool
) -> Refusals:
    """Return the refusals after another attempt has failed.

    Parameters
    ----------
    begun : bool
        Whether the answer has events.
    """
    if proved_not_run and begun:
        return Refusals(refusals.total + 1, refusals.in_row + 1)
    return Refusals(refusals.total)


def latest_start(deadline: float, begun: bool) -> float:
    """Return the time after which no attempt is started, in seconds."""
    return deadline + RESUME_GRACE_S if begun else deadline


def may_attempt(attempts: int, refusals: Refusals, left_s: float) -> bool:
    """Return whether the limits allow another attempt.

    Parameters
    ----------
    attempts : int
        Number of attempts so far, refused ones included.
    left_s : float
        Time until the latest start, in seconds.
    """
    return attempts - refusals.total < MAX_ATTEMPTS and left_s >= 0


def delay_s(refusals: Refusals, left_s: float) -> float:
    """Return the wait before the next attempt, in seconds."""
    wait_s = min(RETRY_DELAY_S * 2.0**refusals.in_row, MAX_REFUSED_DELAY_S)
    return max(0.0, min(wait_s, left_s))
