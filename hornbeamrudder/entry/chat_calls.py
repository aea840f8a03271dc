"""Admission, generation and resumption of chat completions."""

import dataclasses
import random
import time
from typing import Callable

from returns import result
import werkzeug

from ..admission import controller
from ..answers import generation
from ..answers import generation_types
from ..answers import handover
from ..answers import remote
from ..answers import service as answers_service
from . import chat
from . import chat_request
from ..core import errors
from ..core import ids
from ..core import types
from . import gate as gates
from ..inventory import schema
from . import problems
from ..telemetry import traces

EndCallback = Callable[[generation.Generation], None]
# Time after the deadline of a queued request for which its thread still waits
# for the admission result.
ADMISSION_GRACE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PreparedRequest:
    """A validated request with its rank and deadline.

    Attributes
    ----------
    deadline : float
        Time of the monotonic clock, in seconds.
    """

    account: ids.AccountId
    rank: types.Rank
    deadline: float
    body: chat_request.ChatRequest


class ChatHandler:
    """Handles chat completions of authenticated callers."""

    def __init__(
        self,
        node_id: ids.NodeId,
        answers: answers_service.AnswerService,
        gate: gates.Gate,
        exchange: handover.PeerClient,
        handovers: handover.Handover,
        tracer: traces.Tracer,
        rng: random.Random,
        on_end: EndCallback,
    ) -> None:
        self._node_id = node_id
        self._answers = answers
        self._gate = gate
        self._exchange = exchange
        self._handovers = handovers
        self._tracer = tracer
        self._rng = rng
        self._on_end = on_end

    def prepare(
        self,
        request: werkzeug.Request,
        document: schema.Document,
        account: types.Account,
    ) -> result.Result[PreparedRequest, errors.Failure]:
        """Validate a new request and determine its rank and deadline."""
        parsed = chat_request.parse(document, request.get_data())
        if isinstance(parsed, result.Failure):
            return result.Failure(parsed.failure())
        chat_body = parsed.unwrap()
        rule = schema.find_rank_rule(
            document, account.id, chat_body.service.name, 'POST', request.path
        )
        return result.Success(
            PreparedRequest(
                account.id,
                max(rule.rank, chat_request.requested_rank(request.headers)),
                time.monotonic() + rule.deadline_s,
                chat_body,
            )
        )

    def complete(
        self, request: werkzeug.Request, prepared: PreparedRequest
    ) -> werkzeug.Response:
        """Admit a new request and return its response."""
        parsed = prepared.body
        request_id = ids.new_request_id(self._node_id, self._rng)
        with self._tracer.span(
            'receive',
            request.headers.get('traceparent', ''),
            request_id=request_id,
            service=parsed.service.name,
        ) as traceparent:
            accepted = generation_types.GenerationRequest(
                id=request_id,
                account=prepared.account,
                service=parsed.service.name,
                rank=prepared.rank,
                body=parsed.body,
                prompt_key=parsed.prompt_key,
                max_tokens=parsed.max_tokens,
                expected_tokens=self._gate.expected_tokens(
                    parsed.service.name,
                    prepared.account,
                    prepared.rank,
                    parsed.max_tokens,
                ),
                deadline=prepared.deadline,
                traceparent=traceparent,
            )
            return self._admit(
                request, accepted, parsed.stream, float(parsed.prompt_tokens)
            )

    def _admit(
        self,
        request: werkzeug.Request,
        accepted: generation_types.GenerationRequest,
        stream: bool,
        prompt_tokens: float,
    ) -> werkzeug.Response:
        with self._tracer.span('admit'):
            submitted = self._gate.submit(
                accepted.rank,
                accepted.account,
                accepted.service,
                accepted.expected_tokens,
                accepted.deadline,
                prompt_tokens,
            )
            try:
                granted = submitted.result(
                    gates.remaining_s(accepted.deadline) + ADMISSION_GRACE_S
                )
            except TimeoutError:
                self._gate.withdraw(submitted)
                return problems.to_response(_admission_timeout(), accepted.id)
        match granted:
            case result.Failure(failure):
                return problems.to_response(failure, accepted.id)
            case result.Success(slot):
                return self._generate(request, accepted, slot, stream)
        raise AssertionError(granted)

    def _generate(
        self,
        request: werkzeug.Request,
        accepted: generation_types.GenerationRequest,
        slot: controller.Slot,
        stream: bool,
    ) -> werkzeug.Response:
        def end(item: generation.Generation) -> None:
            self._gate.release(
                slot,
                float(item.buffer.next_offset),
                item.buffer.state is generation.buffer.AnswerState.COMPLETE,
            )
            self._on_end(item)

        item = self._answers.create(accepted, end)
        item.run_first_attempt()
        # Until a worker is found, the request can still be refused with an
        # error status.
        item.wait_for_start(
            gates.remaining_s(accepted.deadline) + ADMISSION_GRACE_S
        )
        if item.buffer.state is generation.buffer.AnswerState.FAILED:
            self._answers.remove(accepted.id)
            return problems.to_response(chat.failure_of(item), accepted.id)
        if stream:
            return chat.stream_response(
                chat.local_answer(self._answers, item),
                0,
                chat.direct_connection(request),
            )
        return chat.json_response(chat.local_answer(self._answers, item))

    def resume(
        self,
        request: werkzeug.Request,
        account: types.Account,
        resume_point: chat.ResumePoint,
        stream: bool,
    ) -> werkzeug.Response:
        """Return the rest of an answer, from this node or another one."""
        request_id = ids.RequestId(resume_point.request_id)
        with self._tracer.span(
            'resume',
            request.headers.get('traceparent', ''),
            request_id=request_id,
        ):
            source = self._find_answer(request_id, account.id)
        if source is None:
            return problems.to_response(
                problems.not_found('no answer is kept for this request id'),
                request_id,
            )
        if stream:
            return chat.stream_response(
                source,
                resume_point.next_offset,
                chat.direct_connection(request),
            )
        return chat.json_response(source)

    def _find_answer(
        self, request_id: ids.RequestId, account: ids.AccountId
    ) -> chat.AnswerSource | None:
        item = self._answers.find(request_id, account)
        moved = generation.buffer.AnswerState.MOVED
        if item is not None and item.buffer.state is not moved:
            return chat.local_answer(self._answers, item)
        for owner in self._handovers.candidate_owners(request_id):
            if owner in (self._node_id, ids.NodeId('')):
                continue
            found = remote.RemoteAnswer(
                self._exchange, owner, request_id, account
            )
            if found.exists():
                return chat.AnswerSource(request_id, found, lambda: None)
        return None


def _admission_timeout() -> errors.Failure:
    return errors.Failure(
        errors.FailureKind.DEADLINE,
        errors.Step.ADMIT,
        '',
        'the deadline passed in the queue',
    )
