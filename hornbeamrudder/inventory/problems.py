"""Problems in operators' input: file, line, field and reason."""

import dataclasses
from typing import Any, Iterable

Path = tuple[str | int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One fault in an input file or document.

    Attributes
    ----------
    file : str
        Empty where the input is not a file.
    line : int
        Counted from 1; 0 where the input has no lines.
    field : str
        Column, or path in the document such as `hosts[2].workers[0].port`.
    """

    file: str
    line: int
    field: str
    reason: str

    def __str__(self) -> str:
        place = f'{self.file}:{self.line}: ' if self.file else ''
        return f'{place}{self.field}: {self.reason}'

    def to_json(self) -> dict[str, Any]:
        """Return the problem as a JSON object."""
        return dataclasses.asdict(self)


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A fault at a path in a document, before its position is known.

    Attributes
    ----------
    refers_to : str
        Section of the document that lacks the entry named at `path`.
    """

    path: Path
    reason: str
    refers_to: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """Where a value of a document was read.

    Attributes
    ----------
    field : str
        Column, or path in the file, that the value comes from; empty to
        name the path in the document.
    """

    file: str
    line: int
    field: str = ''


def path_text(path: Iterable[str | int]) -> str:
    """Render a path as `hosts[2].workers[0].port`."""
    text = ''.join(
        f'[{part}]' if isinstance(part, int) else f'.{part}' for part in path
    )
    return text.removeprefix('.') or 'document'


def locate(
    finding: Finding, position_by_path: dict[Path, Position]
) -> Problem:
    """Give a finding the position of the nearest enclosing value."""
    for length in range(len(finding.path), -1, -1):
        position = position_by_path.get(finding.path[:length])
        if position is not None:
            path = finding.path
            if position.field:
                path = (position.field, *path[length:])
            return Problem(
                position.file, position.line, path_text(path), finding.reason
            )
    return Problem('', 0, path_text(finding.path), finding.reason)
