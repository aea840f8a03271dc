"""Parsing and validation of OpenAI-compatible chat completion requests."""

import dataclasses
from typing import Annotated, Any

import orjson
import pydantic
from returns import result
from werkzeug import datastructures

from ..core import errors
from ..core import ids
from ..core import types
from ..inventory import schema
from . import problems

DEFAULT_MAX_TOKENS = 256
MAX_MESSAGES = 4096
URGENCY_VALUES = frozenset('01234567')
URGENCIES_PER_RANK = 3


class Message(pydantic.BaseModel):
    """One message of a conversation; other keys are forwarded as is."""

    model_config = pydantic.ConfigDict(extra='allow')

    role: Annotated[str, pydantic.Field(min_length=1, max_length=64)]
    content: str


class Completion(pydantic.BaseModel):
    """Keys of a request that the node reads; others are forwarded as is."""

    model_config = pydantic.ConfigDict(extra='allow')

    model: Annotated[str, pydantic.Field(min_length=1, max_length=256)]
    messages: Annotated[
        tuple[Message, ...],
        pydantic.Field(min_length=1, max_length=MAX_MESSAGES),
    ]
    stream: bool = False
    max_tokens: Annotated[int | None, pydantic.Field(ge=1)] = None


@dataclasses.dataclass(frozen=True, slots=True)
class ChatRequest:
    """A validated request.

    Attributes
    ----------
    body : bytes
        JSON body for the engine; always requests a stream and has a token
        limit.
    prompt_key : str
        Text of the messages, used to look up cached prefixes.
    """

    service: types.Service
    body: bytes
    prompt_key: str
    prompt_tokens: int
    max_tokens: int
    stream: bool


def parse(
    document: schema.Document, body: bytes
) -> result.Result[ChatRequest, errors.Failure]:
    """Validate a request body against the inventory."""
    try:
        value = orjson.loads(body)
        completion = Completion.model_validate(value)
    except orjson.JSONDecodeError as error:
        return result.Failure(problems.invalid(f'body is not JSON: {error}'))
    except pydantic.ValidationError as error:
        return result.Failure(problems.invalid(_first_error(error)))
    service = _service_of_model(document, completion.model)
    if service is None:
        return result.Failure(
            problems.not_found(f'no service offers model {completion.model!r}')
        )
    limit = document.rules.admission.max_output_tokens
    max_tokens = completion.max_tokens or min(DEFAULT_MAX_TOKENS, limit)
    if max_tokens > limit:
        return result.Failure(
            problems.invalid(f'max_tokens is over the limit of {limit}')
        )
    try:
        engine_body = _engine_body(value, max_tokens)
    except orjson.JSONEncodeError:
        # orjson parses 1024 levels of nesting but serialises only 254.
        return result.Failure(problems.invalid('body is nested too deeply'))
    prompt = '\n'.join(
        f'{message.role}: {message.content}' for message in completion.messages
    )
    return result.Success(
        ChatRequest(
            service=service,
            body=engine_body,
            prompt_key=prompt,
            prompt_tokens=len(prompt.split()),
            max_tokens=max_tokens,
            stream=completion.stream,
        )
    )


def _engine_body(value: dict[str, Any], max_tokens: int) -> bytes:
    return orjson.dumps(value | {'stream': True, 'max_tokens': max_tokens})


def _service_of_model(
    document: schema.Document, model: str
) -> types.Service | None:
    services = document.services_by_name.values()
    return next(
        (
            service
            for service in services
            if service.kind is types.ServiceKind.MODEL_ENGINE
            and (model in service.models or model == service.name)
        ),
        None,
    )


def _first_error(error: pydantic.ValidationError) -> str:
    item = error.errors(include_url=False, include_input=False)[0]
    place = '.'.join(map(str, item['loc'])) or 'body'
    return f'{place}: {item["msg"]}'


def requested_rank(headers: datastructures.Headers) -> types.Rank:
    """Return the rank requested by `Priority: u=<0 to 7>` (RFC 9218).

    A caller can only lower the rank assigned by the rules. Urgency 0 to 2, or
    no header, requests the assigned rank, 3 to 5 standard, 6 and 7 batch.
    """
    for item in headers.get('Priority', '').split(','):
        name, _, value = item.strip().partition('=')
        if name == 'u' and value in URGENCY_VALUES:
            return types.Rank(int(value) // URGENCIES_PER_RANK)
    return types.Rank.URGENT


def find_plain_service(
    document: schema.Document, name: str
) -> result.Result[types.Service, errors.Failure]:
    """Return the plain service with this name."""
    service = document.services_by_name.get(ids.ServiceName(name))
    if service is None or service.kind is not types.ServiceKind.PLAIN_SERVICE:
        return result.Failure(
            problems.not_found(f'no plain service is named {name!r}')
        )
    return result.Success(service)
