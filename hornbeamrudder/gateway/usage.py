"""Usage counts: requests that began to run, by time window and account.

Windows are aligned to the cluster time. In a full mesh each node writes one
row of counts per window. With hubs, nodes send their counts to all hubs until
one has stored them, and the first hub writes them in few rows; a node that no
hub answers writes its own. The holder of the duty sums the rows, and counts
what stands in several of them once. Counts that were written or sent before a
node is killed in the middle of a window are included.
"""

import collections
import dataclasses
from typing import Any, Iterable, Mapping, NamedTuple, Sequence

from ..core import ids

TABLE = 'usage'
REPORT_TABLE = 'usage_reports'
# Minimum delay after the end of a window, in which nodes write their rows.
MIN_REPORT_DELAY_S = 1.6
# Share of the time allowed for a report after which it no longer waits for
# missing rows.
MAX_WAIT_SHARE = 0.6
# Time after the end of a window, by the cluster time, at which the first hub
# writes it, and at which a node writes its own counts if no hub has them.
GATHER_DELAY_S = 0.9
OWN_WRITE_DELAY_S = 3.2
# Sources in one row of gathered counts, as rows are limited in size.
MAX_ROW_SOURCES = 150
# Windows of which gathered counts are kept.
KEPT_WINDOWS = 5
# Number of past windows that a new holder checks.
LOOKBACK_WINDOWS = 6


def row_key(window: int, node: str, started: int) -> str:
    """Return the key of one node's row; keys are ordered by window."""
    return f'{window:012d}/{node}/{started}'


def gathered_key(
    window: int, hub: str, started: int, number: int, part: int
) -> str:
    """Return the key of a row of gathered counts.

    Parameters
    ----------
    number, part : int
        Number of the write by this hub, and of the row in it.
    """
    return f'{row_key(window, hub, started)}/{number}/{part}'


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

    def mark_stored(self, totals: Iterable[tuple[int, int]]) -> None:
        """Record final counts that a hub has stored.

        Parameters
        ----------
        totals : iterable of (window, requests)
            Windows and the number of requests stored for each.
        """
        for window, total in totals:
            if window in self._counts and total == sum(
                self._counts[window].values()
            ):
                self._changed.discard(window)
                self._complete.add(window)
                self.discard_before(window - LOOKBACK_WINDOWS)

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


class Source(NamedTuple):
    """A node process that counts requests."""

    node: str
    started: int

    @property
    def key(self) -> str:
        """Name of the source in rows."""
        return f'{self.node}/{self.started}'


@dataclasses.dataclass(slots=True)
class _Gathered:
    """Counts of one source in one window."""

    row: Mapping[str, Any]
    stored: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class GatheredRow:
    """A row to write, and what it contains."""

    window: int
    value: Mapping[str, object]
    counts_by_source: Mapping[Source, Mapping[str, Any]]


class Gatherer:
    """Counts that nodes have sent to a hub, until the hub has stored them."""

    def __init__(self) -> None:
        self._by_window: dict[int, dict[Source, _Gathered]] = (
            collections.defaultdict(dict)
        )

    def add(
        self,
        source: Source,
        rows_by_window: Mapping[int, Mapping[str, Any]],
        present: int,
    ) -> None:
        """Add the rows of a source, as its `Counter` gives them.

        Parameters
        ----------
        present : int
            Number of the present window. The clock of a node that hears no
            others may have jumped, so windows far from it are left out.
        """
        for window in [
            item for item in self._by_window if item < present - KEPT_WINDOWS
        ]:
            del self._by_window[window]
        for window, row in rows_by_window.items():
            if not present - KEPT_WINDOWS <= window <= present + 1:
                continue
            known = self._by_window[window].get(source)
            if known is not None and (
                known.row == row
                or _total(known.row) > _total(row)
                or (known.row['complete'] and not row['complete'])
            ):
                continue
            self._by_window[window][source] = _Gathered(row)

    def unsaved(self, ended_before: float) -> list[GatheredRow]:
        """Return the rows to write.

        Parameters
        ----------
        ended_before : float
            Number of the first window that is left out.
        """
        unsaved_by_window = {
            window: [
                (source, gathered.row)
                for source, gathered in by_source.items()
                if not gathered.stored
            ]
            for window, by_source in sorted(self._by_window.items())
            if window < ended_before
        }
        return [
            _gathered_row(window, unsaved[start : start + MAX_ROW_SOURCES])
            for window, unsaved in unsaved_by_window.items()
            for start in range(0, len(unsaved), MAX_ROW_SOURCES)
        ]

    def mark_stored(self, rows: Iterable[GatheredRow]) -> None:
        """Record rows that the store has accepted."""
        for row in rows:
            by_source = self._by_window.get(row.window, {})
            for source, counts in row.counts_by_source.items():
                gathered = by_source.get(source)
                if gathered is not None and gathered.row == counts:
                    gathered.stored = True

    def stored(self, source: Source) -> tuple[tuple[int, int], ...]:
        """Return the windows whose final counts of a source are stored.

        Returns
        -------
        tuple of (window, requests)
        """
        return tuple(
            (window, _total(by_source[source].row))
            for window, by_source in self._by_window.items()
            if source in by_source
            and by_source[source].stored
            and by_source[source].row['complete']
        )


def _total(row: Mapping[str, Any]) -> int:
    return sum(row['counts'].values())


def _gathered_row(
    window: int, part: Sequence[tuple[Source, Mapping[str, Any]]]
) -> GatheredRow:
    """Return a row with the counts of several sources.

    The accounts are named once, as most sources have most of them.
    """
    accounts = sorted(
        {account for _, row in part for account in row['counts']}
    )
    return GatheredRow(
        window,
        {
            'accounts': accounts,
            'complete': [
                source.key for source, row in part if row['complete']
            ],
            'sources': {
                source.key: [
                    int(row['counts'].get(account, 0)) for account in accounts
                ]
                for source, row in part
            },
        },
        dict(part),
    )


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
    """Sum the rows of one window, given as pairs of key and value.

    Counts of a source only grow, so the highest one is the latest if it
    stands in several rows.
    """
    counts_by_source: dict[str, collections.Counter[str]] = (
        collections.defaultdict(collections.Counter)
    )
    nodes = set()
    for key, row in rows:
        try:
            counts, complete = _decode_row(key, row)
        except (TypeError, ValueError, OverflowError):
            # Of another writer; the node of its key counts as incomplete.
            continue
        for source, by_account in counts.items():
            counts_by_source[source] |= by_account
        nodes |= {source.split('/')[0] for source in complete}
    total = sum(counts_by_source.values(), collections.Counter[str]())
    return WindowTotals(dict(total), frozenset(nodes))


def _decode_row(
    key: str, row: Any
) -> tuple[Mapping[str, collections.Counter[str]], Iterable[str]]:
    """Return the counts by source, and the sources that are complete.

    A row of an unknown writer has none; its node then counts as incomplete.
    """
    match row:
        case {
            'accounts': list() as accounts,
            'sources': dict() as sources,
            'complete': list() as complete,
        }:
            return {
                str(source): collections.Counter(
                    dict(zip(map(str, accounts), map(int, counts)))
                )
                for source, counts in sources.items()
            }, map(str, complete)
        case {'counts': dict() as counts}:
            source = key.partition('/')[2]
            return {
                source: collections.Counter(
                    {str(name): int(count) for name, count in counts.items()}
                )
            }, [source] if row.get('complete') else []
        case _:
            return {}, []


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
