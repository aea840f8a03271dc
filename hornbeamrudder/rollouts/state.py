"""State machine of a roll-out; no I/O.

A roll-out waits for backend servers of the new version, tries it with a small
share of the requests, then with the load that its servers will have, and
transfers all requests. It can be rolled back until it is completed.

The state lives in the platform's store and is written by the holder of the
duties. Each step depends on the state, the order and what is seen now, so a
new holder goes on from the row.
"""

import dataclasses
import enum
from typing import NewType

from ..core import ids

SoftwareVersion = NewType('SoftwareVersion', str)
# Version of the order's row in the store; another order has another one.
OrderNumber = NewType('OrderNumber', int)

# Longest time from an operator's write to its arrival at the holder.
ORDER_AGE_S = 1.0
# Part of the time budget that is kept for the transfer, with its bounds: the
# step reaches all nodes, and runs end or move to servers that stay.
TRANSFER_SHARE = 0.25
MIN_TRANSFER_S = 3.0
MAX_TRANSFER_S = 20.0
# Time of the trial under full load before the transfer: the requests are sent
# and their first answers are compared.
LOAD_S = 1.2
# Time after that for the last of what a bad version may get, and for its
# answers: in the transfer it gets more than that, and there is nothing to
# compare it with.
LAST_LOAD_S = 1.2
# Shortest trial before the step to full load.
MIN_TRIAL_S = 1.0
# Runs are moved off the old servers this long before the time budget ends.
END_LEAD_S = 1.0
# Free slots that the new servers need beyond the running requests.
ROOM_FACTOR = 1.2
# The new servers have room too if they have this share of the old ones' slots.
SAME_SIZE_SHARE = 0.9


class Phase(enum.Enum):
    """Step of a roll-out.

    `TRIAL` sends a share of the requests to a few servers of the new version,
    `LOAD` as many as the version may get to more of them, `TRANSFER` all.
    """

    WAITING = 'waiting'
    TRIAL = 'trial'
    LOAD = 'load'
    TRANSFER = 'transfer'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled back'

    @property
    def is_over(self) -> bool:
        """Whether no further step follows."""
        return self in (Phase.COMPLETED, Phase.ROLLED_BACK)


# Phases in which the new version gets a share of the requests.
TRIALS = (Phase.TRIAL, Phase.LOAD)


class Side(enum.Enum):
    """What a software version is to a roll-out.

    `BARRED` versions were rolled back or replaced earlier.
    """

    OLD = 'old'
    NEW = 'new'
    BARRED = 'barred'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Operator's order to move a service to a version.

    Attributes
    ----------
    duration_s : float
        Time budget, from the order on.
    """

    service: ids.ServiceName
    target: SoftwareVersion
    duration_s: float
    number: OrderNumber


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Counts of a roll-out over all nodes, for the operator.

    Attributes
    ----------
    requests : int
        Requests to the service since the order.
    sent : int
        Requests sent to the new version.
    """

    requests: int = 0
    sent: int = 0
    new_answers: int = 0
    new_bad: int = 0
    old_answers: int = 0
    old_bad: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RollOut:
    """State of the latest roll-out of a service.

    Times are Unix times in seconds by the median of the nodes' clocks.

    Attributes
    ----------
    since : float
        Time of the latest step.
    due_at : float
        End of the time budget.
    base : SoftwareVersion or None
        Version that is replaced; None for all that are not barred, if there
        was not exactly one.
    barred : frozenset
        Versions that were rolled back.
    number : FencingNumber
        Number of the holder that made the latest step.
    """

    service: ids.ServiceName
    target: SoftwareVersion
    order: OrderNumber
    phase: Phase
    since: float
    due_at: float
    base: SoftwareVersion | None = None
    barred: frozenset[SoftwareVersion] = frozenset()
    number: ids.FencingNumber = ids.FencingNumber(0)
    reason: str = ''
    counts: Counts = Counts()

    @property
    def ends_at(self) -> float:
        """Time at which the last runs are moved off the old servers."""
        return self.due_at - END_LEAD_S

    def side(self, version: SoftwareVersion) -> Side:
        """Return what a version is to this roll-out."""
        if version == self.target:
            return Side.NEW
        if self.base is not None:
            return Side.OLD if version == self.base else Side.BARRED
        return Side.BARRED if version in self.barred else Side.OLD


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What the holder sees of a service, over all nodes.

    Attributes
    ----------
    new_servers, old_servers : int
        Backend servers that accept requests, by side.
    running : int
        Requests in progress at all servers of the service.
    outside_runs : int
        Requests in progress at servers of other versions than the new one.
    confirmed_nodes : int
        Nodes that send nothing to other versions any more.
    old_versions : frozenset
        Versions of the old servers.
    failure : str
        Why the new version is bad; empty unless it is.
    """

    new_servers: int = 0
    old_servers: int = 0
    old_versions: frozenset[SoftwareVersion] = frozenset()
    new_slots: int = 0
    old_slots: int = 0
    running: int = 0
    outside_runs: int = 0
    confirmed_nodes: int = 0
    nodes: int = 1
    failure: str = ''

    @property
    def has_room(self) -> bool:
        """Whether the new servers can take all requests."""
        return self.new_slots > 0 and (
            self.new_slots >= ROOM_FACTOR * self.running
            or self.new_slots >= SAME_SIZE_SHARE * self.old_slots
        )


def transfer_s(duration_s: float) -> float:
    """Return the part of a time budget that is kept for the transfer."""
    return min(
        max(TRANSFER_SHARE * duration_s, MIN_TRANSFER_S), MAX_TRANSFER_S
    )


def begin(
    order: Order, previous: RollOut | None, seen: Observation, now: float
) -> RollOut:
    """Return the first state of a roll-out.

    Without servers of another version there is nothing to compare with, and
    all requests go to the new one.

    Parameters
    ----------
    previous : RollOut or None
        Latest roll-out of the service, which is over.
    """
    base = None
    barred: frozenset[SoftwareVersion] = frozenset()
    if previous is not None:
        match previous.phase:
            case Phase.COMPLETED:
                base = previous.target
            case _:
                base = previous.base
                barred = previous.barred | {previous.target}
    if base is None and len(seen.old_versions) == 1:
        (base,) = seen.old_versions
    serves_already = order.target == base or not seen.old_servers
    return RollOut(
        order.service,
        order.target,
        order.number,
        Phase.TRANSFER if serves_already else Phase.WAITING,
        now,
        now - ORDER_AGE_S + order.duration_s,
        None if order.target == base else base,
        barred - {order.target},
        reason='no other version serves' if serves_already else '',
    )


def step(
    rollout: RollOut, order: Order | None, seen: Observation, now: float
) -> RollOut:
    """Return the next state; `rollout` itself if nothing changes.

    Parameters
    ----------
    order : Order or None
        Present order of the service.
    now : float
        Unix time in seconds.
    """
    if rollout.phase.is_over:
        return rollout
    if order is None or order.number != rollout.order:
        return _to(rollout, Phase.ROLLED_BACK, now, 'taken back by operator')
    if seen.failure:
        return _to(rollout, Phase.ROLLED_BACK, now, seen.failure)
    transfer_at = rollout.due_at - transfer_s(order.duration_s)
    load_at = transfer_at - LOAD_S - LAST_LOAD_S
    match rollout.phase:
        case Phase.WAITING if seen.new_servers:
            return _to(
                rollout, Phase.TRIAL, now, f'{seen.new_servers} new servers'
            )
        case Phase.WAITING if now >= rollout.ends_at:
            return _to(
                rollout, Phase.ROLLED_BACK, now, 'no server of the version'
            )
        case Phase.TRIAL if (
            now >= load_at
            and now - rollout.since >= MIN_TRIAL_S
            and seen.has_room
        ):
            return _to(rollout, Phase.LOAD, now, 'no fault in the trial')
        case Phase.LOAD if (
            now >= max(rollout.since + LOAD_S, transfer_at) and seen.has_room
        ):
            return _to(rollout, Phase.TRANSFER, now, 'no fault under load')
        case Phase.TRIAL | Phase.LOAD if (
            now >= rollout.ends_at and not seen.has_room
        ):
            return _to(
                rollout,
                Phase.ROLLED_BACK,
                now,
                f'no room: {seen.new_slots} slots, {seen.running} running',
            )
        case Phase.TRANSFER if (
            seen.new_servers
            and seen.confirmed_nodes >= seen.nodes
            and not seen.outside_runs
        ):
            return _to(
                rollout, Phase.COMPLETED, now, 'all requests transferred'
            )
        case _:
            return rollout


def _to(rollout: RollOut, phase: Phase, now: float, reason: str) -> RollOut:
    return dataclasses.replace(rollout, phase=phase, since=now, reason=reason)
