"""Protocol-independent metadata of requests and responses."""

import dataclasses

from ..core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; only the last one is specific to the session."""

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata that a client sends with its request.

    Attributes
    ----------
    request_id : RequestId or None
        None if missing or ambiguous.
    remaining_s : float or None
        How long the client will wait.
    expected_output_tokens : int
        The client's estimate, often inaccurate; 0 if unknown.
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
class StoppedRun:
    """Answer of an engine that has stopped a run, but not copied the rest.

    Attributes
    ----------
    copy : str
        Handle of its KV cache, which the engine keeps.
    """

    copy: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Metadata that is added to a request sent to a backend server.

    Attributes
    ----------
    resume_after : str or None
        Id of the last event that the client has.
    copy : str or None
        Handle of a copied KV cache from which the run continues.
    """

    remaining_s: float
    server: ids.WorkerId
    account: ids.AccountId | None = None
    rank: int | None = None
    resume_after: str | None = None
    copy: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that a backend server reports in a response.

    Attributes
    ----------
    running, waiting, slots : int
        Numbers of requests, and of requests that run at the same time.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Metadata from the headers of a backend server's response.

    Attributes
    ----------
    sealed : bool
        Whether the response carries the backend server's seal header.
    not_executed : bool
        Whether the backend server reports that it did not run the request.
    leaving : bool
        Whether the backend server says that it is about to end.
    pause_s : float or None
        Time for which a backend server that has turned a request away wants
        none from this node; None if it asks for no pause.
    slowness : float or None
        Duration of work on the backend server's host at this moment,
        relative to the usual one; None if it is not stated.
    """

    request_id: str | None = None
    sealed: bool = False
    not_executed: bool = False
    wrong_server: bool = False
    load: ServerLoad | None = None
    slowness: float | None = None
    keep_alive_s: float | None = None
    closes: bool = False
    leaving: bool = False
    pause_s: float | None = None


def expected_tokens(
    metadata: RequestMetadata, counts_tokens: bool, plain: int
) -> float:
    """Units that a request counts against its account's limit."""
    if not counts_tokens:
        return 1.0
    stated = metadata.prompt_tokens + metadata.output_tokens
    return float(stated or plain)
