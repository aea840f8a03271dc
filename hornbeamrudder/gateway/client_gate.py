"""Shares the limits on clients between the listeners of a node.

Wakes the account while connections wait for it, logs what it does once a
second and counts it in the metrics.
"""

import asyncio
import collections
import resource
from typing import Any

from . import client_limits
from . import clock
from . import metrics
from . import shared_limit

SWEEP_INTERVAL_S = 0.1
LOG_INTERVAL_S = 1.0
DEFAULT_MEMORY_BYTES = 300e6


class ClientGate:
    """Account, pacer and log for all connections of clients of a node.

    Parameters
    ----------
    limit : SharedLimit, optional
        Shared with the backend servers of the node.
    max_fds : int
        Descriptors that the node may use; 0 for the limit of the process.
    """

    def __init__(
        self,
        limit: shared_limit.SharedLimit | None = None,
        max_fds: int = 0,
        node_metrics: metrics.Metrics | None = None,
        log: Any = None,
    ) -> None:
        self.account = client_limits.ClientBytes(
            limit or shared_limit.for_memory(DEFAULT_MEMORY_BYTES)
        )
        self.pacer = client_limits.Pacer()
        self.max_fds = max_fds or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self._metrics = node_metrics
        self._log = log
        self._count_by_reason: collections.Counter[str] = collections.Counter()
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._log_timer: asyncio.TimerHandle | None = None

    def schedule_sweep(self) -> None:
        """Sweep the account soon, and again while connections wait."""
        if self._sweep_timer is None:
            self._sweep_timer = asyncio.get_running_loop().call_later(
                SWEEP_INTERVAL_S, self._sweep
            )

    def _sweep(self) -> None:
        self._sweep_timer = None
        try:
            self.account.sweep(clock.now())
        finally:
            if self.account.waiting:
                self.schedule_sweep()

    def record(self, reason: client_limits.Reason) -> None:
        """Count a connection that was closed or a request refused."""
        if self._metrics is not None:
            self._metrics.client_limits.inc({'reason': reason.value})
        if self._log is None:
            return
        self._count_by_reason[reason.value] += 1
        if self._log_timer is None:
            self._log_timer = asyncio.get_running_loop().call_later(
                LOG_INTERVAL_S, self._write_log
            )

    def _write_log(self) -> None:
        self._log_timer = None
        self._log.info(
            'clients are limited',
            count_by_reason=dict(self._count_by_reason),
            held_bytes=self.account.total,
            granted_bytes=self.account.granted,
            limit_bytes=self.account.limit,
            waiting=self.account.waiting,
        )
        self._count_by_reason.clear()
