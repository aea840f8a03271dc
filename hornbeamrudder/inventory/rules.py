"""Reads the rules of a document from a YAML file."""

import pathlib

from returns import result

from . import files
from . import problems
from . import register
from . import yaml_nodes


def read(path: pathlib.Path) -> register.Part:
    """Read a rules file; its content is checked with the document."""
    text = files.read(path, 'utf-8', yaml_nodes.MAX_YAML_BYTES)
    if isinstance(text, result.Failure):
        return _failed(text.failure())
    return parse(str(path), text.unwrap())


def parse(file: str, text: str) -> register.Part:
    """Parse the text of a rules file."""
    parsed = yaml_nodes.parse(file, text)
    if isinstance(parsed, result.Failure):
        return _failed(parsed.failure())
    content = parsed.unwrap()
    if not isinstance(content.value, dict):
        # An empty file would replace all rules by the defaults.
        problem = problems.Problem(file, 1, 'rules', 'expected a mapping')
        return _failed((problem,))
    return register.Part(
        {'rules': content.value},
        {
            ('rules', *path): problems.Position(
                file, line, problems.path_text(path) if path else 'rules'
            )
            for path, line in content.line_by_path.items()
        },
    )


def _failed(found: files.Problems) -> register.Part:
    return register.Part({}, {}, found, incomplete=frozenset({'rules'}))
