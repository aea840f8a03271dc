"""Content and version row of the configuration; pure."""

import collections
import dataclasses
from typing import Any

import orjson
import pydantic
from returns import result

from ..core import errors
from ..core import hashing
from ..core import ids
from ..core import types
from ..inventory import difference

CURRENT_KEY = 'config/current'
CONTENT_PREFIX = 'config/content/'
# Larger documents go to the object store.
MAX_ROW_CONTENT_BYTES = 64 * 1024
# Changes named in the row, from which a conflict tells the authors.
RECENT_CHANGES = 16
# Keys named for each of them. 16 changes with 600 characters of keys take
# less than 12 KB in the row.
MAX_CHANGE_KEYS = 16
MAX_CHANGE_KEY_CHARACTERS = 600
# Stands for all keys of a section.
ANY_KEY = '/*'
# Member sets that may still confirm nodes below the current version.
MAX_ELECTORATES = 32

Voter = tuple[ids.NodeId, ids.Incarnation]
Electorate = tuple[Voter, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An entry node process that may admit requests.

    Attributes
    ----------
    host : HostId
        Host in the records of the cloud API, empty where it is unknown.
    """

    node: ids.NodeId
    incarnation: ids.Incarnation
    address: types.Address
    host: ids.HostId = ids.HostId('')


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What one version changed; no keys where only members changed.

    Attributes
    ----------
    keys : tuple of str
        Difference keys, some of them as `<section>/*`; an earlier release
        wrote the top-level keys of the document.
    wall : float
        Seconds since 1970; 0 in a row of an earlier release.
    """

    version: ids.Version
    author: ids.OperatorId
    keys: tuple[str, ...]
    attempt: ids.AttemptId
    wall: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class VersionRow:
    """Value of the row `config/current`.

    Attributes
    ----------
    content_version : int
        Version that last changed the document.
    content_key : str
        Row, or object where `in_objects`, that holds the document. It
        contains the attempt id, so that a writer which lost the race
        cannot replace the document of the winner.
    digest : str
        SHA-256 of the document.
    wall : float
        Time of the change for people, in seconds since 1970.
    recent : tuple of Change
        Latest changes, this one last.
    electorates : tuple of Electorate
        Member sets of earlier versions that were not known to be in force
        everywhere when this version was written. A majority of each has to
        acknowledge this version.
    """

    version: ids.Version
    content_version: ids.Version
    content_key: str
    digest: str
    members: tuple[Member, ...]
    author: ids.OperatorId
    changed_keys: tuple[str, ...]
    attempt: ids.AttemptId
    wall: float
    recent: tuple[Change, ...] = ()
    electorates: tuple[Electorate, ...] = ()
    in_objects: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """A version with its document (JSON object, canonical bytes)."""

    row: VersionRow
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class KeyConflict:
    """A key that differs from the base version, and who changed it."""

    key: str
    authors: tuple[ids.OperatorId, ...]


_ROW = pydantic.TypeAdapter(VersionRow)


def parse_row(body: bytes) -> result.Result[VersionRow, errors.Failure]:
    """Read a version row from JSON."""
    try:
        return result.Success(_ROW.validate_json(body, strict=True))
    except pydantic.ValidationError as error:
        return _invalid(f'version row: {error.error_count()} errors')


def dump_row(row: VersionRow) -> bytes:
    """Write a version row as JSON."""
    return orjson.dumps(row)


def canonical(document: Any) -> result.Result[bytes, errors.Failure]:
    """Canonical bytes of a document, which must be a JSON object."""
    if not isinstance(document, dict):
        return _invalid('configuration is not a JSON object')
    try:
        return result.Success(
            orjson.dumps(document, option=orjson.OPT_SORT_KEYS)
        )
    except TypeError as error:
        return _invalid(str(error))


def parse_content(
    row: VersionRow, document: bytes
) -> result.Result[Content, errors.Failure]:
    """Pair a row with its document, which must match its digest."""
    if hashing.digest(document) != row.digest:
        return _invalid(f'document of version {row.version}: wrong digest')
    try:
        is_object = isinstance(orjson.loads(document), dict)
    except orjson.JSONDecodeError:
        is_object = False
    if not is_object:
        return _invalid(f'document of version {row.version}: no JSON object')
    return result.Success(Content(row, document))


def newer(installed: Content | None, offered: Content) -> Content:
    """Return the version to have in force; never a lower one."""
    if installed is None or offered.row.version > installed.row.version:
        return offered
    return installed


def differing_keys(base: bytes, current: bytes) -> tuple[str, ...]:
    """Difference keys whose values differ between two documents."""
    before = difference.json_by_key(orjson.loads(base))
    after = difference.json_by_key(orjson.loads(current))
    absent = object()
    return tuple(
        sorted(
            key
            for key in before.keys() | after.keys()
            if before.get(key, absent) != after.get(key, absent)
        )
    )


def row_keys(keys: tuple[str, ...]) -> tuple[str, ...]:
    """Shorten a list of keys to what the version row holds for a change.

    All nodes read the row every second. While the list is too long, the
    section with most keys becomes `<section>/*`.
    """
    while len(keys) > MAX_CHANGE_KEYS or (
        sum(map(len, keys)) > MAX_CHANGE_KEY_CHARACTERS
    ):
        counts = collections.Counter(
            key.partition('/')[0] for key in keys if not _is_section(key)
        )
        if not counts:
            break
        section = counts.most_common(1)[0][0]
        kept = {key for key in keys if key.partition('/')[0] != section}
        keys = tuple(sorted(kept | {section + ANY_KEY}))
    return keys


def covers(keys: tuple[str, ...], key: str) -> bool:
    """Whether a change with these keys in its row changed `key`."""
    section = key.partition('/')[0]
    return not {key, section, section + ANY_KEY}.isdisjoint(keys)


def _is_section(key: str) -> bool:
    return '/' not in key or key.endswith(ANY_KEY)


def describe_conflict(
    row: VersionRow, current: bytes, base: ids.Version, base_document: bytes
) -> tuple[KeyConflict, ...]:
    """Name the keys changed since `base`, with their authors.

    Parameters
    ----------
    base_document : bytes
        Document of the base version; empty where it is not known, and then
        the changes listed in the row are named.
    """
    changes = [change for change in row.recent if change.version > base]
    keys = (
        differing_keys(base_document, current)
        if base_document
        else sorted({key for change in changes for key in change.keys})
    )
    return tuple(
        KeyConflict(
            key,
            tuple(
                dict.fromkeys(
                    change.author
                    for change in changes
                    if covers(change.keys, key)
                )
            ),
        )
        for key in keys
    )


def voters(row: VersionRow) -> Electorate:
    """Members of a version as voters."""
    return tuple(
        sorted((member.node, member.incarnation) for member in row.members)
    )


def all_electorates(row: VersionRow) -> tuple[Electorate, ...]:
    """Member sets of which a majority has to acknowledge this version."""
    return tuple(dict.fromkeys((*row.electorates, voters(row))))


def next_electorates(
    current: VersionRow, settled: ids.Version
) -> tuple[Electorate, ...]:
    """Earlier member sets that the version after `current` must carry.

    Consecutive member sets may have majorities that do not intersect once
    several changes are pending, so a set is dropped only when no node
    below the current version can be confirmed any more.
    """
    if settled >= current.version:
        return (voters(current),)
    return all_electorates(current)


def _invalid(detail: str) -> result.Result[Any, errors.Failure]:
    return result.Failure(
        errors.Failure(
            errors.FailureKind.INVALID,
            errors.Step.PUBLISH_CONFIGURATION,
            '',
            detail,
        )
    )
