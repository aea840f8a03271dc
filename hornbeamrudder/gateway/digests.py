"""What a hub adds up of the reports of all nodes, for each of them."""

import collections
from typing import Iterable, Mapping

from ..core import ids
from . import reports


class AdmittedUnits:
    """Units that each node has admitted since this node's start."""

    def __init__(self) -> None:
        self._total: collections.Counter[str] = collections.Counter()
        self._by_node: dict[ids.NodeId, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        self._changed_at: dict[str, float] = {}

    def count(
        self, node: ids.NodeId, news: Mapping[str, float | None], now: float
    ) -> None:
        """Take in what one node has admitted since its last report.

        Parameters
        ----------
        news : mapping
            Units by account; None where the last report is not known.
        """
        known = self._by_node[node]
        for account, units in news.items():
            self._total[account] += int(units or 0)
            known[account] += int(units or 0)
            self._changed_at[account] = now

    def changed_since(self, moment: float) -> set[str]:
        """Accounts of which units were admitted since then."""
        return {
            account for account, at in self._changed_at.items() if at >= moment
        }

    def of_others(self, node: ids.NodeId, account: str) -> int:
        """Units of an account that all nodes but one have admitted."""
        return self._total[account] - self._by_node[node][account]


def add_load(loads: Iterable[reports.Load]) -> dict[int, tuple[int, int]]:
    """Add up requests in progress and backlogs by server."""
    total: dict[int, tuple[int, int]] = {}
    for load in loads:
        for server, (running, backlog) in load.items():
            before = total.get(server, (0, 0))
            total[server] = (before[0] + running, before[1] + backlog)
    return total


def without(
    total: reports.Load, load: reports.Load
) -> dict[int, tuple[int, int]]:
    """Take one node's part out of the sum; servers left idle are dropped."""
    rest = dict(total)
    for server, (running, backlog) in load.items():
        before = rest.get(server, (0, 0))
        rest[server] = (
            max(0, before[0] - running),
            max(0, before[1] - backlog),
        )
    return {server: load for server, load in rest.items() if load[0]}


def add_counts(counts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    """Add up counts by name."""
    total: collections.Counter[str] = collections.Counter()
    for one in counts:
        total.update(one)
    return dict(total)
