"""Deployments with measured nodes, and the load programs they need."""

import contextlib
import dataclasses
import os
import re
import select
import subprocess
import sys
import time
from typing import Any, Iterator, Mapping, Sequence

from returns import result

from ..core import errors
from ..core import types
from . import deployment
from ..infrastructure import http
from . import local
from . import process_usage

START_TIMEOUT_S = 20.0
READY_TIMEOUT_S = 90.0
POLL_INTERVAL_S = 0.2
DEFAULT_SLOTS = 16
PEER_GAUGE_PATTERN = re.compile(
    r'^hornbeamrudder_state\{name="peers_(\w+)"\} (\S+)$', re.MULTILINE
)


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Counters of all nodes and of the table service at one time."""

    usage_by_node: Mapping[str, process_usage.Usage]
    traffic_by_node: Mapping[str, Mapping[str, float]]
    table: Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Mean per node between two readings; rates are per second.

    Attributes
    ----------
    cpu_share : float
        Fraction of one core.
    table_reads, table_writes : float
        Total of all nodes.
    """

    cpu_share: float
    bytes_sent: float
    bytes_received: float
    messages_sent: float
    table_reads: float
    table_writes: float
    resident_kb: float
    threads: float
    load_average: float


class MeasuredDeployment(deployment.Deployment):
    """A deployment whose workers need no process of their own.

    The document lists one worker for each of the given ports.
    """

    def __init__(
        self,
        plan: deployment.Plan,
        processes: local.LocalProcesses,
        client: http.HttpClient,
        engine_ports: Sequence[int] = (),
        service_ports: Sequence[int] = (),
        slots: int = DEFAULT_SLOTS,
    ) -> None:
        super().__init__(plan, processes, client)
        self._engine_ports = tuple(engine_ports)
        self._service_ports = tuple(service_ports)
        self._slots = slots

    def wait_ready(self, count: int) -> None:
        """Wait until all nodes report one settled version and admit requests.

        Raises
        ------
        RuntimeError
            The nodes were not ready within `READY_TIMEOUT_S`.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while True:
            statuses = [self.status(name) for name in self.node_names]
            versions = {item['settled_version'] for item in statuses}
            if (
                len(versions) == 1
                and all(item['may_admit'] for item in statuses)
                and all(len(item['nodes']) == count for item in statuses)
            ):
                return
            if time.monotonic() > deadline:
                admitting = sum(item['may_admit'] for item in statuses)
                raise RuntimeError(
                    f'{admitting} of {count} nodes admit requests after'
                    f' {READY_TIMEOUT_S:g} s'
                )
            time.sleep(POLL_INTERVAL_S)

    def read(self) -> Reading:
        """Read CPU time, memory and counters."""
        return Reading(
            {
                name: process_usage.read(
                    self.processes.by_name[name].process.pid
                )
                for name in self.node_names
            },
            {name: self.traffic(name) for name in self.node_names},
            local.get_json(self.client, self.address('table'), '/counts'),
        )

    def traffic(self, node: str) -> dict[str, float]:
        """Read the counters of peer traffic from `/metrics`."""
        http_result = self.client.call(
            http.HttpRequest(
                method='GET',
                peer=str(self.address(node)),
                path='/metrics',
                step=errors.Step.PEER_EXCHANGE,
            )
        )
        match http_result:
            case result.Success(response):
                return {
                    name: float(value)
                    for name, value in PEER_GAUGE_PATTERN.findall(
                        response.body.decode()
                    )
                }
            case _:
                raise RuntimeError(
                    f'GET /metrics from {node} failed: {http_result}'
                )

    def measure(self, seconds: float) -> Rates:
        """Measure the mean rates over a period."""
        before = self.read()
        time.sleep(seconds)
        return rates(before, self.read())

    def _document(self) -> dict[str, Any]:
        document = super()._document()
        ports_by_service = (
            (self.plan.model_service, self._engine_ports),
            (self.plan.plain_service, self._service_ports),
        )
        document['hosts'] += [
            {
                'id': f'host-{service}-{port}',
                'data_centre': self.plan.data_centres[0],
                'machine_class': deployment.MACHINE_CLASS,
                'pricing': 'reclaimable',
                'price_per_hour': 1.0,
                'workers': [
                    {
                        'id': f'{service}-{port}',
                        'service': service,
                        'ip': local.LOOPBACK,
                        'port': port,
                        'slots': self._slots,
                    }
                ],
            }
            for service, ports in ports_by_service
            for port in ports
        ]
        return document


def rates(before: Reading, after: Reading) -> Rates:
    """Calculate the mean rates between two readings."""
    names = tuple(after.usage_by_node)
    count = len(names)

    def seconds(name: str) -> float:
        return after.usage_by_node[name].at - before.usage_by_node[name].at

    def traffic(counter: str) -> float:
        return (
            sum(
                (
                    after.traffic_by_node[name].get(counter, 0.0)
                    - before.traffic_by_node[name].get(counter, 0.0)
                )
                / seconds(name)
                for name in names
            )
            / count
        )

    def table(counter: str) -> float:
        return (after.table[counter] - before.table[counter]) / seconds(
            names[-1]
        )

    return Rates(
        cpu_share=sum(
            (
                after.usage_by_node[name].cpu_s
                - before.usage_by_node[name].cpu_s
            )
            / seconds(name)
            for name in names
        )
        / count,
        bytes_sent=traffic('bytes_sent'),
        bytes_received=traffic('bytes_received'),
        messages_sent=traffic('messages_sent'),
        table_reads=table('reads'),
        table_writes=table('writes'),
        resident_kb=sum(
            item.resident_kb for item in after.usage_by_node.values()
        )
        / count,
        threads=sum(item.threads for item in after.usage_by_node.values())
        / count,
        load_average=process_usage.load_average(),
    )


@contextlib.contextmanager
def run_module(
    module: str, *arguments: str
) -> Iterator[tuple[types.Address, Any]]:
    """Run a module of this package; yields its address and its stdout."""
    process = subprocess.Popen(
        [sys.executable, '-m', f'hornbeamrudder.bench.{module}', *arguments],
        stdout=subprocess.PIPE,
        text=True,
        env=os.environ | {'PYTHONPATH': os.pathsep.join(sys.path)},
    )
    try:
        assert process.stdout is not None
        readable, _, _ = select.select(
            [process.stdout], [], [], START_TIMEOUT_S
        )
        line = process.stdout.readline() if readable else ''
        if not line.startswith(local.LISTENING_PREFIX):
            raise RuntimeError(
                f'{module} reported no listening address: {line!r}'
            )
        ip, _, port = (
            line.removeprefix(local.LISTENING_PREFIX).strip().partition(':')
        )
        yield types.Address(ip, int(port)), process.stdout
    finally:
        process.kill()
        process.wait()


@contextlib.contextmanager
def load_source(count: int) -> Iterator[tuple[int, ...]]:
    """Run backend servers that only report load; yields their ports."""
    with run_module('load_source', '--count', str(count)) as (_, output):
        yield tuple(int(port) for port in output.readline().split())
