"""Synchronises the hosts of the document with the cloud API."""

import collections
from concurrent import futures
from typing import Any, Callable, Protocol

import orjson
from returns import result
import structlog

from ..configuration import publish
from ..configuration import versions
from ..core import hosts
from ..core import ids
from . import interfaces
from ..inventory import schema
from . import registration

AUTHOR = ids.OperatorId('fleet')
# Bounds the number of versions while the responses of the cloud API flap. Each
# change includes all hosts started or ended since the last one, so the limit
# delays hosts but omits none.
MAX_CHANGES_PER_PERIOD = 6
CHANGE_PERIOD_S = 60.0
MAX_LOOKUPS_PER_STEP = 16

log = structlog.get_logger()


class Configuration(Protocol):
    """Operations of `configuration.service` that the registrar uses."""

    def current(self) -> versions.VersionedDocument | None:
        """Return the version in force on this node, with its document."""

    def apply(
        self, document: Any, base: ids.Version, author: ids.OperatorId
    ) -> 'futures.Future[publish.Result]':
        """Propose a document to replace that of version `base`."""


class Registrar:
    """Proposes one change at a time while the lease is held.

    Each change names the version that it is based on. If an operator edits
    the document in the meantime, the change ends in a conflict and is made
    again on top of that edit.
    """

    def __init__(
        self,
        cloud: interfaces.HostInventory,
        configuration: Configuration,
        holds_lease: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._cloud = cloud
        self._configuration = configuration
        self._holds_lease = holds_lease
        self._clock = clock
        self._pending: futures.Future[publish.Result] | None = None
        self._change_times: collections.deque[float] = collections.deque(
            maxlen=MAX_CHANGES_PER_PERIOD
        )
        self._lookup_offset = 0
        self.counters: collections.Counter[str] = collections.Counter()

    def step(self) -> None:
        """Propose a change if the hosts differ and no change is pending."""
        if self._pending is not None:
            if not self._pending.done():
                return
            self._record_outcome(self._pending.result())
            self._pending = None
        current_document = self._configuration.current()
        if (
            current_document is None
            or not self._holds_lease()
            or not self._is_below_rate_limit()
        ):
            return
        raw_document = orjson.loads(current_document.document)
        parsed = schema.parse_document(raw_document)
        if not isinstance(parsed, result.Success):
            return
        updated = self._changed_document(raw_document, parsed.unwrap())
        # The lease may have expired during the calls to the cloud API.
        if updated is not None and self._holds_lease():
            self._pending = self._configuration.apply(
                updated, current_document.row.version, AUTHOR
            )

    def _changed_document(
        self, raw_document: dict[str, Any], document: schema.Document
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
        cloud_hosts = listed.unwrap()
        return registration.update_hosts(
            raw_document,
            document,
            cloud_hosts,
            self._find_gone(document, cloud_hosts),
            offers.unwrap(),
        )

    def _find_gone(
        self,
        document: schema.Document,
        listed: tuple[hosts.CloudHost, ...],
    ) -> frozenset[ids.HostId]:
        gone = {
            host.id for host in listed if host.phase is hosts.HostPhase.GONE
        }
        unlisted = registration.unlisted_hosts(document, listed)
        # The offset advances at each step: hosts unknown to the cloud API stay
        # unlisted and would otherwise use up the look-ups of the others.
        offset = self._lookup_offset % max(1, len(unlisted))
        self._lookup_offset = offset + MAX_LOOKUPS_PER_STEP
        for host_id in (unlisted[offset:] + unlisted[:offset])[
            :MAX_LOOKUPS_PER_STEP
        ]:
            match self._cloud.find_host(host_id):
                case result.Success(host) if (
                    host.phase is hosts.HostPhase.GONE
                ):
                    gone.add(host_id)
        return frozenset(gone)

    def _is_below_rate_limit(self) -> bool:
        return (
            len(self._change_times) < MAX_CHANGES_PER_PERIOD
            or self._clock() - self._change_times[0] >= CHANGE_PERIOD_S
        )

    def _record_outcome(self, outcome: publish.Result) -> None:
        self.counters[type(outcome).__name__] += 1
        match outcome:
            case publish.Conflict() | publish.Refused():
                # Nothing was written; the next step makes a new change.
                return
        self._change_times.append(self._clock())
        log.info('hosts of the document changed', version=outcome.version)
