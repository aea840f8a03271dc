"""Steps for placement."""

import collections
import heapq
import itertools
import random

import behave

from hornbeamrudder.core import hosts
from hornbeamrudder.core import types
from hornbeamrudder.fleet import demand
from hornbeamrudder.fleet import placement

EXACT = placement.Settings(cost_per_reclaim=0.0, recovery_s=0.0)


def random_offers(rng, zones, classes, limit):
    return [
        hosts.Offer(
            hosts.OfferKey(f'zone-{zone}', f'class-{slots}', reclaimable),
            round(slots * rng.uniform(0.05, 0.3), 2),
            rng.uniform(0.0, 1.0) if reclaimable else 0.0,
            slots,
            limit,
        )
        for zone in range(zones)
        for slots in classes
        for reclaimable in (True, False)
        if rng.random() < 0.9 or slots == classes[0]
    ]


def random_case(rng, max_zones, classes, max_slots, limit):
    urgent = rng.randint(1, max_slots)
    required = demand.SlotRequirement(
        'service', urgent + rng.randint(0, max_slots), urgent
    )
    zones = rng.randint(2, max_zones)
    return required, random_offers(rng, zones, classes, limit)


def slots_by_zone(counts, offers):
    slots = collections.Counter()
    for offer in offers:
        slots[offer.key.zone] += counts.get(offer.key, 0) * offer.slots
    return slots


def meets(required, counts, offers):
    slots = slots_by_zone(counts, offers)
    left = placement.slots_after_zone_loss(slots)
    return (
        sum(slots.values()) >= required.total_slots
        and left >= required.urgent_slots
    )


@behave.given(
    '{count:d} random requirements and sets of offers in 2 to {zones:d} zones'
)
def make_cases(context, count, zones):
    rng = random.Random(1)
    sizes = (10, 100, 5000)
    context.cases = [
        random_case(rng, zones, (4, 8, 12), rng.choice(sizes), 100_000)
        for _ in range(count)
    ]


@behave.given(
    '{count:d} small random requirements'
    ' and sets of offers in 2 to {zones:d} zones'
)
def make_small_cases(context, count, zones):
    rng = random.Random(2)
    context.cases = [
        random_case(rng, zones, (2, 3), 5, 3) for _ in range(count)
    ]


@behave.when('hosts are placed')
def place(context):
    context.plans = [
        placement.place(required, offers, {}, EXACT)
        for required, offers in context.cases
    ]


@behave.when('hosts are placed by price alone')
def place_by_price(context):
    context.plans = [
        placement.place(
            demand.SlotRequirement(required.service, required.total_slots, 0),
            offers,
            {},
            EXACT,
        )
        for required, offers in context.cases
    ]


@behave.then('every plan covers the total')
def check_total(context):
    for (required, offers), plan in zip(
        context.cases, context.plans, strict=True
    ):
        slots = slots_by_zone(plan.count_by_offer, offers)
        assert sum(slots.values()) >= required.total_slots, (required, plan)


def zone_losses(context):
    """Yield whether the urgent slots remain, for each case and lost zone."""
    for (required, offers), plan in zip(
        context.cases, context.plans, strict=True
    ):
        slots = slots_by_zone(plan.count_by_offer, offers)
        for lost in slots:
            rest = sum(slots[zone] for zone in slots if zone != lost)
            yield rest >= required.urgent_slots


@behave.then('after the loss of any zone every plan covers the urgent slots')
def check_zone_loss(context):
    assert all(zone_losses(context))
    assert all(plan.survives_zone_loss for plan in context.plans)


@behave.then('some plans lose urgent slots with a zone')
def check_some_lose(context):
    assert not all(zone_losses(context))


def exhaustive_cost(required, offers):
    """Least cost of up to 3 hosts of each offer."""
    costs = [
        sum(
            offer.price_per_hour * number
            for offer, number in zip(offers, numbers, strict=True)
        )
        for numbers in itertools.product(range(4), repeat=len(offers))
        if meets(
            required,
            {
                offer.key: number
                for offer, number in zip(offers, numbers, strict=True)
            },
            offers,
        )
    ]
    return min(costs, default=None)


@behave.then('an exhaustive search finds no cheaper plan')
def check_cheapest(context):
    compared = 0
    for required, offers in context.cases:
        offers = offers[:6]
        plan = placement.place(required, offers, {}, EXACT)
        min_cost = exhaustive_cost(required, offers)
        if min_cost is not None:
            assert meets(required, plan.count_by_offer, offers), (
                required,
                plan,
            )
            assert plan.price_per_hour <= min_cost + 1e-6, (required, plan)
            compared += 1
    assert compared > len(context.cases) / 2, compared


@behave.given('offers in one zone only')
def make_offers_in_one_zone(context):
    offers = random_offers(random.Random(3), 1, (4, 8), 1000)
    context.cases = [(demand.SlotRequirement('service', 40, 30), offers)]


@behave.then(
    'the plan covers the total and reports that it tolerates no zone loss'
)
def check_one_zone(context):
    check_total(context)
    assert not context.plans[0].survives_zone_loss


@behave.given('offers in two zones whose prices differ by 5%')
def make_offers_with_two_prices(context):
    context.offers = [
        hosts.Offer(hosts.OfferKey(zone, 'g1', True), price, 0.0, 8)
        for zone, price in (('kingston-a', 1.0), ('portmore', 1.05))
    ]


@behave.then(
    'running hosts in the more expensive zone are kept only with the discount'
)
def check_kept(context):
    expensive_offer = context.offers[1].key
    required = demand.SlotRequirement('service', 16, 0)
    kept = placement.place(required, context.offers, {expensive_offer: 2})
    assert kept.count_by_offer == {expensive_offer: 2}, kept
    moved = placement.place(
        required,
        context.offers,
        {expensive_offer: 2},
        placement.Settings(running_discount=0.0),
    )
    assert expensive_offer not in moved.count_by_offer, moved


def late_share(slots, item, target):
    """Share of requests that wait too long in a simulated queue."""
    rng = random.Random(4)
    free_at = [0.0] * slots
    now = late = 0.0
    requests = 60_000
    for _ in range(requests):
        now += rng.expovariate(item.arrivals_per_s)
        begin = max(now, heapq.heappop(free_at))
        service_s = rng.expovariate(1.0 / item.service_s)
        heapq.heappush(free_at, begin + service_s)
        late += begin - now + target.prefill_s > target.first_token_s
    return late / requests


def late_and_allowed_share(slots_fewer):
    item = demand.Demand('service', types.Rank.URGENT, 6.0, 3.0)
    target = demand.LatencyTarget()
    slots = (
        demand.required_slots('service', [item], target).urgent_slots
        - slots_fewer
    )
    return late_share(slots, item, target), 1.0 - target.share


@behave.then(
    'a simulated queue with the computed slots meets the latency target'
)
def check_queue(_context):
    late, allowed = late_and_allowed_share(0)
    assert late <= allowed, late


@behave.then('a simulated queue with {count:d} slots fewer does not')
def check_short_queue(_context, count):
    late, allowed = late_and_allowed_share(count)
    assert late > allowed, late
