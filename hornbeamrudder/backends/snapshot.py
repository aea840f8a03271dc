"""Immutable snapshot of the backend servers, and changes of state."""

import dataclasses
from typing import Mapping

from ..core import ids
from ..core import types
from . import load
from . import state


@dataclasses.dataclass(frozen=True, slots=True)
class HostStateChange:
    """A change of a host's state; `source` is None if a deadline passed."""

    host: ids.HostId
    old: types.HostState
    new: types.HostState
    source: state.ReportSource | None
    seconds_left: float


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Workers, host records and loads at one point in time."""

    workers_by_id: Mapping[ids.WorkerId, types.Worker]
    records_by_host: Mapping[ids.HostId, state.HostRecord]
    loads_by_worker: Mapping[ids.WorkerId, load.WorkerLoad]

    def state_of(self, worker: ids.WorkerId, now: float) -> types.HostState:
        """Return the state of the host of a worker."""
        host = self.workers_by_id[worker].host
        return state.derive_state(self.records_by_host[host], now)

    def candidates(
        self, service: ids.ServiceName, now: float
    ) -> tuple[types.Worker, ...]:
        """Return the workers of a service that may receive new work."""
        return tuple(
            worker
            for worker in self.workers_by_id.values()
            if worker.service == service
            and state.may_receive_new_work(
                self.records_by_host[worker.host], now
            )
        )
