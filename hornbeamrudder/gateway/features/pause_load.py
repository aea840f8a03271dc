"""Simulation of stream pauses that are caused by long prompts.

The simulated engines process one prompt at a time, and all their streams wait
meanwhile, each for the pieces of one event at most.
"""

import dataclasses
import random

from hornbeamrudder.core import hashing
from hornbeamrudder.core import ids
from hornbeamrudder.gateway import server_selection

TOKENS_PER_MS = 90.0
GAP_MS = 500.0
SLOTS = 16


@dataclasses.dataclass(slots=True)
class Stream:
    """Stream in progress."""

    ends_at: float
    has_long_pause: bool = False


@dataclasses.dataclass(slots=True)
class Engine:
    """Engine with its streams and the end of its queued prompts."""

    id: ids.WorkerId
    streams: list[Stream] = dataclasses.field(default_factory=list)
    prefill_ends_at: float = 0.0


def simulate(engines, rate_per_s, seconds, gap_ms, seed):
    """Return the number of streams, and of those with a long pause.

    Parameters
    ----------
    gap_ms : float
        Target for pauses that is given to the server selection; 0 for none.
    """
    rng = random.Random(seed)
    fleet = [Engine(ids.WorkerId(f'w{number}')) for number in range(engines)]
    now, all_streams = 0.0, []
    while now < seconds * 1e3:
        now += rng.expovariate(rate_per_s / 1e3)
        tokens = min(54_000, int(rng.lognormvariate(8.2, 1.2)))
        for engine in fleet:
            engine.streams = [
                stream for stream in engine.streams if stream.ends_at > now
            ]
        need = server_selection.Requirements(
            tokens, TOKENS_PER_MS, 1e6, 1.0, gap_ms
        )
        candidates = [
            server_selection.Candidate(
                engine.id,
                SLOTS,
                len(engine.streams),
                max(0.0, engine.prefill_ends_at - now) * TOKENS_PER_MS,
                for_long_prompts=server_selection.is_long_prompt_engine(
                    hashing.stable_hash(engine.id)
                ),
            )
            for engine in server_selection.sample(fleet, need, rng)
        ]
        chosen = server_selection.choose(candidates, need, rng)
        if chosen is None:
            continue
        engine = fleet[int(chosen.id[1:])]
        starts_at = max(now, engine.prefill_ends_at)
        engine.prefill_ends_at = starts_at + tokens / TOKENS_PER_MS
        if engine.prefill_ends_at - now > GAP_MS:
            for stream in engine.streams:
                stream.has_long_pause = True
        stream = Stream(engine.prefill_ends_at + rng.uniform(200.0, 3000.0))
        engine.streams.append(stream)
        all_streams.append(stream)
    return len(all_streams), sum(
        stream.has_long_pause for stream in all_streams
    )
