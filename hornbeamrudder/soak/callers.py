"""Callers that keep their connections, and note what they got."""

import asyncio
import random
import time

from . import deployment
from . import observed
from ..standins import platform_caller

ROUTES = ('plan', 'chat', 'book', 'look')
PAUSE_S = (0.005, 0.08)
# Part of the requests whose caller leaves before the answer.
LEAVE_SHARE = 0.04
# Requests on one connection, until the caller opens another.
MAX_REQUESTS = 25
CONNECT_TIMEOUT_S = 1.0
REMAINING_MS = 3000
HEADER_ID = 'x-hornbeamrudder-request-id'


class Callers:
    """All callers of one run."""

    def __init__(self, programs: deployment.Deployment, seed: int) -> None:
        self.outcomes: list[observed.Outcome] = []
        self.stopped = False
        self.started_at = time.monotonic()
        self._programs = programs
        self._rng = random.Random(seed ^ 0xCA11)

    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self.started_at

    async def run(self, count: int) -> None:
        """Send requests until stopped."""
        await asyncio.gather(*(self._caller() for _ in range(count)))

    async def _caller(self) -> None:
        while not self.stopped:
            node = self._rng.choice(self._programs.nodes)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    connection = await asyncio.open_connection(
                        node.ip, self._programs.front_port
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            for _ in range(self._rng.randint(1, MAX_REQUESTS)):
                if self.stopped:
                    break
                outcome = await self.send(node, connection)
                if outcome.left or not outcome.whole or connection[0].at_eof():
                    break
                await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            connection[1].close()

    async def send(
        self,
        node: deployment.Node,
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        route: str | None = None,
    ) -> observed.Outcome:
        """Send one request and note its outcome."""
        reader, writer = connection
        route = route or self._rng.choice(ROUTES)
        key = self._rng.choice(self._programs.used_keys)
        request_id = platform_caller.new_request_id()
        body = b'x' * self._rng.choice((0, 0, 200, 5000))
        sent_at = self.now()
        leaves = self._rng.random() < LEAVE_SHARE
        writer.write(
            platform_caller.request_bytes(
                f'/{route}/x',
                request_id=request_id,
                key=key,
                remaining_ms=REMAINING_MS,
                body=body,
            )
        )
        reading = asyncio.ensure_future(platform_caller.read_response(reader))
        limit_s = (
            self._rng.uniform(0.0, 0.2) if leaves else REMAINING_MS / 1e3 + 1
        )
        done, _ = await asyncio.wait([reading], timeout=limit_s)
        if done and reading.exception() is None:
            answer = reading.result()
        else:
            reading.cancel()
            writer.transport.abort()
            answer = platform_caller.Response(0, {}, b'', False, 0.0)
        outcome = observed.Outcome(
            request_id,
            route,
            key,
            node.number,
            sent_at,
            self.now(),
            answer.status,
            answer.complete,
            answer.body,
            answer.headers.get(HEADER_ID, ''),
            left=not done,
        )
        self.outcomes.append(outcome)
        return outcome
