"""Summary and plot of the capacity measurements."""

import dataclasses
import pathlib
from typing import Any, Iterable, Mapping, Sequence

from . import slopes

Results = Mapping[str, Any]

CPU_LIMIT_SHARE = 0.017
BYTES_LIMIT_PER_S = 3000.0
IDLE_FIGURES = (
    ('cpu_share', 'CPU, share of a core'),
    ('bytes_sent', 'bytes sent/s'),
    ('messages_sent', 'messages sent/s'),
    ('table_reads', 'table reads/s, all nodes'),
    ('table_writes', 'table writes/s, all nodes'),
    ('resident_kb', 'resident kB'),
    ('threads', 'threads'),
)


def summary(results: Results) -> str:
    """Render all results as Markdown tables."""
    parts = [
        _idle_table('nodes', results),
        _idle_table('workers', results),
        _change_table(results),
        *(
            _function_table(kind, size, results)
            for kind, size in (
                ('peers', 'nodes'),
                ('workers', 'workers'),
                ('accounts', 'accounts'),
                ('committer', 'items'),
            )
        ),
        _call_table(results),
        _figure_table('orders', results.get('orders', ())),
        _figure_table('streams', _stream_runs(results)),
        _stream_cost_table(results),
        f'memory, resident kB: {results.get("memory")}',
    ]
    return '\n\n'.join(part for part in parts if part) + '\n'


def _deployments(size: str, results: Results) -> list[Any]:
    return [
        value
        for value in results.values()
        if isinstance(value, dict) and 'idle' in value and size in value
    ]


def _stream_runs(results: Results) -> list[Any]:
    return [
        item
        for name, value in results.items()
        if name.startswith('streams on ')
        for item in value
    ]


def _idle_table(size: str, results: Results) -> str:
    entries = _deployments(size, results)
    sizes = [item[size] for item in entries]
    rows = []
    for name, title in IDLE_FIGURES:
        runs = [
            slopes.spread(window[name] for window in item['idle'])
            for item in entries
        ]
        rows.append(
            [title, *map(_spread_text, runs), *_fit_cells(sizes, runs)]
        )
    rows.append(
        [
            'load average',
            *(f'{item["idle"][-1]["load_average"]:.1f}' for item in entries),
            '',
            '',
            '',
        ]
    )
    headers = [
        f'idle, by {size}',
        *map(str, sizes),
        'slope',
        'constant',
        'residual',
    ]
    return slopes.markdown_table(headers, rows) if entries else ''


def _fit_cells(
    sizes: Sequence[float], runs: Sequence[slopes.Spread]
) -> list[Any]:
    try:
        fit = slopes.fit_line(sizes, [item.median for item in runs])
    except ValueError:
        return ['', '', '']
    return [fit.slope, fit.constant, fit.residual]


def _spread_text(item: slopes.Spread) -> str:
    return f'{item.median:.4g} ({item.low:.3g} to {item.high:.3g})'


def _change_table(results: Results) -> str:
    entries = _deployments('nodes', results)
    rows = [
        [
            item['nodes'],
            _spread_text(slopes.spread(item['changes']['in_force_s'])),
            item['changes']['cpu_s_per_change_per_node'],
            item['changes']['bytes_sent_per_change_per_node'],
            item['start_s'],
            item['changes']['load_average'],
        ]
        for item in entries
    ]
    headers = (
        'nodes',
        's until in force',
        'CPU s/change/node',
        'bytes/change/node',
        'start s',
        'load average',
    )
    return slopes.markdown_table(headers, rows) if entries else ''


def _function_table(kind: str, size: str, results: Results) -> str:
    entries = results.get(kind, ())
    if not entries:
        return ''
    sizes = [item[size] for item in entries]
    rows = []
    for name in entries[0]['cpu_s']:
        runs = [slopes.spread(item['cpu_s'][name]) for item in entries]
        exponent = slopes.growth_exponent(
            sizes[-2:], [item.median for item in runs[-2:]]
        )
        rows.append([f'{name}, CPU s', *map(_spread_text, runs), exponent])
    for group in ('memory_bytes',):
        for name in entries[0][group]:
            values = [item[group][name] for item in entries]
            exponent = slopes.growth_exponent(sizes[-2:], values[-2:])
            rows.append([f'{name}, bytes', *values, exponent])
    for name in ('document_bytes', 'heartbeat_bytes', 'row_bytes'):
        if name in entries[0]:
            rows.append([name, *(item[name] for item in entries), ''])
    rows.append(
        ['load average', *(item['load_average'] for item in entries), '']
    )
    headers = [f'functions, by {size}', *map(str, sizes), 'exponent']
    return slopes.markdown_table(headers, rows)


def _call_table(results: Results) -> str:
    rows = [
        [item['nodes'], *item['load_poll_bytes'], *item['version_read_bytes']]
        for item in results.get('platform', ())
    ]
    headers = (
        'nodes',
        'load poll, bytes sent',
        'received',
        'read of the version row, bytes sent',
        'received',
    )
    return slopes.markdown_table(headers, rows) if rows else ''


def _figure_table(title: str, entries: Iterable[Mapping[str, Any]]) -> str:
    entries = list(entries)
    if not entries:
        return ''
    rows = [
        [name, *(item[name] for item in entries)]
        for name in entries[0]
        if isinstance(entries[0][name], (int, float))
    ]
    headers = [title, *(str(number + 1) for number in range(len(entries)))]
    return slopes.markdown_table(headers, rows)


def _stream_cost_table(results: Results) -> str:
    """Separate the CPU time per request from that per token."""
    streams = _stream_runs(results)
    rows = []
    for processes in sorted({item['processes'] for item in streams}):
        # Runs with refused streams are excluded, because a refused stream
        # generates no tokens but waits for a long time.
        runs = [
            item
            for item in streams
            if item['processes'] == processes
            and item['finished'] == item['streams']
        ]
        request, token = slopes.solve_costs(
            [(item['streams'], item['tokens']) for item in runs],
            [item['cpu_s'] for item in runs],
        )
        rows.append([processes, request, token, 1 / token])
    headers = ('processes', 'CPU s/request', 'CPU s/token', 'tokens/core s')
    return slopes.markdown_table(headers, rows) if rows else ''


@dataclasses.dataclass(frozen=True, slots=True)
class _Panel:
    """One chart: points by label, and an optional limit line."""

    title: str
    points_by_label: Mapping[str, Sequence[tuple[float, float]]]
    limit: float | None = None
    x_scale: str = 'linear'
    y_scale: str = 'linear'


def plot(results: Results, path: pathlib.Path) -> None:
    """Draw the main charts into one file."""
    # Importing pyplot takes about 1 s, which other commands avoid.
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 3, figsize=(14, 8))
    for axis, panel in zip(axes.flat, _panels(results)):
        for label, points in panel.points_by_label.items():
            axis.plot(
                [x for x, _ in points],
                [y for _, y in points],
                marker='o',
                label=label,
            )
        if panel.limit is not None:
            axis.axhline(panel.limit, linestyle='--', label='limit')
        axis.set_xscale(panel.x_scale)
        axis.set_yscale(panel.y_scale)
        axis.set_title(panel.title)
        axis.legend(fontsize='small')
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _panels(results: Results) -> tuple[_Panel, ...]:
    nodes = _deployments('nodes', results)
    workers = results.get('workers', ())
    streams = [
        item for item in _stream_runs(results) if item['tokens_per_stream'] > 1
    ]
    idle = {
        name: [
            (item['nodes'], _median(window[name] for window in item['idle']))
            for item in nodes
        ]
        for name in ('cpu_share', 'bytes_sent')
    }
    return (
        _Panel(
            'idle node: share of a core, by nodes',
            {'measured': idle['cpu_share']},
            CPU_LIMIT_SHARE,
        ),
        _Panel(
            'idle node: bytes sent to peers/s, by nodes',
            {'measured': idle['bytes_sent']},
            BYTES_LIMIT_PER_S,
        ),
        _Panel(
            'seconds until in force, by nodes',
            {
                'median': [
                    (item['nodes'], _median(item['changes']['in_force_s']))
                    for item in nodes
                ]
            },
        ),
        _Panel(
            'CPU seconds of one call, by workers',
            {
                name: [
                    (item['workers'], _median(item['cpu_s'][name]))
                    for item in workers
                ]
                for name in ('choose', 'shares_computed', 'parse')
            },
            x_scale='log',
            y_scale='log',
        ),
        _Panel(
            'items per table write, by orders/s, 7 nodes',
            {
                'measured': [
                    (item['rate_per_s'], item['items_per_write'])
                    for item in results.get('orders', ())
                ]
            },
        ),
        _Panel(
            'added delay at p95, ms, by streams',
            {
                f'{count} processes': [
                    (item['streams'], item['p95_ms'])
                    for item in streams
                    if item['processes'] == count
                ]
                for count in sorted({item['processes'] for item in streams})
            },
            y_scale='log',
        ),
    )


def _median(values: Iterable[float]) -> float:
    return slopes.spread(values).median
