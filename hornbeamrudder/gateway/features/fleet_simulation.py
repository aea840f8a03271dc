"""Simulation in virtual time of whole nodes that share a store.

The nodes run all of their background tasks; only sockets, the store and the
clocks are simulated.
"""

import asyncio
import collections
import contextlib
import dataclasses
import heapq
import itertools
import random
import selectors
import types as python_types
from unittest import mock

from hornbeamrudder.core import errors
from hornbeamrudder.core import ids
from hornbeamrudder.core import types
from hornbeamrudder.gateway import clock
from hornbeamrudder.gateway.features import null_log
from hornbeamrudder.gateway import node
from hornbeamrudder.gateway import records
from hornbeamrudder.platform import adapter
from hornbeamrudder.platform import store

START_AT = 1000.0
WALL_OFFSET_S = 1e9
STORE_LATENCY_S = 0.004
NODE_LATENCY_S = 0.002
LOSS_RATE = 0.01
# All nodes start within this time.
START_SPREAD_S = 0.3
RESTART_S = 0.5
REFUSED_S = 0.002
COUNT_INTERVAL_S = 0.25
ACCOUNTS = tuple(ids.AccountId(f'account-{number}') for number in range(19))
PORT = 7600
BOUNDS = records.Bounds(
    revoke_s=5.0,
    drain_s=4.0,
    lease_s=3.0,
    quota_slack_tokens=140_000.0,
    usage_window_s=5.0,
    usage_late_s=10.0,
)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that advances its time instead of waiting."""

    def __init__(self):
        super().__init__(_InstantSelector(self))
        self.virtual_time = START_AT

    def time(self):
        """Return the virtual time, in seconds."""
        return self.virtual_time


class _InstantSelector(selectors.DefaultSelector):
    """Selector that lets the virtual time pass while no event is ready."""

    def __init__(self, loop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        """Return ready files; advance the time by `timeout` without any."""
        if timeout:
            self._loop.virtual_time += timeout
        return super().select(0)


class SharedStore:
    """Rows of all nodes, with a change feed.

    Attributes
    ----------
    calls : Counter
        Number of calls by operation and table.
    refuses : callable
        Whether the store turns a node away.
    """

    def __init__(self):
        self.version = 0
        self.rows_by_table = collections.defaultdict(dict)
        self.history_by_table = collections.defaultdict(list)
        self.calls = collections.Counter()
        self.refuses = lambda node_id: False
        self._waiters_by_table = collections.defaultdict(set)

    def commit(self, changes):
        """Apply changes, given as table, key and value or None."""
        self.version += 1
        for table, key, value in changes:
            row = store.Row(key, value, self.version, value is None)
            if value is None:
                self.rows_by_table[table].pop(key, None)
            else:
                self.rows_by_table[table][key] = row
            self.history_by_table[table].append(row)
            for waiter in self._waiters_by_table.pop(table, ()):
                if not waiter.done():
                    waiter.set_result(None)

    async def wait_for_change(self, table, wait_s):
        """Wait for a change of a table for at most `wait_s`."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters_by_table[table].add(waiter)
        await asyncio.wait([waiter], timeout=wait_s)
        self._waiters_by_table[table].discard(waiter)


class StoreClient:
    """One node's client of the shared store."""

    def __init__(self, shared, node_id):
        self.caller = python_types.SimpleNamespace(
            set_address=lambda address: None
        )
        self._shared = shared
        self._node = node_id

    async def _enter(self, operation, table):
        """Count a call; return a failure if the node is turned away."""
        self._shared.calls[f'{operation} {table}'] += 1
        sent_at = clock.now()
        if self._shared.refuses(self._node):
            await asyncio.sleep(REFUSED_S)
            return errors.Failure(
                errors.FailureKind.UNAVAILABLE,
                errors.Step.READ_TABLE,
                'store',
                'status 503',
            ), sent_at
        await asyncio.sleep(STORE_LATENCY_S)
        return None, sent_at

    def _answer(self, rows, sent_at):
        now = clock.now()
        return store.Rows(
            tuple(rows), self._shared.version, now * 1e3, sent_at, now
        )

    async def read(self, table, first='', end='', limit=500, timeout_s=1.5):
        """Read the rows in a range of keys."""
        failure, sent_at = await self._enter('read', table)
        return failure or self._answer(
            (
                row
                for key, row in sorted(
                    self._shared.rows_by_table[table].items()
                )
                if key >= first and (not end or key < end)
            ),
            sent_at,
        )

    async def read_all(self, table):
        """Read a whole table."""
        return await self.read(table)

    async def changes(self, table, after, wait_s):
        """Wait for changes after a version."""
        failure, sent_at = await self._enter('feed', table)
        if failure:
            return failure

        def changed():
            return [
                row
                for row in self._shared.history_by_table[table]
                if row.version > after
            ]

        if not changed() and wait_s:
            await self._shared.wait_for_change(table, wait_s)
        if self._shared.refuses(self._node):
            return errors.Failure(
                errors.FailureKind.INTERRUPTED,
                errors.Step.READ_TABLE,
                'store',
                'closed',
            )
        return self._answer(changed(), sent_at)

    async def write(self, changes, expected=(), timeout_s=1.5):
        """Apply changes if all preconditions hold."""
        failure, sent_at = await self._enter('write', changes[0].table)
        if failure:
            return failure
        rows_by_table = self._shared.rows_by_table
        for item in expected:
            row = rows_by_table[item.table].get(item.key)
            if (row.version if row else 0) != item.version:
                return store.Conflict((row,) if row else ())
        self._shared.commit(
            [
                (change.table, change.key, getattr(change, 'value', None))
                for change in changes
            ]
        )
        return self._answer((), sent_at)


class CloudClient:
    """Accepts all calls and keeps the usage reports."""

    def __init__(self, fleet):
        self.caller = python_types.SimpleNamespace(
            set_address=lambda address: None
        )
        self._fleet = fleet

    async def report_usage(self, holder, window, requests_by_account):
        """Store a report."""
        await asyncio.sleep(STORE_LATENCY_S)
        self._fleet.reports_by_window[window].append(dict(requests_by_account))

    async def set_desired_servers(self, *_):
        """Accept an order."""
        await asyncio.sleep(STORE_LATENCY_S)


@dataclasses.dataclass
class RunningNode:
    """A node process and its tasks."""

    node: node.Node
    tasks: list
    address: types.Address


class Fleet:
    """The nodes of a deployment, their store and their datagrams."""

    def __init__(self, count, seed=5):
        self.count = count
        self.rng = random.Random(seed)
        self.store = SharedStore()
        self.running_by_number = {}
        self.reports_by_window = collections.defaultdict(list)
        self.counted_by_window = collections.defaultdict(collections.Counter)
        self.failures = []
        self.loss_rate = LOSS_RATE
        # Numbers of the nodes that reach no other node.
        self.cut = frozenset()
        self._in_transit = []
        self._sequence = itertools.count()
        self._delivery = None
        self._starts = itertools.count(1)

    def run(self, scenario):
        """Run a coroutine function with this fleet; return its result."""
        loop = VirtualLoop()
        with (
            contextlib.closing(loop),
            mock.patch.multiple(
                clock,
                now=lambda: loop.virtual_time,
                wall=lambda: WALL_OFFSET_S + loop.virtual_time,
            ),
        ):
            asyncio.set_event_loop(loop)
            try:
                return loop.run_until_complete(self._run(scenario))
            finally:
                asyncio.set_event_loop(None)

    async def _run(self, scenario):
        counting = asyncio.ensure_future(self._count_requests())
        try:
            return await scenario(self)
        finally:
            counting.cancel()
            for number in list(self.running_by_number):
                self.kill(number)
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            await asyncio.sleep(0)

    # Nodes

    def start(self, number):
        """Start a node process."""
        name = ids.NodeId(f'n{number}')
        address = types.Address(f'10.0.{number // 250}.{number % 250}', PORT)
        platform = python_types.SimpleNamespace(**vars(adapter))
        platform.Store = lambda _: StoreClient(self.store, name)
        platform.CloudApi = lambda _: CloudClient(self)
        platform.decode_configuration = lambda value: value
        created = node.Node(
            records.NodeSettings(
                node=name,
                ip=address.ip,
                data_centre=ids.DataCentreName(f'd{number % 6}'),
                front=address,
                readiness=address,
                peer_port=PORT,
                metrics_port=PORT,
                store=address,
                cloud=address,
                duties=frozenset({adapter.USAGE_DUTY}),
                data_centres=(),
                row_bytes=65536,
                bounds=BOUNDS,
                link_mbps=(10.0, 50.0, 100.0)[number % 3],
            ),
            platform,
            null_log.NullLog(),
        )
        created.state.started += next(self._starts)
        created.state.rng.seed(self.rng.random())
        created.state.peers.connection_made(_Transport(self, address))
        tasks = [
            asyncio.ensure_future(job) for job in created.background_jobs()
        ]
        self.running_by_number[number] = RunningNode(created, tasks, address)

    def kill(self, number):
        """End a node process without a stop signal."""
        running = self.running_by_number.pop(number)
        for task in running.tasks:
            task.cancel()
        self.failures += [
            task.exception()
            for task in running.tasks
            if task.done() and not task.cancelled()
        ]

    async def stop(self, number):
        """Let a node do what it does last in a graceful stop, and end it."""
        running = self.running_by_number[number]
        running.node.state.stopping = True
        await running.node.leave()
        self.kill(number)

    async def start_all(self):
        """Start all nodes within `START_SPREAD_S`, in random order."""
        numbers = list(range(self.count))
        self.rng.shuffle(numbers)
        for number in numbers:
            self.start(number)
            await asyncio.sleep(START_SPREAD_S / self.count)

    def confirmed_ages(self):
        """Return the age of the configuration at each node, in seconds."""
        return [
            running.node.state.confirmed_age()
            for running in self.running_by_number.values()
        ]

    def put_configuration(self, version):
        """Write a version of the configuration."""
        self.store.commit(
            [
                (
                    adapter.CONFIGURATION_TABLE,
                    adapter.CONFIGURATION_KEY,
                    records.Configuration(
                        ids.Version(version),
                        {},
                        {},
                        {
                            name: records.ClientAccount(
                                name, (), None, True, 200, 1e5, 1e5
                            )
                            for name in ACCOUNTS
                        },
                        {},
                        records.CallerLimits(),
                    ),
                )
            ]
        )

    async def _count_requests(self):
        """Count requests of random accounts at all nodes."""
        while True:
            await asyncio.sleep(COUNT_INTERVAL_S)
            for running in list(self.running_by_number.values()):
                state = running.node.state
                if state.configuration is None or state.stopping:
                    continue
                account = self.rng.choice(ACCOUNTS)
                cluster_time = state.peers.cluster_time()
                state.usage.count(account, cluster_time)
                window = state.usage.window_at(cluster_time)
                self.counted_by_window[window][account] += 1

    # Datagrams

    def send(self, source, target_ip, data):
        """Put a datagram in transit unless it is lost."""
        if self.rng.random() < self.loss_rate:
            return
        if not self.cut.isdisjoint((_number(source.ip), _number(target_ip))):
            return
        loop = asyncio.get_running_loop()
        heapq.heappush(
            self._in_transit,
            (
                loop.time() + NODE_LATENCY_S,
                next(self._sequence),
                source,
                target_ip,
                data,
            ),
        )
        if self._delivery is None:
            self._delivery = loop.call_later(NODE_LATENCY_S, self._deliver)

    def _deliver(self):
        loop = asyncio.get_running_loop()
        self._delivery = None
        while self._in_transit and self._in_transit[0][0] <= loop.time():
            _, _, source, target_ip, data = heapq.heappop(self._in_transit)
            running = self.running_by_number.get(_number(target_ip))
            if running is not None:
                running.node.state.peers.datagram_received(
                    data, (source.ip, source.port)
                )
        if self._in_transit:
            self._delivery = loop.call_later(
                max(0.0, self._in_transit[0][0] - loop.time()), self._deliver
            )


def _number(ip):
    """Return the number of the node with an address."""
    _, _, high, low = map(int, ip.split('.'))
    return high * 250 + low


class _Transport:
    """Datagram transport of one node."""

    def __init__(self, fleet, address):
        self._fleet = fleet
        self._address = address

    def sendto(self, data, target):
        """Send a datagram."""
        self._fleet.send(self._address, target[0], data)
