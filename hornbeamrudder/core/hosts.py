"""Hosts, offers and reclaim notices as the cloud API describes them."""

import dataclasses
import enum

from . import ids
from . import types


class HostPhase(enum.Enum):
    """Phase of a host in the records of the cloud API."""

    STARTING = 'starting'
    RUNNING = 'running'
    LEAVING = 'leaving'
    GONE = 'gone'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class OfferKey:
    """What a start order names: a zone, a machine class and a pricing."""

    zone: ids.DataCentreName
    machine_class: ids.MachineClass
    reclaimable: bool

    @property
    def pricing(self) -> types.Pricing:
        """Pricing as it is written in messages."""
        if self.reclaimable:
            return types.Pricing.RECLAIMABLE
        return types.Pricing.ON_DEMAND


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """One kind of host that the cloud API offers now.

    Attributes
    ----------
    price_per_hour : float
        Price of one host, in the currency of the account.
    reclaims_per_hour : float
        Expected number of reclaims of one host per hour; 0 for on-demand.
    slots : int
        Requests that one host serves at once within the latency target.
    limit : int
        Number of hosts that may run at once.
    """

    key: OfferKey
    price_per_hour: float
    reclaims_per_hour: float
    slots: int
    limit: int = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class CloudHost:
    """A host in the records of the cloud API.

    Attributes
    ----------
    address : Address or None
        Where its backend server listens; None until it is known.
    slots : int
        Requests that its backend server serves at once; 0 if not stated.
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
    """A host in the lagging host list."""

    id: ids.HostId
    incarnation: ids.Incarnation
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReclaimNotice:
    """Announcement that a host will be taken away.

    Attributes
    ----------
    number : int
        Position in the sequence of notices of the cloud API.
    seconds_left : float
        Time until the host ends, counted from when the answer was made.
    """

    number: int
    host: ids.HostId
    incarnation: ids.Incarnation
    seconds_left: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingHost:
    """A leaving host as nodes report it to each other in heartbeats.

    Attributes
    ----------
    seconds_left : float or None
        Time until the host ends, counted from when the message was made;
        None where it is unknown.
    """

    id: ids.HostId
    incarnation: ids.Incarnation
    seconds_left: float | None
