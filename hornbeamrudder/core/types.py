"""Immutable data types shared by all packages."""

import dataclasses
import enum

from . import ids


class Rank(enum.IntEnum):
    """Rank of a request; a lower number is served first."""

    URGENT = 0
    STANDARD = 1
    BATCH = 2


class HostState(enum.Enum):
    """State of a host as one node sees it."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    GONE = 'gone'


class Outcome(enum.Enum):
    """What is known about the run of a request that has no answer."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'


class ServiceKind(enum.Enum):
    """Kind of backend server behind a service."""

    MODEL_ENGINE = 'model_engine'
    PLAIN_SERVICE = 'plain_service'


class Pricing(enum.Enum):
    """How a host is paid for."""

    RECLAIMABLE = 'reclaimable'
    ON_DEMAND = 'on_demand'


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """IP number and TCP port of a listening process."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """One backend server process.

    Attributes
    ----------
    slots : int
        Requests that the worker serves at once without queueing.
    checks_fencing : bool
        Whether the engine refuses orders with an old fencing number.
    checks_sender : bool
        Whether the backend server checks who gives it an order.
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
    """A service that callers name.

    Attributes
    ----------
    models : tuple of str
        Model names that callers may ask of a model engine service.
    """

    name: ids.ServiceName
    kind: ServiceKind
    models: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes
    ----------
    token_digest : str
        Hexadecimal SHA-256 digest of the bearer token.
    weight : float
        Share within a rank relative to other accounts.
    """

    id: ids.AccountId
    token_digest: str
    weight: float = 1.0
