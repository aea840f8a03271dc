"""Measures the CPU time and memory that a node uses for its peers.

Nodes form a full mesh and exchange heartbeats.
"""

import dataclasses
import itertools
from typing import Any

from . import capacity_functions
from ..configuration import admission_lease
from ..configuration import events
from ..configuration import node_state
from ..configuration import state_machine
from ..configuration import versions
from ..core import hashing
from ..core import ids
from ..core import types
from ..peers import codec
from ..peers import messages
from . import process_usage
from ..routing import shares

INCARNATION = ids.Incarnation(1_800_000_000_000_000_000)
DOCUMENT = b'{}'
WORKER_SLOTS = 16
SERVICE_SLOTS = 144


def make_members(count: int) -> tuple[versions.Member, ...]:
    """Build members with names and addresses of typical length."""
    return tuple(
        versions.Member(
            ids.NodeId(f'entry-levis-est-{number:04}'),
            INCARNATION,
            types.Address('10.20.30.40', 10_000 + number),
        )
        for number in range(count)
    )


def make_version_row(count: int, version: int = 1) -> versions.VersionRow:
    """Build a version row with a number of members."""
    return versions.VersionRow(
        ids.Version(version),
        ids.Version(version),
        f'{versions.CONTENT_PREFIX}{version}',
        hashing.digest(DOCUMENT),
        make_members(count),
        ids.OperatorId('operator'),
        (),
        ids.AttemptId('attempt'),
        0.0,
    )


def make_heartbeat(at: float, version: int = 1) -> messages.Heartbeat:
    """Build the heartbeat of an idle peer that echoes the latest one."""
    return messages.Heartbeat(
        sent_at=at,
        echo_incarnation=INCARNATION,
        echo_sent_at=at,
        version=ids.Version(version),
        settled=ids.Version(version),
        demand=(
            (ids.ServiceName('modele-atelier'), 0.0),
            (ids.ServiceName('app-comptoir'), 0.0),
        ),
    )


def node_with_peers(count: int) -> node_state.NodeState:
    """Build the state of a node with a heartbeat received from each member."""
    all_members = make_members(count)
    own = all_members[0]
    node = node_state.initial_state(
        own.node, own.incarnation, own.address, 0.0
    )
    node, _ = node_state.install(
        node, versions.VersionedDocument(make_version_row(count), DOCUMENT)
    )
    for member in all_members[1:]:
        node = _receive_heartbeat(node, member.node, 0.1)
    return node


def _receive_heartbeat(
    node: node_state.NodeState, sender: ids.NodeId, at: float
) -> node_state.NodeState:
    event = events.MessageReceived(sender, INCARNATION, make_heartbeat(at))
    return state_machine.step(node, event, at)[0]


def heartbeats_sent(node: node_state.NodeState, now: float) -> tuple[int, int]:
    """Return number and total bytes of heartbeats sent in one interval."""
    _, effects = state_machine.step(node, events.Tick((), 0.0), now)
    bodies = [
        _encode_frame(effect.message)
        for effect in effects
        if isinstance(effect, events.Send)
    ]
    return len(bodies), sum(map(len, bodies))


def _encode_frame(message: messages.Message) -> bytes:
    envelope = messages.Envelope(
        ids.NodeId('entry-levis-est-0001'), INCARNATION, message
    )
    return codec.frame(codec.encode(envelope).unwrap())


def measure_peer_costs(count: int, runs: int) -> dict[str, Any]:
    """Measure the costs of a node with `count` members, all connected."""
    node = node_with_peers(count)
    peers = itertools.cycle(member.node for member in make_members(count)[1:])
    sent, sent_bytes = heartbeats_sent(node, 0.2)
    frame = _encode_frame(make_heartbeat(0.1))
    # Without a recent confirmation by the table, `may_admit` evaluates the
    # confirmations of all peers.
    quorum = dataclasses.replace(node.quorum, table_confirmed_at=-1e9)
    demand = {
        member.node: capacity_functions.NODE_DEMAND
        for member in make_members(count)
    }
    row = make_version_row(count)
    row_json = versions.dump_row(row)

    def measure(call: Any) -> list[float]:
        return capacity_functions.measure_cpu_s(call, runs)

    return {
        'nodes': count,
        'heartbeat_bytes': sent_bytes / max(1, sent),
        'row_bytes': len(row_json),
        'cpu_s': {
            'heartbeat_received': measure(
                lambda: _receive_heartbeat(node, next(peers), 0.1)
            ),
            'heartbeats_made': measure(
                lambda: state_machine.step(node, events.Tick((), 0.0), 0.2)
            ),
            'encode': measure(lambda: _encode_frame(make_heartbeat(0.1))),
            'decode': measure(lambda: codec.decode(frame[4:])),
            'may_admit': measure(
                lambda: admission_lease.may_admit(quorum, 0.2)
            ),
            'row_parsed': measure(lambda: versions.parse_row(row_json)),
            'shares_of_one_worker': measure(
                lambda: shares.worker_shares(
                    ids.WorkerId('worker'), WORKER_SLOTS, demand, SERVICE_SLOTS
                )
            ),
        },
        'memory_bytes': {
            'state': capacity_functions.allocated_bytes(
                lambda: node_with_peers(count)
            ),
        },
        'load_average': process_usage.load_average(),
    }
