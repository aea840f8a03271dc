"""Steps for the sums of figures over all nodes, in virtual time."""

import json

import behave
import msgpack

from hornbeamrudder.gateway.features import node_network
from hornbeamrudder.gateway import reports
from hornbeamrudder.gateway import shared_sums

TOPIC = shared_sums.Topic('test')


@behave.given('{count:d} nodes that publish figures')
def given_publishers(context, count):
    context.network = node_network.SimulatedNetwork(count)
    for number, node in context.network.node_by_number.items():
        node.state.sums.publish(
            TOPIC, {'all': (1.0, float(number)), number: (2.0,)}
        )


@behave.given('{count:d} nodes')
def given_nodes(context, count):
    context.network = node_network.SimulatedNetwork(count)


@behave.when('{seconds:d} seconds pass for the sums')
def when_time_passes(context, seconds):
    context.network.is_partitioned = lambda sender, receiver: False
    context.network.advance(seconds)


@behave.when('node {number:d} is lost without a word')
def when_node_is_lost(context, number):
    # Its registration stays, as after a crash.
    network = context.network
    network.is_partitioned = lambda sender, receiver: (
        number
        in (
            sender,
            receiver,
        )
    )
    del network.node_by_number[number]


@behave.when('the nodes from {first:d} on are cut off for {seconds:d} seconds')
def when_cut_off(context, first, seconds):
    context.first_cut_off = first
    context.network.is_partitioned = lambda sender, receiver: (
        (sender < first) != (receiver < first)
    )
    context.network.advance(seconds)


@behave.then('every node knows the sums over all nodes')
def then_all_summed(context):
    _check(context, set(context.network.node_by_number))


@behave.then('each node knows the sums over its own half')
def then_half_summed(context):
    numbers = set(context.network.node_by_number)
    cut_off = {n for n in numbers if n >= context.first_cut_off}
    _check(context, cut_off, cut_off)
    _check(context, numbers - cut_off, numbers - cut_off)


def _check(context, summed, nodes=None):
    expected = {'all': (float(len(summed)), float(sum(summed)))} | {
        number: (2.0,) for number in summed
    }
    for number in nodes or summed:
        state = context.network.node_by_number[number].state
        found = state.sums.total(TOPIC)
        assert found == expected, (number, found, expected)


@behave.then('each hub sends all digests of loads before those of sums')
def then_loads_first(context):
    network = context.network
    sent = []
    send = network.send

    def record(sender, number, data):
        sent.append(
            (sender.number, network.now, reports.decode(msgpack.unpackb(data)))
        )
        send(sender, number, data)

    network.send = record
    network.advance(2)
    seen = set()
    for number, now, message in sent:
        match message:
            case shared_sums.Sums(is_digest=True):
                seen.add((number, now))
            case reports.LoadDigest():
                assert (number, now) not in seen, (number, now)
    assert seen


@behave.then('no datagram with sums was sent')
def then_none_sent(context):
    for node in context.network.node_by_number.values():
        assert node.state.sums.report() is None
        assert not list(node.state.sums.digests(['n1']))


@behave.then('the datagram {fields} with sums is malformed')
def then_malformed(context, fields):
    assert reports.decode(json.loads(fields)) is None
