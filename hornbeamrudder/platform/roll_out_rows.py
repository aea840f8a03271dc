"""Decodes orders of roll-outs; encodes and decodes their states."""

import dataclasses
import math
from typing import Any, Mapping

from ..core import errors
from ..core import ids
from ..rollouts import state

TABLE = 'status'
ORDER_PREFIX = 'rollout/'
MAX_DURATION_S = 1e7
MAX_DETAIL = 200
_NAME_BY_PHASE = {
    state.Phase.COMPLETED: 'completed',
    state.Phase.ROLLED_BACK: 'rolled_back',
}
_RUNNING = 'running'


def row_key(service: ids.ServiceName) -> str:
    """Return the key of a service's order, and of its state."""
    return ORDER_PREFIX + service


def service_of(key: str) -> ids.ServiceName | None:
    """Return the service of an order or a state; None for other rows."""
    if not key.startswith(ORDER_PREFIX):
        return None
    return ids.ServiceName(key.removeprefix(ORDER_PREFIX))


def decode_order(
    key: str, fields: Any, version: int
) -> state.Order | errors.Failure:
    """Decode an operator's order.

    Parameters
    ----------
    version : int
        Version of the row, which is another one for each order.
    """
    try:
        duration_s = float(fields['durationS'])
        if not isinstance(fields['to'], str) or not fields['to']:
            raise TypeError('a version must be a string')
        if not 0 < duration_s <= MAX_DURATION_S:
            raise ValueError('durationS is out of range')
        return state.Order(
            ids.ServiceName(key.removeprefix(ORDER_PREFIX)),
            state.SoftwareVersion(fields['to']),
            duration_s,
            state.OrderNumber(version),
        )
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        return _failure(key, error)


def encode_state(rollout: state.RollOut) -> Mapping[str, Any]:
    """Return the row of a state, with what a later holder goes on from."""
    return {
        'service': rollout.service,
        'state': _NAME_BY_PHASE.get(rollout.phase, _RUNNING),
        'to': rollout.target,
        'phase': rollout.phase.value,
        'reason': rollout.reason,
        'order': rollout.order,
        'since': rollout.since,
        'due': rollout.due_at,
        'base': rollout.base,
        'barred': sorted(rollout.barred),
        'number': rollout.number,
        'counts': dataclasses.asdict(rollout.counts),
    }


def decode_state(key: str, fields: Any) -> state.RollOut | errors.Failure:
    """Decode the row of a state."""
    try:
        base = fields['base']
        counts = fields['counts']
        since, due_at = float(fields['since']), float(fields['due'])
        if not (math.isfinite(since) and math.isfinite(due_at)):
            raise ValueError('a time is out of range')
        return state.RollOut(
            ids.ServiceName(key.removeprefix(ORDER_PREFIX)),
            state.SoftwareVersion(str(fields['to'])),
            state.OrderNumber(int(fields['order'])),
            state.Phase(fields['phase']),
            since,
            due_at,
            None if base is None else state.SoftwareVersion(str(base)),
            frozenset(
                state.SoftwareVersion(str(item)) for item in fields['barred']
            ),
            ids.FencingNumber(int(fields['number'])),
            str(fields['reason']),
            state.Counts(
                **{
                    field.name: int(counts.get(field.name) or 0)
                    for field in dataclasses.fields(state.Counts)
                }
            ),
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
    ) as error:
        return _failure(key, error)


def _failure(key: str, error: Exception) -> errors.Failure:
    return errors.Failure(
        errors.FailureKind.INVALID,
        errors.Step.READ_TABLE,
        key,
        f'malformed row: {error!r}'[:MAX_DETAIL],
    )
