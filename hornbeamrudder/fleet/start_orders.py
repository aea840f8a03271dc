"""Start orders to the cloud API, resent while their outcome is unknown."""

import dataclasses
import enum

from returns import result

from ..core import errors
from ..core import hosts
from ..core import ids
from . import interfaces

UNKNOWN_OUTCOME_KINDS = (
    errors.FailureKind.TIMEOUT,
    errors.FailureKind.INTERRUPTED,
)
REFUSAL_KINDS = (
    errors.FailureKind.REFUSED,
    errors.FailureKind.OVERLOADED,
    errors.FailureKind.NOT_FOUND,
    errors.FailureKind.INVALID,
)


class StartOutcome(enum.Enum):
    """Outcome of sending a start order.

    UNKNOWN means that the host may have been started. FAILED means that the
    cloud API is unavailable, so that trying another offer is of no use.
    """

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'outcome open'
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to start one host, with `id` as its idempotency key."""

    id: str
    offer: hosts.OfferKey
    service: ids.ServiceName


class HostStarter:
    """Creates and sends the start orders under one fencing number."""

    def __init__(self, cloud: interfaces.Cloud, fencing: int) -> None:
        self._cloud = cloud
        self.fencing = fencing
        self._order_count = 0
        self._unresolved_by_id: dict[str, StartOrder] = {}

    def new_order(
        self, offer: hosts.OfferKey, service: ids.ServiceName
    ) -> StartOrder:
        """Return an order with a new, unique id."""
        self._order_count += 1
        order_id = f'{service}-{self.fencing}-{self._order_count}'
        return StartOrder(order_id, offer, service)

    def unresolved_orders(self) -> tuple[StartOrder, ...]:
        """Return the orders with an unknown outcome, to be resent."""
        return tuple(self._unresolved_by_id.values())

    def pending_hosts(
        self, service: ids.ServiceName
    ) -> tuple[hosts.CloudHost, ...]:
        """Return a starting host for each order with an unknown outcome."""
        return tuple(
            hosts.CloudHost(
                ids.HostId(order.id),
                order.offer,
                service,
                hosts.HostPhase.STARTING,
                ids.Incarnation(0),
            )
            for order in self._unresolved_by_id.values()
            if order.service == service
        )

    def send(
        self, order: StartOrder
    ) -> tuple[tuple[hosts.CloudHost, ...], StartOutcome]:
        """Send an order; return the host, if reported, and the outcome."""
        response = self._cloud.start_host(order.id, order.offer, order.service)
        self._unresolved_by_id.pop(order.id, None)
        match response:
            case result.Success(host):
                return (host,), StartOutcome.ACCEPTED
            case result.Failure(failure) if (
                failure.kind in UNKNOWN_OUTCOME_KINDS
            ):
                self._unresolved_by_id[order.id] = order
                return (), StartOutcome.UNKNOWN
            case result.Failure(failure) if failure.kind in REFUSAL_KINDS:
                return (), StartOutcome.REFUSED
            case _:
                return (), StartOutcome.FAILED
