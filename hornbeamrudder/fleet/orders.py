"""Orders to model engines.

An order has an absolute target state, an expiry and a fencing number.

Before it sends orders to an engine that ignores fencing numbers, a new lease
holder waits until all orders of its predecessor have expired. This is safe if
the engine checks the expiry. An engine that checks neither may apply a stale
order at any time; the next observation corrects it.
"""

import dataclasses
from typing import Any, Mapping, Sequence

import orjson
from returns import result

from ..core import errors
from ..core import ids
from ..core import types
from ..infrastructure import http
from ..infrastructure import json_call

ORDER_LIFETIME_S = 5.0
MAX_CLOCK_SKEW_S = 0.5
"""Upper limit on the difference between the wall clocks of two hosts."""
RESEND_INTERVAL_S = 2.0
"""Time after which an order is resent if the target is not reached."""
REQUEST_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Absolute target state of a model engine.

    Attributes
    ----------
    model, version : str
        Model to serve, and its version.
    adapters : tuple of str
        Adapters to load, sorted.
    role : str
        Role of the engine, such as `both`, `prefill` or `decode`.
    """

    model: str
    version: str = ''
    adapters: tuple[str, ...] = ()
    role: str = 'both'


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedState:
    """State reported by an engine.

    Attributes
    ----------
    present : frozenset of str
        Models whose weights the engine has.
    loading : str
        Model whose weights are being loaded, '' for none.
    """

    target: Target
    present: frozenset[str] = frozenset()
    loading: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order; it has no effect after `expires_at_wall`."""

    worker: ids.WorkerId
    target: Target
    fencing: int
    expires_at_wall: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTerm:
    """Fencing number under which the lease is held, and since when."""

    fencing: int
    since: float


def update_term(
    term: LeaseTerm | None, fencing: int | None, now: float
) -> LeaseTerm | None:
    """Return the current lease term; a new fencing number starts a new one."""
    if fencing is None:
        return None
    if term is not None and term.fencing == fencing:
        return term
    return LeaseTerm(fencing, now)


def due_orders(
    term: LeaseTerm,
    desired: Mapping[ids.WorkerId, Target],
    observed: Mapping[ids.WorkerId, ObservedState],
    sent_at: Mapping[ids.WorkerId, float],
    engines: Sequence[types.Worker],
    now: float,
    wall_now: float,
) -> tuple[Order, ...]:
    """Return orders for observed engines that differ from their target.

    Parameters
    ----------
    now, wall_now : float
        Monotonic and wall clock, read before the lease was checked. An
        order of a holder that is paused after the check therefore expires as
        if it had been sent when the clocks were read.
    sent_at : mapping
        When the last order was sent to each engine.
    """
    held_s = now - term.since
    return tuple(
        Order(
            engine.id,
            desired[engine.id],
            term.fencing,
            wall_now + ORDER_LIFETIME_S,
        )
        for engine in engines
        if engine.id in desired
        and engine.id in observed
        and observed[engine.id].target != desired[engine.id]
        and (engine.checks_fencing or held_s >= first_order_wait_s())
        and now - sent_at.get(engine.id, -RESEND_INTERVAL_S)
        >= RESEND_INTERVAL_S
    )


def first_order_wait_s() -> float:
    """Return how long a new holder waits to order engines without fencing."""
    return ORDER_LIFETIME_S + MAX_CLOCK_SKEW_S


def encode(order: Order) -> bytes:
    """Return the body of `POST /v1/orders`."""
    return orjson.dumps(
        {
            'target': dataclasses.asdict(order.target),
            'expires_at': order.expires_at_wall,
        }
    )


def parse_observed(response: Any) -> ObservedState:
    """Parse the state of an engine from the key `engine` of a message.

    Raises
    ------
    LookupError, TypeError
        If a field is missing or has the wrong type.
    """
    fields = response['engine']
    target = Target(
        str(fields['model']),
        str(fields.get('version', '')),
        tuple(sorted(fields.get('adapters', ()))),
        str(fields.get('role', 'both')),
    )
    present = frozenset(fields.get('present', (target.model,)))
    return ObservedState(target, present, str(fields.get('loading', '')))


class EngineClient:
    """Client that observes engines and sends orders; returns errors."""

    def __init__(
        self, client: http.HttpClient, timeout_s: float = REQUEST_TIMEOUT_S
    ) -> None:
        self._client = client
        self._timeout_s = timeout_s

    def observe(
        self, engine: types.Worker
    ) -> result.Result[ObservedState, errors.Failure]:
        """Read the state of an engine from `/v1/load`."""
        call = json_call.request(
            'GET',
            str(engine.address),
            '/v1/load',
            errors.Step.ORDER_ENGINE,
            self._timeout_s,
        )
        return json_call.call(self._client, call, parse_observed)

    def send(
        self, engine: types.Worker, order: Order
    ) -> result.Result[ObservedState, errors.Failure]:
        """Send an order and return the resulting state.

        REFUSED means that the order has expired or that the engine has seen a
        newer fencing number.
        """
        call = dataclasses.replace(
            json_call.request(
                'POST',
                str(engine.address),
                '/v1/orders',
                errors.Step.ORDER_ENGINE,
                self._timeout_s,
            ),
            headers=(
                ('Content-Type', 'application/json'),
                ('X-Fencing', str(order.fencing)),
            ),
            body=encode(order),
        )
        return json_call.call(self._client, call, parse_observed)
