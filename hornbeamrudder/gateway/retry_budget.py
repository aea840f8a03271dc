"""Budget for sending a request to a second backend server; pure.

All nodes share a budget over a sliding window. Each node uses a share of its
own first sends, and an equal part of the fixed allowance. Answers waves of
failures in which most requests would be sent again.
"""

import collections
import dataclasses
from typing import Deque

from ..core import ids

# Part of the budget that is used; the rest covers windows that nodes and
# users cut differently.
USED_SHARE = 0.8


@dataclasses.dataclass(slots=True)
class Window:
    """First sends and repeats of one service within the window."""

    first_attempts: Deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    retries: Deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


class RetryBudget:
    """The budget of one node."""

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._window_by_service: dict[ids.ServiceName, Window] = (
            collections.defaultdict(Window)
        )

    def set_budget(self, ratio: float, window_s: float, slack: float) -> None:
        """Change the budget; what was sent before counts on."""
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack

    def record_first_attempt(
        self, service: ids.ServiceName, now: float
    ) -> None:
        """Count the first send of a request."""
        self._window_by_service[service].first_attempts.append(now)

    def allows_retry(
        self, service: ids.ServiceName, nodes: int, now: float
    ) -> bool:
        """Whether one more repeat is within the budget."""
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
        """Count a repeat; call only where `may_repeat` holds."""
        self._window_by_service[service].retries.append(now)
