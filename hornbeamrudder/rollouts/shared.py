"""Figures of a roll-out as the nodes exchange them; no I/O.

Each order has a topic of its own in the sums over all nodes, so figures of an
earlier roll-out are never counted.
"""

import dataclasses
from typing import Mapping, NamedTuple

from ..core import ids
from . import evidence
from ..gateway import records
from ..gateway import shared_sums
from . import state

_NODE_KEY = '.'
_PREFIX_BY_SIDE = {state.Side.OLD: '-', state.Side.NEW: '+'}
# Servers with bad answers that a node tells the others of.
MAX_SERVERS = 40

ByRoute = Mapping[records.RouteName, evidence.Tally]


class NodeFigures(NamedTuple):
    """Figures of a node, or their sums.

    Attributes
    ----------
    confirmed : int
        Nodes to which the store has confirmed lately that all requests are
        transferred.
    transferred : int
        Nodes that send nothing to other versions any more, as the store or a
        node that counts as `confirmed` has told them.
    outside_runs : int
        Requests in progress at servers of other versions.
    halted : int
        Nodes that have found the new version to be bad.
    requests : int
        Requests to the service since the order.
    sent : int
        Requests sent to the new version.
    """

    confirmed: int = 0
    transferred: int = 0
    outside_runs: int = 0
    halted: int = 0
    requests: int = 0
    sent: int = 0


class ServerFigures(NamedTuple):
    """Bad answers of a server of the new version.

    Attributes
    ----------
    broken : int
        Answers that broke; those of a crash are not among the bad ones.
    """

    bad: int = 0
    broken: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Totals:
    """Figures of one node, or their sums."""

    node: NodeFigures = NodeFigures()
    old_by_route: ByRoute = dataclasses.field(default_factory=dict)
    new_by_route: ByRoute = dataclasses.field(default_factory=dict)
    by_server: Mapping[int, ServerFigures] = dataclasses.field(
        default_factory=dict
    )

    def counts(self) -> state.Counts:
        """Return the counts for the operator."""
        new = evidence.total(self.new_by_route)
        old = evidence.total(self.old_by_route)
        return state.Counts(
            self.node.requests,
            self.node.sent,
            new.answers,
            new.bad,
            old.answers,
            old.bad,
        )


def topic(service: ids.ServiceName, order: int) -> shared_sums.Topic:
    """Return the topic of an order."""
    return shared_sums.Topic(f'rollout/{service}/{order}')


def pack(totals: Totals) -> dict[shared_sums.Key, shared_sums.Figures]:
    """Return figures by key, as a node publishes them."""
    worst = sorted(
        totals.by_server.items(), key=lambda item: item[1], reverse=True
    )
    return {
        _NODE_KEY: totals.node,
        **{
            _PREFIX_BY_SIDE[side] + route: tally
            for side, by_route in (
                (state.Side.OLD, totals.old_by_route),
                (state.Side.NEW, totals.new_by_route),
            )
            for route, tally in by_route.items()
        },
        **dict(worst[:MAX_SERVERS]),
    }


def unpack(by_key: shared_sums.ByKey) -> Totals:
    """Return the totals of a topic; unknown keys are left out."""
    by_side: dict[str, dict[records.RouteName, evidence.Tally]] = {
        prefix: {
            records.RouteName(key[1:]): evidence.add(evidence.Tally(), figures)
            for key, figures in by_key.items()
            if isinstance(key, str) and key.startswith(prefix)
        }
        for prefix in _PREFIX_BY_SIDE.values()
    }
    return Totals(
        NodeFigures(*map(int, by_key.get(_NODE_KEY, ())[:6])),
        by_side[_PREFIX_BY_SIDE[state.Side.OLD]],
        by_side[_PREFIX_BY_SIDE[state.Side.NEW]],
        {
            key: ServerFigures(*map(int, figures[:2]))
            for key, figures in by_key.items()
            if isinstance(key, int)
        },
    )


def since(now: Totals, before: Totals) -> Totals:
    """Return what was added after earlier totals."""

    def added(current: ByRoute, earlier: ByRoute) -> ByRoute:
        return {
            route: evidence.subtract(
                tally, earlier.get(route, evidence.Tally())
            )
            for route, tally in current.items()
        }

    return Totals(
        now.node,
        added(now.old_by_route, before.old_by_route),
        added(now.new_by_route, before.new_by_route),
        {
            server: ServerFigures(
                max(0, figures.bad - before.by_server[server].bad)
                if server in before.by_server
                else figures.bad,
                figures.broken,
            )
            for server, figures in now.by_server.items()
        },
    )
