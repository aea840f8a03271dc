"""Steps for request ids and rendezvous hashing."""

import random

import behave

from hornbeamrudder.core import hashing
from hornbeamrudder.core import ids


@behave.given('a request id made by node "{node}"')
def make_request_id(context, node):
    context.request_id = ids.new_request_id(ids.NodeId(node), random.Random(1))


@behave.then('its accepting node is "{node}"')
def check_accepting_node(context, node):
    assert ids.accepting_node(context.request_id) == node


@behave.given(
    '{count:d} keys assigned to workers "{names}" by rendezvous hashing'
)
def assign_keys(context, count, names):
    context.names = names.split(',')
    context.worker_by_key = {
        str(key): hashing.rendezvous_order(str(key), context.names)[0]
        for key in range(count)
    }


@behave.when('worker "{name}" is removed')
def remove_worker(context, name):
    remaining = [other for other in context.names if other != name]
    context.new_worker_by_key = {
        key: hashing.rendezvous_order(key, remaining)[0]
        for key in context.worker_by_key
    }


@behave.then('only keys assigned to "{name}" have been remapped')
def check_remapped_keys(context, name):
    remapped_from = {
        worker
        for key, worker in context.worker_by_key.items()
        if worker != context.new_worker_by_key[key]
    }
    assert remapped_from == {name}, remapped_from
