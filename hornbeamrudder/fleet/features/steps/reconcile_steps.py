"""Steps for reconciliation."""

import collections
import dataclasses
import math
import random

import behave

from hornbeamrudder.core import hosts
from hornbeamrudder.fleet import demand
from hornbeamrudder.fleet import placement
from hornbeamrudder.fleet import reconcile

SETTINGS = reconcile.Settings()
REQUIRED = demand.SlotRequirement('modele-atelier', 48, 24)
ZONES = ('levis-est', 'beauport-n', 'foy-centre')


def key(zone, machine_class, reclaimable=True):
    return hosts.OfferKey(zone, machine_class, reclaimable)


OFFERS = [
    hosts.Offer(
        key(zone, machine_class, reclaimable),
        price * (1.0 if reclaimable else 3.0) * (1.0 + 0.01 * index),
        0.2 if reclaimable else 0.0,
        8,
    )
    for index, zone in enumerate(ZONES)
    for machine_class, price in (('g1', 1.0), ('g2', 1.2))
    for reclaimable in (True, False)
]
DESIRED = {key(zone, 'g1'): 2 for zone in ZONES}


def host(number, offer, **flags):
    flags = {'serving': True} | flags
    return reconcile.FleetHost(f'host-{number}', offer, 8, **flags)


class SimulatedFleet:
    """Simulated fleet, controlled by the functions under test."""

    def __init__(self, seed, settings=SETTINGS):
        self.rng = random.Random(seed)
        self.settings = settings
        self.state = reconcile.initial_state(settings, 0.0)
        self.now = 0.0
        self.hosts = {}
        self.ready_at = {}
        self.count = 0
        self.attempts = []
        self.stopped = []
        self.drains = []
        self.refuses = lambda offer: False
        self.desired = DESIRED
        self.required = REQUIRED

    def step(self, seconds=5.0):
        self.now += seconds
        for name, item in self.hosts.items():
            if self.now >= self.ready_at[name] and not item.serving:
                self.hosts[name] = dataclasses.replace(item, serving=True)
        for _ in range(8):
            decision, self.state = reconcile.decide(
                self.state,
                self.required,
                self.desired,
                tuple(self.hosts.values()),
                OFFERS,
                self.settings,
                self.now,
            )
            if not any([self.try_start(offer) for offer in decision.starts]):
                break
        for name in decision.drains:
            self.drains.append((dict(self.hosts), self.required))
            self.hosts[name] = dataclasses.replace(
                self.hosts[name], draining=True
            )
            self.drains[-1] += (dict(self.hosts),)
        for name in decision.stops:
            self.stopped.append(self.hosts.pop(name))

    def try_start(self, offer):
        """Order a start; return True if it was refused."""
        self.attempts.append((self.now, offer))
        if self.refuses(offer):
            self.state = reconcile.record_refusal(
                self.state, offer, self.settings, self.now, self.rng
            )
            return True
        self.count += 1
        started = host(self.count, offer, serving=False)
        self.hosts[started.id] = started
        self.ready_at[started.id] = self.now + 30.0
        self.state = reconcile.record_acceptance(self.state, offer)
        return False

    def inject_faults(self):
        for name, item in tuple(self.hosts.items()):
            if item.leaving and self.rng.random() < 0.5:
                del self.hosts[name]
            elif self.rng.random() < 0.01:
                self.hosts[name] = dataclasses.replace(item, leaving=True)
            elif item.draining and self.rng.random() < 0.2:
                self.hosts[name] = dataclasses.replace(item, idle=True)
        if self.rng.random() < 0.05:
            total = self.rng.choice((16, 48, 96))
            self.required = demand.SlotRequirement(
                REQUIRED.service, total, total // 2
            )
            self.desired = placement.place(
                self.required, OFFERS, {}
            ).count_by_offer
        if self.rng.random() < 0.05:
            refused = frozenset(
                offer.key for offer in OFFERS if self.rng.random() < 0.7
            )
            self.refuses = refused.__contains__


def random_runs(settings=SETTINGS, seeds=8):
    for seed in range(seeds):
        run = SimulatedFleet(seed, settings)
        for _ in range(300):
            run.step(run.rng.choice((0.5, 5.0, 40.0)))
            run.inject_faults()
        yield run


@behave.given('a fleet in which 2 hosts of "levis-est g1" are missing')
def make_fleet_with_missing_hosts(context):
    context.run = SimulatedFleet(1)
    for zone in ZONES[1:]:
        for _ in range(2):
            context.run.try_start(key(zone, 'g1'))
    context.run.attempts.clear()


@behave.when('each start is refused until only on-demand is left')
def refuse_reclaimable(context):
    context.run.refuses = lambda offer: offer.reclaimable
    context.run.step()


@behave.then(
    'the starts use another class, another zone and on-demand in this order'
)
def check_order(context):
    distinct_offers = dict.fromkeys(offer for _, offer in context.run.attempts)
    kinds = [
        'on-demand'
        if not offer.reclaimable
        else 'zone'
        if offer.zone != 'levis-est'
        else 'class'
        if offer.machine_class != 'g1'
        else 'desired'
        for offer in distinct_offers
    ]
    order = list(dict.fromkeys(kinds))
    assert order == ['desired', 'class', 'zone', 'on-demand'], kinds
    slots = sum(item.slots for item in context.run.hosts.values())
    assert slots >= REQUIRED.total_slots, slots


@behave.given(
    'a fleet of on-demand hosts, because reclaimable starts were refused'
)
def make_on_demand_fleet(context):
    context.run = SimulatedFleet(2)
    context.run.refuses = lambda offer: offer.reclaimable
    for _ in range(10):
        context.run.step()
    offers = [item.offer for item in context.run.hosts.values()]
    assert len(offers) >= 6 and not any(o.reclaimable for o in offers), offers


@behave.when('reclaimable starts are accepted again')
def accept_again(context):
    context.run.refuses = lambda offer: False
    for _ in range(200):
        context.run.step()


@behave.then(
    'reclaimable hosts are started, and on-demand hosts are then drained'
)
def check_back(context):
    kept = [i for i in context.run.hosts.values() if not i.draining]
    counts = collections.Counter(item.offer for item in kept)
    assert counts == DESIRED, counts
    assert len(context.run.hosts) > len(kept)
    check_drains([context.run])


def largest_excess(run):
    """Return the largest excess over the start budget in any window."""
    settings = SETTINGS
    times = [at for at, _ in run.attempts]
    return max(
        (last - first + 1)
        - settings.start_burst
        - (times[last] - times[first]) * settings.starts_per_s
        for first in range(len(times))
        for last in range(first, min(first + 400, len(times)))
    )


@behave.then(
    'random refusals and reclaims never exceed the budget in any window'
)
def check_budget(_context):
    for run in random_runs():
        assert largest_excess(run) <= 1e-6, largest_excess(run)


@behave.then('without the budget the same run exceeds it')
def check_without_budget(_context):
    unbounded = dataclasses.replace(
        SETTINGS, start_burst=1e9, retry_base_s=0.1, retry_max_s=0.1
    )
    excess = max(map(largest_excess, random_runs(unbounded, seeds=3)))
    assert excess > 0, excess


@behave.then('random runs stop only hosts that were drained and are idle')
def check_stops(context):
    context.runs = list(random_runs())
    stopped = [item for run in context.runs for item in run.stopped]
    assert stopped
    assert all(item.draining and item.idle for item in stopped)


def serving_slots(fleet):
    slots = collections.Counter()
    for item in fleet.values():
        if item.counts_as_capacity and item.serving:
            slots[item.offer.zone] += item.slots
    return slots


def check_drains(runs):
    drains = [drain for run in runs for drain in run.drains]
    assert drains
    for _, required, after in drains:
        slots = serving_slots(after)
        assert sum(slots.values()) >= required.total_slots, required
        left = placement.slots_after_zone_loss(slots)
        assert left >= required.urgent_slots, required


@behave.then('no drain leaves too few slots in total or after a zone loss')
def check_capacity(context):
    check_drains(context.runs)


@behave.then(
    'stopping surplus hosts without draining would interrupt requests'
)
def check_without_drain(_context):
    drained = [
        before[name]
        for run in random_runs(seeds=3)
        for before, _, after in run.drains
        for name in before
        if after[name].draining and not before[name].draining
    ]
    assert drained and not any(item.idle for item in drained)


@behave.then(
    'the waits after {count:d} refusals double, stay within the limit and vary'
)
def check_backoff(_context, count):
    rng = random.Random(5)
    state = reconcile.initial_state(SETTINGS, 0.0)
    offer = OFFERS[0].key
    waits = []
    for _ in range(count):
        state = reconcile.record_refusal(state, offer, SETTINGS, 0.0, rng)
        waits.append(state.refusals[offer].retry_at)
    for index, wait in enumerate(waits):
        longest = min(
            SETTINGS.retry_base_s * math.pow(2.0, min(index, 30)),
            SETTINGS.retry_max_s,
        )
        assert 0.5 * longest <= wait <= longest, (index, wait)
    assert len(set(waits[-100:])) > 90
