"""Measures the slopes that docs/CAPACITY.md is worked out from."""

import argparse
import dataclasses
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any, Callable, Mapping

from . import capacity_functions
from . import capacity_load
from . import capacity_nodes
from . import capacity_peers
from . import capacity_platform
from . import capacity_report
from . import process_usage

# Prints the resident memory in kB after an import.
MEMORY_PROGRAM = """
import {module}
print([line for line in open('/proc/self/status') if 'VmRSS' in line][0])
"""
MEMORY_MODULES = ('sys', 'hornbeamrudder.entry.daemon')

COMMITTER_ITEMS = (1, 10, 100)


@dataclasses.dataclass(frozen=True, slots=True)
class Extent:
    """Sizes and lengths of a run; times in seconds."""

    nodes: tuple[int, ...]
    windows: int
    window_s: float
    changes: int
    peers: tuple[int, ...]
    workers: tuple[int, ...]
    workers_of_a_node: tuple[int, ...]
    accounts: tuple[int, ...]
    runs: int
    order_rates_per_s: tuple[float, ...]
    order_s: float
    relay_processes: tuple[int, ...]
    streams: tuple[int, ...]
    tokens: int
    warm_up_tokens: int


QUICK = Extent(
    nodes=(3, 7, 16),
    windows=2,
    window_s=2.0,
    changes=5,
    peers=(7, 64, 500),
    workers=(10, 100, 1000),
    workers_of_a_node=(10, 100),
    accounts=(5, 1000),
    runs=2,
    order_rates_per_s=(20.0, 100.0),
    order_s=2.0,
    relay_processes=(1, 2),
    streams=(100, 300),
    tokens=60,
    warm_up_tokens=20,
)
FULL = Extent(
    # 64 nodes with 256 request threads each were more threads than the
    # machine of the page allows.
    nodes=(3, 7, 16, 32),
    windows=3,
    window_s=4.0,
    changes=10,
    peers=(7, 64, 500, 2000),
    workers=(10, 100, 1000, 10_000),
    workers_of_a_node=(10, 100, 300, 1000),
    accounts=(5, 100, 1000, 10_000),
    runs=3,
    order_rates_per_s=(20.0, 50.0, 100.0, 150.0, 250.0),
    order_s=4.0,
    relay_processes=(1, 2, 4),
    streams=(100, 300, 600),
    tokens=120,
    warm_up_tokens=30,
)


def main(arguments: argparse.Namespace) -> int:
    """Measure, write results and plot; 1 where a part did not run."""
    # Without it, the processes that were started would go on.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    folder = pathlib.Path(
        arguments.out or tempfile.mkdtemp(prefix='hornbeamrudder-capacity-')
    )
    folder.mkdir(parents=True, exist_ok=True)
    extent = QUICK if arguments.quick else FULL
    results: dict[str, Any] = {
        'extent': dataclasses.asdict(extent),
        'load_average_at_start': process_usage.load_average(),
        'failed': {},
    }
    for name, part in _parts(extent, folder).items():
        started_at = time.monotonic()
        try:
            results[name] = part()
        except (RuntimeError, OSError) as error:
            results['failed'][name] = repr(error)
        took_s = time.monotonic() - started_at
        print(f'{name}: {took_s:.0f} s', flush=True)
        (folder / 'results.json').write_text(json.dumps(results, indent=1))
    report = capacity_report.summary(results)
    (folder / 'summary.md').write_text(report)
    capacity_report.plot(results, folder / 'slopes.png')
    print(report)
    print(f'results: {folder}')
    for name, detail in results['failed'].items():
        print(f'NOT MEASURED: {name}: {detail}', file=sys.stderr)
    return 1 if results['failed'] else 0


def _parts(
    extent: Extent, folder: pathlib.Path
) -> Mapping[str, Callable[[], Any]]:
    functions = {
        'memory': _memory,
        'peers': lambda: [
            capacity_peers.peers_costs(count, extent.runs)
            for count in extent.peers
        ],
        'workers': lambda: [
            capacity_functions.workers_costs(count, extent.runs)
            for count in extent.workers
        ],
        'accounts': lambda: [
            capacity_functions.accounts_costs(count, extent.runs)
            for count in extent.accounts
        ],
        'platform': lambda: [
            capacity_platform.platform_costs(count) for count in extent.peers
        ],
        'committer': lambda: [
            capacity_platform.committer_costs(count, extent.runs)
            for count in COMMITTER_ITEMS
        ],
        'orders': lambda: capacity_load.measure_orders(
            folder / 'orders', extent.order_rates_per_s, extent.order_s
        ),
    }
    relays = {
        f'streams on {count}': lambda count=count: _streams(
            folder, extent, count
        )
        for count in extent.relay_processes
    }
    workers = {
        f'node with {count} workers': lambda count=count: (
            capacity_nodes.measure_workers(
                folder / f'workers-{count}',
                count,
                extent.windows,
                extent.window_s,
            )
        )
        for count in extent.workers_of_a_node
    }
    nodes = {
        f'{count} nodes': lambda count=count: (
            capacity_nodes.measure_idle_and_changes(
                folder / f'nodes-{count}',
                count,
                extent.windows,
                extent.window_s,
                extent.changes,
            )
        )
        for count in extent.nodes
    }
    return {**functions, **relays, **workers, **nodes}


def _memory() -> dict[str, int]:
    """Resident kB of the interpreter alone and with all libraries."""
    return {
        module: int(
            subprocess.run(
                [sys.executable, '-c', MEMORY_PROGRAM.format(module=module)],
                stdout=subprocess.PIPE,
                text=True,
                check=True,
            ).stdout.split()[1]
        )
        for module in MEMORY_MODULES
    }


def _streams(
    folder: pathlib.Path, extent: Extent, processes: int
) -> list[dict[str, Any]]:
    """Single-token requests first, which cost almost only the request."""
    with capacity_load.relay(
        folder / f'relay-{processes}', processes
    ) as running:
        return [
            capacity_load.measure_streams(running, count, tokens, warm_up)
            for count in extent.streams
            for tokens, warm_up in (
                (1, 0),
                (extent.tokens, extent.warm_up_tokens),
            )
        ]
