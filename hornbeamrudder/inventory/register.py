"""Reads the asset register into the inventory part of a document."""

import dataclasses
import pathlib
import re
from typing import Any

from returns import result

from . import files
from . import mapping
from . import problems
from . import records
from . import yaml_nodes

_INTEGER = re.compile(r'[+-]?[0-9]{1,15}')
_NUMBER = re.compile(r'[+-]?[0-9]{1,15}(\.[0-9]{1,9})?')
_BOOLEANS = {'true': True, 'yes': True, 'oui': True, '1': True}
_BOOLEANS |= {'false': False, 'no': False, 'non': False, '0': False}
SECTIONS = ('services', 'accounts', 'operators', 'hosts')


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A part of a document, with positions and problems so far.

    Attributes
    ----------
    value : dict
        Top-level keys of a document with their JSON values.
    found : tuple of Problem
        Problems so far.
    reported : frozenset of path
        Paths that already have a problem.
    incomplete : frozenset of str
        Sections of which some entries could not be read, so that references
        to them cannot be checked.
    """

    value: dict[str, Any]
    position_by_path: dict[problems.Path, problems.Position]
    found: files.Problems = ()
    reported: frozenset[problems.Path] = frozenset()
    incomplete: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class _Entry:
    """One entry of a section while the register is read."""

    value: dict[str, Any]
    position: problems.Position
    position_by_field: dict[tuple[str, ...], problems.Position]
    faulty: set[tuple[str, ...]]


class _BadCell(Exception):
    """Internal: a cell that cannot be converted."""


def read(mapping_path: pathlib.Path) -> Part:
    """Read all register files that a mapping file names."""
    parsed = mapping.read(mapping_path)
    if isinstance(parsed, result.Failure):
        return Part({}, {}, parsed.failure(), incomplete=frozenset(SECTIONS))
    reader = _Reader()
    for source in parsed.unwrap().sources:
        path = mapping_path.parent / source.file
        limit = files.MAX_FILE_BYTES
        if source.is_yaml:
            limit = yaml_nodes.MAX_YAML_BYTES
        text = files.read(path, source.encoding, limit)
        reader.add(source, str(path), text)
    return reader.finish()


class _Reader:
    """Collects the entries of all sources."""

    def __init__(self) -> None:
        self._entries_by_section: dict[str, list[_Entry]] = {}
        self._problems: list[problems.Problem] = []
        self._incomplete: set[str] = set()

    def add(
        self,
        source: mapping.Source,
        file: str,
        text: result.Result[str, files.Problems],
    ) -> None:
        """Convert the rows of one source."""
        section = self._entries_by_section.setdefault(source.entries, [])
        if isinstance(text, result.Failure):
            self._problems.extend(text.failure())
            self._incomplete.add(source.entries)
            return
        table = records.parse(source, file, text.unwrap())
        self._problems.extend(table.problems)
        if table.problems:
            self._incomplete.add(source.entries)
        by_id: dict[str, _Entry] = {}
        for row in table.rows:
            if not _selected(source, row):
                continue
            entry = self._convert(source, file, row)
            key = entry.value.get('id', entry.value.get('name', ''))
            if source.repeated and key in by_id:
                self._compare(by_id[key], entry)
                continue
            by_id[key] = entry
            section.append(entry)

    def finish(self) -> Part:
        """Put workers on their hosts and number all entries."""
        value: dict[str, Any] = {}
        positions: dict[problems.Path, problems.Position] = {}
        reported: set[problems.Path] = set()

        def place(entry: _Entry, path: problems.Path) -> None:
            positions[path] = entry.position
            for field, position in entry.position_by_field.items():
                positions[(*path, *field)] = position
            reported.update((*path, *field) for field in entry.faulty)

        for section in SECTIONS:
            if section in self._entries_by_section:
                entries = self._entries_by_section[section]
                value[section] = [entry.value for entry in entries]
                for index, entry in enumerate(entries):
                    place(entry, (section, index))
        workers = self._entries_by_section.get('workers', [])
        if workers and 'hosts' not in value:
            self._problems.append(
                problems.Problem(
                    workers[0].position.file,
                    workers[0].position.line,
                    'host',
                    'the mapping has workers but no hosts',
                )
            )
            workers = []
        index_by_host = {
            host.get('id'): index
            for index, host in enumerate(value.get('hosts', []))
        }
        for entry in workers:
            host = entry.value.pop('host', '')
            if host not in index_by_host:
                if 'hosts' not in self._incomplete:
                    self._unknown_host(entry, host)
                continue
            siblings = value['hosts'][index_by_host[host]].setdefault(
                'workers', []
            )
            path = ('hosts', index_by_host[host], 'workers', len(siblings))
            siblings.append(entry.value)
            place(entry, path)
        return Part(
            value,
            positions,
            tuple(self._problems),
            frozenset(reported),
            frozenset(self._incomplete),
        )

    def _unknown_host(self, entry: _Entry, host: str) -> None:
        position = entry.position_by_field.get(('host',), entry.position)
        self._problems.append(
            problems.Problem(
                position.file,
                position.line,
                position.field or 'host',
                f'unknown host {host!r}' if host else 'is empty',
            )
        )

    def _convert(
        self, source: mapping.Source, file: str, row: records.Row
    ) -> _Entry:
        entry = _Entry({}, problems.Position(file, row.line), {}, set())
        kind_by_field = mapping.KINDS_BY_SECTION[source.entries]
        required = mapping.required_fields(source.entries)
        for field, column in source.columns.items():
            path = tuple(field.split('.'))
            cell = _cell(column, row)
            name = column.column or field
            position = problems.Position(file, cell.line, name)
            entry.position_by_field[path] = position
            if not cell.text and cell.parts is None:
                if field in required:
                    entry.faulty.add(path)
                    self._report(position, 'is empty')
                continue
            try:
                converted = _value(kind_by_field[field], column, cell)
            except _BadCell as error:
                entry.faulty.add(path)
                self._report(position, str(error))
                continue
            parent = entry.value
            for part in path[:-1]:
                parent = parent.setdefault(part, {})
            parent[path[-1]] = converted
        return entry

    def _compare(self, first: _Entry, other: _Entry) -> None:
        for field, position in other.position_by_field.items():
            if _at(first.value, field) != _at(other.value, field):
                self._report(
                    position,
                    f'differs from line {first.position.line}'
                    ' about the same entry',
                )

    def _report(self, position: problems.Position, reason: str) -> None:
        self._problems.append(
            problems.Problem(
                position.file, position.line, position.field, reason
            )
        )


def _selected(source: mapping.Source, row: records.Row) -> bool:
    return all(
        (cell := row.cell_by_column.get(column)) is not None
        and cell.text in wanted
        for column, wanted in source.only.items()
    )


def _cell(column: mapping.Column, row: records.Row) -> records.Cell:
    if column.value is not None:
        return records.Cell(column.value, row.line)
    empty = records.Cell('', row.line)
    return row.cell_by_column.get(column.column or '', empty)


def _value(
    kind: mapping.Kind, column: mapping.Column, cell: records.Cell
) -> Any:
    if kind is mapping.Kind.LIST:
        parts = cell.parts
        if parts is None:
            parts = tuple(cell.text.split(column.separator))
        stripped = (part.strip() for part in parts)
        return [column.values.get(part, part) for part in stripped if part]
    if cell.parts is not None:
        raise _BadCell('expected a single value, found a list')
    text = column.values.get(cell.text, cell.text)
    match kind:
        case mapping.Kind.INTEGER:
            if not _INTEGER.fullmatch(text):
                raise _BadCell(f'{text[:40]!r} is not a whole number')
            return int(text)
        case mapping.Kind.NUMBER:
            plain = text.replace(column.decimal, '.')
            if not _NUMBER.fullmatch(plain):
                raise _BadCell(f'{text[:40]!r} is not a number')
            return float(plain)
        case mapping.Kind.BOOLEAN:
            if text.lower() not in _BOOLEANS:
                raise _BadCell(f'{text[:40]!r} is neither true nor false')
            return _BOOLEANS[text.lower()]
    return text


def _at(value: dict[str, Any], field: tuple[str, ...]) -> Any:
    inner: Any = value
    for part in field:
        inner = inner.get(part) if isinstance(inner, dict) else None
    return inner
