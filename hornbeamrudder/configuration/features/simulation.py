"""Virtual-time simulation of nodes and a table service that can fail."""

import collections
import dataclasses
import heapq
import itertools
import random

from hornbeamrudder.configuration import acceptance
from hornbeamrudder.configuration import admission_lease
from hornbeamrudder.configuration import events
from hornbeamrudder.configuration import node_state
from hornbeamrudder.configuration import publish
from hornbeamrudder.configuration import state_machine
from hornbeamrudder.configuration import versions
from hornbeamrudder.core import ids
from hornbeamrudder.core import types

TICK_INTERVAL_S = 0.25
TABLE_TIMEOUT_S = 2.0
TABLE = 'table'


class Violation(AssertionError):
    """An invariant is violated in this run."""


@dataclasses.dataclass
class Process:
    """A process of a node; its clock runs at `rate` from `offset`."""

    name: str
    incarnation: int
    rate: float
    offset: float
    state: node_state.NodeState | None = None
    alive: bool = True
    paused: bool = False
    deferred: list = dataclasses.field(default_factory=list)


class Simulation:
    """Runs node state machines; deterministic for a given seed.

    Attributes
    ----------
    cuts : set of (sender, receiver)
        Links that drop every message; the table service is `table`.
    loss_rate, delay_rate : float
        Probabilities that a message is lost, or delayed by 0.5 to 4 s.
    response_loss_rate : float
        Probability that the response to a write is lost.
    timeout_is_refusal : bool
        Injected fault: a write without a response is taken as not sent.
    """

    timeout_is_refusal = False

    def __init__(self, seed, loss_rate=0.0, delay_rate=0.0, drift=0.0):
        self.random = random.Random(seed)
        self.loss_rate, self.delay_rate = loss_rate, delay_rate
        self.drift = drift
        self.now = 0.0
        self.queue = []
        self.counter = itertools.count()
        self.processes_by_name = {}
        self.incarnations = itertools.count(1)
        self.cuts = set()
        self.table_down = False
        self.response_loss_rate = 0.0
        self.table_version, self.row = 0, None
        self.document_by_key = {}
        self.version_by_attempt = {}
        self.result_by_attempt = {}
        self.accepted_version = 0
        self.counts = collections.Counter()
        self.trace = []

    def start(self, name):
        """Start a process without state, also in place of a killed one."""
        rate = 1 + self.random.uniform(-self.drift, self.drift)
        process = Process(
            name, next(self.incarnations), rate, self.random.uniform(0, 1e4)
        )
        process.state = node_state.initial_state(
            ids.NodeId(name),
            ids.Incarnation(process.incarnation),
            types.Address('127.0.0.1', 1),
            self.clock(process),
        )
        self.processes_by_name[name] = process
        self.record('start', name, process.incarnation)
        self._tick(process)

    def kill(self, name):
        self.record('kill', name)
        self.processes_by_name[name].alive = False

    def pause(self, name, seconds):
        process = self.processes_by_name[name]
        if process.alive and not process.paused:
            self.record('pause', name, seconds)
            process.paused = True
            self.schedule(seconds, lambda: self._resume(process))

    def propose(self, name, attempt, key, base=None):
        """Propose, as an operator of a node, to set one key."""
        process = self.processes_by_name[name]
        content = process.state.installed
        if not process.alive or content is None:
            return
        document = versions.orjson.loads(content.document) | {key: attempt}
        proposal = publish.Proposal(
            ids.AttemptId(attempt),
            ids.OperatorId(f'operator-{name}'),
            self.now,
            content.row.version if base is None else base,
            versions.canonical_json(document).unwrap(),
        )
        self.record('propose', name, attempt, 'base', proposal.base)
        self.handle(process, events.ChangeProposed(proposal))

    def post(self, name, event):
        process = self.processes_by_name[name]
        if process.alive:
            self.handle(process, event)

    def partition(self, *groups):
        """Cut all links between the groups and no others."""
        self.cuts = {
            (one, other)
            for first, second in itertools.permutations(groups, 2)
            for one in first
            for other in second
        }

    def run(self, seconds):
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = until

    def schedule(self, delay, action):
        heapq.heappush(
            self.queue, (self.now + delay, next(self.counter), action)
        )

    def clock(self, process):
        return process.offset + self.now * process.rate

    def live(self):
        return [
            process
            for process in self.processes_by_name.values()
            if process.alive
        ]

    def admits(self, name):
        process = self.processes_by_name[name]
        return process.alive and node_state.may_admit(
            process.state, self.clock(process)
        )

    def version(self, name):
        content = self.processes_by_name[name].state.installed
        return content.row.version if content else 0

    def record(self, *words):
        self.trace.append(
            f'{self.now:.3f} ' + ' '.join(str(word) for word in words)
        )

    def handle(self, process, event):
        if not process.alive:
            return
        if process.paused:
            process.deferred.append(event)
            return
        self.counts[type(event).__name__] += 1
        before = process.state.installed
        process.state, effects = state_machine.step(
            process.state, event, self.clock(process)
        )
        after = process.state.installed
        if before is not None and after.row.version < before.row.version:
            self.fail(f'{process.name} installed a lower version')
        for effect in effects:
            self._run_effect(process, effect)
        self._check(process)

    def fail(self, reason):
        raise Violation(reason + '\n' + '\n'.join(self.trace[-60:]))

    def check_outcomes(self):
        """Compare the results of proposals with the writes."""
        for attempt, result in self.result_by_attempt.items():
            written = attempt in self.version_by_attempt
            match result:
                case publish.Accepted(version=version):
                    if self.version_by_attempt.get(attempt) != version:
                        self.fail(f'{attempt} accepted but not written')
                case publish.Refused() | publish.Conflict():
                    if written:
                        self.fail(f'{attempt} refused but written')

    def _tick(self, process):
        if not process.alive:
            return
        connected = tuple(
            sorted(
                ids.NodeId(other.name)
                for other in self.live()
                if other is not process
            )
        )
        if not process.paused:
            self.handle(process, events.Tick(connected, self.now))
        self.schedule(
            TICK_INTERVAL_S * self.random.uniform(0.8, 1.2),
            lambda: self._tick(process),
        )

    def _resume(self, process):
        process.paused = False
        deferred, process.deferred = process.deferred, []
        self._check(process)
        for event in deferred:
            self.handle(process, event)

    def _check(self, changed):
        for process in self.live():
            installed = process.state.installed
            version = installed.row.version if installed else 0
            if version < self.accepted_version and node_state.may_admit(
                process.state, self.clock(process)
            ):
                self.fail(
                    f'{process.name} admits at version {version},'
                    f' {self.accepted_version} is accepted'
                )

    def _run_effect(self, process, effect):
        match effect:
            case events.Send(node, message):
                self._send(process, node, message)
            case events.ReadTable(sent_at):
                self._read(process, sent_at)
            case events.WriteTable(attempt, write):
                self._write(process, attempt, write)
            case events.CompleteProposal(attempt, result):
                self.record(process.name, attempt, result)
                self.result_by_attempt[attempt] = result
                self.counts[type(result).__name__] += 1
                if isinstance(result, publish.Accepted):
                    self.accepted_version = max(
                        self.accepted_version, result.version
                    )
            case events.VersionInForce(version):
                self.record(process.name, 'in force everywhere', version)
                self.accepted_version = max(self.accepted_version, version)
            case events.VersionInstalled(content):
                self.record(process.name, 'installed', content.row.version)

    def _delay(self):
        if self.random.random() < self.delay_rate:
            return self.random.uniform(0.5, 4.0)
        return self.random.uniform(0.001, 0.03)

    def _send(self, process, node, message):
        if (process.name, node) in self.cuts:
            return
        if self.random.random() < self.loss_rate:
            return
        event = events.MessageReceived(
            process.state.quorum.node,
            process.state.quorum.incarnation,
            message,
        )

        def deliver():
            target = self.processes_by_name.get(node)
            if target is not None and (process.name, node) not in self.cuts:
                self.handle(target, event)

        self.schedule(self._delay(), deliver)

    def _table_reachable(self, process):
        return not self.table_down and (process.name, TABLE) not in self.cuts

    def _read(self, process, sent_at):
        def serve():
            if not self._table_reachable(process):
                answer, delay = None, TABLE_TIMEOUT_S
            else:
                document = (
                    self.row and self.document_by_key[self.row.content_key]
                )
                answer = publish.TableState(
                    self.table_version, self.row, document
                )
                delay = self._delay()
            event = events.TableRead(sent_at, answer)
            self.schedule(delay, lambda: self.handle(process, event))

        self.schedule(self._delay(), serve)

    def _write(self, process, attempt, write):
        def answer(outcome, delay):
            if self.timeout_is_refusal and (
                outcome is events.WriteOutcome.UNKNOWN
            ):
                outcome = events.WriteOutcome.NOT_SENT
            event = events.WriteCompleted(attempt, outcome)
            self.schedule(delay, lambda: self.handle(process, event))

        def serve():
            if not self._table_reachable(process):
                answer(events.WriteOutcome.NOT_SENT, 0.01)
                return
            if self.random.random() < self.response_loss_rate:
                # The write takes effect at once or later, possibly after the
                # timeout.
                late = self.random.choice((0.0, 1.0, 3.0, 6.0))
                self.schedule(late, lambda: self._apply(attempt, write))
                answer(events.WriteOutcome.UNKNOWN, TABLE_TIMEOUT_S)
                return
            applied = self._apply(attempt, write)
            answer(
                events.WriteOutcome.APPLIED
                if applied
                else events.WriteOutcome.VERSION_MISMATCH,
                self._delay(),
            )

        self.schedule(self._delay(), serve)

    def _apply(self, attempt, write):
        if write.expect_version != self.table_version:
            return False
        row = write.content.row
        if attempt in self.version_by_attempt:
            self.fail(f'{attempt} was written twice')
        if self.row is not None and row.version != self.row.version + 1:
            self.fail(f'version {row.version} after {self.row.version}')
        self.version_by_attempt[attempt] = row.version
        if write.writes_content:
            self.document_by_key[row.content_key] = write.content.document
        self.table_version, self.row = self.table_version + 1, row
        self.record('table', row.version, attempt, len(row.electorates))
        return True


def max_drift():
    """Return a clock deviation just below what the margin covers."""
    ratio = acceptance.LEASE_EXPIRY_WAIT_S / admission_lease.LEASE_DURATION_S
    return 0.95 * (ratio - 1) / (ratio + 1)
