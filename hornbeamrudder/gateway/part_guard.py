"""Keeps requests with prompt parts that crash backend servers from them.

Nodes tell each other of crashes, of answers that clear a part, and of parts
that are held back: directly in a full mesh, else through the hubs.
"""

import asyncio
import collections
import dataclasses
import itertools
from typing import Any, Awaitable, Callable, Iterable, Iterator, Mapping

from . import calls
from . import clock
from ..core import hashing
from ..core import ids
from . import crash_evidence
from . import crash_news
from . import http_client
from . import metrics
from . import peers
from . import reports
from . import server_registry

# Time-out of the connection that tells whether a server has ended.
CHECK_TIMEOUT_S = 0.3
# Time in which other nodes can report answers, in a full mesh and with hubs.
SETTLE_S = 0.1
RELAYED_SETTLE_S = 0.45
# Until news are sent once more.
REPEAT_S = 0.4
# Interval between messages with all holds, while there are any.
HOLDS_INTERVAL_S = 1.0
MAX_LABELS = 8
MAX_PART_NAMES = 512
# From the start of a hold to its first trial, and from that to the next one.
TRIAL_PAUSES_S = (60.0, 600.0)
# Shortest time between two attempts to get leave for a trial.
TRIAL_RETRY_S = 5.0
# Bounds on the Retry-After of a request that is held back.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0

Connect = Callable[..., Awaitable[Any]]
# Asks for leave to send the next trial under a hold.
ClaimTrial = Callable[[crash_evidence.Hold], Awaitable[bool]]


async def _no_trial(hold: crash_evidence.Hold) -> bool:
    return False


@dataclasses.dataclass(frozen=True, slots=True)
class _Repeat:
    """News that are sent once more, as a datagram may be lost."""

    at: float
    crashes: frozenset[crash_evidence.LifetimeKey]
    answers: Mapping[crash_evidence.PartKey, float]


class PartGuard:
    """Crash evidence of one node, and its exchange with the others.

    Attributes
    ----------
    claim_trial : callable
        Asks for leave to send a trial; at most one node gets it.
    connect : callable
        Opens a connection to a server, to see whether it has ended.
    """

    def __init__(
        self,
        node: ids.NodeId,
        peers_: peers.Peers,
        log: Any,
        metrics_: metrics.Metrics,
    ) -> None:
        self.evidence = crash_evidence.CrashEvidence()
        self.claim_trial: ClaimTrial = _no_trial
        self._node = node
        self._peers = peers_
        self._log = log
        self._metrics = metrics_
        self.connect: Connect = http_client.connect
        self._name_by_key: collections.OrderedDict[
            crash_evidence.PartKey, str
        ] = collections.OrderedDict()
        # Checks in progress and the results of recent ones.
        self._check_by_lifetime: dict[
            crash_evidence.LifetimeKey, asyncio.Task[bool]
        ] = {}
        self._crash_news: set[crash_evidence.LifetimeKey] = set()
        self._answer_news: dict[crash_evidence.PartKey, float] = {}
        self._hold_news = False
        # Latest news, until they are sent once more.
        self._repeats: list[_Repeat] = []
        self._holds_sent_at = float('-inf')
        self._trial_asked_at = float('-inf')

    # Requests

    def held(self, call: calls.Call) -> crash_evidence.Hold | None:
        """Return the hold that applies to a request."""
        if call.is_trial:
            return None
        return self.evidence.held(call.part_keys)

    async def admit(self, call: calls.Call) -> bool:
        """Return whether a request may be sent, perhaps as a trial."""
        hold = self.held(call)
        if hold is None:
            return True
        now = clock.now()
        if (
            now < trial_at(hold)
            or now - self._trial_asked_at < TRIAL_RETRY_S
            or not await self._claim_trial(hold)
        ):
            self._metrics.held_requests.inc(
                {'route': call.admitted.route.name}
            )
            return False
        call.is_trial = True
        self._log.warning(
            'prompt parts are tried again',
            request=call.request_id,
            prompt_parts=self._labels(hold.parts),
            trials=hold.trials + 1,
        )
        return True

    async def _claim_trial(self, hold: crash_evidence.Hold) -> bool:
        self._trial_asked_at = clock.now()
        return await self.claim_trial(hold)

    def record_answer(self, call: calls.Call) -> None:
        """Record that an answer has got past its beginning."""
        if not call.part_keys:
            return
        held = frozenset(
            itertools.chain.from_iterable(self.evidence.hold_by_parts)
        )
        *shared_parts, last_part = call.part_keys
        cleared = self.evidence.record_answer(
            crash_evidence.service_key(call.service.name),
            shared_parts,
            last_part,
            clock.now(),
        )
        for part in cleared:
            self._answer_news[part] = clock.now()
        if not held.isdisjoint(cleared):
            self._log.warning(
                'prompt parts are released',
                request=call.request_id,
                prompt_parts=self._labels(held.intersection(cleared)),
            )
        if cleared:
            self._send_news()

    def record_broken(
        self,
        call: calls.Call,
        record: server_registry.ServerRecord,
        broken: http_client.ConnectionBroken,
        begun: bool,
    ) -> None:
        """Find out whether a server that broke off an answer has crashed.

        Parameters
        ----------
        begun : bool
            Whether the head of the answer had arrived.
        """
        if (
            not call.part_keys
            or not broken.closed
            or record.leaving_since is not None
        ):
            return
        entry = record.entry
        lifetime = crash_evidence.LifetimeKey(
            hashing.stable_hash(entry.id, str(entry.started))
        )
        check = self._check(lifetime, record)
        at = clock.now()
        if begun or self.evidence.was_in_earlier_crash(call.part_keys, at):
            call.crash_check, call.broken_at = check, at
        last_parts = slice(-crash_evidence.MAX_PARTS_PER_REQUEST, None)
        for part, key in zip(
            call.admitted.metadata.prompt_parts[last_parts],
            call.part_keys[last_parts],
            strict=True,
        ):
            self._name_by_key[key] = part.name
        while len(self._name_by_key) > MAX_PART_NAMES:
            self._name_by_key.popitem(last=False)
        check.add_done_callback(
            lambda done: (
                self._record_crash(call, record, lifetime, begun, at)
                if not done.cancelled() and done.result()
                else None
            )
        )

    def _check(
        self,
        lifetime: crash_evidence.LifetimeKey,
        record: server_registry.ServerRecord,
    ) -> 'asyncio.Task[bool]':
        """Return the check of a server; one that has crashed stays so."""
        check = self._check_by_lifetime.get(lifetime)
        if check is not None and not (
            check.done() and (check.cancelled() or not check.result())
        ):
            return check
        check = asyncio.ensure_future(self._has_crashed(record))
        self._check_by_lifetime[lifetime] = check
        if len(self._check_by_lifetime) > crash_evidence.MAX_CRASHES:
            del self._check_by_lifetime[next(iter(self._check_by_lifetime))]
        return check

    async def _has_crashed(self, record: server_registry.ServerRecord) -> bool:
        opened = await self.connect(record.entry.address, CHECK_TIMEOUT_S)
        if isinstance(opened, http_client.ConnectionBroken):
            self._metrics.crashes.inc({'service': record.entry.service})
            return True
        opened.abort()
        return False

    def _record_crash(
        self,
        call: calls.Call,
        record: server_registry.ServerRecord,
        lifetime: crash_evidence.LifetimeKey,
        begun: bool,
        at: float,
    ) -> None:
        service = crash_evidence.service_key(call.service.name)
        self.evidence.record_failure(service, call.part_keys, begun, at)
        parts = frozenset(call.part_keys)
        self._log.info(
            'backend server has crashed',
            server=record.entry.id,
            server_started=record.entry.started,
            request=call.request_id,
            begun=begun,
            prompt_parts=self._labels(call.part_keys),
        )
        if self.evidence.add_crash(
            crash_evidence.Crash(
                lifetime,
                service,
                at,
                clock.now(),
                parts if begun else frozenset(),
                frozenset() if begun else parts,
            )
        ):
            self.announce_crash(lifetime)
            self._send_news()

    async def may_repeat(self, call: calls.Call) -> bool:
        """Return whether a request may be sent to another server.

        A request whose answer was beginning when its server crashed is not,
        unless answers with all of its parts but the last have got past their
        beginning; nor one with a part that was never answered and was in an
        earlier crash.
        """
        if self.held(call) is not None:
            return False
        if call.crash_check is None or (
            all(
                part in self.evidence.answered_at
                for part in call.part_keys[:-1]
            )
            and not self.evidence.was_in_earlier_crash(
                call.part_keys[-1:], call.broken_at
            )
        ):
            return True
        return not await asyncio.shield(call.crash_check)

    # Messages

    def announce_crash(self, lifetime: crash_evidence.LifetimeKey) -> None:
        """Include a crash in the next news."""
        self._crash_news.add(lifetime)

    def step(self) -> None:
        """Find holds and send what is due."""
        now = clock.now()
        uses_hubs = self._peers.uses_hubs
        for hold in self.evidence.find_holds(
            now, RELAYED_SETTLE_S if uses_hubs else SETTLE_S
        ):
            if self.evidence.add_hold(hold):
                self._hold_news = True
                self._log_hold(hold, None)
        self._send_news()
        due = [item for item in self._repeats if item.at <= now]
        self._repeats = [item for item in self._repeats if item.at > now]
        for item in due:
            for message in self._news_messages(
                now, item.crashes, item.answers
            ):
                self._send(message)
        interval_s = max(
            HOLDS_INTERVAL_S, peers.interval_s(self._peers.node_count)
        )
        if (
            self.evidence.hold_by_parts
            and now - self._holds_sent_at >= interval_s
        ):
            self._holds_sent_at = now
            for message in self._hold_messages():
                self._send(message)

    def apply(self, message: reports.Suspicions) -> None:
        """Apply what another node knows."""
        now = clock.now()
        evidence = self.evidence
        is_relay = self._relays()
        for crash in message.crashes:
            own = crash_news.decode_crash(crash, now)
            if not evidence.add_crash(own):
                continue
            if is_relay:
                self.announce_crash(own.lifetime)
            # The sender adds what it knows of the parts' answers.
            for part in own.parts:
                told = message.answer_age_by_part.get(part)
                known = evidence.answered_at.get(part, float('-inf'))
                if known > own.at and (told is None or known > now - told):
                    self._answer_news[part] = known
        for key, age_s in message.answer_age_by_part.items():
            part = crash_evidence.PartKey(key)
            if evidence.vouch(part, now - age_s) and is_relay:
                self._answer_news[part] = now - age_s
        for news in message.holds:
            hold = crash_news.decode_hold(news, now)
            if evidence.add_hold(hold):
                self._hold_news = self._hold_news or is_relay
                self._log_hold(hold, message.node)
            for part in hold.parts:
                answered = evidence.answered_at.get(part, float('-inf'))
                if answered > hold.first_at:
                    self._answer_news[part] = answered

    def adopt(self, hold: crash_evidence.Hold, source: str) -> None:
        """Apply a hold that the store or an operator tells of."""
        if self.evidence.add_hold(hold):
            self._hold_news = True
            self._log_hold(hold, source)

    def release(self, part: crash_evidence.PartKey, source: str) -> None:
        """Release a part by hand."""
        if self.evidence.vouch(part, clock.now()):
            self._answer_news[part] = clock.now()
            self._log.warning(
                'prompt parts are released',
                prompt_parts=self._labels((part,)),
                source=source,
            )

    def _relays(self) -> bool:
        """Whether nodes learn the news of others through this one.

        Hubs relay. So does a node that others report to after a cut, though
        it does not count itself as a hub.
        """
        return self._peers.uses_hubs and (
            self._node in self._peers.hubs()
            or bool(self._peers.direct_reports())
        )

    def _send_news(self) -> None:
        now = clock.now()
        if self._crash_news or self._answer_news:
            crashes, self._crash_news = frozenset(self._crash_news), set()
            answers, self._answer_news = self._answer_news, {}
            for message in self._news_messages(now, crashes, answers):
                self._send(message)
            self._repeats.append(_Repeat(now + REPEAT_S, crashes, answers))
        if self._hold_news:
            self._hold_news = False
            for message in self._hold_messages():
                self._send(message)

    def _news_messages(
        self,
        now: float,
        lifetimes: Iterable[crash_evidence.LifetimeKey],
        answers_at: Mapping[crash_evidence.PartKey, float],
    ) -> Iterator[reports.Suspicions]:
        evidence = self.evidence
        for crashes in crash_news.batches(
            [
                evidence.crash_by_lifetime[lifetime]
                for lifetime in lifetimes
                if lifetime in evidence.crash_by_lifetime
            ],
            lambda crash: len(crash.parts),
        ):
            answers: dict[int, float] = {
                part: now - evidence.answered_at[part]
                for crash in crashes
                for part in crash.parts
                if part in evidence.answered_at
            }
            yield reports.Suspicions(
                self._node,
                tuple(
                    crash_news.encode_crash(crash, now) for crash in crashes
                ),
                answers,
            )
        for parts in crash_news.batches(answers_at.items(), lambda item: 1):
            yield reports.Suspicions(
                self._node,
                answer_age_by_part={
                    part: max(0.0, now - at) for part, at in parts
                },
            )

    def _hold_messages(self) -> Iterator[reports.Suspicions]:
        now = clock.now()
        for holds in crash_news.batches(
            self.evidence.hold_by_parts.values(),
            lambda hold: len(hold.parts),
        ):
            yield reports.Suspicions(
                self._node,
                holds=tuple(
                    crash_news.encode_hold(hold, now) for hold in holds
                ),
            )

    def _send(self, message: reports.Suspicions) -> None:
        if not self._peers.uses_hubs:
            targets: Iterable[ids.NodeId] = self._peers.known_by_id
        elif self._relays():
            targets = {*self._peers.hubs(), *self._peers.direct_reports()}
        else:
            targets = self._peers.hubs()
        data = reports.encode(message)
        for node in targets:
            if node != self._node:
                self._peers.send_to(node, data)

    # Log

    def _labels(self, parts: Iterable[crash_evidence.PartKey]) -> list[str]:
        """Return keys in hexadecimal, with the names known to this node."""
        return [
            f'{part:016x} {self._name_by_key.get(part, "")}'.rstrip()
            for part in sorted(parts)[:MAX_LABELS]
        ]

    def _log_hold(self, hold: crash_evidence.Hold, source: str | None) -> None:
        self._metrics.holds.inc(
            {'source': 'own' if source is None else 'other'}
        )
        self._log.warning(
            'prompt parts are held back',
            prompt_parts=self._labels(hold.parts),
            crashes=hold.crashes,
            first_crash_age_s=round(clock.now() - hold.first_at, 2),
            trials=hold.trials,
            source=source,
        )


def trial_at(hold: crash_evidence.Hold) -> float:
    """Return from when on the next trial may be sent; infinite for never."""
    if hold.trials >= len(TRIAL_PAUSES_S):
        return float('inf')
    return hold.held_at + sum(TRIAL_PAUSES_S[: hold.trials + 1])


def retry_after_s(hold: crash_evidence.Hold, now: float) -> float:
    """Return the Retry-After of a request that is held back."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, trial_at(hold) - now))
