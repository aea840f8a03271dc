"""Virtual-time run of several nodes with a table service that fails."""

import collections
import dataclasses
import heapq
import itertools
import random

from hornbeamrudder.configuration import acceptance
from hornbeamrudder.configuration import currency
from hornbeamrudder.configuration import events
from hornbeamrudder.configuration import node as node_module
from hornbeamrudder.configuration import node_state
from hornbeamrudder.configuration import publish
from hornbeamrudder.configuration import state
from hornbeamrudder.core import ids
from hornbeamrudder.core import types

TICK_S = 0.25
TABLE_TIMEOUT_S = 2.0
TABLE = 'table'


class Violation(AssertionError):
    """A promise does not hold in this run."""


@dataclasses.dataclass
class Process:
    """One process of a node; `rate` is the speed of its clock."""

    name: str
    incarnation: int
    rate: float
    offset: float
    state: node_state.NodeState | None = None
    alive: bool = True
    paused: bool = False
    deferred: list = dataclasses.field(default_factory=list)


class Simulation:
    """Runs node state machines; all choices come from one seed.

    Attributes
    ----------
    cuts : set of (sender, receiver)
        Links that lose every message; the table is the node `table`.
    timeout_is_refusal : bool
        Fault for the proofs: a write without response is taken as not sent.
    """

    timeout_is_refusal = False

    def __init__(self, seed, loss=0.0, late=0.0, drift=0.0):
        self.random = random.Random(seed)
        self.loss, self.late, self.drift = loss, late, drift
        self.now = 0.0
        self.queue = []
        self.counter = itertools.count()
        self.processes_by_name = {}
        self.incarnations = itertools.count(1)
        self.cuts = set()
        self.table_down = False
        self.response_loss = 0.0
        self.table_version, self.row = 0, None
        self.document_by_key = {}
        self.version_by_attempt = {}
        self.result_by_attempt = {}
        self.accepted = 0
        self.counts = collections.Counter()
        self.trace = []

    def start(self, name):
        """Start a process, also after a kill; it remembers nothing."""
        rate = 1 + self.random.uniform(-self.drift, self.drift)
        process = Process(
            name, next(self.incarnations), rate, self.random.uniform(0, 1e4)
        )
        process.state = node_state.start(
            ids.NodeId(name),
            ids.Incarnation(process.incarnation),
            types.Address('127.0.0.1', 1),
            self.clock(process),
        )
        self.processes_by_name[name] = process
        self.note('start', name, process.incarnation)
        self._tick(process)

    def kill(self, name):
        self.note('kill', name)
        self.processes_by_name[name].alive = False

    def pause(self, name, seconds):
        process = self.processes_by_name[name]
        if process.alive and not process.paused:
            self.note('pause', name, seconds)
            process.paused = True
            self.at(seconds, lambda: self._resume(process))

    def propose(self, name, attempt, key, base=None):
        """Let an operator set one key on a node."""
        process = self.processes_by_name[name]
        content = process.state.content
        if not process.alive or content is None:
            return
        document = state.orjson.loads(content.document) | {key: attempt}
        proposal = publish.Proposal(
            ids.AttemptId(attempt),
            ids.OperatorId(f'operator-{name}'),
            self.now,
            content.row.version if base is None else base,
            state.canonical(document).unwrap(),
        )
        self.note('propose', name, attempt, 'base', proposal.base)
        self.handle(process, events.Propose(proposal))

    def tell(self, name, event):
        process = self.processes_by_name[name]
        if process.alive:
            self.handle(process, event)

    def partition(self, *groups):
        """Cut all links between groups, and those to the table."""
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

    def at(self, delay, action):
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
        content = self.processes_by_name[name].state.content
        return content.row.version if content else 0

    def note(self, *words):
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
        before = process.state.content
        process.state, effects = node_module.step(
            process.state, event, self.clock(process)
        )
        after = process.state.content
        if before is not None and after.row.version < before.row.version:
            self.fail(f'{process.name} installed a lower version')
        for effect in effects:
            self._run_effect(process, effect)
        self._check(process)

    def fail(self, reason):
        raise Violation(reason + '\n' + '\n'.join(self.trace[-60:]))

    def check_outcomes(self):
        """Compare what the operators were told with what was written."""
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
        self.at(
            TICK_S * self.random.uniform(0.8, 1.2),
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
            installed = process.state.content
            version = installed.row.version if installed else 0
            if version < self.accepted and node_state.may_admit(
                process.state, self.clock(process)
            ):
                self.fail(
                    f'{process.name} admits at version {version},'
                    f' {self.accepted} is accepted'
                )

    def _run_effect(self, process, effect):
        match effect:
            case events.Send(node, message):
                self._send(process, node, message)
            case events.ReadTable(sent_at):
                self._read(process, sent_at)
            case events.WriteTable(attempt, write):
                self._write(process, attempt, write)
            case events.Finish(attempt, result):
                self.note(process.name, attempt, result)
                self.result_by_attempt[attempt] = result
                self.counts[type(result).__name__] += 1
                if isinstance(result, publish.Accepted):
                    self.accepted = max(self.accepted, result.version)
            case events.InForce(version):
                self.note(process.name, 'in force everywhere', version)
                self.accepted = max(self.accepted, version)
            case events.Installed(content):
                self.note(process.name, 'installed', content.row.version)

    def _delay(self):
        if self.random.random() < self.late:
            return self.random.uniform(0.5, 4.0)
        return self.random.uniform(0.001, 0.03)

    def _send(self, process, node, message):
        if (process.name, node) in self.cuts:
            return
        if self.random.random() < self.loss:
            return
        event = events.Received(
            process.state.knowledge.node,
            process.state.knowledge.incarnation,
            message,
        )

        def deliver():
            target = self.processes_by_name.get(node)
            if target is not None and (process.name, node) not in self.cuts:
                self.handle(target, event)

        self.at(self._delay(), deliver)

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
            event = events.RowRead(sent_at, answer)
            self.at(delay, lambda: self.handle(process, event))

        self.at(self._delay(), serve)

    def _write(self, process, attempt, write):
        def answer(outcome, delay):
            if self.timeout_is_refusal and (
                outcome is events.WriteOutcome.UNKNOWN
            ):
                outcome = events.WriteOutcome.NOT_SENT
            event = events.WriteDone(attempt, outcome)
            self.at(delay, lambda: self.handle(process, event))

        def serve():
            if not self._table_reachable(process):
                answer(events.WriteOutcome.NOT_SENT, 0.01)
                return
            if self.random.random() < self.response_loss:
                # The write takes effect now, or long after the timeout.
                late = self.random.choice((0.0, 1.0, 3.0, 6.0))
                self.at(late, lambda: self._apply(attempt, write))
                answer(events.WriteOutcome.UNKNOWN, TABLE_TIMEOUT_S)
                return
            applied = self._apply(attempt, write)
            answer(
                events.WriteOutcome.APPLIED
                if applied
                else events.WriteOutcome.LOST_RACE,
                self._delay(),
            )

        self.at(self._delay(), serve)

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
        self.note('table', row.version, attempt, len(row.electorates))
        return True


def drift_bound():
    """Largest clock deviation that the margin covers, as a fraction."""
    ratio = acceptance.LAPSE_S / currency.RIGHT_S
    return 0.95 * (ratio - 1) / (ratio + 1)
