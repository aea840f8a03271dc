"""Measures orders and token streams against their rate."""

from concurrent import futures
import contextlib
import dataclasses
import itertools
import pathlib
import threading
import time
from typing import Any, Iterator

from . import callers
from . import capacity_fleet
from ..core import types
from . import demo
from . import deployment
from ..infrastructure import http
from . import local
from . import process_usage
from . import token_sink

ORDER_NODES = 7
ORDER_SERVICES = 4
ORDER_THREADS = 96
STREAM_TOKEN_INTERVAL_S = 0.035
STREAM_TIMEOUT_S = 60.0
STREAM_THREADS = 700
STREAM_SLOTS = 4096
STREAM_ACCOUNT = 'fitters'
# The runs with one token make a node expect slow answers; with the deadline
# of a usual rule it would then refuse the long ones.
STREAM_DEADLINE_S = 3600.0
SAMPLE_S = 0.1


class _Round:
    """Picks the addresses in turn."""

    def __init__(self, addresses: tuple[types.Address, ...]) -> None:
        self._addresses = itertools.cycle(addresses)
        self._lock = threading.Lock()

    def pick(self) -> types.Address:
        """Return the next address."""
        with self._lock:
            return next(self._addresses)


def measure_orders(
    folder: pathlib.Path, rates_per_s: tuple[float, ...], seconds: float
) -> list[dict[str, Any]]:
    """Send orders at rising rates to 7 nodes."""
    client = http.HttpClient('capacity')
    try:
        with (
            local.local_processes(folder) as processes,
            futures.ThreadPoolExecutor(ORDER_THREADS) as pool,
        ):
            running = capacity_fleet.MeasuredDeployment(
                dataclasses.replace(
                    demo.PLAN,
                    nodes=ORDER_NODES,
                    engines=0,
                    services=ORDER_SERVICES,
                    service={'threads': 64, 'slots': 64},
                ),
                processes,
                client,
            )
            running.start()
            caller = callers.Caller(client, _Round(running.node_addresses()))
            idle = running.measure(seconds)
            return [
                _orders_at(running, caller, pool, rate, seconds, idle)
                for rate in rates_per_s
            ]
    finally:
        client.close()


def _orders_at(
    running: capacity_fleet.MeasuredDeployment,
    caller: callers.Caller,
    pool: futures.ThreadPoolExecutor,
    rate_per_s: float,
    seconds: float,
    idle: capacity_fleet.Rates,
) -> dict[str, Any]:
    before = running.read()
    started_at = time.monotonic()
    open_calls = []
    for number in range(int(rate_per_s * seconds)):
        due_at = started_at + number / rate_per_s
        time.sleep(max(0.0, due_at - time.monotonic()))
        open_calls.append(
            pool.submit(
                caller.call_service,
                demo.FRONT_DESK,
                demo.PLAN.plain_service,
                'POST',
                '/visits',
                f'order-{rate_per_s:g}-{number}',
            )
        )
    records = [call.result() for call in open_calls]
    after = running.read()
    taken_s = time.monotonic() - started_at
    during = capacity_fleet.rates(before, after)
    answered = sum(
        record.end is callers.CallEnd.ANSWERED for record in records
    )
    writes = after.table['writes'] - before.table['writes']
    items = after.table['items'] - before.table['items']
    times_s = sorted(item.ended_at - item.started_at for item in records)
    cpu_s = (during.cpu_share - idle.cpu_share) * ORDER_NODES * taken_s
    return {
        'rate_per_s': len(records) / taken_s,
        'orders': len(records),
        'answered': answered,
        'writes': writes,
        'items': items,
        'writes_per_order': writes / len(records),
        'items_per_order': items / len(records),
        'items_per_write': items / max(1, writes),
        'writes_per_s': writes / taken_s,
        'cpu_s_per_order': cpu_s / len(records),
        'p50_s': times_s[len(times_s) // 2],
        'p95_s': times_s[int(len(times_s) * 0.95)],
        'load_average': process_usage.load_average(),
    }


@contextlib.contextmanager
def relay(
    folder: pathlib.Path, processes: int
) -> Iterator[capacity_fleet.MeasuredDeployment]:
    """Run node processes on one port before a source of tokens."""
    client = http.HttpClient('capacity')
    try:
        with (
            capacity_fleet.program(
                'token_source', '--interval', str(STREAM_TOKEN_INTERVAL_S)
            ) as (source, _),
            local.local_processes(folder) as started,
        ):
            shared_port = deployment.free_ports(1)[0]
            running = _SharedPort(
                dataclasses.replace(
                    demo.PLAN,
                    nodes=processes,
                    engines=0,
                    services=0,
                    rules={
                        'default_rank': 'urgent',
                        'default_deadline_s': STREAM_DEADLINE_S,
                    },
                    node={
                        'listen': {'ip': local.LOOPBACK, 'port': shared_port},
                        'limits': {
                            'threads': STREAM_THREADS,
                            'share_port': True,
                        },
                    },
                ),
                started,
                client,
                (source.port,),
                slots=STREAM_SLOTS,
            )
            running.start()
            yield running
    finally:
        client.close()


class _SharedPort(capacity_fleet.MeasuredDeployment):
    """Processes that one address cannot tell apart."""

    def wait_ready(self, count: int) -> None:
        """Wait until the version is in force on all processes."""
        self.apply(self.document, self.current_version())

    def usage(self) -> list[process_usage.Usage]:
        """Processor time and memory of each process."""
        return [
            process_usage.read(self.processes.by_name[name].process.pid)
            for name in self.node_names
        ]


def measure_streams(
    running: Any, streams: int, tokens: int, warm_up: int
) -> dict[str, Any]:
    """Open streams, read them to the end and measure the nodes."""
    idle_before = running.usage()
    time.sleep(1.0)
    before = running.usage()
    idle_share = sum(
        (late.cpu_s - early.cpu_s) / (late.at - early.at)
        for early, late in zip(idle_before, before)
    )
    token = demo.PLAN.tokens_by_account[STREAM_ACCOUNT]
    with futures.ThreadPoolExecutor(1) as pool:
        call = pool.submit(
            token_sink.measure,
            running.node_addresses()[0],
            '/v1/chat/completions',
            (
                ('Authorization', f'Bearer {token}'),
                ('Content-Type', 'application/json'),
            ),
            demo.PLAN.model,
            streams,
            tokens,
            warm_up,
            STREAM_TIMEOUT_S,
        )
        highest_kb, highest_threads = 0, 0
        while not call.done():
            now = running.usage()
            highest_kb = max(highest_kb, sum(item.resident_kb for item in now))
            highest_threads = max(
                highest_threads, sum(item.threads for item in now)
            )
            time.sleep(SAMPLE_S)
        told = call.result()
    after = running.usage()
    cpu_s = sum(
        late.cpu_s - early.cpu_s for early, late in zip(before, after)
    ) - idle_share * (after[0].at - before[0].at)
    return dataclasses.asdict(told) | {
        'processes': len(after),
        'tokens_per_stream': tokens,
        'cpu_s': cpu_s,
        'cores': cpu_s / told.seconds,
        'resident_kb_per_stream': (
            highest_kb - sum(item.resident_kb for item in before)
        )
        / streams,
        'threads_before': sum(item.threads for item in before),
        'threads': highest_threads,
        'tokens_per_s': told.tokens / told.seconds,
        'load_average': process_usage.load_average(),
    }
