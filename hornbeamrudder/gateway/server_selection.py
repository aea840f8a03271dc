"""Selection of the backend server for one request; no I/O.

Accounts for long prompts that delay short urgent requests, for prompt prefixes
cached at engines, and for many nodes that choose from the same load reports.
"""

import dataclasses
import math
import random
from typing import Container, NamedTuple, Sequence, TypeVar

from ..core import hashing
from ..core import ids
from . import unseen_load

_Item = TypeVar('_Item')

# Keeps requests in their data centre where the load is equal; reflects the
# price of traffic between data centres.
REMOTE_PENALTY_MS = 4.0
# Delay that each running request adds to a new one.
RUNNING_PENALTY_MS = 0.8
# Random term, so that nodes with the same load reports choose different
# backend servers.
JITTER_MS = 3.0
# A prefill up to this share of the target gap between events does not delay
# the other streams of the engine; from the full gap on, it delays all of them.
TOLERATED_GAP_SHARE = 0.6
# Cost of each delayed stream, against the time to the first event of the
# request itself.
STALL_PENALTY_MS = 120.0
# Short prompts go to an engine where long ones gather only if the cost of the
# other engines is higher by this.
GATHERING_PENALTY_MS = 8.0
# Beyond this many standard deviations an error makes no difference.
MAX_ERRORS = 20.0
# Assumed service time of a request at a plain service.
PLAIN_SERVICE_TIME_MS = 20.0


# Backend servers evaluated for one request, chosen at random; all of them if
# there are fewer.
SAMPLE_SIZE = 16
# Backend servers that all nodes prefer for the same prompt prefix.
PREFERRED_COUNT = 2
_MASK = (1 << 64) - 1


class Candidate(NamedTuple):
    """A backend server that a request could be sent to.

    Attributes
    ----------
    running : int
        Requests in progress there, from all nodes.
    backlog_tokens : float
        Prompt tokens sent there and not prefilled yet.
    cached_tokens : int
        Tokens of this request's prompt in its prefix cache.
    avoided : bool
        Whether it is avoided because of recent failures.
    gathers_long_prompts : bool
        Whether long prompts gather there while there is room.
    slowness : float
        Duration of work on its host relative to the usual one.
    """

    id: ids.WorkerId
    slots: int
    running: int
    backlog_tokens: float = 0.0
    cached_tokens: int = 0
    same_data_centre: bool = True
    avoided: bool = False
    cold: bool = False
    gathers_long_prompts: bool = False
    slowness: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """What a request requires of a backend server.

    Attributes
    ----------
    prompt_tokens : int
        0 for plain services.
    tokens_per_ms : float
        Prefill speed.
    allowed_wait_ms : float
        Longest prefill backlog behind which the request may be sent.
    slot_share : float
        Share of a server's slots open to requests of this rank, where
        `run_ms` is unknown.
    gap_ms : float
        Target for the gap between events of a stream; 0 if unknown.
    report_age_s : float
        Age of the load that other nodes report; 0 if it counts as current.
    unseen_ms : float
        Work that other nodes have placed at all servers of the service since
        their reports, in milliseconds of a server of usual speed.
    run_ms : float
        Mean time that a request holds a slot of an engine; 0 if unknown.
    gathering : int
        Number of servers where long prompts gather.
    running_error : float
        Standard deviation of the requests at one engine that the reports
        lack.
    """

    prompt_tokens: int = 0
    tokens_per_ms: float = 50.0
    allowed_wait_ms: float = float('inf')
    slot_share: float = 1.0
    gap_ms: float = 0.0
    report_age_s: float = 0.0
    unseen_ms: float = 0.0
    run_ms: float = 0.0
    running_error: float = 1.0
    gathering: int = 0


def wait_ms(candidate: Candidate, requirements: Requirements) -> float:
    """Expected wait before the prefill of the prompt starts."""
    if not requirements.prompt_tokens:
        waiting = max(0, candidate.running - candidate.slots + 1)
        return (
            candidate.slowness
            * waiting
            * PLAIN_SERVICE_TIME_MS
            / candidate.slots
        )
    return candidate.slowness * (
        candidate.backlog_tokens / requirements.tokens_per_ms
        + requirements.run_ms
        * _requests_without_slot(candidate, requirements)
        / candidate.slots
    )


def _requests_without_slot(
    candidate: Candidate, requirements: Requirements
) -> float:
    """Expected number of requests at an engine that wait for a slot.

    The request itself included. As the number in progress is not known
    exactly, an engine that is nearly full is expected to have some.
    """
    excess = candidate.running + 1 - candidate.slots
    error = max(1.0, requirements.running_error)
    if excess > MAX_ERRORS * error:
        return float(excess)
    return error * math.log1p(math.exp(excess / error))


def has_capacity(candidate: Candidate, requirements: Requirements) -> bool:
    """Whether the backend server has capacity for the request now.

    An engine has if the request can start there within the time that it and
    the urgent ones bear. Where that is estimated, no slots are kept free for
    urgent requests: the engine admits them first.
    """
    if not requirements.run_ms and candidate.running >= max(
        1.0, candidate.slots * requirements.slot_share
    ):
        return False
    return wait_ms(candidate, requirements) <= requirements.allowed_wait_ms


def stalled_share(candidate: Candidate, requirements: Requirements) -> float:
    """Expected share of the engine's streams whose gap exceeds the target.

    Engines interleave chunks of the prefill with the decoding of running
    streams, so a long prompt delays all of them.
    """
    if not requirements.gap_ms or not requirements.prompt_tokens:
        return 0.0
    uncached = max(0, requirements.prompt_tokens - candidate.cached_tokens)
    prefill_ms = (
        candidate.slowness
        * (candidate.backlog_tokens + uncached)
        / requirements.tokens_per_ms
    )
    share = prefill_ms / requirements.gap_ms
    return min(
        1.0,
        max(0.0, share - TOLERATED_GAP_SHARE) / (1 - TOLERATED_GAP_SHARE),
    )


def may_stall_streams(requirements: Requirements) -> bool:
    """Whether a prompt is long enough to stall other streams."""
    return bool(requirements.gap_ms) and (
        requirements.prompt_tokens / requirements.tokens_per_ms
        > TOLERATED_GAP_SHARE * requirements.gap_ms
    )


def cost_ms(candidate: Candidate, requirements: Requirements) -> float:
    """Expected time to the first event, with penalties."""
    uncached = max(0, requirements.prompt_tokens - candidate.cached_tokens)
    cost = wait_ms(candidate, requirements)
    work_ms = uncached / requirements.tokens_per_ms
    work_ms += candidate.running * RUNNING_PENALTY_MS
    if not requirements.prompt_tokens:
        work_ms += (
            PLAIN_SERVICE_TIME_MS * (candidate.running + 1) / candidate.slots
        )
    cost += candidate.slowness * work_ms
    cost += (
        candidate.running
        * STALL_PENALTY_MS
        * stalled_share(candidate, requirements)
    )
    if (
        candidate.gathers_long_prompts
        and requirements.gap_ms
        and not may_stall_streams(requirements)
    ):
        cost += GATHERING_PENALTY_MS
    if not candidate.same_data_centre:
        cost += REMOTE_PENALTY_MS
    if candidate.cold:
        cost *= 2
    return cost


def choose(
    candidates: Sequence[Candidate],
    requirements: Requirements,
    rng: random.Random,
    preferred: Container[ids.WorkerId] = (),
    sampled_share: float = 1.0,
) -> Candidate | None:
    """Choose the backend server with the lowest expected cost.

    Parameters
    ----------
    preferred : container of WorkerId
        Servers that all nodes prefer for this request. These differ from
        request to request, so that they need no random choice.
    sampled_share : float
        Share of the servers of the service that are candidates.

    Returns
    -------
    Candidate or None
        None if none has capacity now. Avoided servers are used only if all
        candidates are avoided.
    """
    healthy = [item for item in candidates if not item.avoided]
    usable = [
        item
        for item in healthy or candidates
        if has_capacity(item, requirements)
    ]
    if not usable:
        return None
    if requirements.unseen_ms <= JITTER_MS:
        return min(
            usable,
            key=lambda item: (
                cost_ms(item, requirements) + rng.random() * JITTER_MS
            ),
        )
    costs = [cost_ms(item, requirements) for item in usable]
    drawn = unseen_load.draw(
        costs,
        [1.0 / item.slowness for item in usable],
        requirements.unseen_ms * sampled_share,
        rng,
    )
    return min(
        (
            (cost, position, item)
            for position, (cost, item) in enumerate(zip(costs, usable))
            if position == drawn or item.id in preferred
        ),
        key=lambda entry: entry[:2],
    )[-1]


def sample(
    items: Sequence[_Item], requirements: Requirements, rng: random.Random
) -> Sequence[_Item]:
    """Return the backend servers to evaluate, a random sample.

    If each node evaluated all servers, all nodes would choose the same one
    until the next load report. Sampling also bounds the CPU time of a
    request. Long prompts are evaluated against all servers: they are rare,
    and need the engine with the fewest streams.
    """
    if len(items) <= SAMPLE_SIZE or may_stall_streams(requirements):
        return items
    return rng.sample(items, SAMPLE_SIZE)


def preferred_positions(part: str, hashes: Sequence[int]) -> list[int]:
    """Indices of the preferred backend servers for a prompt part.

    Parameters
    ----------
    hashes : sequence of int
        64-bit hash of each server's id.

    Returns
    -------
    list of int
        At most `PREFERRED_COUNT`, the most preferred first.
    """
    # Rendezvous hashing: an odd factor per part gives each part its own order
    # of the servers.
    factor = hashing.stable_hash(part) | 1
    ranks = [(own * factor) & _MASK for own in hashes]
    return sorted(range(len(ranks)), key=ranks.__getitem__, reverse=True)[
        :PREFERRED_COUNT
    ]
