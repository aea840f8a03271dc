"""Stand-in for the cloud API: offers, starts, stops and reclaim notices.

In addition to the common faults, `POST /control` accepts these keys:

- `refuse` and `unlist`: lists of patterns, each with any of `zone`,
  `machine_class` and `pricing`. Starts that match either are rejected;
  offers that match `unlist` are also hidden.
- `reclaim`: object with `hosts` or a `zone`, the notice period in `seconds`,
  and `notify: false` for a reclaim without notice. A second reclaim of a
  host applies only if it terminates the host earlier; it then sends a new
  notice, unless `notify` is false.
- `backends`: addresses that are added to those of the settings.
"""

import dataclasses
import threading
import time
from typing import Any, Callable, Mapping, Sequence

import pydantic
import werkzeug
from werkzeug import exceptions
from werkzeug import routing

from ..core import hosts
from ..core import types
from . import server


class OfferSettings(pydantic.BaseModel):
    """One offer, in the format that is sent to clients."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    zone: str
    machine_class: str
    pricing: types.Pricing
    price_per_hour: float = pydantic.Field(gt=0.0)
    reclaims_per_hour: float = pydantic.Field(default=0.0, ge=0.0)
    slots: int = pydantic.Field(gt=0)
    limit: int = pydantic.Field(default=1000, gt=0)

    def matches(self, pattern: Mapping[str, Any]) -> bool:
        """Return whether the offer has all values given in `pattern`."""
        fields_by_name = self.model_dump(mode='json')
        return all(
            fields_by_name[key] == value for key, value in pattern.items()
        )


class HostSettings(pydantic.BaseModel):
    """A host that is running when the stand-in starts."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    id: str
    zone: str
    machine_class: str
    pricing: types.Pricing
    service: str


class BackendSettings(pydantic.BaseModel):
    """Address of the backend server on a host that is started later."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    service: str
    ip: str
    port: int = pydantic.Field(ge=1, le=65535)
    slots: int = pydantic.Field(gt=0)


class Settings(server.ListenSettings):
    """Settings of the cloud stand-in; times in seconds.

    Attributes
    ----------
    backends : tuple of BackendSettings
        Each entry is assigned to one host of its service when it is started.
        Hosts that are started after all entries are used have no address.
    """

    offers: tuple[OfferSettings, ...] = ()
    hosts: tuple[HostSettings, ...] = ()
    backends: tuple[BackendSettings, ...] = ()
    start_delay_s: float = pydantic.Field(default=5.0, ge=0.0)
    notice_s: float = pydantic.Field(default=5.0, ge=0.0)


@dataclasses.dataclass(slots=True)
class _Host:
    id: str
    zone: str
    machine_class: str
    pricing: str
    service: str
    running_at: float
    incarnation: int = 1
    terminates_at: float | None = None
    has_notice: bool = True
    backend: BackendSettings | None = None

    def phase(self, now: float) -> hosts.HostPhase:
        if self.terminates_at is not None and now >= self.terminates_at:
            return hosts.HostPhase.GONE
        if self.terminates_at is not None and self.has_notice:
            return hosts.HostPhase.LEAVING
        if now < self.running_at:
            return hosts.HostPhase.STARTING
        return hosts.HostPhase.RUNNING

    def to_json(self, now: float) -> dict[str, Any]:
        address = (
            self.backend.model_dump(exclude={'service'})
            if self.backend
            else {}
        )
        return address | {
            'id': self.id,
            'zone': self.zone,
            'machine_class': self.machine_class,
            'pricing': self.pricing,
            'service': self.service,
            'phase': self.phase(now).value,
            'incarnation': self.incarnation,
        }


class Cloud:
    """State and request handlers of the cloud stand-in."""

    def __init__(
        self, settings: Settings, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._hosts_by_id = {
            item.id: _Host(running_at=clock(), **item.model_dump(mode='json'))
            for item in settings.hosts
        }
        self._backends = list(settings.backends)
        self._host_by_order: dict[str, _Host] = {}
        self._notified_hosts: list[_Host] = []
        self._refused: Sequence[Mapping[str, Any]] = ()
        self._unlisted: Sequence[Mapping[str, Any]] = ()
        self._url_map = routing.Map(
            [
                routing.Rule('/v1/offers', endpoint=self._list_offers),
                routing.Rule(
                    '/v1/hosts', endpoint=self._list_hosts, methods=['GET']
                ),
                routing.Rule(
                    '/v1/hosts', endpoint=self._start_host, methods=['POST']
                ),
                routing.Rule(
                    '/v1/hosts/<host>',
                    endpoint=self._get_host,
                    methods=['GET'],
                ),
                routing.Rule(
                    '/v1/hosts/<host>',
                    endpoint=self._stop_host,
                    methods=['DELETE'],
                ),
                routing.Rule('/v1/notices', endpoint=self._list_notices),
            ]
        )

    def handle_request(self, request: werkzeug.Request) -> Any:
        """Handle one request."""
        try:
            adapter = self._url_map.bind_to_environ(request.environ)
            endpoint, values = adapter.match()
        except exceptions.HTTPException as error:
            return error
        with self._lock:
            return endpoint(request, **values)

    def control(self, message: Mapping[str, Any]) -> None:
        """Apply the cloud-specific keys of a control message."""
        with self._lock:
            for key, value in message.items():
                match key:
                    case 'refuse':
                        self._refused = value
                    case 'unlist':
                        self._unlisted = value
                    case 'backends':
                        self._backends.extend(
                            map(BackendSettings.model_validate, value)
                        )
                    case 'reclaim':
                        self._reclaim(value)
                    case _:
                        raise ValueError(f'unknown key {key}')

    def _reclaim(self, message: Mapping[str, Any]) -> None:
        now = self._clock()
        seconds = float(message.get('seconds', self._settings.notice_s))
        for host in self._hosts_by_id.values():
            is_selected = host.id in message.get('hosts', ())
            is_in_zone = host.zone == message.get('zone')
            is_earlier = (
                host.terminates_at is None
                or now + seconds < host.terminates_at
            )
            if (is_selected or is_in_zone) and is_earlier:
                host.terminates_at = now + seconds
                host.has_notice = bool(message.get('notify', True))
                if host.has_notice:
                    self._notified_hosts.append(host)

    def _list_offers(self, _request: werkzeug.Request) -> werkzeug.Response:
        return server.json_response(
            {
                'offers': [
                    offer.model_dump(mode='json')
                    for offer in self._settings.offers
                    if not any(map(offer.matches, self._unlisted))
                ]
            }
        )

    def _list_hosts(self, _request: werkzeug.Request) -> werkzeug.Response:
        now = self._clock()
        return server.json_response(
            {
                'hosts': [
                    host.to_json(now)
                    for host in self._hosts_by_id.values()
                    if host.phase(now) is not hosts.HostPhase.GONE
                ]
            }
        )

    def _start_host(self, request: werkzeug.Request) -> werkzeug.Response:
        message = server.read_json(request)
        now = self._clock()
        try:
            order_id = message['order_id']
            fields = {
                key: message[key]
                for key in ('zone', 'machine_class', 'pricing', 'service')
            }
        except (LookupError, TypeError) as error:
            return server.json_response({'error': repr(error)}, 400)
        if order_id in self._host_by_order:
            return server.json_response(
                self._host_by_order[order_id].to_json(now)
            )
        pattern = {
            key: value for key, value in fields.items() if key != 'service'
        }
        offer = next(
            (
                offer
                for offer in self._settings.offers
                if offer.matches(pattern)
            ),
            None,
        )
        refused = offer is None or any(
            map(offer.matches, (*self._refused, *self._unlisted))
        )
        if refused:
            return server.json_response({'error': 'no capacity'}, 409)
        host = _Host(
            id=f'host-{len(self._hosts_by_id) + 1}',
            running_at=now + self._settings.start_delay_s,
            backend=self._pop_backend(fields['service']),
            **fields,
        )
        self._hosts_by_id[host.id] = host
        self._host_by_order[order_id] = host
        return server.json_response(host.to_json(now), 201)

    def _pop_backend(self, service: str) -> BackendSettings | None:
        for index, backend in enumerate(self._backends):
            if backend.service == service:
                return self._backends.pop(index)
        return None

    def _get_host(
        self, _request: werkzeug.Request, host: str
    ) -> werkzeug.Response:
        """Return the record of a host, which is kept after termination."""
        if host not in self._hosts_by_id:
            return server.json_response({'error': 'unknown host'}, 404)
        record = self._hosts_by_id[host]
        return server.json_response(record.to_json(self._clock()))

    def _stop_host(
        self, _request: werkzeug.Request, host: str
    ) -> werkzeug.Response:
        now = self._clock()
        if host not in self._hosts_by_id:
            return server.json_response({'error': 'unknown host'}, 404)
        record = self._hosts_by_id[host]
        record.terminates_at = min(now, record.terminates_at or now)
        return server.json_response(record.to_json(now))

    def _list_notices(self, request: werkzeug.Request) -> werkzeug.Response:
        now = self._clock()
        after = request.args.get('after', 0, type=int)
        return server.json_response(
            {
                'notices': [
                    {
                        'number': number,
                        'host': host.id,
                        'incarnation': host.incarnation,
                        'seconds_left': max(
                            0.0, (host.terminates_at or now) - now
                        ),
                    }
                    for number, host in enumerate(self._notified_hosts, 1)
                    if number > after
                ]
            }
        )


def run(settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT."""
    cloud = Cloud(settings)
    return server.serve(
        werkzeug.Request.application(cloud.handle_request),
        settings.ip,
        settings.port,
        settings.threads,
        cloud.control,
    )


def main(path: str) -> int:
    """Serve with settings read from the YAML file at `path`."""
    return run(server.load_settings(path, Settings))
