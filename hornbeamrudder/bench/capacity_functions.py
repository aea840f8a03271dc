"""Times decision functions and sizes state beyond the number of processes."""

import gc
import json
import random
import time
import tracemalloc
from typing import Any, Callable, Mapping

from returns import result

from ..backends import state as backend_state
from ..core import hashing
from ..core import ids
from ..entry import accounts
from ..inventory import schema
from . import process_usage
from ..routing import choose
from ..routing import prefix
from ..routing import shares

LEAST_S = 0.05
SLOTS = 16
DATA_CENTRES = 16


def cpu_s(function: Callable[[], Any], runs: int) -> list[float]:
    """Processor seconds of one call, measured `runs` times."""
    found = []
    for _ in range(runs):
        calls = 0
        started_s = time.thread_time()
        while time.thread_time() - started_s < LEAST_S:
            function()
            calls += 1
        found.append((time.thread_time() - started_s) / calls)
    return found


def bytes_of(make: Callable[[], Any]) -> int:
    """Bytes of the Python objects that a function makes and returns."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = make()
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        del kept
        return size
    finally:
        tracemalloc.stop()


def document(workers: int, client_accounts: int) -> dict[str, Any]:
    """Make a document with one worker on each host."""
    return {
        'services': [
            {'name': 'model', 'kind': 'model_engine', 'models': ['m']}
        ],
        'accounts': [
            {
                'id': f'account-{number}',
                'token_sha256': hashing.digest(f'token-{number}'.encode()),
            }
            for number in range(client_accounts)
        ],
        'hosts': [
            {
                'id': f'host-{number}',
                'data_centre': f'dc-{number % DATA_CENTRES}',
                'machine_class': 'small-gpu',
                'pricing': 'reclaimable',
                'price_per_hour': 1.0,
                'workers': [
                    {
                        'id': f'worker-{number}',
                        'service': 'model',
                        'ip': f'10.{number >> 16 & 255}.{number >> 8 & 255}'
                        f'.{number & 255}',
                        'port': 8000,
                        'slots': SLOTS,
                    }
                ],
            }
            for number in range(workers)
        ],
    }


def parsed(body: Mapping[str, Any]) -> schema.Document:
    """Parse a document as a node does.

    Raises
    ------
    ValueError
        The document is not valid.
    """
    match schema.parse_document(dict(body)):
        case result.Success(found):
            return found
        case result.Failure(found_problems):
            raise ValueError(str(found_problems[0]))
    raise AssertionError


def workers_costs(count: int, runs: int) -> dict[str, Any]:
    """Cost of what a node does for each request and each document."""
    body = document(count, 10)
    known = parsed(body)
    workers = tuple(known.workers_by_id.values())
    loads = {
        worker.id: choose.WorkerLoad(worker.id, SLOTS, 1) for worker in workers
    }
    ring = prefix.build_ring(loads)
    rng = random.Random(1)
    demand = {ids.NodeId(f'n{number}'): 4.0 for number in range(7)}
    own = shares.own_shares(
        shares.OwnShares(), ids.NodeId('n0'), workers, demand, 0.0
    )
    return {
        'workers': count,
        'document_bytes': len(json.dumps(body)),
        'cpu_s': {
            'parse': cpu_s(lambda: parsed(body), runs),
            'choose': cpu_s(
                lambda: choose.choose(
                    loads,
                    prefix.ring_order(ring, str(rng.getrandbits(63))),
                    {},
                    frozenset(),
                    0.0,
                    rng,
                ),
                runs,
            ),
            'usable_slots': cpu_s(
                lambda: choose.usable_slots(loads.values(), 0.0), runs
            ),
            'shares_computed': cpu_s(
                lambda: shares.own_shares(
                    shares.OwnShares(), ids.NodeId('n0'), workers, demand, 0.0
                ),
                runs,
            ),
            'shares_kept': cpu_s(
                lambda: shares.own_shares(
                    own, ids.NodeId('n0'), workers, demand, 0.0
                ),
                runs,
            ),
            'ring_built': cpu_s(lambda: prefix.build_ring(loads), runs),
            'ring_kept': cpu_s(lambda: prefix.updated_ring(ring, loads), runs),
        },
        'memory_bytes': {
            'document': bytes_of(lambda: _with_workers(body)),
            'ring': bytes_of(lambda: prefix.build_ring(loads)),
            'loads': bytes_of(
                lambda: (
                    {
                        worker.id: choose.WorkerLoad(worker.id, SLOTS, 1)
                        for worker in workers
                    },
                    {
                        worker.host: backend_state.HostRecord(worker.host)
                        for worker in workers
                    },
                )
            ),
        },
        'load_average': process_usage.load_average(),
    }


def _with_workers(body: Mapping[str, Any]) -> schema.Document:
    found = parsed(body)
    # Computed once and kept by the document.
    assert found.workers_by_id
    return found


def accounts_costs(count: int, runs: int) -> dict[str, Any]:
    """Cost of accounts in the document and of finding one of them."""
    body = document(10, count)
    known = parsed(body)
    header = f'Bearer token-{count - 1}'
    return {
        'accounts': count,
        'document_bytes': len(json.dumps(body)),
        'cpu_s': {
            'parse': cpu_s(lambda: parsed(body), runs),
            'authenticate': cpu_s(
                lambda: accounts.authenticate(known, header), runs
            ),
        },
        'memory_bytes': {'document': bytes_of(lambda: parsed(body))},
        'load_average': process_usage.load_average(),
    }
