"""Life cycle of the deployment that the failure scenarios share."""

import re

from hornbeamrudder.entry.features import harness

SEED = 7


def before_all(context):
    """Prepare for a deployment that the first `@processes` scenario starts."""
    context.harnesses = []


def before_scenario(context, scenario):
    """Start a deployment if there is none and begin the scenario."""
    context.harness = None
    if 'processes' not in scenario.effective_tags:
        return
    if not context.harnesses:
        context.harnesses.append(harness.Harness(SEED))
    context.harness = context.harnesses[0]
    context.harness.begin_scenario(
        re.sub('[^a-z0-9]+', '-', scenario.name.lower())
    )


def after_scenario(context, scenario):
    """Discard a deployment with processes that the scenario has stopped.

    A deployment is also discarded after a failed scenario.
    """
    discard = 'discards_deployment' in scenario.effective_tags
    if context.harnesses and (discard or scenario.status.name != 'passed'):
        _show_logs(context.harness, scenario)
        context.harnesses.pop().close()


def after_all(context):
    """Stop the remaining deployment."""
    while context.harnesses:
        context.harnesses.pop().close()


def _show_logs(harness, scenario):
    if scenario.status.name == 'passed' or harness is None:
        return
    for name in harness.running.node_names:
        print(f'--- {name}\n{harness.processes.log_text(name)[-6000:]}')
