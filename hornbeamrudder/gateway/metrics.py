"""Prometheus counters, gauges and latency histograms of a node."""

import aioprometheus
from aioprometheus import renderer

# Upper bounds; from the target times of plain calls to the longest time-outs.
LATENCY_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
    6.4,
    12.8,
)


class Metrics:
    """Registry of one node and its collectors."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self.requests = self._counter(
            'hornbeamrudder_requests_total',
            'Requests of clients by route and outcome.',
        )
        self.cut_responses = self._counter(
            'hornbeamrudder_cut_responses_total',
            'Responses that ended before they were complete, by route and by'
            ' whether the client or the node ended them.',
        )
        self.late_gaps = self._counter(
            'hornbeamrudder_late_gaps_total',
            'Gaps in streams that exceed the target of their route, by route'
            ' and by whether the stream went on at the same server.',
        )
        self.sends = self._counter(
            'hornbeamrudder_sends_total',
            'Requests sent to backend servers by service and result.',
        )
        self.crashes = self._counter(
            'hornbeamrudder_server_crashes_total',
            'Crashes of backend servers seen by this node, by service.',
        )
        self.holds = self._counter(
            'hornbeamrudder_holds_total',
            'Holds on prompt parts, by whether this node or another found'
            ' them.',
        )
        self.held_requests = self._counter(
            'hornbeamrudder_held_requests_total',
            'Requests refused for a prompt part that is held back, by route.',
        )
        self.broken_beginnings = self._counter(
            'hornbeamrudder_broken_beginnings_total',
            'Responses of engines that broke before their first event, by'
            ' service.',
        )
        self.version_answers = self._counter(
            'hornbeamrudder_version_answers_total',
            'Answers of services with a roll-out by software version and'
            ' quality.',
        )
        self.calls = self._counter(
            'hornbeamrudder_platform_calls_total',
            'Calls to the platform by kind and result.',
        )
        self.client_limits = self._counter(
            'hornbeamrudder_client_limits_total',
            'Connections of clients closed, and requests refused before they'
            ' were read, by reason.',
        )
        self.planned_servers = aioprometheus.Gauge(
            'hornbeamrudder_planned_servers',
            'Backend servers that the holder of the duties plans, by service,'
            ' data centre and price class.',
            registry=self.registry,
        )
        self.needed_servers = aioprometheus.Gauge(
            'hornbeamrudder_needed_servers',
            'Backend servers that carry the demand, by service and whether'
            ' in calm or in a shortage.',
            registry=self.registry,
        )
        self.first_byte_s = self._histogram(
            'hornbeamrudder_first_byte_seconds',
            'Time from the first byte of a request to that of its answer.',
        )
        self.waited_s = self._histogram(
            'hornbeamrudder_waited_seconds',
            'Time that requests waited for a place at a backend server.',
        )

        self.server_slowness = aioprometheus.Gauge(
            'hornbeamrudder_server_slowness',
            'Duration of work at a backend server relative to the median one'
            ' of its service, by server, service and data centre.',
            registry=self.registry,
        )

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, doc, registry=self.registry)

    def _histogram(self, name: str, doc: str) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            name, doc, buckets=LATENCY_BUCKETS_S, registry=self.registry
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        text, _ = renderer.render(self.registry, ['text/plain'])
        return bytes(text)
