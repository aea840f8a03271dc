"""Duties at the platform's cloud API: usage reports, orders of servers."""

import dataclasses
from typing import Mapping

from ..core import errors
from ..core import ids
from ..core import types
from ..gateway import json_calls

CALL_TIMEOUT_S = 2.0
_OK = 200
_NONE_AVAILABLE = 409


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The node that holds a duty, and the number of its term."""

    node: ids.NodeId
    fencing: ids.FencingNumber


class CloudApi:
    """Calls to the cloud API."""

    def __init__(self, address: types.Address) -> None:
        self.caller = json_calls.JsonCaller(address, errors.Step.CALL_CLOUD)

    async def report_usage(
        self,
        holder: Holder,
        window: int,
        requests_by_account: Mapping[ids.AccountId, int],
    ) -> None | errors.Failure:
        """Report the requests of each account in one window."""
        return await self._call(
            '/usage',
            holder,
            {'window': window, 'counts': dict(requests_by_account)},
        )

    async def order_servers(
        self,
        holder: Holder,
        service: ids.ServiceName,
        data_centre: ids.DataCentreName,
        count: int,
        reclaimable: bool,
    ) -> None | errors.Failure:
        """Order a number of backend servers of one kind.

        Returns
        -------
        None or Failure
            CONFLICT where none are to be had at the moment.
        """
        body: dict[str, object] = {
            'service': service,
            'zone': data_centre,
            'desired': count,
        }
        if reclaimable:
            body['spot'] = True
        return await self._call('/scale', holder, body)

    async def _call(
        self, path: str, holder: Holder, body: Mapping[str, object]
    ) -> None | errors.Failure:
        answer = await self.caller.call(
            'POST',
            path,
            body,
            timeout_s=CALL_TIMEOUT_S,
            headers=(
                ('X-Hornbeamrudder-Duty-Holder', holder.node),
                ('X-Hornbeamrudder-Fencing-Token', str(holder.fencing)),
            ),
        )
        if isinstance(answer, errors.Failure):
            return answer
        if answer.status == _OK:
            return None
        kind = (
            errors.FailureKind.CONFLICT
            if answer.status == _NONE_AVAILABLE
            else errors.FailureKind.REFUSED
        )
        return errors.Failure(
            kind,
            errors.Step.CALL_CLOUD,
            str(self.caller.address),
            f'status {answer.status} for {path}: {answer.body}',
        )
