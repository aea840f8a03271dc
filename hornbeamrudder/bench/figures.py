"""Figures of one simulation run, by name."""

import math
from typing import Callable, Iterable

from hdrh import histogram
import numpy

from . import scenario as scenarios
from . import simulated_engine
from . import simulation

MAX_LATENCY_MS = 3_600_000
SIGNIFICANT_DIGITS = 3
MS_PER_S = 1000
WAVE_WINDOW_S = 10.0
RECOVERY_WINDOW_S = 2.0
RECOVERED_FRACTION = 0.95

Requests = list[simulated_engine.Request]


def met_deadline(request: simulated_engine.Request) -> bool:
    """Whether the complete answer arrived within the deadline."""
    return (
        request.finished_at is not None
        and request.finished_at <= request.deadline
    )


def all_figures(record: simulation.SimulationRecord) -> dict[str, float]:
    """Calculate the figures of a run, without its warm-up.

    Returns
    -------
    dict
        `in_time.<group>`: fraction of the offered requests answered within
        their deadline; `p50.<group>`, `p95.<group>`: latency of complete
        answers, in seconds; `first_token_p95.<group>`: time to first token,
        in seconds; `share.<rank>`: work of answers within their deadline, as
        a fraction of the capacity; `attempts`: backend attempts per request
        sent; `worst_node`: lowest `in_time` of urgent requests of any node;
        `imbalance` and `hit_ratio`; after a loss of workers
        `wave_attempts`; after any fault `recovery_s`.
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
    result |= _work_shares(record)
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
            _fraction(requests, met_deadline) for requests in by_node.values()
        )
    result['imbalance'] = (
        float(numpy.mean(record.imbalance)) if record.imbalance else 1.0
    )
    result['hit_ratio'] = record.hit_ratio
    for fault in scenario.faults:
        at_s = fault.at_s
        if isinstance(fault, scenarios.WorkerLoss):
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
        f'in_time.{group}': _fraction(requests, met_deadline),
        f'p50.{group}': _percentile(latencies, 50),
        f'p95.{group}': _percentile(latencies, 95),
        f'first_token_p95.{group}': _percentile(first_tokens, 95),
    }


def _histogram(seconds: Iterable[float]) -> histogram.HdrHistogram:
    result = histogram.HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
    for value in seconds:
        result.record_value(max(1, round(value * MS_PER_S)))
    return result


def _percentile(values: histogram.HdrHistogram, percent: float) -> float:
    if values.get_total_count() == 0:
        return math.nan
    return values.get_value_at_percentile(percent) / MS_PER_S


def _fraction(
    requests: Requests, predicate: Callable[[simulated_engine.Request], bool]
) -> float:
    return sum(map(predicate, requests)) / max(1, len(requests))


def _work_shares(record: simulation.SimulationRecord) -> dict[str, float]:
    """Work of answers within their deadline, as a fraction of capacity.

    Only the first service of a scenario counts; it is the contended one.
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
            and met_deadline(request)
            and request.finished_at is not None
            and scenario.warm_up_s <= request.finished_at < scenario.duration_s
        ):
            part = request.work / (service.capacity * window_s)
            shares[f'share.{request.load.rank}'] += part
    return shares


def _attempts_after(record: simulation.SimulationRecord, at_s: float) -> float:
    """Attempts per request in progress in `WAVE_WINDOW_S` after a loss."""
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
    """Time from a fault to the end of the last degraded window.

    A window is degraded if less than 95% of the urgent requests that arrived
    in it met their deadline. Requests that arrived before the fault count if
    their deadline was after it, because they could be in progress.
    """
    urgent = [item for item in measured if item.load.rank == 'urgent']
    windows: dict[int, Requests] = {}
    for request in urgent:
        if at_s - request.load.deadline_s <= request.arrived_at < end_s:
            index = math.floor((request.arrived_at - at_s) / RECOVERY_WINDOW_S)
            windows.setdefault(index, []).append(request)
    degraded = [
        index
        for index, requests in windows.items()
        if _fraction(requests, met_deadline) < RECOVERED_FRACTION
    ]
    return max(0.0, (max(degraded, default=-1) + 1) * RECOVERY_WINDOW_S)
