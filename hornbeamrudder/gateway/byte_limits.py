"""Limits on bytes that are received and held before they end.

A server in trouble may send bytes without end, in a head or in a body.
"""

# Bytes of an answer outside its body: heads, chunk framing and trailers.
MAX_NON_BODY_BYTES = 64 * 1024
# Body of a plain answer.
MAX_PLAIN_BODY_BYTES = 2 * 1024 * 1024
# Incomplete event of a stream.
MAX_EVENT_BYTES = 64 * 1024
# Body of an answer of the store.
MAX_JSON_BODY_BYTES = 8 * 1024 * 1024
# Body of an answer to a call that returns no rows.
MAX_ACK_BODY_BYTES = 64 * 1024
# Rows of a datagram from another node, expanded.
MAX_EXPANDED_BYTES = 2 * 1024 * 1024
# Bytes of chunk framing that one byte of a body accounts for.
FRAMING_BYTES_PER_BODY_BYTE = 8


def non_body_bytes(before: int, received: int, body: int) -> int:
    """Return how many received bytes no body accounts for.

    Parameters
    ----------
    before : int
        Result for the bytes received earlier.
    received, body : int
        Bytes received since then, and those of them that are of a body.
    """
    return max(0, before + received - body * (1 + FRAMING_BYTES_PER_BODY_BYTE))
