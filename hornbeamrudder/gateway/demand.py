"""Demand for a service by data centre, with its trend; no I/O.

Each node counts what arrives there and publishes its rates under its own data
centre. The node that orders backend servers adds them up. Rates of arrivals
tell of a jump or a move of callers before requests pile up at the servers,
and don't grow because servers were lost, as requests in progress do.
"""

import collections
import dataclasses
import math
from typing import Iterable, Mapping, NamedTuple

from ..core import ids
from . import shared_sums

TOPIC = shared_sums.Topic('demand')
# Interval at which a node updates its published rates, and the time constant
# of their average.
PUBLISH_INTERVAL_S = 0.5
NODE_AVERAGING_S = 1.0
# Rates below this are not published, in requests per second.
MIN_RATE = 0.01
# Time constants of the averages whose difference is the trend.
FAST_AVERAGING_S = 0.5
SLOW_AVERAGING_S = 5.0
# Time constant with which a peak is forgotten.
PEAK_DECAY_S = 20.0
# Largest growth that a trend may forecast, as a share of the present rate: a
# jump ends, and looks like steep growth.
MAX_GROWTH = 0.5


class Rates(NamedTuple):
    """Arrivals of a service per second.

    Attributes
    ----------
    tokens : float
        Prompt tokens that engines have to prefill.
    token_squares : float
        Sum of the squares of these tokens by request.
    prefills : float
        Prompts whose prefill was timed.
    prefill_ms : float
        Sum over these prompts of the milliseconds for one token.
    """

    requests: float = 0.0
    tokens: float = 0.0
    token_squares: float = 0.0
    prefills: float = 0.0
    prefill_ms: float = 0.0

    @property
    def tokens_per_ms(self) -> float:
        """Mean prefill speed of an engine; 0 if none was timed."""
        return self.prefills / self.prefill_ms if self.prefill_ms else 0.0

    def scaled(self, factor: float) -> 'Rates':
        """Return the rates multiplied by a factor."""
        return Rates(*(factor * rate for rate in self))


def add(items: Iterable[Rates]) -> Rates:
    """Return the sum of rates."""
    return Rates(*map(sum, zip(*items)))


def mix(first: Rates, second: Rates, weight: float) -> Rates:
    """Return the average of two rates; `weight` is that of the second."""
    return Rates(
        *(known + weight * (new - known) for known, new in zip(first, second))
    )


class Arrivals:
    """Rates of the arrivals at one node, by service."""

    def __init__(self, data_centre: ids.DataCentreName) -> None:
        self._data_centre = data_centre
        self._counts_by_service: dict[ids.ServiceName, Rates] = (
            collections.defaultdict(Rates)
        )
        self._rates_by_service: dict[ids.ServiceName, Rates] = {}
        self._published_at: float | None = None

    def record(self, service: ids.ServiceName, tokens: float) -> None:
        """Count a request.

        Parameters
        ----------
        tokens : float
            Prompt tokens that no engine has cached for it; 0 for plain
            services.
        """
        self._counts_by_service[service] = add(
            (
                self._counts_by_service[service],
                Rates(1.0, tokens, tokens * tokens),
            )
        )

    def record_prefill(
        self, service: ids.ServiceName, tokens_per_ms: float
    ) -> None:
        """Count a prompt whose prefill was timed."""
        self._counts_by_service[service] = add(
            (
                self._counts_by_service[service],
                Rates(prefills=1.0, prefill_ms=1.0 / tokens_per_ms),
            )
        )

    def publish(self, sums: shared_sums.SharedSums, now: float) -> bool:
        """Publish the rates if they are due; return whether they were."""
        if self._published_at is None:
            self._published_at = now
        elapsed_s = now - self._published_at
        if elapsed_s < PUBLISH_INTERVAL_S:
            return False
        weight = 1.0 - math.exp(-elapsed_s / NODE_AVERAGING_S)
        counts, self._counts_by_service = (
            self._counts_by_service,
            collections.defaultdict(Rates),
        )
        averages = {
            service: mix(
                self._rates_by_service.get(service, Rates()),
                counts[service].scaled(1.0 / elapsed_s),
                weight,
            )
            for service in {*self._rates_by_service, *counts}
        }
        self._rates_by_service = {
            service: rates
            for service, rates in averages.items()
            if rates.requests >= MIN_RATE
        }
        self._published_at = now
        sums.publish(
            TOPIC,
            {
                sum_key(service, self._data_centre): (
                    round(rates.requests, 2),
                    round(rates.tokens),
                    round(rates.token_squares),
                    round(rates.prefills, 2),
                    round(rates.prefill_ms, 4),
                )
                for service, rates in self._rates_by_service.items()
            },
        )
        return True


def sum_key(
    service: ids.ServiceName, data_centre: ids.DataCentreName
) -> shared_sums.Key:
    """Return the key under which nodes publish their rates."""
    return f'{service} {data_centre}'


def rates_by_data_centre(
    total: shared_sums.ByKey,
    service: ids.ServiceName,
    data_centres: Iterable[ids.DataCentreName],
) -> dict[ids.DataCentreName, Rates]:
    """Return the rates of a service over all nodes."""
    return {
        data_centre: Rates(*total.get(sum_key(service, data_centre), ())[:5])
        for data_centre in data_centres
    }


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """Arrivals in one data centre over time.

    Attributes
    ----------
    fast, slow : Rates
        Averages over `FAST_AVERAGING_S` and `SLOW_AVERAGING_S`.
    peak : Rates
        Decaying peak of what was forecast.
    steady_peak : Rates
        Decaying peak of the slow average: without jumps, which end before
        ordered servers have booted.
    since : float
        Time of the first observation.
    """

    fast: Rates
    slow: Rates
    peak: Rates
    steady_peak: Rates
    since: float

    def forecast(self, ahead_s: float) -> Rates:
        """Return the rates expected after `ahead_s`.

        Growth goes on; a fall is only believed once it has happened, as
        callers come back sooner than servers boot.
        """
        if not self.fast.requests:
            return self.fast
        # A slower average lags behind a steady growth by its time constant.
        growth_per_s = (self.fast.requests - self.slow.requests) / (
            SLOW_AVERAGING_S - FAST_AVERAGING_S
        )
        growth = max(0.0, growth_per_s) * ahead_s / self.fast.requests
        return self.fast.scaled(1.0 + min(MAX_GROWTH, growth))


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand for a service over all nodes.

    Attributes
    ----------
    running : float
        Decaying peak of the requests in progress or waiting.
    """

    running: float = 0.0
    level_by_data_centre: Mapping[ids.DataCentreName, Level] = (
        dataclasses.field(default_factory=dict)
    )
    at: float = float('-inf')

    @property
    def peak(self) -> Rates:
        """Peak of the forecast rates over all data centres."""
        levels = self.level_by_data_centre.values()
        return add((Rates(), *(level.peak for level in levels)))

    @property
    def steady_peak(self) -> Rates:
        """Peak of the average rates over all data centres."""
        levels = self.level_by_data_centre.values()
        return add((Rates(), *(level.steady_peak for level in levels)))

    @property
    def known(self) -> bool:
        """Whether any arrivals were seen."""
        return self.peak.requests > 0

    @property
    def tokens_per_ms(self) -> float:
        """Prefill speed of an engine, averaged; 0 if it is not known."""
        levels = self.level_by_data_centre.values()
        return add((Rates(), *(level.slow for level in levels))).tokens_per_ms

    def share(self, data_centre: ids.DataCentreName) -> float:
        """Return the share of a data centre in the arrivals, if known."""
        own, total = self.level_by_data_centre[data_centre].peak, self.peak
        if total.tokens:
            return own.tokens / total.tokens
        return own.requests / total.requests


def observe(
    demand: Demand,
    rates: Mapping[ids.DataCentreName, Rates],
    running: float,
    ahead_s: float,
    now: float,
) -> Demand:
    """Return the demand after an observation.

    Parameters
    ----------
    rates : mapping
        Sums over all nodes by data centre.
    running : float
        Requests in progress or waiting at all nodes.
    ahead_s : float
        Time for which the trend is extrapolated, as servers take that long
        to boot.
    """
    elapsed_s = now - demand.at
    return Demand(
        max(running, math.exp(-elapsed_s / PEAK_DECAY_S) * demand.running),
        {
            data_centre: _level(
                demand.level_by_data_centre.get(data_centre),
                seen,
                ahead_s,
                elapsed_s,
                now,
            )
            for data_centre, seen in rates.items()
        },
        now,
    )


def _level(
    known: Level | None,
    seen: Rates,
    ahead_s: float,
    elapsed_s: float,
    now: float,
) -> Level:
    if known is None or not known.slow.requests:
        # The first figures are no growth: this node has just begun to look.
        return Level(seen, seen, seen, seen, now)
    # Until the slow average has its time, it is that since the beginning.
    slow_s = min(SLOW_AVERAGING_S, max(FAST_AVERAGING_S, now - known.since))
    level = dataclasses.replace(
        known,
        fast=mix(
            known.fast, seen, 1.0 - math.exp(-elapsed_s / FAST_AVERAGING_S)
        ),
        slow=mix(known.slow, seen, 1.0 - math.exp(-elapsed_s / slow_s)),
    )
    kept = math.exp(-elapsed_s / PEAK_DECAY_S)
    return dataclasses.replace(
        level,
        peak=_higher(level.forecast(ahead_s), known.peak.scaled(kept)),
        steady_peak=_higher(level.slow, known.steady_peak.scaled(kept)),
    )


def _higher(first: Rates, second: Rates) -> Rates:
    return max(first, second, key=lambda rates: (rates.tokens, rates.requests))
