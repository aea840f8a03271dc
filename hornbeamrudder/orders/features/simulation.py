"""Simulation of orders on several nodes, in virtual time with faults."""

import dataclasses
import heapq
import itertools
import random

from returns import result

from hornbeamrudder.core import errors
from hornbeamrudder.core import types
from hornbeamrudder.infrastructure import table
from hornbeamrudder.orders import committer
from hornbeamrudder.orders.features import checker
from hornbeamrudder.orders import messages
from hornbeamrudder.orders import record
from hornbeamrudder.orders import recovery
from hornbeamrudder.orders import state

END_S = 75.0
TIMEOUT_S = 2.0
CALL_DEADLINE_S = 5.0
SCAN_INTERVAL_S = 2.0
FAULTS = {
    'kill': None,
    'pause 0.5 s': 0.5,
    'pause past send window': 2.6,
    'pause past deadline': 12.0,
    'pause past recovery': 30.0,
    'table down 1 s': 1.0,
    'table down 8 s': 8.0,
    'table silent': 4.0,
    'table slow': 1.4,
    'table late': 3.0,
    'response lost': None,
    'write delayed': 4.0,
    'rate limited': 0.5,
    'backend refuses': 1.0,
    'backend answer lost': 1.0,
    'backend slow': 7.0,
    'second caller': None,
}


@dataclasses.dataclass
class Node:
    """A node; its events are deferred while it is paused."""

    name: str
    clock_skew_s: float
    alive: bool = True
    paused_until: float = 0.0
    gone_at: float = float('inf')
    commits: committer.CommitState = committer.CommitState()
    in_flight: bool = False
    on_settled: dict = dataclasses.field(default_factory=dict)


class Simulation:
    """Runs a plan, which maps step numbers to faults to inject before them."""

    def __init__(self, seed, plan, queued=False):
        self.rng = random.Random(seed)
        self.plan = plan
        self.queued = queued
        self.now = 0.0
        self.event_queue = []
        self.sequence = itertools.count()
        self.step_count = 0
        self.rows = {}
        self.fault_end_by_kind = {}
        self.faults_of_next_writes = []
        self.history = checker.History()
        self.nodes = {
            name: Node(name, self.rng.uniform(-1, 1))
            for name in ('n1', 'n2', 'n3', 'r1', 'r2')
        }

    def run(self):
        """Run to the end and return the history."""
        call_gap_s = self.rng.choice((0.0, 0.004, 0.05, 1.0, 3.0))
        self.schedule(0.01, 'n1', lambda: self.call_node('n1', b'body'))
        self.schedule(
            0.01 + call_gap_s, 'n2', lambda: self.call_node('n2', b'body')
        )
        if self.rng.random() < 0.3:
            self.schedule(0.02, 'n3', lambda: self.call_node('n3', b'other'))
        self.schedule(50.0, 'n3', lambda: self.call_node('n3', b'body'), False)
        for name in ('r1', 'r2'):
            self.schedule(
                self.rng.random(), name, lambda n=name: self.scan(n), False
            )
        while self.event_queue and self.event_queue[0][0] < END_S:
            self.now, order, number, name, counts_as_step, call = (
                heapq.heappop(self.event_queue)
            )
            if name is None:
                call()
                continue
            node = self.nodes[name]
            if counts_as_step and node.alive and node.paused_until <= self.now:
                self.step_count += 1
                for kind in self.plan.get(self.step_count, ()):
                    self.inject_fault(kind, node)
            if not node.alive:
                continue
            if node.paused_until > self.now:
                again = (node.paused_until, order, number, name, False, call)
                heapq.heappush(self.event_queue, again)
                continue
            call()
        return self.history

    def unfinished_violations(self):
        """Yield orders without a final state and callers without an answer."""
        recovers = self.nodes['r1'].alive or self.nodes['r2'].alive
        for key, (_, value) in self.rows.items():
            if recovers and value and value['state'] not in checker.FINAL:
                yield f'{key}: still {value["state"]}'
        answered = {done.number for done in self.history.completions}
        for call in self.history.invocations:
            node = self.nodes[call.attempt.split('-')[0]]
            if call.number not in answered and (
                node.alive and node.paused_until < END_S - 10
            ):
                yield f'call {call.number}: no answer'

    def schedule(self, time, name, call, counts_as_step=True):
        """Schedule a call on a node, or outside of nodes if `name` is None."""
        entry = (time, self.rng.random(), next(self.sequence), name)
        heapq.heappush(self.event_queue, (*entry, counts_as_step, call))

    def inject_fault(self, kind, node):
        """Inject a fault at the node that runs the next step."""
        argument = FAULTS[kind]
        if kind == 'kill':
            node.alive = False
            node.gone_at = self.now + 2
        elif kind.startswith('pause'):
            node.paused_until = self.now + argument
            node.gone_at = self.now + 1
        elif kind in ('response lost', 'write delayed'):
            self.faults_of_next_writes.append(kind)
        elif kind == 'second caller':
            name = self.rng.choice(('n2', 'n3'))
            self.schedule(
                self.now, name, lambda: self.call_node(name, b'body')
            )
        else:
            self.fault_end_by_kind[kind] = self.now + argument

    def is_active(self, kind):
        """Return whether a fault with a duration is active."""
        return self.now < self.fault_end_by_kind.get(kind, 0.0)

    def call_node(self, name, body):
        """Call a node with the order, as a caller."""
        request = record.StoredRequest('app', 'POST', '/book', (), body, 'q')
        number = len(self.history.invocations)
        holder = record.Holder(f'{name}-{number}', name, 1)
        self.history.invocations.append(
            checker.Invocation(
                number, 'order/a/k', holder.attempt, request.digest()
            )
        )
        wall_now = self.now + self.nodes[name].clock_skew_s
        draft = record.OrderRecord(
            record.OrderState.ACCEPTED, 'a', request.digest(), holder,
            wall_now + CALL_DEADLINE_S, wall_now, request,
        )  # fmt: skip
        self.start(name, number, messages.Execution(
            'order/a/k', draft, self.now + CALL_DEADLINE_S,
            has_capacity=not self.queued,
        ))  # fmt: skip

    def start(self, name, number, execution):
        """Start an execution; `number` is None after a takeover."""
        run = [execution]
        self.post(name, number, run, messages.Begin())
        if not execution.has_capacity:
            event = messages.CapacityDecided(self.rng.random() < 0.8)
            self.schedule(
                self.now + self.rng.choice((0.001, 0.3, 6.0)),
                name,
                lambda: self.post(name, number, run, event),
            )

    def post(self, name, number, run, event):
        """Deliver an event and execute its effects."""
        wall_now = self.now + self.nodes[name].clock_skew_s
        run[0], effects = state.step(run[0], event, self.now, wall_now)

        def reply(event):
            self.post(name, number, run, event)

        for effect in effects:
            match effect:
                case messages.Write(put, deadline):
                    self.commit(
                        name, put, run[0].draft.holder.attempt, deadline,
                        lambda c: reply(messages.WriteSettled(c)),
                    )  # fmt: skip
                case messages.Send():
                    self.schedule(
                        self.now,
                        name,
                        lambda e=effect: self.check_send(
                            name, e, run[0].draft.holder.attempt, reply
                        ),
                    )
                case messages.Poll(key):
                    self.poll(name, key, reply)
                case messages.SetTimer(due_at):
                    self.schedule(
                        due_at, name, lambda: reply(messages.TimerFired())
                    )
                case messages.Respond(answered) if number is not None:
                    self.complete(number, answered)

    def poll(self, name, key, reply):
        """Read a row for an execution that polls."""
        started = self.now

        def answered(rows):
            for row in rows.value_or(()):
                self.history.operations.append(
                    checker.Operation(
                        'read', key, None, row.version, started, self.now
                    )
                )
            reply(messages.RowRead(rows))

        self.call_table(name, lambda: self.read([key]), answered, True, False)

    def complete(self, number, reply):
        """Record the answer that the caller receives."""
        match reply.answer:
            case result.Success(stored):
                done = (stored.body, 'done')
            case result.Failure(failure):
                done = (None, failure.outcome.value)
        self.history.completions.append(
            checker.Completion(number, *done, reply.recorded)
        )

    def check_send(self, name, effect, attempt, reply):
        """Check the send window; the node may pause before the bytes leave."""
        if not state.may_send(effect.not_after, self.now):
            reply(messages.SendSettled(state.send_window_expired('app')))
            return
        checked_at = self.now
        self.schedule(
            self.now, name, lambda: self.send(name, attempt, checked_at, reply)
        )

    def send(self, name, attempt, checked_at, reply):
        """Deliver the request to the backend server."""
        delay, failed = 0.001, None
        body = f'run {len(self.history.runs)}'.encode()
        answer = result.Success(record.StoredResult(200, (), body, 'text'))
        if self.is_active('backend refuses'):
            failed = errors.FailureKind.NOT_CONNECTED, types.Outcome.NOT_RUN
        else:
            self.history.runs.append(
                checker.BackendRun('order/a/k', attempt, checked_at, body)
            )
            delay = 7.0 if self.is_active('backend slow') else 0.03
            if self.is_active('backend answer lost'):
                failed = errors.FailureKind.INTERRUPTED, types.Outcome.UNKNOWN
        if failed is not None:
            kind, outcome = failed
            answer = result.Failure(
                errors.Failure(kind, errors.Step.DISPATCH, 'app', '', outcome)
            )
        self.schedule(
            self.now + delay,
            name,
            lambda: reply(messages.SendSettled(answer)),
        )

    def commit(self, name, put, attempt, deadline, callback):
        """Submit a write to the node's committer."""
        node = self.nodes[name]
        number = next(self.sequence)
        started = self.now

        def settle(commit):
            self.log_commit(put, started, commit)
            callback(commit)

        node.on_settled[number] = settle
        node.commits = committer.submit(
            node.commits, committer.Item(number, put, attempt, deadline)
        )
        self.run_committer(name)

    def log_commit(self, put, started, commit):
        """Record the outcome of a write for the checker."""
        match commit:
            case result.Success(committer.Committed(row)):
                kind, version = 'committed', row.version
            case result.Success(committer.Conflict(row)):
                kind, version = 'conflict', row.version
            case result.Failure(failure):
                if failure.outcome is types.Outcome.UNKNOWN:
                    return
                kind, version = 'failed', 0
        self.history.operations.append(
            checker.Operation(
                kind, put.key, put.value, version, started, self.now
            )
        )

    def run_committer(self, name):
        """Run the next action of the node's committer."""
        node = self.nodes[name]
        if node.in_flight:
            return
        node.commits, settled, batch = committer.next_batch(
            node.commits, self.now
        )
        if batch is not None:
            node.in_flight = True
            puts = [item.put for item in batch.items]
            decide = committer.on_read if batch.is_read else (
                committer.on_written
            )  # fmt: skip

            def answered(answer):
                node.in_flight = False
                node.commits, settled = decide(
                    node.commits, batch.items, answer, self.now
                )
                self.settle(node, settled)
                self.run_committer(name)

            call = (
                (lambda: self.read([put.key for put in puts]))
                if batch.is_read
                else (lambda: tuple(map(self.apply, puts)))
            )
            self.call_table(name, call, answered, batch.is_read)
        else:
            wakeup = committer.next_wakeup(node.commits)
            if wakeup is not None:
                wakeup = max(wakeup, self.now + 1e-4)
                self.schedule(
                    wakeup, name, lambda: self.run_committer(name), False
                )
        self.settle(node, settled)

    def settle(self, node, settled):
        """Pass outcomes of writes to their callbacks."""
        for item in settled:
            node.on_settled.pop(item.number)(item.commit)

    def read(self, keys):
        """Read rows from the table."""
        return tuple(
            table.Row(key, *self.rows.get(key, (0, None))) for key in keys
        )

    def apply(self, put):
        """Apply a compare-and-set to the table."""
        version, value = self.rows.get(put.key, (0, None))
        applied = version == put.expect_version
        if applied:
            version, value = version + 1, put.value
            self.rows[put.key] = (version, value)
            self.history.versions.append(
                checker.RowVersion(self.now, put.key, version, value)
            )
        row = table.Row(put.key, version, value)
        return table.PutResult(applied, row)

    def call_table(
        self, name, call, callback, is_read=False, counts_as_step=True
    ):
        """Call the table service under the active faults."""
        latency = self.rng.uniform(0.002, 0.01)
        kind = None
        if self.is_active('table down 1 s') or self.is_active(
            'table down 8 s'
        ):
            kind, apply = errors.FailureKind.NOT_CONNECTED, None
        elif self.is_active('rate limited'):
            kind, apply = errors.FailureKind.OVERLOADED, None
        elif self.is_active('table silent'):
            kind, apply, latency = errors.FailureKind.TIMEOUT, None, TIMEOUT_S
        elif not is_read and self.faults_of_next_writes:
            fault = self.faults_of_next_writes.pop()
            apply = 0.005 if fault == 'response lost' else FAULTS[fault]
            kind, latency = errors.FailureKind.TIMEOUT, TIMEOUT_S
        elif self.is_active('table late'):
            apply, latency = 2.5, TIMEOUT_S
            kind = errors.FailureKind.TIMEOUT
        else:
            latency += 1.4 if self.is_active('table slow') else 0.0
            apply = latency / 2
        answers = []
        if apply is not None:
            self.schedule(
                self.now + apply, None, lambda: answers.append(call())
            )
        failure = kind and result.Failure(
            errors.Failure(kind, errors.Step.WRITE_TABLE, 'table', '')
        )
        self.schedule(
            self.now + latency,
            name,
            lambda: callback(failure or result.Success(answers[0])),
            counts_as_step,
        )

    def is_gone(self, name, incarnation):
        """Return whether a node seems gone; a paused node does."""
        return self.now >= self.nodes[name].gone_at

    def scan(self, name):
        """Run a scan of recovery on a node."""
        self.schedule(
            self.now + SCAN_INTERVAL_S, name, lambda: self.scan(name), False
        )
        self.call_table(
            name, lambda: self.read(sorted(self.rows)),
            lambda rows: self.recover(name, rows), True, False,
        )  # fmt: skip

    def recover(self, name, rows):
        """Carry out the recovery decisions on the rows."""
        for row in rows.value_or(()):
            wall_now = self.now + self.nodes[name].clock_skew_s
            holder = record.Holder(f'{name}-{next(self.sequence)}', name, 1)
            match recovery.decide(row, holder, 1, self.is_gone, wall_now):
                case recovery.WriteRow(put, attempt):
                    self.commit(
                        name, put, attempt, self.now + 10, lambda commit: None
                    )
                case recovery.TakeOver(row, draft):
                    remaining = draft.deadline_wall - wall_now
                    self.start(name, None, messages.Execution(
                        row.key, draft, self.now + remaining,
                        version=row.version, has_capacity=True,
                    ))  # fmt: skip
