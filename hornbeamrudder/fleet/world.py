"""Offers, traffic and disturbances of the virtual time model."""

import dataclasses
import math
import random
from typing import Iterator, Mapping

from ..core import hosts
from ..core import ids
from ..core import types

WARM_UP_S = 1200.0
MEAN_BETWEEN_WAVES_S = 2400.0
TWO_ZONES_SHARE = 0.15
MEAN_REFUSAL_AFTER_WAVE_S = 900.0
SHORTAGE_SHARE = 0.25
MEAN_BETWEEN_REFUSALS_S = 5400.0
MEAN_REFUSAL_S = 600.0
ZONE_LOSS_S = 900.0


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Requests of one rank; the rate varies by a sine over an hour."""

    rank: types.Rank
    arrivals_per_s: float
    service_s: float
    variation: float = 0.25

    def rate(self, now: float) -> float:
        """Requests per second at a time."""
        wave = math.sin(2.0 * math.pi * now / 3600.0)
        return self.arrivals_per_s * (1.0 + self.variation * wave)


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """Time in which starts of some offers are refused."""

    offers: frozenset[hosts.OfferKey]
    begin: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """Reclaim of all reclaimable hosts of some zones."""

    at: float
    zones: frozenset[ids.DataCentreName]


@dataclasses.dataclass(frozen=True, slots=True)
class World:
    """Offers, traffic and disturbances.

    Attributes
    ----------
    zone_loss_at : float
        When the zone with the most serving slots is lost, on-demand hosts
        included; starts there are refused for `zone_loss_s` seconds.
    """

    offers: tuple[hosts.Offer, ...]
    traffic: tuple[Traffic, ...]
    outages: tuple[Outage, ...]
    waves: tuple[Wave, ...]
    zone_loss_at: float
    zone_loss_s: float
    end: float


def make_world(
    seed: int, hours: float, price_by_zone: Mapping[str, float]
) -> World:
    """Draw offers and disturbances from a seed."""
    rng = random.Random(seed)
    end = WARM_UP_S + hours * 3600.0
    offers = tuple(_offers(price_by_zone))
    reclaimable = [offer.key for offer in offers if offer.key.reclaimable]
    zones = sorted(price_by_zone)
    waves = []
    outages = []
    now = WARM_UP_S
    while True:
        now += rng.expovariate(1.0 / MEAN_BETWEEN_WAVES_S)
        if now >= end:
            break
        hit = frozenset(
            map(
                ids.DataCentreName,
                rng.sample(zones, 2 if rng.random() < TWO_ZONES_SHARE else 1),
            )
        )
        waves.append(Wave(now, hit))
        # Some waves come with a shortage of reclaimable hosts everywhere.
        shortage = rng.random() < SHORTAGE_SHARE
        refused = frozenset(
            key for key in reclaimable if shortage or key.zone in hit
        )
        length = rng.expovariate(1.0 / MEAN_REFUSAL_AFTER_WAVE_S)
        outages.append(Outage(refused, now, now + length))
    for key in reclaimable:
        now = 0.0
        while now < end:
            now += rng.expovariate(1.0 / MEAN_BETWEEN_REFUSALS_S)
            length = rng.expovariate(1.0 / MEAN_REFUSAL_S)
            outages.append(Outage(frozenset([key]), now, now + length))
    return World(
        offers,
        (
            Traffic(types.Rank.URGENT, 6.0, 2.0),
            Traffic(types.Rank.STANDARD, 2.0, 3.0),
            Traffic(types.Rank.BATCH, 1.5, 8.0),
        ),
        tuple(outages),
        tuple(waves),
        WARM_UP_S + hours * 3600.0 * 2.0 / 3.0,
        ZONE_LOSS_S,
        end,
    )


def _offers(price_by_zone: Mapping[str, float]) -> Iterator[hosts.Offer]:
    for zone, factor in sorted(price_by_zone.items()):
        for name, slots, price in (('g1', 4, 1.0), ('g2', 8, 1.9)):
            for reclaimable in (True, False):
                yield hosts.Offer(
                    hosts.OfferKey(
                        ids.DataCentreName(zone),
                        ids.MachineClass(name),
                        reclaimable,
                    ),
                    price * (factor if reclaimable else 2.8),
                    0.2 if reclaimable else 0.0,
                    slots,
                )
