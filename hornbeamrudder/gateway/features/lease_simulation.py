"""Simulation in virtual time of nodes that contend for the duty lease."""

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
class SimulatedNode:
    """State of one node.

    Attributes
    ----------
    generation : int
        Number of kills; invalidates actions scheduled before the last one.
    call_id : int
        Number of the latest call to the store.
    """

    id: ids.NodeId
    started: int = 1
    term: duty_lease.Term | None = None
    frozen_until: float = 0.0
    generation: int = 0
    call_id: int = 0


class LeaseSimulation:
    """Runs random interleavings of steps and faults, and checks duty calls."""

    def __init__(self, seed, nodes):
        self.rng = random.Random(seed)
        self.nodes = [
            SimulatedNode(ids.NodeId(f'n{number}')) for number in range(nodes)
        ]
        self.row = None
        self.version = 0
        self.store_down_until = 0.0
        self.duty_calls = []
        self.queue = []
        self.sequence = itertools.count()
        self.now = 0.0

    def schedule(self, delay, node, action):
        """Schedule an action of a node, or of the store if `node` is None.

        It is dropped if the node is killed before, and delayed while the node
        is frozen.
        """
        generation = node.generation if node else None

        def run_if_alive():
            if node is None:
                action()
            elif node.generation == generation:
                if self.now < node.frozen_until:
                    self.schedule(node.frozen_until - self.now, node, action)
                else:
                    action()

        heapq.heappush(
            self.queue, (self.now + delay, next(self.sequence), run_if_alive)
        )

    def run(self):
        """Run the simulation; return the violations."""
        for node in self.nodes:
            self.schedule(
                self.rng.random(), node, lambda node=node: self.step(node)
            )
        self.schedule(1.0, None, self.inject_fault)
        while self.queue and self.now < DURATION_S:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        return list(self.violations())

    def latency_s(self):
        """Return a random one-way latency."""
        is_slow = self.rng.random() < 0.1
        return self.rng.uniform(0.05, 0.4) if is_slow else 0.002

    def step(self, node):
        """Send a duty call if the term is valid; read the row if due."""
        self.schedule(
            self.rng.uniform(0.05, 0.6), node, lambda: self.step(node)
        )
        if duty_lease.may_act(node.term, self.now):
            self.send_duty_call(node)
            if self.now < node.term.renew_at:
                return
        sent_at = self.now
        # Responses to older calls are ignored.
        node.call_id += 1
        call_id = node.call_id

        def at_store():
            if self.now < self.store_down_until:
                return
            read = (self.row, self.version, (self.now + STORE_OFFSET_S) * 1e3)
            self.schedule(
                self.latency_s(),
                node,
                lambda: self.handle_read(node, call_id, sent_at, *read),
            )

        self.schedule(self.latency_s(), None, at_store)

    def handle_read(self, node, call_id, sent_at, row, version, steady_ms):
        """Handle a row read from the store, and propose a term if possible."""
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
            if self.now < self.store_down_until or version != self.version:
                return
            self.row, self.version = proposal.row, self.version + 1
            if self.rng.random() < 0.2:
                return
            written = self.version
            self.schedule(
                self.latency_s(),
                node,
                lambda: self.handle_accepted(node, call_id, proposal, written),
            )

        is_delayed = self.rng.random() < 0.1
        self.schedule(
            self.rng.uniform(0.5, 4) if is_delayed else self.latency_s(),
            None,
            at_store,
        )

    def handle_accepted(self, node, call_id, proposal, version):
        """Handle the acceptance of a proposal by the store."""
        if call_id != node.call_id:
            return
        node.term = duty_lease.accepted(proposal, version, TERM_S, self.now)

    def send_duty_call(self, node):
        """Send a duty call, which arrives after a random delay."""
        number = node.term.number
        self.schedule(
            self.rng.uniform(0.001, 0.1),
            None,
            lambda: self.duty_calls.append((self.now, node.id, number)),
        )

    def inject_fault(self):
        """Inject a random fault and schedule the next one."""
        self.schedule(self.rng.uniform(0.3, 3), None, self.inject_fault)
        node = self.rng.choice(self.nodes)
        match self.rng.randrange(4):
            case 0:
                node.generation += 1
                node.call_id += 1
                node.started += 1
                node.term = None
                self.schedule(
                    self.rng.uniform(0.2, 2), node, lambda: self.step(node)
                )
            case 1:
                node.frozen_until = self.now + self.rng.uniform(0.5, 6)
            case 2:
                self.store_down_until = self.now + self.rng.uniform(0.2, 5)

    def violations(self):
        """Yield violations of the single-holder rules in the duty calls."""
        highest = 0
        holder_by_number = {}
        for arrived_at, node, number in self.duty_calls:
            if number < highest:
                yield f'{arrived_at:.3f}: number {number} after {highest}'
            highest = max(highest, number)
            if holder_by_number.setdefault(number, node) != node:
                yield f'{arrived_at:.3f}: number {number} has two holders'
        holder_changes = [
            (arrived_at, node)
            for (arrived_at, node, _), previous in zip(
                self.duty_calls, [None, *(call[1] for call in self.duty_calls)]
            )
            if node != previous
        ]
        for earlier, _, later in zip(
            holder_changes, holder_changes[1:], holder_changes[2:]
        ):
            last_call_at = max(
                arrived_at
                for arrived_at, node, _ in self.duty_calls
                if node == earlier[1] and arrived_at < later[0]
            )
            if earlier[1] == later[1] and later[0] - last_call_at < TERM_S:
                yield (
                    f'{later[0]:.3f}: {later[1]} acquires the lease again'
                    ' within a term'
                )
