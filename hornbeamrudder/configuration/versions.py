"""Version row, document and voter sets of a configuration version.

The functions have no side effects.
"""

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
# Larger documents are written to the object store.
MAX_ROW_CONTENT_BYTES = 64 * 1024
# Changes listed in the row; a conflict report takes the authors from them.
MAX_RECENT_CHANGES = 16
# Keys listed per change. 16 changes with 600 characters of keys each take
# less than 12 KB in the row.
MAX_CHANGE_KEYS = 16
MAX_CHANGE_KEY_CHARACTERS = 600
# Suffix that matches all keys of a section.
SECTION_WILDCARD = '/*'
# Limit of the earlier voter sets that may still confirm nodes below the
# current version.
MAX_VOTER_SETS = 32

Voter = tuple[ids.NodeId, ids.Incarnation]
VoterSet = tuple[Voter, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A process of an entry node that may admit requests.

    Attributes
    ----------
    host : HostId
        Host id of the cloud API; empty if unknown.
    """

    node: ids.NodeId
    incarnation: ids.Incarnation
    address: types.Address
    host: ids.HostId = ids.HostId('')


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The change made by one version; `keys` is empty for member changes.

    Attributes
    ----------
    keys : tuple of str
        Difference keys, or `<section>/*` for a whole section. Rows of an
        earlier release hold the top-level keys of the document.
    wall : float
        Unix time in seconds; 0 in rows of an earlier release.
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
        Key of the row, or of the object if `in_objects`, that holds the
        document. It contains the attempt id, so that a writer whose
        compare-and-set fails cannot overwrite the document of the winner.
    digest : str
        SHA-256 of the document.
    wall : float
        Unix time of the change in seconds; informational.
    recent : tuple of Change
        Latest changes in ascending order, including this one.
    electorates : tuple of VoterSet
        Voter sets of earlier versions that were not known to be in force
        everywhere when this version was written. A majority of each must
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
    electorates: tuple[VoterSet, ...] = ()
    in_objects: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedDocument:
    """A version row with its document, a JSON object in canonical form."""

    row: VersionRow
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class KeyConflict:
    """A key that differs from the base version, with its authors."""

    key: str
    authors: tuple[ids.OperatorId, ...]


_ROW = pydantic.TypeAdapter(VersionRow)


def parse_row(body: bytes) -> result.Result[VersionRow, errors.Failure]:
    """Parse a version row from JSON."""
    try:
        return result.Success(_ROW.validate_json(body, strict=True))
    except pydantic.ValidationError as error:
        return _invalid(f'version row: {error.error_count()} errors')


def dump_row(row: VersionRow) -> bytes:
    """Serialize a version row as JSON."""
    return orjson.dumps(row)


def canonical_json(document: Any) -> result.Result[bytes, errors.Failure]:
    """Serialize a document, which must be an object, as canonical JSON."""
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
) -> result.Result[VersionedDocument, errors.Failure]:
    """Pair a row with its document after a check of the digest."""
    if hashing.digest(document) != row.digest:
        return _invalid(f'document of version {row.version}: wrong digest')
    try:
        is_object = isinstance(orjson.loads(document), dict)
    except orjson.JSONDecodeError:
        is_object = False
    if not is_object:
        return _invalid(f'document of version {row.version}: no JSON object')
    return result.Success(VersionedDocument(row, document))


def newer(
    installed: VersionedDocument | None, offered: VersionedDocument
) -> VersionedDocument:
    """Return the higher version; `installed` if both are equal."""
    if installed is None or offered.row.version > installed.row.version:
        return offered
    return installed


def differing_keys(base: bytes, current: bytes) -> tuple[str, ...]:
    """Return the difference keys whose values differ."""
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


def summarize_keys(keys: tuple[str, ...]) -> tuple[str, ...]:
    """Reduce the keys of a change to the limits of the version row.

    The row is bounded because every node reads it each second. While the
    list is too long, the keys of the largest section are replaced by
    `<section>/*`.
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
        keys = tuple(sorted(kept | {section + SECTION_WILDCARD}))
    return keys


def covers_key(keys: tuple[str, ...], key: str) -> bool:
    """Whether the listed keys of a change include `key`."""
    section = key.partition('/')[0]
    return not {key, section, section + SECTION_WILDCARD}.isdisjoint(keys)


def _is_section(key: str) -> bool:
    return '/' not in key or key.endswith(SECTION_WILDCARD)


def key_conflicts(
    row: VersionRow, current: bytes, base: ids.Version, base_document: bytes
) -> tuple[KeyConflict, ...]:
    """Return the keys changed since `base`, with their authors.

    Parameters
    ----------
    base_document : bytes
        Document of the base version. If empty, the keys are taken from the
        changes listed in the row.
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
                    if covers_key(change.keys, key)
                )
            ),
        )
        for key in keys
    )


def voters(row: VersionRow) -> VoterSet:
    """Return the voter set of a version: its members."""
    return tuple(
        sorted((member.node, member.incarnation) for member in row.members)
    )


def required_voter_sets(row: VersionRow) -> tuple[VoterSet, ...]:
    """Voter sets of which a majority each must acknowledge this version."""
    return tuple(dict.fromkeys((*row.electorates, voters(row))))


def inherited_voter_sets(
    current: VersionRow, settled: ids.Version
) -> tuple[VoterSet, ...]:
    """Return the earlier voter sets that the version after `current` carries.

    While several member changes are pending, majorities of their voter sets
    may be disjoint. A set is therefore dropped only when no node below the
    current version can be confirmed any more.
    """
    if settled >= current.version:
        return (voters(current),)
    return required_voter_sets(current)


def _invalid(detail: str) -> result.Result[Any, errors.Failure]:
    return result.Failure(
        errors.Failure(
            errors.FailureKind.INVALID,
            errors.Step.PUBLISH_CONFIGURATION,
            '',
            detail,
        )
    )
