"""Load of the engines of a service, as all nodes know it together.

Joins the load reports, which are old by the time they arrive, with the work
that the nodes publish as sums (see `server_speed`). What is placed, waits and
is refused is decided from these figures elsewhere.
"""

import math
from typing import NamedTuple

from ..core import ids
from . import long_prompts
from . import server_registry
from . import server_selection
from . import server_speed
from . import shared_sums

# Prefill rate of an engine until one has been measured.
INITIAL_TOKENS_PER_MS = 50.0
# Fewer requests give no estimate of how long they hold a slot.
MIN_REQUESTS_PER_S = 1.0
MAX_RUN_MS = 10_000.0
# Measured slowness from which the operator is told of a server, and below
# which it counts as usual again. What servers state themselves changes too
# often for that.
SLOW = 1.4
USUAL = 1.2


class Figures(NamedTuple):
    """Load of a service at one moment.

    For an estimate of how long a request waits: `capacity` servers of usual
    speed free a slot every `run_ms` / (`capacity` x slots) milliseconds, and
    work off `tokens_per_ms` x `capacity` prompt tokens in each.

    Attributes
    ----------
    tokens_per_ms : float
        Prefill rate of a server of usual speed.
    report_age_s : float
        Mean age of the load that other nodes report.
    unseen_ms : float
        Work that other nodes have placed since their reports, in milliseconds
        of a server of usual speed.
    utilization : float
        Share of the servers' time that prefills take; above 1 while more is
        placed than they prefill.
    run_ms : float
        Mean time that a request holds a slot; 0 if unknown.
    running_error : float
        Standard deviation of the requests at one server that the reports
        lack.
    capacity : float
        Work that the usable servers do per unit of time, relative to a server
        of usual speed.
    gathering : int
        Number of servers where long prompts gather.
    """

    tokens_per_ms: float
    report_age_s: float
    unseen_ms: float
    utilization: float
    run_ms: float
    running_error: float
    capacity: float
    gathering: int


class ServiceLoad:
    """Speeds and load of all backend servers at one node.

    Attributes
    ----------
    speeds : ServerSpeeds
        Measurements of this node and of all nodes.
    """

    def __init__(
        self,
        sums: shared_sums.SharedSums,
        servers: server_registry.ServerRegistry,
    ) -> None:
        self.speeds = server_speed.ServerSpeeds(INITIAL_TOKENS_PER_MS)
        self._sums = sums
        self._servers = servers
        self._slow: set[ids.WorkerId] = set()

    def exchange(self, now: float) -> list[server_registry.ServerRecord]:
        """Publish what this node has measured, and apply what all have.

        Returns
        -------
        list of ServerRecord
            Servers that are slow or usual again since the last call.
        """
        self.speeds.publish(self._sums, now)
        by_id = self._servers.by_id
        keys_by_service: dict[ids.ServiceName, list[int]] = {}
        for record in by_id.values():
            if record.usable:
                keys_by_service.setdefault(record.entry.service, []).append(
                    record.key
                )
        self.speeds.update(self._sums, keys_by_service)
        for record in by_id.values():
            record.measured_slowness = self.speeds.slowness_by_key.get(
                record.key, 1.0
            )
        slow = {
            server
            for server, record in by_id.items()
            if record.measured_slowness
            >= (USUAL if server in self._slow else SLOW)
        }
        changed = (slow ^ self._slow) & by_id.keys()
        self._slow = slow
        return [by_id[server] for server in sorted(changed)]

    def tokens_per_ms(self, service: ids.ServiceName, now: float) -> float:
        """Return the prefill rate of a server of usual speed."""
        return self.speeds.work(self._sums, service, now).tokens_per_ms

    def figures(self, service: ids.ServiceName, now: float) -> Figures:
        """Return the load of the engines of a service."""
        usable = [
            record
            for record in self._servers.of_service(service)
            if record.usable
        ]
        capacity = sum(1.0 / record.slowness(now) for record in usable)
        work = self.speeds.work(self._sums, service, now)
        age_s = self._servers.report_age_s(now)
        unseen_requests = work.other_requests_per_s * age_s
        running = sum(
            record.running + record.peer_running for record in usable
        )
        return Figures(
            tokens_per_ms=work.tokens_per_ms,
            report_age_s=age_s,
            unseen_ms=(
                work.other_tokens_per_s * age_s / work.tokens_per_ms
                + unseen_requests * server_selection.RUNNING_PENALTY_MS
            ),
            utilization=work.tokens_per_s
            / (1e3 * work.tokens_per_ms * max(1.0, capacity)),
            run_ms=min(MAX_RUN_MS, 1e3 * running / work.requests_per_s)
            if work.requests_per_s >= MIN_REQUESTS_PER_S
            else 0.0,
            running_error=math.sqrt(unseen_requests / max(1.0, capacity)),
            capacity=capacity,
            gathering=long_prompts.gathering_count(
                work.long_tokens_per_s / (1e3 * work.tokens_per_ms),
                (work.tokens_per_s - work.long_tokens_per_s)
                / (1e3 * work.tokens_per_ms),
                capacity,
            ),
        )
