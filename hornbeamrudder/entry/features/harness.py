"""Test harness of the failure scenarios: a local deployment under load."""

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

# Far above the expected times, so that the result does not depend on the load
# of the machine.
WAIT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
STREAM_TOKENS = 300
STREAM_THREADS = 12
ORDER_THREADS = 4
MAX_THREADS = 64
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
    """Address list with a single node, for calls to a specific node."""

    def __init__(self, address):
        self._address = address

    def pick(self):
        """Return the address."""
        return self._address


class Harness:
    """A deployment, its load and the observations of the current scenario."""

    def __init__(self, seed):
        self._scratch = tempfile.TemporaryDirectory()
        self.processes = local.LocalProcesses(pathlib.Path(self._scratch.name))
        self.client = http.HttpClient('harness')
        self.running = deployment.Deployment(PLAN, self.processes, self.client)
        self._rng = random.Random(seed)
        self._stop = threading.Event()
        self._pool = futures.ThreadPoolExecutor(MAX_THREADS)
        self._load_futures = []
        self._key_numbers = itertools.count()
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
        self.begin_scenario('start')

    def close(self):
        """Stop the processes."""
        self._stop.set()
        self.processes.stop_all()
        self._pool.shutdown()
        self.addresses.close()
        self.client.close()
        self._scratch.cleanup()

    def begin_scenario(self, name):
        """Start a scenario with this name and an empty history."""
        self.name = name
        self.records = []
        self.fault_state = {}
        self._load_futures = []
        self._stop = threading.Event()
        self._samples_by_process = {}

    def caller_at(self, node):
        """Return a caller whose calls all go to one node."""
        return callers.Caller(
            self.client, FixedAddress(self.running.address(node))
        )

    def key(self, kind):
        """Return a unique key."""
        return f'{kind}-{self.name}-{next(self._key_numbers)}'

    def order(self, caller=None, key=None, timeout_s=WAIT_TIMEOUT_S):
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

    def stream(self, caller=None, tokens=STREAM_TOKENS):
        """Read one stream and record its outcome."""
        call = (caller or self.caller).stream(
            self._rng.choice((BUYERS, CHAIN)),
            PLAN.model,
            self.key('quote'),
            tokens,
            WAIT_TIMEOUT_S,
        )
        self.records.append(call)
        return call

    def start_load(self, caller=None):
        """Start streams and orders that repeat until `stop_load`."""
        for work, count in (
            (self.stream, STREAM_THREADS),
            (self.order, ORDER_THREADS),
        ):
            for _ in range(count):
                self._load_futures.append(
                    self._pool.submit(self._repeat_until_stopped, work, caller)
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

    def _repeat_until_stopped(self, work, caller):
        while not self._stop.is_set():
            work(caller)

    def submit(self, work, *arguments):
        """Run a call on a thread of the pool."""
        return self._pool.submit(work, *arguments)

    def live_nodes(self):
        """Return the names of the nodes that are running and not paused."""
        return [
            name
            for name in self.running.node_names
            if self.processes.by_name[name].running
            and name not in self.fault_state.get('paused', ())
        ]

    def status(self, node):
        """Return the status of a node; its version is added to the history."""
        status = self.running.status(node)
        process = f'{node}, {self.processes.by_name[node].process.pid}'
        self._samples_by_process.setdefault(process, []).append(
            status['version']
        )
        return status

    def has_requests_at(self, worker):
        """Return whether any node has a request at this worker."""
        return any(
            self.status(node)['workers'][worker]['own_requests']
            for node in self.live_nodes()
        )

    def open_requests_of(self, node):
        """Return the number of requests that a node has at its workers."""
        return sum(
            item['own_requests']
            for item in self.status(node)['workers'].values()
        )

    def wait(self, condition, description, timeout_s=WAIT_TIMEOUT_S):
        """Wait until a condition holds."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < deadline, (
                f'timed out after {timeout_s} s: {description}'
            )
            time.sleep(POLL_INTERVAL_S)

    def send_signal(self, name, number):
        """Send a signal to a process."""
        self.processes.by_name[name].send(number)

    def set_faults(self, name, **faults):
        """Inject faults into a stand-in."""
        local.control(self.client, self.running.address(name), faults)

    def restart(self, name):
        """Start a node again after its process has ended."""
        self.processes.start(
            name,
            ('node',),
            self.running.node_settings(self.running.node_names.index(name)),
        )

    def stop_load(self):
        """Start no new calls and wait for those in progress."""
        self._stop.set()
        for item in self._load_futures:
            item.result()

    def collect_history(self):
        """Stop the load and return the history of the scenario."""
        self.stop_load()
        orders = [
            call for call in self.records if call.rank is types.Rank.STANDARD
        ]
        keys = {call.key for call in orders}
        runs = self.running.runs_by_key()
        return history.History(
            tuple(self.records),
            {key: runs[key] for key in keys if key in runs},
            self._final_states(keys),
            self._samples_by_process,
            STREAM_TOKENS,
        )

    def _final_states(self, keys):
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
