"""What a node knows of the backend servers: entries, load, health, caches."""

import collections
import dataclasses
from typing import Callable, Iterable, Iterator, Mapping

from ..core import ids
from . import health
from . import http_client
from . import messages
from . import placing
from . import records

# Prompt parts remembered for each backend server, the newest ones.
MAX_PARTS = 2000
# Part of a prompt prefix that the preferred backend server is taken to hold
# although this node has not sent it there.
PREFERRED_SHARE = 0.8
# Connections kept for each backend server.
MAX_IDLE_CONNECTIONS = 8
# Backend servers drop idle connections, at times sooner than they say.
MAX_IDLE_S = 1.0
# Share of the stated keep-alive time during which a connection is used.
KEEP_ALIVE_SHARE = 0.5
# Reports of other nodes older than this no longer count.
REPORT_AGE_S = 1.5


@dataclasses.dataclass(slots=True)
class Placement:
    """A request's place at a backend server.

    Attributes
    ----------
    missing_tokens : float
        Prompt tokens that the server has to read; 0 once it has.
    """

    record: 'ServerRecord'
    missing_tokens: float
    ended: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class ServerRecord:
    """One backend server and what is known of it."""

    entry: records.BackendServer
    condition: health.Health = health.Health()
    running: int = 0
    backlog_tokens: float = 0.0
    peer_running: int = 0
    peer_backlog_tokens: float = 0.0
    cold_until: float = 0.0
    leaving_since: float | None = None
    leaves_at: float | None = None
    missing_since: float | None = None
    parts: collections.OrderedDict[str, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    idle: list[http_client.ServerConnection] = dataclasses.field(
        default_factory=list
    )

    @property
    def usable(self) -> bool:
        """Whether new requests may be sent there."""
        return (
            self.leaving_since is None
            and self.entry.state is records.ServerState.READY
        )

    def take_idle(self, now: float) -> http_client.ServerConnection | None:
        """Return a kept connection that is likely to be open still."""
        while self.idle:
            connection = self.idle.pop()
            limit_s = MAX_IDLE_S
            if connection.keep_alive_s is not None:
                limit_s = min(
                    limit_s, connection.keep_alive_s * KEEP_ALIVE_SHARE
                )
            if connection.reusable and now - connection.idle_since < limit_s:
                return connection
            connection.abort()
        return None

    def keep(self, connection: http_client.ServerConnection) -> None:
        """Keep a connection for another request, or close it."""
        if (
            connection.reusable
            and self.usable
            and len(self.idle) < MAX_IDLE_CONNECTIONS
        ):
            self.idle.append(connection)
        else:
            connection.abort()

    def drop_idle(self) -> None:
        """Close the kept connections."""
        for connection in self.idle:
            connection.abort()
        self.idle.clear()


class ServerBook:
    """All backend servers by their ids."""

    def __init__(
        self,
        data_centre: ids.DataCentreName,
        on_leaving: Callable[[ServerRecord], None],
    ) -> None:
        self.by_id: dict[ids.WorkerId, ServerRecord] = {}
        self._data_centre = data_centre
        self._on_leaving = on_leaving
        self._reports: dict[
            ids.NodeId, tuple[float, Mapping[str, tuple[int, float]]]
        ] = {}

    def of_service(self, service: ids.ServiceName) -> Iterator[ServerRecord]:
        """Iterate over the backend servers of a service."""
        return (
            record
            for record in self.by_id.values()
            if record.entry.service == service
        )

    def put(self, entry: records.BackendServer, now: float) -> None:
        """Take in a new or changed entry."""
        record = self.by_id.get(entry.id)
        if record is not None and (
            record.entry.started != entry.started
            or record.entry.address != entry.address
        ):
            # Another run under the same id knows nothing of before.
            record.drop_idle()
            self._leave(record, now)
            record = None
        if record is None:
            record = ServerRecord(entry)
            self.by_id[entry.id] = record
            self._apply_reports()
        record.entry = entry
        record.missing_since = None
        record.cold_until = now + entry.cold_s
        if entry.leaves_in_s is not None:
            record.leaves_at = now + entry.leaves_in_s
        if entry.state is records.ServerState.LEAVING:
            self._leave(record, now)

    def remove(self, server: ids.WorkerId, now: float) -> None:
        """Take out a backend server whose entry is gone."""
        record = self.by_id.pop(server, None)
        if record is not None:
            record.drop_idle()
            self._leave(record, now)

    def _leave(self, record: ServerRecord, now: float) -> None:
        if record.leaving_since is None:
            record.leaving_since = now
            record.drop_idle()
            self._on_leaving(record)

    def reserve(
        self,
        service: records.BackendService,
        facts: messages.CallerFacts,
        need: placing.Need,
        excluded: Iterable[ids.WorkerId],
        chooser: Callable[
            [list[placing.Candidate], placing.Need],
            placing.Candidate | None,
        ],
        now: float,
    ) -> Placement | None:
        """Choose a backend server and count the request there."""
        usable = [
            record
            for record in self.of_service(service.name)
            if record.usable and record.entry.id not in excluded
        ]
        # Servers whose entries lapsed in an outage may be gone: they serve
        # only while no other entry is there.
        usable = [
            record for record in usable if record.missing_since is None
        ] or usable
        candidates = self._candidates(usable, service, facts, now)
        chosen = chooser(candidates, need)
        if chosen is None:
            return None
        record = self.by_id[chosen.id]
        missing = (
            max(0, facts.prompt_tokens - chosen.cached_tokens)
            if service.engine
            else 0
        )
        for part in facts.prompt_parts:
            record.parts[part.name] = now
            record.parts.move_to_end(part.name)
        while len(record.parts) > MAX_PARTS:
            record.parts.popitem(last=False)
        record.running += 1
        record.backlog_tokens += missing
        return Placement(record, float(missing))

    def _candidates(
        self,
        usable: list[ServerRecord],
        service: records.BackendService,
        facts: messages.CallerFacts,
        now: float,
    ) -> list[placing.Candidate]:
        shared = facts.prompt_parts[:-1]
        preferred = (
            placing.preferred(
                shared[-1].name, [item.entry.id for item in usable]
            )
            if shared and service.engine
            else None
        )
        shared_tokens = sum(part.tokens for part in shared)
        return [
            placing.Candidate(
                id=record.entry.id,
                slots=record.entry.slots,
                running=record.running + record.peer_running,
                backlog_tokens=record.backlog_tokens
                + record.peer_backlog_tokens,
                cached_tokens=max(
                    _cached_tokens(record, facts),
                    int(shared_tokens * PREFERRED_SHARE)
                    if record.entry.id == preferred
                    else 0,
                ),
                same_data_centre=record.entry.data_centre == self._data_centre,
                avoided=health.is_avoided(record.condition, now),
                cold=now < record.cold_until,
            )
            for record in usable
        ]

    def prompt_read(self, placement: Placement) -> None:
        """Note that the backend server has begun to answer."""
        placement.record.backlog_tokens = max(
            0.0, placement.record.backlog_tokens - placement.missing_tokens
        )
        placement.missing_tokens = 0.0

    def release(self, placement: Placement) -> None:
        """Give the place back; may be called twice."""
        if placement.ended:
            return
        placement.ended = True
        self.prompt_read(placement)
        placement.record.running -= 1

    def judge(
        self, record: ServerRecord, outcome: health.Outcome, now: float
    ) -> bool:
        """Take in an outcome; returns whether the server is newly avoided."""
        was_avoided = health.is_avoided(record.condition, now)
        record.condition = health.updated(record.condition, outcome, now)
        if outcome is health.Outcome.UNREACHABLE:
            record.drop_idle()
        return not was_avoided and health.is_avoided(record.condition, now)

    # Reports of other nodes

    def own_report(self) -> dict[str, tuple[int, int]]:
        """Requests and unread prompt tokens of this node, by server."""
        return {
            server: (record.running, int(record.backlog_tokens))
            for server, record in self.by_id.items()
            if record.running
        }

    def take_report(
        self,
        node: ids.NodeId,
        report: Mapping[str, tuple[int, float]],
        now: float,
    ) -> None:
        """Take in the report of another node."""
        self._reports[node] = (now, report)

    def refresh_reports(self, now: float) -> None:
        """Add up the reports and forget those of silent nodes."""
        self._reports = {
            node: (at, report)
            for node, (at, report) in self._reports.items()
            if now - at < REPORT_AGE_S
        }
        self._apply_reports()

    def _apply_reports(self) -> None:
        running: collections.Counter[str] = collections.Counter()
        backlog: collections.Counter[str] = collections.Counter()
        for _, report in self._reports.values():
            for server, (count, tokens) in report.items():
                running[server] += count
                backlog[server] += int(tokens)
        for server, record in self.by_id.items():
            record.peer_running = running[server]
            record.peer_backlog_tokens = backlog[server]


def _cached_tokens(record: ServerRecord, facts: messages.CallerFacts) -> int:
    total = 0
    for part in facts.prompt_parts:
        if part.name not in record.parts:
            break
        total += part.tokens
    return total
