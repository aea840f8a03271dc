"""Reports the end of members whose hosts the cloud API records as gone."""

import threading
from typing import Callable, Protocol

from returns import result
import structlog

from ..core import errors
from ..core import hosts
from ..core import ids
from ..peers import view as peer_view
from . import state

INTERVAL_S = 1.0
# A silent member is looked up only after this time, so that healthy nodes
# cost no calls to the cloud API.
SILENT_S = 3.0
MAX_LOOKUPS = 16

FindHost = Callable[
    [ids.HostId], result.Result[hosts.CloudHost, errors.Failure]
]

log = structlog.get_logger()


class Service(Protocol):
    """The part of `service.ConfigurationService` that is used here."""

    def current(self) -> state.Content | None:
        """Version in force on this node."""

    def view(self) -> peer_view.View:
        """What the peers have reported."""

    def confirm_ended(
        self, node: ids.NodeId, incarnation: ids.Incarnation
    ) -> None:
        """Tell that a process has ended."""


class EndedMembers:
    """Looks up the hosts of silent members.

    Only the cloud API's own record with the phase gone counts: an unknown
    host, a failed call and the host list, which lags, prove nothing.
    Members are remembered while this process runs, since later versions
    still need the majority of earlier member sets.
    """

    def __init__(
        self,
        node: ids.NodeId,
        service: Service,
        find_host: FindHost,
        clock: Callable[[], float],
    ) -> None:
        self._node = node
        self._service = service
        self._find_host = find_host
        self._clock = clock
        self._host_by_voter: dict[state.Voter, ids.HostId] = {}
        self._silent_since: dict[state.Voter, float] = {}
        self._ended: set[state.Voter] = set()
        self._closing = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='ended-members', daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread after the current look-up."""
        self._closing.set()
        if self._thread.is_alive():
            self._thread.join()

    def step(self) -> None:
        """Look up the hosts of members that have been silent."""
        content = self._service.current()
        if content is None:
            return
        needed = {
            voter
            for electorate in state.all_electorates(content.row)
            for voter in electorate
        }
        self._host_by_voter |= {
            (member.node, member.incarnation): member.host
            for member in content.row.members
            if member.host and member.node != self._node
        }
        self._host_by_voter = {
            voter: host
            for voter, host in self._host_by_voter.items()
            if voter in needed
        }
        for voter in self._silent_voters()[:MAX_LOOKUPS]:
            self._look_up(voter)

    def _silent_voters(self) -> list[state.Voter]:
        now = self._clock()
        view = self._service.view()
        heard = {
            (peer.node, peer.incarnation): peer.received_at
            for peer in view.peers_by_node.values()
        }
        self._silent_since = {
            voter: heard.get(voter, self._silent_since.get(voter, now))
            for voter in self._host_by_voter
        }
        return sorted(
            voter
            for voter, since in self._silent_since.items()
            if voter not in self._ended and now - since >= SILENT_S
        )

    def _look_up(self, voter: state.Voter) -> None:
        match self._find_host(self._host_by_voter[voter]):
            case result.Success(host) if host.phase is hosts.HostPhase.GONE:
                self._ended.add(voter)
                log.info('member has ended', node=voter[0], host=host.id)
                self._service.confirm_ended(*voter)

    def _run(self) -> None:
        while not self._closing.wait(INTERVAL_S):
            try:
                self.step()
            except Exception:
                # Without this thread changes would stay blocked.
                log.exception('look-up of members failed')
