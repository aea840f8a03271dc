"""Schema of the node settings; unknown keys are rejected."""

import enum
import ipaddress
import pathlib
from typing import Annotated

import pydantic

from ..core import types


def _check_ip(value: str) -> str:
    return str(ipaddress.IPv4Address(value))


Ipv4Address = Annotated[str, pydantic.AfterValidator(_check_ip)]
Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
Name = Annotated[
    str, pydantic.Field(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$')
]


class Section(pydantic.BaseModel):
    """Base class of all settings sections."""

    model_config = pydantic.ConfigDict(
        frozen=True, extra='forbid', allow_inf_nan=False
    )


class Endpoint(Section):
    """IP address and port as separate keys.

    Attributes
    ----------
    ip : str
        IPv4 address; host names are rejected.
    port : int
        TCP port.
    """

    ip: Ipv4Address
    port: Port

    def address(self) -> types.Address:
        """Return the endpoint as a core `Address`."""
        return types.Address(self.ip, self.port)

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'


class TraceExporter(enum.Enum):
    """Destination of trace spans."""

    NONE = 'none'
    FILE = 'file'


class Tracing(Section):
    """Export of trace spans.

    Attributes
    ----------
    exporter : TraceExporter
        `none` to disable export, `file` to write JSON lines.
    file : str
        File to which the `file` exporter appends JSON lines.
    sample_share : float
        Share of requests to trace among those without a sampled
        `traceparent`.
    """

    exporter: TraceExporter = TraceExporter.NONE
    file: str = ''
    sample_share: Annotated[float, pydantic.Field(ge=0, le=1)] = 1.0


class Tls(Section):
    """Certificate and key in PEM format, reloaded when the files change.

    Attributes
    ----------
    certificate_file, key_file : str
        Certificate chain and private key of this node.
    peer_ca_file : str
        CA certificate that verifies other nodes; if empty, only connections
        from callers use TLS.
    """

    certificate_file: str
    key_file: str
    peer_ca_file: str = ''


class Limits(Section):
    """Limits on connections and requests of callers.

    Attributes
    ----------
    threads : int
        Maximum concurrent requests; each stream occupies one thread.
    share_port : bool
        Whether several node processes of one host listen on the same port,
        with the kernel distributing connections between them.
    header_bytes, body_bytes : int
        Maximum size of the request head and of the body.
    idle_timeout_s : float
        Time after which an idle connection is closed.
    kept_answer_s : float
        Retention time of an answer after its caller's connection was lost.
    """

    threads: Annotated[int, pydantic.Field(ge=4, le=4096)] = 256
    share_port: bool = False
    header_bytes: Annotated[int, pydantic.Field(ge=1024)] = 32 * 1024
    body_bytes: Annotated[int, pydantic.Field(ge=1024)] = 1024 * 1024
    idle_timeout_s: Annotated[int, pydantic.Field(ge=1)] = 30
    kept_answer_s: Annotated[float, pydantic.Field(ge=0)] = 30.0


class Operator(Section):
    """Operator who is authorized before any configuration is in force.

    Attributes
    ----------
    token_sha256 : str
        Hexadecimal SHA-256 digest of the bearer token.
    """

    id: Name
    token_sha256: Annotated[str, pydantic.Field(pattern='^[0-9a-f]{64}$')]


class NodeSettings(Section):
    """Settings of one node daemon.

    Attributes
    ----------
    node_id : str
        Name of the node, unique among all running nodes.
    region, data_centre : str
        Location of the entry host.
    listen, peer_listen : Endpoint
        Listen address for callers and for other nodes; port 0 selects a free
        port and is useful in tests only.
    seeds : tuple of Endpoint
        Peer addresses to contact when joining; they need not all be up.
    table, objects, cloud, host_list : Endpoint
        Address of the platform service.
    peer_announce : Endpoint or None
        Address at which other nodes reach `peer_listen`, if different from
        it.
    host_id : str
        Id of the entry host in the cloud API, used to match its reclaim
        notice.
    peer_key_file : str
        File with the shared key for authentication between nodes.
    operators : list of Operator
        Operators authorized in addition to those of the configuration;
        required to publish the first configuration.
    fleet_control : bool
        Whether the node competes for the `fleet` lease; requires `cloud`.
    log_level : str
        Minimum severity of logged messages.
    limits, tracing, tls : sections
        See the table of the section; without `tls` all connections are
        unencrypted.
    stop_timeout_s : float
        Maximum time to wait for requests in progress during a graceful stop.
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
        # `cloud` is missing from `info.data` if it is invalid; that problem is
        # reported separately.
        if value and info.data.get('cloud', value) is None:
            raise ValueError('requires the key cloud')
        return value

    def advertised_address(self) -> types.Address | None:
        """Return the address advertised to peers; None for `peer_listen`."""
        return self.peer_announce.address() if self.peer_announce else None

    def peer_key(self) -> bytes:
        """Read the key for authentication between nodes.

        Raises
        ------
        OSError
            If the file can't be read.
        """
        return pathlib.Path(self.peer_key_file).read_bytes().strip()
