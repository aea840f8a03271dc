"""Figures of one run, by name."""

import math
from typing import Callable, Iterable

from hdrh import histogram
import numpy

from . import scenario as scenarios
from . import virtual
from . import virtual_engine

HIGHEST_LATENCY_MS = 3_600_000
SIGNIFICANT_DIGITS = 3
MS_PER_S = 1000
WAVE_WINDOW_S = 10.0
RECOVERY_STEP_S = 2.0
RECOVERED_PART = 0.95

Requests = list[virtual_engine.Request]


def in_time(request: virtual_engine.Request) -> bool:
    """Whether the complete answer arrived within the deadline."""
    return (
        request.finished_at is not None
        and request.finished_at <= request.deadline
    )


def all_figures(record: virtual.Record) -> dict[str, float]:
    """Compute the figures of a run from the requests after the warm-up.

    Returns
    -------
    dict
        `in_time.<group>`: part of the offered requests answered in time;
        `p50.`, `p95.<group>`: latency of complete answers, in seconds;
        `first_token_p95.<group>`: time to the first token, in seconds;
        `share.<rank>`: work of answers in time by capacity; `attempts`:
        backend attempts by request sent; `worst_node`: lowest part in time
        of the urgent requests of a node; `imbalance`, `hit_ratio`; and after
        a wave `wave_attempts` and `recovery_s`.
    """
    scenario = record.scenario
    measured = [
        request
        for request in record.requests
        if request.arrived_at >= scenario.warm_up_s
    ]
    groups: dict[str, Requests] = {}
    for request in measured:
        groups.setdefault(request.load.rank, []).append(request)
        size = 'small' if request.load.small else 'large'
        groups.setdefault(size, []).append(request)
    if 'small' not in groups:
        groups.pop('large', None)
    result = {
        name: value
        for group, requests in groups.items()
        for name, value in _group_figures(group, requests).items()
    }
    result |= _shares(record)
    sent = [request for request in measured if request.attempts]
    result['attempts'] = sum(request.attempts for request in sent) / max(
        1, len(sent)
    )
    by_node: dict[int, Requests] = {}
    for request in groups.get('urgent', []):
        if request.node is not None:
            by_node.setdefault(request.node, []).append(request)
    if by_node:
        result['worst_node'] = min(
            _part(requests, in_time) for requests in by_node.values()
        )
    result['imbalance'] = (
        float(numpy.mean(record.imbalance)) if record.imbalance else 1.0
    )
    result['hit_ratio'] = record.hit_ratio
    for fault in scenario.faults:
        at_s = fault.at_s
        if isinstance(fault, scenarios.LoseWorkers):
            at_s += fault.notice_s
            result['wave_attempts'] = _attempts_after(record, at_s)
        result['recovery_s'] = _recovery_s(measured, at_s, scenario.duration_s)
    return result


def _group_figures(group: str, requests: Requests) -> dict[str, float]:
    latencies = _histogram(
        request.finished_at - request.arrived_at
        for request in requests
        if request.finished_at is not None
    )
    first_tokens = _histogram(
        request.first_token_at - request.arrived_at
        for request in requests
        if request.first_token_at is not None
    )
    return {
        f'in_time.{group}': _part(requests, in_time),
        f'p50.{group}': _percentile(latencies, 50),
        f'p95.{group}': _percentile(latencies, 95),
        f'first_token_p95.{group}': _percentile(first_tokens, 95),
    }


def _histogram(seconds: Iterable[float]) -> histogram.HdrHistogram:
    result = histogram.HdrHistogram(1, HIGHEST_LATENCY_MS, SIGNIFICANT_DIGITS)
    for value in seconds:
        result.record_value(max(1, round(value * MS_PER_S)))
    return result


def _percentile(values: histogram.HdrHistogram, percent: float) -> float:
    if values.get_total_count() == 0:
        return math.nan
    return values.get_value_at_percentile(percent) / MS_PER_S


def _part(
    requests: Requests, holds: Callable[[virtual_engine.Request], bool]
) -> float:
    return sum(map(holds, requests)) / max(1, len(requests))


def _shares(record: virtual.Record) -> dict[str, float]:
    """Work of answers in time, by the capacity of the model service.

    The first service of a scenario is the one whose capacity is contended.
    """
    scenario = record.scenario
    service = scenario.services[0]
    window_s = scenario.duration_s - scenario.warm_up_s
    shares = dict.fromkeys(
        (f'share.{load.rank}' for load in scenario.loads), 0.0
    )
    for request in record.requests:
        if (
            request.load.service == service.name
            and in_time(request)
            and request.finished_at is not None
            and scenario.warm_up_s <= request.finished_at < scenario.duration_s
        ):
            part = request.work / (service.capacity * window_s)
            shares[f'share.{request.load.rank}'] += part
    return shares


def _attempts_after(record: virtual.Record, at_s: float) -> float:
    """Attempts by request among those in progress in the wave's window."""
    until_s = at_s + WAVE_WINDOW_S
    affected = [
        request
        for request in record.requests
        if request.attempts
        and request.arrived_at < until_s
        and (request.finished_at is None or request.finished_at > at_s)
    ]
    return sum(request.attempts for request in affected) / max(
        1, len(affected)
    )


def _recovery_s(measured: Requests, at_s: float, end_s: float) -> float:
    """Time from a fault to the end of the last window that is not served.

    A window counts as served where 95% of the urgent requests that arrived
    in it are answered in time. Windows before the fault count from the
    longest deadline, because their requests were in progress.
    """
    urgent = [item for item in measured if item.load.rank == 'urgent']
    windows: dict[int, Requests] = {}
    for request in urgent:
        if at_s - request.load.deadline_s <= request.arrived_at < end_s:
            index = math.floor((request.arrived_at - at_s) / RECOVERY_STEP_S)
            windows.setdefault(index, []).append(request)
    missed = [
        index
        for index, requests in windows.items()
        if _part(requests, in_time) < RECOVERED_PART
    ]
    return max(0.0, (max(missed, default=-1) + 1) * RECOVERY_STEP_S)
