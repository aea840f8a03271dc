"""Simulation of pauses in streams that are caused by long prompts.

A simulated engine prefills one prompt at a time, and all its streams wait
meanwhile. Platform engines prefill in chunks, so the simulation shows which
policy is better, but not by how much.
"""

import dataclasses
import enum
import random

from hornbeamrudder.core import hashing
from hornbeamrudder.core import ids
from hornbeamrudder.gateway import long_prompts
from hornbeamrudder.gateway import server_selection
from hornbeamrudder.gateway import server_speed

PREFILL_TOKENS_PER_MS = 90.0
TARGET_GAP_MS = 500.0
LONG_PROMPT_TOKENS = (
    server_selection.TOLERATED_GAP_SHARE
    * TARGET_GAP_MS
    * PREFILL_TOKENS_PER_MS
)
RECLAIMED_AT_SHARE = 1 / 3
KEY = 'key'
KEY_TOKENS = 2000
SLOTS_PER_ENGINE = 16


class Kind(enum.Enum):
    """Kinds of prompts, by their length."""

    SHORT = 'short'
    LONG = 'long'


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
    has_key: bool = False


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
    waits_ms_by_kind=None,
    reclaimed=0,
    key_share=0.0,
):
    """Return the number of streams and the number with a long pause.

    Parameters
    ----------
    gap_ms : float
        Target for the gap between events that the server selection uses; 0
        for none.
    slowness : float
        Duration of a prefill at every fourth engine, relative to the others.
    waits_ms_by_kind : dict
        Takes the times to the end of the prefill, by `Kind`.
    reclaimed : int
        Engines that take no more requests after a third of the time.
    key_share : float
        Share of the requests that begin with one prompt prefix.
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
        usable = all_engines[
            reclaimed * (now > seconds * 1e3 * RECLAIMED_AT_SHARE) :
        ]
        has_key = rng.random() < key_share
        preferred = {
            usable[position].id
            for position in server_selection.preferred_positions(
                KEY, [hashing.stable_hash(engine.id) for engine in usable]
            )
            if has_key
        }
        evaluated = preferred | {
            engine.id
            for engine in server_selection.sample(usable, requirements, rng)
        }
        candidates = [
            server_selection.Candidate(
                engine.id,
                SLOTS_PER_ENGINE,
                len(engine.streams),
                max(0.0, engine.prefill_ends_at - now)
                * PREFILL_TOKENS_PER_MS
                / engine.slowness,
                cached_tokens=has_key
                * engine.has_key
                * min(KEY_TOKENS, prompt_tokens),
                gathers_long_prompts=(
                    hashing.stable_hash(engine.id) <= highest_gathering_hash
                ),
                slowness=engine.slowness,
            )
            for engine in usable
            if engine.id in evaluated
        ]
        chosen = server_selection.choose(
            candidates, requirements, rng, preferred
        )
        if chosen is None:
            continue
        engine = all_engines[int(chosen.id[1:])]
        engine.has_key |= has_key
        uncached = prompt_tokens - chosen.cached_tokens
        placed.add(
            (
                uncached,
                uncached * server_selection.may_stall_streams(requirements),
            ),
            now / 1e3,
        )
        prefill_starts_at = max(now, engine.prefill_ends_at)
        engine.prefill_ends_at = (
            prefill_starts_at
            + engine.slowness * uncached / PREFILL_TOKENS_PER_MS
        )
        if waits_ms_by_kind is not None:
            long = prompt_tokens > LONG_PROMPT_TOKENS
            waits_ms_by_kind[Kind.LONG if long else Kind.SHORT].append(
                engine.prefill_ends_at - now
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
