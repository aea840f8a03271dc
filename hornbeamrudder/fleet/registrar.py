"""Keeps the hosts of the document in step with the cloud API."""

import collections
from concurrent import futures
from typing import Any, Callable, Protocol

import orjson
from returns import result
import structlog

from ..configuration import publish
from ..configuration import state
from ..core import hosts
from ..core import ids
from ..inventory import schema
from . import ports
from . import registration

AUTHOR = ids.OperatorId('fleet')
# Each change holds all hosts that started or ended since the last one.
MAX_CHANGES = 6
CHANGES_PERIOD_S = 60.0
MAX_LOOKUPS = 16

log = structlog.get_logger()


class Configuration(Protocol):
    """The part of `configuration.service` that is used here."""

    def current(self) -> state.Content | None:
        """Version in force on this node, with its document."""

    def apply(
        self, document: Any, base: ids.Version, author: ids.OperatorId
    ) -> 'futures.Future[publish.Result]':
        """Propose a document in place of that of version `base`."""


class Registrar:
    """Proposes one change at a time, while the lease is held.

    A change names the version that it was made from. An operator's edit in
    between gives a conflict, and the change is made again from that edit.
    """

    def __init__(
        self,
        cloud: ports.RecordedHosts,
        configuration: Configuration,
        holds_lease: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._cloud = cloud
        self._configuration = configuration
        self._holds_lease = holds_lease
        self._clock = clock
        self._open: futures.Future[publish.Result] | None = None
        self._changed_at: collections.deque[float] = collections.deque(
            maxlen=MAX_CHANGES
        )
        self._next_lookup = 0
        self.counters: collections.Counter[str] = collections.Counter()

    def step(self) -> None:
        """Propose a change where the hosts differ and none is open."""
        if self._open is not None:
            if not self._open.done():
                return
            self._note(self._open.result())
            self._open = None
        content = self._configuration.current()
        if (
            content is None
            or not self._holds_lease()
            or not self._may_change()
        ):
            return
        value = orjson.loads(content.document)
        parsed = schema.parse_document(value)
        if not isinstance(parsed, result.Success):
            return
        changed = self._changed_document(value, parsed.unwrap())
        # The calls to the cloud API may have taken longer than the lease.
        if changed is not None and self._holds_lease():
            self._open = self._configuration.apply(
                changed, content.row.version, AUTHOR
            )

    def _changed_document(
        self, value: dict[str, Any], document: schema.Document
    ) -> dict[str, Any] | None:
        if not document.rules.fleet:
            return None
        listed = self._cloud.list_hosts()
        offers = self._cloud.offers()
        if not (
            isinstance(listed, result.Success)
            and isinstance(offers, result.Success)
        ):
            return None
        found = listed.unwrap()
        return registration.updated(
            value,
            document,
            found,
            self._gone(document, found),
            offers.unwrap(),
        )

    def _gone(
        self,
        document: schema.Document,
        listed: tuple[hosts.CloudHost, ...],
    ) -> frozenset[ids.HostId]:
        gone = {
            host.id for host in listed if host.phase is hosts.HostPhase.GONE
        }
        absent = registration.absent_hosts(document, listed)
        # The start moves on, so that hosts unknown to the cloud API, which
        # stay absent, do not keep the others from their look-up.
        start = self._next_lookup % max(1, len(absent))
        self._next_lookup = start + MAX_LOOKUPS
        for name in (absent[start:] + absent[:start])[:MAX_LOOKUPS]:
            match self._cloud.find_host(name):
                case result.Success(host) if (
                    host.phase is hosts.HostPhase.GONE
                ):
                    gone.add(name)
        return frozenset(gone)

    def _may_change(self) -> bool:
        return (
            len(self._changed_at) < MAX_CHANGES
            or self._clock() - self._changed_at[0] >= CHANGES_PERIOD_S
        )

    def _note(self, outcome: publish.Result) -> None:
        self.counters[type(outcome).__name__] += 1
        match outcome:
            case publish.Conflict() | publish.Refused():
                # Nothing was written; the next step starts afresh.
                return
        self._changed_at.append(self._clock())
        log.info('hosts of the document changed', version=outcome.version)
