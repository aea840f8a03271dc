"""Decodes the operator's configuration as stored in the metadata store."""

import itertools
from typing import Any, Mapping

from ..core import errors
from ..core import ids
from ..gateway import records

_RETRY_SAFETY_BY_KIND = {
    'safe': records.RetrySafety.SAFE,
    'unsafe': records.RetrySafety.AT_MOST_ONCE,
    'streaming': records.RetrySafety.STREAM,
}
# Default for routes without `timeoutMs`; the platform always sets it.
DEFAULT_TIMEOUT_MS = 15000.0


def decode(
    fields: Mapping[str, Any],
) -> records.Configuration | errors.Failure:
    """Decode one version of the configuration."""
    try:
        return _decode(fields)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return errors.Failure(
            errors.FailureKind.INVALID,
            errors.Step.PUBLISH_CONFIGURATION,
            'store',
            f'malformed configuration: {error!r}',
        )


def _decode(fields: Mapping[str, Any]) -> records.Configuration:
    routes = sorted(
        map(_decode_route, fields.get('routes') or ()),
        key=lambda route: (route.host, -len(route.path_prefix)),
    )
    accounts = tuple(map(_decode_account, fields.get('tenants') or ()))
    return records.Configuration(
        version=ids.Version(int(fields['version'])),
        routes_by_host={
            host: tuple(group)
            for host, group in itertools.groupby(
                routes, key=lambda route: route.host
            )
        },
        services_by_name={
            service.name: service
            for service in map(_decode_service, fields.get('services') or ())
        },
        accounts_by_id={account.id: account for account in accounts},
        account_by_key={
            key: account for account in accounts for key in account.keys
        },
        limits=_decode_limits(fields.get('limits') or {}),
        urgency_by_service=records.urgency_by_service(routes),
    )


def _decode_route(fields: Mapping[str, Any]) -> records.Route:
    # A route has either a single service or a weighted list of services.
    split = fields.get('trafficSplit')
    weights = (
        {
            ids.ServiceName(part['service']): float(part['weight'])
            for part in split
        }
        if split
        else {ids.ServiceName(fields['service']): 1.0}
    )
    timeout_ms = float(fields.get('timeoutMs') or DEFAULT_TIMEOUT_MS)
    return records.Route(
        name=records.RouteName(str(fields.get('name', ''))),
        host=str(fields['host']).lower(),
        path_prefix=str(fields['prefix']),
        retry_safety=_RETRY_SAFETY_BY_KIND[fields['kind']],
        weight_by_service=weights,
        timeout_s=timeout_ms / 1e3,
        target_s=float(fields.get('targetLatencyMs') or timeout_ms) / 1e3,
        gap_target_s=float(fields.get('gapTargetMs') or 0) / 1e3,
        rank=int(fields.get('priority') or 0),
        max_servers=max(1, int(fields.get('maxAttempts') or 1)),
        public=bool(fields.get('public')),
        resumable=bool(fields.get('streamResume')),
    )


def _decode_service(fields: Mapping[str, Any]) -> records.BackendService:
    engine = fields.get('engine')
    scaling = fields.get('scaling')
    return records.BackendService(
        name=ids.ServiceName(str(fields['name'])),
        max_connections=int(fields.get('maxConnections') or 0),
        engine=records.Engine(
            slots=int(engine['slots']),
            kv_cache_tokens=int(engine.get('kvCapacityTokens') or 0),
            # `stride` is the number of tokens per stream event.
            tokens_per_event=max(1, int(engine.get('stride') or 1)),
            can_move=bool(engine.get('moves')),
            can_back_up=bool(engine.get('backups')),
        )
        if engine
        else None,
        scaling=records.Scaling(
            min_servers=int(scaling['min']),
            max_servers=int(scaling['max']),
            boot_s=float(scaling.get('bootS') or 0),
            reclaimable_price=scaling.get('spotPrice'),
            price_by_data_centre={
                ids.DataCentreName(name): float(price)
                for name, price in (scaling.get('zonePrices') or {}).items()
            },
        )
        if scaling
        else None,
    )


def _decode_account(fields: Mapping[str, Any]) -> records.ClientAccount:
    priority = fields.get('priority')
    return records.ClientAccount(
        id=ids.AccountId(str(fields['name'])),
        keys=tuple(map(str, fields.get('apiKeys') or ())),
        rank=None if priority is None else int(priority),
        counts_tokens=fields.get('unit') == 'token_stream',
        plain_tokens=int(fields.get('plainTokens') or 1),
        rate_per_s=float(fields.get('ratePerS') or 0),
        burst=float(fields.get('burst') or 0),
    )


def _decode_limits(fields: Mapping[str, Any]) -> records.CallerLimits:
    default = records.CallerLimits()
    return records.CallerLimits(
        max_header_bytes=int(
            fields.get('maxHeaderBytes') or default.max_header_bytes
        ),
        max_body_bytes=int(
            fields.get('maxBodyBytes') or default.max_body_bytes
        ),
        header_timeout_s=float(
            fields.get('headerTimeoutMs') or default.header_timeout_s * 1e3
        )
        / 1e3,
        idle_timeout_s=float(
            fields.get('idleTimeoutMs') or default.idle_timeout_s * 1e3
        )
        / 1e3,
    )
