"""Runs a complete deployment under a mixed load and checks its guarantees."""

import argparse
import collections
from concurrent import futures
import dataclasses
import itertools
import pathlib
import signal
import tempfile
import time
from typing import Callable, Iterator, Sequence

from hdrh import histogram

from . import balancer
from . import callers
from ..core import types
from . import deployment
from ..infrastructure import http
from . import local
from ..standins import engine_batch

LOAD_DURATION_S = 16.0
RECLAIM_AFTER_S = 3.0
RECLAIM_NOTICE_S = 5.0
NODE_STOP_AFTER_S = 6.0
NODE_STOP_TIMEOUT_S = 5.0
CALLER_THREADS = 160
URGENT_INTERVAL_S = 0.1
STANDARD_INTERVAL_S = 0.1
BATCH_INTERVAL_S = 0.25
URGENT_TOKENS = 24
BATCH_TOKENS = 500
MAX_LATENCY_US = 600_000_000

PLAN = deployment.Plan(
    region='capitale-qc',
    data_centres=('levis-est', 'beauport-n', 'foy-centre', 'bourg-ouest'),
    nodes=7,
    model_service='modele-atelier',
    model='assistant',
    engines=9,
    plain_service='app-comptoir',
    services=4,
    tokens_by_account={
        'fitters': 'token-fitters',
        'front-desk': 'token-front-desk',
        'planning': 'token-planning',
    },
    rules={
        'ranks': [
            {'account': 'fitters', 'rank': 'urgent', 'deadline_s': 10.0},
            {'account': 'front-desk', 'rank': 'standard', 'deadline_s': 15.0},
            {'account': 'planning', 'rank': 'batch', 'deadline_s': 60.0},
        ],
        'non_idempotent': [
            {
                'service': 'app-comptoir',
                'method': 'POST',
                'path_prefix': '/visits',
            }
        ],
    },
    engine={'step_s': 0.02},
    node={'stop_timeout_s': NODE_STOP_TIMEOUT_S},
)

FITTERS = callers.Identity('fitters', 'token-fitters', types.Rank.URGENT)
FRONT_DESK = callers.Identity(
    'front-desk', 'token-front-desk', types.Rank.STANDARD
)
PLANNING = callers.Identity('planning', 'token-planning', types.Rank.BATCH)

Call = Callable[[], callers.CallRecord]


@dataclasses.dataclass(frozen=True, slots=True)
class DemoResult:
    """Result of a demo run, with the guarantees that were violated.

    Attributes
    ----------
    repeated_orders : tuple of str
        Keys of orders that ran more than once.
    wrong_answers : tuple of str
        Keys of answers with an unexpected text.
    ran_despite_not_run : tuple of str
        Keys of orders that ran although reported as not run.
    """

    records: tuple[callers.CallRecord, ...]
    recomputed_tokens: int
    repeated_orders: tuple[str, ...]
    wrong_answers: tuple[str, ...]
    ran_despite_not_run: tuple[str, ...]
    violations: tuple[str, ...]


def main(arguments: argparse.Namespace) -> int:
    """Run the demo; the exit status is 1 if a guarantee was violated."""
    folder = arguments.folder or tempfile.mkdtemp(prefix='hornbeamrudder-')
    client = http.HttpClient('demo')
    try:
        with local.local_processes(pathlib.Path(folder)) as processes:
            running = deployment.Deployment(PLAN, processes, client)
            print('starting 7 nodes, 9 engines, 4 services, the platform')
            running.start()
            print(f'running a mixed load for {LOAD_DURATION_S:.0f} s')
            demo_result = run_load(running)
    finally:
        client.close()
    print(format_table(demo_result))
    for text in demo_result.violations:
        print(f'VIOLATED: {text}')
    print(f'settings and logs: {folder}')
    return 1 if demo_result.violations else 0


def run_load(running: deployment.Deployment) -> DemoResult:
    """Send the load, with one host reclaim and one graceful node stop."""
    addresses = balancer.AddressList(
        running.client, running.node_addresses(), 1
    )
    caller = callers.Caller(running.client, addresses)
    started_at = time.monotonic()
    events = iter(_events(running))
    next_event = next(events, None)
    with futures.ThreadPoolExecutor(CALLER_THREADS) as pool:
        pending: list[futures.Future[callers.CallRecord]] = []
        for at, call in schedule(caller, LOAD_DURATION_S):
            while next_event is not None and next_event[0] <= at:
                next_event[1]()
                next_event = next(events, None)
            time.sleep(max(0.0, started_at + at - time.monotonic()))
            pending.append(pool.submit(call))
        records = tuple(item.result() for item in pending)
    addresses.close()
    return check_guarantees(running, records)


def schedule(
    caller: callers.Caller, seconds: float
) -> Iterator[tuple[float, Call]]:
    """Build the calls with their start times, in order."""
    call_builders = (
        (URGENT_INTERVAL_S, lambda number: _urgent(caller, number)),
        (STANDARD_INTERVAL_S, lambda number: _standard(caller, number)),
        (BATCH_INTERVAL_S, lambda number: _batch(caller, number)),
    )
    timed = [
        (number * interval_s, build_call(number))
        for interval_s, build_call in call_builders
        for number in range(int(seconds / interval_s))
    ]
    return iter(sorted(timed, key=lambda item: item[0]))


def _urgent(caller: callers.Caller, number: int) -> Call:
    return lambda: caller.stream(
        FITTERS,
        PLAN.model,
        f'which chime fits door {number}',
        URGENT_TOKENS,
    )


def _batch(caller: callers.Caller, number: int) -> Call:
    return lambda: caller.stream(
        PLANNING, PLAN.model, f'wiring plan of house {number}', BATCH_TOKENS
    )


def _standard(caller: callers.Caller, number: int) -> Call:
    return lambda: caller.call_service(
        FRONT_DESK, PLAN.plain_service, 'POST', '/visits', f'visit-{number}'
    )


def _events(
    running: deployment.Deployment,
) -> tuple[tuple[float, Callable[[], None]], ...]:
    engine = running.engine_names[0]
    node = running.node_names[0]

    def reclaim() -> None:
        local.control(
            running.client,
            running.address('cloud'),
            {
                'reclaim': {
                    'hosts': [running.host_of(engine)],
                    'seconds': RECLAIM_NOTICE_S,
                }
            },
        )

    return (
        (RECLAIM_AFTER_S, reclaim),
        (
            NODE_STOP_AFTER_S,
            lambda: running.processes.by_name[node].send(signal.SIGTERM),
        ),
        (
            RECLAIM_AFTER_S + RECLAIM_NOTICE_S,
            lambda: running.processes.by_name[engine].send(signal.SIGKILL),
        ),
    )


def check_guarantees(
    running: deployment.Deployment, records: tuple[callers.CallRecord, ...]
) -> DemoResult:
    """Compare the responses to callers with the executions."""
    runs = running.runs_by_key()
    repeated_orders = tuple(key for key, count in runs.items() if count > 1)
    wrong_answers = tuple(
        record.key
        for record in records
        if record.text
        and record.end is callers.CallEnd.ANSWERED
        and record.rank is not types.Rank.STANDARD
        and record.text != _expected_text(record)
    )
    ran_despite_not_run = tuple(
        record.key
        for record in records
        if record.end is callers.CallEnd.NOT_RUN and record.key in runs
    )
    ends = collections.Counter(record.end for record in records)
    violations = [
        text
        for count, text in (
            (len(repeated_orders), 'orders ran more than once'),
            (
                len(wrong_answers),
                'answers were incomplete or had the wrong text',
            ),
            (
                len(ran_despite_not_run),
                'orders ran although reported as not run',
            ),
            (ends[callers.CallEnd.LOST], 'accepted requests were lost'),
            (ends[callers.CallEnd.FAILED], 'accepted requests failed'),
        )
        if count
    ]
    if _stop_status(running) != 0:
        violations.append('the stopped node did not exit with status 0')
    return DemoResult(
        records,
        _recomputed_tokens(running),
        repeated_orders,
        wrong_answers,
        ran_despite_not_run,
        tuple(violations),
    )


def _stop_status(running: deployment.Deployment) -> int:
    return running.processes.by_name[running.node_names[0]].wait()


def _recomputed_tokens(running: deployment.Deployment) -> int:
    return sum(
        local.get_json(running.client, running.address(name), '/totals')[
            'recomputed_tokens'
        ]
        for name in running.engine_names
        if running.processes.by_name[name].running
    )


def _expected_text(record: callers.CallRecord) -> str:
    tokens = (
        URGENT_TOKENS if record.rank is types.Rank.URGENT else BATCH_TOKENS
    )
    prompt = f'user: {record.key}'
    return ''.join(
        engine_batch.token_text(prompt, offset) for offset in range(tokens)
    )


def format_table(demo_result: DemoResult) -> str:
    """Render the results of a run as a table."""
    lines = [
        f'{"rank":10}{"calls":>7}{"answered":>10}{"not run":>9}'
        f'{"unknown":>9}{"failed":>8}{"lost":>6}{"resumed":>9}'
        f'{"p50 s":>8}{"p99 s":>8}{"first token p99":>17}'
    ]
    by_rank = sorted(demo_result.records, key=lambda record: record.rank)
    for rank, group in itertools.groupby(
        by_rank, key=lambda record: record.rank
    ):
        lines.append(_row(rank, tuple(group)))
    lines.append(
        f'orders run more than once {len(demo_result.repeated_orders)},'
        f' wrong answers {len(demo_result.wrong_answers)}, tokens recomputed'
        f' {demo_result.recomputed_tokens}'
    )
    return '\n'.join(lines)


def _row(rank: types.Rank, records: Sequence[callers.CallRecord]) -> str:
    ends = collections.Counter(record.end for record in records)
    latencies = _histogram(
        record.ended_at - record.started_at for record in records
    )
    first_tokens = _histogram(
        record.first_token_s
        for record in records
        if record.first_token_s is not None
    )
    resumed = sum(record.connections > 1 for record in records)
    return (
        f'{rank.name.lower():10}{len(records):7}'
        f'{ends[callers.CallEnd.ANSWERED]:10}{ends[callers.CallEnd.NOT_RUN]:9}'
        f'{ends[callers.CallEnd.UNKNOWN]:9}{ends[callers.CallEnd.FAILED]:8}'
        f'{ends[callers.CallEnd.LOST]:6}{resumed:9}'
        f'{_seconds(latencies, 50):8.2f}{_seconds(latencies, 99):8.2f}'
        f'{_seconds(first_tokens, 99):17.2f}'
    )


def _histogram(seconds: Iterator[float]) -> histogram.HdrHistogram:
    recorded = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    for value in seconds:
        recorded.record_value(max(1, int(value * 1e6)))
    return recorded


def _seconds(recorded: histogram.HdrHistogram, percentile: float) -> float:
    return float(recorded.get_value_at_percentile(percentile)) / 1e6
