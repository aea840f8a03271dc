"""Reads the asset register and builds the inventory of a document."""

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
class DocumentPart:
    """A part of a document with the positions of values and problems.

    Attributes
    ----------
    value : dict
        Top-level keys of a document with their JSON values.
    input_problems : tuple of Problem
        Problems found while reading.
    faulty_paths : frozenset of path
        Paths with a problem that has already been reported.
    incomplete_sections : frozenset of str
        Sections with entries that could not be read, so that references to
        them cannot be checked.
    """

    value: dict[str, Any]
    position_by_path: dict[problems.Path, problems.Position]
    input_problems: files.Problems = ()
    faulty_paths: frozenset[problems.Path] = frozenset()
    incomplete_sections: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class _Entry:
    """An entry of a section, while the register is read."""

    value: dict[str, Any]
    position: problems.Position
    position_by_field: dict[tuple[str, ...], problems.Position]
    faulty_fields: set[tuple[str, ...]]


class _CellError(Exception):
    """A cell that cannot be converted."""


def read(mapping_path: pathlib.Path) -> DocumentPart:
    """Read all register files listed in a mapping file."""
    parsed = mapping.read(mapping_path)
    if isinstance(parsed, result.Failure):
        return DocumentPart(
            {}, {}, parsed.failure(), incomplete_sections=frozenset(SECTIONS)
        )
    reader = _RegisterReader()
    for source in parsed.unwrap().sources:
        path = mapping_path.parent / source.file
        limit = files.MAX_FILE_BYTES
        if source.is_yaml:
            limit = yaml_nodes.MAX_YAML_BYTES
        text = files.read(path, source.encoding, limit)
        reader.add(source, str(path), text)
    return reader.build()


class _RegisterReader:
    """Collects the entries of all sources and builds a document part."""

    def __init__(self) -> None:
        self._entries_by_section: dict[str, list[_Entry]] = {}
        self._problems: list[problems.Problem] = []
        self._incomplete_sections: set[str] = set()

    def add(
        self,
        source: mapping.Source,
        file: str,
        text: result.Result[str, files.Problems],
    ) -> None:
        """Parse and convert the rows of one source."""
        section = self._entries_by_section.setdefault(source.entries, [])
        if isinstance(text, result.Failure):
            self._problems.extend(text.failure())
            self._incomplete_sections.add(source.entries)
            return
        table = records.parse(source, file, text.unwrap())
        self._problems.extend(table.problems)
        if table.problems:
            self._incomplete_sections.add(source.entries)
        by_id: dict[str, _Entry] = {}
        for row in table.rows:
            if not _is_selected(source, row):
                continue
            entry = self._convert(source, file, row)
            key = entry.value.get('id', entry.value.get('name', ''))
            if source.repeated and key in by_id:
                self._check_agreement(by_id[key], entry)
                continue
            by_id[key] = entry
            section.append(entry)

    def build(self) -> DocumentPart:
        """Assign workers to their hosts and paths to all entries."""
        value: dict[str, Any] = {}
        positions: dict[problems.Path, problems.Position] = {}
        faulty_paths: set[problems.Path] = set()

        def add_positions(entry: _Entry, path: problems.Path) -> None:
            positions[path] = entry.position
            for field, position in entry.position_by_field.items():
                positions[(*path, *field)] = position
            faulty_paths.update(
                (*path, *field) for field in entry.faulty_fields
            )

        for section in SECTIONS:
            if section in self._entries_by_section:
                entries = self._entries_by_section[section]
                value[section] = [entry.value for entry in entries]
                for index, entry in enumerate(entries):
                    add_positions(entry, (section, index))
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
                if 'hosts' not in self._incomplete_sections:
                    self._report_unknown_host(entry, host)
                continue
            host_workers = value['hosts'][index_by_host[host]].setdefault(
                'workers', []
            )
            path = ('hosts', index_by_host[host], 'workers', len(host_workers))
            host_workers.append(entry.value)
            add_positions(entry, path)
        return DocumentPart(
            value,
            positions,
            tuple(self._problems),
            frozenset(faulty_paths),
            frozenset(self._incomplete_sections),
        )

    def _report_unknown_host(self, entry: _Entry, host: str) -> None:
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
        cell_type_by_field = mapping.CELL_TYPES_BY_SECTION[source.entries]
        required = mapping.required_fields(source.entries)
        for field, column in source.columns.items():
            path = tuple(field.split('.'))
            cell = _cell(column, row)
            name = column.column or field
            position = problems.Position(file, cell.line, name)
            entry.position_by_field[path] = position
            if not cell.text and cell.list_items is None:
                if field in required:
                    entry.faulty_fields.add(path)
                    self._report(position, 'is empty')
                continue
            try:
                converted = _convert_cell(
                    cell_type_by_field[field], column, cell
                )
            except _CellError as error:
                entry.faulty_fields.add(path)
                self._report(position, str(error))
                continue
            parent = entry.value
            for part in path[:-1]:
                parent = parent.setdefault(part, {})
            parent[path[-1]] = converted
        return entry

    def _check_agreement(self, first: _Entry, other: _Entry) -> None:
        for field, position in other.position_by_field.items():
            if _value_at(first.value, field) != _value_at(other.value, field):
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


def _is_selected(source: mapping.Source, row: records.Row) -> bool:
    return all(
        (cell := row.cell_by_column.get(column)) is not None
        and cell.text in accepted
        for column, accepted in source.only.items()
    )


def _cell(column: mapping.Column, row: records.Row) -> records.Cell:
    if column.value is not None:
        return records.Cell(column.value, row.line)
    empty = records.Cell('', row.line)
    return row.cell_by_column.get(column.column or '', empty)


def _convert_cell(
    cell_type: mapping.CellType, column: mapping.Column, cell: records.Cell
) -> Any:
    if cell_type is mapping.CellType.LIST:
        list_items = cell.list_items
        if list_items is None:
            list_items = tuple(cell.text.split(column.separator))
        stripped = (part.strip() for part in list_items)
        return [column.values.get(part, part) for part in stripped if part]
    if cell.list_items is not None:
        raise _CellError('expected a single value, found a list')
    text = column.values.get(cell.text, cell.text)
    match cell_type:
        case mapping.CellType.INTEGER:
            if not _INTEGER.fullmatch(text):
                raise _CellError(f'{text[:40]!r} is not a whole number')
            return int(text)
        case mapping.CellType.NUMBER:
            normalized = text.replace(column.decimal, '.')
            if not _NUMBER.fullmatch(normalized):
                raise _CellError(f'{text[:40]!r} is not a number')
            return float(normalized)
        case mapping.CellType.BOOLEAN:
            if text.lower() not in _BOOLEANS:
                raise _CellError(f'{text[:40]!r} is neither true nor false')
            return _BOOLEANS[text.lower()]
    return text


def _value_at(value: dict[str, Any], field: tuple[str, ...]) -> Any:
    inner: Any = value
    for part in field:
        inner = inner.get(part) if isinstance(inner, dict) else None
    return inner
