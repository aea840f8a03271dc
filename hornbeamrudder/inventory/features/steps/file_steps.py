"""Steps for register and rules files."""

import pathlib
import random
import shutil
import tempfile

import behave
import hypothesis
from hypothesis import strategies
from returns import pipeline

from hornbeamrudder.inventory import check
from hornbeamrudder.inventory import difference
from hornbeamrudder.inventory import files
from hornbeamrudder.inventory import records
from hornbeamrudder.inventory import schema

EXAMPLES = pathlib.Path(__file__).resolve().parents[4] / 'examples'


def copy_example(firm):
    folder = tempfile.TemporaryDirectory()
    shutil.copytree(EXAMPLES / firm, folder.name, dirs_exist_ok=True)
    return folder


def check_folder(folder):
    path = pathlib.Path(folder)
    return check.check_files(path / 'mapping.yaml', path / 'rules.yaml')


def replace(context, file, old, new):
    path = pathlib.Path(context.folder) / file
    content = path.read_text()
    assert old in content, (file, old)
    new = new.replace('\\n', '\n')
    if file == 'rules.yaml' and '&a' in new:
        content = content.replace('{standard', '*a #')
    if '"workshop' in new:
        content = content.rstrip()
    encoding = 'latin-1' if '\\xff' in new else 'utf-8'
    new = new.replace('\\xff', '\xff')
    path.write_bytes(content.replace(old, new, 1).encode(encoding))


@behave.given('a copy of the example "{firm}"')
def example(context, firm):
    folder = copy_example(firm)
    context.add_cleanup(folder.cleanup)
    context.folder = folder.name


@behave.when('the files are checked')
def check_all(context):
    context.checked = check_folder(context.folder)


@behave.when('these texts are replaced')
def replace_texts(context):
    for row in context.table:
        replace(context, row['file'], row['old'], row['new'])


@behave.when('"{old}" is replaced by "{new}" in {file}')
def replace_text(context, old, new, file):
    replace(context, file, old, new)


@behave.when('{file} grows above the size limit')
def exceed_size_limit(context, file):
    with (pathlib.Path(context.folder) / file).open('ab') as stream:
        stream.write(b'\n' * (files.MAX_FILE_BYTES + 1))


@behave.when('{file} gets one row too many')
def add_rows(context, file):
    with (pathlib.Path(context.folder) / file).open('a') as stream:
        stream.write('a,b,1,\n' * (records.MAX_ROWS - 4))


@behave.then('the only problem is at {file}')
def check_only_file(context, file):
    actual = context.checked.failure()
    if file == 'mapping.yaml':
        file = 'absent.csv'
    assert [pathlib.Path(item.file).name for item in actual] == [file], actual


@behave.then(
    'the document has {hosts:d} hosts, {workers:d} workers,'
    ' {services:d} services and {accounts:d} accounts'
)
def check_counts(context, hosts, workers, services, accounts):
    document = context.checked.unwrap()
    actual = (
        len(document.hosts),
        len(document.workers_by_id),
        len(document.services),
        len(document.accounts),
    )
    assert actual == (hosts, workers, services, accounts), actual


@behave.then(
    'worker {worker} costs {price:f} an hour and checks fencing: {fencing}'
)
def check_worker_price(context, worker, price, fencing):
    document = context.checked.unwrap()
    actual = document.workers_by_id[worker]
    host = next(host for host in document.hosts if host.id == actual.host)
    assert host.price_per_hour == price
    assert actual.checks_fencing == (fencing == 'yes')


@behave.then('exactly these problems are found')
def check_problems(context):
    actual = context.checked.failure()
    expected = [tuple(row) for row in context.table]
    text = '\n'.join(str(problem) for problem in actual)
    for file, line, field, reason in expected:
        assert any(
            pathlib.Path(problem.file).name == file
            and problem.line == int(line)
            and problem.field == field
            and reason in problem.reason
            for problem in actual
        ), (file, line, field, reason, text)
    assert len(actual) == len(expected), text


@behave.then(
    'the first problem is at {file} line {line:d}, field {field}: {reason}'
)
def check_first(context, file, line, field, reason):
    actual = context.checked.failure()
    first = actual[0]
    text = '\n'.join(str(problem) for problem in actual)
    assert pathlib.Path(first.file).name == file, text
    assert first.line == line, text
    assert first.field == field, text
    assert reason in first.reason, text


@behave.when('only the rules are checked against the document')
def check_rules(context):
    context.changed_document = check.check_change(
        context.checked.unwrap(),
        None,
        pathlib.Path(context.folder) / 'rules.yaml',
    ).unwrap()


@behave.then('the difference is')
def check_difference(context):
    old = context.checked.unwrap()
    changes = difference.between(old, context.changed_document)
    assert difference.format_changes(changes) == context.text, changes
    assert context.changed_document.hosts == old.hosts
    assert difference.between(old, old) == ()
    difference_json = difference.to_json(changes)
    assert [item['change'] for item in difference_json] == [
        'removed',
        'added',
        'changed',
    ]


@behave.then(
    'arbitrary and modified files give a document or complete problems'
)
def check_arbitrary_files(context):
    with (
        copy_example('beaudoin') as first,
        copy_example('blue-mahoe') as second,
    ):
        paths = sorted(
            path
            for folder in (first, second)
            for path in pathlib.Path(folder).glob('*.[cy]*')
        )
        check_arbitrary_content(paths)


def check_arbitrary_content(paths):
    content_by_path = {path: path.read_bytes() for path in paths}

    def check_with(path, content):
        path.write_bytes(content)
        try:
            checked = check_folder(path.parent)
        finally:
            path.write_bytes(content_by_path[path])
        if pipeline.is_successful(checked):
            assert schema.parse_document(schema.to_json(checked.unwrap()))
            return
        assert checked.failure()
        for problem in checked.failure():
            assert problem.file and problem.line >= 1, problem
            assert problem.field and problem.reason, problem

    settings = hypothesis.settings(
        max_examples=250, derandomize=True, deadline=None, database=None
    )

    @settings
    @hypothesis.given(
        strategies.sampled_from(paths),
        strategies.binary(max_size=60)
        | strategies.text(
            alphabet='-: []{}&*!|>\'"%@#,;\n\tab0.~?', max_size=40
        ).map(str.encode),
    )
    def arbitrary(path, content):
        check_with(path, content)

    @settings
    @hypothesis.given(
        strategies.sampled_from(paths),
        strategies.integers(0, 2**32),
        strategies.binary(max_size=6)
        | strategies.sampled_from([b'"', b'\n', b',', b': ', b'[', b'\0']),
    )
    def modified(path, seed, replacement):
        content = bytearray(content_by_path[path])
        rng = random.Random(seed)
        start = rng.randrange(len(content))
        content[start : start + rng.randrange(12)] = replacement
        check_with(path, bytes(content))

    arbitrary()
    modified()
