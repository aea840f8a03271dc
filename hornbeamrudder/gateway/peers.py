"""The other nodes: which are known, which are heard, and through which hubs.

With few nodes, each reports to each. With many, each reports to hubs, and a
node hears the others through the digests of one of them.
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

# Interval of the reports where each node reports to each.
MIN_INTERVAL_S = 0.15
# The same through hubs, and the digests that a hub sends in a second at most.
HUB_INTERVAL_S = 0.3
MAX_DIGESTS_PER_S = 300.0
# Reports missed before a node counts as not heard.
MISSED_REPORTS = 5
# The same for limits of accounts: a node that does not know what others admit
# must soon leave them their part.
FRESH_REPORTS = 2.5
# Digests missed before those of another hub are used, and before no hub's are.
LATE_DIGESTS = 3
MISSED_DIGESTS = 5
# Each request asks which nodes are heard; the answer is kept for this long.
LOOK_INTERVAL_S = 0.05
# A hub whose digests are used hears this part of what any other hub hears.
OWN_SUMS_SHARE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class KnownNode:
    """A registered node.

    Attributes
    ----------
    link_mbps : float
        Speed of its link; 0 if unknown.
    """

    address: types.Address
    link_mbps: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """The newest report of a node.

    Attributes
    ----------
    address : Address
        Where it came from.
    """

    at: float
    report: reports.Report
    address: types.Address
    wall_offset_s: float


@dataclasses.dataclass(slots=True)
class HubView:
    """The newest digests of one hub, and when they came."""

    load: reports.LoadDigest | None = None
    load_at: float = float('-inf')
    members: reports.MembersDigest | None = None
    members_at: float = float('-inf')
    wall_offset_s: float = 0.0

    @property
    def member_count(self) -> int:
        """Nodes that the hub hears."""
        return len(self.members.members) if self.members else 0


def interval_s(nodes: int) -> float:
    """Time between two reports of a node."""
    if nodes <= hubs.FEW_NODES:
        return MIN_INTERVAL_S
    return max(HUB_INTERVAL_S, nodes / MAX_DIGESTS_PER_S)


class Peers(asyncio.DatagramProtocol):
    """The other nodes, and the datagrams between them."""

    def __init__(self, node: ids.NodeId) -> None:
        self.node = node
        self.on_message: Callable[[reports.Message], None] = lambda _: None
        # Takes datagrams of other kinds, by their decoded fields.
        self.other: Callable[[Any], bool] = lambda fields: False
        self.malformed = 0
        self.unreachable = 0
        self.sent_bytes = 0
        self.known_by_id: dict[ids.NodeId, KnownNode] = {}
        self._name_by_key: dict[int, ids.NodeId] = {}
        self._choice = hubs.HubChoice(node)
        self._heard: dict[ids.NodeId, Heard] = {}
        self._view_by_hub: dict[ids.NodeId, HubView] = {}
        self._member_at: dict[ids.NodeId, float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._looked_at = float('-inf')
        self._direct: frozenset[ids.NodeId] = frozenset()
        self._heard_nodes: frozenset[ids.NodeId] = frozenset()
        self._fresh = 0
        self._hubs: list[ids.NodeId] = []
        self._source: HubView | None = None

    # Registered nodes

    def set_known(self, known_by_id: Mapping[ids.NodeId, KnownNode]) -> None:
        """Take in which nodes are registered."""
        self.known_by_id = dict(known_by_id)
        self._name_by_key = {
            reports.node_key(node): node for node in known_by_id
        }
        self._choice.set_nodes(
            {node: known.link_mbps for node, known in known_by_id.items()}
        )
        self._looked_at = float('-inf')

    @property
    def known(self) -> int:
        """Nodes that are registered, this one included."""
        return len(self.known_by_id) + (self.node not in self.known_by_id)

    @property
    def uses_hubs(self) -> bool:
        """Whether there are so many nodes that hubs add up reports."""
        return self.known > hubs.FEW_NODES

    # What is heard

    def _look(self) -> None:
        """Find out who is heard, and through whom, if some time has passed."""
        now = clock.now()
        if 0.0 <= now - self._looked_at < LOOK_INTERVAL_S:
            return
        self._looked_at = now
        limit_s = MISSED_REPORTS * interval_s(self.known)
        self._direct = frozenset(
            node
            for node, heard in self._heard.items()
            if now - heard.at < limit_s and node in self.known_by_id
        )
        self._heard_nodes = self._direct
        fresh_s = FRESH_REPORTS * interval_s(self.known)
        self._fresh = sum(
            now - self._heard[node].at < fresh_s for node in self._direct
        )
        self._hubs, self._source = [], None
        if not self.uses_hubs:
            return
        self._hubs = self._choice.choose(now)
        view = self._best_view(now)
        members = self._members(view, now)
        if self.node in self._hubs and len(
            self._direct
        ) + 1 >= OWN_SUMS_SHARE * len(members):
            return
        self._source = view
        self._heard_nodes = members - {self.node}
        self._fresh = len(self._heard_nodes)

    def _best_view(self, now: float) -> HubView | None:
        """Digests of the first hub that sends them in time and hears most."""
        report_s = interval_s(self.known)
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
        most = max((view.member_count for view in views), default=0)
        views = [
            view
            for view in views
            if view.member_count >= OWN_SUMS_SHARE * most
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
            or now - view.members_at > hubs.SILENT_S
        ):
            return frozenset()
        return frozenset(
            self._name_by_key[key]
            for key in view.members.members
            if key in self._name_by_key
        )

    def hubs(self) -> list[ids.NodeId]:
        """Nodes that add up the reports; empty where all report to all."""
        self._look()
        return self._hubs

    def source(self) -> HubView | None:
        """Digests of the hub that speaks for the other nodes.

        Returns
        -------
        HubView or None
            None where this node hears the others itself, or none at all.
        """
        self._look()
        return self._source

    def hears_directly(self) -> bool:
        """Whether this node adds up the reports of the others itself."""
        self._look()
        return self._source is None

    def heard_nodes(self) -> frozenset[ids.NodeId]:
        """Registered nodes whose figures are known, without this one."""
        self._look()
        return self._heard_nodes

    def direct_reports(self) -> dict[ids.NodeId, Heard]:
        """Newest reports of the nodes that report to this one."""
        self._look()
        return {node: self._heard[node] for node in self._direct}

    def silent_for(self, node: ids.NodeId) -> float:
        """Seconds since a node was heard by anyone; infinite for never."""
        heard = self._heard.get(node)
        last = max(
            self._member_at.get(node, float('-inf')),
            heard.at if heard else float('-inf'),
        )
        return clock.now() - last

    def heard_share(self) -> float:
        """Part of the registered nodes whose admitted units are known."""
        self._look()
        return (1 + self._fresh) / self.known

    def waiting(self, service: ids.ServiceName) -> int:
        """Waiting requests of a service at the other nodes."""
        source = self.source()
        if source is not None:
            load = source.load
            return load.waiting_by_service.get(service, 0) if load else 0
        return sum(
            heard.report.waiting_by_service.get(service, 0)
            for heard in self.direct_reports().values()
        )

    def true_time(self) -> float:
        """Time of day by the median of all nodes' clocks, in seconds."""
        source = self.source()
        if source is not None and source.members is not None:
            return clock.wall() + source.wall_offset_s
        offsets = [0.0]
        offsets.extend(
            heard.wall_offset_s for heard in self.direct_reports().values()
        )
        return clock.wall() + statistics.median_low(sorted(offsets))

    # Sending

    def send(self, report: reports.Report) -> None:
        """Send a report to the hubs, or to all nodes where there are few."""
        targets = self.hubs() if self.uses_hubs else list(self.known_by_id)
        data = reports.encode(report)
        for node in targets:
            if node != self.node:
                self.send_to(node, data)

    def send_to(self, node: ids.NodeId, data: bytes) -> None:
        """Send bytes to one registered node; may be lost."""
        known = self.known_by_id.get(node)
        if known is not None:
            self.send_bytes(known.address, data)

    def send_bytes(self, address: types.Address, data: bytes) -> None:
        """Send bytes to an address; may be lost."""
        if self._transport is not None:
            self._transport.sendto(data, (address.ip, address.port))
            self.sent_bytes += len(data)

    # asyncio.DatagramProtocol

    def connection_made(self, transport: Any) -> None:
        """Keep the transport; called by the event loop."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        """Take in a message; called by the event loop."""
        try:
            fields = msgpack.unpackb(data)
        except ValueError:
            self.malformed += 1
            return
        if self.other(fields):
            return
        message = reports.decode(fields)
        if message is None:
            self.malformed += 1
            return
        if self._note(message, types.Address(address[0], address[1])):
            self.on_message(message)

    def _note(self, message: reports.Message, address: types.Address) -> bool:
        """Keep a message; returns whether it is another node's."""
        now = clock.now()
        match message:
            case reports.Report(node=node):
                if node == self.node:
                    return False
                self._heard[node] = Heard(
                    now, message, address, message.wall - clock.wall()
                )
            case reports.LoadDigest(hub=hub):
                view = self._view_by_hub.setdefault(hub, HubView())
                view.load, view.load_at = message, now
                self._choice.answered(hub, now)
            case reports.MembersDigest(hub=hub):
                view = self._view_by_hub.setdefault(hub, HubView())
                view.members, view.members_at = message, now
                view.wall_offset_s = message.true_time - clock.wall()
                self._member_at.update(
                    (self._name_by_key[key], now)
                    for key in message.members
                    if key in self._name_by_key
                )
        return True

    def error_received(self, error: Exception) -> None:
        """Count an unreachable node; the report is sent again anyway."""
        self.unreachable += 1
