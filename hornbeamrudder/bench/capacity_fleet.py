"""Deployments whose nodes are measured, and programs beside them."""

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
POLL_S = 0.2
SLOTS = 16
GAUGE = re.compile(
    r'^hornbeamrudder_state\{name="peers_(\w+)"\} (\S+)$', re.MULTILINE
)


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Totals of all nodes and of the table service at one moment."""

    usage_by_node: Mapping[str, process_usage.Usage]
    traffic_by_node: Mapping[str, Mapping[str, float]]
    table: Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Mean of the nodes between two readings; rates are per second.

    Attributes
    ----------
    cpu_share : float
        Share of one core.
    table_reads, table_writes : float
        Of all nodes together.
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
    """A deployment whose workers may be listed without own processes."""

    def __init__(
        self,
        plan: deployment.Plan,
        processes: local.LocalProcesses,
        client: http.HttpClient,
        engine_ports: Sequence[int] = (),
        service_ports: Sequence[int] = (),
        slots: int = SLOTS,
    ) -> None:
        super().__init__(plan, processes, client)
        self._engine_ports = tuple(engine_ports)
        self._service_ports = tuple(service_ports)
        self._slots = slots

    def wait_ready(self, count: int) -> None:
        """Wait until every node knows that its version is in force.

        Raises
        ------
        RuntimeError
            They were not ready in time.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while True:
            seen = [self.status(name) for name in self.node_names]
            versions = {item['settled_version'] for item in seen}
            if (
                len(versions) == 1
                and all(item['may_admit'] for item in seen)
                and all(len(item['nodes']) == count for item in seen)
            ):
                return
            if time.monotonic() > deadline:
                admitting = sum(item['may_admit'] for item in seen)
                raise RuntimeError(f'{admitting} of {count} nodes admit')
            time.sleep(POLL_S)

    def read(self) -> Reading:
        """Read processor time, memory and counters."""
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
        """Counters of the traffic between nodes, from `/metrics`."""
        answer = self.client.call(
            http.HttpRequest(
                method='GET',
                peer=str(self.address(node)),
                path='/metrics',
                step=errors.Step.PEER_EXCHANGE,
            )
        )
        match answer:
            case result.Success(response):
                return {
                    name: float(value)
                    for name, value in GAUGE.findall(response.body.decode())
                }
            case _:
                raise RuntimeError(f'no metrics of {node}: {answer}')

    def measure(self, seconds: float) -> Rates:
        """Measure the nodes for a time."""
        before = self.read()
        time.sleep(seconds)
        return rates(before, self.read())

    def _document(self) -> dict[str, Any]:
        document = super()._document()
        listed = (
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
            for service, ports in listed
            for port in ports
        ]
        return document


def rates(before: Reading, after: Reading) -> Rates:
    """Mean rates of the nodes between two readings."""
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
def program(module: str, *words: str) -> Iterator[tuple[types.Address, Any]]:
    """Run a program of this package; gives its address and its output."""
    process = subprocess.Popen(
        [sys.executable, '-m', f'hornbeamrudder.bench.{module}', *words],
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
        if not line.startswith(local.LISTENING):
            raise RuntimeError(f'{module} did not start: {line!r}')
        ip, _, port = line.removeprefix(local.LISTENING).strip().partition(':')
        yield types.Address(ip, int(port)), process.stdout
    finally:
        process.kill()
        process.wait()


@contextlib.contextmanager
def load_source(count: int) -> Iterator[tuple[int, ...]]:
    """Run backend servers that only report load; gives their ports."""
    with program('load_source', '--count', str(count)) as (_, output):
        yield tuple(int(port) for port in output.readline().split())
