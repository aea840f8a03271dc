"""Which backend servers a request may go to in a roll-out; no I/O."""

from typing import Callable, NamedTuple

from ..gateway import records
from ..gateway import server_registry
from . import judgement
from . import state

Accepts = Callable[[server_registry.ServerRecord], bool]


class Basis(NamedTuple):
    """Which servers of a service last, as far as its roll-outs go.

    Attributes
    ----------
    order : int
        Number of the order; 0 if none was given.
    side : Side
        Side that carries the requests.
    is_over : bool
        Whether no roll-out is in progress.
    """

    order: int = 0
    side: state.Side = state.Side.OLD
    is_over: bool = True


def accept_all(record: server_registry.ServerRecord) -> bool:
    """Accept all servers, where no roll-out is known."""
    return True


def of_side(
    known: judgement.ServiceRollOut,
    rollout: state.RollOut,
    side: state.Side,
    phase: state.Phase,
) -> Accepts:
    """Return the servers of one side; in a trial those that take part."""
    if side is state.Side.NEW and phase in state.TRIALS:
        return lambda record: record.entry.id in known.trial_servers
    return lambda record: rollout.side(record.entry.version) is side


def until_known(
    known: judgement.ServiceRollOut, servers: server_registry.ServerRegistry
) -> Accepts:
    """Return which servers get requests until the order's state is known.

    None of the ordered version, unless the service never had another.
    """
    order, previous = known.order, known.rollout
    assert order is not None
    target = order.target
    if previous is None:
        has_other = any(
            record.usable and record.entry.version != target
            for record in servers.of_service(known.service)
        )
        return lambda record: (record.entry.version != target) is has_other
    if previous.phase is state.Phase.COMPLETED:
        return lambda record: record.entry.version == previous.target
    return lambda record: (
        previous.side(record.entry.version) is state.Side.OLD
        and (record.entry.version != target or target == previous.base)
    )


def own_version(
    known: judgement.ServiceRollOut, source: records.BackendServer
) -> Accepts | None:
    """Return where a run may be moved to; None if its version ends."""
    rollout = known.rollout
    if rollout is None or rollout.phase.is_over or known.halted:
        return None
    version = source.version
    if (
        rollout.phase is state.Phase.TRANSFER
        and rollout.side(version) is not state.Side.NEW
    ):
        return None
    return lambda record: record.entry.version == version


def lasting(
    known: judgement.ServiceRollOut, servers: server_registry.ServerRegistry
) -> tuple[Basis, Accepts]:
    """Return the servers that carry the requests, those of trials left out.

    The platform ends those of the other side with the roll-out, so that they
    are no room.
    """
    if known.is_pending:
        basis = Basis(known.number, state.Side.OLD, False)
        return basis, until_known(known, servers)
    rollout = known.rollout
    if rollout is None:
        return Basis(), accept_all
    side = state.Side.OLD
    if rollout.phase is state.Phase.COMPLETED or (
        rollout.phase is state.Phase.TRANSFER
        and not known.halted
        and known.order is not None
    ):
        side = state.Side.NEW
    basis = Basis(rollout.order, side, rollout.phase.is_over)
    return basis, lambda record: rollout.side(record.entry.version) is side
