"""Registry of backend servers: entries, load, health, prefix caches."""

import collections
import dataclasses
import random
import statistics
from typing import Callable, Container, Iterable, Sequence

from ..core import hashing
from ..core import ids
from . import health
from . import host_speed
from . import http_client
from . import long_prompts
from . import messages
from . import records
from . import reports
from . import server_selection

# Maximum number of recent prompt parts tracked for each backend server.
MAX_CACHED_PARTS = 2000
# Share of a prompt prefix assumed to be cached at the preferred backend server
# even if this node has not sent it there: other nodes prefer the same server.
PREFERRED_CACHED_SHARE = 0.8
# Size limit of the pool of idle connections to each backend server.
MAX_IDLE_CONNECTIONS = 8
# Backend servers may close idle connections earlier than they announce.
MAX_IDLE_S = 1.0
# Share of the announced keep-alive time during which a connection is reused.
KEEP_ALIVE_SHARE = 0.5
# Load reports of other nodes expire at this age, or after this many report
# intervals if that is longer.
REPORT_AGE_S = 1.5
REPORT_AGE_INTERVALS = 2.5
# Longest pause that a backend server is granted; it says so again.
MAX_PAUSE_S = 600.0
# Processes of backend servers whose directives outlast their entries.
MAX_DIRECTIVES = 1024


@dataclasses.dataclass(slots=True)
class Directives:
    """What a backend server process has asked for in its answers.

    Attributes
    ----------
    leaving : bool
        Whether it wants no new requests, as it is about to end.
    paused_until : float
        Time on `clock.now` until which it wants none from this node.
    """

    leaving: bool = False
    paused_until: float = float('-inf')


@dataclasses.dataclass(slots=True)
class Placement:
    """A slot that a request holds at a backend server.

    Attributes
    ----------
    uncached_tokens : float
        Prompt tokens that the server has to prefill; 0 afterwards.
    """

    record: 'ServerRecord'
    uncached_tokens: float
    ended: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class ServerRecord:
    """State of one backend server."""

    entry: records.BackendServer
    id_hash: int
    key: int
    health_state: health.Health = health.Health()
    speed: host_speed.HostSpeed = host_speed.HostSpeed()
    measured_slowness: float = 1.0
    running: int = 0
    backlog_tokens: float = 0.0
    peer_running: int = 0
    peer_backlog_tokens: int = 0
    cold_until: float = 0.0
    leaving_since: float | None = None
    leaves_at: float | None = None
    missing_since: float | None = None
    directives: Directives = dataclasses.field(default_factory=Directives)
    cached_parts: collections.OrderedDict[str, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    idle: list[http_client.ServerConnection] = dataclasses.field(
        default_factory=list
    )

    @property
    def usable(self) -> bool:
        """Whether the server accepts new requests."""
        return (
            self.leaving_since is None
            and self.entry.state is records.ServerState.READY
        )

    def slowness(self, now: float) -> float:
        """Return the duration of work on the host relative to the usual."""
        return host_speed.slowness(self.speed, now, self.measured_slowness)

    def record_slowness(self, stated: float, now: float) -> None:
        """Update the speed of the host from a response that states one."""
        self.speed = host_speed.updated(
            self.speed, stated, now, self.measured_slowness
        )

    def pop_idle_connection(
        self, now: float, request_id: str = ''
    ) -> http_client.ServerConnection | None:
        """Return an idle connection that is probably still open.

        Parameters
        ----------
        request_id : str
            Id of the request to send; a connection that was used for a
            request with the same id is left out.
        """
        usable = [
            connection
            for connection in self.idle
            if request_id not in connection.request_ids
        ]
        while usable:
            connection = usable.pop()
            self.idle.remove(connection)
            limit_s = MAX_IDLE_S
            if connection.keep_alive_s is not None:
                limit_s = min(
                    limit_s, connection.keep_alive_s * KEEP_ALIVE_SHARE
                )
            if connection.reusable and now - connection.idle_since < limit_s:
                return connection
            connection.abort()
        return None

    def keep_connection(
        self, connection: http_client.ServerConnection
    ) -> None:
        """Add a connection to the idle pool, or close it."""
        if (
            connection.reusable
            and self.usable
            and len(self.idle) < MAX_IDLE_CONNECTIONS
        ):
            self.idle.append(connection)
        else:
            connection.abort()

    def close_idle_connections(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            connection.abort()
        self.idle.clear()


class ServerRegistry:
    """All backend servers by id."""

    def __init__(
        self,
        data_centre: ids.DataCentreName,
        on_leaving: Callable[[ServerRecord], None],
        on_returned: Callable[[ServerRecord], None] = lambda record: None,
    ) -> None:
        self.by_id: dict[ids.WorkerId, ServerRecord] = {}
        self._by_service: dict[
            ids.ServiceName, dict[ids.WorkerId, ServerRecord]
        ] = collections.defaultdict(dict)
        self._data_centre = data_centre
        self._on_leaving = on_leaving
        self._on_returned = on_returned
        # Servers without an entry that have requests in progress.
        self._removed_by_id: dict[ids.WorkerId, ServerRecord] = {}
        self._by_key: dict[int, ServerRecord] = {}
        self._reports: dict[ids.NodeId, tuple[float, reports.Load]] = {}
        self._reported_age_s = 0.0
        self._directives_by_process: collections.OrderedDict[
            tuple[ids.WorkerId, records.StartedMs], Directives
        ] = collections.OrderedDict()

    def of_service(self, service: ids.ServiceName) -> Iterable[ServerRecord]:
        """Backend servers of a service."""
        return self._by_service[service].values()

    def put(self, entry: records.BackendServer, now: float) -> None:
        """Add or update a backend server from its entry."""
        record = self.by_id.get(entry.id)
        if record is not None and (
            record.entry.started != entry.started
            or record.entry.address != entry.address
        ):
            # A restarted server under the same id has lost its state.
            record.close_idle_connections()
            self._mark_leaving(record, now)
            record = None
        elif record is None:
            record = self._take_removed(entry)
        if record is None:
            record = ServerRecord(
                entry,
                hashing.stable_hash(entry.id),
                reports.server_key(entry.id),
            )
            self._apply_reports(record)
            self._by_key[record.key] = record
        elif record.entry.service != entry.service:
            self._by_service[record.entry.service].pop(entry.id, None)
        self.by_id[entry.id] = record
        self._by_service[entry.service][entry.id] = record
        record.entry = entry
        record.missing_since = None
        record.cold_until = now + entry.cold_s
        if entry.leaves_in_s is not None:
            record.leaves_at = now + entry.leaves_in_s
        record.directives = self._directives_by_process.get(
            (entry.id, entry.started), record.directives
        )
        if (
            entry.state is records.ServerState.LEAVING
            or record.directives.leaving
        ):
            self._mark_leaving(record, now)

    def record_directives(
        self,
        record: ServerRecord,
        metadata: messages.ResponseMetadata,
        now: float,
    ) -> None:
        """Apply what a backend server asks for in an answer."""
        if not metadata.leaving and metadata.pause_s is None:
            return
        directives = record.directives
        entry = record.entry
        self._directives_by_process[entry.id, entry.started] = directives
        if len(self._directives_by_process) > MAX_DIRECTIVES:
            self._directives_by_process.popitem(last=False)
        if metadata.pause_s is not None:
            directives.paused_until = max(
                directives.paused_until,
                now + min(metadata.pause_s, MAX_PAUSE_S),
            )
        if metadata.leaving:
            directives.leaving = True
            self._mark_leaving(record, now)

    def remove(self, server: ids.WorkerId, now: float) -> None:
        """Remove a backend server whose entry is gone."""
        record = self.by_id.pop(server, None)
        if record is not None:
            self._by_service[record.entry.service].pop(server, None)
            self._by_key.pop(record.key, None)
            record.close_idle_connections()
            self._mark_leaving(record, now)
            if record.running:
                self._removed_by_id[server] = record

    def _take_removed(
        self, entry: records.BackendServer
    ) -> ServerRecord | None:
        """Return the record of a server whose entry is back.

        A server that is silent for a while loses its entry; its requests go
        on there once it is known that it has not ended.
        """
        for server, removed in list(self._removed_by_id.items()):
            if not removed.running:
                del self._removed_by_id[server]
        record = self._removed_by_id.pop(entry.id, None)
        if (
            record is None
            or record.entry.started != entry.started
            or record.entry.address != entry.address
            or entry.state is not records.ServerState.READY
        ):
            return None
        record.leaving_since = record.leaves_at = None
        record.peer_running = record.peer_backlog_tokens = 0
        self._apply_reports(record)
        self._by_key[record.key] = record
        self._on_returned(record)
        return record

    def _mark_leaving(self, record: ServerRecord, now: float) -> None:
        if record.leaving_since is None:
            record.leaving_since = now
            record.close_idle_connections()
            self._on_leaving(record)

    def reserve(
        self,
        service: records.BackendService,
        metadata: messages.RequestMetadata,
        requirements: server_selection.Requirements,
        excluded: Container[ids.WorkerId],
        rng: random.Random,
        now: float,
        accepts: Callable[[ServerRecord], bool] = lambda record: True,
    ) -> Placement | None:
        """Choose a backend server and reserve a slot there.

        Parameters
        ----------
        accepts : callable
            Whether the request may go to a server.

        Returns
        -------
        Placement or None
            None if no server has capacity now.
        """
        usable = [
            record
            for record in self.of_service(service.name)
            if record.usable
            and record.entry.id not in excluded
            and now >= record.directives.paused_until
            and accepts(record)
        ]
        # A server whose entry lapsed during a store outage may be gone, so it
        # is used only if no other server has an entry.
        usable = [
            record for record in usable if record.missing_since is None
        ] or usable
        shared = metadata.prompt_parts[:-1] if service.engine else ()
        preferred = (
            [
                usable[position]
                for position in server_selection.preferred_positions(
                    shared[-1].name, [record.id_hash for record in usable]
                )
            ]
            if shared
            else []
        )
        shortlist = {
            record.entry.id: record
            for record in (
                *preferred,
                *server_selection.sample(usable, requirements, rng),
            )
        }
        most_preferred = preferred[0] if preferred else None
        preferred_ids = {record.entry.id for record in preferred}
        chosen = server_selection.choose(
            self._candidates(
                shortlist.values(),
                service,
                most_preferred,
                metadata,
                requirements,
                now,
            ),
            requirements,
            rng,
            preferred_ids,
            len(shortlist) / max(1, len(usable)),
        )
        if chosen is None and len(shortlist) < len(usable):
            chosen = server_selection.choose(
                self._candidates(
                    usable,
                    service,
                    most_preferred,
                    metadata,
                    requirements,
                    now,
                ),
                requirements,
                rng,
                preferred_ids,
            )
        if chosen is None:
            return None
        return self._occupy_slot(
            self.by_id[chosen.id], service, metadata, chosen, now
        )

    def reserve_at(self, record: ServerRecord) -> Placement:
        """Reserve a slot at a server that holds the KV cache of a request."""
        record.running += 1
        return Placement(record, 0.0)

    def _occupy_slot(
        self,
        record: ServerRecord,
        service: records.BackendService,
        metadata: messages.RequestMetadata,
        chosen: server_selection.Candidate,
        now: float,
    ) -> Placement:
        uncached = (
            max(0, metadata.prompt_tokens - chosen.cached_tokens)
            if service.engine
            else 0
        )
        for part in metadata.prompt_parts:
            record.cached_parts[part.name] = now
            record.cached_parts.move_to_end(part.name)
        while len(record.cached_parts) > MAX_CACHED_PARTS:
            record.cached_parts.popitem(last=False)
        record.running += 1
        record.backlog_tokens += uncached
        return Placement(record, float(uncached))

    def _candidates(
        self,
        usable: Iterable[ServerRecord],
        service: records.BackendService,
        preferred: ServerRecord | None,
        metadata: messages.RequestMetadata,
        requirements: server_selection.Requirements,
        now: float,
    ) -> Sequence[server_selection.Candidate]:
        highest_gathering_hash = long_prompts.highest_gathering_hash(
            [
                record.id_hash
                for record in self.of_service(service.name)
                if record.usable
            ]
            if requirements.gathering
            else (),
            requirements.gathering,
        )
        prefilled_tokens = (
            1e3 * requirements.report_age_s * requirements.tokens_per_ms
        )
        preferred_tokens = int(
            PREFERRED_CACHED_SHARE
            * sum(part.tokens for part in metadata.prompt_parts[:-1])
        )
        return [
            server_selection.Candidate(
                record.entry.id,
                record.entry.slots,
                record.running + record.peer_running,
                record.backlog_tokens
                + max(
                    0.0,
                    record.peer_backlog_tokens
                    - prefilled_tokens / record.slowness(now),
                ),
                max(
                    _cached_tokens(record, metadata),
                    preferred_tokens if record is preferred else 0,
                ),
                record.entry.data_centre == self._data_centre,
                health.is_avoided(record.health_state, now),
                now < record.cold_until,
                record.id_hash <= highest_gathering_hash,
                record.slowness(now),
            )
            for record in usable
        ]

    def mark_prefilled(self, placement: Placement) -> None:
        """Record that the prompt is prefilled, as the response has begun."""
        placement.record.backlog_tokens = max(
            0.0, placement.record.backlog_tokens - placement.uncached_tokens
        )
        placement.uncached_tokens = 0.0

    def release(self, placement: Placement) -> None:
        """Release the slot; idempotent."""
        if placement.ended:
            return
        placement.ended = True
        self.mark_prefilled(placement)
        placement.record.running -= 1

    def record_outcome(
        self, record: ServerRecord, outcome: health.Outcome, now: float
    ) -> bool:
        """Update health; returns whether the server is now newly avoided."""
        was_avoided = health.is_avoided(record.health_state, now)
        record.health_state = health.updated(record.health_state, outcome, now)
        if outcome is health.Outcome.UNREACHABLE:
            record.close_idle_connections()
        return not was_avoided and health.is_avoided(record.health_state, now)

    # Load reports

    def own_load(self) -> dict[int, tuple[int, int]]:
        """Running requests and prefill backlog of this node, by server."""
        return {
            record.key: (record.running, int(record.backlog_tokens))
            for record in self.by_id.values()
            if record.running
        }

    def apply_report(
        self,
        node: ids.NodeId,
        report: reports.Load,
        now: float,
        age_s: float = 0.0,
    ) -> None:
        """Replace the load reported by another node.

        Parameters
        ----------
        age_s : float
            Age of the figures when they arrived.
        """
        _, before = self._reports.get(node, (0.0, {}))
        self._reports[node] = (now, report)
        self._reported_age_s = age_s
        self._replace_report(before, report)

    def report_age_s(self, now: float) -> float:
        """Return the mean age of the load reported by other nodes."""
        if not self._reports:
            return 0.0
        received_at = statistics.fmean(at for at, _ in self._reports.values())
        return now - received_at + self._reported_age_s

    def expire_reports(self, now: float, interval_s: float) -> None:
        """Remove the reports of nodes that have stopped reporting.

        Parameters
        ----------
        interval_s : float
            Interval between the reports of a node.
        """
        limit_s = max(REPORT_AGE_S, REPORT_AGE_INTERVALS * interval_s)
        for node, (at, report) in list(self._reports.items()):
            if now - at >= limit_s:
                del self._reports[node]
                self._replace_report(report, {})

    def clear_reports(self) -> None:
        """Remove all reports.

        Used when the source of the reports changes, so that the same load is
        not counted twice.
        """
        self._reports.clear()
        for record in self.by_id.values():
            record.peer_running = 0
            record.peer_backlog_tokens = 0

    def _replace_report(
        self, before: reports.Load, after: reports.Load
    ) -> None:
        for report, sign in ((before, -1), (after, 1)):
            for key, (running, backlog) in report.items():
                record = self._by_key.get(key)
                if record is not None:
                    record.peer_running += sign * running
                    record.peer_backlog_tokens += sign * backlog

    def _apply_reports(self, record: ServerRecord) -> None:
        """Set the load of a new record from the current reports."""
        for _, report in self._reports.values():
            running, backlog = report.get(record.key, (0, 0))
            record.peer_running += running
            record.peer_backlog_tokens += backlog


def _cached_tokens(
    record: ServerRecord, metadata: messages.RequestMetadata
) -> int:
    total = 0
    for part in metadata.prompt_parts:
        if part.name not in record.cached_parts:
            break
        total += part.tokens
    return total
