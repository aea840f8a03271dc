"""Client of the cloud API: offers, hosts and reclaim notices."""

from typing import Any, Callable, TypeVar
from urllib import parse as urls

from returns import result

from ..core import errors
from ..core import hosts
from ..core import ids
from ..core import types
from . import http
from . import json_call

TIMEOUT_S = 2.0

Value = TypeVar('Value')


class CloudClient:
    """Cloud API client; errors are returned as values."""

    def __init__(
        self, client: http.HttpClient, peer: str, timeout_s: float = TIMEOUT_S
    ) -> None:
        self._client = client
        self._peer = peer
        self._timeout_s = timeout_s

    def offers(self) -> result.Result[tuple[hosts.Offer, ...], errors.Failure]:
        """List the host types that can currently be started."""
        return self._call(
            'GET',
            '/v1/offers',
            lambda body: tuple(map(parse_offer, body['offers'])),
        )

    def list_hosts(
        self,
    ) -> result.Result[tuple[hosts.CloudHost, ...], errors.Failure]:
        """List the hosts of this cloud account."""
        return self._call(
            'GET',
            '/v1/hosts',
            lambda body: tuple(map(parse_host, body['hosts'])),
        )

    def find_host(
        self, host: ids.HostId
    ) -> result.Result[hosts.CloudHost, errors.Failure]:
        """Read the record of a host, which remains after its termination.

        Only a record with phase GONE proves that the host has terminated; a
        failure of kind NOT_FOUND may be about a host of another account.
        """
        path = f'/v1/hosts/{urls.quote(host, safe="")}'
        return self._call('GET', path, parse_host)

    def start_host(
        self, order_id: str, offer: hosts.OfferKey, service: ids.ServiceName
    ) -> result.Result[hosts.CloudHost, errors.Failure]:
        """Start a host.

        A failure of kind REFUSED guarantees that no host was started. After
        TIMEOUT or INTERRUPTED the call may be retried with the same
        `order_id`, for which the cloud API starts at most one host.
        """
        body = {
            'order_id': order_id,
            'zone': offer.zone,
            'machine_class': offer.machine_class,
            'pricing': offer.pricing.value,
            'service': service,
        }
        return self._call('POST', '/v1/hosts', parse_host, body)

    def stop_host(
        self, host: ids.HostId
    ) -> result.Result[hosts.CloudHost, errors.Failure]:
        """Stop a host; the call is idempotent."""
        path = f'/v1/hosts/{urls.quote(host, safe="")}'
        return self._call('DELETE', path, parse_host)

    def notices(
        self, after: int
    ) -> result.Result[tuple[hosts.ReclaimNotice, ...], errors.Failure]:
        """List the reclaim notices with a sequence number above `after`."""
        return self._call(
            'GET',
            f'/v1/notices?after={after}',
            lambda body: tuple(map(parse_notice, body['notices'])),
        )

    def _call(
        self,
        method: str,
        path: str,
        parse: Callable[[Any], Value],
        body: Any = None,
    ) -> result.Result[Value, errors.Failure]:
        request = json_call.request(
            method,
            self._peer,
            path,
            errors.Step.CALL_CLOUD,
            self._timeout_s,
            body,
        )
        return json_call.call(self._client, request, parse)


def parse_offer_key(item: Any) -> hosts.OfferKey:
    """Parse zone, machine class and pricing from decoded JSON."""
    pricing = types.Pricing(item['pricing'])
    return hosts.OfferKey(
        ids.DataCentreName(str(item['zone'])),
        ids.MachineClass(str(item['machine_class'])),
        pricing is types.Pricing.RECLAIMABLE,
    )


def parse_offer(item: Any) -> hosts.Offer:
    """Parse an offer from decoded JSON."""
    return hosts.Offer(
        parse_offer_key(item),
        float(item['price_per_hour']),
        float(item['reclaims_per_hour']),
        int(item['slots']),
        int(item['limit']),
    )


def parse_host(item: Any) -> hosts.CloudHost:
    """Parse a host record from decoded JSON."""
    return hosts.CloudHost(
        ids.HostId(str(item['id'])),
        parse_offer_key(item),
        ids.ServiceName(str(item['service'])),
        hosts.HostPhase(item['phase']),
        ids.Incarnation(int(item['incarnation'])),
        types.Address(str(item['ip']), int(item['port']))
        if item.get('ip') is not None
        else None,
        int(item.get('slots', 0)),
    )


def parse_notice(item: Any) -> hosts.ReclaimNotice:
    """Parse a reclaim notice from decoded JSON."""
    return hosts.ReclaimNotice(
        int(item['number']),
        ids.HostId(str(item['host'])),
        ids.Incarnation(int(item['incarnation'])),
        float(item['seconds_left']),
    )
