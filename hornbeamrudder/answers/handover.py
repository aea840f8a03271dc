"""Passes answers in progress to a peer, and finds them again.

A request id names the node that accepted the request. A leaving node passes
its answers to one successor and leaves a row `successor/<node id>` in the
table service, so that any node finds the answer by following the rows from
the node in the id.
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
from ..infrastructure import table
from ..peers import messages
from . import service
from ..telemetry import traces

MAX_SUCCESSOR_HOPS = 8
REQUEST_TIMEOUT_S = 2.0
# Pieces in one message; an answer of 8,192 tokens of 200 bytes is 1.6 MB.
MAX_PIECES_PER_MESSAGE = 20_000
SUCCESSOR_PREFIX = 'successor/'
# A node that leaves again writes its row anew.
SUCCESSORS_KEPT_S = 5.0
LIKELY_PEERS = 2
PARALLEL_HANDOVERS = 16

log = structlog.get_logger()


class Exchange(Protocol):
    """How a node reaches its peers."""

    def request(
        self,
        node: ids.NodeId,
        message: messages.Message,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> 'futures.Future[result.Result[messages.Message, errors.Failure]]':
        """Send a message; the future has the peer's answer."""


WorkerLookup = Callable[[ids.WorkerId], types.Worker | None]
EndCallback = Callable[[generation.Generation], None]


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverReport:
    """Result of passing on the answers of a leaving node."""

    moved: int
    kept: int
    successor: ids.NodeId | None


def to_message(
    item: generation.Generation, worker: types.Worker | None, now: float
) -> messages.Handover:
    """Describe an answer that is paused."""
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
        ),
        attempt=item.attempts,
        worker=worker.id if worker else ids.WorkerId(''),
        offset=len(pieces),
        pieces=pieces,
    )


def from_message(
    message: messages.Handover, now: float
) -> result.Result[generation.GenerationRequest, errors.Failure]:
    """Read the request out of a message."""
    fields = dict(message.headers)
    try:
        return result.Success(
            generation.GenerationRequest(
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


class Handover:
    """Both sides of passing on answers, for one node."""

    def __init__(
        self,
        node_id: ids.NodeId,
        answers: service.AnswerService,
        exchange: Exchange,
        store: table.TableClient,
        find_worker: WorkerLookup,
        on_end: EndCallback,
        tracer: traces.Tracer,
        live_peers: Callable[[], Sequence[ids.NodeId]] = tuple,
    ) -> None:
        self._live_peers = live_peers
        self._node_id = node_id
        self._answers = answers
        self._exchange = exchange
        self._store = store
        self._find_worker = find_worker
        self._on_end = on_end
        self._tracer = tracer
        self._leaving = False
        self._successors_by_node: dict[
            ids.NodeId, tuple[float, tuple[ids.NodeId, ...]]
        ] = {}

    def leave(self, peers: Sequence[ids.NodeId]) -> HandoverReport:
        """Pass all answers in progress to a peer.

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
            with futures.ThreadPoolExecutor(PARALLEL_HANDOVERS) as executor:
                taken = list(
                    executor.map(
                        lambda item: self._pass_on(item, successor), items
                    )
                )
            moved += sum(taken)
            if any(taken):
                successors.append(successor)
            # A peer that dies takes a part; the next one takes the rest.
            items = tuple(item for item, done in zip(items, taken) if not done)
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

    def take(self, message: messages.Handover) -> messages.HandoverAck:
        """Go on with an answer of a leaving peer."""
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
                # The same message may come twice, when its first answer
                # was late.
                if item.attempts == 0:
                    item.continue_from(
                        list(message.pieces),
                        max(1, message.attempt),
                        self._find_worker(message.worker),
                    )
        return messages.HandoverAck(message.request, True)

    def answer_piece(
        self, message: messages.FetchAnswer
    ) -> messages.AnswerPiece:
        """Return what this node has of an answer, without waiting."""
        item = self._answers.find(message.request, message.account)
        if item is None or item.buffer.state is buffer.AnswerState.MOVED:
            return messages.AnswerPiece(
                message.request, 0, message.offset, (), True, False
            )
        state = item.buffer.state
        pieces = item.buffer.events_from(message.offset)
        part = pieces[:MAX_PIECES_PER_MESSAGE]
        ended = state is not buffer.AnswerState.RUNNING
        self._answers.touch(message.request)
        return messages.AnswerPiece(
            message.request,
            item.attempts,
            message.offset,
            tuple(part),
            ended and len(part) == len(pieces),
            True,
            str(item.buffer.failure or ''),
        )

    def owners_of(self, request_id: ids.RequestId) -> tuple[ids.NodeId, ...]:
        """List the nodes that may have a request, the likeliest first.

        The recorded successors come first. A node that serves again after
        it has left keeps its old row, and a row cannot be read in an outage
        of the table service; the accepting node and the live peers in the
        order in which it would choose its successor are therefore asked
        too.
        """
        accepting = ids.accepting_node(request_id)
        chain = [accepting]
        for node in chain:
            if len(chain) > MAX_SUCCESSOR_HOPS:
                break
            chain.extend(
                successor
                for successor in self._successors_of(node)
                if successor not in chain
            )
        likely = hashing.rendezvous_order(accepting, self._live_peers())
        return tuple(
            dict.fromkeys(
                (
                    *reversed(chain),
                    *map(ids.NodeId, itertools.islice(likely, LIKELY_PEERS)),
                )
            )
        )

    def _pass_on(self, item: generation.Generation, peer: ids.NodeId) -> bool:
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
        current = self._store.read([key])
        version = current.map(lambda rows: rows[0].version).value_or(0)
        written = self._store.write(
            [table.Put(key, version, {'successors': successors})]
        )
        if isinstance(written, result.Failure):
            log.warning('successor not recorded', error=str(written.failure()))

    def _successors_of(self, node: ids.NodeId) -> tuple[ids.NodeId, ...]:
        now = time.monotonic()
        known = self._successors_by_node.get(node)
        if known is not None and now < known[0] + SUCCESSORS_KEPT_S:
            return known[1]
        match self._store.read([SUCCESSOR_PREFIX + node]):
            case result.Success((row,)) if row.value is not None:
                successors = tuple(
                    map(ids.NodeId, reversed(row.value['successors']))
                )
                self._successors_by_node[node] = now, successors
                return successors
            case _:
                return ()
