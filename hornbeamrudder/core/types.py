"""Immutable data types of requests, workers, services and accounts."""

import dataclasses
import enum

from . import ids


class Rank(enum.IntEnum):
    """Priority class of a request; lower values are served first."""

    URGENT = 0
    STANDARD = 1
    BATCH = 2


class HostState(enum.Enum):
    """State of a host as seen by one node."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    GONE = 'gone'


class Outcome(enum.Enum):
    """Whether a request without a response was executed."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'


class ServiceKind(enum.Enum):
    """Type of the backend servers of a service."""

    MODEL_ENGINE = 'model_engine'
    PLAIN_SERVICE = 'plain_service'


class Pricing(enum.Enum):
    """Pricing model of a host."""

    RECLAIMABLE = 'reclaimable'
    ON_DEMAND = 'on_demand'


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """IP address and TCP port of a listening process."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """Backend server process.

    Attributes
    ----------
    slots : int
        Concurrent requests that the worker serves without queueing.
    checks_fencing : bool
        Whether the engine rejects orders with a stale fencing number.
    checks_sender : bool
        Whether the backend server authenticates the sender of an order.
    """

    id: ids.WorkerId
    service: ids.ServiceName
    host: ids.HostId
    data_centre: ids.DataCentreName
    address: Address
    slots: int
    checks_fencing: bool = False
    checks_sender: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Service that callers address by name.

    Attributes
    ----------
    models : tuple of str
        Model names served, for services backed by model engines.
    """

    name: ids.ServiceName
    kind: ServiceKind
    models: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """Client account.

    Attributes
    ----------
    token_digest : str
        Hexadecimal SHA-256 digest of the bearer token.
    weight : float
        Fair-share weight relative to other accounts of the same rank.
    """

    id: ids.AccountId
    token_digest: str
    weight: float = 1.0
