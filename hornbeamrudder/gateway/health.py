"""Health of backend servers, judged by the outcomes of requests.

Answers to liveness checks may be false either way, so they aren't asked.
Answers the load of failing, flapping, slow and silent backend servers.
"""

import dataclasses
import enum

# First pause after a failure that says the backend server is unreachable.
FIRST_PAUSE_S = 0.4
MAX_PAUSE_S = 6.0
# Share of failed requests, as a moving average, from which on a backend
# server is avoided; services fail a smaller share in normal operation.
AVOIDED_FAILURE_SHARE = 0.4
# Weight of the newest outcome in the moving average.
OUTCOME_WEIGHT = 0.12


class Outcome(enum.Enum):
    """How one request ended, as far as it tells about the server."""

    SUCCESS = 'success'
    # The server could not be reached, or ended the connection.
    UNREACHABLE = 'unreachable'
    # It answered with an error, or not in time.
    ERROR = 'error'


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """What the outcomes say of one backend server.

    Attributes
    ----------
    unreachable : int
        Failures to reach it since the last success.
    failure_share : float
        Moving average of the share of failed requests.
    avoided_until : float
        Time until which other backend servers are preferred.
    """

    unreachable: int = 0
    failure_share: float = 0.0
    avoided_until: float = 0.0


def updated(health: Health, outcome: Outcome, now: float) -> Health:
    """Return the health after one more outcome."""
    failed = outcome is not Outcome.SUCCESS
    share = health.failure_share + OUTCOME_WEIGHT * (
        float(failed) - health.failure_share
    )
    match outcome:
        case Outcome.SUCCESS:
            return Health(0, share, 0.0)
        case Outcome.UNREACHABLE:
            unreachable = health.unreachable + 1
            pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** (unreachable - 1))
            return Health(unreachable, share, now + pause_s)
        case Outcome.ERROR:
            until = health.avoided_until
            if share > AVOIDED_FAILURE_SHARE:
                until = max(until, now + FIRST_PAUSE_S * 2)
            return Health(health.unreachable, share, until)


def is_avoided(health: Health, now: float) -> bool:
    """Whether other backend servers are to be preferred now."""
    return now < health.avoided_until
