"""Start orders, which are repeated while their outcome is open."""

import dataclasses
import enum

from returns import result

from ..core import errors
from ..core import hosts
from ..core import ids
from . import ports

OPEN_KINDS = (errors.FailureKind.TIMEOUT, errors.FailureKind.INTERRUPTED)
REFUSAL_KINDS = (
    errors.FailureKind.REFUSED,
    errors.FailureKind.OVERLOADED,
    errors.FailureKind.NOT_FOUND,
    errors.FailureKind.INVALID,
)


class StartOutcome(enum.Enum):
    """What is known after a start order was sent.

    OPEN means that the host may have been started; FAILED that the cloud
    API is down, so that no other offer would help.
    """

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    OPEN = 'outcome open'
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """An order for one host; `id` makes repeating it harmless."""

    id: str
    offer: hosts.OfferKey
    service: ids.ServiceName


class Starter:
    """Start orders of one tenure of the lease."""

    def __init__(self, cloud: ports.Cloud, fencing: int) -> None:
        self._cloud = cloud
        self.fencing = fencing
        self._count = 0
        self._open_by_id: dict[str, StartOrder] = {}

    def new_order(
        self, offer: hosts.OfferKey, service: ids.ServiceName
    ) -> StartOrder:
        """Make an order with an id that no other order has."""
        self._count += 1
        name = f'{service}-{self.fencing}-{self._count}'
        return StartOrder(name, offer, service)

    def open_orders(self) -> tuple[StartOrder, ...]:
        """Orders whose outcome is open, to be sent again."""
        return tuple(self._open_by_id.values())

    def open_hosts(
        self, service: ids.ServiceName
    ) -> tuple[hosts.CloudHost, ...]:
        """Describe orders whose outcome is open as hosts that start."""
        return tuple(
            hosts.CloudHost(
                ids.HostId(order.id),
                order.offer,
                service,
                hosts.HostPhase.STARTING,
                ids.Incarnation(0),
            )
            for order in self._open_by_id.values()
            if order.service == service
        )

    def send(
        self, order: StartOrder
    ) -> tuple[tuple[hosts.CloudHost, ...], StartOutcome]:
        """Send an order; return the host, if known, and the outcome."""
        answer = self._cloud.start_host(order.id, order.offer, order.service)
        self._open_by_id.pop(order.id, None)
        match answer:
            case result.Success(host):
                return (host,), StartOutcome.ACCEPTED
            case result.Failure(failure) if failure.kind in OPEN_KINDS:
                self._open_by_id[order.id] = order
                return (), StartOutcome.OPEN
            case result.Failure(failure) if failure.kind in REFUSAL_KINDS:
                return (), StartOutcome.REFUSED
            case _:
                return (), StartOutcome.FAILED
