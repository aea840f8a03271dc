"""Steps for store tables that nodes read or receive from other nodes."""

import asyncio
import random
from unittest import mock

import behave
import msgpack

from hornbeamrudder.core import errors
from hornbeamrudder.core import ids
from hornbeamrudder.core import types
from hornbeamrudder.gateway import clock
from hornbeamrudder.gateway.features import null_log
from hornbeamrudder.gateway import messages
from hornbeamrudder.gateway import records
from hornbeamrudder.gateway import server_registry
from hornbeamrudder.gateway import server_selection
from hornbeamrudder.gateway import store_health
from hornbeamrudder.gateway import table_relay
from hornbeamrudder.gateway import watch
from hornbeamrudder.platform import store


class _Row:
    def __init__(self, key, version, removed=False):
        self.key, self.version, self.removed = key, version, removed
        self.value = {}


@behave.when('entries expire while the node cannot reach the store')
def expire_entries(context):
    registry = server_registry.ServerRegistry(
        ids.DataCentreName('a'), lambda record: None
    )

    def decode(key, _):
        return records.BackendServer(
            ids.WorkerId(key),
            records.StartedMs(1),
            ids.ServiceName('s'),
            types.Address('127.0.0.1', 1),
            ids.DataCentreName('a'),
            6,
            records.ServerState.READY,
        )

    server_watch = watch.ServerWatch(
        registry, decode, lambda: True, null_log.NullLog()
    )
    server_watch.apply_rows((_Row('first', 1), _Row('second', 2)), True)
    service = records.BackendService(ids.ServiceName('s'), 100)

    def selected_servers():
        selected = set()
        for seed in range(20):
            placement = registry.reserve(
                service,
                messages.RequestMetadata(None),
                server_selection.Requirements(slot_share=100.0),
                (),
                random.Random(seed),
                0.0,
            )
            selected.add(placement.record.entry.id)
            registry.release(placement)
        return selected

    context.before_removal = selected_servers()
    server_watch.apply_rows((_Row('first', 3, True),), False)
    context.after_first_removal = selected_servers()
    server_watch.apply_rows((_Row('second', 4, True),), False)
    context.after_second_removal = selected_servers()
    for record in registry.by_id.values():
        record.missing_since -= 10
    server_watch.drop_missing(float('-inf'), False)
    context.after_timeout = set(registry.by_id)


@behave.then(
    'servers with an entry are preferred and the others are kept until the'
    ' re-registration time-out'
)
def check_expired_entries(context):
    assert context.before_removal == {'first', 'second'}, (
        context.before_removal
    )
    assert context.after_first_removal == {'second'}, (
        'after the first removal',
        context.after_first_removal,
    )
    assert context.after_second_removal == {'first', 'second'}, (
        context.after_second_removal
    )
    assert context.after_timeout == set(), (
        'after the time-out',
        context.after_timeout,
    )


class _CountingStore:
    """Store that counts its calls; its feed contains no changes."""

    def __init__(self, rows=()):
        self.reads = 0
        self._rows = rows

    async def read_all(self, table):
        """Return a snapshot."""
        self.reads += 1
        return store.Rows(self._rows, 15, 0.0, 5.0, 5.0)

    async def changes(self, table, after, wait_s):
        """Return no changes."""
        self.reads += 1
        return store.Rows((), after, 0.0, 5.0, 5.0)


_HUBS = [ids.NodeId(f'n{number}') for number in range(3)]


def _make_relay(name, tables, sent):
    return table_relay.TableRelay(
        ids.NodeId(name),
        tables,
        lambda node, data: sent.append((node, data)),
        lambda: _HUBS,
        lambda: True,
        lambda: [ids.NodeId(f'n{number}') for number in range(12)],
        store_health.StoreHealth(),
    )


def _make_table_watch(source, confirmed):
    return watch.TableWatch(
        source,
        't',
        0.0,
        null_log.NullLog(),
        store_health.StoreHealth(),
        lambda rows, snapshot: None,
        confirmed.append,
    )


@behave.given(
    'a node that does not follow the store and has a table up to version'
    ' {version:d}'
)
def make_relayed_table(context, version):
    context.follower_name = _HUBS[0]
    name = 'n7'
    context.confirmed, context.sent = [], []
    context.source = _CountingStore()
    context.watched_table = _make_table_watch(
        context.source, context.confirmed
    )
    context.relay = _make_relay(
        name, {'t': context.watched_table}, context.sent
    )
    context.watched_table.version = version
    context.watched_table.content_version = version
    context.now = 5.2
    assert not context.relay.follows_store()


def _make_follower(context, version, age_s):
    """Return a follower with a table, its sent datagrams and `age_s`."""
    table = _make_table_watch(_CountingStore(), [])
    sent = []
    relay = _make_relay(context.follower_name, {'t': table}, sent)
    table.version = table.content_version = version
    return table, relay, sent, age_s


def _apply_response(context, queried_at, version, responded_at):
    table, relay, sent, age_s = _make_follower(context, version, 0.2)
    table.confirmed_at = responded_at - age_s
    with mock.patch.object(clock, 'now', lambda: responded_at):
        states = relay.states()
    with mock.patch.object(clock, 'now', lambda: context.now):
        context.relay.apply_states(queried_at, states)


@behave.when(
    'a follower responds to a query sent at {queried_at:g} with version'
    ' {version:d}'
)
def respond_to_query(context, queried_at, version):
    _apply_response(context, queried_at, version, queried_at + 0.1)


@behave.when(
    'a response to a query sent at {queried_at:g} is processed at'
    ' {processed_at:g}'
)
def process_late_response(context, queried_at, processed_at):
    context.now = processed_at
    _apply_response(context, queried_at, 9, queried_at + 0.1)


@behave.when('changes from {before:d} to {after:d} arrive')
def receive_changes(context, before, after):
    table, relay, sent, _ = _make_follower(context, before, 0.0)
    relay._forward_changes(table, before, after, [_Row('first', after, True)])
    data = next(data for node, data in sent if node == context.relay.node)
    # Recently confirmed, so that only missed changes cause a read.
    context.watched_table.confirmed_at = context.now
    context.watched_table._answered_at = context.now
    context.relay.handle_datagram(msgpack.unpackb(data))


@behave.when('no follower responds')
def receive_no_response(context):
    context.watched_table.confirmed_at = context.now - 2.0


@behave.when('a follower has read a snapshot at version {version:d}')
def read_snapshot(context, version):
    table, relay, sent, _ = _make_follower(context, 10, 0.0)
    table.version = None
    asyncio.run(table._poll_once())
    assert table.version == version
    table.confirmed_at = 5.0
    with mock.patch.object(clock, 'now', lambda: 5.0):
        context.relay.apply_states(5.0, relay.states())


@behave.then(
    'the node {reads} the store and the confirmation time of its table is {at}'
)
def check_relayed(context, reads, at):
    with mock.patch.object(clock, 'now', lambda: context.now):
        is_relayed = context.watched_table.is_relayed()
    assert is_relayed == (reads == 'does not read'), (
        context.watched_table.__dict__
    )
    expected = [] if at == 'none' else [float(at)]
    assert [round(time_s, 3) for time_s in context.confirmed] == expected, (
        context.confirmed
    )


class _ScriptedStore(_CountingStore):
    """Store whose feed returns the given results in order."""

    def __init__(self, results):
        super().__init__()
        self._results = results

    async def changes(self, table, after, wait_s):
        """Return the next result."""
        return self._results.pop(0)


@behave.when(
    'a follower receives no changes up to version {unchanged:d} and then a'
    ' change at {version:d}'
)
def receive_unrelated_changes(context, unchanged, version):
    table, relay, sent, _ = _make_follower(context, 10, 0.0)
    table._source = _ScriptedStore(
        [
            store.Rows((), unchanged, 0.0, 5.0, 5.0),
            store.Rows(
                (_Row('first', version, True),), version, 0.0, 5.1, 5.1
            ),
        ]
    )
    for _ in range(2):
        asyncio.run(table._poll_once())
    data = next(data for node, data in sent if node == context.relay.node)
    context.watched_table.confirmed_at = context.now
    context.watched_table._answered_at = context.now
    assert context.relay.handle_datagram(msgpack.unpackb(data))
    assert context.watched_table.version == version


class _ForgetfulStore:
    """Store that resets the first call for changes of each table."""

    def __init__(self):
        self.known = set()
        self.read_tables = set()

    async def read_all(self, table):
        """Return a snapshot."""
        self.read_tables.add(table)
        now = clock.now()
        return store.Rows((), 20, 0.0, now, now)

    async def changes(self, table, after, wait_s):
        """Fail once, then tell that the history is gone."""
        if table not in self.known:
            self.known.add(table)
            return errors.Failure(
                errors.FailureKind.INTERRUPTED,
                errors.Step.READ_TABLE,
                '',
                'connection reset',
            )
        return store.HistoryGone()


@behave.when(
    'a store resets the calls of {count:d} watches and forgets its history'
)
def forget_history(context, count):
    context.source = _ForgetfulStore()

    async def follow():
        health = store_health.StoreHealth()
        watches = [
            watch.TableWatch(
                context.source,
                f't{number}',
                0.0,
                null_log.NullLog(),
                health,
                lambda rows, snapshot: None,
                pause_s=5.0,
            )
            for number in range(count)
        ]
        for table in watches:
            table.version = 15
        tasks = [asyncio.create_task(table.run()) for table in watches]
        await asyncio.sleep(2.0)
        for task in tasks:
            task.cancel()

    asyncio.run(follow())


@behave.then('each of the {count:d} tables is read whole within 2 s')
def check_read_whole(context, count):
    assert len(context.source.read_tables) == count, context.source.read_tables
