"""Lease decisions for the node that carries out the duties; no I/O.

One row in the store contains the holder, a fencing number that increases with
each new holder, and the end of the term on the store's monotonic clock. The
holder acts only while the term is valid by its own clock, which includes
suspended time.
"""

import dataclasses

from ..core import ids

# Upper bound on the time between checking the term and sending a call.
ACTION_MARGIN_S = 0.5
# A new holder waits this long after the end of the previous term.
TAKEOVER_MARGIN_S = 0.3
# Fraction of the term after which it is renewed.
RENEW_SHARE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class TermRow:
    """Contents of the row.

    Attributes
    ----------
    until_ms : float
        End of the term on the store's monotonic clock.
    """

    holder: ids.NodeId
    started: int
    number: ids.FencingNumber
    until_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedTerm:
    """Result of reading the row, with the store's clock.

    Attributes
    ----------
    version : int
        Version of the row; 0 if there is none.
    sent_at, received_at : float
        Start and end of the read on this node's clock, in seconds.
    """

    row: TermRow | None
    version: int
    steady_ms: float
    sent_at: float
    received_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """Term held by this node.

    Attributes
    ----------
    valid_until : float
        Time on this node's clock until which it may act.
    """

    number: ids.FencingNumber
    row_version: int
    valid_until: float
    renew_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """Row to write if the version that was read is still current."""

    row: TermRow
    valid_until: float


def propose(
    observed: ObservedTerm,
    node: ids.NodeId,
    started: int,
    term_s: float,
    now: float,
    current: ids.FencingNumber | None,
    spent: ids.FencingNumber = ids.FencingNumber(0),
) -> Proposal | None:
    """Return the row that acquires or renews the term.

    Parameters
    ----------
    current : FencingNumber or None
        Fencing number of the term held by this process.
    spent : FencingNumber
        Highest number that must not be used any more.

    Returns
    -------
    Proposal or None
        None while another node's term is valid.
    """
    # The store sampled its clock at or before `received_at`.
    store_ms = observed.steady_ms + (now - observed.received_at) * 1e3
    round_trip_s = observed.received_at - observed.sent_at
    number = 1
    if observed.row is not None:
        number = observed.row.number + 1
        if observed.row.holder == node:
            if (
                observed.row.started == started
                and current == observed.row.number
            ):
                number = observed.row.number
        elif store_ms < observed.row.until_ms + TAKEOVER_MARGIN_S * 1e3:
            return None
    return Proposal(
        TermRow(
            node,
            started,
            ids.FencingNumber(max(number, spent + 1)),
            store_ms + term_s * 1e3,
        ),
        now + term_s - round_trip_s - ACTION_MARGIN_S,
    )


def accepted(
    proposal: Proposal, row_version: int, term_s: float, now: float
) -> Term:
    """Return the term after the store has accepted the proposal."""
    return Term(
        proposal.row.number,
        row_version,
        proposal.valid_until,
        now + term_s * RENEW_SHARE,
    )


def may_act(term: Term | None, now: float) -> bool:
    """Return whether this node may carry out duties now."""
    return term is not None and now < term.valid_until
