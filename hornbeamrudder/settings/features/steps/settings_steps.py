"""Steps for loading settings files and reloading certificates."""

import http.client
import pathlib
import ssl
import tempfile

import behave
import hypothesis
from hypothesis import strategies
from returns import result
import trustme

from hornbeamrudder.entry import server
from hornbeamrudder.settings import certificates
from hornbeamrudder.settings import load
from hornbeamrudder.settings import schema

VALID_LINES = (
    'node_id: entry-1',
    'region: capitale-qc',
    'data_centre: levis-est',
    'listen: {ip: 127.0.0.1, port: 8080}',
    'peer_listen: {ip: 127.0.0.1, port: 8081}',
    'table: {ip: 127.0.0.1, port: 8082}',
    'peer_key_file: peer.key',
)


def temporary_directory(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    return pathlib.Path(directory.name)


@behave.given('a settings file with "{line}" as line {number:d}')
def settings_file(context, line, number):
    lines = list(VALID_LINES)
    lines.insert(number - 1, line)
    context.path = temporary_directory(context) / 'node.yaml'
    context.path.write_text('\n'.join(lines))


@behave.then('loading it reports line {number:d} and "{field}"')
def check_problem(context, number, field):
    match load.load(str(context.path), schema.NodeSettings):
        case result.Failure((problem,)):
            assert problem.line == number, problem
            assert problem.field.startswith(field), problem
            assert problem.reason
        case other:
            raise AssertionError(other)


@behave.then('loading arbitrary bytes returns settings or problems')
def check_arbitrary_bytes(context):
    path = temporary_directory(context) / 'node.yaml'
    text = strategies.lists(
        strategies.sampled_from(
            [
                *VALID_LINES,
                '- a',
                '? [b]',
                ' x: &a [*a]',
                '!!set {}',
                '\t',
                ': ',
            ]
        ),
        max_size=8,
    ).map(lambda lines: '\n'.join(lines).encode())

    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=150, database=None
    )
    @hypothesis.given(strategies.one_of(text, strategies.binary(max_size=200)))
    def check(content):
        path.write_bytes(content)
        found = load.load(str(path), schema.NodeSettings)
        assert isinstance(found, (result.Success, result.Failure))

    check()


def write_certificate_and_key(context, name):
    issued = context.authority.issue_cert(name)
    issued.cert_chain_pems[0].write_to_path(str(context.certificate))
    issued.private_key_pem.write_to_path(str(context.key))


def connect(context):
    client = ssl.create_default_context()
    context.authority.configure_trust(client)
    client.check_hostname = False
    connection = http.client.HTTPSConnection(
        context.server.address.ip,
        context.server.address.port,
        timeout=10,
        context=client,
    )
    connection.connect()
    return connection


def ok_application(environ, start_response):
    start_response('200 OK', [('Content-Length', '2')])
    return [b'ok']


@behave.given('a caller server with TLS and a certificate for "{name}"')
def tls_server(context, name):
    folder = temporary_directory(context)
    context.authority = trustme.CA()
    context.certificate = folder / 'certificate.pem'
    context.key = folder / 'key.pem'
    write_certificate_and_key(context, name)
    context.certificates = certificates.Certificates(
        schema.Tls(
            certificate_file=str(context.certificate),
            key_file=str(context.key),
        )
    )
    context.add_cleanup(context.certificates.close)
    context.server = server.CallerServer(
        ok_application,
        schema.Endpoint(ip='127.0.0.1', port=0),
        schema.Limits(threads=4),
        context.certificates.callers,
    )
    context.server.start()
    context.add_cleanup(context.server.stop)
    context.open_connection = connect(context)


@behave.when('the certificate is replaced by one for "{name}"')
def replace(context, name):
    write_certificate_and_key(context, name)
    assert context.certificates.reload_if_changed()


@behave.when('only the key is replaced')
def replace_key(context):
    issued = context.authority.issue_cert('two.example')
    issued.private_key_pem.write_to_path(str(context.key))
    assert not context.certificates.reload_if_changed()


@behave.then('a new connection receives the certificate for "{name}"')
def check_certificate(context, name):
    received = connect(context).sock.getpeercert()
    assert ('DNS', name) in received['subjectAltName'], received


@behave.then('a previously opened connection still works')
def check_open(context):
    context.open_connection.request('GET', '/')
    assert context.open_connection.getresponse().read() == b'ok'
