"""Whether the store answers this node, as all of its callers have seen it.

While the store fails, one call at a time probes it, with growing pauses, so
that an outage adds one call of each node to the store and not one of each
task. Nodes that others keep up to date pause for longer.
"""

import asyncio
import random
from typing import Callable

from . import clock

# Back-off after a failed call; jitter prevents synchronised retries.
INITIAL_BACKOFF_S = 0.1
BACKOFF_FACTOR = 1.6
MAX_BACKOFF_S = 0.8
# The same for a node that learns from others that the store is back.
INITIAL_RELAYED_BACKOFF_S = 0.6
MAX_RELAYED_BACKOFF_S = 4.0
# Time after an outage during which the store counts as unstable.
UNSTABLE_AFTER_OUTAGE_S = 3.0
# A probe without a result does not hold up the next one for longer.
MAX_PROBE_S = 3.0


class StoreHealth:
    """Outage of the store as seen by one node.

    Attributes
    ----------
    failing_since : float or None
        Time of the first failed call of the present outage on `clock.now`.
    recovered_at : float
        Time of the end of the last outage of any node.
    answered_again_at : float
        Time of the call that was the first to be answered after the last
        outage of this node.
    is_relayed : callable
        Whether other nodes tell this one when the store is back.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.failing_since: float | None = None
        self.recovered_at = float('-inf')
        self.answered_again_at = float('-inf')
        self.is_relayed: Callable[[], bool] = lambda: False
        self._rng = rng or random.Random()
        self._backoff_s = INITIAL_BACKOFF_S
        self._next_probe_at = float('-inf')
        self._recovered = asyncio.Event()

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self.failing_since is not None

    def is_unstable(self) -> bool:
        """Return whether the store is unavailable, or was so recently."""
        return (
            self.is_failing
            or clock.now() - self.recovered_at < UNSTABLE_AFTER_OUTAGE_S
        )

    def seconds_since_recovery(self) -> float:
        """Return seconds since the end of the last outage; 0 during one."""
        if self.is_failing:
            return 0.0
        return min(
            clock.now() - self.recovered_at, UNSTABLE_AFTER_OUTAGE_S * 10
        )

    def try_turn(self) -> bool:
        """Return whether a call may be made now.

        During an outage this reserves the next probe for the caller.
        """
        if not self.is_failing:
            return True
        now = clock.now()
        if now < self._next_probe_at:
            return False
        self._next_probe_at = now + MAX_PROBE_S
        return True

    async def wait(self, limit_s: float) -> None:
        """Wait for the end of the outage or the time of the next probe.

        Parameters
        ----------
        limit_s : float
            Longest wait, in seconds.
        """
        self._recovered.clear()
        wait_s = min(limit_s, max(0.0, self._next_probe_at - clock.now()))
        try:
            async with asyncio.timeout(wait_s):
                await self._recovered.wait()
        except TimeoutError:
            return

    def record_failure(self, sent_at: float) -> bool:
        """Record a failed call; return whether an outage begins.

        Parameters
        ----------
        sent_at : float
            Time at which the call was made. Calls made before the outage
            was known do not extend the back-off.
        """
        is_relayed = self.is_relayed()
        begins = self.failing_since is None
        if begins:
            self.failing_since = clock.now()
            self._backoff_s = (
                INITIAL_RELAYED_BACKOFF_S if is_relayed else INITIAL_BACKOFF_S
            )
        elif sent_at < (self.failing_since or 0.0):
            return False
        else:
            limit_s = MAX_RELAYED_BACKOFF_S if is_relayed else MAX_BACKOFF_S
            self._backoff_s = min(limit_s, self._backoff_s * BACKOFF_FACTOR)
        self._next_probe_at = clock.now() + self._backoff_s * (
            self._rng.uniform(0.6, 1.4)
        )
        return begins

    def record_success(self, sent_at: float) -> float | None:
        """Record an answer; return the duration of the outage it ends.

        Parameters
        ----------
        sent_at : float
            Time at which the call was made.
        """
        if self.failing_since is None:
            return None
        outage_s = clock.now() - self.failing_since
        self.failing_since = None
        self.recovered_at = clock.now()
        self.answered_again_at = sent_at
        self._recovered.set()
        return outage_s

    def record_recovery_elsewhere(self, recovered_s: float) -> None:
        """Record that the store has recovered for another node.

        Parameters
        ----------
        recovered_s : float
            Seconds since then.
        """
        self.recovered_at = max(self.recovered_at, clock.now() - recovered_s)
