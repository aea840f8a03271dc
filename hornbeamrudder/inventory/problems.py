"""Problems in configuration input, with their position."""

import dataclasses
from typing import Any, Iterable

Path = tuple[str | int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A problem in an input file or document.

    Attributes
    ----------
    file : str
        Empty if the input is not a file.
    line : int
        Counted from 1; 0 if the input has no lines.
    field : str
        Column, or path in the document such as `hosts[2].workers[0].port`.
    """

    file: str
    line: int
    field: str
    reason: str

    def __str__(self) -> str:
        position = f'{self.file}:{self.line}: ' if self.file else ''
        return f'{position}{self.field}: {self.reason}'

    def to_json(self) -> dict[str, Any]:
        """Return the problem as a JSON object."""
        return dataclasses.asdict(self)


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A problem at a document path, before its position is known.

    Attributes
    ----------
    refers_to : str
        Section in which the entry referred to at `path` is missing.
    """

    path: Path
    reason: str
    refers_to: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """Position from which a value of a document was read.

    Attributes
    ----------
    field : str
        Column or path in the file; if empty, the path in the document is
        reported.
    """

    file: str
    line: int
    field: str = ''


def format_path(path: Iterable[str | int]) -> str:
    """Format a path as `hosts[2].workers[0].port`."""
    text = ''.join(
        f'[{part}]' if isinstance(part, int) else f'.{part}' for part in path
    )
    return text.removeprefix('.') or 'document'


def locate(
    finding: Finding, position_by_path: dict[Path, Position]
) -> Problem:
    """Convert a finding to a problem at the nearest enclosing value."""
    for length in range(len(finding.path), -1, -1):
        position = position_by_path.get(finding.path[:length])
        if position is not None:
            path = finding.path
            if position.field:
                path = (position.field, *path[length:])
            return Problem(
                position.file, position.line, format_path(path), finding.reason
            )
    return Problem('', 0, format_path(finding.path), finding.reason)
