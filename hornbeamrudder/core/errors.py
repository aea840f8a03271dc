"""Error values that name the operation and the peer that failed."""

import dataclasses
import enum

from . import types


class Step(enum.Enum):
    """Operation during which an error occurred."""

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
    """Category of an error, independent of the operation."""

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
    """Error returned as a value instead of being raised.

    Attributes
    ----------
    peer : str
        Address or name of the remote side; empty for local errors.
    outcome : Outcome
        Whether the request was executed, as far as is known.
    retry_after_s : float or None
        Delay after which the caller may retry; None if not specified.
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
