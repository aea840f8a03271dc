"""Starts a deployment for the feature that uses one."""

import pathlib
import tempfile

from hornbeamrudder.bench import deployment
from hornbeamrudder.bench import local
from hornbeamrudder.infrastructure import http

PLAN = deployment.Plan(
    region='jm-south',
    data_centres=('kingston-a', 'kingston-b'),
    nodes=3,
    model_service='quill-llm',
    model='quill-8b',
    engines=2,
    plain_service='ledger-app',
    services=1,
    tokens_by_account={'first': 'token-of-account-first'},
    rules={},
)


def before_feature(context, feature):
    """Start the deployment; it is stopped after the feature."""
    if not feature.filename.endswith('deployment.feature'):
        return
    scratch = tempfile.TemporaryDirectory()
    context.add_cleanup(scratch.cleanup)
    context.folder = pathlib.Path(scratch.name)
    processes = local.LocalProcesses(context.folder / 'processes')
    context.add_cleanup(processes.stop_all)
    client = http.HttpClient('operators')
    context.add_cleanup(client.close)
    context.deployment = deployment.Deployment(PLAN, processes, client)
    context.deployment.start()
