"""Client of the platform's cloud API: usage reports and scaling."""

import dataclasses
from typing import Mapping

from ..core import errors
from ..core import ids
from ..core import types
from ..gateway import byte_limits
from ..gateway import json_client

CALL_TIMEOUT_S = 2.0
_OK = 200
_CONFLICT = 409


@dataclasses.dataclass(frozen=True, slots=True)
class DutyHolder:
    """Node that holds the duties, with the fencing number of its term."""

    node: ids.NodeId
    fencing: ids.FencingNumber


class CloudApi:
    """Cloud API client; errors are returned as values."""

    def __init__(self, address: types.Address) -> None:
        self.caller = json_client.JsonClient(
            address, errors.Step.CALL_CLOUD, byte_limits.MAX_ACK_BODY_BYTES
        )

    async def report_usage(
        self,
        holder: DutyHolder,
        window: int,
        requests_by_account: Mapping[ids.AccountId, int],
    ) -> None | errors.Failure:
        """Report the number of requests of each account in a usage window.

        Returns
        -------
        None or Failure
            CONFLICT if the cloud has seen a higher fencing number.
        """
        return await self._call(
            '/usage',
            holder,
            {'window': window, 'counts': dict(requests_by_account)},
        )

    async def set_desired_servers(
        self,
        holder: DutyHolder,
        service: ids.ServiceName,
        data_centre: ids.DataCentreName,
        count: int,
        reclaimable: bool,
    ) -> None | errors.Failure:
        """Set the desired number of backend servers of a service in a zone.

        Returns
        -------
        None or Failure
            CONFLICT if the cloud currently has no capacity of this kind or,
            where it checks fencing numbers, has seen a higher one.
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
        self, path: str, holder: DutyHolder, body: Mapping[str, object]
    ) -> None | errors.Failure:
        response = await self.caller.call(
            'POST',
            path,
            body,
            timeout_s=CALL_TIMEOUT_S,
            headers=(
                ('X-Hornbeamrudder-Duty-Holder', holder.node),
                ('X-Hornbeamrudder-Fencing-Token', str(holder.fencing)),
            ),
        )
        if isinstance(response, errors.Failure):
            return response
        if response.status == _OK:
            return None
        kind = (
            errors.FailureKind.CONFLICT
            if response.status == _CONFLICT
            else errors.FailureKind.REFUSED
        )
        return errors.Failure(
            kind,
            errors.Step.CALL_CLOUD,
            str(self.caller.address),
            f'status {response.status} for {path}: {response.body}',
        )
