"""Virtual-time run of nodes that compete for one lease, and its checker."""

import dataclasses
import heapq
import itertools
import random

from returns import result

from hornbeamrudder.core import errors
from hornbeamrudder.infrastructure import table
from hornbeamrudder.leases import state

END_S = 150.0
QUIET_S = 60.0
TIMEOUT_S = 2.0
# The node with the slow clock starts first and so holds the lease first:
# its term, by its own clock, is the longest.
RATES = (0.96, 1.04, 1.04)
FAULTS = ('kill', 'pause', 'down', 'slow', 'lost', 'delayed', 'release')


@dataclasses.dataclass(frozen=True)
class Action:
    """An action of a holder: checked by its clock, then carried out."""

    checked_at: float
    node: str
    fencing: int


@dataclasses.dataclass
class Node:
    """One node; its clock runs at its own rate."""

    lease: state.Lease
    rate: float
    alive: bool = True
    paused_until: float = 0.0


class Simulation:
    """Runs one seed with faults at random times in the first part."""

    def __init__(self, seed, fault_count, step_plan=()):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.heap = []
        self.numbers = itertools.count()
        self.row = (0, None)
        self.mode_until = {}
        self.next_write = []
        self.steps = 0
        self.step_plan = dict(step_plan)
        self.actions = []
        self.nodes = {
            name: Node(state.Lease('lease/x/r', name, 1), rate)
            for name, rate in zip('abc', RATES)
        }
        for name in self.nodes:
            start = 0.0 if name == 'a' else self.rng.random()
            self.at(start, name, lambda n=name: self.tick(n))
            self.at(self.rng.random(), name, lambda n=name: self.act(n))
        for _ in range(fault_count):
            kind = self.rng.choice(FAULTS)
            name = self.rng.choice('abc')
            time = self.rng.uniform(0, END_S - QUIET_S)
            self.at(time, None, lambda k=kind, n=name: self.inject(k, n))

    def at(self, time, name, call):
        """Schedule a call on a node, or outside all nodes for None."""
        heapq.heappush(self.heap, (time, next(self.numbers), name, call))

    def run(self):
        """Run to the end and return the faults found."""
        while self.heap and self.heap[0][0] < END_S:
            self.now, number, name, call = heapq.heappop(self.heap)
            node = self.nodes.get(name)
            if node is not None and not node.alive:
                continue
            if node is not None and node.paused_until > self.now:
                later = (node.paused_until, number, name, call)
                heapq.heappush(self.heap, later)
                continue
            call()
        return list(self.faults())

    def clock(self, name):
        """Monotonic clock of a node."""
        return self.now * self.nodes[name].rate

    def inject(self, kind, name):
        """Make a fault."""
        node = self.nodes[name]
        match kind:
            case 'kill' if sum(n.alive for n in self.nodes.values()) > 1:
                node.alive = False
            case 'pause':
                length = self.rng.choice((0.5, 3.0, 9.5, 12.0, 25.0))
                node.paused_until = self.now + length
            case 'down' | 'slow':
                length = self.rng.choice((1.0, 15.0))
                # Either the table service or the path from one node fails.
                for other in self.rng.choice((name, name, 'abc')):
                    self.mode_until[kind, other] = self.now + length
            case 'lost' | 'delayed':
                self.next_write.append(kind)
            case 'release':
                event = state.Release(str(next(self.numbers)))
                self.at(self.now, name, lambda: self.post(name, event))

    def tick(self, name):
        """Let the node look after the lease."""
        self.at(self.now + 0.5, name, lambda: self.tick(name))
        self.post(name, state.Tick(f'{name}{next(self.numbers)}'))

    def act(self, name):
        """Try to act now and then."""
        self.at(self.now + 0.5, name, lambda: self.act(name))
        self.check_and_act(name)

    def check_and_act(self, name):
        """Act where the node runs and its clock allows it."""
        node = self.nodes[name]
        if not node.alive or node.paused_until > self.now:
            return
        fencing = state.may_act(node.lease, self.clock(name))
        if fencing is not None:
            self.actions.append(Action(self.now, name, fencing))

    def post(self, name, event):
        """Deliver an event."""
        node = self.nodes[name]
        self.steps += 1
        if self.steps in self.step_plan:
            self.inject(self.step_plan[self.steps], name)
        before = node.lease.fencing
        node.lease, effect = state.step(
            node.lease, event, self.clock(name), self.now
        )
        if node.lease.fencing not in (None, before):
            # The moment of a change is when two holders could overlap.
            for other in (name, *self.nodes):
                self.check_and_act(other)
        match effect:
            case state.Read():
                self.call(name, self.read, state.RowRead, True)
            case state.Write(put):
                self.call(
                    name, lambda: self.apply(put), state.WriteAnswered, False
                )

    def call(self, name, call, answer, reading):
        """Call the table service."""
        latency = self.rng.uniform(0.002, 0.02)
        kind = None
        apply = latency / 2
        if self.now < self.mode_until.get(('down', name), 0):
            kind, apply = errors.FailureKind.NOT_CONNECTED, None
        elif not reading and self.next_write:
            delayed = self.next_write.pop() == 'delayed'
            kind, latency = errors.FailureKind.TIMEOUT, TIMEOUT_S
            apply = self.rng.choice((2.5, 8.0)) if delayed else 0.01
        elif self.now < self.mode_until.get(('slow', name), 0):
            apply, latency = 0.01, 1.95
        done = []
        if apply is not None:
            self.at(self.now + apply, None, lambda: done.append(call()))
        failure = kind and result.Failure(
            errors.Failure(kind, errors.Step.HOLD_LEASE, 'table', '')
        )
        self.at(
            self.now + latency,
            name,
            lambda: self.post(
                name, answer(failure or result.Success((done[0],)))
            ),
        )

    def read(self):
        """Read the row."""
        return table.Row('lease/x/r', *self.row)

    def apply(self, put):
        """Apply a compare-and-set."""
        applied = self.row[0] == put.expect_version
        if applied:
            self.row = (self.row[0] + 1, put.value)
        return table.PutResult(applied, self.read())

    def faults(self):
        """List what broke the promises of a lease."""
        holder_by_fencing = {}
        highest = 0
        for action in self.actions:
            holder = holder_by_fencing.setdefault(action.fencing, action.node)
            if holder != action.node:
                yield f'fencing number {action.fencing} has two holders'
            if action.fencing < highest:
                yield 'a holder acted after its successor'
            highest = max(highest, action.fencing)
        if not self.actions or self.actions[-1].checked_at < END_S - 25:
            yield 'no node holds the lease at the end'
