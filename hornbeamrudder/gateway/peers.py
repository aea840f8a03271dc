"""Reports between nodes: msgpack datagrams on the internal port.

A report holds totals, so a lost datagram only delays what it says.
"""

import asyncio
import dataclasses
import statistics
from typing import Any, Callable, Mapping

import msgpack

from . import clock
from ..core import ids
from ..core import types

FORMAT = 1
# Interval of the reports with few nodes; with many, it grows so that a node
# receives a bounded number of datagrams a second.
MIN_INTERVAL_S = 0.15
MAX_DATAGRAMS_PER_S = 70.0
# Reports missed before a node counts as not heard.
MISSED_REPORTS = 5
# Larger datagrams would be split by the network.
MAX_DATAGRAM_BYTES = 1400


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What one node tells the others.

    Attributes
    ----------
    started : int
        Start of the node's process, milliseconds since 1970.
    wall : float
        Time of day at the node, in seconds since 1970.
    units_by_account : mapping
        Units admitted since the start and units left, by account.
    load_by_server : mapping
        Requests in progress and unread prompt tokens, by backend server.
    waiting_by_service : mapping
        Waiting requests and their prompt tokens, by service.
    duty_number : int
        Fencing number of the duties that the node holds; 0 for none.
    """

    node: ids.NodeId
    started: int
    wall: float
    units_by_account: Mapping[str, tuple[float, float]]
    load_by_server: Mapping[str, tuple[int, float]]
    waiting_by_service: Mapping[str, tuple[int, float]]
    duty_number: int = 0


def encode(report: Report) -> bytes:
    """Encode a report for one datagram."""
    packed: bytes = msgpack.packb(
        [
            FORMAT,
            report.node,
            report.started,
            report.wall,
            {
                name: (int(spent), int(level))
                for name, (spent, level) in report.units_by_account.items()
            },
            report.load_by_server,
            report.waiting_by_service,
            report.duty_number,
        ]
    )
    return packed


def decode(data: bytes) -> Report | None:
    """Decode a datagram; None where it is not a report."""
    try:
        fields = msgpack.unpackb(data)
        if fields[0] != FORMAT:
            return None
        return Report(
            ids.NodeId(str(fields[1])),
            int(fields[2]),
            float(fields[3]),
            {str(name): (a, b) for name, (a, b) in fields[4].items()},
            {str(name): (a, b) for name, (a, b) in fields[5].items()},
            {str(name): (a, b) for name, (a, b) in fields[6].items()},
            int(fields[7]),
        )
    except (ValueError, TypeError, IndexError, AttributeError):
        return None


def interval_s(nodes: int) -> float:
    """Time between two reports of a node."""
    return max(MIN_INTERVAL_S, nodes / MAX_DATAGRAMS_PER_S)


@dataclasses.dataclass(slots=True)
class _Heard:
    at: float
    report: Report
    wall_offset_s: float


class Peers(asyncio.DatagramProtocol):
    """The other nodes: which are known, and which are heard."""

    def __init__(
        self, node: ids.NodeId, on_report: Callable[[Report], None]
    ) -> None:
        self.node = node
        self.address_by_node: dict[ids.NodeId, types.Address] = {}
        self.malformed = 0
        self.other: Callable[[bytes], bool] = lambda data: False
        self.unreachable = 0
        self.sent_bytes = 0
        self._on_report = on_report
        self._heard: dict[ids.NodeId, _Heard] = {}
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def known(self) -> int:
        """Nodes that are registered, this one included."""
        return len(self.address_by_node.keys() | {self.node})

    def heard_nodes(self) -> frozenset[ids.NodeId]:
        """Registered nodes that have reported lately, without this one."""
        limit_s = MISSED_REPORTS * interval_s(self.known)
        now = clock.now()
        return frozenset(
            node
            for node, heard in self._heard.items()
            if now - heard.at < limit_s and node in self.address_by_node
        )

    def silent_for(self, node: ids.NodeId) -> float:
        """Seconds since the last report of a node; infinite for none."""
        heard = self._heard.get(node)
        return float('inf') if heard is None else clock.now() - heard.at

    def heard_share(self) -> float:
        """Part of the registered nodes that are heard, this one included."""
        return (1 + len(self.heard_nodes())) / self.known

    def reports(self) -> list[Report]:
        """Newest reports of the nodes that are heard."""
        return [self._heard[node].report for node in self.heard_nodes()]

    def true_time(self) -> float:
        """Time of day by the median of all nodes' clocks, in seconds."""
        offsets = [0.0]
        offsets.extend(
            self._heard[node].wall_offset_s for node in self.heard_nodes()
        )
        return clock.wall() + statistics.median_low(sorted(offsets))

    def send(self, report: Report) -> None:
        """Send a report to all registered nodes."""
        if self._transport is None:
            return
        data = encode(report)
        for node, address in self.address_by_node.items():
            if node != self.node:
                self._transport.sendto(data, (address.ip, address.port))
                self.sent_bytes += len(data)

    def send_to(self, node: ids.NodeId, data: bytes) -> None:
        """Send other bytes to one node; may be lost."""
        address = self.address_by_node.get(node)
        if self._transport is not None and address is not None:
            self._transport.sendto(data, (address.ip, address.port))
            self.sent_bytes += len(data)

    # asyncio.DatagramProtocol

    def connection_made(self, transport: Any) -> None:
        """Keep the transport; called by the event loop."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        """Take in a report; called by the event loop."""
        if self.other(data):
            return
        report = decode(data)
        if report is None or report.node == self.node:
            self.malformed += report is None
            return
        self._heard[report.node] = _Heard(
            clock.now(), report, report.wall - clock.wall()
        )
        self._on_report(report)

    def error_received(self, error: Exception) -> None:
        """Count an unreachable node; the report is sent again anyway."""
        self.unreachable += 1
