"""Reads and writes the version row and the documents."""

from typing import Any, Protocol, Sequence

import orjson
from returns import result

from ..core import errors
from . import events
from ..infrastructure import table
from . import publish
from . import state

READ_ATTEMPTS = 2
# Replaced documents read and deleted at once; a row may have 64 KB.
DELETE_LIMIT = 20


class Table(Protocol):
    """The part of the table client that is used here."""

    def read(
        self, keys: Sequence[str]
    ) -> result.Result[tuple[table.Row, ...], errors.Failure]:
        """Read rows."""

    def write(
        self, puts: Sequence[table.Put]
    ) -> result.Result[tuple[table.PutResult, ...], errors.Failure]:
        """Apply compare-and-sets."""

    def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[tuple[table.Row, ...], errors.Failure]:
        """Read rows by prefix, in the order of their keys."""


class Objects(Protocol):
    """The part of the object store client that is used here."""

    def get(self, name: str) -> result.Result[bytes, errors.Failure]:
        """Read an object."""

    def put(
        self, name: str, body: bytes
    ) -> result.Result[Any, errors.Failure]:
        """Write an object."""


def read(
    rows: Table, objects: Objects | None, known: state.Content | None
) -> result.Result[publish.TableState, errors.Failure]:
    """Read the current version and its document.

    Parameters
    ----------
    known : Content or None
        Its document is used where the row still refers to it.
    """
    # A document is deleted soon after its version is replaced; a reader in
    # between reads the row again.
    for _ in range(READ_ATTEMPTS):
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
    """Write the document and then compare-and-set the version row.

    Returns
    -------
    outcome, detail
        `NOT_SENT` only where the version row cannot have changed.
    """
    if planned.writes_content:
        failure = _write_document(rows, objects, planned.content)
        if failure:
            return events.WriteOutcome.NOT_SENT, failure
    value = orjson.loads(state.dump_row(planned.content.row))
    put = table.Put(state.CURRENT_KEY, planned.expect_version, value)
    match rows.write([put]):
        case result.Success(results):
            if results[0].applied:
                return events.WriteOutcome.APPLIED, ''
            return events.WriteOutcome.LOST_RACE, ''
        case result.Failure(failure):
            # Without a connection nothing was sent; with status 429 the
            # service states that it refused. All else may have taken effect.
            if failure.kind in (
                errors.FailureKind.NOT_CONNECTED,
                errors.FailureKind.OVERLOADED,
            ):
                return events.WriteOutcome.NOT_SENT, str(failure)
            return events.WriteOutcome.UNKNOWN, str(failure)
        case _:
            return events.WriteOutcome.UNKNOWN, 'no result'


def delete_replaced(rows: Table, current: state.VersionRow) -> None:
    """Delete documents of versions below that of the current document.

    A failure, or a crash before this call, leaves them to the next change.
    Rows of later versions may belong to a change in progress. The order of
    keys is not that of versions, so all content rows are scanned.
    """
    after = ''
    while True:
        page = rows.scan(state.CONTENT_PREFIX, after, DELETE_LIMIT)
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


def _is_replaced(key: str, current: state.VersionRow) -> bool:
    version = key.removeprefix(state.CONTENT_PREFIX).partition('/')[0]
    return (
        version.isdecimal()
        and int(version) < current.content_version
        and key != current.content_key
    )


def _read_once(
    rows: Table, objects: Objects | None, known: state.Content | None
) -> result.Result[publish.TableState, errors.Failure]:
    answer = rows.read([state.CURRENT_KEY])
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


def _parse(value: Any) -> result.Result[state.VersionRow, errors.Failure]:
    return state.parse_row(orjson.dumps(value))


def _read_document(
    rows: Table, objects: Objects | None, row: state.VersionRow
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
    content = state.parse_content(row, document).value_or(None)
    return content.document if content else None


def _write_document(
    rows: Table, objects: Objects | None, content: state.Content
) -> str:
    """Write a document; returns what failed, or ''."""
    key, document = content.row.content_key, content.document
    if content.row.in_objects:
        if objects is None:
            return 'no object store for a configuration above 64 KB'
        stored = objects.put(key, document)
        return '' if isinstance(stored, result.Success) else 'object store'
    answer = rows.write([table.Put(key, 0, document.decode())])
    if isinstance(answer, result.Failure):
        return str(answer.failure())
    # The key names the attempt, so an existing row is this document from
    # an earlier sending.
    return ''
