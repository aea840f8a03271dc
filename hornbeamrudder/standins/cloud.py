"""Stand-in of the cloud API: offers, starts, stops and reclaim notices.

`POST /control` also takes `refuse` and `unlist` (lists of patterns with any
of zone, machine_class and pricing), `reclaim` with `hosts` or a whole
`zone`, `seconds` of notice, and `notify: false` for a reclaim without one,
and `backends`, which adds to those of the settings. A second reclaim of a
host takes effect, with a notice, where it is earlier.
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
    """One offer, as it is sent to clients."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    zone: str
    machine_class: str
    pricing: types.Pricing
    price_per_hour: float = pydantic.Field(gt=0.0)
    reclaims_per_hour: float = pydantic.Field(default=0.0, ge=0.0)
    slots: int = pydantic.Field(gt=0)
    limit: int = pydantic.Field(default=1000, gt=0)

    def matches(self, pattern: Mapping[str, Any]) -> bool:
        """Whether every key of `pattern` has this offer's value."""
        own = self.model_dump(mode='json')
        return all(own[key] == value for key, value in pattern.items())


class HostSettings(pydantic.BaseModel):
    """A host that runs from the start."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    id: str
    zone: str
    machine_class: str
    pricing: types.Pricing
    service: str


class BackendSettings(pydantic.BaseModel):
    """A backend server for the next started host of a service."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    service: str
    ip: str
    port: int = pydantic.Field(ge=1, le=65535)
    slots: int = pydantic.Field(gt=0)


class Settings(server.ListenSettings):
    """Settings of the cloud stand-in, times in seconds.

    Attributes
    ----------
    backends : tuple of BackendSettings
        Each is the address of one host that is started later; hosts that
        are started when none is left have no address.
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
    runs_at: float
    incarnation: int = 1
    ends_at: float | None = None
    notified: bool = True
    backend: BackendSettings | None = None

    def phase(self, now: float) -> hosts.HostPhase:
        if self.ends_at is not None and now >= self.ends_at:
            return hosts.HostPhase.GONE
        if self.ends_at is not None and self.notified:
            return hosts.HostPhase.LEAVING
        if now < self.runs_at:
            return hosts.HostPhase.STARTING
        return hosts.HostPhase.RUNNING

    def message(self, now: float) -> dict[str, Any]:
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
    """State of the cloud stand-in and the answers to requests."""

    def __init__(
        self, settings: Settings, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._hosts_by_id = {
            item.id: _Host(runs_at=clock(), **item.model_dump(mode='json'))
            for item in settings.hosts
        }
        self._backends = list(settings.backends)
        self._host_by_order: dict[str, _Host] = {}
        self._notified_hosts: list[_Host] = []
        self._refused: Sequence[Mapping[str, Any]] = ()
        self._unlisted: Sequence[Mapping[str, Any]] = ()
        self._urls = routing.Map(
            [
                routing.Rule('/v1/offers', endpoint=self._offers),
                routing.Rule(
                    '/v1/hosts', endpoint=self._hosts, methods=['GET']
                ),
                routing.Rule(
                    '/v1/hosts', endpoint=self._start, methods=['POST']
                ),
                routing.Rule(
                    '/v1/hosts/<host>', endpoint=self._find, methods=['GET']
                ),
                routing.Rule(
                    '/v1/hosts/<host>',
                    endpoint=self._stop,
                    methods=['DELETE'],
                ),
                routing.Rule('/v1/notices', endpoint=self._notices),
            ]
        )

    def answer(self, request: werkzeug.Request) -> Any:
        """Answer one request."""
        try:
            adapter = self._urls.bind_to_environ(request.environ)
            endpoint, values = adapter.match()
        except exceptions.HTTPException as error:
            return error
        with self._lock:
            return endpoint(request, **values)

    def control(self, message: Mapping[str, Any]) -> None:
        """Apply the keys of a control message that concern the cloud."""
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
            named = host.id in message.get('hosts', ())
            in_zone = host.zone == message.get('zone')
            earlier = host.ends_at is None or now + seconds < host.ends_at
            if (named or in_zone) and earlier:
                host.ends_at = now + seconds
                host.notified = bool(message.get('notify', True))
                if host.notified:
                    self._notified_hosts.append(host)

    def _offers(self, _request: werkzeug.Request) -> werkzeug.Response:
        return server.json_response(
            {
                'offers': [
                    offer.model_dump(mode='json')
                    for offer in self._settings.offers
                    if not any(map(offer.matches, self._unlisted))
                ]
            }
        )

    def _hosts(self, _request: werkzeug.Request) -> werkzeug.Response:
        now = self._clock()
        return server.json_response(
            {
                'hosts': [
                    host.message(now)
                    for host in self._hosts_by_id.values()
                    if host.phase(now) is not hosts.HostPhase.GONE
                ]
            }
        )

    def _start(self, request: werkzeug.Request) -> werkzeug.Response:
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
                self._host_by_order[order_id].message(now)
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
            runs_at=now + self._settings.start_delay_s,
            backend=self._take_backend(fields['service']),
            **fields,
        )
        self._hosts_by_id[host.id] = host
        self._host_by_order[order_id] = host
        return server.json_response(host.message(now), 201)

    def _take_backend(self, service: str) -> BackendSettings | None:
        for number, backend in enumerate(self._backends):
            if backend.service == service:
                return self._backends.pop(number)
        return None

    def _find(
        self, _request: werkzeug.Request, host: str
    ) -> werkzeug.Response:
        """Answer with the record of a host, which is kept after its end."""
        if host not in self._hosts_by_id:
            return server.json_response({'error': 'unknown host'}, 404)
        found = self._hosts_by_id[host]
        return server.json_response(found.message(self._clock()))

    def _stop(
        self, _request: werkzeug.Request, host: str
    ) -> werkzeug.Response:
        now = self._clock()
        if host not in self._hosts_by_id:
            return server.json_response({'error': 'unknown host'}, 404)
        found = self._hosts_by_id[host]
        found.ends_at = min(now, found.ends_at or now)
        return server.json_response(found.message(now))

    def _notices(self, request: werkzeug.Request) -> werkzeug.Response:
        now = self._clock()
        after = request.args.get('after', 0, type=int)
        return server.json_response(
            {
                'notices': [
                    {
                        'number': number,
                        'host': host.id,
                        'incarnation': host.incarnation,
                        'seconds_left': max(0.0, (host.ends_at or now) - now),
                    }
                    for number, host in enumerate(self._notified_hosts, 1)
                    if number > after
                ]
            }
        )


def run(settings: Settings) -> int:
    """Serve until SIGTERM."""
    cloud = Cloud(settings)
    return server.serve(
        werkzeug.Request.application(cloud.answer),
        settings.ip,
        settings.port,
        settings.threads,
        cloud.control,
    )


def main(path: str) -> int:
    """Serve with the settings in a YAML file."""
    return run(server.load_settings(path, Settings))
