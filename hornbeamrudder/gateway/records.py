"""Immutable data of the request path, in the project's own words."""

import dataclasses
import enum
from typing import Iterable, Mapping, NewType

from ..core import ids
from ..core import types

RouteName = NewType('RouteName', str)
# Start of one run of a backend server, milliseconds since 1970; two runs may
# have the same id.
StartedMs = NewType('StartedMs', int)


class Repetition(enum.Enum):
    """Whether a request may run more than once."""

    SAFE = 'safe'
    AT_MOST_ONCE = 'at most once'
    STREAM = 'stream'


class ServerState(enum.Enum):
    """What a backend server says of itself in its registration."""

    READY = 'ready'
    LEAVING = 'leaving'


class Shape(enum.Enum):
    """How the answer of a service is produced."""

    ENGINE = 'engine'
    PLAIN = 'plain'


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One rule that maps host and path to services.

    Attributes
    ----------
    weight_by_service : mapping
        Share of the requests for each service.
    timeout_s : float
        Longest time that a request is kept waiting.
    target_s : float
        Time within which an answer has its full worth.
    gap_target_s : float
        Longest pause between events that is still on time; 0 if unknown.
    rank : int
        0 is served first.
    max_servers : int
        Backend servers to which one request may be sent.
    resumable : bool
        Whether a stream may go on at another backend server.
    """

    name: RouteName
    host: str
    path_prefix: str
    repetition: Repetition
    weight_by_service: Mapping[ids.ServiceName, float]
    timeout_s: float
    target_s: float
    gap_target_s: float = 0.0
    rank: int = 0
    max_servers: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        match self.repetition:
            case Repetition.SAFE:
                return True
            case Repetition.STREAM:
                return self.resumable
            case _:
                return False


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """What the operator says of the model engines of a service.

    Attributes
    ----------
    events_tokens : int
        Output tokens that one event of a stream holds.
    can_move : bool
        Whether the memory of a running request can be copied to another
        engine.
    """

    slots: int
    memory_tokens: int
    events_tokens: int = 1
    can_move: bool = False
    can_back_up: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Scaling:
    """Bounds for the number of backend servers in each data centre.

    Attributes
    ----------
    boot_s : float
        Time from an order until a new backend server serves.
    reclaimable_price : float
        Price of a reclaimable backend server, as a share of the price of an
        on-demand one.
    price_by_data_centre : mapping
        Price of an on-demand backend server a second.
    """

    least: int
    most: int
    boot_s: float
    reclaimable_price: float | None
    price_by_data_centre: Mapping[ids.DataCentreName, float]


@dataclasses.dataclass(frozen=True, slots=True)
class BackendService:
    """A service to which routes lead."""

    name: ids.ServiceName
    max_connections: int
    engine: Engine | None = None
    scaling: Scaling | None = None

    @property
    def shape(self) -> Shape:
        """Kind of the backend servers of this service."""
        return Shape.PLAIN if self.engine is None else Shape.ENGINE


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account and its limit over all nodes.

    Attributes
    ----------
    rank : int or None
        Rank of all requests of the account; it goes before the route's.
    counts_tokens : bool
        Whether the limit is in tokens instead of requests.
    plain_tokens : int
        Tokens that a request counts which does not state its own.
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
    """Bounds on what a client may send, and how slowly."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Urgency:
    """What the routes to one service ask of it at most.

    Attributes
    ----------
    rank : int
        The most urgent one.
    target_s : float
        The shortest target time.
    gap_s : float
        The shortest pause between events that is on time; 0 if unknown.
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
        Routes of each host, the longest prefix first.
    urgency_by_service : mapping
        What the routes to each service ask of it at most.
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

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`."""
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
    """A registered backend server.

    Attributes
    ----------
    reclaimable : bool
        Whether it may be taken away at short notice.
    leaves_in_s : float or None
        Time to the end of a reclaimed backend server, as of its entry.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Time bounds and budgets that the users set, in seconds."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of a node on the platform.

    Attributes
    ----------
    peer_port : int
        Port for messages between nodes, the same on all hosts.
    boot_path : str
        File that the settings came from.
    link_mbps : float
        Speed of the host's link in Mbit/s; 0 if unknown.
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


def urgency_by_service(
    routes: Iterable[Route],
) -> dict[ids.ServiceName, Urgency]:
    """Most urgent rank, shortest target and shortest pause by service."""
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
