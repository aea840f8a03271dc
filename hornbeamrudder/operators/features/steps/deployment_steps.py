"""Steps that run operator commands on a deployment of real processes."""

from concurrent import futures
import contextlib
import io
import json
import os
import pathlib
import re
import shutil
import subprocess
import sys
import time

import behave

from hornbeamrudder.bench import deployment
from hornbeamrudder.bench import local
from hornbeamrudder import cli
from hornbeamrudder.core import errors
from hornbeamrudder.infrastructure import http

EXAMPLE = pathlib.Path(__file__).resolve().parents[4] / 'examples/blue-mahoe'
CLOSED_NODE = '127.0.0.1:1'
UNKNOWN_TOKEN = 'token-of-no-operator'
COMMAND_TIMEOUT_S = 60.0
MAX_DRAIN_S = 3.0
# Allowance for delays of the test itself on a busy machine.
MEASUREMENT_DELAY_S = 2.0
TOKENS = {
    'demo': deployment.OPERATOR_TOKEN,
    'an unknown operator': UNKNOWN_TOKEN,
    'r-campbell': 'blue-mahoe-r-campbell-example',
    'd-grant': 'blue-mahoe-d-grant-example',
}
WORKERS = ('quill-01', 'quill-02', 'ledger-01')


def prepare_files(context):
    """Copy the example, reduced to the deployed workers and their ports."""
    folder = context.folder / 'files'
    if folder.exists():
        return folder
    shutil.copytree(EXAMPLE, folder)
    names = ('engine-1', 'engine-2', 'app-1')
    port_by_worker = {
        worker: context.deployment.address(name).port
        for worker, name in zip(WORKERS, names, strict=True)
    }
    lines = (folder / 'processes.csv').read_text().splitlines()
    process_lines = [
        re.sub(
            r',10\.[0-9.]+,\d+,', f',127.0.0.1,{port_by_worker[name]},', line
        )
        for line in lines
        if (name := line.split(',')[0]) in WORKERS
    ]
    (folder / 'processes.csv').write_text(
        '\n'.join([lines[0], *process_lines])
    )
    hosts = (folder / 'hosts.csv').read_text().splitlines()
    deployed_hosts = ('bm-gpu-01', 'bm-gpu-02', 'bm-app-01')
    (folder / 'hosts.csv').write_text(
        '\n'.join(
            [
                hosts[0],
                *(item for item in hosts if item.startswith(deployed_hosts)),
            ]
        )
    )
    rules = (folder / 'rules.yaml').read_text()
    for name, seconds in (('changed', 11), ('left', 12), ('right', 13)):
        (folder / f'{name}.yaml').write_text(
            rules.replace('deadline_s: 10}', f'deadline_s: {seconds}}}')
        )
    return folder


def command_line(context, operator, line, nodes):
    """Return the command line with file paths, node addresses and token."""
    folder = prepare_files(context)
    token_file = context.folder / f'{operator}.token'
    token_file.write_text(TOKENS[operator])
    addresses = nodes or ','.join(
        map(str, context.deployment.node_addresses())
    )
    arguments = [
        str(folder / word) if word.endswith('.yaml') else word
        for word in line.split()
    ]
    return [*arguments, '--node', addresses, '--token-file', str(token_file)]


def run(context, operator, line, nodes=None):
    """Run a command in this process: starting another takes over 1 s."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = cli.main(command_line(context, operator, line, nodes))
    return subprocess.CompletedProcess(
        line, code, out.getvalue(), err.getvalue()
    )


def run_process(context, operator, line, nodes):
    """Run a command in a process of its own."""
    return subprocess.run(
        [
            sys.executable,
            '-m',
            'hornbeamrudder.cli',
            *command_line(context, operator, line, nodes),
        ],
        env=os.environ | {'PYTHONPATH': os.pathsep.join(sys.path)},
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )


@behave.when('{operator} runs "{line}" on the deployment')
def run_on_deployment(context, operator, line):
    context.completed = run(context, operator, line)


@behave.when('{operator} runs "{line}" on a closed address')
def run_on_closed(context, operator, line):
    context.completed = run(context, operator, line, CLOSED_NODE)


@behave.when(
    '{operator} runs "{line}" on a closed address and then the deployment'
)
def run_after_closed(context, operator, line):
    first = context.deployment.node_addresses()[0]
    context.completed = run(context, operator, line, f'{CLOSED_NODE},{first}')


@behave.then('the command ends with {code:d} and prints JSON')
def check_json(context, code):
    assert context.completed.returncode == code, context.completed
    lines = context.completed.stdout.splitlines()
    assert lines and not context.completed.stderr, context.completed
    assert all(isinstance(json.loads(line), dict) for line in lines)


@behave.then('the command ends with {code:d} and prints "{text}"')
def check_text(context, code, text):
    completed = context.completed
    assert completed.returncode == code, completed
    assert text in (completed.stderr if code else completed.stdout), completed


@behave.then(
    'every node reports the version in force and that all nodes are ready'
)
def check_versions(context):
    def reported():
        for name in context.deployment.node_names:
            status = context.deployment.status(name)
            assert status['answered_by'] == name, status
            yield [
                (node, item['version'], item['ready'])
                for node, item in status['nodes'].items()
            ]

    version = context.deployment.current_version()
    expected = [
        (name, version, True) for name in context.deployment.node_names
    ]
    # The version of a peer arrives with its next heartbeat.
    wait_until(lambda: all(item == expected for item in reported()), 10.0)


@behave.then('every version in the history has a time')
def check_history_times(context):
    completed = run(context, 'r-campbell', 'rules history --output json')
    versions = json.loads(completed.stdout)['versions']
    assert len(versions) >= 2, versions
    assert all(item['at_wall_s'] > 1e9 for item in versions), versions


@behave.when(
    'r-campbell and d-grant concurrently apply rules with different deadlines'
)
def apply_concurrently(context):
    version = context.deployment.current_version()
    nodes = context.deployment.node_addresses()
    with futures.ThreadPoolExecutor() as pool:
        future_by_operator = {
            operator: pool.submit(
                run_process,
                context,
                operator,
                f'rules apply {name}.yaml --made-from {version} --output json',
                str(node),
            )
            for operator, name, node in (
                ('r-campbell', 'left', nodes[0]),
                ('d-grant', 'right', nodes[1]),
            )
        }
        context.completed_by_operator = {
            operator: future.result()
            for operator, future in future_by_operator.items()
        }


@behave.then('one change is in force and the other command ends with 3')
def check_one_applied(context):
    codes = sorted(
        completed.returncode
        for completed in context.completed_by_operator.values()
    )
    assert codes == [0, 3], context.completed_by_operator


@behave.then('the conflict names "{key}" and the author of the applied change')
def check_conflict(context, key):
    author, rejected = sorted(
        context.completed_by_operator,
        key=lambda name: context.completed_by_operator[name].returncode,
    )
    reported = json.loads(context.completed_by_operator[rejected].stdout)
    assert reported['conflicts'] == [{'key': key, 'author': author}], reported


@behave.then('within 3 s every node reports that "{worker}" is leaving')
def check_leaving(context, worker):
    def states():
        return [
            context.deployment.status(name)['workers'][worker]['state']
            for name in context.deployment.node_names
        ]

    wait_until(
        lambda: set(states()) == {'leaving'}, MAX_DRAIN_S + MEASUREMENT_DELAY_S
    )


@behave.then('the log of one node names {operator} for "{host}"')
def check_drain_log(context, operator, host):
    lines = [
        json.loads(line)
        for name in context.deployment.node_names
        for line in context.deployment.processes.log_text(name).splitlines()
    ]
    drain_requests = [
        (line['host'], line['operator'])
        for line in lines
        if line['event'] == 'host drain requested'
    ]
    assert drain_requests == [(host, operator)], drain_requests


@behave.given('valid and malformed requests with each token')
def send_tokens(context):
    for token in (*TOKENS.values(), *account_tokens(context)):
        for path, body in (
            ('/v1/chat/completions', b'{"model": "none"}'),
            (f'/v1/services/none/{token}', b'{'),
            ('/v1/operator/status', b''),
            ('/v1/operator/configuration', token.encode()),
        ):
            for value in (f'Bearer {token}', f'Basic {token}', token):
                context.deployment.client.call(
                    http.HttpRequest(
                        method='PUT' if 'configuration' in path else 'POST',
                        peer=str(context.deployment.node_addresses()[0]),
                        path=path,
                        step=errors.Step.READ_REQUEST,
                        headers=(('Authorization', value),),
                        body=body,
                    )
                )


def account_tokens(context):
    return context.deployment.plan.tokens_by_account.values()


@behave.then('no log of the deployment contains a token or the peer key')
def check_secrets(context):
    processes = context.deployment.processes
    key = (processes.folder / 'peer.key').read_text()
    secrets = {*TOKENS.values(), *account_tokens(context), key}
    digests = {local.token_digest(secret) for secret in secrets}
    for name in processes.by_name:
        text = processes.log_text(name)
        leaked = [item for item in secrets | digests if item in text]
        assert not leaked, (name, leaked)
        assert 'Traceback' not in text, text


@behave.given('the table service of the deployment is stopped')
def stop_table_service(context):
    context.version = context.deployment.current_version()
    process = context.deployment.processes.by_name['table']
    process.process.kill()
    process.wait()


@behave.then('its outcome is not_run and the version is unchanged')
def check_refused(context):
    assert json.loads(context.completed.stdout)['outcome'] == 'not_run'
    assert context.deployment.current_version() == context.version


def wait_until(condition, timeout_s):
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, f'not met within {timeout_s} s'
        time.sleep(0.05)
