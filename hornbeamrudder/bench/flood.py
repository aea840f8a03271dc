"""Measures the policy with real nodes and stand-ins under overload.

Each run starts a deployment of processes on loopback, sends one load from an
asynchronous client without retries, and reads the counters of the nodes at
the end.
"""

import argparse
import os
import pathlib
import signal
import tempfile
import threading
import time
from typing import Any, Mapping

import orjson
from returns import result

from . import balancer
from ..core import errors
from ..core import types
from . import deployment
from . import flood_load
from . import flood_report
from ..infrastructure import http
from . import local

MODEL_SERVICE = 'modele-atelier'
MODEL = 'assistant'
PLAIN_SERVICE = 'app-comptoir'
# Time limit for answers outstanding after the last arrival.
DRAIN_TIMEOUT_S = 22.0
CONNECT_TIMEOUT_S = 5.0
MAX_DETAIL_CHARACTERS = 100
TOKENS_BY_ACCOUNT = {
    account: f'token-{account}'
    for account in (
        'fitters', 'front-desk', 'planning', 'shop-a', 'shop-b', 'chain'
    )
}  # fmt: skip


def add_parser(commands: Any) -> None:
    """Add the `flood` command to the command line parser."""
    parser = commands.add_parser(
        'flood', help='measure floods with real processes'
    )
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--first-seed', type=int, default=1)
    parser.add_argument('--out', default='results/flood', metavar='FOLDER')
    parser.add_argument(
        '--scenario',
        action='append',
        choices=sorted(flood_load.SCENARIOS),
        help='only this one; may be given more than once',
    )
    parser.set_defaults(run=main)


def main(arguments: argparse.Namespace) -> int:
    """Run each scenario with and without its disturbance."""
    folder = pathlib.Path(arguments.out)
    folder.mkdir(parents=True, exist_ok=True)
    for name in arguments.scenario or flood_load.SCENARIOS:
        scenario = flood_load.SCENARIOS[name]
        runs = []
        for number in range(arguments.seeds):
            seed = arguments.first_seed + number
            for kind, load in (
                ('reference', scenario.reference()),
                ('flood', scenario),
            ):
                measured = measure(load, seed)
                runs.append({'kind': kind, 'seed': seed} | measured)
        path = folder / f'{name}.json'
        path.write_bytes(orjson.dumps(runs, option=orjson.OPT_INDENT_2))
        print(flood_report.table(name, runs), flush=True)
    return 0


def measure(scenario: flood_load.Scenario, seed: int) -> dict[str, Any]:
    """Run one load on a new deployment and return its figures."""
    load_before = os.getloadavg()[0]
    client = http.HttpClient('flood')
    folder = tempfile.mkdtemp(prefix='hornbeamrudder-flood-')
    try:
        with local.local_processes(pathlib.Path(folder)) as processes:
            running = deployment.Deployment(_plan(scenario), processes, client)
            running.start()
            started_at = time.monotonic()
            records = _send_load(running, scenario, seed)
            counters = _counters(running)
            repeated_orders = [
                key
                for key, count in running.runs_by_key().items()
                if count > 1
            ]
    finally:
        client.close()
    return {
        'load_average': [load_before, os.getloadavg()[0]],
        'seconds': time.monotonic() - started_at,
        'groups': flood_report.figures_by_group(records),
        'nodes': counters,
        'doubled_orders': len(repeated_orders),
        'logs': folder,
    }


def _plan(scenario: flood_load.Scenario) -> deployment.Plan:
    ranks = {
        'fitters': types.Rank.URGENT,
        'planning': types.Rank.BATCH,
    }
    return deployment.Plan(
        region='capitale-qc',
        data_centres=('levis-est', 'beauport-n', 'foy-centre', 'bourg-ouest'),
        nodes=7,
        model_service=MODEL_SERVICE,
        model=MODEL,
        engines=flood_load.ENGINES,
        plain_service=PLAIN_SERVICE,
        services=4,
        tokens_by_account=TOKENS_BY_ACCOUNT,
        rules={
            'ranks': [
                {
                    'account': account,
                    'rank': rank.name.lower(),
                    'deadline_s': flood_load.DEADLINE_S_BY_RANK[rank],
                }
                for account in TOKENS_BY_ACCOUNT
                for rank in (ranks.get(account, types.Rank.STANDARD),)
            ],
            'non_idempotent': [
                {
                    'service': PLAIN_SERVICE,
                    'method': 'POST',
                    'path_prefix': '/visits',
                }
            ],
            'quiet_part': scenario.quiet_part,
        },
        engine={
            'step_s': flood_load.STEP_S,
            'step_per_sequence_s': flood_load.STEP_PER_SEQUENCE_S,
        },
    )


class _Recorder:
    """Collects the outcomes of calls, reported on the client's thread."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._records: list[flood_report.Record] = []
        self._open_calls = 0

    def start(
        self, client: http.HttpClient, request: http.HttpRequest,
        arrival: flood_load.Arrival,
    ) -> None:  # fmt: skip
        """Start a call and record its outcome."""
        sent_at = time.monotonic()
        with self._condition:
            self._open_calls += 1

        def on_done(http_result: http.HttpResult) -> None:
            record = flood_report.Record(
                arrival.stream.account,
                arrival.stream.rank,
                arrival.tokens,
                time.monotonic() - sent_at,
                *_outcome_of(http_result),
                arrival.at,
                request.peer,
            )
            with self._condition:
                self._records.append(record)
                self._open_calls -= 1
                self._condition.notify()

        client.start(request).future.add_done_callback(
            lambda future: on_done(future.result())
        )

    def wait(self, timeout_s: float) -> list[flood_report.Record]:
        """Wait for outstanding calls and return the completed ones."""
        with self._condition:
            self._condition.wait_for(lambda: self._open_calls == 0, timeout_s)
            return list(self._records)


def _send_load(
    running: deployment.Deployment, scenario: flood_load.Scenario, seed: int
) -> list[flood_report.Record]:
    addresses = balancer.AddressList(
        running.client, running.node_addresses(), seed
    )
    recorder = _Recorder()
    started_at = time.monotonic()
    wave_pending = scenario.wave
    for arrival in flood_load.arrivals(scenario.streams, seed):
        if wave_pending and arrival.at >= flood_load.WAVE_AT_S:
            wave_pending = False
            for name in running.engine_names[: flood_load.WAVE_ENGINES]:
                running.processes.by_name[name].send(signal.SIGKILL)
        time.sleep(max(0.0, started_at + arrival.at - time.monotonic()))
        recorder.start(
            running.client, _request(arrival, addresses.pick()), arrival
        )
    records = recorder.wait(DRAIN_TIMEOUT_S)
    addresses.close()
    return records


def _request(
    arrival: flood_load.Arrival, address: types.Address
) -> http.HttpRequest:
    stream = arrival.stream
    token = TOKENS_BY_ACCOUNT[stream.account]
    key = f'{stream.account}-{arrival.number}'
    headers: tuple[tuple[str, str], ...] = (
        ('Authorization', f'Bearer {token}'),
        ('Content-Type', 'application/json'),
    )
    path = '/v1/chat/completions'
    body: Mapping[str, Any] = {
        'model': MODEL,
        'max_tokens': arrival.tokens,
        'messages': [{'role': 'user', 'content': key}],
    }
    if not stream.tokens:
        path = f'/v1/services/{PLAIN_SERVICE}/visits'
        headers += (('Idempotency-Key', key),)
        body = {}
    return http.HttpRequest(
        method='POST',
        peer=str(address),
        path=path,
        step=errors.Step.READ_ANSWER,
        headers=headers,
        body=orjson.dumps(body),
        connect_timeout_s=CONNECT_TIMEOUT_S,
        first_byte_timeout_s=DRAIN_TIMEOUT_S,
        total_timeout_s=DRAIN_TIMEOUT_S,
    )


def _outcome_of(http_result: http.HttpResult) -> tuple[str, str]:
    match http_result:
        case result.Success(response) if response.status < 300:
            return flood_report.ANSWERED, ''
        case result.Success(response):
            try:
                problem = orjson.loads(response.body)
                detail = f'{problem["step"]}: {problem["detail"]}'
                return (
                    str(problem['outcome']),
                    detail[:MAX_DETAIL_CHARACTERS],
                )
            except (orjson.JSONDecodeError, KeyError, TypeError):
                return 'failed', f'status {response.status}'
        case result.Failure(failure):
            return 'lost', str(failure)[:MAX_DETAIL_CHARACTERS]
    raise AssertionError(http_result)


def _counters(running: deployment.Deployment) -> dict[str, float]:
    """Sum the counters of the model service over all nodes."""
    pages = []
    for address in running.node_addresses():
        http_result = running.client.call(
            http.HttpRequest(
                method='GET',
                peer=str(address),
                path='/metrics',
                step=errors.Step.PEER_EXCHANGE,
            )
        )
        if isinstance(http_result, result.Success):
            pages.append(http_result.unwrap().body.decode())
    return flood_report.sum_counters(pages, MODEL_SERVICE)
