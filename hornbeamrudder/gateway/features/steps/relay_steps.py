"""Steps for tables that are read from the store or relayed by other nodes."""

import asyncio
import random
from unittest import mock

import behave
import msgpack

from hornbeamrudder.core import ids
from hornbeamrudder.core import types
from hornbeamrudder.gateway import clock
from hornbeamrudder.gateway.features import null_log
from hornbeamrudder.gateway import messages
from hornbeamrudder.gateway import records
from hornbeamrudder.gateway import server_registry
from hornbeamrudder.gateway import server_selection
from hornbeamrudder.gateway import table_relay
from hornbeamrudder.gateway import watch
from hornbeamrudder.platform import store


class _Row:
    def __init__(self, key, version, removed=False):
        self.key, self.version, self.removed = key, version, removed
        self.value = {}


@behave.when("entries lapse while this node can't reach the store")
def lapse(context):
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

    watched = watch.ServerWatch(
        registry, decode, lambda: True, null_log.NullLog()
    )
    watched.apply_rows((_Row('left', 1), _Row('stays', 2)), True)
    service = records.BackendService(ids.ServiceName('s'), 100)

    def used():
        found = set()
        for seed in range(20):
            placement = registry.reserve(
                service,
                messages.RequestMetadata(None),
                server_selection.Requirements(slot_share=100.0),
                (),
                random.Random(seed),
                0.0,
            )
            found.add(placement.record.entry.id)
            registry.release(placement)
        return found

    context.before = used()
    watched.apply_rows((_Row('left', 3, True),), False)
    context.one_left = used()
    watched.apply_rows((_Row('stays', 4, True),), False)
    context.none_left = used()
    for record in registry.by_id.values():
        record.missing_since -= 10
    watched.drop_missing(float('-inf'), False)
    context.after = set(registry.by_id)


@behave.then(
    'servers with an entry are used first and the others until they expire'
)
def check_lapse(context):
    assert context.before == {'left', 'stays'}, context.before
    assert context.one_left == {'stays'}, ('one left', context.one_left)
    assert context.none_left == {'left', 'stays'}, context.none_left
    assert context.after == set(), ('after', context.after)


class _CountingStore:
    """A store that counts how often it is read; its feed has no changes."""

    def __init__(self, rows=()):
        self.reads = 0
        self._rows = rows

    async def read_all(self, table):
        """Read a table."""
        self.reads += 1
        return store.Rows(self._rows, 15, 0.0, 5.0, 5.0)

    async def changes(self, table, after, wait_s):
        """Wait for changes."""
        self.reads += 1
        return store.Rows((), after, 0.0, 5.0, 5.0)


_HUBS = [ids.NodeId(f'n{number}') for number in range(3)]


def _relayed_node(name, tables, sent):
    return table_relay.TableRelay(
        ids.NodeId(name),
        tables,
        lambda node, data: sent.append((node, data)),
        lambda: _HUBS,
        lambda: True,
        lambda: [ids.NodeId(f'n{number}') for number in range(12)],
    )


def _table(source, confirmed):
    return watch.TableWatch(
        source,
        't',
        0.0,
        null_log.NullLog(),
        lambda rows, snapshot: None,
        confirmed.append,
    )


@behave.given(
    'a node that does not follow the store and has a table up to version'
    ' {version:d}'
)
def relayed_table(context, version):
    context.follower_name = _HUBS[0]
    name = 'n7'
    context.confirmed, context.sent = [], []
    context.source = _CountingStore()
    context.watched = _table(context.source, context.confirmed)
    context.relay = _relayed_node(name, {'t': context.watched}, context.sent)
    context.watched.version = version
    context.watched.content_version = version
    context.now = 5.2
    assert not context.relay.follows_store()


def _follower(context, version, age_s):
    """A follower whose table was confirmed `age_s` before now."""
    table = _table(_CountingStore(), [])
    sent = []
    relay = _relayed_node(context.follower_name, {'t': table}, sent)
    table.version = table.content_version = version
    return table, relay, sent, age_s


def _exchange(context, asked_at, version, answered_at):
    table, relay, sent, age_s = _follower(context, version, 0.2)
    table.confirmed_at = answered_at - age_s
    with mock.patch.object(clock, 'now', lambda: answered_at):
        states = relay.states()
    with mock.patch.object(clock, 'now', lambda: context.now):
        context.relay.apply_states(asked_at, states)


@behave.when(
    'a follower responds to a query of {asked:g} with version {version:d}'
)
def respond_to_query(context, asked, version):
    _exchange(context, asked, version, asked + 0.1)


@behave.when(
    'a response to a query of {asked:g} is processed at {processed:g}'
)
def late_response(context, asked, processed):
    context.now = processed
    _exchange(context, asked, 9, asked + 0.1)


@behave.when('changes from {before:d} to {after:d} arrive')
def relay_changes(context, before, after):
    table, relay, sent, _ = _follower(context, before, 0.0)
    relay._forward_changes(table, before, after, [_Row('left', after, True)])
    data = next(data for node, data in sent if node == context.relay.node)
    # A table that was confirmed just before stays confirmed.
    context.watched.confirmed_at = context.now
    context.watched._answered_at = context.now
    context.relay.handle_datagram(msgpack.unpackb(data))


@behave.when('no follower responds')
def no_response(context):
    context.watched.confirmed_at = context.now - 2.0


@behave.when('a follower has read the whole table at version {version:d}')
def whole_table(context, version):
    table, relay, sent, _ = _follower(context, 10, 0.0)
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
        relayed = context.watched._is_relayed()
    assert relayed == (reads == 'does not read'), context.watched.__dict__
    expected = [] if at == 'none' else [float(at)]
    assert [round(item, 3) for item in context.confirmed] == expected, (
        context.confirmed
    )


class _ScriptedStore(_CountingStore):
    """A store whose feed returns the given results in order."""

    def __init__(self, results):
        super().__init__()
        self._results = results

    async def changes(self, table, after, wait_s):
        """Wait for changes."""
        return self._results.pop(0)


@behave.when(
    'a follower gets no changes up to version {unchanged:d} and then a change'
    ' at {version:d}'
)
def other_tables(context, unchanged, version):
    table, relay, sent, _ = _follower(context, 10, 0.0)
    table._source = _ScriptedStore(
        [
            store.Rows((), unchanged, 0.0, 5.0, 5.0),
            store.Rows((_Row('left', version, True),), version, 0.0, 5.1, 5.1),
        ]
    )
    for _ in range(2):
        asyncio.run(table._poll_once())
    data = next(data for node, data in sent if node == context.relay.node)
    context.watched.confirmed_at = context.now
    context.watched._answered_at = context.now
    assert context.relay.handle_datagram(msgpack.unpackb(data))
    assert context.watched.version == version
