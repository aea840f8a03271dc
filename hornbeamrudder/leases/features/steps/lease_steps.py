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


@behave.when(
    'a lease is simulated on {seeds:d} seeds with {count:d} faults each'
)
def explore(context, seeds, count):
    context.violations = [
        (seed, violation)
        for seed in range(seeds * SEED_FACTOR)
        for violation in simulation.Simulation(seed, count).run()
    ]


@behave.when(
    'a lease is simulated with pairs of faults at {count:d} early steps'
)
def explore_steps(context, count):
    plans = [
        {step: kind, step + gap: other}
        for step in range(1, count + 1)
        for gap in (1, 7, 40)
        for kind in simulation.FAULT_KINDS
        for other in simulation.FAULT_KINDS
    ]
    if SEED_FACTOR == 1:
        plans = random.Random(1).sample(plans, 120)
    context.violations = [
        (plan, violation)
        for number, plan in enumerate(plans)
        for violation in simulation.Simulation(number, 0, plan).run()
    ]


@behave.then('no two holders overlap and a node holds the lease at the end')
def check_no_violation(context):
    assert not context.violations, context.violations[:5]


def _observe_row_from_answer(lease, row, now):
    """Measure the term from the response to the write."""
    if lease.pending is not None:
        pending = dataclasses.replace(lease.pending, sent_at=now)
        lease = dataclasses.replace(lease, pending=pending)
    return ORIGINAL_OBSERVE_ROW(lease, row, now)


ORIGINAL_OBSERVE_ROW = state._observe_row
PATCHES_BY_MECHANISM = {
    'drift margin': {'CLOCK_DRIFT_MARGIN_S': 0.0},
    'check of the clock': {
        'valid_fencing_number': lambda lease, now: lease.fencing
    },
    'wait for a full term': {
        'may_acquire': lambda lease, now: lease.observed_version is not None
    },
    'new fencing number': {
        'next_fencing': lambda lease: (
            lease.observed_row.fencing if lease.observed_row else 1
        )
    },
    'term from the send time': {'_observe_row': _observe_row_from_answer},
}


@behave.when('the mechanism "{name}" is disabled')
def explore_without(context, name):
    context.violations = []
    with contextlib.ExitStack() as stack:
        for attribute, value in PATCHES_BY_MECHANISM[name].items():
            stack.enter_context(mock.patch.object(state, attribute, value))
        for seed in range(400):
            context.violations += simulation.Simulation(seed, 5).run()
            if context.violations:
                return


@behave.then('the violation "{text}" is reported')
def check_violation(context, text):
    assert any(text in violation for violation in context.violations), (
        context.violations[:5]
    )


@behave.given('the actions "{actions}", each a node and a fencing number')
def make_actions(context, actions):
    run = simulation.Simulation(1, 0)
    run.actions = [
        simulation.Action(simulation.DURATION_S - 1, part[0], int(part[1:]))
        for part in actions.split()
    ]
    context.violations = list(run.violations())


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


@behave.given('two nodes whose threads compete for a lease')
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
    deadline = time.monotonic() + 8
    while time.monotonic() < deadline:
        for candidate in holders:
            if candidate.fencing_number() is not None:
                return candidate
        time.sleep(0.02)
    raise AssertionError('no node acquired the lease within 8 s')
