"""Passive health checks of backend servers, based on request outcomes.

Liveness endpoints are not polled, because they may report false results in
either direction. Outcomes also detect failing, flapping, slow and unresponsive
backend servers.
"""

import dataclasses
import enum

# Initial back-off after a backend server was unreachable; doubles each time.
INITIAL_BACKOFF_S = 0.4
MAX_BACKOFF_S = 6.0
# A backend server is avoided while the moving average of its failure share is
# above this; services fail a smaller share of requests in normal operation.
AVOIDED_FAILURE_SHARE = 0.4
# Weight of the latest outcome in the exponential moving average.
OUTCOME_WEIGHT = 0.12


class Outcome(enum.Enum):
    """Outcome of one request with regard to the health of the server."""

    SUCCESS = 'success'
    # Connection refused, timed out or closed by the server.
    UNREACHABLE = 'unreachable'
    # Error response, or no response in time.
    ERROR = 'error'


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """Health of one backend server.

    Attributes
    ----------
    unreachable : int
        Consecutive failures to reach the server.
    failure_share : float
        Exponential moving average of the share of failed requests.
    avoided_until : float
        Time until which other backend servers are preferred.
    """

    unreachable: int = 0
    failure_share: float = 0.0
    avoided_until: float = 0.0


def updated(health: Health, outcome: Outcome, now: float) -> Health:
    """Return the health after an outcome."""
    failed = outcome is not Outcome.SUCCESS
    share = health.failure_share + OUTCOME_WEIGHT * (
        float(failed) - health.failure_share
    )
    match outcome:
        case Outcome.SUCCESS:
            return Health(0, share, 0.0)
        case Outcome.UNREACHABLE:
            unreachable = health.unreachable + 1
            pause_s = min(
                MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (unreachable - 1)
            )
            return Health(unreachable, share, now + pause_s)
        case Outcome.ERROR:
            until = health.avoided_until
            if share > AVOIDED_FAILURE_SHARE:
                until = max(until, now + INITIAL_BACKOFF_S * 2)
            return Health(health.unreachable, share, until)


def broken_outcome(endless: bool) -> Outcome:
    """Return the outcome of a request whose connection broke.

    Parameters
    ----------
    endless : bool
        Whether it was cut off because the response had no end.
    """
    return Outcome.ERROR if endless else Outcome.UNREACHABLE


def is_avoided(health: Health, now: float) -> bool:
    """Return whether other backend servers are preferred now."""
    return now < health.avoided_until
