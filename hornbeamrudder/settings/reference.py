"""Reference of all settings as Markdown, made from the pydantic models."""

import re
from typing import Any, Iterator, Mapping

import orjson
import pydantic

HEAD = (
    '# Settings\n\n'
    'Made by `hornbeamrudder reference` from the models in the code; do not'
    ' edit. Unknown keys are refused. An empty default means that the key is'
    ' required. Times are in seconds, sizes in bytes.\n'
)
UNIT_BY_SUFFIX = {
    '_s': 's',
    '_bytes': 'bytes',
    '_per_s': '1/s',
    '_per_second': '1/s',
    '_per_hour': 'currency units/h',
    '_tokens': 'tokens',
    '_requests': 'requests',
    '_share': 'share, 0 to 1',
}
_LIMITS = {
    'minimum': '>= {}',
    'exclusiveMinimum': '> {}',
    'maximum': '<= {}',
    'exclusiveMaximum': '< {}',
    'minLength': 'at least {} characters',
    'maxLength': 'at most {} characters',
    'minItems': 'at least {} items',
    'maxItems': 'at most {} items',
    'pattern': 'matches `{}`',
}
_REFERENCE = '#/$defs/'
# A line of the docstring's section that names one or more attributes.
_ATTRIBUTE = re.compile(r'^([a-z_0-9]+(?:, [a-z_0-9]+)*) : ')

Schema = Mapping[str, Any]


def render(model_by_title: Mapping[str, type[pydantic.BaseModel]]) -> str:
    """Return the page; each model and its parts get one table each."""
    parts = [HEAD]
    for title, model in model_by_title.items():
        schema = model.model_json_schema(mode='validation')
        parts.append(f'## {title}\n')
        parts.extend(_tables(schema))
    return '\n'.join(parts)


def _tables(schema: Schema) -> Iterator[str]:
    yield _table(schema)
    for name, part in schema.get('$defs', {}).items():
        if 'properties' in part:
            yield f'### `{name}`\n'
            yield _table(part)


def _table(schema: Schema) -> str:
    summary, text_by_field = read_docstring(schema.get('description', ''))
    required = schema.get('required', ())
    lines = [
        summary,
        '',
        '| key | type | unit | default | limits | meaning |',
        '|---|---|---|---|---|---|',
    ]
    for name, field in schema.get('properties', {}).items():
        cells = (
            f'`{name}`',
            _type(field),
            _unit(name),
            '' if name in required else _default(field),
            ', '.join(_limits(field)),
            text_by_field.get(name, ''),
        )
        lines.append(
            '| '
            + ' | '.join(cell.replace('|', '\\|') for cell in cells)
            + ' |'
        )
    return '\n'.join([*lines, ''])


def read_docstring(text: str) -> tuple[str, dict[str, str]]:
    """Split a NumPy docstring into its text and the text of attributes."""
    head, _, section = text.partition('\nAttributes\n')
    words_by_field: dict[str, list[str]] = {}
    names: tuple[str, ...] = ()
    for line in section.splitlines()[1:]:
        found = _ATTRIBUTE.match(line)
        if found:
            names = tuple(found.group(1).split(', '))
        else:
            for name in names:
                words_by_field.setdefault(name, []).append(line.strip())
    return (
        ' '.join(head.split()),
        {
            name: ' '.join(words).strip()
            for name, words in words_by_field.items()
        },
    )


def _type(field: Schema) -> str:
    if '$ref' in field:
        return f'`{field["$ref"].removeprefix(_REFERENCE)}`'
    if 'anyOf' in field:
        return ' or '.join(_type(option) for option in field['anyOf'])
    if 'enum' in field or 'const' in field:
        return ' or '.join(
            f'`{item}`' for item in field.get('enum', (field.get('const'),))
        )
    kind = str(field.get('type', 'any'))
    if kind == 'array':
        return f'list of {_type(field.get("items", {}))}'
    if kind == 'object':
        return f'mapping to {_type(field.get("additionalProperties", {}))}'
    return 'none' if kind == 'null' else kind


def _unit(name: str) -> str:
    # The longest suffix decides: `_per_s` also ends with `_s`.
    matching = [item for item in UNIT_BY_SUFFIX if name.endswith(item)]
    return UNIT_BY_SUFFIX[max(matching, key=len)] if matching else ''


def _default(field: Schema) -> str:
    if 'default' not in field:
        return 'the defaults of its keys'
    value = field['default']
    if isinstance(value, dict) and value:
        return 'the defaults of its keys'
    return f'`{orjson.dumps(value).decode()}`'


def _limits(field: Schema) -> Iterator[str]:
    for key, text in _LIMITS.items():
        if key in field:
            yield text.format(field[key])
    for option in field.get('anyOf', ()):
        yield from _limits(option)
    if 'items' in field:
        yield from (f'each {text}' for text in _limits(field['items']))
