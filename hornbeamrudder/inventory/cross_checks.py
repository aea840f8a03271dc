"""Consistency checks between the sections of a configuration document.

The checks run on the JSON value, not on the validated model, so that invalid
references are reported together with type errors elsewhere in the document.
"""

import collections
from typing import Any, Callable, Iterable, Iterator, Sequence

from . import problems

EntryAtPath = tuple[problems.Path, dict[str, Any]]
KeyAtPath = tuple[problems.Path, Any]

DEFAULT_FLOORS = (('urgent', 0.0), ('standard', 0.10), ('batch', 0.05))
# In binary floating point, 0.1 + 0.2 + 0.7 exceeds 1 slightly.
FLOOR_TOLERANCE = 1e-9
RANK_KEY_FIELDS = ('service', 'account', 'method', 'path_prefix')
NON_IDEMPOTENT_KEY_FIELDS = ('service', 'method', 'path_prefix')


def find_violations(value: Any) -> tuple[problems.Finding, ...]:
    """Run all checks and return their findings."""
    if not isinstance(value, dict):
        return ()
    return tuple(
        finding
        for check in (
            _check_duplicates,
            _check_references,
            _check_floors,
            _check_quiet_part,
            _check_fleet_models,
        )
        for finding in check(value)
    )


def _entries(
    parent: Any, name: str, path: problems.Path = ()
) -> list[EntryAtPath]:
    candidates = parent.get(name) if isinstance(parent, dict) else None
    if not isinstance(candidates, list):
        return []
    return [
        ((*path, name, index), entry)
        for index, entry in enumerate(candidates)
        if isinstance(entry, dict)
    ]


def _workers(value: dict[str, Any]) -> list[EntryAtPath]:
    return [
        worker
        for path, host in _entries(value, 'hosts')
        for worker in _entries(host, 'workers', path)
    ]


def _rule_entries(value: dict[str, Any], name: str) -> list[EntryAtPath]:
    return _entries(value.get('rules'), name, ('rules',))


def _keys_of_field(
    entries: Iterable[EntryAtPath], field: str
) -> list[KeyAtPath]:
    return [
        ((*path, field), entry[field])
        for path, entry in entries
        if isinstance(entry.get(field), str)
    ]


def _keys_of_fields(
    entries: Iterable[EntryAtPath], fields: Sequence[str]
) -> list[KeyAtPath]:
    keys = [
        (path, tuple(entry.get(name) for name in fields))
        for path, entry in entries
    ]
    return [
        (path, key)
        for path, key in keys
        if all(part is None or isinstance(part, str) for part in key)
    ]


def _addresses(entries: Iterable[EntryAtPath]) -> list[KeyAtPath]:
    return [
        ((*path, 'port'), f'{ip}:{port}')
        for path, entry in entries
        if isinstance(ip := entry.get('ip'), str)
        and isinstance(port := entry.get('port'), int)
    ]


def _models(value: dict[str, Any]) -> list[KeyAtPath]:
    return [
        ((*path, 'models', index), model)
        for path, service in _entries(value, 'services')
        if isinstance(models := service.get('models'), list)
        for index, model in enumerate(models)
        if isinstance(model, str)
    ]


def _find_duplicates(
    label: str,
    keys: Sequence[KeyAtPath],
    format_key: Callable[[Any], str] = ' {}'.format,
) -> Iterator[problems.Finding]:
    paths_by_key = collections.defaultdict(list)
    for path, key in keys:
        paths_by_key[key].append(path)
    for key, paths in paths_by_key.items():
        for path in paths[1:]:
            first = problems.format_path(paths[0])
            yield problems.Finding(
                path, f'duplicate {label}{format_key(key)}, first at {first}'
            )


def _check_duplicates(value: dict[str, Any]) -> Iterator[problems.Finding]:
    yield from _find_duplicates(
        'name', _keys_of_field(_entries(value, 'services'), 'name')
    )
    # A chat completion names only the model, which must identify one service.
    yield from _find_duplicates('model', _models(value))
    for section in ('accounts', 'operators', 'hosts'):
        yield from _find_duplicates(
            'id', _keys_of_field(_entries(value, section), 'id')
        )
    yield from _find_duplicates(
        'worker id', _keys_of_field(_workers(value), 'id')
    )
    yield from _find_duplicates('address', _addresses(_workers(value)))
    # A token must identify a single account or operator, never one of each.
    tokens = [
        *_keys_of_field(_entries(value, 'accounts'), 'token_sha256'),
        *_keys_of_field(_entries(value, 'operators'), 'token_sha256'),
    ]
    yield from _find_duplicates('token digest', tokens, lambda _: '')
    yield from _find_duplicates(
        'weight for account',
        _keys_of_field(_rule_entries(value, 'account_weights'), 'account'),
    )
    fleet = _rule_entries(value, 'fleet')
    yield from _find_duplicates(
        'rule for service', _keys_of_field(fleet, 'service')
    )
    for path, rule in fleet:
        yield from _find_duplicates(
            'machine class',
            _keys_of_field(_entries(rule, 'offers', path), 'machine_class'),
        )
    for name, fields in (
        ('ranks', RANK_KEY_FIELDS),
        ('non_idempotent', NON_IDEMPOTENT_KEY_FIELDS),
    ):
        yield from _find_duplicates(
            'rule for',
            _keys_of_fields(_rule_entries(value, name), fields),
            lambda key: ''.join(f' {part or "*"}' for part in key),
        )


def _check_references(value: dict[str, Any]) -> Iterator[problems.Finding]:
    services = {
        name for _, name in _keys_of_field(_entries(value, 'services'), 'name')
    }
    accounts = {
        key for _, key in _keys_of_field(_entries(value, 'accounts'), 'id')
    }
    ranks = _rule_entries(value, 'ranks')
    for label, known, references in (
        ('service', services, _keys_of_field(_workers(value), 'service')),
        ('service', services, _keys_of_field(ranks, 'service')),
        (
            'service',
            services,
            _keys_of_field(_rule_entries(value, 'non_idempotent'), 'service'),
        ),
        (
            'service',
            services,
            _keys_of_field(_rule_entries(value, 'fleet'), 'service'),
        ),
        ('account', accounts, _keys_of_field(ranks, 'account')),
        (
            'account',
            accounts,
            _keys_of_field(_rule_entries(value, 'account_weights'), 'account'),
        ),
    ):
        for path, name in references:
            if name not in known:
                yield problems.Finding(
                    path, f'unknown {label} {name!r}', f'{label}s'
                )


def _check_fleet_models(value: dict[str, Any]) -> Iterator[problems.Finding]:
    """Find offers with a missing model or one of another service."""
    services_by_name = {
        service['name']: service
        for _, service in _entries(value, 'services')
        if isinstance(service.get('name'), str)
    }
    for path, rule in _rule_entries(value, 'fleet'):
        name = rule.get('service')
        if not isinstance(name, str) or name not in services_by_name:
            continue
        service = services_by_name[name]
        models = service.get('models') or []
        for offer_path, offer in _entries(rule, 'offers', path):
            model = offer.get('model')
            if model is None and service.get('kind') == 'model_engine':
                yield problems.Finding(
                    (*offer_path, 'model'), f'service {name} needs a model'
                )
            elif model is not None and model not in models:
                yield problems.Finding(
                    (*offer_path, 'model'),
                    f'{model!r} is no model of service {name}',
                )


def _check_floors(value: dict[str, Any]) -> Iterator[problems.Finding]:
    rules = value.get('rules')
    floors = rules.get('floors') if isinstance(rules, dict) else None
    if not isinstance(floors, dict):
        return
    shares = [floors.get(name, default) for name, default in DEFAULT_FLOORS]
    if any(
        isinstance(share, bool) or not isinstance(share, (int, float))
        for share in shares
    ):
        return
    total = sum(shares)
    if total > 1 + FLOOR_TOLERANCE:
        yield problems.Finding(
            ('rules', 'floors'), f'floors add up to {total:.4g}, more than 1'
        )


def _check_quiet_part(value: dict[str, Any]) -> Iterator[problems.Finding]:
    """Find a `quiet_part` that is below one worker in every service."""
    rules = value.get('rules')
    part = rules.get('quiet_part') if isinstance(rules, dict) else None
    if isinstance(part, bool) or not isinstance(part, (int, float)):
        return
    counts = collections.Counter(
        service for _, service in _keys_of_field(_workers(value), 'service')
    )
    largest = max(counts.values(), default=0)
    if largest and 0 < part * largest < 1:
        yield problems.Finding(
            ('rules', 'quiet_part'),
            'keeps no worker quiet: the largest service has'
            f' {largest} workers',
        )
