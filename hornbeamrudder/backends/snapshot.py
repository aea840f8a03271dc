"""Immutable view of the backend servers, and changes of their state."""

import dataclasses
from typing import Mapping

from ..core import ids
from ..core import types
from . import load
from . import state


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of a host's state; `source` is None for passing time."""

    host: ids.HostId
    old: types.HostState
    new: types.HostState
    source: state.Source | None
    seconds_left: float


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Workers, states and loads at one moment; not changed afterwards."""

    workers_by_id: Mapping[ids.WorkerId, types.Worker]
    records_by_host: Mapping[ids.HostId, state.HostRecord]
    loads_by_worker: Mapping[ids.WorkerId, load.WorkerLoad]

    def state_of(self, worker: ids.WorkerId, now: float) -> types.HostState:
        """State of the host of a worker."""
        host = self.workers_by_id[worker].host
        return state.state(self.records_by_host[host], now)

    def candidates(
        self, service: ids.ServiceName, now: float
    ) -> tuple[types.Worker, ...]:
        """Workers of a service that may receive new work."""
        return tuple(
            worker
            for worker in self.workers_by_id.values()
            if worker.service == service
            and state.may_receive_new_work(
                self.records_by_host[worker.host], now
            )
        )
