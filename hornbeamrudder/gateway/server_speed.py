"""Speeds of backend servers, measured by all nodes together; no I/O.

Hosts of one service differ for good: some take 0.7, others 1.7 times the
usual time for the same work. A node sees too few streams of each server to
tell, so every node publishes what it has seen as sums, and all of them derive
the same speeds from the totals. Where servers state how slow their hosts are
at the moment, the mean of these figures counts instead (`host_speed` has the
momentary speed).

A sample is the pause between events in a stretch of a stream, without its
longest pauses: those show prompts of other requests that are prefilled in
between, and short spells in which the host does other work.
"""

import dataclasses
import itertools
import math
import statistics
from typing import Iterable, Mapping, NamedTuple

from ..core import ids
from . import shared_sums

# Samples by server: weight, and weighted sum of the logarithms of the pauses.
PACE_TOPIC = shared_sums.Topic('pace')
# The same for the slowness that servers state.
STATED_TOPIC = shared_sums.Topic('stated')
# Work by service: prompt tokens, requests and tokens of long prompts placed a
# second, and what the prefill rate is derived from (tokens, milliseconds).
WORK_TOPIC = shared_sums.Topic('work')
# Consecutive pauses in a sample, and the one of them that is taken, counted
# from the shortest.
PAUSES_PER_SAMPLE = 6
TAKEN_PAUSE = 2
# Events that arrive together say nothing of the pause between them.
MIN_PAUSE_MS = 1.0
# Time constant with which samples lose their weight.
SAMPLE_AGE_S = 6.0
RATE_AGE_S = 20.0
# Time constant of the average of the work placed a second.
WORK_AGE_S = 0.8
# Samples of a server at which half of its deviation from the usual speed
# counts.
TRUSTED_SAMPLES = 4.0
# Speeds are clamped to this range: a server that fails is avoided by its
# health, not by its speed.
MIN_SLOWNESS = 0.4
MAX_SLOWNESS = 3.0
# Published figures are rounded to multiples of 1 / UNITS, as integers take
# less space.
UNITS = 64.0
# A prefill rate that is assumed until one is measured counts as a measurement
# over this many tokens.
PRIOR_TOKENS = 30_000.0


@dataclasses.dataclass(slots=True)
class DecayingSums:
    """Sums whose contributions lose weight exponentially.

    Attributes
    ----------
    at : float
        Time on `clock.now` for which `figures` hold.
    """

    age_s: float
    figures: tuple[float, ...]
    at: float = 0.0

    def at_time(self, now: float) -> tuple[float, ...]:
        """Return the sums at a later time."""
        kept = math.exp((self.at - now) / self.age_s)
        return tuple(kept * figure for figure in self.figures)

    def add(self, figures: Iterable[float], now: float) -> None:
        """Add figures."""
        self.figures = tuple(map(sum, zip(self.at_time(now), figures)))
        self.at = now


class PaceSampler:
    """Derives samples of the pause between events from one stream."""

    def __init__(self) -> None:
        self._last_at: float | None = None
        self._pauses_ms: list[float] = []

    def event(self, now: float) -> float | None:
        """Record an event; return a sample in milliseconds, if complete."""
        last_at, self._last_at = self._last_at, now
        if last_at is None:
            return None
        self._pauses_ms.append((now - last_at) * 1e3)
        if len(self._pauses_ms) < PAUSES_PER_SAMPLE:
            return None
        pauses, self._pauses_ms = sorted(self._pauses_ms), []
        return pauses[TAKEN_PAUSE]


class Work(NamedTuple):
    """Work of all nodes at a service.

    Attributes
    ----------
    tokens_per_s, long_tokens_per_s, requests_per_s : float
        Prompt tokens without a cached prefix, those of long prompts among
        them, and requests, that all nodes place a second; `other_` is
        without this node's own.
    tokens_per_ms : float
        Prefill rate of a server of usual speed.
    """

    tokens_per_s: float
    long_tokens_per_s: float
    requests_per_s: float
    other_tokens_per_s: float
    other_requests_per_s: float
    tokens_per_ms: float


class ServerSpeeds:
    """What this node has measured, and what follows from all nodes' sums.

    Attributes
    ----------
    slowness_by_key : dict
        Duration of work relative to the median server of the service, or to
        the usual one where servers state it, by `reports.server_key`; servers
        without samples are left out.
    """

    def __init__(self, initial_tokens_per_ms: float) -> None:
        self.slowness_by_key: dict[int, float] = {}
        self._initial_tokens_per_ms = initial_tokens_per_ms
        self._pace_by_key: dict[int, DecayingSums] = {}
        self._stated_by_key: dict[int, DecayingSums] = {}
        self._placed_by_service: dict[ids.ServiceName, DecayingSums] = {}
        self._prefilled_by_service: dict[ids.ServiceName, DecayingSums] = {}

    # Measurements

    def record_pause(self, key: int, pause_ms: float, now: float) -> None:
        """Record a sample of a server."""
        if pause_ms < MIN_PAUSE_MS:
            return
        self._pace_by_key.setdefault(
            key, DecayingSums(SAMPLE_AGE_S, (0.0, 0.0), now)
        ).add((1.0, math.log(pause_ms)), now)

    def record_stated(self, key: int, slowness: float, now: float) -> None:
        """Record a slowness that a server has stated."""
        clamped = min(max(slowness, MIN_SLOWNESS), MAX_SLOWNESS)
        self._stated_by_key.setdefault(
            key, DecayingSums(SAMPLE_AGE_S, (0.0, 0.0), now)
        ).add((1.0, math.log(clamped)), now)

    def record_placed(
        self,
        service: ids.ServiceName,
        tokens: float,
        now: float,
        is_long: bool = False,
    ) -> None:
        """Record a request that was placed, with its prompt tokens."""
        per_s = tokens / WORK_AGE_S
        self._placed_by_service.setdefault(
            service, DecayingSums(WORK_AGE_S, (0.0, 0.0, 0.0), now)
        ).add((per_s, 1.0 / WORK_AGE_S, per_s if is_long else 0.0), now)

    def record_prefill(
        self,
        service: ids.ServiceName,
        tokens: float,
        usual_ms: float,
        now: float,
    ) -> None:
        """Record a prefill and its duration on a server of usual speed."""
        self._prefilled_by_service.setdefault(
            service, DecayingSums(RATE_AGE_S, (0.0, 0.0), now)
        ).add((tokens, usual_ms), now)

    # Exchange with the other nodes

    def publish(self, sums: shared_sums.SharedSums, now: float) -> None:
        """Publish this node's measurements."""
        for topic, samples_by_key in (
            (PACE_TOPIC, self._pace_by_key),
            (STATED_TOPIC, self._stated_by_key),
        ):
            for key in [
                key
                for key, samples in samples_by_key.items()
                if samples.at_time(now)[0] * UNITS < 1.0
            ]:
                del samples_by_key[key]
            sums.publish(
                topic,
                {
                    key: _rounded(samples.at_time(now))
                    for key, samples in samples_by_key.items()
                },
            )
        sums.publish(
            WORK_TOPIC,
            {
                service: tuple(
                    map(
                        round,
                        itertools.chain(
                            placed.at_time(now), self._prefilled(service, now)
                        ),
                    )
                )
                for service, placed in self._placed_by_service.items()
            },
        )

    def update(
        self,
        sums: shared_sums.SharedSums,
        keys_by_service: Mapping[ids.ServiceName, Iterable[int]],
    ) -> None:
        """Derive the speeds of all servers from the sums of all nodes."""
        total = sums.total(PACE_TOPIC)
        stated = sums.total(STATED_TOPIC)
        self.slowness_by_key = {
            key: slowness
            for keys in keys_by_service.values()
            for key, slowness in relative_slowness(
                {key: total[key] for key in keys if key in total}
            ).items()
        } | {
            key: math.exp(total_log / (weight + TRUSTED_SAMPLES * UNITS))
            for key, (weight, total_log) in stated.items()
            if isinstance(key, int)
        }

    def work(
        self,
        sums: shared_sums.SharedSums,
        service: ids.ServiceName,
        now: float,
    ) -> Work:
        """Return what all nodes place at a service."""
        other_tokens, other_requests, other_long, prefilled, duration_ms = (
            sums.others(WORK_TOPIC).get(service, (0.0, 0.0, 0.0, 0.0, 0.0))
        )
        placed = self._placed_by_service.get(service)
        own_tokens, own_requests, own_long = (
            placed.at_time(now) if placed else (0.0, 0.0, 0.0)
        )
        own_prefilled, own_ms = self._prefilled(service, now)
        return Work(
            tokens_per_s=other_tokens + own_tokens,
            long_tokens_per_s=other_long + own_long,
            requests_per_s=other_requests + own_requests,
            other_tokens_per_s=other_tokens,
            other_requests_per_s=other_requests,
            tokens_per_ms=(PRIOR_TOKENS + prefilled + own_prefilled)
            / (
                PRIOR_TOKENS / self._initial_tokens_per_ms
                + duration_ms
                + own_ms
            ),
        )

    def _prefilled(
        self, service: ids.ServiceName, now: float
    ) -> tuple[float, ...]:
        prefilled = self._prefilled_by_service.get(service)
        return prefilled.at_time(now) if prefilled else (0.0, 0.0)


def relative_slowness(
    samples_by_key: Mapping[int, shared_sums.Figures],
) -> dict[int, float]:
    """Return the slowness of each server relative to the median one.

    Parameters
    ----------
    samples_by_key : mapping
        Weight, and weighted sum of logarithms of pauses, by server.
    """
    mean_by_key = {
        key: (weight, total / weight)
        for key, (weight, total) in samples_by_key.items()
        if weight >= 1.0
    }
    if len(mean_by_key) < 2:
        return {}
    usual = statistics.median(mean for _, mean in mean_by_key.values())
    return {
        key: min(
            max(
                math.exp(
                    (mean - usual)
                    * weight
                    / (weight + TRUSTED_SAMPLES * UNITS)
                ),
                MIN_SLOWNESS,
            ),
            MAX_SLOWNESS,
        )
        for key, (weight, mean) in mean_by_key.items()
    }


def _rounded(figures: Iterable[float]) -> tuple[float, ...]:
    return tuple(round(UNITS * figure) for figure in figures)
