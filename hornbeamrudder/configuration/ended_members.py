"""Detects terminated members by their host records in the cloud API."""

import threading
from typing import Callable, Protocol

from returns import result
import structlog

from ..core import errors
from ..core import hosts
from ..core import ids
from ..peers import view as peer_view
from . import versions

CHECK_INTERVAL_S = 1.0
# Members are looked up only after this silence, so that healthy members
# cause no calls to the cloud API.
SILENCE_THRESHOLD_S = 3.0
MAX_LOOKUPS_PER_CHECK = 16

FindHost = Callable[
    [ids.HostId], result.Result[hosts.CloudHost, errors.Failure]
]

log = structlog.get_logger()


class Service(Protocol):
    """Subset of `service.ConfigurationService` used by this module."""

    def current(self) -> versions.VersionedDocument | None:
        """Return the version in force on this node."""

    def view(self) -> peer_view.View:
        """Return the peer states known from heartbeats."""

    def confirm_ended(
        self, node: ids.NodeId, incarnation: ids.Incarnation
    ) -> None:
        """Report a process as terminated."""


class EndedMemberDetector:
    """Looks up the hosts of silent members and reports those that are gone.

    A member counts as terminated only if the cloud API records its host
    with the phase `gone`. An unknown host or a failed call is not sufficient
    evidence, nor is the host list, which lags behind. The host ids of former
    members are kept in memory while their voter sets are required, since later
    versions still need a majority of these sets.
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
        self._host_by_voter: dict[versions.Voter, ids.HostId] = {}
        self._silent_since: dict[versions.Voter, float] = {}
        self._ended: set[versions.Voter] = set()
        self._closing = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='ended-members', daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread once the current check has completed."""
        self._closing.set()
        if self._thread.is_alive():
            self._thread.join()

    def check(self) -> None:
        """Look up the hosts of silent members once."""
        content = self._service.current()
        if content is None:
            return
        required = {
            voter
            for voter_set in versions.required_voter_sets(content.row)
            for voter in voter_set
        }
        self._host_by_voter |= {
            (member.node, member.incarnation): member.host
            for member in content.row.members
            if member.host and member.node != self._node
        }
        self._host_by_voter = {
            voter: host
            for voter, host in self._host_by_voter.items()
            if voter in required
        }
        for voter in self._silent_voters()[:MAX_LOOKUPS_PER_CHECK]:
            self._look_up(voter)

    def _silent_voters(self) -> list[versions.Voter]:
        now = self._clock()
        view = self._service.view()
        heard_at_by_voter = {
            (peer.node, peer.incarnation): peer.received_at
            for peer in view.peers_by_node.values()
        }
        self._silent_since = {
            voter: heard_at_by_voter.get(
                voter, self._silent_since.get(voter, now)
            )
            for voter in self._host_by_voter
        }
        return sorted(
            voter
            for voter, since in self._silent_since.items()
            if voter not in self._ended and now - since >= SILENCE_THRESHOLD_S
        )

    def _look_up(self, voter: versions.Voter) -> None:
        match self._find_host(self._host_by_voter[voter]):
            case result.Success(host) if host.phase is hosts.HostPhase.GONE:
                self._ended.add(voter)
                log.info('member has ended', node=voter[0], host=host.id)
                self._service.confirm_ended(*voter)

    def _run(self) -> None:
        while not self._closing.wait(CHECK_INTERVAL_S):
            try:
                self.check()
            except Exception:
                # The thread must survive exceptions: without it, changes can
                # stay blocked by members that have terminated.
                log.exception('look-up of members failed')
