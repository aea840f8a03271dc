"""Clocks of the request path."""

import time


def now() -> float:
    """Seconds on a clock that also counts time in which the host slept.

    Leases and the right to serve keys end while a host is suspended, so the
    steady clock, which stops then, must not be used for them.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Seconds since 1970 by this host's clock, which may jump."""
    return time.time()
