"""Handover of answers in progress to peers, and look-up of their owner.

A request id names the node that accepted the request. A leaving node hands its
answers over to successors and records these in the row `successor/<node id>`
of the table service. Any node finds an answer by following these rows from the
node in the request id.
"""

from concurrent import futures
import dataclasses
import itertools
import time
from typing import Callable, Protocol, Sequence

from returns import result
import structlog

from . import buffer
from ..core import errors
from ..core import hashing
from ..core import ids
from ..core import types
from . import generation
from . import generation_types
from ..infrastructure import table
from ..peers import messages
from . import service
from ..telemetry import traces

MAX_SUCCESSOR_HOPS = 8
REQUEST_TIMEOUT_S = 2.0
# Limits the message size; an answer of 8,192 tokens of 200 bytes has 1.6 MB.
MAX_PIECES_PER_MESSAGE = 20_000
SUCCESSOR_PREFIX = 'successor/'
# Cached rows expire, as a node that leaves again rewrites its row.
SUCCESSOR_CACHE_TTL_S = 5.0
LIKELY_SUCCESSORS = 2
MAX_CONCURRENT_HANDOVERS = 16

log = structlog.get_logger()


class PeerClient(Protocol):
    """Request and response exchange with peers."""

    def request(
        self,
        node: ids.NodeId,
        message: messages.Message,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> 'futures.Future[result.Result[messages.Message, errors.Failure]]':
        """Send a message; return a future of the peer's response."""


WorkerLookup = Callable[[ids.WorkerId], types.Worker | None]
EndCallback = Callable[[generation.Generation], None]


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverReport:
    """Result of the handover of the answers of a leaving node."""

    moved: int
    kept: int
    successor: ids.NodeId | None


def to_message(
    item: generation.Generation, worker: types.Worker | None, now: float
) -> messages.Handover:
    """Return the handover message for a paused generation."""
    request = item.request
    pieces = tuple(item.buffer.events_from(0))
    return messages.Handover(
        request=request.id,
        account=request.account,
        body=request.body,
        headers=(
            ('service', request.service),
            ('rank', request.rank.name),
            ('prompt-key', request.prompt_key),
            ('max-tokens', str(request.max_tokens)),
            ('expected-tokens', str(request.expected_tokens)),
            ('seconds-left', str(request.deadline - now)),
            ('traceparent', request.traceparent),
            ('refused-attempts', str(item.refused_attempts)),
        ),
        attempt=item.attempts,
        worker=worker.id if worker else ids.WorkerId(''),
        offset=len(pieces),
        pieces=pieces,
    )


def from_message(
    message: messages.Handover, now: float
) -> result.Result[generation_types.GenerationRequest, errors.Failure]:
    """Parse the request in a handover message."""
    fields = dict(message.headers)
    try:
        return result.Success(
            generation_types.GenerationRequest(
                id=message.request,
                account=message.account,
                service=ids.ServiceName(fields['service']),
                rank=types.Rank[fields['rank']],
                body=message.body,
                prompt_key=fields['prompt-key'],
                max_tokens=int(fields['max-tokens']),
                expected_tokens=float(fields['expected-tokens']),
                deadline=now + float(fields['seconds-left']),
                traceparent=fields.get('traceparent', ''),
            )
        )
    except (KeyError, ValueError) as error:
        return result.Failure(
            errors.Failure(
                errors.FailureKind.INVALID,
                errors.Step.HAND_OVER,
                '',
                f'handover message: {error!r}',
            )
        )


def _refused_attempts(message: messages.Handover) -> int:
    value = dict(message.headers).get('refused-attempts', '')
    return int(value) if value.isdecimal() else 0


class Handover:
    """Sends and receives handovers of answers for a node."""

    def __init__(
        self,
        node_id: ids.NodeId,
        answers: service.AnswerService,
        exchange: PeerClient,
        table_client: table.TableClient,
        find_worker: WorkerLookup,
        on_end: EndCallback,
        tracer: traces.Tracer,
        live_peers: Callable[[], Sequence[ids.NodeId]] = tuple,
    ) -> None:
        self._live_peers = live_peers
        self._node_id = node_id
        self._answers = answers
        self._exchange = exchange
        self._table = table_client
        self._find_worker = find_worker
        self._on_end = on_end
        self._tracer = tracer
        self._leaving = False
        self._cached_successors_by_node: dict[
            ids.NodeId, tuple[float, tuple[ids.NodeId, ...]]
        ] = {}

    def hand_over_all(self, peers: Sequence[ids.NodeId]) -> HandoverReport:
        """Hand all answers in progress over to peers.

        Parameters
        ----------
        peers : sequence of NodeId
            Live nodes that are not leaving.
        """
        self._leaving = True
        items = self._answers.in_progress()
        moved = 0
        successors: list[ids.NodeId] = []
        for peer in hashing.rendezvous_order(self._node_id, peers):
            if not items:
                break
            successor = ids.NodeId(peer)
            with futures.ThreadPoolExecutor(
                MAX_CONCURRENT_HANDOVERS
            ) as executor:
                taken_over = list(
                    executor.map(
                        lambda item: self._hand_over(item, successor), items
                    )
                )
            moved += sum(taken_over)
            if any(taken_over):
                successors.append(successor)
            # A peer may fail after some of the answers; the rest go to the
            # next one.
            items = tuple(
                item
                for item, is_taken_over in zip(items, taken_over)
                if not is_taken_over
            )
        if successors:
            self._record_successors(successors)
        log.info(
            'answers handed over',
            moved=moved,
            kept=len(items),
            successors=successors,
        )
        return HandoverReport(
            moved, len(items), successors[0] if successors else None
        )

    def take_over(self, message: messages.Handover) -> messages.HandoverAck:
        """Continue an answer of a leaving peer."""
        if self._leaving:
            return messages.HandoverAck(
                message.request, False, 'this node is leaving too'
            )
        match from_message(message, time.monotonic()):
            case result.Failure(failure):
                return messages.HandoverAck(
                    message.request, False, failure.detail
                )
            case result.Success(request):
                item = self._answers.create(request, self._on_end)
                self._tracer.record(
                    'take over',
                    request.traceparent,
                    0.0,
                    request_id=item.request.id,
                )
                # A message can arrive twice if the first response was late.
                if item.attempts == 0:
                    item.resume_from(
                        list(message.pieces),
                        max(1, message.attempt),
                        _refused_attempts(message),
                        self._find_worker(message.worker),
                    )
        return messages.HandoverAck(message.request, True)

    def read_piece(
        self, message: messages.FetchAnswer
    ) -> messages.AnswerPiece:
        """Return the events that this node has, without waiting for more."""
        item = self._answers.find(message.request, message.account)
        if item is None or item.buffer.state is buffer.AnswerState.MOVED:
            return messages.AnswerPiece(
                message.request, 0, message.offset, (), True, False
            )
        state = item.buffer.state
        pieces = item.buffer.events_from(message.offset)
        page = pieces[:MAX_PIECES_PER_MESSAGE]
        ended = state is not buffer.AnswerState.RUNNING
        self._answers.touch(message.request)
        return messages.AnswerPiece(
            message.request,
            item.attempts,
            message.offset,
            tuple(page),
            ended and len(page) == len(pieces),
            True,
            str(item.buffer.failure or ''),
        )

    def candidate_owners(
        self, request_id: ids.RequestId
    ) -> tuple[ids.NodeId, ...]:
        """Return the nodes that may have an answer, the likeliest first.

        Recorded successors come first. They are not sufficient: a node that
        has restarted still has its old row, and rows cannot be read in an
        outage of the table service. The accepting node and the live peers
        that it would choose first as its successors are therefore included.
        """
        accepting = ids.accepting_node(request_id)
        successor_chain = [accepting]
        for node in successor_chain:
            if len(successor_chain) > MAX_SUCCESSOR_HOPS:
                break
            successor_chain.extend(
                successor
                for successor in self._successors_of(node)
                if successor not in successor_chain
            )
        likely_successors = hashing.rendezvous_order(
            accepting, self._live_peers()
        )
        return tuple(
            dict.fromkeys(
                (
                    *reversed(successor_chain),
                    *map(
                        ids.NodeId,
                        itertools.islice(likely_successors, LIKELY_SUCCESSORS),
                    ),
                )
            )
        )

    def _hand_over(
        self, item: generation.Generation, peer: ids.NodeId
    ) -> bool:
        worker = item.pause()
        if item.buffer.state is not buffer.AnswerState.RUNNING:
            return True
        with self._tracer.span(
            'hand over',
            item.request.traceparent,
            request_id=item.request.id,
            peer=peer,
        ):
            answer = self._exchange.request(
                peer, to_message(item, worker, time.monotonic())
            ).result()
        match answer:
            case result.Success(messages.HandoverAck(accepted=True)):
                item.finish_handover()
                return True
            case _:
                log.warning(
                    'handover refused',
                    request_id=item.request.id,
                    peer=peer,
                    answer=str(answer),
                )
                item.unpause()
                return False

    def _record_successors(self, successors: Sequence[ids.NodeId]) -> None:
        key = SUCCESSOR_PREFIX + self._node_id
        current = self._table.read([key])
        version = current.map(lambda rows: rows[0].version).value_or(0)
        written = self._table.write(
            [table.Put(key, version, {'successors': successors})]
        )
        if isinstance(written, result.Failure):
            log.warning('successor not recorded', error=str(written.failure()))

    def _successors_of(self, node: ids.NodeId) -> tuple[ids.NodeId, ...]:
        now = time.monotonic()
        cached = self._cached_successors_by_node.get(node)
        if cached is not None and now < cached[0] + SUCCESSOR_CACHE_TTL_S:
            return cached[1]
        match self._table.read([SUCCESSOR_PREFIX + node]):
            case result.Success((row,)) if row.value is not None:
                successors = tuple(
                    map(ids.NodeId, reversed(row.value['successors']))
                )
                self._cached_successors_by_node[node] = now, successors
                return successors
            case _:
                return ()
