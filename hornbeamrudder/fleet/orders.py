"""Orders to model engines: absolute target state, expiry, fencing number.

For an engine that ignores fencing numbers a new holder waits until every
order of the former holder has expired. This is safe for engines that check
the expiry; an engine that checks neither may apply a stale order at any
time, which is corrected at the next observation.
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

ORDER_EXPIRY_S = 5.0
CLOCK_MARGIN_S = 0.5
"""Bound on the difference between the wall clocks of hosts."""
REPEAT_AFTER_S = 2.0
"""An engine that has not reached its target by then is ordered again."""
TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Absolute state of a model engine.

    Attributes
    ----------
    model, version : str
        Model to serve.
    adapters : tuple of str
        Adapters to have loaded, sorted.
    role : str
        Role of the engine, such as `both`, `prefill` or `decode`.
    """

    model: str
    version: str = ''
    adapters: tuple[str, ...] = ()
    role: str = 'both'


@dataclasses.dataclass(frozen=True, slots=True)
class Observed:
    """State that an engine reports.

    Attributes
    ----------
    present : frozenset of str
        Models whose weights the engine has.
    loading : str
        Model whose weights it is loading, '' for none.
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
class Holding:
    """Tenure of the lease: since when, and under which number."""

    fencing: int
    since: float


def continue_holding(
    holding: Holding | None, fencing: int | None, now: float
) -> Holding | None:
    """Follow the lease; a new number starts a new tenure."""
    if fencing is None:
        return None
    if holding is not None and holding.fencing == fencing:
        return holding
    return Holding(fencing, now)


def due_orders(
    holding: Holding,
    wanted: Mapping[ids.WorkerId, Target],
    observed: Mapping[ids.WorkerId, Observed],
    sent_at: Mapping[ids.WorkerId, float],
    engines: Sequence[types.Worker],
    now: float,
    wall: float,
) -> tuple[Order, ...]:
    """Order every observed engine that differs from its target.

    Parameters
    ----------
    now, wall : float
        Both clocks, read before the lease was checked: an order prepared
        by a holder that is paused afterwards expires as if it had been
        sent at that time.
    sent_at : mapping
        When the last order was sent to an engine.
    """
    waited_s = now - holding.since
    return tuple(
        Order(
            engine.id,
            wanted[engine.id],
            holding.fencing,
            wall + ORDER_EXPIRY_S,
        )
        for engine in engines
        if engine.id in wanted
        and engine.id in observed
        and observed[engine.id].target != wanted[engine.id]
        and (engine.checks_fencing or waited_s >= first_order_wait_s())
        and now - sent_at.get(engine.id, -REPEAT_AFTER_S) >= REPEAT_AFTER_S
    )


def first_order_wait_s() -> float:
    """Wait of a new holder before it orders engines without fencing."""
    return ORDER_EXPIRY_S + CLOCK_MARGIN_S


def encode(order: Order) -> bytes:
    """Body of `POST /v1/orders`."""
    return orjson.dumps(
        {
            'target': dataclasses.asdict(order.target),
            'expires_at': order.expires_at_wall,
        }
    )


def parse_observed(answer: Any) -> Observed:
    """Read the state of an engine from the key `engine` of a message.

    Raises
    ------
    LookupError, TypeError
        Where a field is missing or of the wrong type.
    """
    stated = answer['engine']
    target = Target(
        str(stated['model']),
        str(stated.get('version', '')),
        tuple(sorted(stated.get('adapters', ()))),
        str(stated.get('role', 'both')),
    )
    present = frozenset(stated.get('present', (target.model,)))
    return Observed(target, present, str(stated.get('loading', '')))


class EngineClient:
    """Observes engines and sends orders; errors are returned as values."""

    def __init__(
        self, client: http.HttpClient, timeout_s: float = TIMEOUT_S
    ) -> None:
        self._client = client
        self._timeout_s = timeout_s

    def observe(
        self, engine: types.Worker
    ) -> result.Result[Observed, errors.Failure]:
        """Read the state of an engine, the key `engine` of its load."""
        sent = json_call.request(
            'GET',
            str(engine.address),
            '/v1/load',
            errors.Step.ORDER_ENGINE,
            self._timeout_s,
        )
        return json_call.call(self._client, sent, parse_observed)

    def send(
        self, engine: types.Worker, order: Order
    ) -> result.Result[Observed, errors.Failure]:
        """Send an order; the answer is the state that results.

        REFUSED means a newer fencing number or a passed expiry.
        """
        sent = dataclasses.replace(
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
        return json_call.call(self._client, sent, parse_observed)
