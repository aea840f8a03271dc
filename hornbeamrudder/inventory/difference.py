"""Difference between two configuration documents, by key.

Keys are `services/<name>`, `accounts/<id>`, `operators/<id>`, `hosts/<id>`,
`workers/<id>` and `rules/<name>[/<part>]`. Conflicts between operators and
the history of versions use the same keys.
"""

import dataclasses
from typing import Any, Mapping, Sequence, Union

from . import schema

RULES_PREFIX = 'rules/'
_WILDCARD = '*'
# Rules whose value is a mapping; each of its keys is compared separately.
_MAPPING_RULES = ('floors', 'admission')


@dataclasses.dataclass(frozen=True, slots=True)
class Added:
    """A key that exists only in the new document."""

    key: str
    new: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """A key that exists only in the old document."""

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
    """Return all changes from `old` to `new`, sorted by key."""
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
    """Return the parts of a document by key."""
    return json_by_key(schema.to_json(document))


def json_by_key(value: Mapping[str, Any]) -> dict[str, Any]:
    """Return the parts of a JSON document by key.

    A section that is unknown to this release or has an unexpected structure
    is returned under its top-level key.
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
        if name in _MAPPING_RULES:
            values |= {
                f'{RULES_PREFIX}{name}/{name_in_rule}': item
                for name_in_rule, item in value.items()
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
        item[name] or _WILDCARD
        for name in ('service', 'account', 'method', 'path_prefix')
        if name in item
    ]
    return ' '.join(parts)


def format_changes(changes: tuple[Change, ...]) -> str:
    """Format changes with one line per key or changed field."""
    if not changes:
        return 'no difference'
    return '\n'.join(
        line for change in changes for line in _format_change(change)
    )


def to_json(changes: tuple[Change, ...]) -> list[dict[str, Any]]:
    """Return changes as JSON objects with `change`, `key`, `old`, `new`."""
    return [
        {'change': type(change).__name__.lower()} | dataclasses.asdict(change)
        for change in changes
    ]


def _format_change(change: Change) -> list[str]:
    match change:
        case Added(key, new):
            return [f'+ {key}: {format_value(new)}']
        case Removed(key, old):
            return [f'- {key}: {format_value(old)}']
        case Changed(key, dict() as old, dict() as new):
            return [
                f'~ {key} {name}: {format_value(old.get(name))}'
                f' -> {format_value(new.get(name))}'
                for name in sorted(old.keys() | new.keys())
                if old.get(name) != new.get(name)
            ]
        case Changed(key, old, new):
            return [f'~ {key}: {format_value(old)} -> {format_value(new)}']


def format_value(value: Any) -> str:
    """Format a JSON value on one line, without null fields."""
    match value:
        case dict():
            text_by_name = {
                name: format_value(item)
                for name, item in value.items()
                if item is not None
            }
            return ', '.join(
                f'{name}=({text})'
                if isinstance(value[name], dict)
                else f'{name}={text}'
                for name, text in text_by_name.items()
                if text
            )
        case list():
            return '[' + ', '.join(format_value(item) for item in value) + ']'
        case None:
            return 'none'
        case bool():
            return str(value).lower()
    return str(value)
