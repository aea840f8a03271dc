"""List of ready nodes; replaces the load balancer of the platform."""

import random
import threading
from typing import Sequence

from returns import result

from ..core import errors
from ..core import types
from ..infrastructure import http

POLL_INTERVAL_S = 0.2
REQUEST_TIMEOUT_S = 1.0


class AddressList:
    """Polls the readiness of all nodes and selects ready ones at random."""

    def __init__(
        self,
        client: http.HttpClient,
        addresses: Sequence[types.Address],
        seed: int,
    ) -> None:
        self._client = client
        self._addresses = tuple(addresses)
        self._rng = random.Random(seed)
        self._ready: tuple[types.Address, ...] = ()
        self._stop = threading.Event()
        self._refresh()
        self._thread = threading.Thread(
            target=self._run, name='balancer', daemon=True
        )
        self._thread.start()

    @property
    def ready(self) -> tuple[types.Address, ...]:
        """Nodes that were ready at the last poll."""
        return self._ready

    def pick(self) -> types.Address:
        """Select a random ready node, or any node if none is ready."""
        return self._rng.choice(self._ready or self._addresses)

    def close(self) -> None:
        """Stop the polling thread."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(POLL_INTERVAL_S):
            self._refresh()

    def _refresh(self) -> None:
        calls = [
            self._client.start(
                http.HttpRequest(
                    method='GET',
                    peer=str(address),
                    path='/readyz',
                    step=errors.Step.PEER_EXCHANGE,
                    connect_timeout_s=REQUEST_TIMEOUT_S,
                    first_byte_timeout_s=REQUEST_TIMEOUT_S,
                    total_timeout_s=REQUEST_TIMEOUT_S,
                )
            )
            for address in self._addresses
        ]
        http_results = [call.future.result() for call in calls]
        self._ready = tuple(
            address
            for address, http_result in zip(self._addresses, http_results)
            if isinstance(http_result, result.Success)
            and http_result.unwrap().status == 200
        )
