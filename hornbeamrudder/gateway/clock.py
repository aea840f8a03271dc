"""Clocks of the request path."""

import time


def now() -> float:
    """Return seconds on a monotonic clock that includes suspended time.

    Leases and cached API keys keep expiring while a host is suspended.
    CLOCK_MONOTONIC stops during suspension, so it must not be used for them.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Return the Unix time of this host, which may jump."""
    return time.time()
