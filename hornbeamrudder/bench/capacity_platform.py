"""Measures sizes of platform and worker calls, and the committer's cost."""

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
HEADERS_END = b'\r\n\r\n'
ORDER_VALUE_BYTES = 400


def measure_exchange_bytes(
    response: bytes, call: Callable[[http.HttpClient, types.Address], Any]
) -> tuple[int, int]:
    """Measure the bytes of a request as sent and of its response."""
    client = http.HttpClient('capacity')
    received: list[bytes] = []
    try:
        with socket.create_server((local.LOOPBACK, 0)) as listener:
            thread = threading.Thread(
                target=_serve_one_response, args=(listener, response, received)
            )
            thread.start()
            call(client, types.Address(*listener.getsockname()[:2]))
            thread.join()
    finally:
        client.close()
    return sum(map(len, received)), len(response)


def _serve_one_response(
    listener: socket.socket, response: bytes, received: list[bytes]
) -> None:
    connection, _ = listener.accept()
    with connection:
        connection.settimeout(local.START_TIMEOUT_S)
        while not _is_complete(b''.join(received)):
            received.append(connection.recv(READ_BYTES))
        connection.sendall(response)


def _is_complete(request: bytes) -> bool:
    head, separator, body = request.partition(HEADERS_END)
    length = head.lower().partition(b'content-length:')[2].split(b'\r')[0]
    return bool(separator) and len(body) >= int(length or b'0')


def _json_response(value: Any) -> bytes:
    body = orjson.dumps(value)
    return (
        b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
        b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
    )


def measure_platform_calls(nodes: int) -> dict[str, Any]:
    """Measure a load poll and a read of the version row of `nodes` nodes."""
    row = orjson.loads(
        versions.dump_row(capacity_peers.make_version_row(nodes))
    )
    rows = [{'key': versions.CURRENT_KEY, 'version': 1, 'value': row}]
    return {
        'nodes': nodes,
        'load_poll_bytes': measure_exchange_bytes(
            load_source.RESPONSE,
            lambda client, address: client.call(
                load_report.request(_worker(address))
            ),
        ),
        'version_read_bytes': measure_exchange_bytes(
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


def measure_committer_cost(items: int, runs: int) -> dict[str, Any]:
    """Measure the CPU time of batching and of JSON encoding for one write."""
    value = {'attempt': 'a', 'request': 'x' * ORDER_VALUE_BYTES}
    puts = [
        table.Put(f'order/account/{number}', 0, value)
        for number in range(items)
    ]
    write_result: result.Result[
        tuple[table.PutResult, ...], errors.Failure
    ] = result.Success(
        tuple(
            table.PutResult(True, table.Row(put.key, 1, value)) for put in puts
        )
    )

    def batch() -> None:
        commit_state = committer.CommitState()
        for number, put in enumerate(puts):
            item = committer.Item(number, put, ids.AttemptId('a'), 9.0)
            commit_state = committer.submit(commit_state, item)
        commit_state, _, next_batch = committer.next_batch(commit_state, 0.0)
        assert next_batch is not None
        orjson.dumps(
            [(item.put.key, 0, item.put.value) for item in next_batch.items]
        )
        committer.on_written(commit_state, next_batch.items, write_result, 0.0)

    return {
        'items': items,
        'cpu_s': {'batch': capacity_functions.measure_cpu_s(batch, runs)},
        'memory_bytes': {
            'pending': capacity_functions.allocated_bytes(
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
