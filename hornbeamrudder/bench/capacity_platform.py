"""Sizes calls of the platform and of workers, and times the committer."""

import socket
import threading
from typing import Any, Callable

import orjson
from returns import result

from ..backends import load_report
from . import capacity_functions
from . import capacity_peers
from ..configuration import versions
from ..core import errors
from ..core import ids
from ..core import types
from ..infrastructure import http
from ..infrastructure import table
from . import load_source
from . import local
from ..orders import committer
from . import process_usage

READ_BYTES = 1 << 20
HEAD_END = b'\r\n\r\n'
ORDER_VALUE_BYTES = 400


def exchange_bytes(
    response: bytes, call: Callable[[http.HttpClient, types.Address], Any]
) -> tuple[int, int]:
    """Bytes of a request as it is sent, and of its response."""
    client = http.HttpClient('capacity')
    received: list[bytes] = []
    try:
        with socket.create_server((local.LOOPBACK, 0)) as listener:
            thread = threading.Thread(
                target=_answer_one, args=(listener, response, received)
            )
            thread.start()
            call(client, types.Address(*listener.getsockname()[:2]))
            thread.join()
    finally:
        client.close()
    return sum(map(len, received)), len(response)


def _answer_one(
    listener: socket.socket, response: bytes, received: list[bytes]
) -> None:
    opened, _ = listener.accept()
    with opened:
        opened.settimeout(local.START_TIMEOUT_S)
        while not _complete(b''.join(received)):
            received.append(opened.recv(READ_BYTES))
        opened.sendall(response)


def _complete(request: bytes) -> bool:
    head, end, body = request.partition(HEAD_END)
    length = head.lower().partition(b'content-length:')[2].split(b'\r')[0]
    return bool(end) and len(body) >= int(length or b'0')


def _json_response(value: Any) -> bytes:
    body = orjson.dumps(value)
    return (
        b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
        b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
    )


def platform_costs(nodes: int) -> dict[str, Any]:
    """Sizes of a load poll and of a read of the version row of `nodes`."""
    row = orjson.loads(versions.dump_row(capacity_peers.version_row(nodes)))
    rows = [{'key': versions.CURRENT_KEY, 'version': 1, 'value': row}]
    return {
        'nodes': nodes,
        'load_poll_bytes': exchange_bytes(
            load_source.RESPONSE,
            lambda client, address: client.call(
                load_report.request(_worker(address))
            ),
        ),
        'version_read_bytes': exchange_bytes(
            _json_response({'rows': rows}),
            lambda client, address: table.TableClient(
                client, str(address)
            ).read([versions.CURRENT_KEY]),
        ),
        'load_average': process_usage.load_average(),
    }


def _worker(address: types.Address) -> types.Worker:
    return types.Worker(
        ids.WorkerId('worker'),
        ids.ServiceName('service'),
        ids.HostId('host'),
        ids.DataCentreName('dc'),
        address,
        1,
    )


def committer_costs(items: int, runs: int) -> dict[str, Any]:
    """Processor time of the decisions and of the JSON for one batch."""
    value = {'attempt': 'a', 'request': 'x' * ORDER_VALUE_BYTES}
    puts = [
        table.Put(f'order/account/{number}', 0, value)
        for number in range(items)
    ]
    answer: result.Result[tuple[table.PutResult, ...], errors.Failure] = (
        result.Success(
            tuple(
                table.PutResult(True, table.Row(put.key, 1, value))
                for put in puts
            )
        )
    )

    def batch() -> None:
        known = committer.CommitState()
        for number, put in enumerate(puts):
            item = committer.Item(number, put, ids.AttemptId('a'), 9.0)
            known = committer.submit(known, item)
        known, _, chosen = committer.next_batch(known, 0.0)
        assert chosen is not None
        orjson.dumps(
            [(item.put.key, 0, item.put.value) for item in chosen.items]
        )
        committer.on_written(known, chosen.items, answer, 0.0)

    return {
        'items': items,
        'cpu_s': {'batch': capacity_functions.cpu_s(batch, runs)},
        'memory_bytes': {
            'pending': capacity_functions.bytes_of(
                lambda: [
                    committer.Item(
                        number,
                        table.Put(f'order/account/{number}', 0, dict(value)),
                        ids.AttemptId('a'),
                        9.0,
                    )
                    for number in range(items)
                ]
            )
        },
        'load_average': process_usage.load_average(),
    }
