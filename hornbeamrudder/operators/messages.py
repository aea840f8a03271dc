"""Messages of the operator API."""

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
# A document with 10,000 hosts and workers took 2.5 MB.
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
MAX_HISTORY = 1000
# Largest time that datetime can show, year 9999.
MAX_WALL_S = 253_402_300_799.0


class Message(pydantic.BaseModel):
    """Base of answers; keys of a later version are ignored."""

    model_config = pydantic.ConfigDict(frozen=True, extra='ignore')


class NodeInForce(Message):
    """A node and the seconds after which it had the version in force."""

    id: str
    seconds: float


class Applied(Message):
    """A change that is in force on all these nodes."""

    version: int
    nodes: tuple[NodeInForce, ...]


class KeyConflict(Message):
    """A key that another operator changed since the base version."""

    key: str
    author: str


class Conflict(Message):
    """A change that was not written; `version` is the current one."""

    version: int
    conflicts: tuple[KeyConflict, ...]


class HistoryEntry(Message):
    """One version of the configuration.

    Attributes
    ----------
    at_wall_s : float
        Time of the write, in seconds since the epoch.
    keys : tuple of str
        Difference keys that the version changed.
    """

    version: int
    author: str
    at_wall_s: Annotated[float, pydantic.Field(ge=0, le=MAX_WALL_S)]
    keys: tuple[str, ...] = ()


class History(Message):
    """Versions, newest first."""

    versions: tuple[HistoryEntry, ...]


class Drained(Message):
    """A host that receives no new work, and its state."""

    host: str
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A document and its version."""

    version: ids.Version
    document: schema.Document


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A document that an operator wants in force."""

    operator: ids.OperatorId
    base_version: ids.Version
    document: schema.Document


ChangeResult = result.Result[Union[Applied, Conflict], errors.Failure]


def problem(status: int, failure: errors.Failure, **more: Any) -> Any:
    """Return the problem details of a failure as a JSON object."""
    return {
        'type': 'about:blank',
        'title': failure.kind.value,
        'status': status,
        'detail': failure.detail,
        'outcome': failure.outcome.value,
        'step': failure.step.value,
        'peer': failure.peer,
    } | more
