"""Errors that are returned as values, with the step and the peer."""

import dataclasses
import enum

from . import types


class Step(enum.Enum):
    """Step of an exchange at which an error arose."""

    READ_REQUEST = 'read request'
    AUTHENTICATE = 'authenticate caller'
    ADMIT = 'admit request'
    ROUTE = 'choose worker'
    RECORD_ORDER = 'record order'
    DISPATCH = 'send to backend server'
    READ_ANSWER = 'read answer'
    RELAY_ANSWER = 'relay answer'
    HAND_OVER = 'hand over request'
    READ_TABLE = 'read table service'
    WRITE_TABLE = 'write table service'
    READ_OBJECT = 'read object store'
    WRITE_OBJECT = 'write object store'
    CALL_CLOUD = 'call cloud API'
    READ_HOST_LIST = 'read host list'
    PEER_EXCHANGE = 'exchange with peer'
    PUBLISH_CONFIGURATION = 'publish configuration'
    HOLD_LEASE = 'hold lease'
    ORDER_ENGINE = 'order model engine'


class FailureKind(enum.Enum):
    """Kind of error, independent of the step."""

    INVALID = 'invalid'
    UNAUTHORIZED = 'unauthorized'
    NOT_FOUND = 'not found'
    CONFLICT = 'conflict'
    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline exceeded'
    NOT_CONNECTED = 'not connected'
    TIMEOUT = 'timeout'
    INTERRUPTED = 'interrupted'
    UNAVAILABLE = 'unavailable'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """An error as a value.

    Attributes
    ----------
    peer : str
        Address or name of the other side, empty for local errors.
    outcome : Outcome
        Whether the request ran, as far as is known.
    retry_after_s : float or None
        When a caller may try again, in seconds.
    """

    kind: FailureKind
    step: Step
    peer: str
    detail: str
    outcome: types.Outcome = types.Outcome.NOT_RUN
    retry_after_s: float | None = None

    def __str__(self) -> str:
        peer = f' ({self.peer})' if self.peer else ''
        return f'{self.step.value}{peer}: {self.kind.value}: {self.detail}'
