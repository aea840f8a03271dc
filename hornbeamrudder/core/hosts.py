"""Hosts, offers and reclaim notices as reported by the cloud API."""

import dataclasses
import enum

from . import ids
from . import types


class HostPhase(enum.Enum):
    """Lifecycle phase of a host as recorded by the cloud API."""

    STARTING = 'starting'
    RUNNING = 'running'
    LEAVING = 'leaving'
    GONE = 'gone'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class OfferKey:
    """Zone, machine class and pricing that identify an offer."""

    zone: ids.DataCentreName
    machine_class: ids.MachineClass
    reclaimable: bool

    @property
    def pricing(self) -> types.Pricing:
        """Pricing as encoded in messages."""
        if self.reclaimable:
            return types.Pricing.RECLAIMABLE
        return types.Pricing.ON_DEMAND


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """Host type that the cloud API currently offers.

    Attributes
    ----------
    price_per_hour : float
        Price of one host, in the currency of the cloud account.
    reclaims_per_hour : float
        Expected reclaims of one host per hour; 0 for on-demand hosts.
    slots : int
        Concurrent requests that one host serves within the latency target.
    limit : int
        Maximum number of hosts running at the same time.
    """

    key: OfferKey
    price_per_hour: float
    reclaims_per_hour: float
    slots: int
    limit: int = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class CloudHost:
    """Host as recorded by the cloud API.

    Attributes
    ----------
    address : Address or None
        Listen address of the host's backend server; None until known.
    slots : int
        Concurrent requests that the backend server serves; 0 if unspecified.
    """

    id: ids.HostId
    offer: OfferKey
    service: ids.ServiceName
    phase: HostPhase
    incarnation: ids.Incarnation
    address: types.Address | None = None
    slots: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """Entry of the host list, which may be out of date."""

    id: ids.HostId
    incarnation: ids.Incarnation
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReclaimNotice:
    """Notice from the cloud API that a host is about to be reclaimed.

    Attributes
    ----------
    number : int
        Sequence number of the notice.
    seconds_left : float
        Time until the host is terminated, as of the cloud API's response.
    """

    number: int
    host: ids.HostId
    incarnation: ids.Incarnation
    seconds_left: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingHost:
    """Leaving host as reported between nodes in heartbeats.

    Attributes
    ----------
    seconds_left : float or None
        Time until the host is terminated, as of the creation of the
        heartbeat; None if unknown.
    """

    id: ids.HostId
    incarnation: ids.Incarnation
    seconds_left: float | None
