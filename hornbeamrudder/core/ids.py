"""Identifier types and generation of unique ids."""

import random
import typing

NodeId = typing.NewType('NodeId', str)
HostId = typing.NewType('HostId', str)
WorkerId = typing.NewType('WorkerId', str)
ServiceName = typing.NewType('ServiceName', str)
AccountId = typing.NewType('AccountId', str)
OperatorId = typing.NewType('OperatorId', str)
RequestId = typing.NewType('RequestId', str)
AttemptId = typing.NewType('AttemptId', str)
RegionName = typing.NewType('RegionName', str)
DataCentreName = typing.NewType('DataCentreName', str)
MachineClass = typing.NewType('MachineClass', str)
Version = typing.NewType('Version', int)
Incarnation = typing.NewType('Incarnation', int)
FencingNumber = typing.NewType('FencingNumber', int)

RANDOM_PART_BITS = 96
RANDOM_PART_HEX_DIGITS = 24


def new_request_id(node: NodeId, rng: random.Random) -> RequestId:
    """Generate a request id prefixed with the id of the accepting node."""
    return RequestId(f'{node}-{_random_part(rng)}')


def new_attempt_id(node: NodeId, rng: random.Random) -> AttemptId:
    """Generate an id for one attempt at a write or a dispatch."""
    return AttemptId(f'{node}-{_random_part(rng)}')


def accepting_node(request: RequestId) -> NodeId:
    """Return the node that accepted a request, taken from the request id.

    Returns
    -------
    NodeId
        Empty if `request` has no node prefix.
    """
    return NodeId(request.rpartition('-')[0])


def _random_part(rng: random.Random) -> str:
    return f'{rng.getrandbits(RANDOM_PART_BITS):0{RANDOM_PART_HEX_DIGITS}x}'
