"""Measures the CPU time of decision functions and the size of their state.

Covers numbers of workers and accounts that are too large to run as processes.
"""

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

MIN_SAMPLE_S = 0.05
SLOTS = 16
DATA_CENTRES = 16
NODES = 7
NODE_DEMAND = 4.0


def measure_cpu_s(function: Callable[[], Any], runs: int) -> list[float]:
    """Measure the CPU seconds of one call, `runs` times."""
    samples = []
    for _ in range(runs):
        calls = 0
        started_s = time.thread_time()
        while time.thread_time() - started_s < MIN_SAMPLE_S:
            function()
            calls += 1
        samples.append((time.thread_time() - started_s) / calls)
    return samples


def allocated_bytes(build: Callable[[], Any]) -> int:
    """Measure the bytes of the Python objects that a function returns."""
    gc.collect()
    tracemalloc.start()
    try:
        objects = build()
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        del objects
        return size
    finally:
        tracemalloc.stop()


def make_document(workers: int, client_accounts: int) -> dict[str, Any]:
    """Build a document with one worker per host."""
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


def parse_document(body: Mapping[str, Any]) -> schema.Document:
    """Parse a document with the schema that nodes use.

    Raises
    ------
    ValueError
        The document is not valid.
    """
    match schema.parse_document(dict(body)):
        case result.Success(document):
            return document
        case result.Failure(problems):
            raise ValueError(str(problems[0]))
    raise AssertionError


def measure_worker_costs(count: int, runs: int) -> dict[str, Any]:
    """Measure the costs per request and per document by number of workers."""
    body = make_document(count, 10)
    parsed_document = parse_document(body)
    workers = tuple(parsed_document.workers_by_id.values())
    loads = {
        worker.id: choose.WorkerLoad(worker.id, SLOTS, 1) for worker in workers
    }
    ring = prefix.build_ring(loads)
    rng = random.Random(1)
    demand = {ids.NodeId(f'n{number}'): NODE_DEMAND for number in range(NODES)}
    initial_shares = shares.own_shares(
        shares.OwnShares(), ids.NodeId('n0'), workers, demand, 0.0
    )
    return {
        'workers': count,
        'document_bytes': len(json.dumps(body)),
        'cpu_s': {
            'parse': measure_cpu_s(lambda: parse_document(body), runs),
            'choose': measure_cpu_s(
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
            'usable_slots': measure_cpu_s(
                lambda: choose.usable_slots(loads.values(), 0.0), runs
            ),
            'shares_computed': measure_cpu_s(
                lambda: shares.own_shares(
                    shares.OwnShares(), ids.NodeId('n0'), workers, demand, 0.0
                ),
                runs,
            ),
            'shares_kept': measure_cpu_s(
                lambda: shares.own_shares(
                    initial_shares, ids.NodeId('n0'), workers, demand, 0.0
                ),
                runs,
            ),
            'ring_built': measure_cpu_s(
                lambda: prefix.build_ring(loads), runs
            ),
            'ring_kept': measure_cpu_s(
                lambda: prefix.updated_ring(ring, loads), runs
            ),
        },
        'memory_bytes': {
            'document': allocated_bytes(lambda: _parse_with_workers(body)),
            'ring': allocated_bytes(lambda: prefix.build_ring(loads)),
            'loads': allocated_bytes(
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


def _parse_with_workers(body: Mapping[str, Any]) -> schema.Document:
    document = parse_document(body)
    # Cached in the document on first use, and part of its size.
    assert document.workers_by_id
    return document


def measure_account_costs(count: int, runs: int) -> dict[str, Any]:
    """Measure parsing and authentication by number of accounts."""
    body = make_document(10, count)
    parsed_document = parse_document(body)
    header = f'Bearer token-{count - 1}'
    return {
        'accounts': count,
        'document_bytes': len(json.dumps(body)),
        'cpu_s': {
            'parse': measure_cpu_s(lambda: parse_document(body), runs),
            'authenticate': measure_cpu_s(
                lambda: accounts.authenticate(parsed_document, header), runs
            ),
        },
        'memory_bytes': {
            'document': allocated_bytes(lambda: parse_document(body))
        },
        'load_average': process_usage.load_average(),
    }
