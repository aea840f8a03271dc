"""The operator's and the platform's part in a roll-out."""

import asyncio
import base64
import dataclasses
from typing import Any, Mapping

import orjson

from . import deployment

POLL_INTERVAL_S = 0.02
BOOT_S = 1.0
# Time from a roll-back to the end of the new servers.
DRAIN_S = 2.0
# Time beyond the budget after which a roll-out is given up.
TIMEOUT_S = 40.0
RUNNING = 'running'
COMPLETED = 'completed'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An operator's order.

    Attributes
    ----------
    is_bad : bool
        Whether the new version fails each request.
    """

    service: str
    target: str
    duration_s: float
    is_bad: bool = False


class RollOutRun:
    """One roll-out of a deployment, from the order to its end.

    Attributes
    ----------
    number : int
        Version of the order's row; 0 before the order.
    """

    def __init__(
        self, system: deployment.Deployment, order: Order, base: str
    ) -> None:
        self.order = order
        self.number = 0
        self._system = system
        self._base = base

    @property
    def key(self) -> str:
        """Key of the order, and of its state."""
        return f'rollout/{self.order.service}'

    def states(self) -> list[Mapping[str, Any]]:
        """Return the rows of the state that belong to the order."""
        rows = [
            orjson.loads(base64.b64decode(value))
            for _, table, key, value in self._system.store.history
            if (table, key) == ('status', self.key) and value is not None
        ]
        return [row for row in rows if row['order'] == self.number]

    def state(self) -> str:
        """Return the present state for the operator; empty before any."""
        states = self.states()
        return str(states[-1]['state']) if states else ''

    async def wait_for(self, phase: str, timeout_s: float) -> bool:
        """Wait until a step was made; return whether it was."""
        until = asyncio.get_running_loop().time() + timeout_s
        while asyncio.get_running_loop().time() < until:
            if any(row['phase'] == phase for row in self.states()):
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    async def run(self) -> str:
        """Give the order, start and end servers; return the last state."""
        system, order = self._system, self.order
        if order.is_bad:
            system.bad_versions.add((order.service, order.target))
        self.number = system.store.put(
            'op',
            self.key,
            {
                'service': order.service,
                'to': order.target,
                'durationS': order.duration_s,
            },
        )
        await asyncio.sleep(BOOT_S)
        for _ in range(deployment.BACKENDS_PER_SERVICE):
            await system.add_backend(order.service, order.target)
        until = asyncio.get_running_loop().time() + (
            order.duration_s + TIMEOUT_S
        )
        while (
            self.state() in ('', RUNNING)
            and asyncio.get_running_loop().time() < until
        ):
            await asyncio.sleep(POLL_INTERVAL_S)
        if self.state() == COMPLETED:
            system.end_version(order.service, self._base)
        elif self.state() != RUNNING:
            await asyncio.sleep(DRAIN_S)
            system.end_version(order.service, order.target)
        return self.state()
