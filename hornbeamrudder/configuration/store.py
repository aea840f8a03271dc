"""Reads and writes the version row and its documents."""

from typing import Any, Protocol, Sequence

import orjson
from returns import result

from ..core import errors
from . import events
from ..infrastructure import table
from . import publish
from . import versions

MAX_READ_ATTEMPTS = 2
# Content rows per scan and deletion; a row may hold 64 KB.
DELETE_PAGE_ROWS = 20


class Table(Protocol):
    """Subset of the table client used by this module."""

    def read(
        self, keys: Sequence[str]
    ) -> result.Result[tuple[table.Row, ...], errors.Failure]:
        """Read rows."""

    def write(
        self, puts: Sequence[table.Put]
    ) -> result.Result[tuple[table.PutResult, ...], errors.Failure]:
        """Apply compare-and-set writes."""

    def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[tuple[table.Row, ...], errors.Failure]:
        """Read rows by key prefix, in key order."""


class Objects(Protocol):
    """Subset of the object store client used by this module."""

    def get(self, name: str) -> result.Result[bytes, errors.Failure]:
        """Read an object."""

    def put(
        self, name: str, body: bytes
    ) -> result.Result[Any, errors.Failure]:
        """Write an object."""


def read(
    rows: Table,
    objects: Objects | None,
    known: versions.VersionedDocument | None,
) -> result.Result[publish.TableState, errors.Failure]:
    """Read the current version and its document.

    Parameters
    ----------
    known : VersionedDocument or None
        Its document is reused if the row still refers to it.
    """
    # The document may be deleted between the read of the row and that of
    # the document, because its version was replaced; then the row is read
    # again.
    for _ in range(MAX_READ_ATTEMPTS):
        answer = _read_once(rows, objects, known)
        table_state = answer.value_or(None)
        if table_state is None or table_state.row is None:
            break
        if table_state.document is not None:
            break
    return answer


def write(
    rows: Table, objects: Objects | None, planned: publish.Write
) -> tuple[events.WriteOutcome, str]:
    """Write the document, then compare-and-set the version row.

    Returns
    -------
    outcome, detail
        `NOT_SENT` only if this write cannot have changed the version row.
    """
    if planned.writes_content:
        failure = _write_document(rows, objects, planned.content)
        if failure:
            return events.WriteOutcome.NOT_SENT, failure
    value = orjson.loads(versions.dump_row(planned.content.row))
    put = table.Put(versions.CURRENT_KEY, planned.expect_version, value)
    match rows.write([put]):
        case result.Success(results):
            if results[0].applied:
                return events.WriteOutcome.APPLIED, ''
            return events.WriteOutcome.VERSION_MISMATCH, ''
        case result.Failure(failure):
            # Without a connection nothing was sent, and status 429 states
            # that the write was rejected. Any other failure leaves the
            # outcome open.
            if failure.kind in (
                errors.FailureKind.NOT_CONNECTED,
                errors.FailureKind.OVERLOADED,
            ):
                return events.WriteOutcome.NOT_SENT, str(failure)
            return events.WriteOutcome.UNKNOWN, str(failure)
        case _:
            return events.WriteOutcome.UNKNOWN, 'no result'


def delete_replaced(rows: Table, current: versions.VersionRow) -> None:
    """Delete documents of versions below that of the current document.

    Documents left by a failure, or by a crash before this call, are deleted
    by the next change. Rows of later versions are kept, as they may belong
    to a change in progress. Keys do not sort by version, so all content
    rows are scanned.
    """
    after = ''
    while True:
        page = rows.scan(versions.CONTENT_PREFIX, after, DELETE_PAGE_ROWS)
        found = page.value_or(())
        if not found:
            return
        replaced = [
            table.Put(row.key, row.version, None)
            for row in found
            if row.value is not None and _is_replaced(row.key, current)
        ]
        if replaced:
            rows.write(replaced)
        after = found[-1].key


def _is_replaced(key: str, current: versions.VersionRow) -> bool:
    version = key.removeprefix(versions.CONTENT_PREFIX).partition('/')[0]
    return (
        version.isdecimal()
        and int(version) < current.content_version
        and key != current.content_key
    )


def _read_once(
    rows: Table,
    objects: Objects | None,
    known: versions.VersionedDocument | None,
) -> result.Result[publish.TableState, errors.Failure]:
    answer = rows.read([versions.CURRENT_KEY])
    if isinstance(answer, result.Failure):
        return answer
    current = answer.unwrap()[0]
    if current.value is None:
        return result.Success(publish.TableState(current.version, None, None))
    parsed = _parse(current.value)
    if isinstance(parsed, result.Failure):
        return parsed
    row = parsed.unwrap()
    if known is not None and known.row.content_key == row.content_key:
        document: bytes | None = known.document
    else:
        document = _read_document(rows, objects, row)
    return result.Success(publish.TableState(current.version, row, document))


def _parse(value: Any) -> result.Result[versions.VersionRow, errors.Failure]:
    return versions.parse_row(orjson.dumps(value))


def _read_document(
    rows: Table, objects: Objects | None, row: versions.VersionRow
) -> bytes | None:
    if row.in_objects:
        if objects is None:
            return None
        document = objects.get(row.content_key).value_or(None)
    else:
        answer = rows.read([row.content_key]).value_or(None)
        value = answer[0].value if answer else None
        document = value.encode() if isinstance(value, str) else None
    if document is None:
        return None
    content = versions.parse_content(row, document).value_or(None)
    return content.document if content else None


def _write_document(
    rows: Table, objects: Objects | None, content: versions.VersionedDocument
) -> str:
    """Write a document; return the failure as text, or ''."""
    key, document = content.row.content_key, content.document
    if content.row.in_objects:
        if objects is None:
            return 'no object store for a configuration above 64 KB'
        stored = objects.put(key, document)
        if isinstance(stored, result.Failure):
            return f'document not written: {stored.failure()}'
        return ''
    answer = rows.write([table.Put(key, 0, document.decode())])
    if isinstance(answer, result.Failure):
        return str(answer.failure())
    # The key contains the attempt id, so an existing row holds this same
    # document, written by an earlier try.
    return ''
