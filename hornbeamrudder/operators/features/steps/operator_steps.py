"""Steps for operator commands and the operator API."""

import argparse
import contextlib
import io
import json
import pathlib
import re
import shutil
import socket
import tempfile
import threading

import behave
from returns import result
from werkzeug import serving
from werkzeug import test
from werkzeug import wrappers

from hornbeamrudder.core import errors
from hornbeamrudder.core import hashing
from hornbeamrudder.core import ids
from hornbeamrudder.core import types
from hornbeamrudder.infrastructure import http
from hornbeamrudder.inventory import check
from hornbeamrudder.inventory import difference
from hornbeamrudder.inventory import problems
from hornbeamrudder.inventory import schema
from hornbeamrudder.operators import api
from hornbeamrudder.operators import client
from hornbeamrudder.operators import commands
from hornbeamrudder.operators import messages
from hornbeamrudder.operators import output

EXAMPLE = pathlib.Path(__file__).resolve().parents[4] / 'examples/blue-mahoe'
TOKENS = {'r-campbell': 'token-r', 'd-grant': 'token-d'}
# Files in the operator's folder.
FILE_NAME = re.compile(r'[a-z]+\.(yaml|csv)')
# No process listens on this port.
CLOSED_ADDRESS = '127.0.0.1:1'


class MemoryBackend:
    """In-memory backend; `behaviour` selects the result of apply."""

    def __init__(self, document):
        self.documents = [document]
        self.authors = ['first']
        self.behaviour = 'accept'
        self.apply_calls = 0
        self.state = {'version': 1, 'nodes': [{'id': 'n1', 'live': True}]}

    def operators(self):
        return tuple(
            schema.Operator(
                id=name, token_sha256=hashing.digest(token.encode())
            )
            for name, token in TOKENS.items()
        )

    def current(self):
        return result.Success(
            messages.Configuration(
                ids.Version(len(self.documents)), self.documents[-1]
            )
        )

    def apply(self, change):
        self.apply_calls += 1
        if self.behaviour == 'refuse':
            return failure('no majority of members answers')
        if change.base_version != len(self.documents):
            return result.Success(self.conflict(change))
        self.documents.append(change.document)
        self.authors.append(change.operator)
        if self.behaviour == 'lose the response':
            raise ConnectionResetError
        if self.behaviour == 'time out':
            return failure('not in force in time', types.Outcome.UNKNOWN)
        return result.Success(
            messages.Applied(
                version=len(self.documents),
                nodes=(
                    messages.NodeActivation(id='n1', seconds=0.1),
                    messages.NodeActivation(id='n2', seconds=0.75),
                ),
            )
        )

    def keys(self, index):
        return tuple(
            item.key
            for item in difference.between(*self.documents[index - 1 :][:2])
        )

    def conflict(self, change):
        return messages.Conflict(
            version=len(self.documents),
            conflicts=tuple(
                messages.KeyConflict(key=key, author=self.authors[index])
                for index in range(change.base_version, len(self.documents))
                for key in self.keys(index)
            ),
        )

    def status(self):
        return self.state

    def history(self, limit):
        return result.Success(
            messages.History(
                versions=tuple(
                    messages.HistoryEntry(
                        version=index + 1,
                        author=self.authors[index],
                        at_wall_s=1_700_000_000.0,
                        keys=self.keys(index),
                    )
                    for index in range(len(self.documents) - 1, 0, -1)
                )[:limit]
            )
        )

    def drain(self, operator, host):
        if host not in {entry.id for entry in self.documents[-1].hosts}:
            return failure('no such host', kind=errors.FailureKind.NOT_FOUND)
        return result.Success(types.HostState.LEAVING)


def failure(
    detail,
    outcome=types.Outcome.NOT_RUN,
    kind=errors.FailureKind.UNAVAILABLE,
):
    step = errors.Step.PUBLISH_CONFIGURATION
    return result.Failure(errors.Failure(kind, step, '', detail, outcome))


@behave.given('a node with the example configuration')
def start_node(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    shutil.copytree(EXAMPLE, context.folder, dirs_exist_ok=True)
    for name, token in TOKENS.items():
        (context.folder / f'{name}.token').write_text(f'{token}\n')
    (context.folder / 'unknown.token').write_text('token-x')
    document = check.check_files(
        context.folder / 'mapping.yaml', context.folder / 'rules.yaml'
    ).unwrap()
    context.backend = MemoryBackend(document)

    @wrappers.Request.application
    def application(request):
        try:
            return api.handle(request, context.backend)
        except ConnectionResetError:
            # Otherwise the server would keep the connection open.
            request.environ['werkzeug.socket'].shutdown(socket.SHUT_RDWR)
            raise

    context.web_client = test.Client(application)
    server = serving.make_server('127.0.0.1', 0, application, threaded=True)
    server.RequestHandlerClass.log = lambda *_: None
    thread = threading.Thread(
        target=server.serve_forever, args=(0.02,), daemon=True
    )
    thread.start()
    context.add_cleanup(thread.join)
    context.add_cleanup(server.shutdown)
    context.node_addresses = f'127.0.0.1:{server.server_port}'


@behave.given('the node will {behaviour}')
def set_behaviour(context, behaviour):
    context.backend.behaviour = behaviour


@behave.given('a closed address comes first in the list of nodes')
def put_closed_address_first(context):
    context.node_addresses = f'{CLOSED_ADDRESS},{context.node_addresses}'


@behave.given('an unresponsive address comes first in the list of nodes')
def put_unresponsive_address_first(context):
    listener = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(listener.close)
    context.node_addresses = (
        f'127.0.0.1:{listener.getsockname()[1]},{context.node_addresses}'
    )


@behave.when('a change is sent with a timeout of {limit:f} s')
def send_change(context, limit):
    http_client = http.HttpClient()
    context.add_cleanup(http_client.close)
    operator_client = client.OperatorClient(
        http_client,
        context.node_addresses.split(','),
        TOKENS['r-campbell'],
        apply_timeout_s=limit,
    )
    context.answer = operator_client.apply(
        ids.Version(1), context.backend.documents[0]
    )


@behave.then('the outcome is unknown because of a timeout')
def check_unknown(context):
    found = context.answer.failure()
    assert found.outcome is types.Outcome.UNKNOWN, found
    assert found.kind is errors.FailureKind.TIMEOUT, found
    assert output.exit_code(found) is output.ExitCode.REFUSED


@behave.given('the node is listed twice')
def list_node_twice(context):
    context.node_addresses = (
        f'{context.node_addresses},{context.node_addresses}'
    )


@behave.given('only a closed address is in the list of nodes')
def use_closed_address_only(context):
    context.node_addresses = CLOSED_ADDRESS


@behave.given('"{old}" is replaced by "{new}" in the operator\'s {file}')
def replace_in_file(context, old, new, file):
    path = context.folder / file
    content = path.read_text()
    assert old in content
    path.write_text(content.replace(old, new))


def run(context, operator, line):
    parser = argparse.ArgumentParser()
    commands.add_parsers(
        parser.add_subparsers(required=True),
        lambda path: (problems.Problem(str(path), 3, 'ports', 'unknown'),),
    )
    arguments = [
        str(context.folder / word) if FILE_NAME.fullmatch(word) else word
        for word in line.split()
    ]
    if line.partition(' ')[0] != 'check':
        token = context.folder / f'{operator}.token'
        arguments += [
            '--node',
            context.node_addresses,
            '--token-file',
            str(token),
        ]
    stdout, stderr = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(stdout),
        contextlib.redirect_stderr(stderr),
    ):
        try:
            args = parser.parse_args(arguments)
            context.code = args.run(args)
        except SystemExit as system_exit:
            context.code = system_exit.code
    context.stdout, context.stderr = (
        stdout.getvalue(),
        stderr.getvalue(),
    )


@behave.when('{operator} runs "{line}"')
@behave.given('{operator} has run "{line}"')
def run_command(context, operator, line):
    run(context, operator, line)


@behave.then('the exit code is {code:d}')
def check_code(context, code):
    assert context.code == code, (
        context.code,
        context.stdout,
        context.stderr,
    )


@behave.then('it prints "{text}"')
def check_printed(context, text):
    assert text in context.stdout, (context.stdout, context.stderr)


@behave.then('it reports "{text}"')
def check_reported(context, text):
    assert text in context.stderr, (context.stdout, context.stderr)


@behave.then('its JSON has {path} = {value}')
def check_json(context, path, value):
    actual = json.loads(context.stdout)
    for part in path.split('.'):
        actual = actual[int(part) if part.isdigit() else part]
    assert actual == json.loads(value), actual


@behave.then('version {version:d} is current')
def check_version(context, version):
    assert len(context.backend.documents) == version


@behave.then('the change was sent {times:d} times')
def check_send_count(context, times):
    assert context.backend.apply_calls == times, context.backend.apply_calls


@behave.then('progress is printed only on a terminal')
def check_progress(context):
    for is_terminal in (True, False):
        stream = io.StringIO()
        stream.isatty = lambda answer=is_terminal: answer
        flushed = threading.Event()
        stream.flush = flushed.set
        with output.progress('waiting', stream):
            if is_terminal:
                assert flushed.wait(10)
        assert ('waiting: ' in stream.getvalue()) == is_terminal
