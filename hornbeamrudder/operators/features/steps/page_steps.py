"""Steps that check docs/OPERATIONS.md against the code."""

import ast
import pathlib
import re

import behave

from hornbeamrudder.telemetry import metrics

ROOT = pathlib.Path(__file__).resolve().parents[4]
PAGE = ROOT / 'docs/OPERATIONS.md'
LOGGERS = ('log', 'LOG', '_logger', 'logger', 'self._log')
LEVELS = ('debug', 'info', 'warning', 'error', 'exception', 'critical')


def parse_sources():
    for path in sorted((ROOT / 'hornbeamrudder').rglob('*.py')):
        if 'features' not in path.parts:
            yield ast.parse(path.read_text())


def calls_in(tree):
    return (item for item in ast.walk(tree) if isinstance(item, ast.Call))


@behave.then('docs/OPERATIONS.md documents every event that the code logs')
def check_events(context):
    events = set()
    for call in (item for tree in parse_sources() for item in calls_in(tree)):
        name, _, level = ast.unparse(call.func).rpartition('.')
        if name in LOGGERS and level in LEVELS:
            event = call.args[0]
            assert isinstance(event, ast.Constant), ast.unparse(call)
            events.add(event.value)
    assert len(events) > 25, events
    text = PAGE.read_text()
    missing = sorted(item for item in events if f'`{item}`' not in text)
    assert not missing, missing


@behave.then('docs/OPERATIONS.md documents every metric and gauge')
def check_metrics(context):
    rendered, _ = metrics.NodeMetrics().render(['text/plain'])
    names = set(re.findall(r'# HELP (\S+)', rendered.decode()))
    status = (ROOT / 'hornbeamrudder/entry/status.py').read_text()
    names |= set(re.findall(r"'name': '(\w+)'", status))
    for path in (ROOT / 'hornbeamrudder/peers').glob('*.py'):
        names |= set(
            re.findall(r"_counters\.add\(\s*'(\w+)'", path.read_text())
        )
    assert len(names) > 25, names
    text = PAGE.read_text()
    missing = sorted(item for item in names if f'`{item}`' not in text)
    assert not missing, missing
