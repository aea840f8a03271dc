"""Paths, limits and message types of the operator API."""

import dataclasses
from typing import Annotated, Any, Union

import pydantic
from returns import result

from ..core import errors
from ..core import ids
from ..inventory import schema

CONFIGURATION_PATH = '/v1/operator/configuration'
STATUS_PATH = '/v1/operator/status'
HISTORY_PATH = '/v1/operator/history'
DRAIN_PATH = '/v1/operator/drain'
PROBLEM_TYPE = 'application/problem+json'
# A document with 10,000 hosts and their workers is 2.5 MB.
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
MAX_HISTORY_LIMIT = 1000
# Latest time that datetime can represent, at the end of the year 9999.
MAX_TIMESTAMP_S = 253_402_300_799.0


class Message(pydantic.BaseModel):
    """Base of responses; ignores keys added by later releases."""

    model_config = pydantic.ConfigDict(frozen=True, extra='ignore')


class NodeActivation(Message):
    """A node and the seconds until it applied the version."""

    id: str
    seconds: float


class Applied(Message):
    """A change that is in force on the listed nodes."""

    version: int
    nodes: tuple[NodeActivation, ...]


class KeyConflict(Message):
    """A key that `author` has changed since the base version."""

    key: str
    author: str


class Conflict(Message):
    """A rejected change; `version` is the current version."""

    version: int
    conflicts: tuple[KeyConflict, ...]


class HistoryEntry(Message):
    """One version of the configuration.

    Attributes
    ----------
    at_wall_s : float
        Time of the write, in seconds since the epoch.
    keys : tuple of str
        Keys changed by the version, as in `inventory.difference`.
    """

    version: int
    author: str
    at_wall_s: Annotated[float, pydantic.Field(ge=0, le=MAX_TIMESTAMP_S)]
    keys: tuple[str, ...] = ()


class History(Message):
    """Versions, newest first."""

    versions: tuple[HistoryEntry, ...]


class DrainResult(Message):
    """A drained host and its state."""

    host: str
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A document and its version."""

    version: ids.Version
    document: schema.Document


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A document that an operator submits to replace the current one."""

    operator: ids.OperatorId
    base_version: ids.Version
    document: schema.Document


ChangeResult = result.Result[Union[Applied, Conflict], errors.Failure]


def problem_details(
    status: int, failure: errors.Failure, **extensions: Any
) -> Any:
    """Return a failure as problem details (RFC 9457)."""
    return {
        'type': 'about:blank',
        'title': failure.kind.value,
        'status': status,
        'detail': failure.detail,
        'outcome': failure.outcome.value,
        'step': failure.step.value,
        'peer': failure.peer,
    } | extensions
