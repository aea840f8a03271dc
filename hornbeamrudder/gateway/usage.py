"""Counts of requests that began to run, by window of true time and account.

Each node writes its counts as one row a window; the holder of the duty sums
them. Answers nodes that are killed in the middle of a window: what they had
written before still counts.
"""

import collections
import dataclasses
from typing import Any, Iterable, Mapping

from ..core import ids

TABLE = 'usage'
REPORT_TABLE = 'usage_reports'
# Wait after the end of a window for the rows of all nodes that are heard.
SETTLE_S = 1.6
# Part of the time for a report after which missing rows are no longer
# waited for.
WAIT_SHARE = 0.6
# Windows back from the present one that a new holder looks at.
LOOK_BACK = 6


def row_key(window: int, node: str, started: int) -> str:
    """Key of one node's counts; keys of one window are neighbours."""
    return f'{window:012d}/{node}/{started}'


def window_range(window: int) -> tuple[str, str]:
    """First key of a window, and the first one after it."""
    return f'{window:012d}/', f'{window:012d}0'


def report_key(window: int) -> str:
    """Key of the report of a window."""
    return f'{window:012d}'


class Counter:
    """Counts of this node."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._counts: dict[int, collections.Counter[ids.AccountId]] = (
            collections.defaultdict(collections.Counter)
        )
        self._changed: set[int] = set()
        self._complete: set[int] = set()

    def window_at(self, true_time: float) -> int:
        """Number of the window that contains a time."""
        return int(true_time // self._window_s)

    def count(self, account: ids.AccountId, true_time: float) -> None:
        """Count a request that began to run."""
        window = self.window_at(true_time)
        self._counts[window][account] += 1
        self._changed.add(window)

    def changed(self, present: int) -> dict[int, dict[str, object]]:
        """Rows that are not written yet, by window.

        A window that has ended gets a last row, even without new counts, so
        that the sum does not take an early row for a complete one.
        """
        ended = {
            window
            for window in self._counts
            if window < present and window not in self._complete
        }
        return {
            window: _row(self._counts[window], window < present)
            for window in sorted(self._changed | ended)
        }

    def written(self, rows: Mapping[int, Mapping[str, object]]) -> None:
        """Note which rows the store has accepted."""
        for window, row in rows.items():
            complete = bool(row['complete'])
            if _row(self._counts[window], complete) == row:
                self._changed.discard(window)
                if complete:
                    self._complete.add(window)

    def forget_before(self, window: int) -> None:
        """Drop windows that were reported long ago."""
        for old in [item for item in self._counts if item < window]:
            del self._counts[old]
            self._changed.discard(old)
            self._complete.discard(old)


def _row(
    counts: Mapping[ids.AccountId, int], complete: bool
) -> dict[str, object]:
    return {'counts': dict(counts), 'complete': complete}


@dataclasses.dataclass(frozen=True, slots=True)
class Sum:
    """Counts of all nodes for one window.

    Attributes
    ----------
    nodes : frozenset of str
        Nodes that have written a row after the end of the window.
    """

    requests_by_account: Mapping[str, int]
    nodes: frozenset[str]


def add_up(rows: Iterable[tuple[str, Any]]) -> Sum:
    """Sum the rows of one window, as (key, counts)."""
    total: collections.Counter[str] = collections.Counter()
    nodes = set()
    for key, row in rows:
        if not isinstance(row, dict) or not isinstance(
            row.get('counts'), dict
        ):
            # Another writer's row; the window then counts as incomplete.
            continue
        if row.get('complete'):
            nodes.add(key.split('/')[1])
        total.update(
            {str(name): int(count) for name, count in row['counts'].items()}
        )
    return Sum(dict(total), frozenset(nodes))


def is_due(
    window: int,
    window_s: float,
    late_s: float,
    true_time: float,
    complete: bool,
) -> bool:
    """Whether a window is to be reported now.

    Parameters
    ----------
    complete : bool
        Whether the rows of all nodes that are heard are there.
    """
    age = true_time - (window + 1) * window_s
    return age >= (SETTLE_S if complete else late_s * WAIT_SHARE)
