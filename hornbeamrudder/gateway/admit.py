"""Admission check of a request; no I/O.

Decides from the configuration and its age. A request refused here has not
been sent to any backend server.
"""

import dataclasses
from typing import Mapping, Union

from . import messages
from . import records

# Share of the bound on revoked keys during which a configuration counts as
# current after the store has confirmed it. The rest of the bound covers the
# store's feed, which may delay changes by a second.
CURRENT_CONFIGURATION_SHARE = 0.62
# Up to this age of the confirmation, an unknown route or key is reported as
# 404 or 401; an older configuration may lack recent additions.
FRESH_CONFIGURATION_S = 2.6
# Retry-After while the configuration is not confirmed by the store.
STORE_RETRY_S = 0.5
# Retry-After where another node may serve the request; the platform sends
# retries to other nodes.
OTHER_NODE_RETRY_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Error response to a request that was not admitted.

    Attributes
    ----------
    retry_after_s : float or None
        Value of Retry-After.
    inputs : mapping
        Inputs of the decision, for the log.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
    inputs: Mapping[str, object] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """An admitted request and the decisions about it.

    Attributes
    ----------
    rank : int
        Priority; 0 is served first.
    deadline : float
        Time on `clock.now` until which the client waits.
    units : float
        Units that the request counts against its account's limit.
    """

    metadata: messages.RequestMetadata
    route: records.Route
    account: records.ClientAccount | None
    rank: int
    deadline: float
    units: float
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopTimes:
    """Times of a graceful stop, on `clock.now`.

    Attributes
    ----------
    last_stream_at : float
        Time after which the node starts no streams, because it could not
        complete them.
    ends_at : float
        Time at which the node ends the requests that are in progress.
    """

    last_stream_at: float = float('inf')
    ends_at: float = float('inf')


# Number of route ranks within one account rank: requests are ordered by the
# account's rank, then by the route's.
ROUTE_RANKS = 3


def check(
    configuration: records.Configuration | None,
    confirmed_age_s: float,
    bounds: records.Bounds,
    host: str,
    path: str,
    metadata: messages.RequestMetadata,
    arrived_at: float,
    now: float,
) -> Union[Admitted, Refusal]:
    """Admit or refuse one request.

    Parameters
    ----------
    confirmed_age_s : float
        Seconds since the store confirmed that the configuration is current.
    """
    if configuration is None:
        return Refusal(503, 'no configuration yet', OTHER_NODE_RETRY_S)
    is_fresh = confirmed_age_s <= FRESH_CONFIGURATION_S
    route = configuration.find_route(host, path)
    if route is None:
        if is_fresh:
            return Refusal(404, 'no such route')
        return Refusal(
            503, 'unknown route, stale configuration', STORE_RETRY_S
        )
    account = configuration.account_by_key.get(metadata.key or '')
    if not route.public and configuration.accounts_by_id:
        if (
            bounds.strict_revoke
            and confirmed_age_s > CURRENT_CONFIGURATION_SHARE * bounds.revoke_s
        ):
            return Refusal(
                503, 'configuration may have changed', STORE_RETRY_S
            )
        if account is None:
            if is_fresh:
                return Refusal(401, 'unknown key')
            return Refusal(
                503, 'unknown key, stale configuration', STORE_RETRY_S
            )
    if metadata.request_id is None:
        return Refusal(400, 'no request id, or several')
    deadline = arrived_at + min(
        route.timeout_s,
        route.timeout_s
        if metadata.remaining_s is None
        else metadata.remaining_s,
    )
    if deadline <= now:
        return Refusal(503, 'no time left')
    return Admitted(
        metadata=metadata,
        route=route,
        account=account,
        rank=_rank(route, account),
        deadline=deadline,
        units=messages.expected_tokens(
            metadata,
            account.counts_tokens if account else False,
            account.plain_tokens if account else 1,
        ),
        version=configuration.version,
    )


def check_stop(
    admitted: Admitted, stop_times: StopTimes, now: float
) -> Union[Admitted, Refusal]:
    """Refuse a request that a stopping node may not be able to complete."""
    is_stream = admitted.route.retry_safety is records.RetrySafety.STREAM
    if now > stop_times.last_stream_at and (
        is_stream or admitted.deadline > stop_times.ends_at
    ):
        return Refusal(503, 'node is stopping', OTHER_NODE_RETRY_S)
    return admitted


def _rank(route: records.Route, account: records.ClientAccount | None) -> int:
    route_rank = min(route.rank, ROUTE_RANKS - 1)
    if account is None or account.rank is None:
        return route_rank
    return account.rank * ROUTE_RANKS + route_rank
