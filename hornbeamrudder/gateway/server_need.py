"""Backend servers that a demand needs; no I/O.

A server carries as much that prompts wait for a small share of the strictest
target time.
"""

import dataclasses
import math

from . import demand as demand_

# Share of the strictest target time that a prompt may wait on average for the
# prompts ahead of it: in calm, and while servers are missing.
CALM_WAIT_SHARE = 1 / 8
SHORTAGE_WAIT_SHARE = 1 / 4
# Requests in progress at a server on average, likewise: requests of all ranks
# meet their target times, or urgent ones do (docs/policy.md).
RUNNING_PER_SERVER = 10.0
RUNNING_PER_SERVER_IN_SHORTAGE = 25.0
# Share of a server's slots in use on average, likewise.
CALM_SLOT_SHARE = 0.6
SHORTAGE_SLOT_SHARE = 0.75
# Bounds of the utilisation at which the mean wait is short enough.
MIN_UTILISATION = 0.3
MAX_UTILISATION = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """What one backend server of a service carries.

    Attributes
    ----------
    tokens_per_ms : float
        Prompt tokens that it prefills; 0 to leave them out, as for plain
        services.
    slowness : float
        Mean duration of work on the hosts relative to the usual one.
    target_s : float
        Strictest target time of the routes to the service.
    """

    slots: int
    tokens_per_ms: float
    target_s: float
    slowness: float = 1.0


def utilisation(
    rates: demand_.Rates, capacity: Capacity, wait_share: float
) -> float:
    """Return the utilisation at which prompts wait no longer than allowed.

    From the mean wait at a single server with random arrivals,
    `u / (1 - u) * E[S ** 2] / (2 * E[S])` for work `S`.
    """
    residual_ms = (
        capacity.slowness
        * rates.token_squares
        / (2 * rates.tokens * capacity.tokens_per_ms)
    )
    wait_ms = 1e3 * wait_share * capacity.target_s
    return min(
        max(MIN_UTILISATION, wait_ms / (wait_ms + residual_ms)),
        MAX_UTILISATION,
    )


def _needed(
    rates: demand_.Rates,
    running: float,
    capacity: Capacity,
    wait_share: float,
    running_per_server: float,
) -> int:
    by_slots = running / running_per_server
    if not rates.tokens or not capacity.tokens_per_ms:
        return math.ceil(by_slots)
    busy = capacity.slowness * rates.tokens / capacity.tokens_per_ms / 1e3
    by_prefill = busy / utilisation(rates, capacity, wait_share)
    return math.ceil(max(by_slots, by_prefill))


def needed_in_calm(demand: demand_.Demand, capacity: Capacity) -> int:
    """Return the servers that carry the demand of all ranks."""
    return _needed(
        demand.peak,
        demand.running,
        capacity,
        CALM_WAIT_SHARE,
        min(
            RUNNING_PER_SERVER,
            CALM_SLOT_SHARE * capacity.slots,
        ),
    )


def needed_in_shortage(demand: demand_.Demand, capacity: Capacity) -> int:
    """Return the servers that still carry the urgent demand."""
    return _needed(
        demand.steady_peak,
        demand.running,
        capacity,
        SHORTAGE_WAIT_SHARE,
        min(
            RUNNING_PER_SERVER_IN_SHORTAGE,
            SHORTAGE_SLOT_SHARE * capacity.slots,
        ),
    )
