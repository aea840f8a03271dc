"""Interfaces through which the controller acts."""

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
        """Return the number while the lease is held at `now`."""


class RecordedHosts(Protocol):
    """The part of the cloud API that tells which hosts there are."""

    def offers(self) -> result.Result[tuple[hosts.Offer, ...], errors.Failure]:
        """Read what can be started now."""

    def list_hosts(
        self,
    ) -> result.Result[tuple[hosts.CloudHost, ...], errors.Failure]:
        """Read the hosts that run."""

    def find_host(
        self, host: ids.HostId
    ) -> result.Result[hosts.CloudHost, errors.Failure]:
        """Read the record of one host, also after its end."""


class Cloud(Protocol):
    """The part of the cloud API that the controller uses."""

    def offers(self) -> result.Result[tuple[hosts.Offer, ...], errors.Failure]:
        """Read what can be started now."""

    def list_hosts(
        self,
    ) -> result.Result[tuple[hosts.CloudHost, ...], errors.Failure]:
        """Read the hosts that run."""

    def start_host(
        self, order_id: str, offer: hosts.OfferKey, service: ids.ServiceName
    ) -> result.Result[hosts.CloudHost, errors.Failure]:
        """Start at most one host for an order id."""

    def stop_host(
        self, host: ids.HostId
    ) -> result.Result[hosts.CloudHost, errors.Failure]:
        """Stop a host."""


class Backends(Protocol):
    """The part of `backends.watch.Watcher` that the controller uses."""

    def snapshot(self) -> snapshots.Snapshot:
        """Return workers, states and loads."""

    def report_from_peer(self, leaving: Iterable[hosts.LeavingHost]) -> None:
        """Take hosts out of service; heartbeats tell the other nodes."""


class Engines(Protocol):
    """The part of `orders.EngineClient` that the controller uses."""

    def observe(
        self, engine: types.Worker
    ) -> result.Result[orders.Observed, errors.Failure]:
        """Read the state of an engine."""

    def send(
        self, engine: types.Worker, order: orders.Order
    ) -> result.Result[orders.Observed, errors.Failure]:
        """Send an order."""
