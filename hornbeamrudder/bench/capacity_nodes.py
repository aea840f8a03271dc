"""Measures idle nodes and configuration changes against their number."""

import dataclasses
import pathlib
import time
from typing import Any, Sequence

from . import capacity_fleet
from . import demo
from ..infrastructure import http
from . import local
from . import process_usage

ENGINES = 9
SERVICES = 4
SETTLE_S = 2.0


def measure_idle_and_changes(
    folder: pathlib.Path,
    nodes: int,
    windows: int,
    window_s: float,
    changes: int,
) -> dict[str, Any]:
    """Start nodes and measure them idle and during changes.

    Parameters
    ----------
    windows, window_s : int, float
        Number and length in seconds of the idle measurements.
    """
    client = http.HttpClient('capacity')
    try:
        with (
            capacity_fleet.load_source(ENGINES + SERVICES) as ports,
            local.local_processes(folder) as processes,
        ):
            started_at = time.monotonic()
            running = capacity_fleet.MeasuredDeployment(
                dataclasses.replace(
                    demo.PLAN, nodes=nodes, engines=0, services=0
                ),
                processes,
                client,
                ports[:ENGINES],
                ports[ENGINES:],
            )
            running.start()
            start_s = time.monotonic() - started_at
            time.sleep(SETTLE_S)
            idle = [running.measure(window_s) for _ in range(windows)]
            return {
                'nodes': nodes,
                'start_s': start_s,
                'idle': [dataclasses.asdict(item) for item in idle],
                'changes': _measure_changes(running, changes, idle),
            }
    finally:
        client.close()


def _measure_changes(
    running: capacity_fleet.MeasuredDeployment,
    changes: int,
    idle: Sequence[capacity_fleet.Rates],
) -> dict[str, Any]:
    """Put documents in force one after another; cost beyond the idle one."""
    in_force_s = []
    version = running.current_version()
    before = running.read()
    began_at = time.monotonic()
    for number in range(changes):
        document = running.document | {
            'rules': running.document['rules']
            | {'default_deadline_s': 10.0 + number}
        }
        asked_at = time.monotonic()
        version = running.apply(document, version)['version']
        in_force_s.append(time.monotonic() - asked_at)
    seconds = time.monotonic() - began_at
    during = capacity_fleet.rates(before, running.read())
    base = min(item.cpu_share for item in idle)
    base_bytes = min(item.bytes_sent for item in idle)
    return {
        'in_force_s': in_force_s,
        'cpu_s_per_change_per_node': (during.cpu_share - base)
        * seconds
        / changes,
        'bytes_sent_per_change_per_node': (during.bytes_sent - base_bytes)
        * seconds
        / changes,
        'load_average': process_usage.load_average(),
    }


def measure_workers(
    folder: pathlib.Path, workers: int, windows: int, window_s: float
) -> dict[str, Any]:
    """Measure one idle node that knows a number of model engines."""
    client = http.HttpClient('capacity')
    try:
        with (
            capacity_fleet.load_source(workers) as ports,
            local.local_processes(folder) as processes,
        ):
            running = capacity_fleet.MeasuredDeployment(
                dataclasses.replace(demo.PLAN, nodes=1, engines=0, services=0),
                processes,
                client,
                ports,
            )
            running.start()
            time.sleep(SETTLE_S)
            idle = [running.measure(window_s) for _ in range(windows)]
            return {
                'workers': workers,
                'idle': [dataclasses.asdict(item) for item in idle],
            }
    finally:
        client.close()
