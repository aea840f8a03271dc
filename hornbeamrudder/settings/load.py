"""Loads YAML settings files and validates them against pydantic models."""

import pathlib
from typing import TypeVar

import pydantic
from returns import result
import yaml

from ..inventory import problems

MAX_FILE_BYTES = 1024 * 1024

Model = TypeVar('Model', bound=pydantic.BaseModel)


def load(
    path: str, model: type[Model]
) -> result.Result[Model, tuple[problems.Problem, ...]]:
    """Load and validate a settings file.

    Returns
    -------
    Result of model or tuple of Problem
        On failure, all problems with file, line, field and reason.
    """
    try:
        if pathlib.Path(path).stat().st_size > MAX_FILE_BYTES:
            return _unreadable(path, f'file exceeds {MAX_FILE_BYTES} bytes')
        text = pathlib.Path(path).read_text(encoding='utf-8')
        value = yaml.safe_load(text)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        return _unreadable(path, str(error))
    except RecursionError:
        return _unreadable(path, 'YAML is nested too deeply')
    try:
        return result.Success(model.model_validate(value or {}))
    except pydantic.ValidationError as error:
        return result.Failure(
            tuple(
                problems.Problem(
                    path,
                    _line_of(text, item['loc']),
                    '.'.join(map(str, item['loc'])) or 'settings',
                    item['msg'],
                )
                for item in error.errors(include_url=False)
            )
        )


def _unreadable(
    path: str, reason: str
) -> result.Result[Model, tuple[problems.Problem, ...]]:
    return result.Failure((problems.Problem(path, 1, 'file', reason),))


def _line_of(text: str, location: tuple[int | str, ...]) -> int:
    """Return the line of the deepest part of `location` in the file."""
    node = yaml.compose(text, Loader=yaml.SafeLoader)
    line = 1
    for part in location:
        child = _child(node, part)
        if child is None:
            break
        line, node = child
    return line


def _child(
    node: yaml.Node | None, part: int | str
) -> tuple[int, yaml.Node] | None:
    match node:
        case yaml.MappingNode():
            return next(
                (
                    (key.start_mark.line + 1, value)
                    for key, value in node.value
                    if key.value == str(part)
                ),
                None,
            )
        case yaml.SequenceNode() if isinstance(part, int):
            value = node.value[part]
            return value.start_mark.line + 1, value
    return None
