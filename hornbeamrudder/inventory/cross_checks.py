"""Checks between the parts of a configuration document.

They run on the JSON value, so that a document with a wrong type in one place
still gets all its wrong references reported in the same pass.
"""

import collections
from typing import Any, Callable, Iterable, Iterator, Sequence

from . import problems

Item = tuple[problems.Path, dict[str, Any]]
Keyed = tuple[problems.Path, Any]

FLOOR_RANKS = (('urgent', 0.0), ('standard', 0.10), ('batch', 0.05))
# Shares such as 0.1 + 0.2 + 0.7 add up to slightly more than 1 in binary.
FLOOR_TOLERANCE = 1e-9
RANK_KEY = ('service', 'account', 'method', 'path_prefix')
NON_IDEMPOTENT_KEY = ('service', 'method', 'path_prefix')


def find(value: Any) -> tuple[problems.Finding, ...]:
    """Find duplicates, unknown references, floors over 1, no quiet worker."""
    if not isinstance(value, dict):
        return ()
    return tuple(
        finding
        for check in (
            _duplicates,
            _unknown_references,
            _floors,
            _quiet,
            _fleet,
        )
        for finding in check(value)
    )


def _items(parent: Any, name: str, path: problems.Path = ()) -> list[Item]:
    entries = parent.get(name) if isinstance(parent, dict) else None
    if not isinstance(entries, list):
        return []
    return [
        ((*path, name, index), entry)
        for index, entry in enumerate(entries)
        if isinstance(entry, dict)
    ]


def _workers(value: dict[str, Any]) -> list[Item]:
    return [
        worker
        for path, host in _items(value, 'hosts')
        for worker in _items(host, 'workers', path)
    ]


def _rule_items(value: dict[str, Any], name: str) -> list[Item]:
    return _items(value.get('rules'), name, ('rules',))


def _keyed(items: Iterable[Item], field: str) -> list[Keyed]:
    return [
        ((*path, field), entry[field])
        for path, entry in items
        if isinstance(entry.get(field), str)
    ]


def _by_fields(items: Iterable[Item], fields: Sequence[str]) -> list[Keyed]:
    keyed = [
        (path, tuple(entry.get(name) for name in fields))
        for path, entry in items
    ]
    return [
        (path, key)
        for path, key in keyed
        if all(part is None or isinstance(part, str) for part in key)
    ]


def _addresses(items: Iterable[Item]) -> list[Keyed]:
    return [
        ((*path, 'port'), f'{ip}:{port}')
        for path, entry in items
        if isinstance(ip := entry.get('ip'), str)
        and isinstance(port := entry.get('port'), int)
    ]


def _models(value: dict[str, Any]) -> list[Keyed]:
    return [
        ((*path, 'models', index), model)
        for path, service in _items(value, 'services')
        if isinstance(models := service.get('models'), list)
        for index, model in enumerate(models)
        if isinstance(model, str)
    ]


def _repeats(
    what: str,
    keyed: Sequence[Keyed],
    show: Callable[[Any], str] = ' {}'.format,
) -> Iterator[problems.Finding]:
    paths_by_key = collections.defaultdict(list)
    for path, key in keyed:
        paths_by_key[key].append(path)
    for key, paths in paths_by_key.items():
        for path in paths[1:]:
            first = problems.path_text(paths[0])
            yield problems.Finding(
                path, f'duplicate {what}{show(key)}, first at {first}'
            )


def _duplicates(value: dict[str, Any]) -> Iterator[problems.Finding]:
    yield from _repeats('name', _keyed(_items(value, 'services'), 'name'))
    # A chat completion names only the model, which must lead to one service.
    yield from _repeats('model', _models(value))
    for section in ('accounts', 'operators', 'hosts'):
        yield from _repeats('id', _keyed(_items(value, section), 'id'))
    yield from _repeats('worker id', _keyed(_workers(value), 'id'))
    yield from _repeats('address', _addresses(_workers(value)))
    # One token must name one account or operator, and never both.
    tokens = [
        *_keyed(_items(value, 'accounts'), 'token_sha256'),
        *_keyed(_items(value, 'operators'), 'token_sha256'),
    ]
    yield from _repeats('token digest', tokens, lambda _: '')
    yield from _repeats(
        'weight for account',
        _keyed(_rule_items(value, 'account_weights'), 'account'),
    )
    fleet = _rule_items(value, 'fleet')
    yield from _repeats('rule for service', _keyed(fleet, 'service'))
    for path, rule in fleet:
        yield from _repeats(
            'machine class',
            _keyed(_items(rule, 'offers', path), 'machine_class'),
        )
    for name, fields in (
        ('ranks', RANK_KEY),
        ('non_idempotent', NON_IDEMPOTENT_KEY),
    ):
        yield from _repeats(
            'rule for',
            _by_fields(_rule_items(value, name), fields),
            lambda key: ''.join(f' {part or "*"}' for part in key),
        )


def _unknown_references(value: dict[str, Any]) -> Iterator[problems.Finding]:
    services = {name for _, name in _keyed(_items(value, 'services'), 'name')}
    accounts = {key for _, key in _keyed(_items(value, 'accounts'), 'id')}
    ranks = _rule_items(value, 'ranks')
    for what, known, references in (
        ('service', services, _keyed(_workers(value), 'service')),
        ('service', services, _keyed(ranks, 'service')),
        (
            'service',
            services,
            _keyed(_rule_items(value, 'non_idempotent'), 'service'),
        ),
        ('service', services, _keyed(_rule_items(value, 'fleet'), 'service')),
        ('account', accounts, _keyed(ranks, 'account')),
        (
            'account',
            accounts,
            _keyed(_rule_items(value, 'account_weights'), 'account'),
        ),
    ):
        for path, name in references:
            if name not in known:
                yield problems.Finding(
                    path, f'unknown {what} {name!r}', f'{what}s'
                )


def _fleet(value: dict[str, Any]) -> Iterator[problems.Finding]:
    """Find offers whose model does not belong to their service."""
    services_by_name = {
        service['name']: service
        for _, service in _items(value, 'services')
        if isinstance(service.get('name'), str)
    }
    for path, rule in _rule_items(value, 'fleet'):
        name = rule.get('service')
        if not isinstance(name, str) or name not in services_by_name:
            continue
        service = services_by_name[name]
        models = service.get('models') or []
        for offer_path, offer in _items(rule, 'offers', path):
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


def _floors(value: dict[str, Any]) -> Iterator[problems.Finding]:
    rules = value.get('rules')
    floors = rules.get('floors') if isinstance(rules, dict) else None
    if not isinstance(floors, dict):
        return
    shares = [floors.get(name, default) for name, default in FLOOR_RANKS]
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


def _quiet(value: dict[str, Any]) -> Iterator[problems.Finding]:
    """Find a part too small for one quiet worker in every service."""
    rules = value.get('rules')
    part = rules.get('quiet_part') if isinstance(rules, dict) else None
    if isinstance(part, bool) or not isinstance(part, (int, float)):
        return
    counts = collections.Counter(
        service for _, service in _keyed(_workers(value), 'service')
    )
    most = max(counts.values(), default=0)
    if most and 0 < part * most < 1:
        yield problems.Finding(
            ('rules', 'quiet_part'),
            f'keeps no worker quiet: the largest service has {most} workers',
        )
