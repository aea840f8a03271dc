"""Simulation of pauses in streams that are caused by long prompts.

A simulated engine prefills one prompt at a time, and all its streams wait
meanwhile. Platform engines prefill in chunks, so the simulation shows which
policy is better, but not by how much.
"""

import dataclasses
import random

from hornbeamrudder.core import hashing
from hornbeamrudder.core import ids
from hornbeamrudder.gateway import long_prompts
from hornbeamrudder.gateway import server_selection
from hornbeamrudder.gateway import server_speed

PREFILL_TOKENS_PER_MS = 90.0
TARGET_GAP_MS = 500.0
SLOTS_PER_ENGINE = 16


@dataclasses.dataclass(slots=True)
class Stream:
    """Stream in progress; times are in milliseconds."""

    ends_at: float
    has_long_pause: bool = False


@dataclasses.dataclass(slots=True)
class Engine:
    """Simulated engine.

    Attributes
    ----------
    prefill_ends_at : float
        Time in ms at which all queued prompts are prefilled.
    """

    id: ids.WorkerId
    streams: list[Stream] = dataclasses.field(default_factory=list)
    prefill_ends_at: float = 0.0
    slowness: float = 1.0


def _gathering_count(placed, now, engines):
    tokens, long_tokens = (
        figure / (server_speed.WORK_AGE_S * 1e3 * PREFILL_TOKENS_PER_MS)
        for figure in placed.at_time(now / 1e3)
    )
    return long_prompts.gathering_count(
        long_tokens, tokens - long_tokens, engines
    )


def simulate(
    engines,
    rate_per_s,
    seconds,
    gap_ms,
    seed,
    slowness=1.0,
    short_waits_ms=None,
):
    """Return the number of streams and the number with a long pause.

    Parameters
    ----------
    gap_ms : float
        Target for the gap between events that the server selection uses; 0
        for none.
    slowness : float
        Duration of a prefill at every fourth engine, relative to the others.
    short_waits_ms : list of float
        Takes the time to the end of its prefill of each other prompt.
    """
    rng = random.Random(seed)
    all_engines = [
        Engine(
            ids.WorkerId(f'w{number}'),
            slowness=slowness if number % 4 == 3 else 1.0,
        )
        for number in range(engines)
    ]
    hashes = [hashing.stable_hash(engine.id) for engine in all_engines]
    placed = server_speed.DecayingSums(server_speed.WORK_AGE_S, (0.0, 0.0))
    now, all_streams = 0.0, []
    while now < seconds * 1e3:
        now += rng.expovariate(rate_per_s / 1e3)
        prompt_tokens = min(54_000, int(rng.lognormvariate(8.2, 1.2)))
        for engine in all_engines:
            engine.streams = [
                stream for stream in engine.streams if stream.ends_at > now
            ]
        requirements = server_selection.Requirements(
            prompt_tokens, PREFILL_TOKENS_PER_MS, 1e6, 1.0, gap_ms
        )
        highest_gathering_hash = long_prompts.highest_gathering_hash(
            hashes, _gathering_count(placed, now, engines)
        )
        candidates = [
            server_selection.Candidate(
                engine.id,
                SLOTS_PER_ENGINE,
                len(engine.streams),
                max(0.0, engine.prefill_ends_at - now)
                * PREFILL_TOKENS_PER_MS
                / engine.slowness,
                gathers_long_prompts=(
                    hashing.stable_hash(engine.id) <= highest_gathering_hash
                ),
                slowness=engine.slowness,
            )
            for engine in server_selection.sample(
                all_engines, requirements, rng
            )
        ]
        chosen = server_selection.choose(candidates, requirements, rng)
        if chosen is None:
            continue
        engine = all_engines[int(chosen.id[1:])]
        placed.add(
            (
                prompt_tokens,
                prompt_tokens
                * server_selection.may_stall_streams(requirements),
            ),
            now / 1e3,
        )
        prefill_starts_at = max(now, engine.prefill_ends_at)
        engine.prefill_ends_at = (
            prefill_starts_at
            + engine.slowness * prompt_tokens / PREFILL_TOKENS_PER_MS
        )
        if (
            short_waits_ms is not None
            and prompt_tokens / PREFILL_TOKENS_PER_MS
            < server_selection.TOLERATED_GAP_SHARE * TARGET_GAP_MS
        ):
            short_waits_ms.append(engine.prefill_ends_at - now)
        if engine.prefill_ends_at - now > TARGET_GAP_MS:
            for stream in engine.streams:
                stream.has_long_pause = True
        stream = Stream(engine.prefill_ends_at + rng.uniform(200.0, 3000.0))
        engine.streams.append(stream)
        all_streams.append(stream)
    return len(all_streams), sum(
        stream.has_long_pause for stream in all_streams
    )
