"""The node daemon: wires the parts of a node and runs until told to stop."""

import gc
import pathlib
import random
import signal
import threading
import time

import orjson
from returns import result
import structlog

from ..answers import generation
from ..answers import service as answers_service
from . import application
from ..core import ids
from ..inventory import schema as inventory_schema
from ..platform import http
from . import pool
from . import server
from . import service_calls
from ..settings import schema
from ..telemetry import logs
from ..telemetry import metrics as node_metrics
from ..telemetry import traces

DRAIN_POLL_S = 0.05
READINESS_GRACE_S = 0.5
GC_THRESHOLD = 50_000

log = structlog.get_logger()


class FileConfiguration:
    """A document read once from a JSON file."""

    def __init__(self, path: str) -> None:
        value = orjson.loads(pathlib.Path(path).read_bytes())
        match inventory_schema.parse_document(value):
            case result.Success(document):
                self._document = document
            case result.Failure(found):
                raise ValueError('\n'.join(map(str, found)))

    def document(self) -> inventory_schema.Document:
        """Return the document in force."""
        return self._document

    def may_admit(self) -> bool:
        """Whether this node may admit new requests now."""
        return True


class Node:
    """All parts of one running node."""

    def __init__(self, settings: schema.NodeSettings) -> None:
        self._settings = settings
        self._configuration = FileConfiguration(settings.document_file)
        self._client = http.HttpClient('backends')
        self._metrics = node_metrics.NodeMetrics()
        self._tracer = traces.Tracer(settings.tracing, settings.node_id)
        self._pool = pool.NodeWorkerPool(self._configuration.document)
        self._answers = answers_service.AnswerService(
            self._client,
            self._pool,
            settings.limits.kept_answer_s,
            self._on_generation_end,
        )
        self._application = application.Application(
            application.Parts(
                node_id=ids.NodeId(settings.node_id),
                configuration=self._configuration,
                answers=self._answers,
                service_calls=service_calls.ServiceCaller(
                    self._client, self._pool
                ),
                metrics=self._metrics,
                tracer=self._tracer,
                rng=random.SystemRandom(),
                body_bytes=settings.limits.body_bytes,
            )
        )
        self._server = server.CallerServer(
            self._application, settings.listen, settings.limits
        )

    def start(self) -> None:
        """Begin to serve."""
        self._server.start()
        self._application.set_ready(True)
        log.info('node serves', address=str(self._server.address))
        print(f'listening on {self._server.address}', flush=True)

    def stop(self) -> None:
        """Stop gracefully: not ready first, then wait for open requests."""
        self._application.set_ready(False)
        log.info('node stops', open_requests=self._application.open_requests)
        time.sleep(READINESS_GRACE_S)
        deadline = time.monotonic() + self._settings.stop_timeout_s
        while self._application.open_requests and time.monotonic() < deadline:
            time.sleep(DRAIN_POLL_S)
        self._server.stop()
        self._answers.close()
        self._client.close()
        self._tracer.close()
        log.info('node stopped', open_requests=self._application.open_requests)

    def _on_generation_end(self, ended: generation.Generation) -> None:
        labels = {
            'service': ended.request.service,
            'rank': ended.request.rank.name.lower(),
        }
        self._metrics.requests.inc(
            labels | {'result': ended.buffer.state.value}
        )
        self._metrics.tokens.add(labels, ended.buffer.next_offset)
        if ended.recomputed_tokens:
            self._metrics.recomputed_tokens.add(
                labels, ended.recomputed_tokens
            )
        self._metrics.request_s.observe(
            labels, time.monotonic() - ended.accepted_at
        )
        if ended.first_token_at is not None:
            self._metrics.first_token_s.observe(
                labels, ended.first_token_at - ended.accepted_at
            )


def run(settings: schema.NodeSettings) -> int:
    """Run a node until SIGTERM or SIGINT; returns the exit status."""
    logs.configure(settings.log_level, settings.node_id)
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    node = Node(settings)
    node.start()
    # The objects made so far stay until the end; what follows is mostly
    # short-lived pieces of answers that reference counting frees.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    stop.wait()
    node.stop()
    return 0
