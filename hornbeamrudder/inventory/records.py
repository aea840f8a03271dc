"""Parses register files (CSV or YAML) to rows with line numbers."""

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
    """Text of a cell, or `list_items` if the register has a list."""

    text: str
    line: int
    list_items: tuple[str, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row and its first line in the file."""

    line: int
    cell_by_column: dict[str, Cell]


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Rows that could be parsed, and problems with the others."""

    rows: tuple[Row, ...]
    problems: files.Problems = ()


def parse(source: mapping.Source, file: str, text: str) -> Table:
    """Parse the text of a register file to rows."""
    columns = frozenset(
        column.column
        for column in source.columns.values()
        if column.column is not None
    ) | frozenset(source.only)
    if source.is_yaml:
        return _yaml_rows(source, file, text)
    return _csv_rows(source, file, text, columns)


def _table_problem(file: str, line: int, field: str, reason: str) -> Table:
    return Table((), (problems.Problem(file, line, field, reason),))


def _csv_rows(
    source: mapping.Source, file: str, text: str, columns: frozenset[str]
) -> Table:
    reader = csv.reader(
        io.StringIO(text, newline=''), delimiter=source.delimiter, strict=True
    )
    rows: list[Row] = []
    row_problems: list[problems.Problem] = []
    line = 1
    try:
        header = [name.strip() for name in next(reader, [])]
        row_problems.extend(_check_header(file, header, columns))
        if row_problems:
            return Table((), tuple(row_problems))
        line = reader.line_num + 1
        for cells in reader:
            if len(rows) == MAX_ROWS:
                return _table_problem(
                    file, line, 'row', f'more than {MAX_ROWS} rows'
                )
            if len(cells) == len(header):
                rows.append(_csv_row(line, header, cells))
            elif any(cell.strip() for cell in cells):
                reason = f'{len(cells)} cells, {len(header)} expected'
                row_problems.append(
                    problems.Problem(file, line, 'row', reason)
                )
            line = reader.line_num + 1
    except csv.Error as error:
        row_problems.append(
            problems.Problem(file, line, 'row', f'not CSV: {error}')
        )
    non_empty_rows = (row for row in rows if _has_content(row))
    return Table(tuple(non_empty_rows), tuple(row_problems))


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


def _check_header(
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
    parsed = yaml_nodes.parse(file, text, scalars_as_text=True)
    if isinstance(parsed, result.Failure):
        return Table((), parsed.failure())
    content = parsed.unwrap()
    entries = content.value
    path: problems.Path = ()
    section = 'document'
    if source.under is not None:
        section = source.under
        path = (source.under,)
        entries = entries.get(section) if isinstance(entries, dict) else None
    if not isinstance(entries, list):
        line = content.line_by_path.get(path, 1)
        return _table_problem(
            file, line, section, 'expected a list of entries'
        )
    if len(entries) > MAX_ROWS:
        line = content.line_by_path[(*path, MAX_ROWS)]
        return _table_problem(
            file, line, section, f'more than {MAX_ROWS} entries'
        )
    rows = []
    row_problems = []
    for index, entry in enumerate(entries):
        entry_path = (*path, index)
        line = content.line_by_path[entry_path]
        if not isinstance(entry, dict):
            field = problems.format_path(entry_path)
            row_problems.append(
                problems.Problem(file, line, field, 'expected a mapping')
            )
            continue
        cells = {}
        for name, value in entry.items():
            cell_line = content.line_by_path[(*entry_path, name)]
            cell = _yaml_cell(value, cell_line)
            if cell is None:
                reason = 'expected a single value or a list of them'
                row_problems.append(
                    problems.Problem(file, cell_line, name, reason)
                )
            else:
                cells[name] = cell
        rows.append(Row(line, cells))
    return Table(tuple(rows), tuple(row_problems))


def _yaml_cell(value: object, line: int) -> Cell | None:
    if isinstance(value, str):
        return Cell(value.strip(), line)
    if isinstance(value, list) and all(isinstance(i, str) for i in value):
        return Cell('', line, tuple(value))
    return None
