"""Measures idle nodes and configuration changes by number of nodes."""

import dataclasses
import pathlib
import time
from typing import Any, Sequence

from . import capacity_deployment
from . import demo
from ..infrastructure import http
from . import local
from . import process_usage

ENGINES = 9
SERVICES = 4
SETTLE_TIME_S = 2.0


def measure_idle_and_changes(
    folder: pathlib.Path,
    nodes: int,
    windows: int,
    window_s: float,
    changes: int,
) -> dict[str, Any]:
    """Measure nodes while idle and during configuration changes.

    Parameters
    ----------
    windows, window_s : int, float
        Number and duration of the idle measurements.
    """
    client = http.HttpClient('capacity')
    try:
        with (
            capacity_deployment.load_source(ENGINES + SERVICES) as ports,
            local.local_processes(folder) as processes,
        ):
            started_at = time.monotonic()
            running = capacity_deployment.MeasuredDeployment(
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
            time.sleep(SETTLE_TIME_S)
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
    running: capacity_deployment.MeasuredDeployment,
    changes: int,
    idle: Sequence[capacity_deployment.Rates],
) -> dict[str, Any]:
    """Apply documents in sequence; costs exclude those of idle nodes."""
    in_force_s = []
    version = running.current_version()
    before = running.read()
    started_at = time.monotonic()
    for number in range(changes):
        document = running.document | {
            'rules': running.document['rules']
            | {'default_deadline_s': 10.0 + number}
        }
        requested_at = time.monotonic()
        version = running.apply(document, version)['version']
        in_force_s.append(time.monotonic() - requested_at)
    elapsed_s = time.monotonic() - started_at
    during = capacity_deployment.rates(before, running.read())
    idle_cpu_share = min(item.cpu_share for item in idle)
    idle_bytes_sent = min(item.bytes_sent for item in idle)
    return {
        'in_force_s': in_force_s,
        'cpu_s_per_change_per_node': (during.cpu_share - idle_cpu_share)
        * elapsed_s
        / changes,
        'bytes_sent_per_change_per_node': (during.bytes_sent - idle_bytes_sent)
        * elapsed_s
        / changes,
        'load_average': process_usage.load_average(),
    }


def measure_workers(
    folder: pathlib.Path, workers: int, windows: int, window_s: float
) -> dict[str, Any]:
    """Measure one idle node with a given number of model engines."""
    client = http.HttpClient('capacity')
    try:
        with (
            capacity_deployment.load_source(workers) as ports,
            local.local_processes(folder) as processes,
        ):
            running = capacity_deployment.MeasuredDeployment(
                dataclasses.replace(demo.PLAN, nodes=1, engines=0, services=0),
                processes,
                client,
                ports,
            )
            running.start()
            time.sleep(SETTLE_TIME_S)
            idle = [running.measure(window_s) for _ in range(windows)]
            return {
                'workers': workers,
                'idle': [dataclasses.asdict(item) for item in idle],
            }
    finally:
        client.close()
