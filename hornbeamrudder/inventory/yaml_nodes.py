"""YAML parser that records the line of every value."""

import dataclasses
from typing import Any, Callable

from returns import result
import yaml

from . import problems

# Parsing 1 MiB (40,000 short entries) takes 2.7 s with libyaml.
MAX_YAML_BYTES = 2 * 1024 * 1024
# The YAML composer is recursive: deep nesting would exhaust the stack.
MAX_DEPTH = 32
_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
_TAG = 'tag:yaml.org,2002:'
_BOOLEANS = {'true': True, 'yes': True, 'on': True}
_BOOLEANS |= {'false': False, 'no': False, 'off': False}

Problems = tuple[problems.Problem, ...]
ScalarConverter = Callable[[yaml.ScalarNode], Any]


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedYaml:
    """A JSON value and the line of each path in it."""

    value: Any
    line_by_path: dict[problems.Path, int]


class _UnsupportedScalar(Exception):
    """A scalar without a JSON equivalent."""


def parse(
    file: str, text: str, scalars_as_text: bool = False
) -> result.Result[ParsedYaml, Problems]:
    """Parse one YAML document.

    Parameters
    ----------
    scalars_as_text : bool
        Return every scalar as text, for registers whose values are converted
        by the column mapping.
    """
    try:
        event_problems = _check_events(file, text)
        if event_problems:
            return result.Failure(event_problems)
        node = yaml.compose(text, Loader=_LOADER)
    except yaml.YAMLError as error:
        return result.Failure((_syntax_problem(file, error),))
    except (ValueError, RecursionError) as error:
        return result.Failure(
            (problems.Problem(file, 1, 'file', f'not YAML: {error}'),)
        )
    converter = _NodeConverter(
        file, _convert_to_text if scalars_as_text else _convert_to_json
    )
    if node is None:
        return result.Success(ParsedYaml(None, {(): 1}))
    value = converter.convert(node, ())
    if converter.problems:
        return result.Failure(tuple(converter.problems))
    return result.Success(ParsedYaml(value, converter.line_by_path))


def _check_events(file: str, text: str) -> Problems:
    depth = 0
    event_problems = []
    for event in yaml.parse(text, Loader=_LOADER):
        mark = event.start_mark
        line = mark.line + 1 if mark is not None else 1
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
            if depth > MAX_DEPTH:
                reason = f'nested more than {MAX_DEPTH} levels deep'
                return (problems.Problem(file, line, 'document', reason),)
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        elif isinstance(event, yaml.AliasEvent):
            # Nested aliases grow exponentially when they are expanded.
            reason = f'alias *{event.anchor} is not supported'
            event_problems.append(
                problems.Problem(file, line, 'document', reason)
            )
    return tuple(event_problems)


def _syntax_problem(file: str, error: yaml.YAMLError) -> problems.Problem:
    mark = getattr(error, 'problem_mark', None) or getattr(
        error, 'context_mark', None
    )
    reason = getattr(error, 'problem', None) or str(error).splitlines()[0]
    line = mark.line + 1 if mark is not None else 1
    return problems.Problem(file, line, 'document', f'not YAML: {reason}')


class _NodeConverter:
    """Converts YAML nodes to JSON values; collects lines and problems."""

    def __init__(self, file: str, convert_scalar: ScalarConverter) -> None:
        self._file = file
        self._convert_scalar = convert_scalar
        self.line_by_path: dict[problems.Path, int] = {}
        self.problems: list[problems.Problem] = []

    def convert(self, node: yaml.Node, path: problems.Path) -> Any:
        self.line_by_path.setdefault(path, node.start_mark.line + 1)
        match node:
            case yaml.MappingNode():
                return self._mapping(node, path)
            case yaml.SequenceNode():
                return [
                    self.convert(item, (*path, index))
                    for index, item in enumerate(node.value)
                ]
            case yaml.ScalarNode():
                try:
                    return self._convert_scalar(node)
                except _UnsupportedScalar as error:
                    self._add_problem(node, path, str(error))
        return None

    def _mapping(
        self, node: yaml.MappingNode, path: problems.Path
    ) -> dict[str, Any]:
        value: dict[str, Any] = {}
        for key_node, value_node in node.value:
            if not isinstance(key_node, yaml.ScalarNode):
                self._add_problem(key_node, path, 'a key must be text')
                continue
            key = key_node.value
            value_path = (*path, key)
            if key in value:
                first = self.line_by_path[value_path]
                self._add_problem(
                    key_node,
                    value_path,
                    f'duplicate key, first on line {first}',
                )
                continue
            self.line_by_path[value_path] = key_node.start_mark.line + 1
            value[key] = self.convert(value_node, value_path)
        return value

    def _add_problem(
        self, node: yaml.Node, path: problems.Path, reason: str
    ) -> None:
        self.problems.append(
            problems.Problem(
                self._file,
                node.start_mark.line + 1,
                problems.format_path(path),
                reason,
            )
        )


def _convert_to_text(node: yaml.ScalarNode) -> str:
    return '' if node.tag == _TAG + 'null' else node.value


def _convert_to_json(node: yaml.ScalarNode) -> Any:
    match node.tag.removeprefix(_TAG):
        case 'str' | 'timestamp':
            return node.value
        case 'null':
            return None
        case 'bool' if node.value.lower() in _BOOLEANS:
            return _BOOLEANS[node.value.lower()]
        case 'int' | 'float' as tag:
            return _convert_number(tag, node.value)
    raise _UnsupportedScalar(f'unsupported YAML type {node.tag}')


def _convert_number(tag: str, text: str) -> int | float:
    # YAML 1.1 also has octal, hexadecimal and base 60 numbers (`1:30`), which
    # are rejected because they are rarely intended.
    digits = text.removeprefix('+').removeprefix('-')
    try:
        if tag == 'float':
            return float(text)
        if digits.isdecimal() and (digits == '0' or digits[0] != '0'):
            return int(text)
    except ValueError:
        pass
    raise _UnsupportedScalar(f'{text[:40]!r} is not a decimal number')
