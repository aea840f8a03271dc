"""State machine of a node: maps events to effects, without I/O."""

import dataclasses
import math
from typing import Mapping

from . import acceptance
from . import admission_lease
from ..core import ids
from . import events
from . import membership
from . import node_state
from ..peers import messages
from ..peers import view as peer_view
from . import proposals
from . import publish
from . import versions

HEARTBEAT_INTERVAL_S = 0.5
TABLE_POLL_INTERVAL_S = 1.0
# Minimum time between pushes of a document to a peer that lags behind.
PUSH_RETRY_INTERVAL_S = 1.0
MAX_RELEASED_PROCESSES = 64
# A read without a result for this time no longer blocks the next one.
READ_TIMEOUT_S = 10.0

Effects = node_state.Effects


def step(
    node: node_state.NodeState, event: events.Event, now: float
) -> tuple[node_state.NodeState, Effects]:
    """Handle an event; return the new state and the effects.

    Parameters
    ----------
    now : float
        Time in seconds by the node's clock.
    """
    effects: Effects
    match event:
        case events.Tick(connected, wall):
            node = dataclasses.replace(node, connected=connected, wall=wall)
            node, effects = _tick(node, now)
        case events.MessageReceived(sender, incarnation, message):
            node, effects = _on_message(
                node, sender, incarnation, message, now
            )
        case events.TableRead(sent_at, table):
            node, effects = _on_table_read(node, sent_at, table, now)
        case events.WriteCompleted(attempt, outcome):
            node, effects = proposals.on_write_completed(
                node, attempt, outcome
            )
        case events.ChangeProposed(proposal):
            node, effects = proposals.enqueue(node, proposal), ()
        case events.StopRequested():
            node, effects = _begin_stop(node), ()
        case events.ProcessEnded(voter):
            ended = node.quorum.ended | {voter}
            node, effects = node_state.update_quorum(node, ended=ended), ()
        case events.HeartbeatReport():
            node = dataclasses.replace(
                node,
                demand=event.demand,
                leaving=event.leaving,
                small_demand=event.small_demand,
                rates=event.rates,
            )
            effects = ()
    node, started = proposals.start_next(node, now)
    node, read = _read_when_due(node, now)
    node, notified = _update_acceptance(node, now)
    node, released = _release_when_done(node)
    return node, (*effects, *started, *read, *notified, *released)


def _tick(
    node: node_state.NodeState, now: float
) -> tuple[node_state.NodeState, Effects]:
    heartbeats: Effects = ()
    if now >= node.next_heartbeat_at:
        heartbeats = _heartbeats(node, now)
        node = dataclasses.replace(
            node, next_heartbeat_at=now + HEARTBEAT_INTERVAL_S
        )
    node = membership.evict_departed(membership.propose_if_due(node, now), now)
    node, late = proposals.expire(node, now)
    return node, (*heartbeats, *late)


def _heartbeats(
    node: node_state.NodeState, now: float, wants_answer: bool = False
) -> Effects:
    return tuple(
        events.Send(peer, _heartbeat(node, peer, now, wants_answer))
        for peer in node_state.recipients(node)
    )


def _heartbeat(
    node: node_state.NodeState,
    peer: ids.NodeId,
    now: float,
    wants_answer: bool = False,
) -> messages.Heartbeat:
    quorum = node.quorum
    known_peer = node.view.peers_by_node.get(peer)
    return messages.Heartbeat(
        sent_at=now,
        echo_incarnation=(
            known_peer.incarnation if known_peer else ids.Incarnation(0)
        ),
        echo_sent_at=known_peer.heartbeat.sent_at if known_peer else 0.0,
        version=_version(node),
        settled=node.settled,
        released=quorum.released,
        wants_answer=wants_answer,
        releases=tuple(
            messages.Released(*voter, version)
            for voter, version in quorum.released_versions.items()
        ),
        demand=node.demand,
        leaving=node.leaving,
        small_demand=node.small_demand,
        rates=node.rates,
        may_admit=admission_lease.may_admit(quorum, now),
    )


def _version(node: node_state.NodeState) -> ids.Version:
    row = node.quorum.row
    return row.version if row else ids.Version(0)


def _on_message(
    node: node_state.NodeState,
    sender: ids.NodeId,
    incarnation: ids.Incarnation,
    message: messages.Message,
    now: float,
) -> tuple[node_state.NodeState, Effects]:
    if sender == node.quorum.node:
        return node, ()
    match message:
        case messages.Heartbeat():
            return _on_heartbeat(node, sender, incarnation, message, now)
        case messages.ConfigurationAck(version, released):
            status = admission_lease.PeerStatus(
                incarnation, version, released, now
            )
            return _record_peer_status(node, sender, status), ()
        case messages.Release(version):
            status = admission_lease.PeerStatus(
                incarnation, version, True, now
            )
            return _record_peer_status(node, sender, status), ()
        case messages.ConfigurationPush(row, document):
            return _on_push(node, sender, row, document)
        case _:
            return node, ()


def _on_heartbeat(
    node: node_state.NodeState,
    sender: ids.NodeId,
    incarnation: ids.Incarnation,
    heartbeat: messages.Heartbeat,
    now: float,
) -> tuple[node_state.NodeState, Effects]:
    answers_this_process = (
        heartbeat.echo_incarnation == node.quorum.incarnation
        and heartbeat.echo_sent_at <= now
    )
    status = admission_lease.PeerStatus(
        incarnation,
        heartbeat.version,
        heartbeat.released,
        now,
        heartbeat.echo_sent_at if answers_this_process else -math.inf,
    )
    node = dataclasses.replace(
        _record_peer_status(node, sender, status),
        view=peer_view.record_heartbeat(
            node.view, sender, incarnation, heartbeat, now
        ),
        settled=max(node.settled, heartbeat.settled),
    )
    node = _add_releases(
        node,
        {
            (item.node, item.incarnation): item.version
            for item in heartbeat.releases
        },
    )
    effects: list[events.Effect] = []
    if heartbeat.wants_answer:
        effects.append(events.Send(sender, _heartbeat(node, sender, now)))
    pushed_at = node.pushed_at_by_node.get(sender, -math.inf)
    if (
        node.installed is not None
        and heartbeat.version < node.installed.row.version
        and not heartbeat.released
        and now - pushed_at >= PUSH_RETRY_INTERVAL_S
    ):
        push = messages.ConfigurationPush(
            versions.dump_row(node.installed.row), node.installed.document
        )
        effects.append(events.Send(sender, push))
        node = dataclasses.replace(
            node,
            pushed_at_by_node={**node.pushed_at_by_node, sender: now},
        )
    return node, tuple(effects)


def _record_peer_status(
    node: node_state.NodeState,
    sender: ids.NodeId,
    status: admission_lease.PeerStatus,
) -> node_state.NodeState:
    known = node.quorum.peer_status_by_node
    node = node_state.update_quorum(
        node,
        peer_status_by_node={
            **known,
            sender: admission_lease.merge_status(known.get(sender), status),
        },
    )
    if status.released:
        return _add_releases(
            node, {(sender, status.incarnation): status.version}
        )
    return node


def _add_releases(
    node: node_state.NodeState, releases: Mapping[versions.Voter, ids.Version]
) -> node_state.NodeState:
    known = node.quorum.released_versions
    if all(voter in known for voter in releases):
        return node
    row = node.quorum.row
    required = (
        {
            voter
            for voter_set in versions.required_voter_sets(row)
            for voter in voter_set
        }
        if row
        else releases.keys() | known.keys()
    )
    kept = {
        voter: version
        for voter, version in {**releases, **known}.items()
        if voter in required
    }
    return node_state.update_quorum(
        node,
        released_versions=dict(list(kept.items())[:MAX_RELEASED_PROCESSES]),
    )


def _on_push(
    node: node_state.NodeState, sender: ids.NodeId, row: bytes, document: bytes
) -> tuple[node_state.NodeState, Effects]:
    content = (
        versions.parse_row(row)
        .bind(lambda parsed: versions.parse_content(parsed, document))
        .value_or(None)
    )
    if content is None:
        return node, ()
    node, installed = node_state.install(node, content)
    ack = messages.ConfigurationAck(_version(node), node.quorum.released)
    return node, (*installed, events.Send(sender, ack))


def _on_table_read(
    node: node_state.NodeState,
    sent_at: float,
    table: publish.TableState | None,
    now: float,
) -> tuple[node_state.NodeState, Effects]:
    node = dataclasses.replace(node, read_sent_at=None)
    installed: Effects = ()
    if table is not None:
        node = dataclasses.replace(node, table=table, table_read_at=sent_at)
        row = table.row
        if row is not None and table.document is not None:
            node, installed = node_state.install(
                node, versions.VersionedDocument(row, table.document)
            )
        if row is not None and row.version <= _version(node):
            node = node_state.update_quorum(
                node,
                table_confirmed_at=max(
                    node.quorum.table_confirmed_at, sent_at
                ),
            )
    node, effects = proposals.on_table_read(node, table, now)
    return node, (*installed, *effects)


def _begin_stop(node: node_state.NodeState) -> node_state.NodeState:
    if node.quorum.stopping:
        return node
    return membership.propose_leave(
        node_state.update_quorum(node, stopping=True)
    )


def _release_when_done(
    node: node_state.NodeState,
) -> tuple[node_state.NodeState, Effects]:
    """Release once the removal is in force, refused or past its deadline."""
    if (
        not node.quorum.stopping
        or node.quorum.released
        or node.active is not None
        or node.queue
        or node.distributing
    ):
        return node, ()
    node = node_state.update_quorum(node, released=True)
    release = messages.Release(_version(node))
    return node, tuple(
        events.Send(peer, release) for peer in node_state.recipients(node)
    )


def _read_when_due(
    node: node_state.NodeState, now: float
) -> tuple[node_state.NodeState, Effects]:
    reading = (
        node.read_sent_at is not None
        and now - node.read_sent_at < READ_TIMEOUT_S
    )
    if reading or (now < node.next_read_at and not proposals.needs_read(node)):
        return node, ()
    node = dataclasses.replace(
        node, read_sent_at=now, next_read_at=now + TABLE_POLL_INTERVAL_S
    )
    return node, (events.ReadTable(now),)


def _update_acceptance(
    node: node_state.NodeState, now: float
) -> tuple[node_state.NodeState, Effects]:
    """Update the acceptance of the installed and the proposed versions."""
    before = node.settled
    tracker = node.tracker
    if tracker is not None and tracker.row.version > node.settled:
        tracker = acceptance.advance(tracker, node.quorum, now)
        node = dataclasses.replace(node, tracker=tracker)
        if acceptance.is_in_force(tracker, node.quorum, now):
            node = dataclasses.replace(node, settled=tracker.row.version)
    node, finished, needs_answers = proposals.update_distributing(node, now)
    heartbeats = (
        _heartbeats(node, now, wants_answer=True) if needs_answers else ()
    )
    in_force = (
        (events.VersionInForce(node.settled),) if node.settled > before else ()
    )
    return node, (*finished, *heartbeats, *in_force)
