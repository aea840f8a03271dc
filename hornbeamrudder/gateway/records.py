"""Immutable data types of the request path."""

import dataclasses
import enum
from typing import Iterable, Mapping, NewType

from ..core import ids
from ..core import types
from ..rollouts import state as rollout_state

RouteName = NewType('RouteName', str)
# Process start of a backend server, in Unix milliseconds. It distinguishes
# successive processes with the same id.
StartedMs = NewType('StartedMs', int)


class RetrySafety(enum.Enum):
    """Whether a request may be executed more than once."""

    SAFE = 'safe'
    AT_MOST_ONCE = 'at most once'
    STREAM = 'stream'


class ServerState(enum.Enum):
    """State of a backend server in its registration."""

    READY = 'ready'
    LEAVING = 'leaving'


class ServiceKind(enum.Enum):
    """Kind of the backend servers of a service."""

    ENGINE = 'engine'
    PLAIN = 'plain'


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Mapping of a host and path prefix to services.

    Attributes
    ----------
    weight_by_service : mapping
        Share of the requests for each service.
    timeout_s : float
        Time from the arrival of a request to its deadline.
    target_s : float
        Target time; a later response has a reduced value.
    gap_target_s : float
        Target for the gap between events of a stream; 0 if unknown.
    rank : int
        Priority; 0 is served first.
    max_servers : int
        Maximum number of backend servers to which one request is sent.
    resumable : bool
        Whether a stream may be resumed at another backend server.
    """

    name: RouteName
    host: str
    path_prefix: str
    retry_safety: RetrySafety
    weight_by_service: Mapping[ids.ServiceName, float]
    timeout_s: float
    target_s: float
    gap_target_s: float = 0.0
    rank: int = 0
    max_servers: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def retryable(self) -> bool:
        """Whether a request that may have been executed may be retried."""
        match self.retry_safety:
            case RetrySafety.SAFE:
                return True
            case RetrySafety.STREAM:
                return self.resumable
            case _:
                return False


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Operator's settings for the model engines of a service.

    Attributes
    ----------
    tokens_per_event : int
        Output tokens in one event of a stream.
    can_move : bool
        Whether a running request can be moved to another engine together
        with its KV cache.
    """

    slots: int
    kv_cache_tokens: int
    tokens_per_event: int = 1
    can_move: bool = False
    can_back_up: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Scaling:
    """Bounds on the number of backend servers in each data centre.

    Attributes
    ----------
    boot_s : float
        Time from an order until a new backend server is ready.
    reclaimable_price : float
        Price of a reclaimable backend server as a share of the price of an
        on-demand one.
    price_by_data_centre : mapping
        Price of an on-demand backend server per second.
    """

    min_servers: int
    max_servers: int
    boot_s: float
    reclaimable_price: float | None
    price_by_data_centre: Mapping[ids.DataCentreName, float]


@dataclasses.dataclass(frozen=True, slots=True)
class BackendService:
    """Service that is the target of routes."""

    name: ids.ServiceName
    max_connections: int
    engine: Engine | None = None
    scaling: Scaling | None = None

    @property
    def kind(self) -> ServiceKind:
        """Kind of the backend servers of this service."""
        return ServiceKind.PLAIN if self.engine is None else ServiceKind.ENGINE


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """Client account and its limit over all nodes.

    Attributes
    ----------
    rank : int or None
        Rank of all requests of the account; overrides that of the route.
    counts_tokens : bool
        Whether the limit applies to tokens instead of requests.
    plain_tokens : int
        Tokens counted for a request that does not state a number.
    rate_per_s : float
        0 for no limit.
    """

    id: ids.AccountId
    keys: tuple[str, ...]
    rank: int | None = None
    counts_tokens: bool = False
    plain_tokens: int = 1
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and the duration of client requests.

    Attributes
    ----------
    body_timeout_s : float
        Longest time in which a body is read.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    body_timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Urgency:
    """Strictest requirements of the routes to one service.

    Attributes
    ----------
    rank : int
        The most urgent rank.
    target_s : float
        The shortest target time.
    gap_s : float
        The smallest `gap_target_s`; 0 if unknown.
    """

    rank: int = 0
    target_s: float = 1.0
    gap_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration.

    Attributes
    ----------
    routes_by_host : mapping
        Routes of each host, longest prefix first.
    urgency_by_service : mapping
        Strictest requirements of the routes to each service.
    """

    version: ids.Version
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_name: Mapping[ids.ServiceName, BackendService]
    accounts_by_id: Mapping[ids.AccountId, ClientAccount]
    account_by_key: Mapping[str, ClientAccount]
    limits: CallerLimits
    urgency_by_service: Mapping[ids.ServiceName, Urgency] = dataclasses.field(
        default_factory=dict
    )

    def client_limits(self) -> CallerLimits:
        """Return the limits, with the time that a body may take.

        A request is not served after the time-out of its route, which counts
        from its first byte.
        """
        longest_s = max(
            (
                route.timeout_s
                for routes in self.routes_by_host.values()
                for route in routes
            ),
            default=self.limits.body_timeout_s,
        )
        return dataclasses.replace(self.limits, body_timeout_s=longest_s)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix."""
        return next(
            (
                route
                for route in self.routes_by_host.get(host, ())
                if path.startswith(route.path_prefix)
            ),
            None,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """Registered backend server.

    Attributes
    ----------
    reclaimable : bool
        Whether it may be reclaimed at short notice.
    leaves_in_s : float or None
        Time until a reclaimed backend server stops, when its entry was
        written.
    version : SoftwareVersion
        Version of its software; empty if it states none.
    """

    id: ids.WorkerId
    started: StartedMs
    service: ids.ServiceName
    address: types.Address
    data_centre: ids.DataCentreName
    slots: int
    state: ServerState
    cold_s: float = 0.0
    reclaimable: bool = False
    leaves_in_s: float | None = None
    version: rollout_state.SoftwareVersion = rollout_state.SoftwareVersion('')


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Time bounds in seconds and budgets, set by the users.

    Attributes
    ----------
    exposure_share : float or None
        Share of the requests that a bad version may get; None if the
        deployment knows no roll-outs.
    exposure_slack : float
        Requests that it may get besides.
    rollback_s : float
        Time after the 50th bad answer at which it must get none any more.
    require_fence : bool
        Whether the cloud API refuses calls of the duties below the highest
        fencing number that it has seen.
    """

    revoke_s: float = 5.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    contact_s: float = 3.0
    lease_s: float = 3.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    quota_window_s: float = 8.0
    quota_slack_tokens: float = 0.0
    usage_window_s: float = 5.0
    usage_late_s: float = 10.0
    reuse_window_s: float = 10.0
    strict_revoke: bool = True
    require_fence: bool = False
    exposure_share: float | None = None
    exposure_slack: float = 0.0
    rollback_s: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of a node.

    Attributes
    ----------
    peer_port : int
        UDP port for messages between nodes; the same on all hosts.
    boot_path : str
        Path of the settings file.
    link_mbps : float
        Link speed of the host; 0 if unknown.
    memory_bytes : float
        Memory that the node may use.
    max_fds : int
        Descriptors that the node may use; 0 for the limit of the process.
    """

    node: ids.NodeId
    ip: str
    data_centre: ids.DataCentreName
    front: types.Address
    readiness: types.Address
    peer_port: int
    metrics_port: int
    store: types.Address
    cloud: types.Address | None
    duties: frozenset[str]
    data_centres: tuple[ids.DataCentreName, ...]
    row_bytes: int
    bounds: Bounds
    boot_path: str = ''
    link_mbps: float = 0.0
    memory_bytes: float = 300e6
    max_fds: int = 0


def urgency_by_service(
    routes: Iterable[Route],
) -> dict[ids.ServiceName, Urgency]:
    """Return the strictest requirements of the routes by service."""
    found: dict[ids.ServiceName, Urgency] = {}
    for route in routes:
        for service in route.weight_by_service:
            known = found.get(service, Urgency(route.rank, route.target_s))
            gaps_s = [
                gap_s for gap_s in (known.gap_s, route.gap_target_s) if gap_s
            ]
            found[service] = Urgency(
                min(known.rank, route.rank),
                min(known.target_s, route.target_s),
                min(gaps_s, default=0.0),
            )
    return found
