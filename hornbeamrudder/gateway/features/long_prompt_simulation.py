"""Simulation of pauses in streams that are caused by long prompts.

A simulated engine prefills one prompt at a time, and all its streams wait
meanwhile. Platform engines prefill in chunks, so the simulation shows which
policy is better, but not by how much.
"""

import dataclasses
import random

from hornbeamrudder.core import hashing
from hornbeamrudder.core import ids
from hornbeamrudder.gateway import server_selection

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


def simulate(engines, rate_per_s, seconds, gap_ms, seed):
    """Return the number of streams and the number with a long pause.

    Parameters
    ----------
    gap_ms : float
        Target for the gap between events that the server selection uses; 0
        for none.
    """
    rng = random.Random(seed)
    all_engines = [
        Engine(ids.WorkerId(f'w{number}')) for number in range(engines)
    ]
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
        candidates = [
            server_selection.Candidate(
                engine.id,
                SLOTS_PER_ENGINE,
                len(engine.streams),
                max(0.0, engine.prefill_ends_at - now) * PREFILL_TOKENS_PER_MS,
                for_long_prompts=server_selection.is_long_prompt_engine(
                    hashing.stable_hash(engine.id)
                ),
            )
            for engine in server_selection.sample(
                all_engines, requirements, rng
            )
        ]
        chosen = server_selection.choose(candidates, requirements, rng)
        if chosen is None:
            continue
        engine = all_engines[int(chosen.id[1:])]
        prefill_starts_at = max(now, engine.prefill_ends_at)
        engine.prefill_ends_at = (
            prefill_starts_at + prompt_tokens / PREFILL_TOKENS_PER_MS
        )
        if engine.prefill_ends_at - now > TARGET_GAP_MS:
            for stream in engine.streams:
                stream.has_long_pause = True
        stream = Stream(engine.prefill_ends_at + rng.uniform(200.0, 3000.0))
        engine.streams.append(stream)
        all_streams.append(stream)
    return len(all_streams), sum(
        stream.has_long_pause for stream in all_streams
    )
