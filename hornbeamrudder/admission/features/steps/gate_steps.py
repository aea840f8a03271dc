"""Steps for the admission gate of a node."""

import time

import behave
from returns import result

from hornbeamrudder.admission import controller
from hornbeamrudder.core import types
from hornbeamrudder.entry import gate
from hornbeamrudder.entry import pool
from hornbeamrudder.inventory import schema

SERVICE = 'modele-atelier'


class Workers:
    """Worker pool with a fixed number of slots."""

    def __init__(self, slots):
        self._usable = pool.UsableSlots(slots, 0)
        self.quiet_calls = []
        self.first_attempts = 0

    def count_first_attempt(self, service):
        self.first_attempts += 1

    def usable_slots(self, service):
        return self._usable

    def update_quiet_workers(self, service, small_demand, max_fraction):
        self.quiet_calls.append((small_demand, max_fraction))


@behave.given(
    'a gate with {slots:d} slots and at most {count:d} open requests of'
    ' account "{account}"'
)
def make_gate(context, slots, count, account):
    document = schema.parse_document(
        {
            'services': [{'name': SERVICE, 'kind': 'model_engine'}],
            'accounts': [
                {
                    'id': account,
                    'token_sha256': 'a' * 64,
                    'limits': {'open_requests': count},
                }
            ],
            'rules': {'quiet_part': 0.25},
        }
    ).unwrap()
    context.workers = Workers(slots)
    context.gate = gate.Gate(
        context.workers,
        controller.Controller(),
        lambda: document,
        threads=8,
        peer_small_demand=lambda: {SERVICE: 2.0},
    )
    context.add_cleanup(context.gate.close)
    context.gate.refresh(SERVICE)


def submit(context, account='a', max_wait_s=60.0, limited=True):
    return context.gate.submit(
        types.Rank.STANDARD, account, SERVICE, 1.0,
        time.monotonic() + max_wait_s, limited=limited,
    )  # fmt: skip


def refused(future):
    return future.done() and isinstance(future.result(), result.Failure)


@behave.then(
    'a fourth request is refused at once and an accepted order is not'
)
def check_fourth(context):  # fmt: skip
    context.open = [submit(context), submit(context)]
    context.open.append(submit(context, max_wait_s=1.2))
    assert not any(map(refused, context.open))
    assert refused(submit(context))
    assert context.workers.first_attempts == 2
    order = submit(context, limited=False)
    assert not refused(order)
    context.gate.withdraw(order)


@behave.then(
    'after release, withdrawal and expiry three requests may be open again'
)
def check_again(context):
    held, withdrawn, expiring = context.open
    # The waiting request expires while both slots are held.
    assert isinstance(expiring.result(5), result.Failure)
    context.gate.release(held.result().unwrap(), 1.0)
    context.gate.release(held.result().unwrap(), 1.0)
    context.gate.withdraw(withdrawn)
    again = [submit(context) for _ in range(4)]
    assert [refused(item) for item in again] == [False, False, False, True]


@behave.when('account "{large}" requests {count:d} slots and "{small}" one')
def request_slots(context, large, count, small):
    for account in (large,) * count + (small,):
        submit(context, account)


@behave.then(
    'the worker pool receives the demand of this node and {slots:d} slots of'
    ' the peers'
)
def check_quiet_demand(context, slots):
    deadline = time.monotonic() + 5
    while not any(demand > slots for demand, _ in context.workers.quiet_calls):
        assert time.monotonic() < deadline, context.workers.quiet_calls
        time.sleep(0.05)
    assert context.workers.quiet_calls[-1][1] == 0.25


@behave.when('two requests begin and end at once')
def begin_and_end(context):
    for future in [submit(context), submit(context)]:
        context.gate.withdraw(future)


@behave.then('the demand becomes {peak:d} and later {rest:d}')
def check_demand(context, peak, rest):
    for expected in (peak, rest):
        deadline = time.monotonic() + 5
        while context.gate.demand() != ((SERVICE, float(expected)),):
            assert time.monotonic() < deadline, context.gate.demand()
            time.sleep(0.02)
