"""Progress of proposals: read, write, read back, distribute; pure."""

import dataclasses

from . import acceptance
from ..core import errors
from ..core import ids
from . import events
from . import node_state
from . import publish
from . import state

MAX_QUEUE = 100

Effects = node_state.Effects
Turn = tuple[node_state.NodeState, Effects]


def enqueue(
    node: node_state.NodeState, proposal: publish.Proposal
) -> node_state.NodeState:
    """Add an operator's proposal, with the document that it is based on."""
    base_document = next(
        (
            content.document
            for content in node.history
            if content.row.version == proposal.base
        ),
        b'',
    )
    proposal = dataclasses.replace(proposal, base_document=base_document)
    return dataclasses.replace(node, queue=(*node.queue, proposal))


def start_next(node: node_state.NodeState, now: float) -> Turn:
    """Start the next proposal; refuse those beyond the queue's limit."""
    over, queue = node.queue[MAX_QUEUE:], node.queue[:MAX_QUEUE]
    refused = tuple(
        events.Finish(
            proposal.attempt,
            refusal(errors.FailureKind.OVERLOADED, 'too many proposals'),
        )
        for proposal in over
    )
    if node.active is not None or not queue:
        return dataclasses.replace(node, queue=queue), refused
    active = publish.Publication(queue[0], now)
    node = dataclasses.replace(node, queue=queue[1:], active=active)
    return node, refused


def needs_read(node: node_state.NodeState) -> bool:
    """Whether the active proposal waits for its first read."""
    return (
        node.active is not None and node.active.phase is publish.Phase.READING
    )


def row_read(
    node: node_state.NodeState,
    table: publish.TableState | None,
    now: float,
) -> Turn:
    """Continue the active proposal with the row as read."""
    active = node.active
    if active is None:
        return node, ()
    match active.phase:
        case publish.Phase.READING if table is None:
            if active.may_be_written:
                return node, ()
            return _finish_active(
                node,
                refusal(
                    errors.FailureKind.UNAVAILABLE, 'version row not read'
                ),
            )
        case publish.Phase.READING if _is_behind(node, table):
            return node, ()
        case publish.Phase.READING:
            return _write(node, active, table, now)
        case publish.Phase.READING_BACK if table is not None:
            return _read_back(node, active, table, now)
    return node, ()


def write_done(
    node: node_state.NodeState,
    attempt: ids.AttemptId,
    outcome: events.WriteOutcome,
) -> Turn:
    """Continue the active proposal after its write."""
    active = node.active
    if (
        active is None
        or active.write is None
        or active.proposal.attempt != attempt
        or active.phase is not publish.Phase.WRITING
    ):
        return node, ()
    if outcome is events.WriteOutcome.APPLIED:
        return _committed(node, active, active.write)
    if outcome is events.WriteOutcome.NOT_SENT and not active.may_be_written:
        return _finish_active(
            node,
            refusal(errors.FailureKind.UNAVAILABLE, 'table not reachable'),
        )
    # A lost race may be the race against this write's own first sending.
    active = dataclasses.replace(
        active,
        phase=publish.Phase.READING_BACK,
        may_be_written=active.may_be_written
        or outcome is events.WriteOutcome.UNKNOWN,
    )
    return dataclasses.replace(node, active=active, next_read_at=0.0), ()


def expire(node: node_state.NodeState, now: float) -> Turn:
    """Tell the results that are still open after the deadline."""
    effects: Effects = ()
    active = node.active
    if active is not None and _is_late(active, now):
        node, effects = _finish_active(node, _late_result(active))
    late = [item for item in node.distributing if _is_late(item, now)]
    if late:
        effects += tuple(
            events.Finish(
                item.proposal.attempt,
                publish.Pending(
                    item.write.content.row.version,
                    True,
                    acceptance.missing(item.write.content.row, node.knowledge),
                    'acknowledgements are missing',
                ),
            )
            for item in late
            if item.write is not None
        )
        node = dataclasses.replace(
            node,
            distributing=tuple(
                item for item in node.distributing if item not in late
            ),
        )
    return node, effects


def follow(
    node: node_state.NodeState, now: float
) -> tuple[node_state.NodeState, Effects, bool]:
    """Follow acknowledgements.

    Returns
    -------
    node, effects, asks
        `asks` tells that all peers have to be asked for an answer.
    """
    asks = False
    open_items = []
    effects: list[events.Effect] = []
    for item in node.distributing:
        if item.tracker is None:
            continue
        tracker = acceptance.advance(item.tracker, node.knowledge, now)
        asks |= tracker.majority_at is not None and (
            item.tracker.majority_at is None
        )
        item = dataclasses.replace(
            item,
            tracker=tracker,
            acknowledged_at_by_node=_acknowledged(node, item, now),
        )
        version = tracker.row.version
        if node.settled >= version or acceptance.is_in_force(
            tracker, node.knowledge, now
        ):
            node = dataclasses.replace(
                node, settled=max(node.settled, version)
            )
            effects.append(
                events.Finish(
                    item.proposal.attempt,
                    publish.Accepted(
                        version,
                        now - item.started_at,
                        {
                            peer: at - item.started_at
                            for peer, at in (
                                item.acknowledged_at_by_node.items()
                            )
                        },
                    ),
                )
            )
        else:
            open_items.append(item)
    if node.distributing:
        node = dataclasses.replace(node, distributing=tuple(open_items))
    return node, tuple(effects), asks


def refusal(kind: errors.FailureKind, detail: str) -> publish.Refused:
    """Result of a proposal of which nothing was written."""
    return publish.Refused(
        errors.Failure(kind, errors.Step.PUBLISH_CONFIGURATION, '', detail)
    )


def _is_behind(
    node: node_state.NodeState, table: publish.TableState | None
) -> bool:
    """Whether a read is older than the version installed since.

    A change on top of it would lose its race or, where the table service
    has lost rows, use a version number twice.
    """
    installed = node.knowledge.row
    if installed is None or table is None:
        return False
    return table.row is None or table.row.version < installed.version


def _write(
    node: node_state.NodeState,
    active: publish.Publication,
    table: publish.TableState | None,
    now: float,
) -> Turn:
    if table is None:
        return node, ()
    planned = publish.plan(
        active.proposal, table, node.knowledge, node.settled, now
    )
    if not isinstance(planned, publish.Write):
        return _finish_active(node, planned)
    active = dataclasses.replace(
        active,
        phase=publish.Phase.WRITING,
        write=planned,
        may_be_written=False,
    )
    return dataclasses.replace(node, active=active), (
        events.WriteTable(active.proposal.attempt, planned),
    )


def _read_back(
    node: node_state.NodeState,
    active: publish.Publication,
    table: publish.TableState,
    now: float,
) -> Turn:
    write = active.write
    if write is None:
        return node, ()
    written = table.row is not None and publish.was_written(write, table.row)
    if written is None:
        return _finish_active(node, _late_result(active))
    if written:
        return _committed(node, active, write)
    if table.table_version == write.expect_version:
        # The write may still take effect. The same compare-and-set again
        # gives a decision: at most one of the two can be applied.
        active = dataclasses.replace(active, phase=publish.Phase.WRITING)
        return dataclasses.replace(node, active=active), (
            events.WriteTable(active.proposal.attempt, write),
        )
    if active.lost_races >= publish.MAX_LOST_RACES:
        return _finish_active(
            node,
            refusal(errors.FailureKind.CONFLICT, 'lost too many races'),
        )
    active = dataclasses.replace(active, lost_races=active.lost_races + 1)
    return _write(node, active, table, now)


def _committed(
    node: node_state.NodeState,
    active: publish.Publication,
    write: publish.Write,
) -> Turn:
    node, installed = node_state.install(node, write.content)
    item = dataclasses.replace(
        active,
        phase=publish.Phase.DISTRIBUTING,
        tracker=acceptance.Tracker(write.content.row),
    )
    node = dataclasses.replace(
        node, active=None, distributing=(*node.distributing, item)
    )
    return node, (
        *installed,
        *node_state.push_to_all(node, write.content),
    )


def _finish_active(
    node: node_state.NodeState, outcome: publish.Result
) -> Turn:
    active = node.active
    if active is None:
        return node, ()
    return dataclasses.replace(node, active=None), (
        events.Finish(active.proposal.attempt, outcome),
    )


def _is_late(item: publish.Publication, now: float) -> bool:
    return now - item.started_at >= publish.OUTCOME_DEADLINE_S


def _late_result(active: publish.Publication) -> publish.Result:
    if active.write is None or (
        active.phase is publish.Phase.READING and not active.may_be_written
    ):
        return refusal(errors.FailureKind.DEADLINE, active.phase.value)
    return publish.Pending(
        active.write.content.row.version, False, (), active.phase.value
    )


def _acknowledged(
    node: node_state.NodeState, item: publish.Publication, now: float
) -> dict[ids.NodeId, float]:
    if item.tracker is None:
        return {}
    row = item.tracker.row
    return {
        voter[0]: now
        for electorate in state.all_electorates(row)
        for voter in electorate
        if acceptance.has_acknowledged(node.knowledge, voter, row.version)
    } | dict(item.acknowledged_at_by_node)
