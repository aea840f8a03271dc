"""Steps for records, batches, the recovery scan and the executor."""

from concurrent import futures
import random
import threading
import time
from unittest import mock

import behave
import hypothesis
from hypothesis import strategies
from returns import result

from hornbeamrudder.core import errors
from hornbeamrudder.core import types
from hornbeamrudder.infrastructure import table
from hornbeamrudder.orders import committer
from hornbeamrudder.orders import execute
from hornbeamrudder.orders.features import checker
from hornbeamrudder.orders.features import simulation
from hornbeamrudder.orders import record
from hornbeamrudder.orders import recovery
from hornbeamrudder.orders import state

TEXT = strategies.text(max_size=12)
HEADERS = strategies.lists(strategies.tuples(TEXT, TEXT), max_size=3).map(
    tuple
)
JSON = strategies.none() | strategies.integers() | TEXT | strategies.lists(
    strategies.none()
)  # fmt: skip


@strategies.composite
def records(draw):
    """Generate valid records."""
    kind = draw(strategies.sampled_from(record.OrderState))
    request = record.StoredRequest(
        draw(TEXT), 'POST', draw(TEXT), draw(HEADERS),
        draw(strategies.binary(max_size=40)), draw(TEXT),
    )  # fmt: skip
    answer = record.StoredResult(
        200, draw(HEADERS), draw(strategies.binary(max_size=40)), draw(TEXT)
    )
    final = kind in record.FINAL_STATES
    return record.OrderRecord(
        kind, draw(TEXT), request.digest(),
        record.Holder(draw(TEXT), draw(TEXT), 3), 12.5, 13.25,
        None if final else request,
        answer if kind is record.OrderState.DONE else None,
    )  # fmt: skip


def fixed_examples(count):
    """Return hypothesis settings with a fixed seed."""
    return hypothesis.settings(
        max_examples=count, derandomize=True, database=None, deadline=None
    )


@behave.then('{count:d} generated records are equal after conversion')
def check_conversion(context, count):
    @fixed_examples(count)
    @hypothesis.given(records())
    def check(original):
        assert record.from_row(record.to_row(original)).unwrap() == original

    check()


@behave.then(
    '{count:d} malformed rows parse to a record or a failure without exception'
)
def check_damaged_rows(context, count):
    @fixed_examples(count)
    @hypothesis.given(records(), strategies.data())
    def check(original, data):
        row = record.to_row(original)
        name = data.draw(strategies.sampled_from(sorted(row)))
        row[name] = data.draw(JSON)
        record.from_row(row)
        assert isinstance(record.from_row(data.draw(JSON)), result.Failure)

    check()


@behave.then(
    'the accounts "{a}", "{b}" and "{c}" have different rows for any key'
)
def check_row_keys(context, a, b, c):
    @fixed_examples(100)
    @hypothesis.given(TEXT, TEXT)
    def check(key_a, key_b):
        keys = {
            record.row_key(account, key)
            for account in (a, b, c)
            for key in (key_a, key_b)
        }
        assert len(keys) == 3 * len({key_a, key_b})

    check()


@behave.given('{count:d} pending writes of {rows:d} rows')
def make_pending(context, count, rows):
    context.commits = committer.CommitState(
        tuple(
            committer.Item(
                number, table.Put(f'k{number % rows}', 0, {}), 'a', 99.0
            )
            for number in range(count)
        )
    )


@behave.then(
    'the batches have at most {limit:d} items with distinct rows, in order'
)
def check_batches(context, limit):
    commits, now, numbers = context.commits, 0.0, []
    while commits.pending:
        commits, _, batch = committer.next_batch(commits, now)
        assert committer.next_batch(commits, now)[2] is None
        keys = [item.put.key for item in batch.items]
        assert len(keys) == len(set(keys)) <= limit, keys
        numbers += [(item.put.key, item.number) for item in batch.items]
        now += committer.COMMIT_INTERVAL_S
    numbers_of_k0 = [number for key, number in numbers if key == 'k0']
    assert len(numbers) == 250 and numbers_of_k0 == sorted(numbers_of_k0)


class MemoryTable:
    """In-memory table service that loses or corrupts responses to writes."""

    def __init__(self):
        self.lock = threading.Lock()
        self.row_by_key = {}
        self.writes = 0

    def read(self, keys):
        """Read rows."""
        with self.lock:
            return result.Success(
                tuple(
                    table.Row(key, *self.row_by_key.get(key, (0, None)))
                    for key in keys
                )
            )

    def write(self, puts):
        """Apply compare-and-sets; some responses are lost or corrupt."""
        with self.lock:
            self.writes += 1
            response_lost = self.writes % 4 == 1
            results = []
            for put in puts:
                version, value = self.row_by_key.get(put.key, (0, None))
                applied = version == put.expect_version
                if applied:
                    version, value = version + 1, put.value
                    self.row_by_key[put.key] = (version, value)
                row = table.Row(put.key, version, value)
                results.append(table.PutResult(applied, row))
        if self.writes % 4 == 2:
            raise OSError('corrupt response')
        if response_lost:
            return result.Failure(
                errors.Failure(
                    errors.FailureKind.TIMEOUT, errors.Step.WRITE_TABLE, '', ''
                )
            )
        return result.Success(tuple(results))


@behave.given('an in-memory table that loses or corrupts some write responses')
def make_table(context):
    context.memory = MemoryTable()
    context.runs = []


def make_node(context):
    """Return the committer and executor of a node on the shared table."""
    group_commit = committer.Committer(context.memory)

    def send(request, holder):
        context.runs.append(request.request_id)
        answer = f'{request.request_id} by {holder.attempt}'.encode()
        return result.Success(record.StoredResult(200, (), answer, 'text'))

    return group_commit, execute.OrderExecutor(
        context.memory, group_commit, send
    )


def submit(executor, node, number, timeout_s=10.0):
    """Submit order `number` with capacity granted."""
    capacity = futures.Future()
    capacity.set_result(result.Success(None))
    request = record.StoredRequest('app', 'POST', '/', (), b'x', str(number))
    holder = record.Holder(f'{node}-{number}', node, 1)
    return executor.submit(
        'a', str(number), request, holder, timeout_s, capacity
    )


@behave.when('two nodes execute {count:d} orders each under the same keys')
def run_two_nodes(context, count):
    group_commits, executors = zip(*(make_node(context) for _ in range(2)))
    futures_by_node = [
        [submit(executor, f'n{index}', number) for number in range(count)]
        for index, executor in enumerate(executors)
    ]
    context.replies = [
        [future.result(15) for future in node] for node in futures_by_node
    ]
    for executor, group_commit in zip(executors, group_commits):
        executor.close()
        group_commit.close()


@behave.then('each order ran once and both nodes returned its answer')
def check_two_nodes(context):
    assert len(context.runs) == len(set(context.runs)) == 40
    first, second = context.replies
    assert first == second
    # An unrecorded answer would mean that a committer has stopped.
    assert all(reply.recorded for reply in first)
    assert all(isinstance(reply.answer, result.Success) for reply in first)


@behave.when('an order waits for a thread beyond its send window')
def run_late_send(context):
    group_commit, executor = make_node(context)
    release_threads = threading.Event()
    with mock.patch.object(state, 'SEND_WINDOW_S', 0.05):
        for _ in range(execute.SENDER_THREADS):
            executor._senders.submit(release_threads.wait, 10)
        future = submit(executor, 'n', 1)
        key = record.row_key('a', '1')
        deadline = time.monotonic() + 5
        while key not in context.memory.row_by_key:
            assert time.monotonic() < deadline
            time.sleep(0.01)
        time.sleep(0.2)
        release_threads.set()
        context.reply = future.result(5)
    executor.close()
    group_commit.close()


@behave.then('it does not run and its caller receives "not run"')
def check_late_send(context):
    assert context.runs == []
    outcome = context.reply.answer.failure().outcome
    assert (outcome, context.reply.recorded) == (types.Outcome.NOT_RUN, True)


@behave.then(
    'a large answer is returned to its caller and recorded as unknown'
)
def check_large_answer(context):
    group_commit, executor = make_node(context)
    with mock.patch.object(state, 'MAX_RESULT_BYTES', 3):
        first = submit(executor, 'n', 1).result(5).answer
        assert isinstance(first, result.Success)
    again = submit(executor, 'm', 1).result(5).answer.failure()
    assert again.outcome is types.Outcome.UNKNOWN
    assert context.runs == ['1']
    context.executor = executor


@behave.then('a request with unencodable text is refused as not run')
def check_unencodable_text(context):
    failure = (
        submit(context.executor, 'n', '\ud800').result(5).answer.failure()
    )
    assert failure.kind is errors.FailureKind.INVALID
    assert failure.outcome is types.Outcome.NOT_RUN


@behave.when('orders of a killed node are recovered on {seeds:d} seeds')
def recover_orders(context, seeds):
    context.violations = []
    context.recovered = 0
    for seed in range(seeds):
        for step in (4, 5, 6, 7):
            run = simulation.Simulation(seed, {step: ['kill']}, True)
            history = run.run()
            context.violations += [
                *checker.violations(history),
                *run.unfinished_violations(),
            ]
            context.recovered += any(
                run.attempt.startswith('r') for run in history.runs
            )


@behave.then('recovery executes some of them')
def check_recovered(context):
    assert context.recovered > 0


@behave.given('{count:d} records past their retention')
def make_old_records(context, count):
    old = record.OrderRecord(
        record.OrderState.UNKNOWN, 'a', 'd', record.Holder('a', 'n', 1),
        0.0, 0.0, None,
    )  # fmt: skip
    context.rows_by_key = {
        f'{number:04d}': table.Row(f'{number:04d}', 1, record.to_row(old))
        for number in range(count)
    }


@behave.then(
    '60 s of scanning deletes them all with at most 20 writes per second'
)
def check_scan(context):
    rng = random.Random(1)
    scan, now, actions_by_second = recovery.ScanState(), 0.0, {}
    while now < 60:
        now = max(scan.due_at, now + rng.random())
        rows = tuple(
            row
            for key, row in sorted(context.rows_by_key.items())
            if key > scan.after_key
        )[: recovery.PAGE_ROWS]
        decisions = tuple(
            (row.key, recovery.decide(row, None, 1, lambda *_: False, 1e6))
            for row in rows
        )
        scan, actions = recovery.advance_scan(scan, rows, decisions, now)
        for action in actions:
            del context.rows_by_key[action.put.key]
        total = sum(actions_by_second.values()) + len(actions)
        actions_by_second[now] = len(actions)
        assert total <= recovery.WRITE_BURST + 20 * now, (total, now)
    assert not context.rows_by_key
