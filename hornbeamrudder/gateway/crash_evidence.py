"""Evidence on prompt parts under which backend servers crash; no I/O.

A part is held back when several servers have crashed one after the other, each
while an answer to a request with that part was beginning, and no such answer
has got past its beginning since the first of these crashes. Other answers of
the service must have got past theirs meanwhile, since a service that fails as
a whole says nothing about parts.
"""

import collections
import dataclasses
import itertools
from typing import Collection, Iterable, Iterator, Mapping, NewType

from ..core import hashing
from ..core import ids
from . import messages

PartKey = NewType('PartKey', int)
# A process of a backend server, from its start to its end.
LifetimeKey = NewType('LifetimeKey', int)
ServiceKey = NewType('ServiceKey', int)

# Crashes with an answer that was beginning, needed to hold a part back.
MIN_CRASHES = 3
# The same for a part under which answers have begun before, and for requests
# that were in progress without any answer.
MIN_DOUBTFUL_CRASHES = 5
# Crashes closer together than this have a common cause, such as a rack.
SIMULTANEOUS_S = 0.1
# Least share of the crashes of the service, since the first one with a part,
# that the part is in. With a smaller one, most have another cause.
MIN_SHARE = 0.25
# Answers that show that a service works otherwise. They are needed for a part
# under which answers have begun before, and where at least MIN_SHARE of the
# crashes are without the part.
MIN_ANSWERS = 3
# Highest chance that a part is in all of its crashes without being the cause.
MAX_CHANCE = 0.001
MAX_AGE_S = 600.0
# Time after a crash in which the evidence is looked at again.
RECENT_S = 10.0
MAX_CRASHES = 128
MAX_ANSWERED_PARTS = 4096
MAX_HOLDS = 32
# Limits on what one request of a client may add.
MAX_PARTS_PER_REQUEST = 32
MAX_PARTS_PER_CRASH = 32
# Answers and failures of a service that this node remembers.
MAX_OUTCOMES = 256


def part_keys(
    service: ids.ServiceName, parts: Iterable[messages.PromptPart]
) -> tuple[PartKey, ...]:
    """Return the keys of prompt parts, in order."""
    return tuple(
        PartKey(hashing.stable_hash(service, part.name)) for part in parts
    )


def service_key(service: ids.ServiceName) -> ServiceKey:
    """Return the key of a service."""
    return ServiceKey(hashing.stable_hash(service))


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """Crash of a backend server, and the parts of what it worked on.

    Attributes
    ----------
    at, learned_at : float
        Time of the crash, and of the latest news of it, on `clock.now`.
    begun : frozenset of PartKey
        Parts of requests whose answer was beginning.
    unanswered : frozenset of PartKey
        Parts of requests without any answer.
    """

    lifetime: LifetimeKey
    service: ServiceKey
    at: float
    learned_at: float
    begun: frozenset[PartKey] = frozenset()
    unanswered: frozenset[PartKey] = frozenset()

    @property
    def parts(self) -> frozenset[PartKey]:
        """All parts that may have caused it."""
        return self.begun | self.unanswered


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Prompt parts that are held back if a request has all of them.

    Attributes
    ----------
    first_at, held_at : float
        Time of the first crash, and since when requests are refused.
    trials : int
        Requests that were sent since then to see whether it is still needed.
    """

    parts: frozenset[PartKey]
    first_at: float
    held_at: float
    crashes: int
    trials: int = 0


def with_trial(hold: Hold) -> Hold:
    """Return a hold with one more trial."""
    return dataclasses.replace(hold, trials=hold.trials + 1)


@dataclasses.dataclass(frozen=True, slots=True)
class _Failure:
    """A request of this node that was in progress when its server crashed."""

    at: float
    parts: frozenset[PartKey]
    begun: bool


class CrashEvidence:
    """What one node knows of crashes, answered parts and held parts."""

    def __init__(self) -> None:
        self.crash_by_lifetime: dict[LifetimeKey, Crash] = {}
        self.hold_by_parts: dict[frozenset[PartKey], Hold] = {}
        # Latest answer with each part that got past its beginning; the least
        # recent ones are forgotten.
        self.answered_at: collections.OrderedDict[PartKey, float] = (
            collections.OrderedDict()
        )
        self._crash_learned_at = float('-inf')
        # Time of the latest crash with each part.
        self._suspected_at: dict[PartKey, float] = {}
        self._answers_by_service: dict[
            ServiceKey, collections.deque[float]
        ] = collections.defaultdict(
            lambda: collections.deque(maxlen=MAX_OUTCOMES)
        )
        self._failures_by_service: dict[
            ServiceKey, collections.deque[_Failure]
        ] = collections.defaultdict(
            lambda: collections.deque(maxlen=MAX_OUTCOMES)
        )

    # Answers

    def record_answer(
        self,
        service: ServiceKey,
        shared_parts: Iterable[PartKey],
        last_part: PartKey,
        now: float,
    ) -> list[PartKey]:
        """Record an answer of this node's that got past its beginning.

        Parameters
        ----------
        last_part : PartKey
            Last part of the prompt. Few requests share it, so it is only
            remembered if it is suspected.

        Returns
        -------
        list of PartKey
            Those of the parts that this clears of a suspicion.
        """
        self._answers_by_service[service].append(now)
        parts = [*itertools.islice(shared_parts, MAX_PARTS_PER_REQUEST)]
        if last_part in self._suspected_at or any(
            last_part in hold for hold in self.hold_by_parts
        ):
            parts.append(last_part)
        return [part for part in parts if self.vouch(part, now)]

    def vouch(self, part: PartKey, at: float) -> bool:
        """Record that a part was sound at a time; return if that clears it."""
        before = self.answered_at.get(part, float('-inf'))
        if at <= before:
            return False
        self.answered_at[part] = at
        self.answered_at.move_to_end(part)
        while len(self.answered_at) > MAX_ANSWERED_PARTS:
            self.answered_at.popitem(last=False)
        suspected_at = self._suspected_at.get(part)
        cleared = suspected_at is not None and before <= suspected_at < at
        return self._release(part, at) or cleared

    def _release(self, part: PartKey, at: float) -> bool:
        """Take a sound part out of the holds; return whether it was held."""
        outdated = [
            hold
            for hold in self.hold_by_parts.values()
            if part in hold.parts and hold.first_at < at
        ]
        for hold in outdated:
            del self.hold_by_parts[hold.parts]
            self.add_hold(dataclasses.replace(hold, parts=hold.parts - {part}))
        return bool(outdated)

    # Crashes

    def record_failure(
        self,
        service: ServiceKey,
        parts: Collection[PartKey],
        begun: bool,
        at: float,
    ) -> None:
        """Record a request of this node whose server has crashed."""
        self._failures_by_service[service].append(
            _Failure(at, frozenset(parts), begun)
        )

    def add_crash(self, crash: Crash) -> bool:
        """Add a crash, or what another node knows of it; return if new."""
        known = self.crash_by_lifetime.get(crash.lifetime)
        if known is not None:
            crash = dataclasses.replace(
                crash,
                at=min(known.at, crash.at),
                begun=known.begun | crash.begun,
                unanswered=known.unanswered | crash.unanswered,
            )
        begun = self._limited(crash.begun, MAX_PARTS_PER_CRASH)
        crash = dataclasses.replace(
            crash,
            begun=begun,
            unanswered=self._limited(
                crash.unanswered - begun, MAX_PARTS_PER_CRASH - len(begun)
            ),
        )
        if (
            known is not None
            and crash.parts == known.parts
            and crash.begun == known.begun
        ):
            return False
        self.crash_by_lifetime[crash.lifetime] = crash
        self._crash_learned_at = crash.learned_at
        for part in crash.parts:
            self._suspected_at[part] = max(
                crash.at, self._suspected_at.get(part, float('-inf'))
            )
        self._forget(crash.learned_at)
        return True

    def was_in_earlier_crash(
        self, parts: Iterable[PartKey], at: float
    ) -> bool:
        """Whether a part that was never answered was in an earlier crash.

        Parameters
        ----------
        at : float
            Time of the present crash, on `clock.now`; crashes simultaneous
            with it have a common cause.
        """
        suspects = frozenset(
            part for part in parts if part not in self.answered_at
        )
        return any(
            at - crash.at >= SIMULTANEOUS_S
            and not suspects.isdisjoint(crash.parts)
            for crash in self.crash_by_lifetime.values()
        )

    def _limited(
        self, parts: frozenset[PartKey], limit: int
    ) -> frozenset[PartKey]:
        """Keep the most suspicious parts: never or least recently answered."""
        if len(parts) <= limit:
            return parts
        return frozenset(
            sorted(
                parts,
                key=lambda part: (
                    self.answered_at.get(part, float('-inf')),
                    part,
                ),
            )[:limit]
        )

    def _forget(self, now: float) -> None:
        """Forget old crashes, and the oldest ones if there are too many."""
        by_age = sorted(
            self.crash_by_lifetime.values(), key=lambda crash: crash.at
        )
        kept = [
            crash
            for crash in by_age[-MAX_CRASHES:]
            if now - crash.at < MAX_AGE_S
        ]
        if len(kept) == len(by_age):
            return
        self.crash_by_lifetime = {crash.lifetime: crash for crash in kept}
        suspected = {part for crash in kept for part in crash.parts}
        self._suspected_at = {
            part: at
            for part, at in self._suspected_at.items()
            if part in suspected
        }

    # Holds

    def held(self, parts: Collection[PartKey]) -> Hold | None:
        """Return a hold that applies to a request with these parts."""
        if not self.hold_by_parts or not parts:
            return None
        own = frozenset(parts)
        return next(
            (
                hold
                for hold in self.hold_by_parts.values()
                if hold.parts <= own
            ),
            None,
        )

    def add_hold(self, hold: Hold) -> bool:
        """Add a hold unless its parts have proved sound; return if new."""
        parts = frozenset(
            part
            for part in hold.parts
            if self.answered_at.get(part, float('-inf')) <= hold.first_at
        )
        if not parts:
            return False
        hold = dataclasses.replace(hold, parts=parts)
        known = self.hold_by_parts.get(parts)
        if known is not None:
            hold = dataclasses.replace(
                hold,
                first_at=max(known.first_at, hold.first_at),
                held_at=min(known.held_at, hold.held_at),
                crashes=max(known.crashes, hold.crashes),
                trials=max(known.trials, hold.trials),
            )
            self.hold_by_parts[parts] = hold
            return hold.trials > known.trials
        if any(other < parts for other in self.hold_by_parts):
            return False
        # A hold on fewer parts includes those on more.
        for other in [item for item in self.hold_by_parts if parts < item]:
            del self.hold_by_parts[other]
        self.hold_by_parts[parts] = hold
        if len(self.hold_by_parts) > MAX_HOLDS:
            oldest = min(
                self.hold_by_parts.values(),
                key=lambda known: (known.held_at, sorted(known.parts)),
            )
            del self.hold_by_parts[oldest.parts]
        return True

    def find_holds(self, now: float, settle_s: float) -> list[Hold]:
        """Return new holds that the evidence asks for.

        Parameters
        ----------
        settle_s : float
            Time that other nodes have to report answers with a part.
        """
        if now - self._crash_learned_at > RECENT_S:
            return []
        return [
            hold
            for begun_only in (True, False)
            for hold in self._find_holds(now, settle_s, begun_only)
        ]

    def _find_holds(
        self, now: float, settle_s: float, begun_only: bool
    ) -> Iterator[Hold]:
        run_by_part = self._runs(begun_only, now - settle_s)
        suspects = {
            part: frozenset(crash.lifetime for crash in run)
            for part, run in run_by_part.items()
            if self._is_cause(part, run, begun_only, now - settle_s)
        }
        for lifetimes in set(suspects.values()):
            # Parts in fewer crashes than another one are not the cause.
            if any(lifetimes < other for other in suspects.values()):
                continue
            parts = frozenset(
                part for part, own in suspects.items() if own == lifetimes
            )
            if parts in self.hold_by_parts or any(
                hold < parts for hold in self.hold_by_parts
            ):
                continue
            run = run_by_part[next(iter(parts))]
            yield Hold(parts, run[0].at, now, len(run))

    def _runs(
        self, begun_only: bool, learned_before: float
    ) -> Mapping[PartKey, list[Crash]]:
        """Return the crashes with each part since its latest answer."""
        runs: dict[PartKey, list[Crash]] = collections.defaultdict(list)
        for crash in sorted(
            self.crash_by_lifetime.values(), key=lambda crash: crash.at
        ):
            if crash.learned_at > learned_before:
                continue
            parts = crash.begun if begun_only else crash.parts
            explained_by = [
                hold for hold in self.hold_by_parts if hold <= crash.parts
            ]
            for part in parts:
                if crash.at <= self.answered_at.get(part, float('-inf')):
                    continue
                if any(part not in hold for hold in explained_by):
                    continue
                runs[part].append(crash)
        return runs

    def _unexplained(self) -> Iterator[Crash]:
        """Iterate in order over the crashes without a held part."""
        return (
            crash
            for crash in sorted(
                self.crash_by_lifetime.values(), key=lambda crash: crash.at
            )
            if not any(hold <= crash.parts for hold in self.hold_by_parts)
        )

    def _is_cause(
        self,
        part: PartKey,
        run: list[Crash],
        begun_only: bool,
        learned_before: float,
    ) -> bool:
        """Whether chance does not explain that a part is in these crashes."""
        if _distinct(run) < MIN_CRASHES:
            return False
        # Once there are crashes at several times, simultaneous ones count too
        # for a part that was never answered: each had a request with it.
        counts_all = not begun_only and part not in self.answered_at
        count_crashes = len if counts_all else _distinct
        count = count_crashes(run)
        since, until, service = run[0].at, run[-1].at, run[0].service
        others = count_crashes(
            [
                crash
                for crash in self._unexplained()
                if crash.service == service
                and since <= crash.at
                and crash.learned_at <= learned_before
                and part not in crash.parts
            ]
        )
        if count < MIN_SHARE * (count + others):
            return False
        doubtful = not begun_only or part in self.answered_at
        if doubtful and count < MIN_DOUBTFUL_CRASHES:
            return False
        # Later answers may only show that the service has recovered.
        answers = sum(
            since < at < until for at in self._answers_by_service[service]
        )
        # With crashes of other requests, the service may fail as a whole.
        needs_answers = part in self.answered_at or others >= MIN_SHARE * (
            count + others
        )
        if needs_answers and answers < MIN_ANSWERS:
            return False
        failures = sum(
            since <= failure.at <= until
            and part not in failure.parts
            and (failure.begun or not begun_only)
            and not any(hold <= failure.parts for hold in self.hold_by_parts)
            for failure in self._failures_by_service[service]
        )
        failed_share = (failures + 0.5) / (answers + failures + 1.0)
        return bool(failed_share**count <= MAX_CHANCE)


def _distinct(crashes: list[Crash]) -> int:
    """Count crashes in order, without those simultaneous with a counted one.

    A chain of crashes, each close to the next one, is no common cause.
    """
    count = 0
    counted_at = float('-inf')
    for crash in crashes:
        if crash.at - counted_at >= SIMULTANEOUS_S:
            counted_at = crash.at
            count += 1
    return count
