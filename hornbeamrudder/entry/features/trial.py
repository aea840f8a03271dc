"""A small deployment of processes under load, for the failure tests."""

from concurrent import futures
import itertools
import pathlib
import random
import tempfile
import threading
import time

from returns import result

from hornbeamrudder.bench import balancer
from hornbeamrudder.bench import callers
from hornbeamrudder.bench import deployment
from hornbeamrudder.bench import local
from hornbeamrudder.core import types
from hornbeamrudder.entry.features import history
from hornbeamrudder.infrastructure import http
from hornbeamrudder.infrastructure import table
from hornbeamrudder.orders import record

# Generous, so that a loaded machine gives the same verdict.
PATIENCE_S = 60.0
POLL_S = 0.05
SAMPLE_S = 0.2
TOKENS = 300
STREAM_THREADS = 12
ORDER_THREADS = 4
THREADS = 64
ORDER_DEADLINE_S = 8.0
BUYERS = callers.Identity('buyers', 'token-buyers', types.Rank.URGENT)
CLERKS = callers.Identity('clerks', 'token-clerks', types.Rank.STANDARD)
CHAIN = callers.Identity('chain', 'token-chain', types.Rank.BATCH)
PLAN = deployment.Plan(
    region='jm-south',
    data_centres=('kingston-a', 'kingston-b', 'spanish-town'),
    nodes=3,
    model_service='quill-llm',
    model='assistant',
    engines=3,
    plain_service='ledger-app',
    services=2,
    tokens_by_account={
        item.account: item.token for item in (BUYERS, CLERKS, CHAIN)
    },
    rules={
        'ranks': [
            {'account': 'buyers', 'rank': 'urgent', 'deadline_s': 30.0},
            {
                'account': 'clerks',
                'rank': 'standard',
                'deadline_s': ORDER_DEADLINE_S,
            },
            {'account': 'chain', 'rank': 'batch', 'deadline_s': 60.0},
        ],
        'non_idempotent': [
            {
                'service': 'ledger-app',
                'method': 'POST',
                'path_prefix': '/visits',
            }
        ],
    },
    engine={'step_s': 0.015},
    service={'latency_s': 0.15},
    node={'stop_timeout_s': 30.0},
    relays=(
        'engine-1',
        'app-1',
        'entry-1:table',
        'entry-1:cloud',
        'entry-1:hosts',
        'entry-2:peers',
    ),
)


class FixedAddress:
    """Address list with one node, for calls that name their node."""

    def __init__(self, address):
        self._address = address

    def pick(self):
        """Return the one address."""
        return self._address


class Trial:
    """The deployment, its load and what was seen of it."""

    def __init__(self, seed):
        self._scratch = tempfile.TemporaryDirectory()
        self.processes = local.LocalProcesses(pathlib.Path(self._scratch.name))
        self.client = http.HttpClient('trial')
        self.running = deployment.Deployment(PLAN, self.processes, self.client)
        self._rng = random.Random(seed)
        self._stop = threading.Event()
        self._pool = futures.ThreadPoolExecutor(THREADS)
        self._load = []
        self._numbers = itertools.count()
        self._samples_by_process = {}
        try:
            self.running.start()
        except BaseException:
            self.processes.stop_all()
            raise
        self.addresses = balancer.AddressList(
            self.client, self.running.node_addresses(), seed
        )
        self.caller = callers.Caller(self.client, self.addresses)
        self.begin('start')

    def close(self):
        """End the processes."""
        self._stop.set()
        self.processes.stop_all()
        self._pool.shutdown()
        self.addresses.close()
        self.client.close()
        self._scratch.cleanup()

    def begin(self, name):
        """Begin a scenario of this name, with an empty history."""
        self.name = name
        self.records = []
        self.notes = {}
        self._load = []
        self._stop = threading.Event()
        self._samples_by_process = {}

    def caller_at(self, node):
        """Caller whose calls all go to one node."""
        return callers.Caller(
            self.client, FixedAddress(self.running.address(node))
        )

    def key(self, kind):
        """Make a key that no other call has."""
        return f'{kind}-{self.name}-{next(self._numbers)}'

    def order(self, caller=None, key=None, timeout_s=PATIENCE_S):
        """Send one order and record its outcome."""
        call = (caller or self.caller).call_service(
            CLERKS,
            PLAN.plain_service,
            'POST',
            '/visits',
            key or self.key('visit'),
            timeout_s=timeout_s,
        )
        self.records.append(call)
        return call

    def stream(self, caller=None, tokens=TOKENS):
        """Follow one stream and record its outcome."""
        call = (caller or self.caller).stream(
            self._rng.choice((BUYERS, CHAIN)),
            PLAN.model,
            self.key('quote'),
            tokens,
            PATIENCE_S,
        )
        self.records.append(call)
        return call

    def start_load(self, caller=None):
        """Begin streams and orders that go on until the history's check."""
        for work, count in (
            (self.stream, STREAM_THREADS),
            (self.order, ORDER_THREADS),
        ):
            for _ in range(count):
                self._load.append(
                    self._pool.submit(self._repeat, work, caller)
                )
        self.wait(
            lambda: (
                len(self.records) >= ORDER_THREADS
                and any(
                    item['own_requests']
                    for node in self.live_nodes()
                    for item in self.status(node)['workers'].values()
                )
            ),
            'requests are in progress',
        )

    def _repeat(self, work, caller):
        while not self._stop.is_set():
            work(caller)

    def submit(self, work, *arguments):
        """Run a call on a thread."""
        return self._pool.submit(work, *arguments)

    def live_nodes(self):
        """Names of the nodes whose process has not ended."""
        return [
            name
            for name in self.running.node_names
            if self.processes.by_name[name].running
            and name not in self.notes.get('paused', ())
        ]

    def status(self, node):
        """Status of a node; its version goes into the history."""
        told = self.running.status(node)
        process = f'{node}, {self.processes.by_name[node].process.pid}'
        self._samples_by_process.setdefault(process, []).append(
            told['version']
        )
        return told

    def busy(self, worker):
        """Whether a node has a request at this worker."""
        return any(
            self.status(node)['workers'][worker]['own_requests']
            for node in self.live_nodes()
        )

    def open_at(self, node):
        """Requests that a node has at its workers."""
        return sum(
            item['own_requests']
            for item in self.status(node)['workers'].values()
        )

    def wait(self, condition, what, limit_s=PATIENCE_S):
        """Wait until a condition holds."""
        deadline = time.monotonic() + limit_s
        while not condition():
            assert time.monotonic() < deadline, f'not in {limit_s} s: {what}'
            time.sleep(POLL_S)

    def kill(self, name, number):
        """Send a signal to a process."""
        self.processes.by_name[name].send(number)

    def control(self, name, **faults):
        """Set faults of a stand-in."""
        local.control(self.client, self.running.address(name), faults)

    def restart(self, name):
        """Start a node afresh after its process has ended."""
        self.processes.start(
            name,
            ('node',),
            self.running.node_settings(self.running.node_names.index(name)),
        )

    def end_load(self):
        """Let no new calls begin and wait for those in progress."""
        self._stop.set()
        for item in self._load:
            item.result()

    def history(self):
        """Collect what was seen of the scenario's calls."""
        self.end_load()
        orders = [
            call for call in self.records if call.rank is types.Rank.STANDARD
        ]
        keys = {call.key for call in orders}
        runs = self.running.runs_by_key()
        return history.History(
            tuple(self.records),
            {key: runs[key] for key in keys if key in runs},
            self._states(keys),
            self._samples_by_process,
            TOKENS,
        )

    def _states(self, keys):
        rows_by_key = {}
        store = table.TableClient(
            self.client, str(self.running.address('table'))
        )

        def final():
            names = {record.row_key(CLERKS.account, key): key for key in keys}
            found = store.scan('order/')
            if not isinstance(found, result.Success):
                return False
            rows_by_key.update(
                (names[row.key], record.from_row(row.value).unwrap().state)
                for row in found.unwrap()
                if row.key in names
            )
            return all(
                state in record.FINAL_STATES for state in rows_by_key.values()
            )

        try:
            self.wait(final, 'all records are final')
        except AssertionError:
            pass
        return rows_by_key
