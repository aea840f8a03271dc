"""Callers with persistent connections that record each outcome."""

import asyncio
import random
import time

from . import deployment
from . import observed
from ..standins import platform_caller

ROUTES = ('plan', 'chat', 'book', 'look')
REQUEST_INTERVAL_S = (0.005, 0.08)
# Fraction of requests whose caller stops waiting for the response after a
# random time within `ABORT_AFTER_S`.
ABORT_SHARE = 0.04
ABORT_AFTER_S = (0.0, 0.2)
MAX_REQUESTS_PER_CONNECTION = 25
CONNECT_TIMEOUT_S = 1.0
CONNECT_RETRY_DELAY_S = 0.05
REQUEST_TIMEOUT_MS = 3000
# Time that a caller waits for the response beyond the request's deadline.
RESPONSE_MARGIN_S = 1
BODY_SIZES = (0, 0, 200, 5000)
# Separates the random numbers of the callers from those of the fault plan.
CALLER_SEED_MASK = 0xCA11
REQUEST_ID_HEADER = 'x-hornbeamrudder-request-id'


class Callers:
    """All callers of one run."""

    def __init__(self, system: deployment.Deployment, seed: int) -> None:
        self.outcomes: list[observed.Outcome] = []
        self.stopped = False
        self.started_at = time.monotonic()
        self._system = system
        self._rng = random.Random(seed ^ CALLER_SEED_MASK)

    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self.started_at

    async def run(self, count: int) -> None:
        """Send requests until stopped."""
        await asyncio.gather(*(self._caller() for _ in range(count)))

    async def _caller(self) -> None:
        while not self.stopped:
            node = self._rng.choice(self._system.nodes)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    connection = await asyncio.open_connection(
                        node.ip, self._system.front_port
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(CONNECT_RETRY_DELAY_S)
                continue
            for _ in range(self._rng.randint(1, MAX_REQUESTS_PER_CONNECTION)):
                if self.stopped:
                    break
                outcome = await self.send(node, connection)
                if outcome.left or not outcome.whole or connection[0].at_eof():
                    break
                await asyncio.sleep(self._rng.uniform(*REQUEST_INTERVAL_S))
            connection[1].close()

    async def send(
        self,
        node: deployment.Node,
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        route: str | None = None,
    ) -> observed.Outcome:
        """Send one request and record its outcome."""
        reader, writer = connection
        route = route or self._rng.choice(ROUTES)
        key = self._rng.choice(self._system.client_keys)
        request_id = platform_caller.new_request_id()
        body = b'x' * self._rng.choice(BODY_SIZES)
        sent_at = self.now()
        aborts = self._rng.random() < ABORT_SHARE
        writer.write(
            platform_caller.request_bytes(
                f'/{route}/x',
                request_id=request_id,
                key=key,
                remaining_ms=REQUEST_TIMEOUT_MS,
                body=body,
            )
        )
        response_task = asyncio.ensure_future(
            platform_caller.read_response(reader)
        )
        timeout_s = (
            self._rng.uniform(*ABORT_AFTER_S)
            if aborts
            else REQUEST_TIMEOUT_MS / 1e3 + RESPONSE_MARGIN_S
        )
        done, _ = await asyncio.wait([response_task], timeout=timeout_s)
        if done and response_task.exception() is None:
            response = response_task.result()
        else:
            response_task.cancel()
            writer.transport.abort()
            response = platform_caller.Response(0, {}, b'', False, 0.0)
        outcome = observed.Outcome(
            request_id,
            route,
            key,
            node.number,
            sent_at,
            self.now(),
            response.status,
            response.complete,
            response.body,
            response.headers.get(REQUEST_ID_HEADER, ''),
            left=not done,
        )
        self.outcomes.append(outcome)
        return outcome
