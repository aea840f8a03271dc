"""Generates offers, traffic and failures for the fleet simulation."""

import dataclasses
import math
import random
from typing import Iterator, Mapping

from ..core import hosts
from ..core import ids
from ..core import types

WARM_UP_S = 1200.0
MEAN_WAVE_INTERVAL_S = 2400.0
TWO_ZONE_WAVE_SHARE = 0.15
MEAN_OUTAGE_AFTER_WAVE_S = 900.0
GLOBAL_SHORTAGE_SHARE = 0.25
MEAN_OUTAGE_INTERVAL_S = 5400.0
MEAN_OUTAGE_S = 600.0
ZONE_OUTAGE_S = 900.0


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Requests of one rank, with a rate that follows an hourly sine."""

    rank: types.Rank
    arrivals_per_s: float
    service_s: float
    amplitude: float = 0.25

    def rate(self, now: float) -> float:
        """Return the requests per second at a time."""
        sine = math.sin(2.0 * math.pi * now / 3600.0)
        return self.arrivals_per_s * (1.0 + self.amplitude * sine)


@dataclasses.dataclass(frozen=True, slots=True)
class StartOutage:
    """Period in which starts of some offers are refused."""

    offers: frozenset[hosts.OfferKey]
    begins_at: float
    ends_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReclaimWave:
    """Reclaim of all reclaimable hosts in some zones at once."""

    at: float
    zones: frozenset[ids.DataCentreName]


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Offers, traffic and failures of one simulation.

    Attributes
    ----------
    zone_loss_at : float
        When the zone with the most serving slots is lost, including its
        on-demand hosts; starts there are refused for `zone_outage_s` seconds.
    """

    offers: tuple[hosts.Offer, ...]
    traffic: tuple[Traffic, ...]
    outages: tuple[StartOutage, ...]
    waves: tuple[ReclaimWave, ...]
    zone_loss_at: float
    zone_outage_s: float
    ends_at: float


def generate_scenario(
    seed: int, hours: float, price_by_zone: Mapping[str, float]
) -> Scenario:
    """Generate the scenario of a seed; `hours` excludes the warm-up."""
    rng = random.Random(seed)
    ends_at = WARM_UP_S + hours * 3600.0
    offers = tuple(_offers(price_by_zone))
    reclaimable = [offer.key for offer in offers if offer.key.reclaimable]
    zones = sorted(price_by_zone)
    waves = []
    outages = []
    now = WARM_UP_S
    while True:
        now += rng.expovariate(1.0 / MEAN_WAVE_INTERVAL_S)
        if now >= ends_at:
            break
        reclaimed_zones = frozenset(
            map(
                ids.DataCentreName,
                rng.sample(
                    zones, 2 if rng.random() < TWO_ZONE_WAVE_SHARE else 1
                ),
            )
        )
        waves.append(ReclaimWave(now, reclaimed_zones))
        # Some waves coincide with a shortage of reclaimable hosts everywhere.
        is_global = rng.random() < GLOBAL_SHORTAGE_SHARE
        refused_offers = frozenset(
            key
            for key in reclaimable
            if is_global or key.zone in reclaimed_zones
        )
        duration_s = rng.expovariate(1.0 / MEAN_OUTAGE_AFTER_WAVE_S)
        outages.append(StartOutage(refused_offers, now, now + duration_s))
    for key in reclaimable:
        now = 0.0
        while now < ends_at:
            now += rng.expovariate(1.0 / MEAN_OUTAGE_INTERVAL_S)
            duration_s = rng.expovariate(1.0 / MEAN_OUTAGE_S)
            outages.append(
                StartOutage(frozenset([key]), now, now + duration_s)
            )
    return Scenario(
        offers,
        (
            Traffic(types.Rank.URGENT, 6.0, 2.0),
            Traffic(types.Rank.STANDARD, 2.0, 3.0),
            Traffic(types.Rank.BATCH, 1.5, 8.0),
        ),
        tuple(outages),
        tuple(waves),
        WARM_UP_S + hours * 3600.0 * 2.0 / 3.0,
        ZONE_OUTAGE_S,
        ends_at,
    )


def _offers(price_by_zone: Mapping[str, float]) -> Iterator[hosts.Offer]:
    for zone, price_factor in sorted(price_by_zone.items()):
        for name, slots, price in (('g1', 4, 1.0), ('g2', 8, 1.9)):
            for reclaimable in (True, False):
                yield hosts.Offer(
                    hosts.OfferKey(
                        ids.DataCentreName(zone),
                        ids.MachineClass(name),
                        reclaimable,
                    ),
                    price * (price_factor if reclaimable else 2.8),
                    0.2 if reclaimable else 0.0,
                    slots,
                )
