"""Retry budget: limits retries at further backend servers; no I/O.

Prevents retry storms when most requests fail. The budget holds over a sliding
window and for all nodes together: each node may retry a share of its own first
attempts, plus an equal part of the fixed allowance.
"""

import collections
import dataclasses
from typing import Deque

from ..core import ids

# Share of the budget that is used; the rest is a margin for windows that the
# users measure with other boundaries than the nodes.
USED_SHARE = 0.8


@dataclasses.dataclass(slots=True)
class Window:
    """Times of first attempts and retries of one service in the window."""

    first_attempts: Deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    retries: Deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


class RetryBudget:
    """One node's part of the retry budget."""

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._window_by_service: dict[ids.ServiceName, Window] = (
            collections.defaultdict(Window)
        )

    def set_budget(self, ratio: float, window_s: float, slack: float) -> None:
        """Change the budget; attempts already recorded still count."""
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack

    def record_first_attempt(
        self, service: ids.ServiceName, now: float
    ) -> None:
        """Record the first attempt of a request."""
        self._window_by_service[service].first_attempts.append(now)

    def allows_retry(
        self, service: ids.ServiceName, nodes: int, now: float
    ) -> bool:
        """Whether one more retry is within the budget."""
        window = self._window_by_service[service]
        for times in (window.first_attempts, window.retries):
            while times and times[0] < now - self._window_s:
                times.popleft()
        allowed = USED_SHARE * (
            self._ratio * len(window.first_attempts)
            + self._slack / max(1, nodes)
        )
        return len(window.retries) + 1 <= allowed

    def record_retry(self, service: ids.ServiceName, now: float) -> None:
        """Record a retry; call only if `allows_retry` returned true."""
        self._window_by_service[service].retries.append(now)
