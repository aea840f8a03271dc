"""Runs the node state machine with the peer network and the table."""

from concurrent import futures
import dataclasses
import queue
import random
import ssl
import threading
import time
from typing import Any, Callable, Iterable

from returns import result
import structlog

from ..core import errors
from ..core import ids
from ..core import types
from . import events
from . import node_state
from ..peers import messages
from ..peers import network
from ..peers import view as peer_view
from . import proposals
from . import publish
from . import state_machine
from . import store
from . import versions

TICK_INTERVAL_S = 0.1
PRUNE_INTERVAL_S = 10.0
RELEASE_TIMEOUT_S = 6.0

ChangeCallback = Callable[[versions.VersionedDocument], None]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """Settings of the connections between nodes.

    Attributes
    ----------
    seeds : tuple of Address
        Addresses of the first peers to contact.
    key : bytes
        Secret shared by the nodes.
    """

    seeds: tuple[types.Address, ...]
    key: bytes = dataclasses.field(repr=False)
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None
    announce: types.Address | None = None


def boot_clock() -> float:
    """Return the time of a monotonic clock that includes suspensions.

    `time.monotonic` stops while the machine is suspended, so a node that
    resumes would take an expired admission lease as still valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ConfigurationService:
    """Configuration and admission lease of a node.

    Parameters
    ----------
    incarnation : int
        Number above that of every earlier process of this node, such as
        the start time in nanoseconds.
    on_message : callable, optional
        Handler for the messages of other packages; may return an answer.
    host : HostId, optional
        Host id of this process in the cloud API.
    """

    def __init__(
        self,
        node: ids.NodeId,
        incarnation: ids.Incarnation,
        address: types.Address,
        peers: PeerSettings,
        table: store.Table,
        objects: store.Objects | None = None,
        on_message: network.Handler | None = None,
        clock: Callable[[], float] = boot_clock,
        host: ids.HostId = ids.HostId(''),
    ) -> None:
        self._table = table
        self._objects = objects
        self._on_message = on_message
        self._clock = clock
        self._random = random.SystemRandom()
        self._log = structlog.get_logger().bind(node=node)
        self._events: queue.SimpleQueue[events.Event | None] = (
            queue.SimpleQueue()
        )
        self._callbacks: list[ChangeCallback] = []
        self._futures_by_attempt: dict[
            ids.AttemptId, futures.Future[publish.Result]
        ] = {}
        self._changed = threading.Condition()
        self._started = threading.Event()
        self._closing = False
        self.network = network.PeerNetwork(
            node,
            incarnation,
            address,
            peers.seeds,
            peers.key,
            self._handle_message,
            peers.server_tls,
            peers.client_tls,
            peers.announce,
        )
        self._state = node_state.initial_state(
            node, incarnation, self.network.address, clock(), host
        )
        self._next_tick_at = 0.0
        self._next_prune_at = 0.0
        # One thread for the event loop, and one each for a read and a write
        # that wait for the table.
        self._pool = futures.ThreadPoolExecutor(
            3, thread_name_prefix='configuration'
        )
        self._loop = self._pool.submit(self._run)

    def current(self) -> versions.VersionedDocument | None:
        """Return the version in force on this node, with its document."""
        return self._state.installed

    def settled(self) -> ids.Version:
        """Return the highest version known to be in force everywhere."""
        return self._state.settled

    def view(self) -> peer_view.View:
        """Return the state of the peers, with times of this node's clock."""
        return self._state.view

    def may_admit(self, now: float | None = None) -> bool:
        """Whether this node may admit a request.

        Parameters
        ----------
        now : float, optional
            Time of the check by the node's clock; the current time if absent.
        """
        state = self._state
        return node_state.may_admit(
            state, self._clock() if now is None else now
        )

    def apply(
        self, document: Any, base: ids.Version, author: ids.OperatorId
    ) -> 'futures.Future[publish.Result]':
        """Propose a document to replace that of version `base`."""
        future: futures.Future[publish.Result] = futures.Future()
        body = versions.canonical_json(document)
        if isinstance(body, result.Failure):
            future.set_result(publish.Refused(body.failure()))
            return future
        attempt = ids.new_attempt_id(self._state.quorum.node, self._random)
        with self._changed:
            if self._closing:
                future.set_result(_closed_refusal())
                return future
            self._futures_by_attempt[attempt] = future
        self._events.put(
            events.ChangeProposed(
                publish.Proposal(
                    attempt, author, time.time(), base, body.unwrap()
                )
            )
        )
        return future

    def wait_in_force(self, version: ids.Version, timeout_s: float) -> bool:
        """Wait until a version is in force everywhere."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._state.settled >= version or self._closing,
                timeout_s,
            ) and (self._state.settled >= version)

    def on_change(self, callback: ChangeCallback) -> None:
        """Add a callback for new versions, called on the event thread."""
        self._callbacks.append(callback)

    def report(
        self,
        demand: Iterable[tuple[ids.ServiceName, float]],
        leaving: Iterable[messages.Leaving],
        small_demand: Iterable[tuple[ids.ServiceName, float]] = (),
        rates: Iterable[messages.Rate] = (),
    ) -> None:
        """Set the demand, hosts and rates to send with the heartbeats."""
        self._events.put(
            events.HeartbeatReport(
                tuple(demand),
                tuple(leaving),
                tuple(small_demand),
                tuple(rates),
            )
        )

    def confirm_ended(
        self, node: ids.NodeId, incarnation: ids.Incarnation
    ) -> None:
        """Report that a process has terminated.

        Must be called only if the termination is certain, since the report
        counts in place of an acknowledgement.
        """
        self._events.put(events.ProcessEnded((node, incarnation)))

    def release(self, timeout_s: float = RELEASE_TIMEOUT_S) -> bool:
        """Permanently stop admitting and leave the member set.

        Returns
        -------
        bool
            Whether the member set was changed in time. Reachable peers
            learn of the release in any case.
        """
        self._events.put(events.StopRequested())
        with self._changed:
            return self._changed.wait_for(self._has_left, timeout_s)

    def close(self) -> None:
        """Stop the threads; open proposals get the result `Pending`."""
        with self._changed:
            self._closing = True
            open_futures = dict(self._futures_by_attempt)
            self._futures_by_attempt.clear()
            self._changed.notify_all()
        self._events.put(None)
        for future in open_futures.values():
            if future.set_running_or_notify_cancel():
                future.set_result(
                    publish.Pending(ids.Version(0), False, (), 'node closed')
                )
        self.network.close()
        self._pool.shutdown(wait=True, cancel_futures=True)

    def _has_left(self) -> bool:
        quorum = self._state.quorum
        return (
            quorum.released
            and quorum.row is not None
            and (quorum.node, quorum.incarnation)
            not in versions.voters(quorum.row)
        )

    def _handle_message(
        self, envelope: messages.Envelope
    ) -> messages.Message | None:
        match envelope.message:
            case (
                messages.Heartbeat()
                | messages.ConfigurationPush()
                | messages.ConfigurationAck()
                | messages.Release()
            ):
                self._events.put(
                    events.MessageReceived(
                        envelope.sender,
                        envelope.incarnation,
                        envelope.message,
                    )
                )
                return None
            case _ if self._on_message is not None:
                return self._on_message(envelope)
            case _:
                return None

    def _run(self) -> None:
        while not self._closing:
            try:
                self._run_once()
            except Exception as error:
                # The thread must survive exceptions: without it, the admission
                # lease would expire and the node would admit nothing.
                self._log.error('configuration step failed', error=repr(error))

    def _run_once(self) -> None:
        now = self._clock()
        event: events.Event | None
        if now >= self._next_tick_at:
            self._next_tick_at = now + TICK_INTERVAL_S
            self._prune(now)
            event = events.Tick(self.network.connected(), time.time())
        else:
            try:
                event = self._events.get(timeout=self._next_tick_at - now)
            except queue.Empty:
                return
        if event is None:
            return
        # The clock is read after the event is taken, so that the time of the
        # step is never before that of the event.
        self._state, effects = state_machine.step(
            self._state, event, self._clock()
        )
        for effect in effects:
            self._run_effect(effect)
        with self._changed:
            self._changed.notify_all()

    def _prune(self, now: float) -> None:
        if now < self._next_prune_at:
            return
        self._next_prune_at = now + PRUNE_INTERVAL_S
        row = self._state.quorum.row
        self.network.prune(
            {member.address for member in row.members} if row else set()
        )

    def _run_effect(self, effect: events.Effect) -> None:
        match effect:
            case events.Send(node, message):
                self.network.send(node, message)
            case events.ReadTable(sent_at):
                self._pool.submit(self._read, sent_at, self._state.installed)
            case events.WriteTable(attempt, write):
                self._pool.submit(self._write, attempt, write)
            case events.CompleteProposal(attempt, outcome):
                self._complete_proposal(attempt, outcome)
            case events.VersionInForce(version):
                self._log.info('version in force everywhere', version=version)
            case events.VersionInstalled(content):
                self._on_installed(content)

    def _on_installed(self, content: versions.VersionedDocument) -> None:
        row = content.row
        self._log.info(
            'version installed', version=row.version, author=row.author
        )
        self.network.add_peers(
            member.address
            for member in row.members
            if member.node != self._state.quorum.node
        )
        for callback in self._callbacks:
            try:
                callback(content)
            except Exception as error:
                self._log.error('change callback failed', error=repr(error))

    def _complete_proposal(
        self, attempt: ids.AttemptId, outcome: publish.Result
    ) -> None:
        with self._changed:
            future = self._futures_by_attempt.pop(attempt, None)
        self._log.info(
            'proposal finished',
            attempt=attempt,
            result=type(outcome).__name__,
        )
        if future is not None and future.set_running_or_notify_cancel():
            future.set_result(outcome)

    def _read(
        self, sent_at: float, known: versions.VersionedDocument | None
    ) -> None:
        table = None
        try:
            table = store.read(self._table, self._objects, known).value_or(
                None
            )
        finally:
            self._events.put(events.TableRead(sent_at, table))

    def _write(self, attempt: ids.AttemptId, write: publish.Write) -> None:
        outcome, detail = events.WriteOutcome.UNKNOWN, 'write failed'
        try:
            outcome, detail = store.write(self._table, self._objects, write)
        finally:
            if detail:
                self._log.warning('version row not written', detail=detail)
            self._events.put(events.WriteCompleted(attempt, outcome))
        if outcome is events.WriteOutcome.APPLIED:
            store.delete_replaced(self._table, write.content.row)


def _closed_refusal() -> publish.Refused:
    return proposals.refusal(errors.FailureKind.INTERRUPTED, 'node closed')
