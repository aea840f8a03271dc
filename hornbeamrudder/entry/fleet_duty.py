"""Fleet control on one node: reports of ended members and the fleet lease."""

import dataclasses
import random
import threading
import time
from typing import Callable, Iterable, Mapping

import structlog

from ..backends import watch
from ..configuration import ended_members
from ..configuration import service as configuration_service
from ..core import ids
from ..fleet import controller
from ..fleet import desired_state
from ..fleet import orders
from ..fleet import registrar
from ..infrastructure import cloud
from ..infrastructure import http
from ..infrastructure import table
from ..leases import holder as lease_holder
from . import node_configuration
from ..peers import messages
from ..settings import schema

LEASE_NAME = 'fleet'
REGISTRAR_INTERVAL_S = 1.0

log = structlog.get_logger()


class _Lease:
    """Adapter of the lease holder to the interface of the controller.

    The time passed by the controller is ignored and the holder reads its own
    clock: with a time read before a pause of this thread, an expired term
    would appear valid.
    """

    def __init__(self, holder: lease_holder.LeaseHolder) -> None:
        self._holder = holder

    def fencing_number(self, _now: float) -> int | None:
        """Return the fencing number, None while the lease is not held."""
        return self._holder.fencing_number()


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Components of the node that fleet control uses.

    Attributes
    ----------
    rates : callable
        Returns the request rates of all live nodes, including this one.
    """

    incarnation: ids.Incarnation
    client: http.HttpClient
    table_client: table.TableClient
    cloud: cloud.CloudClient | None
    watcher: watch.Watcher
    service: configuration_service.ConfigurationService
    configuration: node_configuration.NodeConfiguration
    rates: Callable[[], Iterable[messages.Rate]]


class FleetControl:
    """Reports ended members and, if enabled, competes for the fleet lease."""

    def __init__(
        self, settings: schema.NodeSettings, dependencies: Dependencies
    ) -> None:
        self._ended: ended_members.EndedMemberDetector | None = None
        self._duty: FleetDuty | None = None
        if dependencies.cloud is None:
            return
        self._ended = ended_members.EndedMemberDetector(
            ids.NodeId(settings.node_id),
            dependencies.service,
            dependencies.cloud.find_host,
            configuration_service.boot_clock,
        )
        if settings.fleet_control:
            self._duty = FleetDuty(settings, dependencies, dependencies.cloud)

    def start(self) -> None:
        """Start the threads."""
        if self._ended is not None:
            self._ended.start()
        if self._duty is not None:
            self._duty.start()

    def leases(self) -> Mapping[str, int | None]:
        """Return the fencing number by lease; empty if control is disabled."""
        if self._duty is None:
            return {}
        return {LEASE_NAME: self._duty.fencing_number()}

    def release_lease(self) -> None:
        """Stop controlling the fleet and release the lease."""
        if self._duty is not None:
            self._duty.close()

    def close(self) -> None:
        """Stop all threads."""
        self.release_lease()
        if self._ended is not None:
            self._ended.close()


class FleetDuty:
    """Competes for the `fleet` lease and controls the fleet as its holder."""

    def __init__(
        self,
        settings: schema.NodeSettings,
        dependencies: Dependencies,
        cloud_client: cloud.CloudClient,
    ) -> None:
        self._lease = lease_holder.LeaseHolder(
            dependencies.table_client,
            LEASE_NAME,
            ids.RegionName(settings.region),
            ids.NodeId(settings.node_id),
            dependencies.incarnation,
            random.Random(dependencies.incarnation),
        )
        self._controller = controller.Controller(
            _Lease(self._lease),
            cloud_client,
            dependencies.watcher,
            orders.EngineClient(dependencies.client),
            lambda: desired_state.from_document(
                dependencies.configuration.document(), dependencies.rates()
            ),
            random.Random(dependencies.incarnation),
        )
        self._registrar = registrar.Registrar(
            cloud_client,
            dependencies.service,
            lambda: self._lease.fencing_number() is not None,
            time.monotonic,
        )
        self._closing = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='fleet-hosts', daemon=True
        )

    def start(self) -> None:
        """Start the threads."""
        self._controller.start()
        self._thread.start()

    def fencing_number(self) -> int | None:
        """Return the fencing number, None while the lease is not held."""
        return self._lease.fencing_number()

    def close(self) -> None:
        """Finish the current steps, then release the lease."""
        if self._closing.is_set():
            return
        self._closing.set()
        self._controller.close()
        if self._thread.is_alive():
            self._thread.join()
        self._lease.close()

    def _run(self) -> None:
        while not self._closing.wait(REGISTRAR_INTERVAL_S):
            try:
                self._registrar.step()
            except Exception:
                # The next step compares the complete state again.
                log.exception('update of the hosts failed')
