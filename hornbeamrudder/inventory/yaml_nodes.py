"""YAML text read with the line of every value, from the composer's marks."""

import dataclasses
from typing import Any, Callable

from returns import result
import yaml

from . import problems

# Reading 1 MiB took 2.7 s with libyaml (40,000 short entries).
MAX_YAML_BYTES = 2 * 1024 * 1024
# The composer is recursive.
MAX_DEPTH = 32
_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
_TAG = 'tag:yaml.org,2002:'
_BOOLEANS = {'true': True, 'yes': True, 'on': True}
_BOOLEANS |= {'false': False, 'no': False, 'off': False}

Problems = tuple[problems.Problem, ...]
ScalarFunction = Callable[[yaml.ScalarNode], Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """A JSON value and the line of each path in it."""

    value: Any
    line_by_path: dict[problems.Path, int]


class _Unsuitable(Exception):
    """Internal: a scalar that has no JSON value."""


def parse(
    file: str, text: str, as_text: bool = False
) -> result.Result[Content, Problems]:
    """Parse one YAML document.

    Parameters
    ----------
    as_text : bool
        Give every scalar as written, for registers whose values are
        converted by the column mapping.
    """
    try:
        faults = _event_faults(file, text)
        if faults:
            return result.Failure(faults)
        node = yaml.compose(text, Loader=_LOADER)
    except yaml.YAMLError as error:
        return result.Failure((_syntax_problem(file, error),))
    except (ValueError, RecursionError) as error:
        return result.Failure(
            (problems.Problem(file, 1, 'file', f'not YAML: {error}'),)
        )
    builder = _Builder(file, _as_text if as_text else _as_json)
    if node is None:
        return result.Success(Content(None, {(): 1}))
    value = builder.build(node, ())
    if builder.problems:
        return result.Failure(tuple(builder.problems))
    return result.Success(Content(value, builder.line_by_path))


def _event_faults(file: str, text: str) -> Problems:
    depth = 0
    faults = []
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
            # Aliases of aliases grow exponentially when they are expanded.
            reason = f'alias *{event.anchor} is not supported'
            faults.append(problems.Problem(file, line, 'document', reason))
    return tuple(faults)


def _syntax_problem(file: str, error: yaml.YAMLError) -> problems.Problem:
    mark = getattr(error, 'problem_mark', None) or getattr(
        error, 'context_mark', None
    )
    reason = getattr(error, 'problem', None) or str(error).splitlines()[0]
    line = mark.line + 1 if mark is not None else 1
    return problems.Problem(file, line, 'document', f'not YAML: {reason}')


class _Builder:
    """Turns nodes into JSON values and collects lines and problems."""

    def __init__(self, file: str, scalar: ScalarFunction) -> None:
        self._file = file
        self._scalar = scalar
        self.line_by_path: dict[problems.Path, int] = {}
        self.problems: list[problems.Problem] = []

    def build(self, node: yaml.Node, path: problems.Path) -> Any:
        self.line_by_path.setdefault(path, node.start_mark.line + 1)
        match node:
            case yaml.MappingNode():
                return self._mapping(node, path)
            case yaml.SequenceNode():
                return [
                    self.build(item, (*path, index))
                    for index, item in enumerate(node.value)
                ]
            case yaml.ScalarNode():
                try:
                    return self._scalar(node)
                except _Unsuitable as error:
                    self._add(node, path, str(error))
        return None

    def _mapping(
        self, node: yaml.MappingNode, path: problems.Path
    ) -> dict[str, Any]:
        value: dict[str, Any] = {}
        for key_node, value_node in node.value:
            if not isinstance(key_node, yaml.ScalarNode):
                self._add(key_node, path, 'a key must be text')
                continue
            key = key_node.value
            inner = (*path, key)
            if key in value:
                first = self.line_by_path[inner]
                self._add(
                    key_node, inner, f'duplicate key, first on line {first}'
                )
                continue
            self.line_by_path[inner] = key_node.start_mark.line + 1
            value[key] = self.build(value_node, inner)
        return value

    def _add(self, node: yaml.Node, path: problems.Path, reason: str) -> None:
        self.problems.append(
            problems.Problem(
                self._file,
                node.start_mark.line + 1,
                problems.path_text(path),
                reason,
            )
        )


def _as_text(node: yaml.ScalarNode) -> str:
    return '' if node.tag == _TAG + 'null' else node.value


def _as_json(node: yaml.ScalarNode) -> Any:
    match node.tag.removeprefix(_TAG):
        case 'str' | 'timestamp':
            return node.value
        case 'null':
            return None
        case 'bool' if node.value.lower() in _BOOLEANS:
            return _BOOLEANS[node.value.lower()]
        case 'int' | 'float' as tag:
            return _number(tag, node.value)
    raise _Unsuitable(f'unsupported YAML type {node.tag}')


def _number(tag: str, text: str) -> int | float:
    # YAML 1.1 also has octal, hexadecimal and base 60 numbers (`1:30`); they
    # are refused because operators hardly mean them.
    plain = text.removeprefix('+').removeprefix('-')
    try:
        if tag == 'float':
            return float(text)
        if plain.isdecimal() and (plain == '0' or plain[0] != '0'):
            return int(text)
    except ValueError:
        pass
    raise _Unsuitable(f'{text[:40]!r} is not a decimal number')
