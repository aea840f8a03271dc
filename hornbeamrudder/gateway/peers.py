"""Other nodes: registration, liveness, and datagrams between nodes.

Small deployments use a full mesh of reports. In large ones each node reports
to the hubs, and learns about the others from the digests of one hub.
"""

import asyncio
import dataclasses
import statistics
from typing import Any, Callable, Mapping

import msgpack

from . import clock
from ..core import ids
from ..core import types
from . import hubs
from . import reports

# Interval between reports in a full mesh.
MIN_INTERVAL_S = 0.15
# Minimum interval between reports to hubs, and maximum digest rate of a hub.
HUB_INTERVAL_S = 0.3
MAX_DIGESTS_PER_S = 700.0
# Missed reports after which a node no longer counts as live.
MISSED_REPORTS = 5
# The same for account limits: lower, because a node that lacks the units
# admitted by others must soon reduce its share of the limit.
FRESH_REPORTS = 2.5
# Missed digests after which another hub is preferred, and after which the
# digests of a hub are no longer used.
LATE_DIGESTS = 3
MISSED_DIGESTS = 5
# Each request needs the set of live nodes, so it is cached for this long.
REFRESH_INTERVAL_S = 0.05
# Until the holder of the duties counts as gone, in a full mesh and with hubs:
# at least this long, and this many reports.
HOLDER_TIMEOUT_S = 1.0
RELAYED_HOLDER_TIMEOUT_S = 2.0
HOLDER_MISSED_REPORTS = 2.5
# The sums of a hub are used only if they cover at least this share of the
# nodes that any other hub's sums cover.
MIN_COVERAGE_SHARE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class KnownNode:
    """A registered node.

    Attributes
    ----------
    link_mbps : float
        Link speed in Mbit/s; 0 if unknown.
    """

    address: types.Address
    link_mbps: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedReport:
    """Latest report of a node.

    Attributes
    ----------
    address : Address
        Source address of the datagram.
    """

    at: float
    report: reports.Report
    address: types.Address
    wall_offset_s: float


@dataclasses.dataclass(slots=True)
class HubView:
    """Latest digests of one hub, and the times at which they were received."""

    load: reports.LoadDigest | None = None
    load_at: float = float('-inf')
    members: reports.MembersDigest | None = None
    members_at: float = float('-inf')
    wall_offset_s: float = 0.0

    @property
    def member_count(self) -> int:
        """Number of nodes included in the hub's sums."""
        return len(self.members.members) if self.members else 0


@dataclasses.dataclass(frozen=True, slots=True)
class ClockBound:
    """A time on another node's clock that has passed.

    Attributes
    ----------
    started : int
        Start of that node's process.
    clock_s : float
        Time on that node's clock.
    at : float
        Time on this node's clock at or after that time.
    """

    started: int
    clock_s: float
    at: float


def interval_s(nodes: int) -> float:
    """Return the interval between reports of a node."""
    if nodes <= hubs.MAX_DIRECT_NODES:
        return MIN_INTERVAL_S
    return max(HUB_INTERVAL_S, nodes / MAX_DIGESTS_PER_S)


class Peers(asyncio.DatagramProtocol):
    """Tracks the other nodes and exchanges datagrams with them."""

    def __init__(self, node: ids.NodeId) -> None:
        self.node = node
        self.on_message: Callable[[reports.Message], None] = lambda _: None
        # Handles other datagrams, given their decoded fields; returns whether
        # it has handled one.
        self.on_other_datagram: Callable[[Any], bool] = lambda fields: False
        self.malformed = 0
        self.unreachable = 0
        self.sent_bytes = 0
        self.known_by_id: dict[ids.NodeId, KnownNode] = {}
        self._node_by_key: dict[int, ids.NodeId] = {}
        self._hub_selector = hubs.HubSelector(node)
        self._received_by_node: dict[ids.NodeId, ReceivedReport] = {}
        self._view_by_hub: dict[ids.NodeId, HubView] = {}
        self._member_reported_at: dict[ids.NodeId, float] = {}
        self._clock_by_node: dict[ids.NodeId, ClockBound] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._refreshed_at = float('-inf')
        self._direct_nodes: frozenset[ids.NodeId] = frozenset()
        self._live_nodes: frozenset[ids.NodeId] = frozenset()
        self._fresh_count = 0
        self._hubs: list[ids.NodeId] = []
        self._source: HubView | None = None

    # Registered nodes

    def set_known(self, known_by_id: Mapping[ids.NodeId, KnownNode]) -> None:
        """Set the registered nodes."""
        self.known_by_id = dict(known_by_id)
        self._node_by_key = {
            reports.node_key(node): node for node in known_by_id
        }
        self._hub_selector.set_nodes(
            {node: known.link_mbps for node, known in known_by_id.items()}
        )
        self._clock_by_node = {
            node: bound
            for node, bound in self._clock_by_node.items()
            if node in known_by_id
        }
        self._refreshed_at = float('-inf')

    @property
    def node_count(self) -> int:
        """Number of registered nodes, including this one."""
        return len(self.known_by_id) + (self.node not in self.known_by_id)

    @property
    def uses_hubs(self) -> bool:
        """Whether there are enough nodes for hubs to aggregate reports."""
        return self.node_count > hubs.MAX_DIRECT_NODES

    # Liveness

    def _refresh(self) -> None:
        """Update the cached live nodes, hubs and digest source if due."""
        now = clock.now()
        if 0.0 <= now - self._refreshed_at < REFRESH_INTERVAL_S:
            return
        self._refreshed_at = now
        limit_s = MISSED_REPORTS * interval_s(self.node_count)
        self._direct_nodes = frozenset(
            node
            for node, received in self._received_by_node.items()
            if now - received.at < limit_s and node in self.known_by_id
        )
        self._live_nodes = self._direct_nodes
        fresh_s = FRESH_REPORTS * interval_s(self.node_count)
        self._fresh_count = sum(
            now - self._received_by_node[node].at < fresh_s
            for node in self._direct_nodes
        )
        self._hubs, self._source = [], None
        if not self.uses_hubs:
            return
        self._hubs = self._hub_selector.choose(now)
        view = self._best_view(now)
        members = self._members(view, now)
        if self.node in self._hubs and len(
            self._direct_nodes
        ) + 1 >= MIN_COVERAGE_SHARE * len(members):
            return
        self._source = view
        self._live_nodes = members - {self.node}
        self._fresh_count = len(self._live_nodes)

    def _best_view(self, now: float) -> HubView | None:
        """Return the first hub with timely digests and sufficient coverage."""
        report_s = interval_s(self.node_count)
        views = [
            self._view_by_hub[hub]
            for hub in self._hubs
            if hub in self._view_by_hub
        ]
        views = [
            view
            for view in views
            if now - view.load_at < MISSED_DIGESTS * report_s
        ]
        max_members = max((view.member_count for view in views), default=0)
        views = [
            view
            for view in views
            if view.member_count >= MIN_COVERAGE_SHARE * max_members
        ]
        for view in views:
            if now - view.load_at < LATE_DIGESTS * report_s:
                return view
        return max(views, key=lambda view: view.load_at, default=None)

    def _members(
        self, view: HubView | None, now: float
    ) -> frozenset[ids.NodeId]:
        if (
            view is None
            or view.members is None
            or now - view.members_at
            > max(
                hubs.HUB_TIMEOUT_S,
                MISSED_DIGESTS * interval_s(self.node_count),
            )
        ):
            return frozenset()
        return frozenset(
            self._node_by_key[key]
            for key in view.members.members
            if key in self._node_by_key
        )

    def hubs(self) -> list[ids.NodeId]:
        """Return the nodes that aggregate reports; empty in a full mesh."""
        self._refresh()
        return self._hubs

    def source(self) -> HubView | None:
        """Return the hub whose digests describe the other nodes.

        Returns
        -------
        HubView or None
            None if this node aggregates the reports itself, or if no hub has
            current digests.
        """
        self._refresh()
        return self._source

    def aggregates_reports(self) -> bool:
        """Return whether this node aggregates the reports itself."""
        self._refresh()
        return self._source is None

    def live_nodes(self) -> frozenset[ids.NodeId]:
        """Return other registered nodes with a current report or digest."""
        self._refresh()
        return self._live_nodes

    def direct_reports(self) -> dict[ids.NodeId, ReceivedReport]:
        """Return the latest reports of the nodes that report to this one."""
        self._refresh()
        return {
            node: self._received_by_node[node] for node in self._direct_nodes
        }

    def seconds_since_last_report(self, node: ids.NodeId) -> float:
        """Return seconds since this node or its hubs got a report of `node`.

        Infinite if there was none.
        """
        received = self._received_by_node.get(node)
        last = max(
            self._member_reported_at.get(node, float('-inf')),
            received.at if received else float('-inf'),
        )
        return clock.now() - last

    def heard_share(self) -> float:
        """Return the share of registered nodes with known admitted units."""
        self._refresh()
        return (1 + self._fresh_count) / self.node_count

    def clock_bound(self, node: ids.NodeId) -> ClockBound | None:
        """Return a time on a node's clock that has passed by now.

        Clocks of different nodes run at the same rate, so the time in its
        latest message plus the time since then has passed there. None if
        there was no message.
        """
        known = self._clock_by_node.get(node)
        if known is None:
            return None
        now = clock.now()
        return ClockBound(known.started, known.clock_s + now - known.at, now)

    def _learn_clock(
        self, node: ids.NodeId, started: int, sent_at: float
    ) -> None:
        known = self.clock_bound(node)
        if known is not None and known.started == started:
            sent_at = max(sent_at, known.clock_s)
        self._clock_by_node[node] = ClockBound(started, sent_at, clock.now())

    def holder_timeout_s(self) -> float:
        """Return the time after which a silent holder counts as gone."""
        if not self.uses_hubs:
            return HOLDER_TIMEOUT_S
        return max(
            RELAYED_HOLDER_TIMEOUT_S,
            HOLDER_MISSED_REPORTS * interval_s(self.node_count),
        )

    def reported_duty_number(self) -> int:
        """Return the highest fencing number in recent reports."""
        limit = clock.now() - self.holder_timeout_s()
        return max(
            (
                received.report.duty_number
                for received in self.direct_reports().values()
                if received.at > limit
            ),
            default=0,
        )

    def report_delay_s(self) -> float:
        """Return the time until units of another node are known here.

        0 in a full mesh, whose delay the users' tolerance covers.
        """
        if not self.uses_hubs:
            return 0.0
        # A report to a hub and a digest from it.
        return 2 * interval_s(self.node_count)

    def waiting(self, service: ids.ServiceName) -> int:
        """Return the number of queued requests of a service at other nodes."""
        source = self.source()
        if source is not None:
            load = source.load
            return load.waiting_by_service.get(service, 0) if load else 0
        return sum(
            received.report.waiting_by_service.get(service, 0)
            for received in self.direct_reports().values()
        )

    def cluster_time(self) -> float:
        """Return the Unix time by the median of all nodes' clocks."""
        source = self.source()
        if source is not None and source.members is not None:
            return clock.wall() + source.wall_offset_s
        offsets = [0.0]
        offsets.extend(
            received.wall_offset_s
            for received in self.direct_reports().values()
        )
        return clock.wall() + statistics.median_low(sorted(offsets))

    # Sending

    def send(self, report: reports.Message) -> None:
        """Send a message to the hubs, or to all nodes in a full mesh."""
        targets = self.hubs() if self.uses_hubs else list(self.known_by_id)
        data = reports.encode(report)
        for node in targets:
            if node != self.node:
                self.send_to(node, data)

    def send_to(self, node: ids.NodeId, data: bytes) -> None:
        """Send a datagram to a registered node; delivery is not guaranteed."""
        known = self.known_by_id.get(node)
        if known is not None:
            self.send_bytes(known.address, data)

    def send_bytes(self, address: types.Address, data: bytes) -> None:
        """Send a datagram to an address; delivery is not guaranteed."""
        if self._transport is not None:
            self._transport.sendto(data, (address.ip, address.port))
            self.sent_bytes += len(data)

    # asyncio.DatagramProtocol

    def connection_made(self, transport: Any) -> None:
        """Store the transport; called by the event loop."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        """Handle a datagram; called by the event loop."""
        try:
            fields = msgpack.unpackb(data)
        except ValueError:
            self.malformed += 1
            return
        if self.on_other_datagram(fields):
            return
        message = reports.decode(fields)
        if message is None:
            self.malformed += 1
            return
        if self._store_message(message, types.Address(address[0], address[1])):
            self.on_message(message)

    def _store_message(
        self, message: reports.Message, address: types.Address
    ) -> bool:
        """Store a message; return False if it is this node's own report."""
        now = clock.now()
        match message:
            case reports.Report(node=node):
                if node == self.node:
                    return False
                self._received_by_node[node] = ReceivedReport(
                    now, message, address, message.wall - clock.wall()
                )
                self._learn_clock(node, message.started, message.sent_at)
            case reports.Confirmation(node=node):
                self._hub_selector.record_digest(node, now)
                self._learn_clock(node, message.started, message.sent_at)
            case reports.LoadDigest(hub=hub):
                view = self._view_by_hub.setdefault(hub, HubView())
                view.load, view.load_at = message, now
                self._hub_selector.record_digest(hub, now)
            case reports.MembersDigest(hub=hub):
                view = self._view_by_hub.setdefault(hub, HubView())
                view.members, view.members_at = message, now
                view.wall_offset_s = message.cluster_time - clock.wall()
                self._member_reported_at.update(
                    (self._node_by_key[key], now)
                    for key in message.members
                    if key in self._node_by_key
                )
        return True

    def error_received(self, error: Exception) -> None:
        """Count an unreachable node; the next report is sent regardless."""
        self.unreachable += 1
