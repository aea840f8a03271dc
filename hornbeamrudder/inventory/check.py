"""Combines register and rules into a validated document."""

import pathlib
from typing import Any

from returns import result

from . import files
from . import problems
from . import register
from . import rules
from . import schema

BASE_SOURCE_NAME = 'configuration in force'

CheckResult = result.Result[schema.Document, files.Problems]


def check_files(
    mapping_path: pathlib.Path | None, rules_path: pathlib.Path | None
) -> CheckResult:
    """Build a document from files only."""
    return check_change(schema.Document(), mapping_path, rules_path)


def check_change(
    base: schema.Document,
    mapping_path: pathlib.Path | None,
    rules_path: pathlib.Path | None,
) -> CheckResult:
    """Replace the parts of `base` that the files define.

    Sections without a source in the mapping are kept, and so are the rules if
    there is no rules file.
    """
    parts = [_base_part(base)]
    if mapping_path is not None:
        parts.append(register.read(mapping_path))
    if rules_path is not None:
        parts.append(rules.read(rules_path))
    return merge_parts(parts)


def merge_parts(parts: list[register.DocumentPart]) -> CheckResult:
    """Merge parts, of which later ones override, and validate the result."""
    value: dict[str, Any] = {}
    position_by_path: dict[problems.Path, problems.Position] = {}
    for part in parts:
        value |= part.value
        position_by_path = {
            path: position
            for path, position in position_by_path.items()
            if not path or path[0] not in part.value
        } | part.position_by_path
    faulty_paths = frozenset(
        path for part in parts for path in part.faulty_paths
    )
    incomplete_sections = frozenset(
        name for part in parts for name in part.incomplete_sections
    )
    all_problems = [
        problem for part in parts for problem in part.input_problems
    ]
    validated = schema.validate(value)
    if isinstance(validated, result.Failure):
        all_problems.extend(
            problems.locate(finding, position_by_path)
            for finding in validated.failure()
            if finding.path not in faulty_paths
            and finding.refers_to not in incomplete_sections
            # If the rules file could not be read, findings on the rules of
            # `base`, which it would have replaced, are not reported.
            and not (
                'rules' in incomplete_sections
                and finding.path[:1] == ('rules',)
            )
        )
    if all_problems or isinstance(validated, result.Failure):
        return result.Failure(tuple(sorted(set(all_problems), key=_sort_key)))
    return validated.alt(lambda _: ())


def _base_part(base: schema.Document) -> register.DocumentPart:
    value = schema.to_json(base)
    return register.DocumentPart(
        value,
        {(name,): problems.Position(BASE_SOURCE_NAME, 0) for name in value},
    )


def _sort_key(problem: problems.Problem) -> tuple[str, int, str, str]:
    return (problem.file, problem.line, problem.field, problem.reason)
