"""Term of the node that carries out the duties; pure decisions.

One row in the store names the holder, a number that grows with each new
holder, and the end of the term on the store's steady clock. The holder acts
only while its own clock, which counts suspension, says that the term lasts.
"""

import dataclasses

from ..core import ids

# Time from the check of the term until a call has certainly been sent.
ACTION_MARGIN_S = 0.5
# A new holder waits this long after the end of the term before it.
TAKEOVER_MARGIN_S = 0.3
# Part of a term after which it is renewed.
RENEW_SHARE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class TermRow:
    """The row as it lies in the store.

    Attributes
    ----------
    until_ms : float
        End of the term on the store's steady clock.
    """

    holder: ids.NodeId
    started: int
    number: ids.FencingNumber
    until_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """The row as read, and the store's clock at that time.

    Attributes
    ----------
    version : int
        Version of the row; 0 where there is none.
    sent_at, received_at : float
        Times of the read on this node's clock, in seconds.
    """

    row: TermRow | None
    version: int
    steady_ms: float
    sent_at: float
    received_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """A term that this node holds.

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
    """A row to write, on condition that the old one is unchanged."""

    row: TermRow
    valid_until: float


def propose(
    seen: Seen,
    node: ids.NodeId,
    started: int,
    term_s: float,
    now: float,
    current: ids.FencingNumber | None,
) -> Proposal | None:
    """Decide whether to take or to renew the term.

    Parameters
    ----------
    current : FencingNumber or None
        Number of the term that this process holds.

    Returns
    -------
    Proposal or None
        None while another node's term lasts.
    """
    # The store read its clock at or before `received_at`.
    store_ms = seen.steady_ms + (now - seen.received_at) * 1e3
    round_trip_s = seen.received_at - seen.sent_at
    number = 1
    if seen.row is not None:
        number = seen.row.number + 1
        if seen.row.holder == node:
            if seen.row.started == started and current == seen.row.number:
                number = seen.row.number
        elif store_ms < seen.row.until_ms + TAKEOVER_MARGIN_S * 1e3:
            return None
    return Proposal(
        TermRow(
            node,
            started,
            ids.FencingNumber(number),
            store_ms + term_s * 1e3,
        ),
        now + term_s - round_trip_s - ACTION_MARGIN_S,
    )


def accepted(
    proposal: Proposal, row_version: int, term_s: float, now: float
) -> Term:
    """Term after the store has accepted the proposal."""
    return Term(
        proposal.row.number,
        row_version,
        proposal.valid_until,
        now + term_s * RENEW_SHARE,
    )


def may_act(term: Term | None, now: float) -> bool:
    """Whether this node may carry out duties now."""
    return term is not None and now < term.valid_until
