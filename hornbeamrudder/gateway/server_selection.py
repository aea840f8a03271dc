"""Choice of the backend server for one request; pure.

Answers long prompts beside short urgent requests, shared prompt parts, and
many nodes that choose from the same reports.
"""

import dataclasses
import random
from typing import NamedTuple, Sequence, TypeVar

from ..core import hashing
from ..core import ids

_Item = TypeVar('_Item')

# Keeps requests in their data centre where the load is equal; in line with
# the price of bytes between data centres.
REMOTE_PENALTY_MS = 4.0
# Time that one more running request costs each new one.
RUNNING_PENALTY_MS = 0.8
# Spreads nodes that see the same load over several backend servers.
JITTER_MS = 3.0
# Reading prompts for this part of the longest pause that is on time leaves the
# other streams of the engine on time; from the whole of it on, each has such a
# pause.
TOLERATED_PAUSE_SHARE = 0.6
# What one more stream with such a pause weighs, against time to the first
# event of the request itself.
STALL_PENALTY_MS = 120.0
# Part of the engines that are kept free of streams, as long as the others do
# not have this much more to do, so that long prompts find an engine where
# nobody waits for them.
LONG_PROMPT_ENGINE_SHARE = 0.3
LONG_PROMPT_ENGINE_PENALTY_MS = 8.0
# Work of one request at a plain service, until its slots are taken.
PLAIN_REQUEST_MS = 20.0


# Backend servers that are looked at for one request, taken at random; with
# few servers, all are.
SAMPLE_SIZE = 16
# Backend servers on which all nodes place requests with the same shared parts.
PREFERRED_COUNT = 2
_MASK = (1 << 64) - 1


class Candidate(NamedTuple):
    """A backend server that a request could be sent to.

    Attributes
    ----------
    running : int
        Requests in progress there, of all nodes.
    backlog_tokens : float
        Prompt tokens sent there that are not read yet.
    cached_tokens : int
        Tokens of this request's prompt that it holds.
    avoided : bool
        Whether its recent outcomes speak against it.
    quiet : bool
        Whether it is kept for long prompts while others are not busy.
    """

    id: ids.WorkerId
    slots: int
    running: int
    backlog_tokens: float = 0.0
    cached_tokens: int = 0
    same_data_centre: bool = True
    avoided: bool = False
    cold: bool = False
    for_long_prompts: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """What a request asks of a backend server.

    Attributes
    ----------
    prompt_tokens : int
        0 at plain services.
    tokens_per_ms : float
        Speed at which prompts are read.
    allowed_wait_ms : float
        Longest wait behind other prompts for which the request is sent.
    slot_share : float
        Part of a backend server's slots that requests of this rank may take.
    gap_ms : float
        Longest pause of a stream that is on time; 0 if unknown.
    """

    prompt_tokens: int = 0
    tokens_per_ms: float = 50.0
    allowed_wait_ms: float = float('inf')
    slot_share: float = 1.0
    gap_ms: float = 0.0


def wait_ms(candidate: Candidate, requirements: Requirements) -> float:
    """Expected wait before the prompt is read."""
    if not requirements.prompt_tokens:
        waiting = max(0, candidate.running - candidate.slots + 1)
        return waiting * PLAIN_REQUEST_MS / candidate.slots
    return candidate.backlog_tokens / requirements.tokens_per_ms


def has_room(candidate: Candidate, requirements: Requirements) -> bool:
    """Whether the request may be sent there now."""
    if candidate.running >= max(
        1.0, candidate.slots * requirements.slot_share
    ):
        return False
    return (
        not candidate.backlog_tokens
        or wait_ms(candidate, requirements) <= requirements.allowed_wait_ms
    )


def stalled_share(candidate: Candidate, requirements: Requirements) -> float:
    """Probable part of the engine's streams that get too long a pause.

    Engines read prompts in pieces between the tokens of running streams, so
    all of them wait for a long prompt.
    """
    if not requirements.gap_ms or not requirements.prompt_tokens:
        return 0.0
    uncached = max(0, requirements.prompt_tokens - candidate.cached_tokens)
    read_ms = (
        candidate.backlog_tokens + uncached
    ) / requirements.tokens_per_ms
    share = read_ms / requirements.gap_ms
    return min(
        1.0,
        max(0.0, share - TOLERATED_PAUSE_SHARE) / (1 - TOLERATED_PAUSE_SHARE),
    )


def may_stall_streams(requirements: Requirements) -> bool:
    """Whether a prompt is so long that it should go to an idle engine."""
    return bool(requirements.gap_ms) and (
        requirements.prompt_tokens / requirements.tokens_per_ms
        > TOLERATED_PAUSE_SHARE * requirements.gap_ms
    )


def cost_ms(candidate: Candidate, requirements: Requirements) -> float:
    """Expected time to the first event, with penalties."""
    uncached = max(0, requirements.prompt_tokens - candidate.cached_tokens)
    cost = wait_ms(candidate, requirements)
    cost += uncached / requirements.tokens_per_ms
    cost += candidate.running * (
        RUNNING_PENALTY_MS
        + STALL_PENALTY_MS * stalled_share(candidate, requirements)
    )
    if not requirements.prompt_tokens:
        cost += PLAIN_REQUEST_MS * candidate.running / candidate.slots
    if (
        candidate.for_long_prompts
        and requirements.gap_ms
        and not may_stall_streams(requirements)
    ):
        cost += LONG_PROMPT_ENGINE_PENALTY_MS
    if not candidate.same_data_centre:
        cost += REMOTE_PENALTY_MS
    if candidate.cold:
        cost *= 2
    return cost


def choose(
    candidates: Sequence[Candidate],
    requirements: Requirements,
    rng: random.Random,
) -> Candidate | None:
    """Choose the backend server with the least cost.

    Returns
    -------
    Candidate or None
        None where none has room now. Servers to avoid are taken only where
        there is no other at all.
    """
    healthy = [item for item in candidates if not item.avoided]
    usable = [
        item for item in healthy or candidates if has_room(item, requirements)
    ]
    if not usable:
        return None
    return min(
        usable,
        key=lambda item: (
            cost_ms(item, requirements) + rng.random() * JITTER_MS
        ),
    )


def is_long_prompt_engine(server_hash: int) -> bool:
    """Whether an engine is one of those kept for long prompts.

    Parameters
    ----------
    server_hash : int
        Hash of its id, 64 bits, so that all nodes choose the same ones.
    """
    return server_hash < LONG_PROMPT_ENGINE_SHARE * (_MASK + 1)


def sample(
    items: Sequence[_Item], requirements: Requirements, rng: random.Random
) -> Sequence[_Item]:
    """Choose the backend servers to look at.

    Answers many nodes with reports of the same age: if each looked at all
    servers, all would choose the same one until the next report. It also
    bounds the processor time of a request. Long prompts are rare, and need
    the engine with the fewest streams.
    """
    if len(items) <= SAMPLE_SIZE or may_stall_streams(requirements):
        return items
    return rng.sample(items, SAMPLE_SIZE)


def preferred_positions(part: str, hashes: Sequence[int]) -> list[int]:
    """Positions of the backend servers that are preferred for a part.

    Parameters
    ----------
    hashes : sequence of int
        Hash of each server's id, 64 bits.

    Returns
    -------
    list of int
        At most `PREFERRED`, the most preferred first.
    """
    # An odd factor by part, so that each part orders the servers anew.
    factor = hashing.stable_hash(part) | 1
    ranks = [(own * factor) & _MASK for own in hashes]
    return sorted(range(len(ranks)), key=ranks.__getitem__, reverse=True)[
        :PREFERRED_COUNT
    ]
