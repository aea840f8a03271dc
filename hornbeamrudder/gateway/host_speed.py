"""Estimate of how slow the host of a backend server is; no I/O.

Backend servers share their hosts with other work and state in their responses
how long work takes at that moment. One such figure says little about the next
second, so they are averaged; if no further ones arrive, the estimate returns
to the lasting speed of the host.
"""

import dataclasses
import math

# Time constant of the average over frequent figures, and the weight of one
# figure after a long pause.
AVERAGING_S = 0.5
MAX_WEIGHT = 0.2
# Time constant with which an estimate returns to the lasting speed.
FORGETTING_S = 4.0
# Figures outside this range are clamped: an estimate extends time-outs.
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class HostSpeed:
    """Estimate for one host.

    Attributes
    ----------
    slowness : float
        Duration of work relative to the usual one, at `at`.
    at : float
        Time of the last figure on `clock.now`, in seconds.
    """

    slowness: float = 1.0
    at: float = float('-inf')


def updated(
    speed: HostSpeed, stated: float, now: float, lasting: float = 1.0
) -> HostSpeed:
    """Return the estimate after a response that states a slowness.

    Parameters
    ----------
    lasting : float
        Lasting slowness of the host, as far as known.
    """
    weight = min(MAX_WEIGHT, 1.0 - math.exp((speed.at - now) / AVERAGING_S))
    known = slowness(speed, now, lasting)
    clamped = min(max(stated, MIN_SLOWNESS), MAX_SLOWNESS)
    return HostSpeed(known + weight * (clamped - known), now)


def slowness(speed: HostSpeed, now: float, lasting: float = 1.0) -> float:
    """Return the expected duration of work relative to the usual one."""
    return lasting + (speed.slowness - lasting) * math.exp(
        (speed.at - now) / FORGETTING_S
    )
