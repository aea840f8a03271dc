"""Decodes the settings file that the platform provides to each process."""

import ipaddress
import os
from typing import Any, Mapping

import yaml

from ..core import errors
from ..core import ids
from ..core import types
from ..gateway import records

CONFIG_ENV_VAR = 'HORNBEAMRUDDER_CONFIG'
USAGE_DUTY = 'usage_report'
SCALING_DUTY = 'autoscale'
MAX_PORT = 65535
DEFAULT_MEMORY_MB = 300.0
_Loader = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


def load(
    path: str | None = None,
) -> records.NodeSettings | errors.Failure:
    """Load and validate the settings; unknown fields are ignored.

    Parameters
    ----------
    path : str, optional
        Defaults to the value of HORNBEAMRUDDER_CONFIG.

    Returns
    -------
    NodeSettings or Failure
        The failure names the first missing or malformed field.
    """
    path = path or os.environ.get(CONFIG_ENV_VAR, '')
    try:
        with open(path, encoding='utf-8') as file:
            fields = yaml.load(file, Loader=_Loader)
    except (OSError, yaml.YAMLError) as error:
        return _failure(path, f'cannot be read: {error}')
    try:
        return decode(fields, path)
    except KeyError as error:
        return _failure(path, f'missing field: {error}')
    except (TypeError, ValueError, AttributeError) as error:
        return _failure(path, f'malformed field: {error}')


def is_platform_file(path: str) -> bool:
    """Return whether a settings file has the platform's format.

    The alternative is the project's own format, `settings.schema`.
    """
    try:
        with open(path, encoding='utf-8') as file:
            fields = yaml.load(file, Loader=_Loader)
    except (OSError, yaml.YAMLError):
        # The caller loads the file next, which reports this error.
        return False
    return isinstance(fields, dict) and 'machineClass' in fields


def decode(fields: Mapping[str, Any], path: str = '') -> records.NodeSettings:
    """Decode the fields of a settings file.

    Raises
    ------
    AttributeError, KeyError, TypeError, ValueError
        If a field is missing or malformed.
    """
    listen = fields['listen']
    cloud = fields.get('cloudApi') or {}
    zones = fields.get('zones') or {fields['zone']: ''}
    ports = fields['internalPorts']
    limits = fields.get('limits') or {}
    memory_mb = float(limits.get('memoryMb') or DEFAULT_MEMORY_MB)
    return records.NodeSettings(
        node=ids.NodeId(str(fields['node'])),
        ip=str(fields['ip']),
        data_centre=ids.DataCentreName(str(fields['zone'])),
        front=decode_address(listen['front']),
        readiness=decode_address(listen['readiness']),
        peer_port=int(ports[0]),
        metrics_port=int(ports[1]),
        store=decode_address(fields['platform']['address']),
        cloud=decode_address(cloud['address']) if cloud else None,
        duties=frozenset(map(str, cloud.get('duties') or ())),
        data_centres=tuple(map(ids.DataCentreName, zones)),
        row_bytes=int(fields['platform'].get('rowBytes') or 65536),
        bounds=_decode_bounds(fields.get('bounds') or {}),
        boot_path=path,
        link_mbps=float(limits.get('linkMbps') or 0.0),
        memory_bytes=memory_mb * 1e6,
        max_fds=int(limits.get('maxFds') or 0),
    )


def _decode_bounds(fields: Mapping[str, Any]) -> records.Bounds:
    default = records.Bounds()

    def number(name: str, fallback: float, scale: float = 1.0) -> float:
        value = fields.get(name)
        return fallback if value is None else float(value) * scale

    share = fields.get('exposureShare')
    return records.Bounds(
        revoke_s=number('revokeMs', default.revoke_s, 1e-3),
        drain_s=number('drainMs', default.drain_s, 1e-3),
        grace_s=number('graceS', default.grace_s),
        contact_s=number('contactMs', default.contact_s, 1e-3),
        lease_s=number('leaseMs', default.lease_s, 1e-3),
        retry_ratio=number('retryBudgetRatio', default.retry_ratio),
        retry_window_s=number('budgetWindowS', default.retry_window_s),
        retry_slack=number('budgetSlack', default.retry_slack),
        quota_window_s=number('quotaWindowS', default.quota_window_s),
        quota_slack_tokens=number('quotaSlack', default.quota_slack_tokens),
        usage_window_s=number('usageWindowS', default.usage_window_s),
        usage_late_s=number('usageLateS', default.usage_late_s),
        reuse_window_s=number('reuseWindowS', default.reuse_window_s),
        strict_revoke=bool(fields.get('strictRevoke', True)),
        require_fence=bool(fields.get('requireFence', False)),
        exposure_share=None if share is None else float(share),
        exposure_slack=number('exposureSlack', default.exposure_slack),
        rollback_s=number('rollbackMs', default.rollback_s, 1e-3),
    )


def decode_address(text: str) -> types.Address:
    """Parse an address in the form `IP:PORT`.

    Raises
    ------
    ValueError
        It is not of that form; names of hosts are not resolved.
    """
    ip, _, port = str(text).rpartition(':')
    return decode_endpoint(ip, port)


def decode_endpoint(ip: str, port: Any) -> types.Address:
    """Return an address that a connection or a datagram can be sent to.

    Raises
    ------
    OverflowError, TypeError, ValueError
        The IP address or the port is not valid.
    """
    number = int(port)
    if not 0 < number <= MAX_PORT:
        raise ValueError(f'port {port} is out of range')
    return types.Address(str(ipaddress.ip_address(ip)), number)


def _failure(path: str, detail: str) -> errors.Failure:
    return errors.Failure(
        errors.FailureKind.INVALID, errors.Step.READ_REQUEST, path, detail
    )
