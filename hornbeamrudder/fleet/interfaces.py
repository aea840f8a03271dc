"""Interfaces of the components on which fleet control depends."""

from typing import Iterable, Protocol

from returns import result

from ..backends import snapshot as snapshots
from ..core import errors
from ..core import hosts
from ..core import ids
from ..core import types
from . import orders


class Lease(Protocol):
    """The `fleet` lease."""

    def fencing_number(self, now: float) -> int | None:
        """Return the fencing number if the lease is held at `now`."""


class HostInventory(Protocol):
    """Read access to the hosts and offers of the cloud API."""

    def offers(self) -> result.Result[tuple[hosts.Offer, ...], errors.Failure]:
        """Read the offers of hosts that can be started now."""

    def list_hosts(
        self,
    ) -> result.Result[tuple[hosts.CloudHost, ...], errors.Failure]:
        """Read the records of the current hosts."""

    def find_host(
        self, host: ids.HostId
    ) -> result.Result[hosts.CloudHost, errors.Failure]:
        """Read the record of one host, including one that has ended."""


class Cloud(Protocol):
    """Operations of the cloud API that the controller uses."""

    def offers(self) -> result.Result[tuple[hosts.Offer, ...], errors.Failure]:
        """Read the offers of hosts that can be started now."""

    def list_hosts(
        self,
    ) -> result.Result[tuple[hosts.CloudHost, ...], errors.Failure]:
        """Read the records of the current hosts."""

    def start_host(
        self, order_id: str, offer: hosts.OfferKey, service: ids.ServiceName
    ) -> result.Result[hosts.CloudHost, errors.Failure]:
        """Start at most one host per `order_id`, an idempotency key."""

    def stop_host(
        self, host: ids.HostId
    ) -> result.Result[hosts.CloudHost, errors.Failure]:
        """Stop a host."""


class Backends(Protocol):
    """Operations of `backends.watch.Watcher` that the controller uses."""

    def snapshot(self) -> snapshots.Snapshot:
        """Return the current workers, host states and loads."""

    def report_from_peer(self, leaving: Iterable[hosts.LeavingHost]) -> None:
        """Take hosts out of service on all nodes, through heartbeats."""


class Engines(Protocol):
    """Operations of `orders.EngineClient` that the controller uses."""

    def observe(
        self, engine: types.Worker
    ) -> result.Result[orders.ObservedState, errors.Failure]:
        """Read the state of an engine."""

    def send(
        self, engine: types.Worker, order: orders.Order
    ) -> result.Result[orders.ObservedState, errors.Failure]:
        """Send an order."""
