"""Prometheus metrics of a node, based on aioprometheus."""

from typing import Iterable

import aioprometheus
from aioprometheus import renderer

LATENCY_BUCKETS_S = [
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
]


class NodeMetrics:
    """Counters, gauges and histograms of one node."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self.requests = self._counter(
            'requests_total', 'Requests by rank, service and result'
        )
        self.refusals = self._counter(
            'refusals_total', 'Refused requests by step and kind'
        )
        self.attempts = self._counter(
            'backend_attempts_total', 'Attempts at model engines by service'
        )
        self.retries = self._counter(
            'retries_total', 'Attempts after the first by service and rank'
        )
        self.recomputed_tokens = self._counter(
            'recomputed_tokens_total', 'Tokens computed again after a loss'
        )
        self.tokens = self._counter('tokens_total', 'Tokens relayed')
        self.dropped_pieces = self._counter(
            'dropped_pieces_total', 'Late, doubled or foreign answer pieces'
        )
        self.handovers = self._counter(
            'handovers_total', 'Requests passed to or taken from a peer'
        )
        self.first_token_s = self._histogram(
            'first_token_seconds', 'Time to the first token by rank'
        )
        self.request_s = self._histogram(
            'request_seconds', 'Time to the whole answer by rank'
        )
        self.gauges = aioprometheus.Gauge(
            'hornbeamrudder_state',
            'Current values by name and label',
            registry=self.registry,
        )

    def count_answer(
        self,
        service: str,
        rank: str,
        state: str,
        tokens: int,
        attempts: int,
        recomputed_tokens: int,
    ) -> None:
        """Count an answer that ended on this node."""
        labels = {'service': service, 'rank': rank}
        self.requests.inc(labels | {'result': state})
        self.tokens.add(labels, tokens)
        self.attempts.add(labels, attempts)
        self.retries.add(labels, max(0, attempts - 1))
        self.recomputed_tokens.add(labels, recomputed_tokens)

    def observe_answer(
        self, service: str, rank: str, total_s: float, first_token_s: float
    ) -> None:
        """Record the latencies of a complete answer."""
        labels = {'service': service, 'rank': rank}
        self.request_s.observe(labels, total_s)
        self.first_token_s.observe(labels, first_token_s)

    def render(self, accepts: Iterable[str]) -> tuple[bytes, dict[str, str]]:
        """Return the body and headers of a `/metrics` response."""
        return renderer.render(self.registry, list(accepts))

    def _counter(self, name: str, text: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            f'hornbeamrudder_{name}', text, registry=self.registry
        )

    def _histogram(self, name: str, text: str) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            f'hornbeamrudder_{name}',
            text,
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
