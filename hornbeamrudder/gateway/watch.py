"""Watches on tables of the store."""

import asyncio
import random
from typing import Any, Callable, Protocol

from . import clock
from ..core import errors
from ..core import ids
from . import records
from . import server_registry
from . import store_health

# Backend servers whose entries lapsed during an outage of the store register
# again within about two seconds of its end.
REREGISTRATION_S = 2.3
# A node that does not follow the store reads a table itself after no hub has
# confirmed it for this long. It varies, since the first node to read the table
# confirms it to the others.
MIN_RELAY_TIMEOUT_S = 1.9
MAX_RELAY_TIMEOUT_S = 2.4
# Time after an outage in which hubs confirm all tables.
RECOVERY_RELAY_S = 1.2
# Pause after a snapshot, in which a new node learns whether it follows the
# store.
SNAPSHOT_PAUSE_S = 0.1
# Interval between checks for this time-out.
RELAY_POLL_S = 0.2
# The same for whether a table is needed.
UNNEEDED_POLL_S = 0.4


class TableReader(Protocol):
    """Read operations of the store used by a watch."""

    async def read_all(self, table: str) -> Any:
        """Read a snapshot of a table."""

    async def changes(self, table: str, after: int, wait_s: float) -> Any:
        """Wait for changes of a table after a version."""


class TableWatch:
    """Follows one table: reads a snapshot, then its changes.

    Parameters
    ----------
    on_rows : callable
        Called with rows, and whether they are a snapshot of the table.
    on_confirmed : callable
        Called with the time at which a call was sent whose response
        contained all changes made before.
    wait_s : float
        Long-poll time: how long the store holds a call without changes.
    health : StoreHealth
        Outage of the store, shared with the other users of the store.
    pause_s : float
        Pause between two calls. For the same number of calls, short polls
        confirm the table more often than long polls do.
    """

    def __init__(
        self,
        source: TableReader,
        table: str,
        wait_s: float,
        log: Any,
        health: store_health.StoreHealth,
        on_rows: Callable[[tuple[Any, ...], bool], None],
        on_confirmed: Callable[[float], None] = lambda sent_at: None,
        pause_s: float = 0.0,
        rng: random.Random | None = None,
    ) -> None:
        self.table = table
        # Version of the store up to which this table is known, and version
        # of the latest row of this table.
        self.version: int | None = None
        self.content_version = 0
        self.confirmed_at: float = float('-inf')
        self.follows_store: Callable[[], bool] = lambda: True
        # Whether anything depends on this table now.
        self.is_needed: Callable[[], bool] = lambda: True
        # Whether other nodes do not follow the store themselves.
        self.is_relied_on: Callable[[], bool] = lambda: False
        self.on_changes: (
            Callable[[TableWatch, int, int, tuple[Any, ...]], None] | None
        ) = None
        self.on_polled: Callable[[], None] = lambda: None
        # Version of a change that is known to be missing here, and since when.
        self._missed_version = 0
        self._missed_at = float('-inf')
        self._answered_at = float('-inf')
        # Whether the node that confirmed the table last can't follow the
        # store itself.
        self._follower_fails = False
        self._health = health
        self._source = source
        self._wait_s = wait_s
        self._log = log
        self._on_rows = on_rows
        self._on_confirmed = on_confirmed
        self.pause_s = pause_s
        self._rng = rng or random.Random()
        self._relay_timeout_s = self._rng.uniform(
            MIN_RELAY_TIMEOUT_S, MAX_RELAY_TIMEOUT_S
        )

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if not self.is_needed():
                await asyncio.sleep(UNNEEDED_POLL_S)
                continue
            if self.is_relayed():
                await asyncio.sleep(RELAY_POLL_S)
                continue
            if not self._health.try_turn():
                await self._health.wait(RELAY_POLL_S)
                continue
            pause_s = self.pause_s
            if self.version is None:
                pause_s = max(pause_s, SNAPSHOT_PAUSE_S)
            failure = await self._poll_once()
            if failure is None and pause_s and self.version is not None:
                await asyncio.sleep(pause_s * self._rng.uniform(0.9, 1.1))

    def is_relayed(self) -> bool:
        """Return whether other nodes keep this table up to date."""
        if (
            self.version is None
            or self.follows_store()
            or self._has_missed_changes(self.version)
        ):
            return False
        if clock.now() - self._health.answered_again_at < RECOVERY_RELAY_S:
            # Hubs confirm all tables once they have read them again.
            return True
        return (
            clock.now() - self._answered_at < self._relay_timeout_s
            and self._is_recent()
        )

    def _record_missed(self, version: int) -> None:
        """Record that a change up to a version has not arrived."""
        if version > self._missed_version:
            self._missed_at = clock.now()
        self._missed_version = max(self._missed_version, version)

    def _has_missed_changes(self, known: int) -> bool:
        """Return whether a change must be read from the store.

        A second hub sends each change too, up to a pause later.
        """
        if self._missed_version <= known:
            return False
        wait_s = self.pause_s if self._wait_s else 0.0
        return not wait_s or clock.now() - self._missed_at >= wait_s

    def _may_wait_for_changes(self) -> bool:
        """Return whether a poll need not be answered at once.

        During an outage the answer tells whether the store is back; right
        after it, other nodes wait to be told that the table is current.
        """
        return (
            self.follows_store()
            and not self._health.is_failing
            and (
                not self.is_relied_on()
                or self.confirmed_at >= self._health.answered_again_at
            )
        )

    def is_current(self) -> bool:
        """Return whether other nodes may rely on the age of this table."""
        failing_since = self._health.failing_since
        return self._is_recent() and (
            failing_since is None or self.confirmed_at > failing_since
        )

    @property
    def stands_in(self) -> bool:
        """Whether this node reads the table as its followers can't."""
        return self._follower_fails and not self.follows_store()

    def _is_recent(self) -> bool:
        # A long poll confirms nothing until it returns, but its follower
        # passes changes on. Without one, changes show only in a new read.
        poll_s = 0.0 if self.stands_in else 2 * self._wait_s
        return (
            self.version is not None
            and clock.now() - self.confirmed_at
            < self._relay_timeout_s + poll_s
        )

    def apply_confirmation(
        self,
        content_version: int,
        asked_at: float,
        age_s: float,
        recovered_s: float,
    ) -> bool:
        """Apply the state of the table at another node.

        Parameters
        ----------
        content_version : int
            Version of the latest row known to that node.
        asked_at : float
            Time on this node's clock at or before the state was sent.
        age_s : float
            Time since the store had confirmed the table to that node.

        Returns
        -------
        bool
            Whether the table is now known to be current until later.
        """
        if self.version is None:
            return False
        self._answered_at = max(self._answered_at, asked_at)
        self._follower_fails = recovered_s <= 0.0
        confirmed_at = asked_at - age_s
        self._health.record_recovery_elsewhere(recovered_s)
        if content_version > self.version:
            self._record_missed(content_version)
            return False
        if confirmed_at <= self.confirmed_at:
            return False
        self.confirmed_at = confirmed_at
        self._on_confirmed(confirmed_at)
        failing_since = self._health.failing_since
        if (
            failing_since is not None
            and confirmed_at > failing_since
            and not self.follows_store()
        ):
            self._health.record_success(confirmed_at)
        return True

    def apply_changes(
        self,
        before: int,
        after: int,
        recovered_s: float,
        rows: tuple[Any, ...],
    ) -> None:
        """Apply changes from a node that follows the store."""
        if self.version is None or self.follows_store():
            return
        if before > self.version:
            self._record_missed(after)
            return
        self._health.record_recovery_elsewhere(recovered_s)
        if after > self.version:
            self.version = after
            self._update_content_version(rows)
            self._on_rows(rows, False)

    def _update_content_version(self, rows: tuple[Any, ...]) -> None:
        self.content_version = max(
            [self.content_version, *(row.version for row in rows)]
        )

    async def _poll_once(self) -> errors.Failure | None:
        snapshot = self.version is None
        # Versions are global to the store, so only the version of the latest
        # row of this table shows whether a node has missed a change.
        before = self.content_version
        sent_at = clock.now()
        if self.version is None:
            answer = await self._source.read_all(self.table)
        else:
            answer = await self._source.changes(
                self.table,
                self.version,
                self._wait_s if self._may_wait_for_changes() else 0.0,
            )
        if isinstance(answer, errors.Failure):
            self._on_failure(answer, sent_at)
            return answer
        if not hasattr(answer, 'rows'):
            self._log.info(
                'history of a table is gone, reading it whole',
                table=self.table,
                version=self.version,
            )
            # The store has answered: the other watches need not wait for the
            # next probe.
            self._on_recovery(sent_at)
            self.version = None
            return None
        self._on_recovery(answer.sent_at)
        self.version = max(answer.version, self.version or 0)
        self._update_content_version(answer.rows)
        if snapshot:
            # A snapshot does not contain removals, so this version makes the
            # other nodes read the table too.
            self.content_version = answer.version
        if answer.rows or snapshot:
            self._on_rows(answer.rows, snapshot)
        if answer.rows and not snapshot and self.on_changes is not None:
            self.on_changes(self, before, answer.version, answer.rows)
        self.confirmed_at = max(self.confirmed_at, answer.sent_at)
        self._answered_at = max(self._answered_at, answer.sent_at)
        self._on_confirmed(answer.sent_at)
        self.on_polled()
        return None

    def _on_failure(self, failure: errors.Failure, sent_at: float) -> None:
        if self._health.record_failure(sent_at):
            self._log.warning(
                'store is lost',
                table=self.table,
                failure=str(failure),
                version=self.version,
            )

    def _on_recovery(self, sent_at: float) -> None:
        outage_s = self._health.record_success(sent_at)
        if outage_s is not None:
            self._log.info(
                'store is back',
                table=self.table,
                after_s=round(outage_s, 2),
                version=self.version,
            )


class ServerWatch:
    """Applies the entries of backend servers to their registry."""

    def __init__(
        self,
        book: server_registry.ServerRegistry,
        decode: Callable[[str, Any], records.BackendServer | errors.Failure],
        is_unstable: Callable[[], bool],
        log: Any,
    ) -> None:
        self._registry = book
        self._decode = decode
        self._store_unstable = is_unstable
        self._log = log
        self._version_by_id: dict[str, int] = {}

    def apply_rows(self, rows: tuple[Any, ...], snapshot: bool) -> None:
        """Apply entries; entries missing from a snapshot are removed."""
        now = clock.now()
        for row in rows:
            if row.version < self._version_by_id.get(row.key, 0):
                continue
            self._version_by_id[row.key] = row.version
            if row.removed:
                self._on_entry_removed(ids.WorkerId(row.key), now)
            else:
                self._apply_entry(row, now)
        if snapshot:
            present = {row.key for row in rows}
            for server in [item for item in self._registry.by_id]:
                if server not in present:
                    self._on_entry_removed(server, now)

    def _apply_entry(self, row: Any, now: float) -> None:
        entry = self._decode(row.key, row.value)
        if isinstance(entry, errors.Failure):
            self._log.info(
                'entry names no backend server',
                entry=row.key,
                failure=str(entry),
                version=row.version,
            )
            return
        known = self._registry.by_id.get(entry.id)
        self._registry.put(entry, now)
        if known is None or known.entry.state is not entry.state:
            self._log.info(
                'backend server is registered',
                server=entry.id,
                state=entry.state.value,
                address=str(entry.address),
                data_centre=entry.data_centre,
                reclaimable=entry.reclaimable,
                leaves_in_s=entry.leaves_in_s,
                version=row.version,
            )

    def _on_entry_removed(self, server: ids.WorkerId, now: float) -> None:
        record = self._registry.by_id.get(server)
        if record is None:
            return
        if self._store_unstable():
            # The entry may have lapsed only because of the outage.
            if record.missing_since is None:
                record.missing_since = now
                self._log.info(
                    'entry of a backend server lapsed during an outage',
                    server=server,
                )
            return
        self._remove(server, now)

    def _remove(self, server: ids.WorkerId, now: float) -> None:
        self._log.info('backend server is gone', server=server)
        self._registry.remove(server, now)

    def drop_missing(self, recovered_at: float, failing: bool) -> None:
        """Remove servers that have not registered again after an outage."""
        now = clock.now()
        if failing or now - recovered_at < REREGISTRATION_S:
            return
        for server, record in list(self._registry.by_id.items()):
            if (
                record.missing_since is not None
                and now - record.missing_since >= REREGISTRATION_S
            ):
                self._remove(server, now)
