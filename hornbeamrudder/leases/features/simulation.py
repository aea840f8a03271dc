"""Virtual-time simulation of nodes that compete for a lease."""

import dataclasses
import heapq
import itertools
import random

from returns import result

from hornbeamrudder.core import errors
from hornbeamrudder.infrastructure import table
from hornbeamrudder.leases import state

DURATION_S = 150.0
FAULT_FREE_S = 60.0
TABLE_TIMEOUT_S = 2.0
# The node with the slow clock starts first, so that it is the first holder:
# its term lasts longest in real time.
CLOCK_RATES = (0.96, 1.04, 1.04)
FAULT_KINDS = ('kill', 'pause', 'down', 'slow', 'lost', 'delayed', 'release')


@dataclasses.dataclass(frozen=True)
class Action:
    """An action of a holder under a fencing number."""

    checked_at: float
    node: str
    fencing: int


@dataclasses.dataclass
class Node:
    """A node whose clock runs at `rate`."""

    lease: state.Lease
    rate: float
    alive: bool = True
    paused_until: float = 0.0


class Simulation:
    """Runs one seed with random faults, all before the fault-free end."""

    def __init__(self, seed, fault_count, fault_by_step=()):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.heap = []
        self.numbers = itertools.count()
        self.row = (0, None)
        self.fault_until = {}
        self.next_write = []
        self.steps = 0
        self.fault_by_step = dict(fault_by_step)
        self.actions = []
        self.nodes = {
            name: Node(state.Lease('lease/x/r', name, 1), rate)
            for name, rate in zip('abc', CLOCK_RATES)
        }
        for name in self.nodes:
            start = 0.0 if name == 'a' else self.rng.random()
            self.schedule(start, name, lambda n=name: self.tick(n))
            self.schedule(self.rng.random(), name, lambda n=name: self.act(n))
        for _ in range(fault_count):
            kind = self.rng.choice(FAULT_KINDS)
            name = self.rng.choice('abc')
            time = self.rng.uniform(0, DURATION_S - FAULT_FREE_S)
            self.schedule(time, None, lambda k=kind, n=name: self.inject(k, n))

    def schedule(self, time, name, call):
        """Schedule a call on a node, or on no node if `name` is None."""
        heapq.heappush(self.heap, (time, next(self.numbers), name, call))

    def run(self):
        """Run to the end and return the violations."""
        while self.heap and self.heap[0][0] < DURATION_S:
            self.now, number, name, call = heapq.heappop(self.heap)
            node = self.nodes.get(name)
            if node is not None and not node.alive:
                continue
            if node is not None and node.paused_until > self.now:
                later = (node.paused_until, number, name, call)
                heapq.heappush(self.heap, later)
                continue
            call()
        return list(self.violations())

    def clock(self, name):
        """Return the monotonic time of a node."""
        return self.now * self.nodes[name].rate

    def inject(self, kind, name):
        """Inject a fault."""
        node = self.nodes[name]
        match kind:
            case 'kill' if sum(n.alive for n in self.nodes.values()) > 1:
                node.alive = False
            case 'pause':
                length = self.rng.choice((0.5, 3.0, 9.5, 12.0, 25.0))
                node.paused_until = self.now + length
            case 'down' | 'slow':
                length = self.rng.choice((1.0, 15.0))
                # Affects the link of one node or the table service as a whole.
                for other in self.rng.choice((name, name, 'abc')):
                    self.fault_until[kind, other] = self.now + length
            case 'lost' | 'delayed':
                self.next_write.append(kind)
            case 'release':
                event = state.Release(str(next(self.numbers)))
                self.schedule(self.now, name, lambda: self.post(name, event))

    def tick(self, name):
        """Send a tick to the node periodically."""
        self.schedule(self.now + 0.5, name, lambda: self.tick(name))
        self.post(name, state.Tick(f'{name}{next(self.numbers)}'))

    def act(self, name):
        """Try to act periodically."""
        self.schedule(self.now + 0.5, name, lambda: self.act(name))
        self.check_and_act(name)

    def check_and_act(self, name):
        """Act if the node runs and its lease is valid."""
        node = self.nodes[name]
        if not node.alive or node.paused_until > self.now:
            return
        fencing = state.valid_fencing_number(node.lease, self.clock(name))
        if fencing is not None:
            self.actions.append(Action(self.now, name, fencing))

    def post(self, name, event):
        """Deliver an event."""
        node = self.nodes[name]
        self.steps += 1
        if self.steps in self.fault_by_step:
            self.inject(self.fault_by_step[self.steps], name)
        before = node.lease.fencing
        node.lease, effect = state.step(
            node.lease, event, self.clock(name), self.now
        )
        if node.lease.fencing not in (None, before):
            # Two holders could overlap at the time of a change.
            for other in (name, *self.nodes):
                self.check_and_act(other)
        match effect:
            case state.Read():
                self.call(name, self.read, state.RowRead, True)
            case state.Write(put):
                self.call(
                    name, lambda: self.apply(put), state.WriteCompleted, False
                )

    def call(self, name, call, answer, reading):
        """Call the table service."""
        latency = self.rng.uniform(0.002, 0.02)
        kind = None
        apply = latency / 2
        if self.now < self.fault_until.get(('down', name), 0):
            kind, apply = errors.FailureKind.NOT_CONNECTED, None
        elif not reading and self.next_write:
            delayed = self.next_write.pop() == 'delayed'
            kind, latency = errors.FailureKind.TIMEOUT, TABLE_TIMEOUT_S
            apply = self.rng.choice((2.5, 8.0)) if delayed else 0.01
        elif self.now < self.fault_until.get(('slow', name), 0):
            apply, latency = 0.01, 1.95
        done = []
        if apply is not None:
            self.schedule(self.now + apply, None, lambda: done.append(call()))
        failure = kind and result.Failure(
            errors.Failure(kind, errors.Step.HOLD_LEASE, 'table', '')
        )
        self.schedule(
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

    def violations(self):
        """Yield the violations of the guarantees of a lease."""
        holder_by_fencing = {}
        highest = 0
        for action in self.actions:
            holder = holder_by_fencing.setdefault(action.fencing, action.node)
            if holder != action.node:
                yield f'fencing number {action.fencing} has two holders'
            if action.fencing < highest:
                yield 'a holder acted after its successor'
            highest = max(highest, action.fencing)
        if not self.actions or self.actions[-1].checked_at < DURATION_S - 25:
            yield 'no node holds the lease at the end'
