"""A whole deployment on loopback: platform, backend servers and nodes."""

import dataclasses
import socket
import time
from typing import Any, Mapping

import orjson
from returns import result

from . import balancer
from ..core import errors
from ..core import types
from . import local
from ..platform import http

READY_TIMEOUT_S = 30.0
POLL_S = 0.1
OPERATOR_TOKEN = 'demo-operator'
MACHINE_CLASS = 'small-gpu'
ENGINE_SLOTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What to start.

    Attributes
    ----------
    tokens_by_account : mapping
        Bearer token of each account.
    engine, service, table, cloud, weights, node : mapping
        Settings that replace the defaults of these processes.
    spare_engines : int
        Engines outside the document; the cloud stand-in gives their
        addresses to the hosts that are started later.
    rules : mapping
        Rules of the configuration document.
    """

    region: str
    data_centres: tuple[str, ...]
    nodes: int
    model_service: str
    model: str
    engines: int
    plain_service: str
    services: int
    tokens_by_account: Mapping[str, str]
    rules: Mapping[str, Any]
    engine: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    service: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    table: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    node: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    cloud: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    weights: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    spare_engines: int = 0


class Deployment:
    """Runs a plan; the processes belong to the given `LocalProcesses`."""

    def __init__(
        self,
        plan: Plan,
        processes: local.LocalProcesses,
        client: http.HttpClient,
    ) -> None:
        self.plan = plan
        self.processes = processes
        self.client = client
        self.document: dict[str, Any] = {}
        self._peer_ports: tuple[int, ...] = ()

    def start(self) -> None:
        """Start all processes and put the configuration in force."""
        self._start_backends()
        self._start_cloud()
        self._peer_ports = _free_ports(self.plan.nodes)
        self.processes.start_many(
            {
                name: (('node',), self.node_settings(number))
                for number, name in enumerate(self.node_names)
            }
        )
        self.document = self._document()
        self.apply(self.document, 0)
        self.wait_ready(len(self.node_names))

    @property
    def node_names(self) -> tuple[str, ...]:
        """Names of the nodes."""
        return tuple(
            f'entry-{number + 1}' for number in range(self.plan.nodes)
        )

    @property
    def engine_names(self) -> tuple[str, ...]:
        """Names of the model engines, which are their worker ids too."""
        return tuple(
            f'engine-{number + 1}' for number in range(self.plan.engines)
        )

    @property
    def service_names(self) -> tuple[str, ...]:
        """Names of the plain services, which are their worker ids too."""
        return tuple(
            f'app-{number + 1}' for number in range(self.plan.services)
        )

    @property
    def spare_names(self) -> tuple[str, ...]:
        """Names of the engines for hosts that are started later."""
        return tuple(
            f'spare-{number + 1}' for number in range(self.plan.spare_engines)
        )

    def address(self, name: str) -> types.Address:
        """Address of a process."""
        return self.processes.by_name[name].address

    def node_addresses(self) -> tuple[types.Address, ...]:
        """Addresses of all nodes for callers."""
        return tuple(self.address(name) for name in self.node_names)

    def node_settings(self, number: int) -> dict[str, Any]:
        """Settings of one node."""
        return {
            'node_id': self.node_names[number],
            'region': self.plan.region,
            'data_centre': self._data_centre(number),
            'listen': {'ip': local.LOOPBACK, 'port': 0},
            'peer_listen': _endpoint(self._peer_ports[number]),
            'seeds': [_endpoint(port) for port in self._peer_ports],
            'table': _endpoint(self.address('table').port),
            'objects': _endpoint(self.address('objects').port),
            'cloud': _endpoint(self.address('cloud').port),
            'host_list': _endpoint(self.address('hosts').port),
            'host_id': f'host-{self.node_names[number]}',
            'peer_key_file': str(self._peer_key_file()),
            'operators': [
                {
                    'id': 'demo',
                    'token_sha256': local.token_digest(OPERATOR_TOKEN),
                }
            ],
        } | dict(self.plan.node)

    def apply(
        self, document: Mapping[str, Any], base_version: int
    ) -> dict[str, Any]:
        """Put a document in force; tries until a node takes it.

        Raises
        ------
        RuntimeError
            The document was refused.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while True:
            version = max(base_version, self.current_version())
            answer = self.client.call(
                http.HttpRequest(
                    method='PUT',
                    peer=str(self.node_addresses()[0]),
                    path='/v1/operator/configuration',
                    step=errors.Step.PUBLISH_CONFIGURATION,
                    headers=(('Authorization', f'Bearer {OPERATOR_TOKEN}'),),
                    body=orjson.dumps(
                        {'base_version': version, 'document': document}
                    ),
                    first_byte_timeout_s=READY_TIMEOUT_S,
                )
            )
            match answer:
                case result.Success(response) if response.status == 200:
                    told: dict[str, Any] = orjson.loads(response.body)
                    return told
                case result.Success(response) if response.status == 422:
                    raise RuntimeError(response.body.decode())
            if time.monotonic() > deadline:
                raise RuntimeError(f'configuration not in force: {answer}')
            time.sleep(POLL_S)

    def current_version(self) -> int:
        """Version in force on the first node."""
        answer = self.client.call(
            http.HttpRequest(
                method='GET',
                peer=str(self.node_addresses()[0]),
                path='/v1/operator/configuration',
                step=errors.Step.PUBLISH_CONFIGURATION,
                headers=(('Authorization', f'Bearer {OPERATOR_TOKEN}'),),
            )
        )
        match answer:
            case result.Success(response) if response.status == 200:
                return int(orjson.loads(response.body)['version'])
            case _:
                return 0

    def status(self, node: str) -> dict[str, Any]:
        """Status of one node as operators see it."""
        answer = self.client.call(
            http.HttpRequest(
                method='GET',
                peer=str(self.address(node)),
                path='/v1/operator/status',
                step=errors.Step.PEER_EXCHANGE,
                headers=(('Authorization', f'Bearer {OPERATOR_TOKEN}'),),
            )
        ).unwrap()
        told: dict[str, Any] = orjson.loads(answer.body)
        return told

    def wait_ready(self, count: int) -> None:
        """Wait until `count` nodes are ready.

        Raises
        ------
        RuntimeError
            They were not ready in time.
        """
        addresses = balancer.AddressList(self.client, self.node_addresses(), 0)
        try:
            deadline = time.monotonic() + READY_TIMEOUT_S
            while len(addresses.ready) < count:
                if time.monotonic() > deadline:
                    raise RuntimeError(
                        f'{len(addresses.ready)} of {count} nodes are ready'
                    )
                time.sleep(POLL_S)
        finally:
            addresses.close()

    def host_of(self, worker: str) -> str:
        """Host of a worker."""
        return f'host-{worker}'

    def runs_by_key(self) -> dict[str, int]:
        """Runs of each key over all plain services that still answer."""
        total: dict[str, int] = {}
        for name in self.service_names:
            if not self.processes.by_name[name].running:
                continue
            runs = local.get_json(self.client, self.address(name), '/runs')
            for key, count in runs.items():
                total[key] = total.get(key, 0) + count
        return total

    def _start_backends(self) -> None:
        # Known before its start, so that all these start side by side.
        (port,) = _free_ports(1)
        weights = types.Address(local.LOOPBACK, port)
        engines = {
            name: (
                ('standin', 'engine'),
                {'worker_id': name, 'seed': number, 'weights': str(weights)}
                | dict(self.plan.engine),
            )
            for number, name in enumerate(self.engine_names + self.spare_names)
        }
        services = {
            name: (('standin', 'service'), dict(self.plan.service))
            for name in self.service_names
        }
        platform = {
            'weights': (
                ('standin', 'weights'),
                {'port': port} | dict(self.plan.weights),
            ),
            'table': (('standin', 'table'), dict(self.plan.table)),
            'objects': (('standin', 'objects'), {}),
        }
        self.processes.start_many({**engines, **services, **platform})

    def _start_cloud(self) -> None:
        workers = self.engine_names + self.service_names
        (port,) = _free_ports(1)
        cloud = types.Address(local.LOOPBACK, port)
        self.processes.start_many(
            {
                'cloud': (
                    ('standin', 'cloud'),
                    {
                        'port': port,
                        'hosts': [
                            self._cloud_host(name, number)
                            for number, name in enumerate(
                                (*workers, *self.node_names)
                            )
                        ],
                        'backends': [
                            _endpoint(self.address(name).port)
                            | {
                                'service': self.plan.model_service,
                                'slots': ENGINE_SLOTS,
                            }
                            for name in self.spare_names
                        ],
                    }
                    | dict(self.plan.cloud),
                ),
                'hosts': (('standin', 'hosts'), {'cloud': str(cloud)}),
            }
        )

    def _cloud_host(self, name: str, number: int) -> dict[str, Any]:
        return {
            'id': self.host_of(name),
            'zone': self._data_centre(number),
            'machine_class': MACHINE_CLASS,
            'pricing': 'reclaimable',
            'service': (
                self.plan.model_service
                if name in self.engine_names
                else self.plan.plain_service
                if name in self.service_names
                else 'entry'
            ),
        }

    def _data_centre(self, number: int) -> str:
        return self.plan.data_centres[number % len(self.plan.data_centres)]

    def _peer_key_file(self) -> Any:
        path = self.processes.folder / 'peer.key'
        if not path.exists():
            path.write_text('0123456789abcdef0123456789abcdef')
        return path

    def _document(self) -> dict[str, Any]:
        plan = self.plan
        return {
            'services': [
                {
                    'name': plan.model_service,
                    'kind': 'model_engine',
                    'models': [plan.model],
                },
                {'name': plan.plain_service, 'kind': 'plain_service'},
            ],
            'accounts': [
                {'id': account, 'token_sha256': local.token_digest(token)}
                for account, token in plan.tokens_by_account.items()
            ],
            'hosts': [
                self._host(name, number, plan.model_service, ENGINE_SLOTS)
                for number, name in enumerate(self.engine_names)
            ]
            + [
                self._host(name, number + plan.engines, plan.plain_service, 8)
                for number, name in enumerate(self.service_names)
            ],
            'rules': dict(plan.rules),
        }

    def _host(
        self, name: str, number: int, service: str, slots: int
    ) -> dict[str, Any]:
        return {
            'id': self.host_of(name),
            'data_centre': self._data_centre(number),
            'machine_class': MACHINE_CLASS,
            'pricing': 'reclaimable',
            'price_per_hour': 1.0,
            'workers': [
                {
                    'id': name,
                    'service': service,
                    'ip': local.LOOPBACK,
                    'port': self.address(name).port,
                    'slots': slots,
                }
            ],
        }


def _endpoint(port: int) -> dict[str, Any]:
    return {'ip': local.LOOPBACK, 'port': port}


def _free_ports(count: int) -> tuple[int, ...]:
    """Find ports that are free now; the peers need them before the start."""
    sockets = [socket.create_server((local.LOOPBACK, 0)) for _ in range(count)]
    ports = tuple(item.getsockname()[1] for item in sockets)
    for item in sockets:
        item.close()
    return ports
