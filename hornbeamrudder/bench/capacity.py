"""Measures the per-unit costs on which docs/CAPACITY.md is based."""

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

# Prints the resident memory in kB after importing a module.
MEMORY_SCRIPT = """
import {module}
print([line for line in open('/proc/self/status') if 'VmRSS' in line][0])
"""
MEMORY_MODULES = ('sys', 'hornbeamrudder.entry.daemon')

COMMITTER_BATCH_SIZES = (1, 10, 100)


@dataclasses.dataclass(frozen=True, slots=True)
class MeasurementPlan:
    """Sizes and durations of all measurements.

    Written to `results.json` under its field names.
    """

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


QUICK = MeasurementPlan(
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
FULL = MeasurementPlan(
    # 64 nodes with 256 request threads each exceeded the thread limit of
    # the machine that docs/CAPACITY.md was measured on.
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
    """Run all measurements and write the reports.

    Returns
    -------
    int
        1 if a measurement failed, otherwise 0.
    """
    # By default SIGTERM ends the interpreter without running the context
    # managers that stop the started processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    folder = pathlib.Path(
        arguments.out or tempfile.mkdtemp(prefix='hornbeamrudder-capacity-')
    )
    folder.mkdir(parents=True, exist_ok=True)
    plan = QUICK if arguments.quick else FULL
    results: dict[str, Any] = {
        'extent': dataclasses.asdict(plan),
        'load_average_at_start': process_usage.load_average(),
        'failed': {},
    }
    for name, measure in _measurements(plan, folder).items():
        started_at = time.monotonic()
        try:
            results[name] = measure()
        except (RuntimeError, OSError) as error:
            results['failed'][name] = repr(error)
        elapsed_s = time.monotonic() - started_at
        print(f'{name}: {elapsed_s:.0f} s', flush=True)
        (folder / 'results.json').write_text(json.dumps(results, indent=1))
    report = capacity_report.summary(results)
    (folder / 'summary.md').write_text(report)
    capacity_report.plot(results, folder / 'slopes.png')
    print(report)
    print(f'results: {folder}')
    for name, detail in results['failed'].items():
        print(f'NOT MEASURED: {name}: {detail}', file=sys.stderr)
    return 1 if results['failed'] else 0


def _measurements(
    plan: MeasurementPlan, folder: pathlib.Path
) -> Mapping[str, Callable[[], Any]]:
    functions = {
        'memory': _measure_memory,
        'peers': lambda: [
            capacity_peers.measure_peer_costs(count, plan.runs)
            for count in plan.peers
        ],
        'workers': lambda: [
            capacity_functions.measure_worker_costs(count, plan.runs)
            for count in plan.workers
        ],
        'accounts': lambda: [
            capacity_functions.measure_account_costs(count, plan.runs)
            for count in plan.accounts
        ],
        'platform': lambda: [
            capacity_platform.measure_platform_calls(count)
            for count in plan.peers
        ],
        'committer': lambda: [
            capacity_platform.measure_committer_cost(count, plan.runs)
            for count in COMMITTER_BATCH_SIZES
        ],
        'orders': lambda: capacity_load.measure_orders(
            folder / 'orders', plan.order_rates_per_s, plan.order_s
        ),
    }
    relays = {
        f'streams on {count}': lambda count=count: _measure_streams(
            folder, plan, count
        )
        for count in plan.relay_processes
    }
    workers = {
        f'node with {count} workers': lambda count=count: (
            capacity_nodes.measure_workers(
                folder / f'workers-{count}',
                count,
                plan.windows,
                plan.window_s,
            )
        )
        for count in plan.workers_of_a_node
    }
    nodes = {
        f'{count} nodes': lambda count=count: (
            capacity_nodes.measure_idle_and_changes(
                folder / f'nodes-{count}',
                count,
                plan.windows,
                plan.window_s,
                plan.changes,
            )
        )
        for count in plan.nodes
    }
    return {**functions, **relays, **workers, **nodes}


def _measure_memory() -> dict[str, int]:
    """Measure the resident kB of Python without and with a node's imports."""
    return {
        module: int(
            subprocess.run(
                [sys.executable, '-c', MEMORY_SCRIPT.format(module=module)],
                stdout=subprocess.PIPE,
                text=True,
                check=True,
            ).stdout.split()[1]
        )
        for module in MEMORY_MODULES
    }


def _measure_streams(
    folder: pathlib.Path, plan: MeasurementPlan, processes: int
) -> list[dict[str, Any]]:
    """Measure streams of one token and of many, for each number of streams.

    A stream of one token costs little more than the request itself, so the
    cost of requests and the cost of tokens can be separated.
    """
    with capacity_load.relay_nodes(
        folder / f'relay-{processes}', processes
    ) as running:
        return [
            capacity_load.measure_streams(running, count, tokens, warm_up)
            for count in plan.streams
            for tokens, warm_up in (
                (1, 0),
                (plan.tokens, plan.warm_up_tokens),
            )
        ]
