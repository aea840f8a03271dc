"""Usage counts: requests that began to run, by time window and account.

Windows are aligned to the cluster time. Each node writes one row of counts per
window, and the holder of the duty sums the rows. Counts written before a node
is killed in the middle of a window are included.
"""

import collections
import dataclasses
from typing import Any, Iterable, Mapping

from ..core import ids

TABLE = 'usage'
REPORT_TABLE = 'usage_reports'
# Minimum delay after the end of a window, in which nodes write their rows.
MIN_REPORT_DELAY_S = 1.6
# Share of the time allowed for a report after which it no longer waits for
# missing rows.
MAX_WAIT_SHARE = 0.6
# Number of past windows that a new holder checks.
LOOKBACK_WINDOWS = 6


def row_key(window: int, node: str, started: int) -> str:
    """Return the key of one node's row; keys are ordered by window."""
    return f'{window:012d}/{node}/{started}'


def window_range(window: int) -> tuple[str, str]:
    """Return the first key of a window and the first key after it."""
    return f'{window:012d}/', f'{window:012d}0'


def report_key(window: int) -> str:
    """Return the key of the report of a window."""
    return f'{window:012d}'


class Counter:
    """Usage counts of this node."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._counts: dict[int, collections.Counter[ids.AccountId]] = (
            collections.defaultdict(collections.Counter)
        )
        self._changed: set[int] = set()
        self._complete: set[int] = set()

    def window_at(self, cluster_time: float) -> int:
        """Return the number of the window that contains a time."""
        return int(cluster_time // self._window_s)

    def count(self, account: ids.AccountId, cluster_time: float) -> None:
        """Count a request that began to run."""
        window = self.window_at(cluster_time)
        self._counts[window][account] += 1
        self._changed.add(window)

    def changed(self, current: int) -> dict[int, dict[str, object]]:
        """Return the rows to write, by window.

        A window that has ended gets a final row even without new counts, so
        that an early row is not mistaken for a complete one.
        """
        ended = {
            window
            for window in self._counts
            if window < current and window not in self._complete
        }
        return {
            window: _row(self._counts[window], window < current)
            for window in sorted(self._changed | ended)
        }

    def mark_written(self, rows: Mapping[int, Mapping[str, object]]) -> None:
        """Record the rows that the store has accepted."""
        for window, row in rows.items():
            complete = bool(row['complete'])
            if _row(self._counts[window], complete) == row:
                self._changed.discard(window)
                if complete:
                    self._complete.add(window)

    def discard_before(self, window: int) -> None:
        """Discard windows before `window`."""
        for expired in [item for item in self._counts if item < window]:
            del self._counts[expired]
            self._changed.discard(expired)
            self._complete.discard(expired)


def _row(
    counts: Mapping[ids.AccountId, int], complete: bool
) -> dict[str, object]:
    return {'counts': dict(counts), 'complete': complete}


@dataclasses.dataclass(frozen=True, slots=True)
class WindowTotals:
    """Counts of all nodes in one window.

    Attributes
    ----------
    nodes : frozenset of str
        Nodes that have written their final row.
    """

    requests_by_account: Mapping[str, int]
    nodes: frozenset[str]


def sum_rows(rows: Iterable[tuple[str, Any]]) -> WindowTotals:
    """Sum the rows of one window, given as pairs of key and value."""
    total: collections.Counter[str] = collections.Counter()
    nodes = set()
    for key, row in rows:
        if not isinstance(row, dict) or not isinstance(
            row.get('counts'), dict
        ):
            # Row of an unknown writer; its node then counts as incomplete.
            continue
        if row.get('complete'):
            nodes.add(key.split('/')[1])
        total.update(
            {str(name): int(count) for name, count in row['counts'].items()}
        )
    return WindowTotals(dict(total), frozenset(nodes))


def is_due(
    window: int,
    window_s: float,
    late_s: float,
    cluster_time: float,
    complete: bool,
) -> bool:
    """Return whether a window is to be reported now.

    Parameters
    ----------
    complete : bool
        Whether the final rows of all live nodes are present.
    """
    age = cluster_time - (window + 1) * window_s
    return age >= (MIN_REPORT_DELAY_S if complete else late_s * MAX_WAIT_SHARE)
