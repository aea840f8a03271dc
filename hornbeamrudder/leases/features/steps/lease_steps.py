"""Steps for leases."""

import contextlib
import dataclasses
import os
import random
import time
from unittest import mock

import behave
from returns import result

from hornbeamrudder.infrastructure import table
from hornbeamrudder.leases.features import simulation
from hornbeamrudder.leases import holder
from hornbeamrudder.leases import state

LONG_FACTOR = 12
SEED_FACTOR = (
    LONG_FACTOR if os.environ.get('HORNBEAMRUDDER_PROOFS') == 'long' else 1
)


@behave.when('a lease runs on {seeds:d} seeds with {count:d} faults each')
def explore(context, seeds, count):
    context.found = [
        (seed, fault)
        for seed in range(seeds * SEED_FACTOR)
        for fault in simulation.Simulation(seed, count).run()
    ]


@behave.when('a lease runs with each pair of faults at {count:d} early steps')
def explore_steps(context, count):
    plans = [
        {step: kind, step + gap: other}
        for step in range(1, count + 1)
        for gap in (1, 7, 40)
        for kind in simulation.FAULTS
        for other in simulation.FAULTS
    ]
    if SEED_FACTOR == 1:
        plans = random.Random(1).sample(plans, 120)
    context.found = [
        (plan, fault)
        for number, plan in enumerate(plans)
        for fault in simulation.Simulation(number, 0, plan).run()
    ]


@behave.then('no two nodes act at once and a node holds the lease at the end')
def check_nothing_found(context):
    assert not context.found, context.found[:5]


def _counted_from_the_answer(lease, row, now):
    """Count the term from the answer to the write."""
    if lease.pending is not None:
        pending = dataclasses.replace(lease.pending, sent_at=now)
        lease = dataclasses.replace(lease, pending=pending)
    return ORIGINAL_SEE(lease, row, now)


ORIGINAL_SEE = state._see
MECHANISMS = {
    'drift margin': {'DRIFT_MARGIN_S': 0.0},
    'check of the clock': {'may_act': lambda lease, now: lease.fencing},
    'wait of a full term': {
        'may_acquire': lambda lease, now: lease.seen_version is not None
    },
    'new fencing number': {
        'next_fencing': lambda lease: (
            lease.seen_row.fencing if lease.seen_row else 1
        )
    },
    'count from before the write': {'_see': _counted_from_the_answer},
}


@behave.when('the mechanism "{name}" is off')
def explore_without(context, name):
    context.found = []
    with contextlib.ExitStack() as stack:
        for attribute, value in MECHANISMS[name].items():
            stack.enter_context(mock.patch.object(state, attribute, value))
        for seed in range(400):
            context.found += simulation.Simulation(seed, 5).run()
            if context.found:
                return


@behave.then('the proof finds "{text}"')
def check_found(context, text):
    assert any(text in fault for fault in context.found), context.found[:5]


@behave.given('actions "{actions}" such as node and fencing number')
def make_actions(context, actions):
    run = simulation.Simulation(1, 0)
    run.actions = [
        simulation.Action(simulation.END_S - 1, part[0], int(part[1:]))
        for part in actions.split()
    ]
    context.found = list(run.faults())


class OneRowTable:
    """Table service in memory with one row."""

    def __init__(self):
        self.row = table.Row('lease/recovery/r', 0, None)

    def read(self, keys):
        """Read the row."""
        return result.Success((self.row,))

    def write(self, puts):
        """Apply a compare-and-set."""
        applied = puts[0].expect_version == self.row.version
        if applied:
            self.row = table.Row(
                self.row.key, self.row.version + 1, puts[0].value
            )
        return result.Success((table.PutResult(applied, self.row),))


@behave.given('two nodes on threads that want a lease')
def start_holders(context):
    client = OneRowTable()
    context.holders = [
        holder.LeaseHolder(client, 'recovery', 'r', name, 1, random.Random(1))
        for name in 'ab'
    ]


@behave.when('the holder releases it')
def release(context):
    context.first = wait_for_holder(context.holders)
    context.number = context.first.fencing_number()
    assert sum(h.fencing_number() is not None for h in context.holders) == 1
    context.first.close()


@behave.then('the other node holds it with the next fencing number')
def check_next_holder(context):
    assert context.first.fencing_number() is None
    other = wait_for_holder(context.holders)
    assert other is not context.first
    assert other.fencing_number() == context.number + 1
    other.close()


def wait_for_holder(holders):
    """Wait until one of the nodes may act."""
    limit = time.monotonic() + 8
    while time.monotonic() < limit:
        for candidate in holders:
            if candidate.fencing_number() is not None:
                return candidate
        time.sleep(0.02)
    raise AssertionError('no holder')
