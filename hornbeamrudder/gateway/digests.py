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


class OtherUnits:
    """Units that all other nodes have admitted, by what several hubs tell.

    All hubs count the same units, each from its own start. Whichever is ahead
    is believed, so that a hub that has ended or lags loses nothing.
    """

    def __init__(self) -> None:
        self._total: collections.Counter[str] = collections.Counter()
        # What to add to a hub's totals to compare them with the total here.
        self._offsets_by_hub: dict[ids.NodeId, tuple[int, dict[str, float]]]
        self._offsets_by_hub = {}

    def count(self, news: Mapping[str, float | None]) -> None:
        """Take in what nodes have reported themselves."""
        for account, units in news.items():
            self._total[account] += int(units or 0)

    def forget_hub(self, hub: ids.NodeId) -> None:
        """Compare a hub's next digest anew.

        For a node that adds up the reports itself: what the hub tells is, or
        will be, in those too.
        """
        self._offsets_by_hub.pop(hub, None)

    def news(
        self, hub: ids.NodeId, started: int, totals: Mapping[str, float]
    ) -> dict[str, float | None]:
        """Return what a hub's digest adds to what is known.

        Returns
        -------
        dict
            Units by account; None in the first digest since the hub's start,
            as what it counted before is not known.
        """
        known_start, offsets = self._offsets_by_hub.get(hub, (None, {}))
        if known_start != started:
            # Accounts that it does not name yet start from zero there.
            offsets = dict(self._total)
            offsets.update(
                (account, self._total[account] - total)
                for account, total in totals.items()
            )
            self._offsets_by_hub[hub] = (started, offsets)
            return dict.fromkeys(totals)
        news: dict[str, float | None] = {}
        for account, total in totals.items():
            ahead = offsets.get(account, 0.0) + total - self._total[account]
            if ahead >= 1.0:
                news[account] = ahead
                self._total[account] += int(ahead)
        return news


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
