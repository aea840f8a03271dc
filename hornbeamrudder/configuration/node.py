"""State machine of one node: events in, effects out; no I/O."""

import dataclasses
import math
from typing import Mapping

from . import acceptance
from ..core import ids
from . import currency
from . import events
from . import membership
from . import node_state
from ..peers import messages
from ..peers import view as peer_view
from . import proposals
from . import publish
from . import state

HEARTBEAT_S = 0.5
POLL_S = 1.0
# A peer that lags gets the document again after this time.
PUSH_AGAIN_S = 1.0
MAX_RELEASES = 64
# A read that has not ended after this time is taken as lost.
READ_LOST_S = 10.0

Effects = node_state.Effects


def step(
    node: node_state.NodeState, event: events.Event, now: float
) -> tuple[node_state.NodeState, Effects]:
    """Handle one event.

    Parameters
    ----------
    now : float
        Clock of this node, in seconds.
    """
    effects: Effects
    match event:
        case events.Tick(connected, wall):
            node = dataclasses.replace(node, connected=connected, wall=wall)
            node, effects = _tick(node, now)
        case events.Received(sender, incarnation, message):
            node, effects = _received(node, sender, incarnation, message, now)
        case events.RowRead(sent_at, table):
            node, effects = _row_read(node, sent_at, table, now)
        case events.WriteDone(attempt, outcome):
            node, effects = proposals.write_done(node, attempt, outcome)
        case events.Propose(proposal):
            node, effects = proposals.enqueue(node, proposal), ()
        case events.ReleaseSelf():
            node, effects = _stop(node), ()
        case events.Ended(voter):
            ended = node.knowledge.ended | {voter}
            node, effects = node_state.know(node, ended=ended), ()
        case events.Report():
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
    node, told = _evaluate(node, now)
    node, released = _release_when_done(node)
    return node, (*effects, *started, *read, *told, *released)


def _tick(
    node: node_state.NodeState, now: float
) -> tuple[node_state.NodeState, Effects]:
    beats: Effects = ()
    if now >= node.next_heartbeat_at:
        beats = _heartbeats(node, now)
        node = dataclasses.replace(node, next_heartbeat_at=now + HEARTBEAT_S)
    node = membership.forget_departed(
        membership.propose_when_due(node, now), now
    )
    node, late = proposals.expire(node, now)
    return node, (*beats, *late)


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
    knowledge = node.knowledge
    heard = node.view.peers_by_node.get(peer)
    return messages.Heartbeat(
        sent_at=now,
        echo_incarnation=(heard.incarnation if heard else ids.Incarnation(0)),
        echo_sent_at=heard.heartbeat.sent_at if heard else 0.0,
        version=_version(node),
        settled=node.settled,
        released=knowledge.released,
        wants_answer=wants_answer,
        releases=tuple(
            messages.Released(*voter, version)
            for voter, version in knowledge.released_versions.items()
        ),
        demand=node.demand,
        leaving=node.leaving,
        small_demand=node.small_demand,
        rates=node.rates,
        may_admit=currency.may_admit(knowledge, now),
    )


def _version(node: node_state.NodeState) -> ids.Version:
    row = node.knowledge.row
    return row.version if row else ids.Version(0)


def _received(
    node: node_state.NodeState,
    sender: ids.NodeId,
    incarnation: ids.Incarnation,
    message: messages.Message,
    now: float,
) -> tuple[node_state.NodeState, Effects]:
    if sender == node.knowledge.node:
        return node, ()
    match message:
        case messages.Heartbeat():
            return _heartbeat_received(node, sender, incarnation, message, now)
        case messages.ConfigurationAck(version, released):
            heard = currency.Heard(incarnation, version, released, now)
            return _hear(node, sender, heard), ()
        case messages.Release(version):
            heard = currency.Heard(incarnation, version, True, now)
            return _hear(node, sender, heard), ()
        case messages.ConfigurationPush(row, document):
            return _push_received(node, sender, row, document)
        case _:
            return node, ()


def _heartbeat_received(
    node: node_state.NodeState,
    sender: ids.NodeId,
    incarnation: ids.Incarnation,
    heartbeat: messages.Heartbeat,
    now: float,
) -> tuple[node_state.NodeState, Effects]:
    answers_this_process = (
        heartbeat.echo_incarnation == node.knowledge.incarnation
        and heartbeat.echo_sent_at <= now
    )
    heard = currency.Heard(
        incarnation,
        heartbeat.version,
        heartbeat.released,
        now,
        heartbeat.echo_sent_at if answers_this_process else -math.inf,
    )
    node = dataclasses.replace(
        _hear(node, sender, heard),
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
        node.content is not None
        and heartbeat.version < node.content.row.version
        and not heartbeat.released
        and now - pushed_at >= PUSH_AGAIN_S
    ):
        push = messages.ConfigurationPush(
            state.dump_row(node.content.row), node.content.document
        )
        effects.append(events.Send(sender, push))
        node = dataclasses.replace(
            node,
            pushed_at_by_node={**node.pushed_at_by_node, sender: now},
        )
    return node, tuple(effects)


def _hear(
    node: node_state.NodeState, sender: ids.NodeId, heard: currency.Heard
) -> node_state.NodeState:
    known = node.knowledge.heard_by_node
    node = node_state.know(
        node,
        heard_by_node={
            **known,
            sender: currency.merge_heard(known.get(sender), heard),
        },
    )
    if heard.released:
        return _add_releases(
            node, {(sender, heard.incarnation): heard.version}
        )
    return node


def _add_releases(
    node: node_state.NodeState, releases: Mapping[state.Voter, ids.Version]
) -> node_state.NodeState:
    known = node.knowledge.released_versions
    if all(voter in known for voter in releases):
        return node
    row = node.knowledge.row
    wanted = (
        {
            voter
            for electorate in state.all_electorates(row)
            for voter in electorate
        }
        if row
        else releases.keys() | known.keys()
    )
    kept = {
        voter: version
        for voter, version in {**releases, **known}.items()
        if voter in wanted
    }
    return node_state.know(
        node, released_versions=dict(list(kept.items())[:MAX_RELEASES])
    )


def _push_received(
    node: node_state.NodeState, sender: ids.NodeId, row: bytes, document: bytes
) -> tuple[node_state.NodeState, Effects]:
    content = (
        state.parse_row(row)
        .bind(lambda parsed: state.parse_content(parsed, document))
        .value_or(None)
    )
    if content is None:
        return node, ()
    node, installed = node_state.install(node, content)
    ack = messages.ConfigurationAck(_version(node), node.knowledge.released)
    return node, (*installed, events.Send(sender, ack))


def _row_read(
    node: node_state.NodeState,
    sent_at: float,
    table: publish.TableState | None,
    now: float,
) -> tuple[node_state.NodeState, Effects]:
    node = dataclasses.replace(node, reading_since=None)
    installed: Effects = ()
    if table is not None:
        node = dataclasses.replace(node, table=table, table_at=sent_at)
        row = table.row
        if row is not None and table.document is not None:
            node, installed = node_state.install(
                node, state.Content(row, table.document)
            )
        if row is not None and row.version <= _version(node):
            node = node_state.know(
                node,
                table_confirmed_at=max(
                    node.knowledge.table_confirmed_at, sent_at
                ),
            )
    node, effects = proposals.row_read(node, table, now)
    return node, (*installed, *effects)


def _stop(node: node_state.NodeState) -> node_state.NodeState:
    if node.knowledge.stopping:
        return node
    return membership.propose_leave(node_state.know(node, stopping=True))


def _release_when_done(
    node: node_state.NodeState,
) -> tuple[node_state.NodeState, Effects]:
    """Release once the removal is in force, refused, or late."""
    if (
        not node.knowledge.stopping
        or node.knowledge.released
        or node.active is not None
        or node.queue
        or node.distributing
    ):
        return node, ()
    node = node_state.know(node, released=True)
    release = messages.Release(_version(node))
    return node, tuple(
        events.Send(peer, release) for peer in node_state.recipients(node)
    )


def _read_when_due(
    node: node_state.NodeState, now: float
) -> tuple[node_state.NodeState, Effects]:
    reading = (
        node.reading_since is not None
        and now - node.reading_since < READ_LOST_S
    )
    if reading or (now < node.next_read_at and not proposals.needs_read(node)):
        return node, ()
    node = dataclasses.replace(
        node, reading_since=now, next_read_at=now + POLL_S
    )
    return node, (events.ReadTable(now),)


def _evaluate(
    node: node_state.NodeState, now: float
) -> tuple[node_state.NodeState, Effects]:
    """Follow the acceptance of the installed and the published versions."""
    before = node.settled
    tracker = node.tracker
    if tracker is not None and tracker.row.version > node.settled:
        tracker = acceptance.advance(tracker, node.knowledge, now)
        node = dataclasses.replace(node, tracker=tracker)
        if acceptance.is_in_force(tracker, node.knowledge, now):
            node = dataclasses.replace(node, settled=tracker.row.version)
    node, finished, asks = proposals.follow(node, now)
    beats = _heartbeats(node, now, wants_answer=True) if asks else ()
    in_force = (events.InForce(node.settled),) if node.settled > before else ()
    return node, (*finished, *beats, *in_force)
