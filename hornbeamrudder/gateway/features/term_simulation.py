"""Simulation in virtual time of nodes that compete for the term."""

import dataclasses
import heapq
import itertools
import random

from hornbeamrudder.core import ids
from hornbeamrudder.gateway import duty_lease

TERM_S = 3.0
DURATION_S = 40.0
# Offset of the store's monotonic clock from the nodes' clocks.
STORE_OFFSET_S = 1234.5


@dataclasses.dataclass
class Participant:
    """State of one node."""

    id: ids.NodeId
    started: int = 1
    term: duty_lease.Term | None = None
    frozen_until: float = 0.0
    generation: int = 0
    call_id: int = 0


class Simulation:
    """Random interleavings of steps and faults; checks the duty calls."""

    def __init__(self, seed, nodes):
        self.rng = random.Random(seed)
        self.nodes = [
            Participant(ids.NodeId(f'n{number}')) for number in range(nodes)
        ]
        self.row = None
        self.version = 0
        self.down_until = 0.0
        self.duty_calls = []
        self.queue = []
        self.order = itertools.count()
        self.now = 0.0

    def at(self, delay, node, action):
        """Schedule `action`, unless the node is killed before."""
        generation = node.generation if node else None

        def guarded():
            if node is None:
                action()
            elif node.generation == generation:
                if self.now < node.frozen_until:
                    self.at(node.frozen_until - self.now, node, action)
                else:
                    action()

        heapq.heappush(
            self.queue, (self.now + delay, next(self.order), guarded)
        )

    def run(self):
        """Run the simulation; return the violations."""
        for node in self.nodes:
            self.at(self.rng.random(), node, lambda node=node: self.step(node))
        self.at(1.0, None, self.inject_fault)
        while self.queue and self.now < DURATION_S:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        return list(self.problems())

    def delay(self):
        """Return the one-way latency of a call."""
        is_slow = self.rng.random() < 0.1
        return self.rng.uniform(0.05, 0.4) if is_slow else 0.002

    def step(self, node):
        """Send a duty call while the term is valid; read the row if due."""
        self.at(self.rng.uniform(0.05, 0.6), node, lambda: self.step(node))
        if duty_lease.may_act(node.term, self.now):
            self.send_duty_call(node)
            if self.now < node.term.renew_at:
                return
        sent_at = self.now
        # A response is ignored if a newer call has been sent.
        node.call_id += 1
        call_id = node.call_id

        def at_store():
            if self.now < self.down_until:
                return
            read = (self.row, self.version, (self.now + STORE_OFFSET_S) * 1e3)
            self.at(
                self.delay(),
                node,
                lambda: self.on_read(node, call_id, sent_at, *read),
            )

        self.at(self.delay(), None, at_store)

    def on_read(self, node, call_id, sent_at, row, version, steady_ms):
        """Handle the row that was read."""
        if call_id != node.call_id:
            return
        proposal = duty_lease.propose(
            duty_lease.ObservedTerm(
                row, version, steady_ms, sent_at, self.now
            ),
            node.id,
            node.started,
            TERM_S,
            self.now,
            node.term.number if node.term else None,
        )
        if proposal is None:
            node.term = None
            return

        def at_store():
            if self.now < self.down_until or version != self.version:
                return
            self.row, self.version = proposal.row, self.version + 1
            if self.rng.random() < 0.2:
                return
            written = self.version
            self.at(
                self.delay(),
                node,
                lambda: self.accepted(node, call_id, proposal, written),
            )

        is_late = self.rng.random() < 0.1
        self.at(
            self.rng.uniform(0.5, 4) if is_late else self.delay(),
            None,
            at_store,
        )

    def accepted(self, node, call_id, proposal, version):
        """Handle the acceptance of a proposal."""
        if call_id != node.call_id:
            return
        node.term = duty_lease.accepted(proposal, version, TERM_S, self.now)

    def send_duty_call(self, node):
        """Send a duty call, which arrives after a delay."""
        number = node.term.number
        self.at(
            self.rng.uniform(0.001, 0.1),
            None,
            lambda: self.duty_calls.append((self.now, node.id, number)),
        )

    def inject_fault(self):
        """Inject a random fault and schedule the next one."""
        self.at(self.rng.uniform(0.3, 3), None, self.inject_fault)
        node = self.rng.choice(self.nodes)
        match self.rng.randrange(4):
            case 0:
                node.generation += 1
                node.call_id += 1
                node.started += 1
                node.term = None
                self.at(
                    self.rng.uniform(0.2, 2), node, lambda: self.step(node)
                )
            case 1:
                node.frozen_until = self.now + self.rng.uniform(0.5, 6)
            case 2:
                self.down_until = self.now + self.rng.uniform(0.2, 5)

    def problems(self):
        """Yield violations of the rules for a single holder."""
        highest = 0
        holder_by_number = {}
        for at, node, number in self.duty_calls:
            if number < highest:
                yield f'{at:.3f}: number {number} after {highest}'
            highest = max(highest, number)
            if holder_by_number.setdefault(number, node) != node:
                yield f'{at:.3f}: number {number} has two holders'
        changes = [
            (at, node)
            for (at, node, _), before in zip(
                self.duty_calls, [None, *(act[1] for act in self.duty_calls)]
            )
            if node != before
        ]
        for first, _, third in zip(changes, changes[1:], changes[2:]):
            last_before = max(
                at
                for at, node, _ in self.duty_calls
                if node == first[1] and at < third[0]
            )
            if first[1] == third[1] and third[0] - last_before < TERM_S:
                yield f'{third[0]:.3f}: {third[1]} is back within a term'
