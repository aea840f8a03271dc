"""Tracing with one span per hop and W3C trace context propagation."""

import contextlib
import time
from typing import Iterator, Mapping

from opentelemetry import context
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace import sampling
from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

from ..settings import schema

TRACEPARENT_HEADER = 'traceparent'
NS_PER_S = 1_000_000_000

_propagator = tracecontext.TraceContextTextMapPropagator()


class Tracer:
    """Creates spans and propagates the trace context."""

    def __init__(self, settings: schema.Tracing, node_id: str) -> None:
        self._provider = sdk_trace.TracerProvider(
            sampler=sampling.ParentBased(
                sampling.TraceIdRatioBased(
                    settings.sample_share
                    if settings.exporter is not schema.TraceExporter.NONE
                    else 0.0
                )
            ),
            resource=resources.Resource.create(
                {'service.name': 'hornbeamrudder', 'host.id': node_id}
            ),
        )
        if settings.exporter is schema.TraceExporter.FILE:
            out = open(settings.file, 'a', encoding='utf-8')
            self._provider.add_span_processor(
                export.BatchSpanProcessor(
                    export.ConsoleSpanExporter(
                        out=out,
                        formatter=lambda span: (
                            span.to_json(indent=None) + '\n'
                        ),
                    )
                )
            )
        self._tracer = self._provider.get_tracer('hornbeamrudder')

    @contextlib.contextmanager
    def span(
        self, name: str, traceparent: str = '', **attributes: str
    ) -> Iterator[str]:
        """Run a block as a span; yield the traceparent to propagate.

        Parameters
        ----------
        traceparent : str
            Parent context; '' makes the current span the parent.
        """
        parent = _extract(traceparent) if traceparent else None
        with self._tracer.start_as_current_span(
            name, context=parent, attributes=attributes
        ):
            yield current_traceparent()

    def record(
        self, name: str, traceparent: str, seconds: float, **attributes: str
    ) -> None:
        """Record a span that ends now and took `seconds`."""
        span = self._tracer.start_span(
            name,
            context=_extract(traceparent),
            attributes=attributes,
            start_time=time.time_ns() - int(seconds * NS_PER_S),
        )
        span.end()

    def close(self) -> None:
        """Export the remaining spans."""
        self._provider.shutdown()


def current_traceparent() -> str:
    """Return the traceparent header of the current span, '' for none."""
    carrier: dict[str, str] = {}
    _propagator.inject(carrier)
    return carrier.get(TRACEPARENT_HEADER, '')


def _extract(traceparent: str) -> context.Context:
    carrier: Mapping[str, str] = {TRACEPARENT_HEADER: traceparent}
    return _propagator.extract(carrier, context=context.Context())


def trace_id(traceparent: str) -> str:
    """Return the trace id for log lines, or '' if malformed."""
    span = trace.get_current_span(_extract(traceparent)).get_span_context()
    return f'{span.trace_id:032x}' if span.is_valid else ''
