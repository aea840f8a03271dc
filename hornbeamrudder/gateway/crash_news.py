"""Translates crash evidence to and from messages between nodes.

Messages state ages, since the clocks of nodes differ.
"""

from typing import Callable, Iterable, Iterator, TypeVar

from . import crash_evidence
from . import reports

# Prompt parts in one datagram.
MAX_PARTS = crash_evidence.MAX_PARTS_PER_CRASH
# The fields of an item take as much room as this number of parts.
FIELDS_ROOM = 4

_Item = TypeVar('_Item')


def batches(
    items: Iterable[_Item], count_parts: Callable[[_Item], int]
) -> Iterator[list[_Item]]:
    """Divide items so that the parts of each batch fit one datagram."""
    batch: list[_Item] = []
    used = 0
    for item in items:
        room = count_parts(item) + FIELDS_ROOM
        if batch and used + room > MAX_PARTS + FIELDS_ROOM:
            yield batch
            batch, used = [], 0
        batch.append(item)
        used += room
    if batch:
        yield batch


def encode_crash(crash: crash_evidence.Crash, now: float) -> reports.CrashNews:
    """Return the news of a crash, with its age."""
    return reports.CrashNews(
        crash.lifetime,
        crash.service,
        max(0.0, now - crash.at),
        tuple(crash.begun),
        tuple(crash.unanswered),
    )


def decode_crash(news: reports.CrashNews, now: float) -> crash_evidence.Crash:
    """Return a crash from its news, with its time on `clock.now`."""
    return crash_evidence.Crash(
        crash_evidence.LifetimeKey(news.lifetime),
        crash_evidence.ServiceKey(news.service),
        now - news.age_s,
        now,
        frozenset(map(crash_evidence.PartKey, news.begun)),
        frozenset(map(crash_evidence.PartKey, news.unanswered)),
    )


def encode_hold(hold: crash_evidence.Hold, now: float) -> reports.HoldNews:
    """Return the news of a hold, with its ages."""
    return reports.HoldNews(
        tuple(hold.parts),
        max(0.0, now - hold.first_at),
        max(0.0, now - hold.held_at),
        hold.crashes,
        hold.trials,
    )


def decode_hold(news: reports.HoldNews, now: float) -> crash_evidence.Hold:
    """Return a hold from its news, with its times on `clock.now`."""
    return crash_evidence.Hold(
        frozenset(map(crash_evidence.PartKey, news.parts)),
        now - news.first_age_s,
        now - news.held_age_s,
        news.crashes,
        news.trials,
    )
