"""Sums of figures over all nodes, exchanged with the reports.

Each part of a node publishes figures under a topic of its own and reads their
sums over the other nodes. In small deployments every node adds up the reports
of all the others; in large ones the hubs add them up and return the sums
without the recipient's own part, as for the load of backend servers.

The figures of a node that is no longer heard drop out of the sums, so a topic
holds what is true now. A part that needs totals that outlast a node keeps
them itself.
"""

import dataclasses
from typing import Any, Iterable, Mapping, NewType, Sequence

from ..core import ids

Topic = NewType('Topic', str)
# Names, or hashes of names as `reports.server_key` gives them.
Key = str | int
Figures = tuple[float, ...]
ByKey = Mapping[Key, Figures]
ByTopic = Mapping[Topic, ByKey]


@dataclasses.dataclass(frozen=True, slots=True)
class Sums:
    """Figures of one node, or their sums at a hub.

    Attributes
    ----------
    node : NodeId
        The node itself, or the hub that has added up.
    started : int
        Start of its process in Unix milliseconds.
    is_digest : bool
        Whether these are the sums of a hub over all nodes but the recipient.
    """

    node: ids.NodeId
    started: int
    is_digest: bool
    by_topic: ByTopic

    def pack(self) -> list[Any]:
        """Return the fields of a datagram."""
        return [
            self.node,
            self.started,
            self.is_digest,
            [
                (topic, list(by_key.items()))
                for topic, by_key in self.by_topic.items()
            ],
        ]


def unpack(fields: Sequence[Any]) -> Sums:
    """Decode the fields of a datagram.

    Raises
    ------
    TypeError, ValueError
        Another program has sent it.
    """
    node, started, is_digest, topics = fields
    return Sums(
        ids.NodeId(str(node)),
        int(started),
        bool(is_digest),
        {
            Topic(str(topic)): {
                _unpack_key(key): tuple(map(float, figures))
                for key, figures in items
            }
            for topic, items in topics
        },
    )


def _unpack_key(key: Any) -> Key:
    if isinstance(key, bool) or not isinstance(key, (str, int)):
        raise TypeError(f'{key!r} is no key')
    return key


def add(items: Iterable[ByTopic]) -> dict[Topic, dict[Key, Figures]]:
    """Sum figures by topic and key.

    Figures of different lengths, as nodes of two versions may send them, are
    summed up to the shorter one.
    """
    total: dict[Topic, dict[Key, Figures]] = {}
    for by_topic in items:
        for topic, by_key in by_topic.items():
            subtotal = total.setdefault(topic, {})
            for key, figures in by_key.items():
                known = subtotal.get(key)
                subtotal[key] = (
                    figures
                    if known is None
                    else tuple(map(sum, zip(known, figures)))
                )
    return total


class SharedSums:
    """Figures of this node, and the sums over the others.

    Attributes
    ----------
    own : dict
        Figures that this node publishes, by topic and key. Its parts write
        here; a topic without keys is not sent.
    """

    def __init__(self, node: ids.NodeId, started: int) -> None:
        self.own: dict[Topic, dict[Key, Figures]] = {}
        self._node = node
        self._started = started
        self._by_node: dict[ids.NodeId, Sums] = {}
        self._by_hub: dict[ids.NodeId, Sums] = {}
        self._others: dict[Topic, dict[Key, Figures]] | None = None
        self._live: frozenset[ids.NodeId] = frozenset()
        self._source: ids.NodeId | None = None

    def publish(self, topic: Topic, by_key: Mapping[Key, Figures]) -> None:
        """Replace the figures of a topic."""
        self.own[topic] = dict(by_key)

    def others(self, topic: Topic) -> ByKey:
        """Return the sums over the other nodes, as last heard."""
        if self._others is None:
            self._others = self._add_up()
        return self._others.get(topic, {})

    def total(self, topic: Topic) -> dict[Key, Figures]:
        """Return the sums over all nodes, this one included."""
        return add(
            [{topic: self.others(topic)}, {topic: self.own.get(topic, {})}]
        ).get(topic, {})

    # Used by the exchange

    def apply(self, message: Sums) -> None:
        """Store the figures of another node, or the sums of a hub."""
        if message.node == self._node:
            return
        by_sender = self._by_hub if message.is_digest else self._by_node
        by_sender[message.node] = message
        self._others = None

    def set_nodes(
        self, live: frozenset[ids.NodeId], source: ids.NodeId | None
    ) -> None:
        """Set which nodes are heard, and the hub that adds up for this one.

        Parameters
        ----------
        source : NodeId or None
            None if this node adds up the reports itself.
        """
        if (live, source) == (self._live, self._source):
            return
        self._live, self._source = live, source
        self._others = None
        self._by_node = {
            node: sums for node, sums in self._by_node.items() if node in live
        }

    def report(self) -> Sums | None:
        """Return the figures of this node; None if there are none."""
        own = {topic: keys for topic, keys in self.own.items() if keys}
        if not own:
            return None
        return Sums(self._node, self._started, False, own)

    def digests(
        self, recipients: Iterable[ids.NodeId]
    ) -> Iterable[tuple[ids.NodeId, Sums]]:
        """Return the sums for each node that reports to this hub."""
        by_node = {self._node: self.own} | {
            node: sums.by_topic for node, sums in self._by_node.items()
        }
        total = add(by_node.values())
        if not any(total.values()):
            return
        for node in recipients:
            yield (
                node,
                Sums(
                    self._node,
                    self._started,
                    True,
                    _subtract(total, by_node.get(node, {})),
                ),
            )

    def _add_up(self) -> dict[Topic, dict[Key, Figures]]:
        if self._source is not None:
            digest = self._by_hub.get(self._source)
            return add([digest.by_topic]) if digest else {}
        return add(sums.by_topic for sums in self._by_node.values())


def _subtract(
    total: ByTopic, part: ByTopic
) -> dict[Topic, dict[Key, Figures]]:
    """Subtract one node's figures; leaves out keys of that node alone."""
    remaining: dict[Topic, dict[Key, Figures]] = {}
    for topic, by_key in total.items():
        own = part.get(topic, {})
        remaining[topic] = {
            key: tuple(
                figure - less
                for figure, less in zip(
                    figures, own.get(key, (0.0,) * len(figures))
                )
            )
            for key, figures in by_key.items()
            if figures != own.get(key)
        }
    return remaining
