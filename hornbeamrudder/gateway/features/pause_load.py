"""Plays long prompts among running streams, and counts too long pauses.

The engines of this model read one prompt after another, and all their streams
wait meanwhile; a stream waits at most for one event's worth of pieces.
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
    """A stream in progress."""

    ends_at: float
    late: bool = False


@dataclasses.dataclass(slots=True)
class Engine:
    """An engine: its streams, and when it has read all its prompts."""

    id: ids.WorkerId
    streams: list[Stream] = dataclasses.field(default_factory=list)
    reads_until: float = 0.0


def play(engines, rate_per_s, seconds, gap_ms, seed):
    """Play the load; returns the streams, and those with a long pause.

    Parameters
    ----------
    gap_ms : float
        What the placement is told; 0 leaves pauses out of it.
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
                max(0.0, engine.reads_until - now) * TOKENS_PER_MS,
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
        starts_at = max(now, engine.reads_until)
        engine.reads_until = starts_at + tokens / TOKENS_PER_MS
        if engine.reads_until - now > GAP_MS:
            for stream in engine.streams:
                stream.late = True
        stream = Stream(engine.reads_until + rng.uniform(200.0, 3000.0))
        engine.streams.append(stream)
        all_streams.append(stream)
    return len(all_streams), sum(stream.late for stream in all_streams)
