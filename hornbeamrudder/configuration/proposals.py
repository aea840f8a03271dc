"""Processing of proposals: read, write, read back, distribute.

The functions have no side effects.
"""

import dataclasses

from . import acceptance
from ..core import errors
from ..core import ids
from . import events
from . import node_state
from . import publish
from . import versions

MAX_QUEUED_PROPOSALS = 100

Effects = node_state.Effects
Transition = tuple[node_state.NodeState, Effects]


def enqueue(
    node: node_state.NodeState, proposal: publish.Proposal
) -> node_state.NodeState:
    """Queue a proposal of an operator, with its base document if known."""
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


def start_next(node: node_state.NodeState, now: float) -> Transition:
    """Start the next proposal; refuse those above the queue limit."""
    excess, queue = (
        node.queue[MAX_QUEUED_PROPOSALS:],
        node.queue[:MAX_QUEUED_PROPOSALS],
    )
    refused = tuple(
        events.CompleteProposal(
            proposal.attempt,
            refusal(errors.FailureKind.OVERLOADED, 'too many proposals'),
        )
        for proposal in excess
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


def on_table_read(
    node: node_state.NodeState,
    table: publish.TableState | None,
    now: float,
) -> Transition:
    """Advance the active proposal after a read of the version row."""
    active = node.active
    if active is None:
        return node, ()
    match active.phase:
        case publish.Phase.READING if table is None:
            if active.write_in_doubt:
                return node, ()
            return _finish_active(
                node,
                refusal(
                    errors.FailureKind.UNAVAILABLE, 'version row not read'
                ),
            )
        case publish.Phase.READING if _is_stale(node, table):
            return node, ()
        case publish.Phase.READING:
            return _write(node, active, table, now)
        case publish.Phase.READING_BACK if table is not None:
            return _read_back(node, active, table, now)
    return node, ()


def on_write_completed(
    node: node_state.NodeState,
    attempt: ids.AttemptId,
    outcome: events.WriteOutcome,
) -> Transition:
    """Advance the active proposal after its write."""
    active = node.active
    if (
        active is None
        or active.write is None
        or active.proposal.attempt != attempt
        or active.phase is not publish.Phase.WRITING
    ):
        return node, ()
    if outcome is events.WriteOutcome.APPLIED:
        return _on_commit(node, active, active.write)
    if outcome is events.WriteOutcome.NOT_SENT and not active.write_in_doubt:
        return _finish_active(
            node,
            refusal(errors.FailureKind.UNAVAILABLE, 'table not reachable'),
        )
    # The mismatch may be caused by an earlier try of this same write.
    active = dataclasses.replace(
        active,
        phase=publish.Phase.READING_BACK,
        write_in_doubt=active.write_in_doubt
        or outcome is events.WriteOutcome.UNKNOWN,
    )
    return dataclasses.replace(node, active=active, next_read_at=0.0), ()


def expire(node: node_state.NodeState, now: float) -> Transition:
    """Complete the proposals that have no result by the deadline."""
    effects: Effects = ()
    active = node.active
    if active is not None and _is_overdue(active, now):
        node, effects = _finish_active(node, _deadline_result(active))
    overdue = [item for item in node.distributing if _is_overdue(item, now)]
    if overdue:
        effects += tuple(
            events.CompleteProposal(
                item.proposal.attempt,
                publish.Pending(
                    item.write.content.row.version,
                    True,
                    acceptance.missing_nodes(
                        item.write.content.row, node.quorum
                    ),
                    'acknowledgements are missing',
                ),
            )
            for item in overdue
            if item.write is not None
        )
        node = dataclasses.replace(
            node,
            distributing=tuple(
                item for item in node.distributing if item not in overdue
            ),
        )
    return node, effects


def update_distributing(
    node: node_state.NodeState, now: float
) -> tuple[node_state.NodeState, Effects, bool]:
    """Update the proposals that wait for acknowledgements.

    Returns
    -------
    node, effects, needs_answers
        `needs_answers` is set if all peers have to be asked for an answer.
    """
    needs_answers = False
    incomplete = []
    effects: list[events.Effect] = []
    for item in node.distributing:
        if item.tracker is None:
            continue
        tracker = acceptance.advance(item.tracker, node.quorum, now)
        needs_answers |= tracker.majority_at is not None and (
            item.tracker.majority_at is None
        )
        item = dataclasses.replace(
            item,
            tracker=tracker,
            acknowledged_at_by_node=_acknowledgement_times(node, item, now),
        )
        version = tracker.row.version
        if node.settled >= version or acceptance.is_in_force(
            tracker, node.quorum, now
        ):
            node = dataclasses.replace(
                node, settled=max(node.settled, version)
            )
            effects.append(
                events.CompleteProposal(
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
            incomplete.append(item)
    if node.distributing:
        node = dataclasses.replace(node, distributing=tuple(incomplete))
    return node, tuple(effects), needs_answers


def refusal(kind: errors.FailureKind, detail: str) -> publish.Refused:
    """Return the result of a proposal that wrote nothing."""
    return publish.Refused(
        errors.Failure(kind, errors.Step.PUBLISH_CONFIGURATION, '', detail)
    )


def _is_stale(
    node: node_state.NodeState, table: publish.TableState | None
) -> bool:
    """Whether a read returned a lower version than the installed one.

    The compare-and-set of a change to it would fail or, if the table
    service has lost rows, a version number would be used twice.
    """
    installed = node.quorum.row
    if installed is None or table is None:
        return False
    return table.row is None or table.row.version < installed.version


def _write(
    node: node_state.NodeState,
    active: publish.Publication,
    table: publish.TableState | None,
    now: float,
) -> Transition:
    if table is None:
        return node, ()
    planned = publish.plan(
        active.proposal, table, node.quorum, node.settled, now
    )
    if not isinstance(planned, publish.Write):
        return _finish_active(node, planned)
    active = dataclasses.replace(
        active,
        phase=publish.Phase.WRITING,
        write=planned,
        write_in_doubt=False,
    )
    return dataclasses.replace(node, active=active), (
        events.WriteTable(active.proposal.attempt, planned),
    )


def _read_back(
    node: node_state.NodeState,
    active: publish.Publication,
    table: publish.TableState,
    now: float,
) -> Transition:
    write = active.write
    if write is None:
        return node, ()
    written = table.row is not None and publish.was_written(write, table.row)
    if written is None:
        return _finish_active(node, _deadline_result(active))
    if written:
        return _on_commit(node, active, write)
    if table.table_version == write.expect_version:
        # The write may still take effect. Sending the same compare-and-set
        # again decides it: at most one of the two can be applied.
        active = dataclasses.replace(active, phase=publish.Phase.WRITING)
        return dataclasses.replace(node, active=active), (
            events.WriteTable(active.proposal.attempt, write),
        )
    if active.version_mismatches >= publish.MAX_VERSION_MISMATCHES:
        return _finish_active(
            node,
            refusal(errors.FailureKind.CONFLICT, 'lost too many races'),
        )
    active = dataclasses.replace(
        active, version_mismatches=active.version_mismatches + 1
    )
    return _write(node, active, table, now)


def _on_commit(
    node: node_state.NodeState,
    active: publish.Publication,
    write: publish.Write,
) -> Transition:
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
) -> Transition:
    active = node.active
    if active is None:
        return node, ()
    return dataclasses.replace(node, active=None), (
        events.CompleteProposal(active.proposal.attempt, outcome),
    )


def _is_overdue(item: publish.Publication, now: float) -> bool:
    return now - item.started_at >= publish.OUTCOME_DEADLINE_S


def _deadline_result(active: publish.Publication) -> publish.Result:
    if active.write is None or (
        active.phase is publish.Phase.READING and not active.write_in_doubt
    ):
        return refusal(errors.FailureKind.DEADLINE, active.phase.value)
    return publish.Pending(
        active.write.content.row.version, False, (), active.phase.value
    )


def _acknowledgement_times(
    node: node_state.NodeState, item: publish.Publication, now: float
) -> dict[ids.NodeId, float]:
    if item.tracker is None:
        return {}
    row = item.tracker.row
    return {
        voter[0]: now
        for voter_set in versions.required_voter_sets(row)
        for voter in voter_set
        if acceptance.has_acknowledged(node.quorum, voter, row.version)
    } | dict(item.acknowledged_at_by_node)
