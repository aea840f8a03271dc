"""Aggregation of the reports of all nodes at a hub."""

import collections
from typing import Iterable, Mapping

from ..core import ids
from . import reports


class AdmittedUnits:
    """Units admitted by each node since this process started."""

    def __init__(self) -> None:
        self._total: collections.Counter[str] = collections.Counter()
        self._by_node: dict[ids.NodeId, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        self._changed_at: dict[str, float] = {}

    def count(
        self,
        node: ids.NodeId,
        increments: Mapping[str, float | None],
        now: float,
    ) -> None:
        """Add the units that a node has admitted since its last report.

        Parameters
        ----------
        increments : mapping
            Units by account; None if no earlier report is known.
        """
        by_account = self._by_node[node]
        for account, units in increments.items():
            self._total[account] += int(units or 0)
            by_account[account] += int(units or 0)
            self._changed_at[account] = now

    def changed_since(self, moment: float) -> set[str]:
        """Return accounts with units admitted at or after `moment`."""
        return {
            account for account, at in self._changed_at.items() if at >= moment
        }

    def admitted_by_others(self, node: ids.NodeId, account: str) -> int:
        """Return units of an account admitted by all nodes except `node`."""
        return self._total[account] - self._by_node[node][account]


class RemoteUnits:
    """Units admitted by all other nodes, merged from several hubs' totals.

    All hubs count the same units, each since its own start. The highest total
    is used, so that no units are lost when a hub fails or lags behind.
    """

    def __init__(self) -> None:
        self._total: collections.Counter[str] = collections.Counter()
        # Process start of each hub, and the offset by account that makes its
        # totals comparable with `_total`.
        self._offsets_by_hub: dict[ids.NodeId, tuple[int, dict[str, float]]]
        self._offsets_by_hub = {}

    def count(self, increments: Mapping[str, float | None]) -> None:
        """Add units that nodes have reported directly."""
        for account, units in increments.items():
            self._total[account] += int(units or 0)

    def reset_hub(self, hub: ids.NodeId) -> None:
        """Discard the offsets of a hub; its next digest sets them again.

        Used while this node aggregates the reports itself, because these
        contain, or will contain, the same units as the hub's digest.
        """
        self._offsets_by_hub.pop(hub, None)

    def apply_totals(
        self, hub: ids.NodeId, started: int, totals: Mapping[str, float]
    ) -> dict[str, float | None]:
        """Count a hub's totals; return the units not counted before.

        Returns
        -------
        dict
            Units by account; None in the first digest since the hub's start,
            because what the hub had counted before is unknown.
        """
        known_start, offsets = self._offsets_by_hub.get(hub, (None, {}))
        if known_start != started:
            # Accounts missing from the digest have a total of 0 at the hub.
            offsets = dict(self._total)
            offsets.update(
                (account, self._total[account] - total)
                for account, total in totals.items()
            )
            self._offsets_by_hub[hub] = (started, offsets)
            return dict.fromkeys(totals)
        increments: dict[str, float | None] = {}
        for account, total in totals.items():
            ahead = offsets.get(account, 0.0) + total - self._total[account]
            if ahead >= 1.0:
                increments[account] = ahead
                self._total[account] += int(ahead)
        return increments


def sum_loads(loads: Iterable[reports.Load]) -> dict[int, tuple[int, int]]:
    """Sum requests in progress and backlogs by server."""
    total: dict[int, tuple[int, int]] = {}
    for load in loads:
        for server, (running, backlog) in load.items():
            subtotal = total.get(server, (0, 0))
            total[server] = (subtotal[0] + running, subtotal[1] + backlog)
    return total


def subtract_load(
    total: reports.Load, load: reports.Load
) -> dict[int, tuple[int, int]]:
    """Subtract the load of one node from the sum; omits idle servers."""
    remaining = dict(total)
    for server, (running, backlog) in load.items():
        subtotal = remaining.get(server, (0, 0))
        remaining[server] = (
            max(0, subtotal[0] - running),
            max(0, subtotal[1] - backlog),
        )
    return {server: load for server, load in remaining.items() if load[0]}


def sum_counts(counts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    """Sum counts by name."""
    total: collections.Counter[str] = collections.Counter()
    for counts_of_node in counts:
        total.update(counts_of_node)
    return dict(total)
