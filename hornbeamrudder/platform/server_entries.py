"""Decodes the registration entries of backend servers in the store."""

from typing import Any, Mapping

from ..core import errors
from ..core import ids
from ..gateway import records
from ..rollouts import state as rollout_state
from . import settings

TABLE = 'servers'
# Bounds on the numbers of an entry; larger ones are another writer's.
MAX_SLOTS = 1_000_000
MAX_MS = 2**53
MAX_DETAIL = 200
_STATE_BY_NAME = {
    'ready': records.ServerState.READY,
    'draining': records.ServerState.LEAVING,
}


def decode(key: str, fields: Any) -> records.BackendServer | errors.Failure:
    """Decode one registration entry.

    Entries are written by other programs and may have missing or malformed
    fields; such an entry gives a Failure instead of raising.
    """
    try:
        return _decode(key, fields)
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
    ) as error:
        return errors.Failure(
            errors.FailureKind.INVALID,
            errors.Step.READ_HOST_LIST,
            key,
            f'malformed entry: {error!r}'[:MAX_DETAIL],
        )


def _decode(key: str, fields: Mapping[str, Any]) -> records.BackendServer:
    for name in ('service', 'address', 'zone', 'state'):
        if not isinstance(fields[name], str):
            raise TypeError(f'{name} must be a string')
    slots = fields['slots']
    if (
        isinstance(slots, bool)
        or not isinstance(slots, int)
        or not 0 < slots <= MAX_SLOTS
    ):
        raise ValueError('slots must be a positive integer')
    leaves_ms = fields.get('leaves_ms')
    return records.BackendServer(
        id=ids.WorkerId(key),
        started=records.StartedMs(
            int(_decode_ms(fields.get('born') or 0, whole=True))
        ),
        service=ids.ServiceName(fields['service']),
        address=settings.decode_address(fields['address']),
        data_centre=ids.DataCentreName(fields['zone']),
        slots=slots,
        state=_STATE_BY_NAME[fields['state']],
        cold_s=_decode_ms(fields.get('coldRemainingMs') or 0) / 1e3,
        reclaimable=bool(fields.get('spot')),
        leaves_in_s=None if leaves_ms is None else _decode_ms(leaves_ms) / 1e3,
        version=rollout_state.SoftwareVersion(
            str(fields.get('version') or '')
        ),
    )


def _decode_ms(value: Any, whole: bool = False) -> float:
    """Return a number of milliseconds.

    Raises
    ------
    TypeError, ValueError
        It is no number, or one that no time can have.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError('a time must be a number')
    if not 0 <= value <= MAX_MS or (whole and value != int(value)):
        raise ValueError('a time is out of range')
    return value
