"""Steps for the service, with real connections and real time."""

import dataclasses
import threading
import time

import behave
from returns import result

from hornbeamrudder.configuration import ended_members
from hornbeamrudder.configuration import publish
from hornbeamrudder.configuration import service
from hornbeamrudder.configuration import store
from hornbeamrudder.configuration import versions
from hornbeamrudder.core import errors
from hornbeamrudder.core import hashing
from hornbeamrudder.core import hosts
from hornbeamrudder.core import types
from hornbeamrudder.infrastructure import table

FAILED = result.Failure(
    errors.Failure(
        errors.FailureKind.TIMEOUT, errors.Step.READ_TABLE, 'fake', 'down'
    )
)


class FakeTable:
    """Table service in memory; can be down or lose one response."""

    def __init__(self):
        self.lock = threading.Lock()
        self.rows_by_key = {}
        self.down = False
        self.lose_response = False

    def read(self, keys):
        if self.down:
            return FAILED
        with self.lock:
            return result.Success(tuple(self.get(key) for key in keys))

    def get(self, key):
        return self.rows_by_key.get(key, table.Row(key, 0, None))

    def write(self, puts):
        if self.down:
            return FAILED
        with self.lock:
            results = tuple(self.put(item) for item in puts)
        if self.lose_response and puts[0].key == versions.CURRENT_KEY:
            self.lose_response = False
            return FAILED
        return result.Success(results)

    def scan(self, prefix, after='', limit=1000):
        if self.down:
            return FAILED
        with self.lock:
            keys = sorted(
                key
                for key, row in self.rows_by_key.items()
                if key.startswith(prefix)
                and key > after
                and row.value is not None
            )
            return result.Success(tuple(map(self.get, keys[:limit])))

    def put(self, item):
        applied = self.get(item.key).version == item.expect_version
        if applied:
            self.rows_by_key[item.key] = table.Row(
                item.key, item.expect_version + 1, item.value
            )
        return table.PutResult(applied, self.get(item.key))


def _wait_until(condition, seconds):
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, 'condition not met in time'
        time.sleep(0.01)


def _edit(context, document, base=None):
    node = context.nodes[0]
    base = node.current().row.version if base is None else base
    return node.apply(document, base, 'ann').result(15)


@behave.given('4 services with an in-memory table service over loopback')
def start_services(context):
    context.rows = FakeTable()
    context.nodes, seeds = [], ()
    for name in 'abcd':
        node = service.ConfigurationService(
            name,
            time.time_ns(),
            types.Address('127.0.0.1', 0),
            service.PeerSettings(seeds, b'key'),
            context.rows,
            host=f'host-{name}',
        )
        context.add_cleanup(node.close)
        seeds = (*seeds, node.network.address)
        context.nodes.append(node)


@behave.then('all admit and have the same members')
def check_members(context):
    def joined():
        return all(
            node.may_admit() and len(node.current().row.members) == 4
            for node in context.nodes
        )

    _wait_until(joined, 10)


@behave.then("an edit is accepted and reaches every node's callback")
def check_edit(context):
    seen = []
    for node in context.nodes:
        node.on_change(lambda content: seen.append(content.document))
    outcome = _edit(context, {'rules': 1})
    assert isinstance(outcome, publish.Accepted), outcome
    assert seen.count(b'{"rules":1}') == 4, seen
    assert context.nodes[1].wait_in_force(outcome.version, 5)


@behave.then('an edit based on the previous version gets a conflict')
def check_conflict(context):
    base = context.nodes[0].current().row.version - 1
    outcome = _edit(context, {'rules': 2}, base)
    assert outcome.changes == (versions.KeyConflict('rules', ('ann',)),), (
        outcome
    )


@behave.then('a document above 64 KB is refused without an object store')
def check_large(context):
    outcome = _edit(context, {'rules': 'x' * 70_000})
    assert isinstance(outcome, publish.Refused), outcome


@behave.then(
    'with the table service down all admit for 4 s and edits are refused'
)
def check_outage(context):
    context.rows.down = True
    deadline = time.monotonic() + 4
    while time.monotonic() < deadline:
        assert all(node.may_admit() for node in context.nodes)
        time.sleep(0.05)
    outcome = _edit(context, {'rules': 3})
    assert isinstance(outcome, publish.Refused), outcome
    context.rows.down = False


@behave.then('a write whose response is lost is accepted after a read back')
def check_lost_response(context):
    context.rows.lose_response = True
    outcome = _edit(context, {'rules': 4})
    assert not context.rows.lose_response
    assert isinstance(outcome, publish.Accepted), outcome


@behave.then('after one node fails an edit is accepted')
def check_stopped_node(context):
    context.nodes.pop().close()
    outcome = _edit(context, {'rules': 5})
    assert isinstance(outcome, publish.Accepted), outcome


@behave.then('a node that releases stops admitting and leaves the members')
def check_release(context):
    left = context.nodes.pop()
    assert left.release()
    assert not left.may_admit()
    names = [
        member['node']
        for member in context.rows.get(versions.CURRENT_KEY).value['members']
    ]
    assert names == ['a', 'b', 'c'], names
    # The write of the release deletes all replaced documents, including those
    # left by the outage or the lost response.
    _wait_until(lambda: len(_content_rows(context)) == 1, 5)
    # Until the release is in force everywhere, a majority of the previous
    # members is required too, and the next step stops one of them.
    released = context.rows.get(versions.CURRENT_KEY).value['version']
    for node in context.nodes:
        assert node.wait_in_force(released, 10)


def _content_rows(context):
    return context.rows.scan(versions.CONTENT_PREFIX).unwrap()


@behave.when('{count:d} nodes fail')
def stop_nodes(context, count):
    for _ in range(count):
        context.nodes.pop().close()


def _look_up_hosts(context, find_host):
    detector = ended_members.EndedMemberDetector(
        'a', context.nodes[0], find_host, service.boot_clock
    )
    deadline = time.monotonic() + ended_members.SILENCE_THRESHOLD_S + 1.0
    while time.monotonic() < deadline:
        detector.check()
        time.sleep(0.1)


def _find_host(phase):
    offer = hosts.OfferKey('levis-est', 'g1', True)
    return lambda name: result.Success(
        hosts.CloudHost(name, offer, 'entry', phase, 1)
    )


@behave.then(
    'edits are refused while the cloud API fails or shows the hosts as leaving'
)
def check_blocked(context):
    for find_host in (_find_host(hosts.HostPhase.LEAVING), lambda _: FAILED):
        _look_up_hosts(context, find_host)
        outcome = _edit(context, {'rules': 6})
        assert isinstance(outcome, publish.Refused), outcome


@behave.then(
    'an edit is accepted once the cloud API records the hosts as gone'
)
def check_unblocked(context):
    _look_up_hosts(context, _find_host(hosts.HostPhase.GONE))
    outcome = _edit(context, {'rules': 7})
    assert isinstance(outcome, publish.Accepted), outcome


@behave.given('content rows of versions 3, 9, 10 and 12')
def give_rows(context):
    context.rows = FakeTable()
    for version in (3, 9, 10, 12):
        key = f'{versions.CONTENT_PREFIX}{version}/p-{version}'
        context.rows.write([table.Put(key, 0, '{}')])


@behave.when('the rows replaced by version 10 are deleted')
def delete_rows(context):
    current = versions.VersionRow(
        11,
        10,
        f'{versions.CONTENT_PREFIX}10/p-10',
        '',
        (),
        'ann',
        (),
        'x',
        0.0,
    )
    store.delete_replaced(context.rows, current)


@behave.then('the content rows of versions 10 and 12 remain')
def check_rows(context):
    left = [row.key.split('/')[2] for row in _content_rows(context)]
    assert left == ['10', '12'], left


@behave.given('a table service whose content row is damaged')
def damage(context):
    context.rows = FakeTable()
    planned = publish.plan(
        publish.Proposal('p', 'ann', 0.0, 0, b'{"rules":1}'),
        publish.TableState(0, None, None),
        publish.admission_lease.QuorumState('a', 1),
        0,
        0.0,
    )
    store.write(context.rows, None, planned)
    context.key = planned.content.row.content_key
    read = store.read(context.rows, None, None).unwrap()
    assert read.document == b'{"rules":1}'
    context.rows.rows_by_key[context.key] = table.Row(context.key, 2, '{}')


@behave.then('a read returns the row without a document')
def check_damaged(context):
    read = store.read(context.rows, None, None).unwrap()
    assert read.row.version == 1 and read.document is None, read
    # A document must be a JSON object even if its digest matches.
    for document in (b'[1]', b'{', b'\xff'):
        row = dataclasses.replace(read.row, digest=hashing.digest(document))
        content = versions.parse_content(row, document)
        assert isinstance(content, result.Failure), document


@behave.then('a read of a damaged version row fails')
def check_damaged_row(context):
    key = versions.CURRENT_KEY
    context.rows.rows_by_key[key] = table.Row(key, 2, {'version': '1'})
    read = store.read(context.rows, None, None)
    assert isinstance(read, result.Failure), read
