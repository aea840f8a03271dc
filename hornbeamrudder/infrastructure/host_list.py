"""Client of the host list, which lags behind the actual host states."""

from typing import Any

from returns import result

from ..core import errors
from ..core import hosts
from ..core import ids
from . import http
from . import json_call

TIMEOUT_S = 2.0


class HostListClient:
    """Host list client; errors are returned as values."""

    def __init__(
        self, client: http.HttpClient, peer: str, timeout_s: float = TIMEOUT_S
    ) -> None:
        self._client = client
        self._peer = peer
        self._timeout_s = timeout_s

    def list_hosts(
        self,
    ) -> result.Result[tuple[hosts.ListedHost, ...], errors.Failure]:
        """List the live and leaving hosts; the result may be out of date."""
        request = json_call.request(
            'GET',
            self._peer,
            '/v1/hosts',
            errors.Step.READ_HOST_LIST,
            self._timeout_s,
        )
        return json_call.call(self._client, request, _parse_list)


def _parse_list(body: Any) -> tuple[hosts.ListedHost, ...]:
    return tuple(
        hosts.ListedHost(
            ids.HostId(str(item['id'])),
            ids.Incarnation(int(item['incarnation'])),
            item['state'] == 'leaving',
        )
        for item in body['hosts']
    )
