"""A complete deployment on loopback: platform, backend servers and nodes."""

import collections
import dataclasses
import time
from typing import Any, Mapping

import orjson
from returns import result

from . import balancer
from ..core import errors
from ..core import types
from ..infrastructure import http
from . import local
from ..standins import ports

READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
OPERATOR_TOKEN = 'demo-operator'
MACHINE_CLASS = 'small-gpu'
ENGINE_SLOTS = 16
SERVICE_SLOTS = 8
PEER_KEY = '0123456789abcdef0123456789abcdef'


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Processes of a deployment and their settings.

    Attributes
    ----------
    tokens_by_account : mapping
        Bearer token of each account.
    engine, service, table, cloud, weights, node : mapping
        Settings that override the defaults of these processes.
    spare_engines : int
        Engines that are not in the document; the cloud stand-in assigns
        their addresses to hosts that are started later.
    rules : mapping
        Rules of the configuration document.
    relays : tuple of str
        Connections that pass through a relay: the name of a backend server
        for all connections to it, `<node>:peers` for connections from other
        nodes to a node, and `<node>:table`, `<node>:cloud` or `<node>:hosts`
        for connections from a node to the platform.
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
    relays: tuple[str, ...] = ()
    cloud: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    weights: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    spare_engines: int = 0


class Deployment:
    """Runs a plan; the given `LocalProcesses` stops its processes."""

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
        self._caller_ports: tuple[int, ...] = ()
        self._relay_ports_by_link: dict[str, int] = {}

    def start(self) -> None:
        """Start all processes and apply the configuration."""
        self._start_backends()
        self._start_cloud()
        # Nodes need the ports of their peers before they start.
        self._peer_ports = ports.reserve(self.plan.nodes)
        self._caller_ports = ports.reserve(self.plan.nodes)
        self._start_relays()
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
        """Names of the model engines, equal to their worker ids."""
        return tuple(
            f'engine-{number + 1}' for number in range(self.plan.engines)
        )

    @property
    def service_names(self) -> tuple[str, ...]:
        """Names of the plain services, equal to their worker ids."""
        return tuple(
            f'app-{number + 1}' for number in range(self.plan.services)
        )

    @property
    def spare_names(self) -> tuple[str, ...]:
        """Names of the engines of hosts that are started later."""
        return tuple(
            f'spare-{number + 1}' for number in range(self.plan.spare_engines)
        )

    def address(self, name: str) -> types.Address:
        """Address of a process."""
        return self.processes.by_name[name].address

    def node_addresses(self) -> tuple[types.Address, ...]:
        """Addresses of all nodes at which callers connect."""
        return tuple(self.address(name) for name in self.node_names)

    def node_settings(self, number: int) -> dict[str, Any]:
        """Settings of one node."""
        return {
            'node_id': self.node_names[number],
            'region': self.plan.region,
            'data_centre': self._data_centre(
                self.plan.engines + self.plan.services + number
            ),
            'listen': _endpoint(self._caller_ports[number]),
            'peer_listen': _endpoint(self._peer_ports[number]),
            'peer_announce': _endpoint(self._peer_port(number)),
            'seeds': [
                _endpoint(self._peer_port(other))
                for other in range(self.plan.nodes)
            ],
            'table': _endpoint(self._platform_port(number, 'table')),
            'objects': _endpoint(self.address('objects').port),
            'cloud': _endpoint(self._platform_port(number, 'cloud')),
            'host_list': _endpoint(self._platform_port(number, 'hosts')),
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
        """Apply a document, with retries until a node accepts it.

        Raises
        ------
        RuntimeError
            The document was rejected, or it was not in force within
            `READY_TIMEOUT_S`.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while True:
            version = max(base_version, self.current_version())
            http_result = self.client.call(
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
            match http_result:
                case result.Success(response) if response.status == 200:
                    response_body: dict[str, Any] = orjson.loads(response.body)
                    return response_body
                case result.Success(response) if response.status == 422:
                    raise RuntimeError(response.body.decode())
            if time.monotonic() > deadline:
                raise RuntimeError(
                    f'configuration not in force within {READY_TIMEOUT_S:g} s:'
                    f' {http_result}'
                )
            time.sleep(POLL_INTERVAL_S)

    def current_version(self) -> int:
        """Version in force on the first node; 0 if the node has none."""
        http_result = self.client.call(
            http.HttpRequest(
                method='GET',
                peer=str(self.node_addresses()[0]),
                path='/v1/operator/configuration',
                step=errors.Step.PUBLISH_CONFIGURATION,
                headers=(('Authorization', f'Bearer {OPERATOR_TOKEN}'),),
            )
        )
        match http_result:
            case result.Success(response) if response.status == 200:
                return int(orjson.loads(response.body)['version'])
            case _:
                return 0

    def status(self, node: str) -> dict[str, Any]:
        """Read the status of one node from its operator interface."""
        response = self.client.call(
            http.HttpRequest(
                method='GET',
                peer=str(self.address(node)),
                path='/v1/operator/status',
                step=errors.Step.PEER_EXCHANGE,
                headers=(('Authorization', f'Bearer {OPERATOR_TOKEN}'),),
            )
        ).unwrap()
        response_body: dict[str, Any] = orjson.loads(response.body)
        return response_body

    def wait_ready(self, count: int) -> None:
        """Wait until `count` nodes are ready.

        Raises
        ------
        RuntimeError
            The nodes were not ready within `READY_TIMEOUT_S`.
        """
        addresses = balancer.AddressList(self.client, self.node_addresses(), 0)
        try:
            deadline = time.monotonic() + READY_TIMEOUT_S
            while len(addresses.ready) < count:
                if time.monotonic() > deadline:
                    raise RuntimeError(
                        f'{len(addresses.ready)} of {count} nodes are ready'
                        f' after {READY_TIMEOUT_S:g} s'
                    )
                time.sleep(POLL_INTERVAL_S)
        finally:
            addresses.close()

    def host_of(self, worker: str) -> str:
        """Id of the host of a worker or a node."""
        return f'host-{worker}'

    def relay(self, link: str, **faults: Any) -> None:
        """Set the faults of a connection's relay."""
        local.control(self.client, self.address(relay_name(link)), faults)

    def runs_by_key(self) -> collections.Counter[str]:
        """Count executions per caller's key in the logs of plain services.

        The key is the last segment of the path, because a service receives
        the request id in place of the key. Logs of killed services are
        included.
        """
        return collections.Counter(
            line.rpartition('/')[2]
            for name in self.service_names
            for line in self.processes.log_text(name).splitlines()
            if line.startswith('run /')
        )

    def _start_backends(self) -> None:
        # The engines need this port in their settings; choosing it in advance
        # lets all processes start concurrently.
        (port,) = ports.reserve(1)
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
        (port,) = ports.reserve(1)
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

    def _start_relays(self) -> None:
        links = self.plan.relays
        self._relay_ports_by_link = dict(zip(links, ports.reserve(len(links))))
        self.processes.start_many(
            {
                relay_name(link): (
                    ('standin', 'relay'),
                    {
                        'listen': f'{local.LOOPBACK}:{port}',
                        'target': (
                            f'{local.LOOPBACK}:{self._relay_target_port(link)}'
                        ),
                    },
                )
                for link, port in self._relay_ports_by_link.items()
            }
        )

    def _relay_target_port(self, link: str) -> int:
        name, _, destination = link.partition(':')
        if destination == 'peers':
            return self._peer_ports[self.node_names.index(name)]
        return self.address(destination or name).port

    def _peer_port(self, number: int) -> int:
        return self._relay_ports_by_link.get(
            f'{self.node_names[number]}:peers', self._peer_ports[number]
        )

    def _platform_port(self, number: int, service: str) -> int:
        return self._relay_ports_by_link.get(
            f'{self.node_names[number]}:{service}', self.address(service).port
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
            path.write_text(PEER_KEY)
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
                self._host_entry(
                    name, number, plan.model_service, ENGINE_SLOTS
                )
                for number, name in enumerate(self.engine_names)
            ]
            + [
                self._host_entry(
                    name,
                    number + plan.engines,
                    plan.plain_service,
                    SERVICE_SLOTS,
                )
                for number, name in enumerate(self.service_names)
            ],
            'rules': dict(plan.rules),
        }

    def _host_entry(
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
                    'port': self._relay_ports_by_link.get(
                        name, self.address(name).port
                    ),
                    'slots': slots,
                }
            ],
        }


def relay_name(link: str) -> str:
    """Name of the relay process of a connection."""
    return f'relay-{link.replace(":", "-")}'


def _endpoint(port: int) -> dict[str, Any]:
    return {'ip': local.LOOPBACK, 'port': port}
