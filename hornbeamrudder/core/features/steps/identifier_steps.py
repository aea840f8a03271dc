"""Steps for identifiers and hashes."""

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


@behave.given('{count:d} keys placed on workers "{names}" by rendezvous order')
def place_keys(context, count, names):
    context.names = names.split(',')
    context.place_by_key = {
        str(key): hashing.rendezvous_order(str(key), context.names)[0]
        for key in range(count)
    }


@behave.when('worker "{name}" is removed')
def remove_worker(context, name):
    remaining = [other for other in context.names if other != name]
    context.new_place_by_key = {
        key: hashing.rendezvous_order(key, remaining)[0]
        for key in context.place_by_key
    }


@behave.then('only keys placed on "{name}" have moved')
def check_moved_keys(context, name):
    moved_from = {
        place
        for key, place in context.place_by_key.items()
        if place != context.new_place_by_key[key]
    }
    assert moved_from == {name}, moved_from
