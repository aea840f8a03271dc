"""Control calls to model engines, other than client requests."""

import re

from ..core import errors
from ..core import ids
from ..core import types
from ..gateway import byte_limits
from ..gateway import json_client
from ..gateway import messages

# Characters of a handle; it becomes part of a header.
_HANDLE = re.compile(r'[!-~]{1,200}')


async def move_request(
    engine: types.Address,
    request_id: ids.RequestId,
    destination: types.Address,
    timeout_s: float,
    last: bool,
) -> str | messages.StoppedRun | errors.Failure:
    """Copy the KV cache of a running request to another engine.

    Parameters
    ----------
    last : bool
        Whether the engine stops the request first, even if the copy fails;
        if not, the request goes on there. A later copy contains only what an
        earlier one lacks.

    Returns
    -------
    str, StoppedRun or Failure
        Reference to the copy, with which the destination resumes the request.
        A stopped run can be resumed at its engine.
    """
    caller = json_client.JsonClient(
        engine, errors.Step.ORDER_ENGINE, byte_limits.MAX_ACK_BODY_BYTES
    )
    response = await caller.call(
        'POST',
        '/kv-move',
        {'id': request_id, 'to': str(destination)}
        | ({'last': True} if last else {}),
        timeout_s=timeout_s,
    )
    caller.drop_idle()
    if isinstance(response, errors.Failure):
        return response
    body = response.body if isinstance(response.body, dict) else {}
    handle = body.get('handle')
    if not isinstance(handle, str) or not _HANDLE.fullmatch(handle):
        handle = None
    detail = f'/kv-move answered with status {response.status}: {body}'
    match response.status:
        case 200 if handle:
            return f'{engine}/{handle}'
        case 503 if handle and last:
            return messages.StoppedRun(f'{engine}/{handle}', detail)
    return errors.Failure(
        errors.FailureKind.REFUSED,
        errors.Step.ORDER_ENGINE,
        str(engine),
        detail,
    )
