"""Reads the rules of a document from a YAML file."""

import pathlib

from returns import result

from . import files
from . import problems
from . import register
from . import yaml_nodes


def read(path: pathlib.Path) -> register.DocumentPart:
    """Read a rules file; its content is validated with the document."""
    text = files.read(path, 'utf-8', yaml_nodes.MAX_YAML_BYTES)
    if isinstance(text, result.Failure):
        return _failed_part(text.failure())
    return parse(str(path), text.unwrap())


def parse(file: str, text: str) -> register.DocumentPart:
    """Parse the text of a rules file."""
    parsed = yaml_nodes.parse(file, text)
    if isinstance(parsed, result.Failure):
        return _failed_part(parsed.failure())
    content = parsed.unwrap()
    if not isinstance(content.value, dict):
        # An empty file would reset all rules to the defaults.
        problem = problems.Problem(file, 1, 'rules', 'expected a mapping')
        return _failed_part((problem,))
    return register.DocumentPart(
        {'rules': content.value},
        {
            ('rules', *path): problems.Position(
                file, line, problems.format_path(path) if path else 'rules'
            )
            for path, line in content.line_by_path.items()
        },
    )


def _failed_part(input_problems: files.Problems) -> register.DocumentPart:
    return register.DocumentPart(
        {}, {}, input_problems, incomplete_sections=frozenset({'rules'})
    )
