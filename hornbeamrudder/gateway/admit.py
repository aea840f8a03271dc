"""Whether a request may be served at all; pure.

Decides from the configuration, its age, and the limit of the account. Each
refusal here is for a request that was sent nowhere.
"""

import dataclasses
from typing import Mapping, Union

from . import messages
from . import records

# Part of the bound on revoked keys for which a configuration counts as
# current after the store has last confirmed it. The store's feed may hold
# back changes for a second, which the rest of the bound covers.
CURRENT_CONFIGURATION_SHARE = 0.62
# Age of the confirmation up to which an unknown route or key is told as
# such; an older configuration may lack what the operator has added since.
FRESH_CONFIGURATION_S = 2.6
# When a client may come back while the node waits for the store.
STORE_RETRY_S = 0.5
# The platform forwards retries to other nodes, which may be better off.
OTHER_NODE_RETRY_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An answer of the system's own to a request that did not run.

    Attributes
    ----------
    retry_after_s : float or None
        When the client may come back.
    inputs : mapping
        What decided it, for the log.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
    inputs: Mapping[str, object] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A request with all that was decided about it.

    Attributes
    ----------
    rank : int
        0 is served first.
    deadline : float
        Time on `clock.now` until which the client waits.
    units : float
        What the request counts against the limit of its account.
    """

    metadata: messages.RequestMetadata
    route: records.Route
    account: records.ClientAccount | None
    rank: int
    deadline: float
    units: float
    version: int


# Ranks of accounts are spread, so that the rank of the route decides within
# the rank of the account.
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
    """Decide on one request.

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
        return Refusal(503, 'unknown route, stale configuration', 0.5)
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
            return Refusal(503, 'unknown key, stale configuration', 0.5)
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


def _rank(route: records.Route, account: records.ClientAccount | None) -> int:
    route_rank = min(route.rank, ROUTE_RANKS - 1)
    if account is None or account.rank is None:
        return route_rank
    return account.rank * ROUTE_RANKS + route_rank
