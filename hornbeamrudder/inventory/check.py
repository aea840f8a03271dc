"""Combines register and rules into a document, or all their problems."""

import pathlib
from typing import Any

from returns import result

from . import files
from . import problems
from . import register
from . import rules
from . import schema

IN_FORCE = 'configuration in force'

CheckResult = result.Result[schema.Document, files.Problems]


def check_files(
    mapping_path: pathlib.Path | None, rules_path: pathlib.Path | None
) -> CheckResult:
    """Make a document from files alone."""
    return check_change(schema.Document(), mapping_path, rules_path)


def check_change(
    base: schema.Document,
    mapping_path: pathlib.Path | None,
    rules_path: pathlib.Path | None,
) -> CheckResult:
    """Replace the parts of `base` that the files give.

    Sections that the mapping does not name, and the rules where no rules
    file is given, are kept.
    """
    parts = [_kept(base)]
    if mapping_path is not None:
        parts.append(register.read(mapping_path))
    if rules_path is not None:
        parts.append(rules.read(rules_path))
    return combine(parts)


def combine(parts: list[register.Part]) -> CheckResult:
    """Join parts, later ones first, and check the whole document."""
    value: dict[str, Any] = {}
    positions: dict[problems.Path, problems.Position] = {}
    for part in parts:
        value |= part.value
        positions = {
            path: position
            for path, position in positions.items()
            if not path or path[0] not in part.value
        } | part.position_by_path
    reported = frozenset(path for part in parts for path in part.reported)
    incomplete = frozenset(name for part in parts for name in part.incomplete)
    found = [problem for part in parts for problem in part.found]
    checked = schema.find_faults(value)
    if isinstance(checked, result.Failure):
        found.extend(
            problems.locate(finding, positions)
            for finding in checked.failure()
            if finding.path not in reported
            and finding.refers_to not in incomplete
            # Rules of `base` are checked only where they are kept.
            and not ('rules' in incomplete and finding.path[:1] == ('rules',))
        )
    if found or isinstance(checked, result.Failure):
        return result.Failure(tuple(sorted(set(found), key=_place)))
    return checked.alt(lambda _: ())


def _kept(base: schema.Document) -> register.Part:
    value = schema.to_json(base)
    return register.Part(
        value, {(name,): problems.Position(IN_FORCE, 0) for name in value}
    )


def _place(problem: problems.Problem) -> tuple[str, int, str, str]:
    return (problem.file, problem.line, problem.field, problem.reason)
