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
# Work of one request at a plain service, until its slots are taken.
PLAIN_REQUEST_MS = 20.0


# Backend servers that are looked at for one request, taken at random; with
# few servers, all are.
SAMPLE = 16
# Backend servers on which all nodes place requests with the same shared parts.
PREFERRED = 2
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
    """

    id: ids.WorkerId
    slots: int
    running: int
    backlog_tokens: float = 0.0
    cached_tokens: int = 0
    same_data_centre: bool = True
    avoided: bool = False
    cold: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
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
    """

    prompt_tokens: int = 0
    tokens_per_ms: float = 50.0
    allowed_wait_ms: float = float('inf')
    slot_share: float = 1.0


def wait_ms(candidate: Candidate, need: Need) -> float:
    """Expected wait before the prompt is read."""
    if not need.prompt_tokens:
        waiting = max(0, candidate.running - candidate.slots + 1)
        return waiting * PLAIN_REQUEST_MS / candidate.slots
    return candidate.backlog_tokens / need.tokens_per_ms


def has_room(candidate: Candidate, need: Need) -> bool:
    """Whether the request may be sent there now."""
    if candidate.running >= max(1.0, candidate.slots * need.slot_share):
        return False
    return (
        not candidate.backlog_tokens
        or wait_ms(candidate, need) <= need.allowed_wait_ms
    )


def cost_ms(candidate: Candidate, need: Need) -> float:
    """Expected time to the first event, with penalties."""
    missing = max(0, need.prompt_tokens - candidate.cached_tokens)
    cost = wait_ms(candidate, need)
    cost += missing / need.tokens_per_ms
    cost += candidate.running * RUNNING_PENALTY_MS
    if not need.prompt_tokens:
        cost += PLAIN_REQUEST_MS * candidate.running / candidate.slots
    if not candidate.same_data_centre:
        cost += REMOTE_PENALTY_MS
    if candidate.cold:
        cost *= 2
    return cost


def choose(
    candidates: Sequence[Candidate], need: Need, rng: random.Random
) -> Candidate | None:
    """Choose the backend server with the least cost.

    Returns
    -------
    Candidate or None
        None where none has room now. Servers to avoid are taken only where
        there is no other at all.
    """
    sound = [item for item in candidates if not item.avoided]
    usable = [item for item in sound or candidates if has_room(item, need)]
    if not usable:
        return None
    return min(
        usable,
        key=lambda item: cost_ms(item, need) + rng.random() * JITTER_MS,
    )


def sample(items: Sequence[_Item], rng: random.Random) -> Sequence[_Item]:
    """Choose the backend servers to look at.

    Answers many nodes with reports of the same age: if each looked at all
    servers, all would choose the same one until the next report. It also
    bounds the processor time of a request.
    """
    if len(items) <= SAMPLE:
        return items
    return rng.sample(items, SAMPLE)


def preferred(part: str, hashes: Sequence[int]) -> list[int]:
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
        :PREFERRED
    ]
