"""Measures orders and token streams by rate."""

from concurrent import futures
import contextlib
import dataclasses
import itertools
import pathlib
import threading
import time
from typing import Any, Iterator

from . import callers
from . import capacity_deployment
from ..core import types
from . import demo
from ..infrastructure import http
from . import local
from . import process_usage
from ..standins import ports
from . import token_sink

ORDER_NODES = 7
ORDER_SERVICES = 4
ORDER_THREADS = 96
STREAM_TOKEN_INTERVAL_S = 0.035
STREAM_TIMEOUT_S = 60.0
STREAM_THREADS = 700
STREAM_SLOTS = 4096
STREAM_ACCOUNT = 'fitters'
# After streams of one token a node estimates that answers are slow, and would
# refuse long answers that have a typical deadline.
STREAM_DEADLINE_S = 3600.0
IDLE_WINDOW_S = 1.0
SAMPLE_INTERVAL_S = 0.1


class _RoundRobin:
    """Selects the addresses in round-robin order."""

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
    """Send orders at each of the given rates to 7 nodes."""
    client = http.HttpClient('capacity')
    try:
        with (
            local.local_processes(folder) as processes,
            futures.ThreadPoolExecutor(ORDER_THREADS) as pool,
        ):
            running = capacity_deployment.MeasuredDeployment(
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
            caller = callers.Caller(
                client, _RoundRobin(running.node_addresses())
            )
            idle = running.measure(seconds)
            return [
                _measure_orders_at_rate(
                    running, caller, pool, rate, seconds, idle
                )
                for rate in rates_per_s
            ]
    finally:
        client.close()


def _measure_orders_at_rate(
    running: capacity_deployment.MeasuredDeployment,
    caller: callers.Caller,
    pool: futures.ThreadPoolExecutor,
    rate_per_s: float,
    seconds: float,
    idle: capacity_deployment.Rates,
) -> dict[str, Any]:
    before = running.read()
    started_at = time.monotonic()
    pending = []
    for number in range(int(rate_per_s * seconds)):
        due_at = started_at + number / rate_per_s
        time.sleep(max(0.0, due_at - time.monotonic()))
        pending.append(
            pool.submit(
                caller.call_service,
                demo.FRONT_DESK,
                demo.PLAN.plain_service,
                'POST',
                '/visits',
                f'order-{rate_per_s:g}-{number}',
            )
        )
    records = [call.result() for call in pending]
    after = running.read()
    elapsed_s = time.monotonic() - started_at
    during = capacity_deployment.rates(before, after)
    answered = sum(
        record.end is callers.CallEnd.ANSWERED for record in records
    )
    writes = after.table['writes'] - before.table['writes']
    items = after.table['items'] - before.table['items']
    latencies_s = sorted(item.ended_at - item.started_at for item in records)
    cpu_s = (during.cpu_share - idle.cpu_share) * ORDER_NODES * elapsed_s
    return {
        'rate_per_s': len(records) / elapsed_s,
        'orders': len(records),
        'answered': answered,
        'writes': writes,
        'items': items,
        'writes_per_order': writes / len(records),
        'items_per_order': items / len(records),
        'items_per_write': items / max(1, writes),
        'writes_per_s': writes / elapsed_s,
        'cpu_s_per_order': cpu_s / len(records),
        'p50_s': latencies_s[len(latencies_s) // 2],
        'p95_s': latencies_s[int(len(latencies_s) * 0.95)],
        'load_average': process_usage.load_average(),
    }


@contextlib.contextmanager
def relay_nodes(
    folder: pathlib.Path, processes: int
) -> Iterator[capacity_deployment.MeasuredDeployment]:
    """Run node processes that share one port, with a token source behind."""
    client = http.HttpClient('capacity')
    try:
        with (
            capacity_deployment.run_module(
                'token_source', '--interval', str(STREAM_TOKEN_INTERVAL_S)
            ) as (source, _),
            local.local_processes(folder) as started,
        ):
            shared_port = ports.reserve(1)[0]
            running = _SharedPortDeployment(
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


class _SharedPortDeployment(capacity_deployment.MeasuredDeployment):
    """Node processes that share one address.

    A request to the address reaches any of them, so the status of each node
    cannot be read.
    """

    def wait_ready(self, count: int) -> None:
        """Apply the document again and wait until all nodes have it."""
        self.apply(self.document, self.current_version())

    def usage(self) -> list[process_usage.Usage]:
        """Read the CPU time and memory of each process."""
        return [
            process_usage.read(self.processes.by_name[name].process.pid)
            for name in self.node_names
        ]


def measure_streams(
    running: Any, streams: int, tokens: int, warm_up: int
) -> dict[str, Any]:
    """Read streams to their end and measure the nodes meanwhile."""
    idle_before = running.usage()
    time.sleep(IDLE_WINDOW_S)
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
        peak_kb, peak_threads = 0, 0
        while not call.done():
            now = running.usage()
            peak_kb = max(peak_kb, sum(item.resident_kb for item in now))
            peak_threads = max(peak_threads, sum(item.threads for item in now))
            time.sleep(SAMPLE_INTERVAL_S)
        delays = call.result()
    after = running.usage()
    cpu_s = sum(
        late.cpu_s - early.cpu_s for early, late in zip(before, after)
    ) - idle_share * (after[0].at - before[0].at)
    return dataclasses.asdict(delays) | {
        'processes': len(after),
        'tokens_per_stream': tokens,
        'cpu_s': cpu_s,
        'cores': cpu_s / delays.seconds,
        'resident_kb_per_stream': (
            peak_kb - sum(item.resident_kb for item in before)
        )
        / streams,
        'threads_before': sum(item.threads for item in before),
        'threads': peak_threads,
        'tokens_per_s': delays.tokens / delays.seconds,
        'load_average': process_usage.load_average(),
    }
