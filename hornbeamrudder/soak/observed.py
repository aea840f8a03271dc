"""What callers, backend servers and the platform saw; immutable."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """One request of a caller.

    Attributes
    ----------
    node : int
        Node that got it.
    sent_at, ended_at : float
        Seconds since the start of the run.
    left : bool
        Whether the caller closed its connection before the end.
    """

    request_id: str
    route: str
    key: str
    node: int
    sent_at: float
    ended_at: float
    status: int
    whole: bool
    body: bytes
    echoed_id: str
    left: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One request at a backend server.

    Attributes
    ----------
    ran : bool
        Whether the server began to work on it.
    """

    request_id: str
    server: str
    at: float
    ran: bool
    account: str
    expected_server: str
    carries_key: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DutyCall:
    """One call at the cloud API."""

    path: str
    holder: str
    number: int
    body: object
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """A time in which something was wrong, or planned work went on.

    Attributes
    ----------
    what : str
        Value of the fault's kind.
    node : int or None
        Node that it concerns; None for all.
    """

    what: str
    begun: float
    ended: float
    node: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """A backend server whose leaving the store acknowledged."""

    server: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Observed:
    """Everything that was seen in one run.

    Attributes
    ----------
    revoked_at : tuple of (str, float)
        Keys that were taken away, and when the store acknowledged it.
    served_after : tuple of (int, str, bool)
        Node, route, and whether it served once all faults had ended.
    """

    outcomes: tuple[Outcome, ...]
    runs: tuple[Run, ...]
    duty_calls: tuple[DutyCall, ...]
    spans: tuple[Span, ...]
    leavings: tuple[Leaving, ...]
    revoked_at: tuple[tuple[str, float], ...]
    served_after: tuple[tuple[int, str, bool], ...]
    exits: tuple[str, ...]
