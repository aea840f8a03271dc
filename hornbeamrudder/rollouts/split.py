"""Which software versions a request may be sent to; no I/O.

A bad version may get a share of the requests to its service, and a number
besides. Each node sends it a share of its own requests and a part of that
number, so that the bound holds over all nodes without a message between them,
also while nodes are cut off from each other or from the store.
"""

import dataclasses

from . import state

# Part of the permitted share, and of the number besides, that is used. A node
# that is started again gets its part of the number once more. Shortly before
# the transfer, which goes beyond the bound, all is used.
USED_SHARE = 0.9
USED_SLACK = 0.5
# Fewest servers of the new version that a trial uses, if there are as many:
# one alone can't be told from its host.
MIN_TRIAL_SERVERS = 2
# A trial begins with more than the permitted share, which uses what was left
# over while the servers started, so that faults are found early.
EARLY_FACTOR = 1.4
EARLY_S = 6.0
# The last trial uses what is left, on more servers under the same load.
LOAD_FACTOR = 3.5


@dataclasses.dataclass(frozen=True, slots=True)
class Permitted:
    """What a bad version may get of a service's requests.

    Attributes
    ----------
    share : float
        Share of the requests between the order and its time budget.
    slack : float
        Number of requests besides.
    """

    share: float
    slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class OwnCounts:
    """Requests of this node since the order.

    Attributes
    ----------
    sent : int
        Requests sent to the new version.
    """

    requests: int = 0
    sent: int = 0


def is_entitled(
    own: OwnCounts, permitted: Permitted, nodes: int, is_last: bool = False
) -> bool:
    """Whether one more request of this node may go to the new version.

    Parameters
    ----------
    is_last : bool
        Whether the transfer follows at once.
    """
    share, slack = (1.0, 1.0) if is_last else (USED_SHARE, USED_SLACK)
    return own.sent + 1 <= (
        share * permitted.share * own.requests
        + slack * permitted.slack / max(1, nodes)
    )


def trial_part(
    permitted: Permitted, phase: state.Phase, age_s: float
) -> float:
    """Return the part of the requests that a trial is to get.

    Parameters
    ----------
    age_s : float
        Time since the phase began.
    """
    factor = 1.0
    if phase is state.Phase.LOAD:
        factor = LOAD_FACTOR
    elif age_s < EARLY_S:
        factor = EARLY_FACTOR
    return min(1.0, factor * USED_SHARE * permitted.share)


def trial_size(part: float, new: int, old: int) -> int:
    """Return how many new servers a trial uses.

    As few as give each the load that it will have with all requests, so that
    a version which fails only under load is found.
    """
    return min(new, max(MIN_TRIAL_SERVERS, round(part * (old or new))))


def trial_share(part: float, size: int, old: int) -> float:
    """Return the share of the requests that a trial gets.

    No server gets more than one of the old version does.
    """
    return min(part, size / max(1, old))


def sides(
    phase: state.Phase, is_halted: bool, is_confirmed: bool, is_drawn: bool
) -> tuple[state.Side, ...]:
    """Return the sides that a request may be sent to, the first preferred.

    Parameters
    ----------
    is_halted : bool
        Whether this node has found the new version to be bad.
    is_confirmed : bool
        Whether the state was confirmed by the store lately.
    is_drawn : bool
        Whether the new version may get this request in a trial.
    """
    match phase:
        case state.Phase.COMPLETED:
            return (state.Side.NEW,)
        case state.Phase.TRANSFER if is_confirmed and not is_halted:
            return (state.Side.NEW,)
        case state.Phase.TRANSFER if not is_halted:
            # It may have been completed since, which ends the old servers.
            return (state.Side.OLD, state.Side.NEW)
        case state.Phase.TRIAL | state.Phase.LOAD if (
            is_drawn and is_confirmed and not is_halted
        ):
            return (state.Side.NEW, state.Side.OLD)
        case _:
            return (state.Side.OLD,)
