"""Difference of two configuration documents by key.

Keys are `services/<name>`, `accounts/<id>`, `operators/<id>`, `hosts/<id>`,
`workers/<id>` and `rules/<name>[/<part>]`. Conflicts between operators and
the history of versions use the same keys.
"""

import dataclasses
from typing import Any, Mapping, Sequence, Union

from . import schema

RULES_PREFIX = 'rules/'
_ANY = '*'
# Rules whose values are mappings with one key each.
_NESTED_RULES = ('floors', 'admission')


@dataclasses.dataclass(frozen=True, slots=True)
class Added:
    """A key that only the new document has."""

    key: str
    new: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """A key that only the old document has."""

    key: str
    old: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """A key whose value differs."""

    key: str
    old: Any
    new: Any


Change = Union[Added, Removed, Changed]


def between(old: schema.Document, new: schema.Document) -> tuple[Change, ...]:
    """Return all changes from `old` to `new`, ordered by key."""
    old_by_key = values_by_key(old)
    new_by_key = values_by_key(new)
    changes: list[Change] = []
    for key in sorted(old_by_key.keys() | new_by_key.keys()):
        if key not in old_by_key:
            changes.append(Added(key, new_by_key[key]))
        elif key not in new_by_key:
            changes.append(Removed(key, old_by_key[key]))
        elif old_by_key[key] != new_by_key[key]:
            changes.append(Changed(key, old_by_key[key], new_by_key[key]))
    return tuple(changes)


def values_by_key(document: schema.Document) -> dict[str, Any]:
    """Return the parts of a document by their difference key."""
    return json_by_key(schema.to_json(document))


def json_by_key(value: Mapping[str, Any]) -> dict[str, Any]:
    """Return the parts of a JSON document by their difference key.

    A part that this release does not know, or with another shape, stands
    under its top-level key.
    """
    values: dict[str, Any] = {}
    for section, content in value.items():
        try:
            values |= _section_by_key(section, content)
        except (AttributeError, KeyError, TypeError):
            values[section] = content
    return values


def _section_by_key(section: str, content: Any) -> dict[str, Any]:
    match section:
        case 'services':
            return {f'services/{item["name"]}': item for item in content}
        case 'accounts' | 'operators':
            return {f'{section}/{item["id"]}': item for item in content}
        case 'hosts':
            return _hosts_by_key(content)
        case 'rules':
            return _rules_by_key(content)
    return {section: content}


def _hosts_by_key(hosts: Sequence[Mapping[str, Any]]) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for item in hosts:
        host = dict(item)
        workers = host.pop('workers', ())
        values[f'hosts/{host["id"]}'] = host
        values |= {
            f'workers/{worker["id"]}': worker | {'host': host['id']}
            for worker in workers
        }
    return values


def _rules_by_key(rules: dict[str, Any]) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for name, value in rules.items():
        if name in _NESTED_RULES:
            values |= {
                f'{RULES_PREFIX}{name}/{inner}': item
                for inner, item in value.items()
            }
        elif isinstance(value, list):
            values |= {
                f'{RULES_PREFIX}{name}/{_rule_key(item)}': item
                for item in value
            }
        else:
            values[RULES_PREFIX + name] = value
    return values


def _rule_key(item: Mapping[str, Any]) -> str:
    parts = [
        item[name] or _ANY
        for name in ('service', 'account', 'method', 'path_prefix')
        if name in item
    ]
    return ' '.join(parts)


def to_text(changes: tuple[Change, ...]) -> str:
    """Render changes with one line for each key or changed field."""
    if not changes:
        return 'no difference'
    return '\n'.join(line for change in changes for line in _lines(change))


def to_json(changes: tuple[Change, ...]) -> list[dict[str, Any]]:
    """Return changes as JSON objects with `change`, `key`, `old`, `new`."""
    return [
        {'change': type(change).__name__.lower()} | dataclasses.asdict(change)
        for change in changes
    ]


def _lines(change: Change) -> list[str]:
    match change:
        case Added(key, new):
            return [f'+ {key}: {flat_text(new)}']
        case Removed(key, old):
            return [f'- {key}: {flat_text(old)}']
        case Changed(key, dict() as old, dict() as new):
            return [
                f'~ {key} {name}: {flat_text(old.get(name))}'
                f' -> {flat_text(new.get(name))}'
                for name in sorted(old.keys() | new.keys())
                if old.get(name) != new.get(name)
            ]
        case Changed(key, old, new):
            return [f'~ {key}: {flat_text(old)} -> {flat_text(new)}']


def flat_text(value: Any) -> str:
    """Render a JSON value on one line, without absent values."""
    match value:
        case dict():
            flat_by_name = {
                name: flat_text(item)
                for name, item in value.items()
                if item is not None
            }
            return ', '.join(
                f'{name}=({text})'
                if isinstance(value[name], dict)
                else f'{name}={text}'
                for name, text in flat_by_name.items()
                if text
            )
        case list():
            return '[' + ', '.join(flat_text(item) for item in value) + ']'
        case None:
            return 'none'
        case bool():
            return str(value).lower()
    return str(value)
