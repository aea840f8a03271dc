"""What requests and answers say, in the project's own words."""

import dataclasses

from ..core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; the last one belongs to the session alone."""

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a client says of its request.

    Attributes
    ----------
    request_id : RequestId or None
        None where it is missing or contradictory.
    remaining_s : float or None
        How long the client will wait.
    expected_output_tokens : int
        The client's estimate, often far off; 0 if unknown.
    """

    request_id: ids.RequestId | None
    remaining_s: float | None = None
    key: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    expected_output_tokens: int = 0
    last_event_id: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """What the system adds to a request for one backend server.

    Attributes
    ----------
    resume_after : str or None
        Id of the last event that the client has.
    copy : str or None
        Copy of a run's memory with which the backend server goes on.
    """

    remaining_s: float
    server: ids.WorkerId
    account: ids.AccountId | None = None
    rank: int | None = None
    resume_after: str | None = None
    copy: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that a backend server states in an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What the head of a backend server's answer says.

    Attributes
    ----------
    sealed : bool
        Whether the answer bears the backend server's receipt.
    not_executed : bool
        Whether the backend server states that it did not run the request.
    """

    request_id: str | None = None
    sealed: bool = False
    not_executed: bool = False
    wrong_server: bool = False
    load: ServerLoad | None = None
    keep_alive_s: float | None = None
    closes: bool = False


def expected_tokens(
    metadata: RequestMetadata, counts_tokens: bool, plain: int
) -> float:
    """What a request counts against the limit of its account."""
    if not counts_tokens:
        return 1.0
    stated = metadata.prompt_tokens + metadata.output_tokens
    return float(stated or plain)
