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

    first: Deque[float] = dataclasses.field(default_factory=collections.deque)
    repeats: Deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


class RepeatBudget:
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

    def count_first(self, service: ids.ServiceName, now: float) -> None:
        """Count the first send of a request."""
        self._window_by_service[service].first.append(now)

    def may_repeat(
        self, service: ids.ServiceName, nodes: int, now: float
    ) -> bool:
        """Whether one more repeat is within the budget."""
        window = self._window_by_service[service]
        for times in (window.first, window.repeats):
            while times and times[0] < now - self._window_s:
                times.popleft()
        most = USED_SHARE * (
            self._ratio * len(window.first) + self._slack / max(1, nodes)
        )
        return len(window.repeats) + 1 <= most

    def count_repeat(self, service: ids.ServiceName, now: float) -> None:
        """Count a repeat; call only where `may_repeat` holds."""
        self._window_by_service[service].repeats.append(now)
