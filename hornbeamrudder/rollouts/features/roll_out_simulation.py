"""Roll-outs in virtual time: nodes, servers of two versions and a store."""

import asyncio
import dataclasses
import heapq
import itertools
import random

from hornbeamrudder.core import errors
from hornbeamrudder.core import ids
from hornbeamrudder.core import types
from hornbeamrudder.gateway.features import node_network
from hornbeamrudder.gateway import messages
from hornbeamrudder.gateway import records
from hornbeamrudder.gateway import server_selection
from hornbeamrudder.platform import adapter
from hornbeamrudder.platform import store as platform_store
from hornbeamrudder.rollouts import evidence
from hornbeamrudder.rollouts import holder
from hornbeamrudder.rollouts import judgement
from hornbeamrudder.rollouts import state

SERVICE = node_network.SERVICE
KEY = adapter.roll_out_key(SERVICE.name)
BOUNDS = records.Bounds(
    exposure_share=0.1, exposure_slack=50.0, rollback_s=5.0
)
STORE_POLL_S = 0.5
HOUSEKEEPING_S = 0.1
ORDER_DELAY_S = 0.9
BOOT_S = 3.0
LEASE_S = 3.0
BAD_SHARE = 0.4
SLOW_BY = 5.0
# Time to the first event, and time of the whole answer, by route.
TIMES_BY_ROUTE = {'short': (0.02, 0.02), 'chat': (0.15, 1.5), 'plan': (0.3, 3)}


class Store:
    """Rows of the states, and the faults of the store."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.version = 0
        self.row = None
        self.history = []
        self.is_away = False
        self.loses_answers = False
        self.is_away_at = lambda rollout: False

    async def write(self, puts, expects, timeout_s):
        """Write the row under its condition."""
        failure = errors.Failure(
            errors.FailureKind.UNAVAILABLE, errors.Step.READ_TABLE, '', ''
        )
        if self.is_away:
            return failure
        (put,), (expect,) = puts, expects
        known = self.row.version if self.row else 0
        if expect.version != known:
            return platform_store.Conflict((self.row,))
        self.version += 1
        self.row = platform_store.Row(put.key, put.value, self.version)
        found = adapter.decode_roll_out(put.key, put.value)
        if not self.history or self.history[-1] != found:
            self.history.append(found)
        if self.is_away_at(found):
            self.is_away_at = lambda rollout: False
            self.is_away = True
            self.simulation.at(4.0, lambda: setattr(self, 'is_away', False))
        now = self.simulation.network.now
        if self.loses_answers:
            return failure
        return platform_store.Rows((), self.version, now * 1e3, now, now)

    def phases(self):
        """Return the phases of the present order, without repeats."""
        return [
            phase
            for phase, _ in itertools.groupby(
                item.phase for item in self.history
            )
        ]


class Simulation:
    """Roll-out of one service under a Poisson load.

    Parameters
    ----------
    is_bad : callable
        Whether an answer of the new version is bad, from its route, the time
        since the order, and the runs at its server.
    """

    def __init__(self, seed, nodes=8, servers=20, rate=120.0, duration_s=14.0):
        self.rng = random.Random(seed)
        self.network = node_network.SimulatedNetwork(nodes)
        self.store = Store(self)
        self.rate = rate
        self.duration_s = duration_s
        self.server_count = servers
        self.is_bad = lambda route, after_s, running: False
        self.is_slow = False
        self.bad_share = BAD_SHARE
        self.slow_by = SLOW_BY
        self.faulty = {}
        self.gone = set()
        self.loop = asyncio.new_event_loop()
        self.holder = 0
        self.held_since = 0.0
        self.number = 1
        self.also_holds = {}
        self.on_step_written = lambda phase: None
        self.order = None
        self.ordered_at = float('inf')
        self.orders = itertools.count(1)
        self.running = {}
        self.cut_runs = 0
        self.requests = 0
        self.exposed = []
        self.bad_at = []
        self.new_sends = []
        self._due = []
        self._placements = []
        self._sequence = itertools.count()
        self._written = 0
        self._next_poll = {}
        self.with_clock(self._start)

    def with_clock(self, action):
        """Run an action with the clock of the simulation."""
        with self.network.patch_clock():
            action()

    def _start(self):
        for number in self.network.node_by_number:
            self.set_up(number)
        self.put_servers('v1')

    def set_up(self, number):
        """Prepare a node that was started."""
        node = self.network.node_by_number[number]
        node_state = node.state
        node_state.settings = dataclasses.replace(
            node_state.settings, bounds=BOUNDS
        )
        for server in list(node_state.servers.by_id):
            node_state.servers.remove(server, 0.0)
        rollouts = node_state.rollouts
        rollouts.on_ending = lambda record, in_s: self.at(
            in_s, lambda: self.move_off(node, record)
        )
        node.holder = holder.RollOutHolder(
            rollouts,
            node_state.servers,
            self.store,
            adapter,
            lambda: self.held_number(number),
            lambda: len(node_state.peers.live_nodes()) + 1,
            lambda: rollouts.confirmed_at > 0,
            node_state.peers.cluster_time,
            node_state.log,
        )
        for entry in self.running:
            self.with_clock(lambda e=entry: node_state.servers.put(e, 0.0))
        node.is_turned_away = False
        node.next_step_at = 0.0

    def held_number(self, number):
        """Return the fencing number that a node holds; 0 if none."""
        if number == self.holder and self.network.now >= self.held_since:
            return self.number
        return self.also_holds.get(number, 0)

    def put_servers(self, version, count=None):
        """Register the servers of a version at all nodes."""
        for number in range(count or self.server_count):
            entry = dataclasses.replace(
                node_network.server_entry(number),
                id=ids.WorkerId(f'{version}-{number}'),
                address=types.Address('10.1.0.1', 1 + number),
                version=version,
            )
            self.running[entry] = 0
            for node in self.network.node_by_number.values():
                node.state.servers.put(entry, self.network.now)

    def at(self, in_s, action):
        """Schedule an action."""
        heapq.heappush(
            self._due, (self.network.now + in_s, next(self._sequence), action)
        )

    def give_order(self, target='v2', boot_s=BOOT_S, count=None):
        """Write an order; servers of its version start alongside."""
        number = state.OrderNumber(next(self.orders))
        order = state.Order(SERVICE.name, target, self.duration_s, number)
        self.ordered_at = self.network.now
        self.requests = 0
        self.exposed, self.bad_at, self.new_sends = [], [], []
        self._set_order(order)
        if boot_s is not None:
            self.at(boot_s, lambda: self.put_servers(target, count))

    def take_back(self):
        """Remove the order."""
        self._set_order(None)

    def _set_order(self, order):
        self.order = order
        self.at(ORDER_DELAY_S, self._deliver_order)

    def _deliver_order(self):
        for node in self.network.node_by_number.values():
            node.state.rollouts.set_order(SERVICE.name, self.order)

    def advance(self, seconds):
        """Let time pass."""
        self.network.advance(seconds, self._step)

    def _step(self):
        now = self.network.now
        while self._due and self._due[0][0] <= now:
            heapq.heappop(self._due)[2]()
        for number, node in list(self.network.node_by_number.items()):
            self._poll_store(number, node)
            if now < node.next_step_at:
                continue
            node.next_step_at = now + HOUSEKEEPING_S
            node.state.rollouts.step()
            if self.held_number(number):
                self.loop.run_until_complete(node.holder.step_all())
        self._notice_steps()
        for _ in range(self._arrivals()):
            self.requests += 1
            node = self.rng.choice(list(self.network.node_by_number.values()))
            route = self.rng.choice(list(TIMES_BY_ROUTE))
            node.state.rollouts.record_request(SERVICE.name)
            self.send(node, route)

    def _arrivals(self):
        mean = self.rate * node_network.STEP_S
        return int(mean) + (self.rng.random() < mean % 1)

    def _poll_store(self, number, node):
        now, rollouts = self.network.now, node.state.rollouts
        if now < self._next_poll.get(number, 0.0) or (
            self.store.is_away or node.is_turned_away
        ):
            return
        self._next_poll[number] = now + STORE_POLL_S
        rollouts.confirm(now)
        row = self.store.row
        if row is not None:
            rollouts.set_state(
                adapter.decode_roll_out(row.key, row.value), row.version
            )

    def _notice_steps(self):
        for item in self.store.history[self._written :]:
            self._written += 1
            self.on_step_written(item.phase)
            if item.phase is state.Phase.COMPLETED:
                self._stop_old(item.target)

    def _stop_old(self, target):
        for entry in list(self.running):
            if entry.version != target:
                self.cut_runs += self.running.pop(entry)
                for node in self.network.node_by_number.values():
                    node.state.servers.remove(entry.id, self.network.now)

    def kill_holder(self, restart=True):
        """End the holder's process; the next one takes the term later."""
        killed = self.holder
        self.holder = (killed + 1) % len(self.network.node_by_number)
        self.held_since = self.network.now + LEASE_S
        self.number += 1
        if restart:
            self.network.restart(killed)
            self.set_up(killed)
            self._next_poll.pop(killed, None)
            self.network.node_by_number[killed].state.rollouts.set_order(
                SERVICE.name, self.order
            )

    # Requests

    def send(self, node, route):
        """Send a request to a server that the node chooses."""
        for accepts in node.state.rollouts.choices(SERVICE.name):
            placement = node.state.servers.reserve(
                SERVICE,
                messages.RequestMetadata(None, prompt_tokens=100),
                server_selection.Requirements(100, 90.0, 1e6),
                (),
                node.state.rng,
                self.network.now,
                accepts,
            )
            if placement is not None:
                self._run(node, route, placement)
                return

    def _run(self, node, route, placement):
        entry, now = placement.record.entry, self.network.now
        node.state.rollouts.record_placement(entry)
        if entry.id in self.gone or entry not in self.running:
            # No connection is made, and nothing is sent.
            node.state.servers.release(placement)
            return
        self.running[entry] += 1
        self._placements.append(placement)
        first_s, whole_s = (
            time_s * self.rng.lognormvariate(0, 0.25)
            for time_s in TIMES_BY_ROUTE[route]
        )
        after_s = now - self.ordered_at
        is_new = self.order is not None and entry.version == self.order.target
        is_bad = (
            is_new and self.is_bad(route, after_s, self.running[entry])
        ) or (self.rng.random() < self.faulty.get(entry.id, 0.0))
        if is_new:
            self.new_sends.append(now)
        is_bad = is_bad and self.rng.random() < self.bad_share
        if is_bad and self.is_slow:
            first_s *= self.slow_by
        if is_bad and is_new:
            self.at(first_s, lambda: self.bad_at.append(self.network.now))
        if is_bad and not self.is_slow:
            self.at(
                first_s,
                lambda: self._end(
                    node, placement, route, now, entry, ['FAILED']
                ),
            )
            return
        self.at(
            first_s, lambda: self._record(node, placement, route, now, first_s)
        )
        self.at(
            max(first_s, whole_s),
            lambda: self._end(node, placement, route, now, entry, []),
        )

    def _record(self, node, placement, route, sent_at, first_s):
        node.state.rollouts.record_answer(
            placement.record,
            judgement.Answer(
                route,
                evidence.Quality.GOOD,
                evidence.Times(first_s),
                sent_at,
            ),
        )

    def _end(self, node, placement, route, sent_at, entry, failures):
        if placement.ended:
            return
        node.state.servers.release(placement)
        if self.running.get(entry):
            self.running[entry] -= 1
        broken = entry is not None and entry.id in self.gone
        for name in failures or (['BROKEN'] if broken else []):
            node.state.rollouts.record_answer(
                placement.record,
                judgement.Answer(
                    route, evidence.Quality[name], evidence.Times(), sent_at
                ),
            )

    def move_off(self, node, record):
        """Move the runs of a node off a server, as its mover does."""
        if not node.state.rollouts.is_ending(record.entry):
            return
        for placement in self._placements:
            if placement.record is record and not placement.ended:
                node.state.servers.release(placement)
                if record.entry in self.running:
                    self.running[record.entry] -= 1

    # Results

    def exposure_limit(self):
        """Return how many requests a bad version may get."""
        return BOUNDS.exposure_share * self.requests + BOUNDS.exposure_slack

    def late_sends(self):
        """Return the sends to a bad version after the bound on roll-backs."""
        if len(self.bad_at) < 50:
            return []
        limit = self.bad_at[49] + BOUNDS.rollback_s
        return [at for at in self.new_sends if at > limit]
