"""Trace spans of attempts at model engines."""

from . import generation_types
from ..telemetry import traces


def record(
    tracer: traces.Tracer, ended: generation_types.EndedAttempt
) -> None:
    """Record the span of an attempt in the trace of its request."""
    tracer.record(
        'dispatch',
        ended.request.traceparent,
        ended.seconds,
        request_id=ended.request.id,
        worker=ended.worker.id,
        attempt=str(ended.number),
        result=ended.reason.value,
    )
