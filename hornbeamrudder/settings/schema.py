"""Settings of a node, checked by pydantic; unknown keys are refused."""

import enum
import ipaddress
import pathlib
from typing import Annotated

import pydantic

from ..core import types


def _check_ip(value: str) -> str:
    return str(ipaddress.IPv4Address(value))


IpNumber = Annotated[str, pydantic.AfterValidator(_check_ip)]
Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
Name = Annotated[
    str, pydantic.Field(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$')
]


class Section(pydantic.BaseModel):
    """Base of all parts of the settings."""

    model_config = pydantic.ConfigDict(
        frozen=True, extra='forbid', allow_inf_nan=False
    )


class Endpoint(Section):
    """IP number and port, written as two keys.

    Attributes
    ----------
    ip : str
        IPv4 number; names are refused.
    port : int
        TCP port.
    """

    ip: IpNumber
    port: Port

    def address(self) -> types.Address:
        """The same as a core type."""
        return types.Address(self.ip, self.port)

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'


class TraceExporter(enum.Enum):
    """Where spans go."""

    NONE = 'none'
    FILE = 'file'


class Tracing(Section):
    """Export of trace spans.

    Attributes
    ----------
    exporter : TraceExporter
        `none`, or `file` for JSON lines.
    file : str
        JSON lines are appended here; for the `file` exporter.
    sample_share : float
        Share of the requests without a sampled `traceparent` to trace.
    """

    exporter: TraceExporter = TraceExporter.NONE
    file: str = ''
    sample_share: Annotated[float, pydantic.Field(ge=0, le=1)] = 1.0


class Tls(Section):
    """Certificate and key in PEM files, read again when they change.

    Attributes
    ----------
    certificate_file, key_file : str
        Chain and private key of this node.
    peer_ca_file : str
        Authority of the other nodes' certificates; without it only the
        connections of callers use TLS.
    """

    certificate_file: str
    key_file: str
    peer_ca_file: str = ''


class Limits(Section):
    """Limits on what a node takes from callers.

    Attributes
    ----------
    threads : int
        Requests served at once; a stream occupies one thread.
    share_port : bool
        Several node processes of one host listen on the same port, and the
        kernel divides the callers' connections between them.
    header_bytes, body_bytes : int
        Largest request head and body.
    idle_timeout_s : float
        A caller's connection without traffic is closed after this.
    kept_answer_s : float
        How long an answer is kept for a caller that lost its connection.
    """

    threads: Annotated[int, pydantic.Field(ge=4, le=4096)] = 256
    share_port: bool = False
    header_bytes: Annotated[int, pydantic.Field(ge=1024)] = 32 * 1024
    body_bytes: Annotated[int, pydantic.Field(ge=1024)] = 1024 * 1024
    idle_timeout_s: Annotated[int, pydantic.Field(ge=1)] = 30
    kept_answer_s: Annotated[float, pydantic.Field(ge=0)] = 30.0


class Operator(Section):
    """An operator who may call before any configuration is in force.

    Attributes
    ----------
    token_sha256 : str
        SHA-256 of the bearer token, in hexadecimal.
    """

    id: Name
    token_sha256: Annotated[str, pydantic.Field(pattern='^[0-9a-f]{64}$')]


class NodeSettings(Section):
    """Settings of one node daemon.

    Attributes
    ----------
    node_id : str
        Name of the node, unique among all nodes that run.
    region, data_centre : str
        Where the entry host stands.
    listen, peer_listen : Endpoint
        Where callers and other nodes connect; port 0 lets the kernel
        choose, which only tests can use.
    seeds : tuple of Endpoint
        Peer addresses of entry hosts that may be up.
    table, objects, cloud, host_list : Endpoint
        The platform's services.
    peer_announce : Endpoint or None
        Where other nodes reach `peer_listen`, if not by its own address.
    host_id : str
        Id of the entry host in the cloud API, for its reclaim notice.
    peer_key_file : str
        File with the key by which nodes authenticate each other.
    operators : list of Operator
        Operators who may call besides those of the configuration; needed
        for the first configuration.
    fleet_control : bool
        Whether the node competes for the `fleet` lease; needs `cloud`.
    log_level : str
        Least level of the lines in the log.
    limits, tracing, tls : sections
        See the tables of these sections; without `tls` all connections are
        in plain text.
    stop_timeout_s : float
        Longest wait for work in progress on a graceful stop.
    """

    node_id: Name
    region: Name
    data_centre: Name
    listen: Endpoint
    peer_listen: Endpoint
    peer_announce: Endpoint | None = None
    table: Endpoint
    objects: Endpoint | None = None
    cloud: Endpoint | None = None
    host_list: Endpoint | None = None
    host_id: Name | None = None
    seeds: tuple[Endpoint, ...] = ()
    peer_key_file: str
    operators: tuple[Operator, ...] = ()
    fleet_control: bool = False
    log_level: Annotated[
        str, pydantic.Field(pattern='^(debug|info|warning|error)$')
    ] = 'info'
    stop_timeout_s: Annotated[float, pydantic.Field(gt=0)] = 600.0
    limits: Limits = Limits()
    tracing: Tracing = Tracing()
    tls: Tls | None = None

    @pydantic.field_validator('fleet_control')
    @classmethod
    def _check_fleet_control(
        cls, value: bool, info: pydantic.ValidationInfo
    ) -> bool:
        # An invalid `cloud` is absent here and has a problem of its own.
        if value and info.data.get('cloud', value) is None:
            raise ValueError('needs the key cloud')
        return value

    def announced(self) -> types.Address | None:
        """Where other nodes reach this one, None for `peer_listen`."""
        return self.peer_announce.address() if self.peer_announce else None

    def peer_key(self) -> bytes:
        """Read the peer key.

        Raises
        ------
        OSError
            The file can't be read.
        """
        return pathlib.Path(self.peer_key_file).read_bytes().strip()
