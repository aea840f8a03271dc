"""Figures and tables of the flood measurements; performs no I/O."""

import collections
import dataclasses
import itertools
import statistics
from typing import Any, Iterable, Sequence

import numpy

from ..core import types
from . import flood_load

METRIC_PREFIX = 'hornbeamrudder_'
ANSWERED = 'answered'
NOT_RUN = 'not_run'
MAX_LISTED_MISSES = 20
MAX_LISTED_REFUSALS = 8
COUNTERS = (
    'requests_total',
    'backend_attempts_total',
    'recomputed_tokens_total',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One call with its result.

    Attributes
    ----------
    tokens : int
        Requested length of the answer; 0 for an order.
    seconds : float
        Duration of the call.
    outcome : str
        `answered`, `lost`, `failed` or the outcome stated in the response.
    at : float
        Arrival time, in seconds from the start of the load.
    """

    account: str
    rank: types.Rank
    tokens: int
    seconds: float
    outcome: str
    detail: str = ''
    at: float = 0.0
    node: str = ''

    @property
    def in_time(self) -> bool:
        """Whether the complete answer arrived within the deadline."""
        limit_s = flood_load.DEADLINE_S_BY_RANK[self.rank]
        return self.outcome == ANSWERED and self.seconds <= limit_s

    @property
    def group(self) -> tuple[types.Rank, str, str]:
        """Rank, account and kind of call."""
        kind = 'answer' if self.tokens else 'order'
        return self.rank, self.account, kind


def figures_by_group(records: Iterable[Record]) -> list[dict[str, Any]]:
    """Calculate the figures by rank, account and kind of call."""
    ordered = sorted(records, key=lambda record: record.group)
    return [
        _figures(key, tuple(group))
        for key, group in itertools.groupby(
            ordered, key=lambda record: record.group
        )
    ]


def _figures(
    key: tuple[types.Rank, str, str], records: Sequence[Record]
) -> dict[str, Any]:
    rank, account, kind = key
    seconds = [item.seconds for item in records if item.outcome == ANSWERED]
    p50, p99 = numpy.percentile(seconds, (50, 99)) if seconds else (None, None)
    tokens = sum(item.tokens for item in records if item.in_time)
    failures = collections.Counter(
        f'{item.outcome}: {item.detail}'
        for item in records
        if item.outcome != ANSWERED
    )
    return {
        'rank': rank.name.lower(),
        'account': account,
        'kind': kind,
        'offered': len(records),
        'in_time': sum(item.in_time for item in records),
        'not_run': sum(item.outcome == NOT_RUN for item in records),
        'late': sum(
            item.outcome == ANSWERED and not item.in_time for item in records
        ),
        'other': sum(
            item.outcome not in (ANSWERED, NOT_RUN) for item in records
        ),
        'p50_s': None if p50 is None else float(p50),
        'p99_s': None if p99 is None else float(p99),
        'share': tokens
        / (flood_load.CAPACITY_TOKENS_PER_S * flood_load.LOAD_DURATION_S),
        'refusals': dict(failures.most_common(MAX_LISTED_REFUSALS)),
        'misses': [
            [
                round(item.at, 1),
                round(item.seconds, 1),
                item.outcome,
                item.node,
            ]
            for item in records
            if not item.in_time
        ][:MAX_LISTED_MISSES],
    }


def sum_counters(pages: Iterable[str], service: str) -> dict[str, float]:
    """Sum the counters of one service over the metrics of all nodes.

    Parameters
    ----------
    pages : iterable of str
        Metrics of one node each, in the Prometheus text format.
    """
    totals = dict.fromkeys(COUNTERS, 0.0)
    for line in itertools.chain.from_iterable(map(str.splitlines, pages)):
        name, _, rest = line.removeprefix(METRIC_PREFIX).partition('{')
        labels, _, value = rest.rpartition('}')
        if name in totals and f'service="{service}"' in labels:
            totals[name] += float(value.split()[0])
    requests = totals['requests_total']
    attempts = totals['backend_attempts_total']
    return totals | {
        'attempts_per_request': attempts / requests if requests else 0.0
    }


def table(name: str, runs: Sequence[dict[str, Any]]) -> str:
    """Render the medians over the seeds, with minimum and maximum."""
    lines = [
        f'{name}: load average'
        f' {_range(load for run in runs for load in run["load_average"])},'
        f' {len(runs)} runs',
        '',
        '| run | rank | account | calls | offered | in time | not run'
        ' | late | other | p50 s | p99 s | share |',
        '|' + ' --- |' * 12,
    ]
    for kind in ('reference', 'flood'):
        kind_runs = [run for run in runs if run['kind'] == kind]
        rows = collections.defaultdict(list)
        for run in kind_runs:
            for group in run['groups']:
                key = group['rank'], group['account'], group['kind']
                rows[key].append(group)
        for key, group_figures in rows.items():
            lines.append(_row(kind, key, group_figures))
        lines.append(f'\n{kind}: {_node_figures(kind_runs)}\n')
    return '\n'.join(lines)


def _row(
    kind: str, key: tuple[str, str, str], group_figures: list[dict[str, Any]]
) -> str:
    cells = [kind, *key, f'{sum(item["offered"] for item in group_figures)}']
    for name in ('in_time', 'not_run', 'late', 'other'):
        cells.append(
            _range(item[name] / item['offered'] for item in group_figures)
        )
    for name in ('p50_s', 'p99_s', 'share'):
        values = [
            item[name] for item in group_figures if item[name] is not None
        ]
        cells.append(_range(values) if values else '-')
    return f'| {" | ".join(cells)} |'


def _node_figures(runs: Sequence[dict[str, Any]]) -> str:
    return ', '.join(
        f'{name} {_range(run["nodes"][name] for run in runs)}'
        for name in (*COUNTERS, 'attempts_per_request')
    )


def _range(values: Iterable[float]) -> str:
    numbers = list(values)
    median = statistics.median(numbers)
    return f'{median:.3g} [{min(numbers):.3g}, {max(numbers):.3g}]'
