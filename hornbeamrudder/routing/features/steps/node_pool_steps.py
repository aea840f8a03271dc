"""Steps for quiet workers on a node."""

import dataclasses
import random
import types as python_types

import behave
import msgpack
from returns import result

from hornbeamrudder.backends import load as backend_load
from hornbeamrudder.core import types
from hornbeamrudder.entry import pool
from hornbeamrudder.peers import codec
from hornbeamrudder.peers import messages
from hornbeamrudder.peers import view

SERVICE = 'quill-llm'


class Watcher:
    """Watcher whose workers are all live; counts the work sent to them."""

    def __init__(self, count, slots):
        self._workers = {
            f'w{number}': types.Worker(
                f'w{number}', SERVICE, 'h', 'dc',
                types.Address('127.0.0.1', number), slots,
            )
            for number in range(count)
        }  # fmt: skip
        self._loads = dict.fromkeys(self._workers, backend_load.WorkerLoad())

    def snapshot(self):
        return python_types.SimpleNamespace(
            workers_by_id=self._workers,
            loads_by_worker=self._loads,
            state_of=lambda worker, now: types.HostState.LIVE,
        )

    def request_started(self, worker, request, tokens):
        self._loads[worker] = backend_load.add_request(
            self._loads[worker], request, tokens, 0.0
        )


@behave.given(
    'a node with {count:d} workers of {slots:d} slots and a quiet part of'
    ' {part:g}'
)
def make_pool(context, count, slots, part):
    context.small = None
    context.dispatched = []
    context.pool = pool.NodeWorkerPool(
        'n1',
        Watcher(count, slots),
        lambda service: {'n1': 8.0},
        random.Random(1),
        lambda service: context.small,
    )
    context.pool.on_dispatch(context.dispatched.append)
    context.pool.update_quiet_workers(SERVICE, 2.0, part)


@behave.given('account "{small}" is small while "{large}" requests all slots')
def set_small(context, small, large):
    context.small = frozenset({small})


def send(context, account, rank, name):
    requester = pool.Requester(account, rank)
    can_dispatch_now = context.pool.can_dispatch(SERVICE, requester)
    chosen = context.pool.choose_for(
        SERVICE, name, 10.0, frozenset(), requester=requester
    )
    assert isinstance(chosen, result.Success) is can_dispatch_now
    return can_dispatch_now


@behave.when('"{account}" sends {count:d} standard requests')
def send_many(context, account, count):
    context.placed = sum(
        send(context, account, types.Rank.STANDARD, f'r{number}')
        for number in range(count)
    )


@behave.then(
    '{placed:d} of them find a worker and {free:d} quiet slots are free'
)
def check_placed(context, placed, free):
    assert context.placed == placed, context.placed
    assert context.pool.usable_slots(SERVICE).quiet_free == free
    quiet = bool(context.pool.quiet_workers(SERVICE))
    assert len(context.dispatched) == (placed if quiet else 0)


@behave.then('"{small}" and an urgent request of "{large}" {found}')
def check_small(context, small, large, found):
    finds = found == 'find a worker'
    assert send(context, small, types.Rank.STANDARD, 's') is finds
    assert send(context, large, types.Rank.URGENT, 'u') is finds


@behave.then('a heartbeat that ends before the small demand is read with none')
def check_old_heartbeat(context):
    heartbeat = messages.Heartbeat(
        1.0, 1, 1.0, 1, small_demand=((SERVICE, 2.0),)
    )
    body = codec.encode(messages.Envelope('n2', 1, heartbeat)).unwrap()
    assert codec.decode(body).unwrap().message == heartbeat
    raw = msgpack.unpackb(body)
    names = [field.name for field in dataclasses.fields(messages.Heartbeat)]
    raw[5] = raw[5][: names.index('small_demand')]
    old = codec.decode(msgpack.packb(raw)).unwrap().message
    assert old.small_demand == ()


@behave.then(
    'the small demand of a peer without recent heartbeats is left out of the'
    ' sum'
)
def check_sum(context):
    peer_view = view.View()
    for name, now in (('n2', 10.0), ('n3', 10.0), ('n4', 1.0)):
        heartbeat = messages.Heartbeat(
            now, 1, 1.0, 1, small_demand=((SERVICE, 2.0),)
        )
        peer_view = view.record_heartbeat(peer_view, name, 1, heartbeat, now)
    assert view.small_demand(peer_view, 11.0) == {SERVICE: 4.0}
