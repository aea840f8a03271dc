"""Calls that one attempt makes to its model engine."""

import dataclasses
import time

from returns import result

from ..backends import client as backends_client
from ..core import ids
from ..core import types
from . import generation_types
from ..infrastructure import http


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt that was sent to a worker.

    Attributes
    ----------
    offset : int
        Number of events that the answer had when the attempt was sent.
    imported : bool
        Whether the worker has the KV cache of the answer.
    leaving : Attempt or None
        Attempt at a leaving worker that goes on until this one has begun.
    """

    number: int
    worker: types.Worker
    offset: int
    imported: bool
    call: http.Call
    leaving: 'Attempt | None' = None
    started_at: float = dataclasses.field(default_factory=time.monotonic)


def send(
    client: http.HttpClient,
    request: generation_types.GenerationRequest,
    worker: types.Worker,
    number: int,
    offset: int,
    on_chunk: http.ChunkCallback,
) -> http.Call:
    """Send an attempt, which resumes at `offset`, to a worker."""
    call = backends_client.EngineCall(
        request.id,
        number,
        request.body,
        request.rank,
        offset,
        request.traceparent,
    )
    return client.start(backends_client.engine_request(worker, call), on_chunk)


def to_ended(
    request: generation_types.GenerationRequest,
    attempt: Attempt,
    reason: generation_types.EndReason,
) -> generation_types.EndedAttempt:
    """Return the trace of an attempt that ends now."""
    return generation_types.EndedAttempt(
        request,
        attempt.number,
        attempt.worker,
        reason,
        time.monotonic() - attempt.started_at,
    )


def stop(
    client: http.HttpClient, request_id: ids.RequestId, attempt: Attempt
) -> None:
    """Cancel the call of an attempt and its work at the engine."""
    client.cancel(attempt.call)
    client.start(
        backends_client.cancel_request(
            attempt.worker, request_id, attempt.number
        )
    )


def export_cache(
    client: http.HttpClient, request_id: ids.RequestId, worker: types.Worker
) -> bytes:
    """Return the KV cache of a request, b'' if the worker gives none."""
    response = client.call(
        backends_client.control_request(
            worker,
            '/v1/kv/export',
            b'{"request_id":"%s"}' % request_id.encode(),
        )
    )
    match response:
        case result.Success(response) if response.status == 200:
            return response.body
        case _:
            return b''


def import_cache(
    client: http.HttpClient, worker: types.Worker, cache_blob: bytes
) -> bool:
    """Give a worker a KV cache; return whether it has taken it."""
    if not cache_blob:
        return False
    response = client.call(
        backends_client.control_request(worker, '/v1/kv/import', cache_blob)
    )
    match response:
        case result.Success(response):
            return response.status == 200
        case _:
            return False


def copy_cache(
    client: http.HttpClient,
    request_id: ids.RequestId,
    source: types.Worker,
    target: types.Worker,
) -> bool:
    """Copy a KV cache; return whether `target` has taken it."""
    return import_cache(
        client, target, export_cache(client, request_id, source)
    )
