"""Calls to model engines beside the requests of clients."""

from ..core import errors
from ..core import ids
from ..core import types
from ..gateway import json_calls


async def move_run(
    engine: types.Address,
    request_id: ids.RequestId,
    destination: types.Address,
    timeout_s: float,
) -> str | errors.Failure:
    """Stop a run and copy its memory to another engine.

    Returns
    -------
    str or Failure
        What the destination needs to go on from the copy.
    """
    caller = json_calls.JsonCaller(engine, errors.Step.ORDER_ENGINE)
    answer = await caller.call(
        'POST',
        '/kv-move',
        {'id': request_id, 'to': str(destination), 'last': True},
        timeout_s=timeout_s,
    )
    caller.drop_idle()
    if isinstance(answer, errors.Failure):
        return answer
    body = answer.body if isinstance(answer.body, dict) else {}
    handle = body.get('handle')
    if answer.status != 200 or not handle:
        return errors.Failure(
            errors.FailureKind.REFUSED,
            errors.Step.ORDER_ENGINE,
            str(engine),
            f'status {answer.status} for a move: {body}',
        )
    return f'{engine}/{handle}'
