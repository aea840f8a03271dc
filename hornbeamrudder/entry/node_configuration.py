"""The active configuration of a node, parsed for the entry modules."""

import threading
from typing import Callable

import orjson
from returns import result
import structlog

from ..configuration import service as configuration_service
from ..configuration import versions
from ..core import ids
from ..inventory import schema

log = structlog.get_logger()

EMPTY_DOCUMENT = schema.Document()

DocumentCallback = Callable[[schema.Document], None]


class NodeConfiguration:
    """Parses each version once and notifies the components of the node."""

    def __init__(
        self,
        service: configuration_service.ConfigurationService,
        on_document: DocumentCallback,
    ) -> None:
        self._service = service
        self._on_document = on_document
        self._lock = threading.Lock()
        self._document = EMPTY_DOCUMENT
        self._content_version = ids.Version(0)
        self._usable = False
        service.on_change(self._install)
        current = service.current()
        if current is not None:
            self._install(current)

    def document(self) -> schema.Document:
        """Return the active document."""
        return self._document

    def version(self) -> ids.Version:
        """Return the active version, 0 for none."""
        current = self._service.current()
        return ids.Version(0) if current is None else current.row.version

    def may_admit(self) -> bool:
        """Return whether this node may admit new requests now."""
        return self._usable and self._service.may_admit()

    def _install(self, content: versions.VersionedDocument) -> None:
        with self._lock:
            if content.row.content_version <= self._content_version:
                return
            self._content_version = content.row.content_version
            match schema.parse_document(orjson.loads(content.document)):
                case result.Success(document):
                    pass
                case result.Failure(problems):
                    # Written by a node of a later release. Serving under the
                    # previous version would violate the accepted change.
                    self._usable = False
                    log.error(
                        'configuration can not be used',
                        version=content.row.version,
                        problems=[str(item) for item in problems],
                    )
                    return
            try:
                self._on_document(document)
            finally:
                # Last, so that no request finds a service without its workers;
                # in any case, as the version is in force on this node.
                self._document = document
                self._usable = True
