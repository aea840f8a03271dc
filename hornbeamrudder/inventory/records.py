"""Rows of a register file, CSV or YAML, with the line of every cell."""

import csv
import dataclasses
import io

from returns import result

from . import files
from . import mapping
from . import problems
from . import yaml_nodes

MAX_ROWS = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """Text of one field; `parts` is given where the register has a list."""

    text: str
    line: int
    parts: tuple[str, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row, with its first line in the file."""

    line: int
    cell_by_column: dict[str, Cell]


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Rows that could be read, and problems with the others."""

    rows: tuple[Row, ...]
    problems: files.Problems = ()


def parse(source: mapping.Source, file: str, text: str) -> Table:
    """Split the text of a register file into rows."""
    columns = frozenset(
        column.column
        for column in source.columns.values()
        if column.column is not None
    ) | frozenset(source.only)
    if source.is_yaml:
        return _yaml_rows(source, file, text)
    return _csv_rows(source, file, text, columns)


def _failed(file: str, line: int, field: str, reason: str) -> Table:
    return Table((), (problems.Problem(file, line, field, reason),))


def _csv_rows(
    source: mapping.Source, file: str, text: str, columns: frozenset[str]
) -> Table:
    reader = csv.reader(
        io.StringIO(text, newline=''), delimiter=source.delimiter, strict=True
    )
    rows: list[Row] = []
    faults: list[problems.Problem] = []
    line = 1
    try:
        header = [name.strip() for name in next(reader, [])]
        faults.extend(_header_faults(file, header, columns))
        if faults:
            return Table((), tuple(faults))
        line = reader.line_num + 1
        for cells in reader:
            if len(rows) == MAX_ROWS:
                return _failed(file, line, 'row', f'more than {MAX_ROWS} rows')
            if len(cells) == len(header):
                rows.append(_csv_row(line, header, cells))
            elif any(cell.strip() for cell in cells):
                reason = f'{len(cells)} cells, {len(header)} expected'
                faults.append(problems.Problem(file, line, 'row', reason))
            line = reader.line_num + 1
    except csv.Error as error:
        faults.append(problems.Problem(file, line, 'row', f'not CSV: {error}'))
    filled = (row for row in rows if _has_content(row))
    return Table(tuple(filled), tuple(faults))


def _csv_row(line: int, header: list[str], cells: list[str]) -> Row:
    return Row(
        line,
        {
            name: Cell(cell.strip(), line)
            for name, cell in zip(header, cells, strict=True)
        },
    )


def _has_content(row: Row) -> bool:
    return any(cell.text for cell in row.cell_by_column.values())


def _header_faults(
    file: str, header: list[str], columns: frozenset[str]
) -> list[problems.Problem]:
    repeated = {name for name in header if header.count(name) > 1} & columns
    return [
        problems.Problem(file, 1, name, reason)
        for reason, names in (
            ('column is missing', columns - set(header)),
            ('column occurs more than once', repeated),
        )
        for name in sorted(names)
    ]


def _yaml_rows(source: mapping.Source, file: str, text: str) -> Table:
    parsed = yaml_nodes.parse(file, text, as_text=True)
    if isinstance(parsed, result.Failure):
        return Table((), parsed.failure())
    content = parsed.unwrap()
    entries = content.value
    path: problems.Path = ()
    where = 'document'
    if source.under is not None:
        where = source.under
        path = (source.under,)
        entries = entries.get(where) if isinstance(entries, dict) else None
    if not isinstance(entries, list):
        line = content.line_by_path.get(path, 1)
        return _failed(file, line, where, 'expected a list of entries')
    if len(entries) > MAX_ROWS:
        line = content.line_by_path[(*path, MAX_ROWS)]
        return _failed(file, line, where, f'more than {MAX_ROWS} entries')
    rows = []
    faults = []
    for index, entry in enumerate(entries):
        entry_path = (*path, index)
        line = content.line_by_path[entry_path]
        if not isinstance(entry, dict):
            field = problems.path_text(entry_path)
            faults.append(
                problems.Problem(file, line, field, 'expected a mapping')
            )
            continue
        cells = {}
        for name, value in entry.items():
            cell_line = content.line_by_path[(*entry_path, name)]
            cell = _yaml_cell(value, cell_line)
            if cell is None:
                reason = 'expected a single value or a list of them'
                faults.append(problems.Problem(file, cell_line, name, reason))
            else:
                cells[name] = cell
        rows.append(Row(line, cells))
    return Table(tuple(rows), tuple(faults))


def _yaml_cell(value: object, line: int) -> Cell | None:
    if isinstance(value, str):
        return Cell(value.strip(), line)
    if isinstance(value, list) and all(isinstance(i, str) for i in value):
        return Cell('', line, tuple(value))
    return None
