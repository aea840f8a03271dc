"""Decodes the entries with which backend servers register in the store."""

from typing import Any, Mapping

from ..core import errors
from ..core import ids
from ..gateway import records
from . import settings

TABLE = 'servers'
_STATE_BY_WORD = {
    'ready': records.ServerState.READY,
    'draining': records.ServerState.LEAVING,
}


def decode(key: str, fields: Any) -> records.BackendServer | errors.Failure:
    """Translate one entry.

    Other writers may leave entries with missing or malformed fields; such an
    entry names no backend server.
    """
    try:
        return _decode(key, fields)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return errors.Failure(
            errors.FailureKind.INVALID,
            errors.Step.READ_HOST_LIST,
            key,
            f'malformed entry: {error!r}',
        )


def _decode(key: str, fields: Mapping[str, Any]) -> records.BackendServer:
    for name in ('service', 'address', 'zone', 'state'):
        if not isinstance(fields[name], str):
            raise TypeError(f'{name} is not a text')
    slots = fields['slots']
    if isinstance(slots, bool) or not isinstance(slots, int) or slots < 1:
        raise ValueError('slots is not a positive whole number')
    leaves_ms = fields.get('leaves_ms')
    return records.BackendServer(
        id=ids.WorkerId(key),
        started=records.StartedMs(int(fields.get('born') or 0)),
        service=ids.ServiceName(fields['service']),
        address=settings.decode_address(fields['address']),
        data_centre=ids.DataCentreName(fields['zone']),
        slots=slots,
        state=_STATE_BY_WORD[fields['state']],
        cold_s=float(fields.get('coldRemainingMs') or 0) / 1e3,
        reclaimable=bool(fields.get('spot')),
        leaves_in_s=None if leaves_ms is None else float(leaves_ms) / 1e3,
    )
