"""Deployment of the failure tests, shared by scenarios that keep it whole."""

import re

from hornbeamrudder.entry.features import trial

SEED = 7


def before_all(context):
    """Leave the start to the first scenario that needs processes."""
    context.trials = []


def before_scenario(context, scenario):
    """Name the scenario's keys; scenarios without processes need none."""
    context.trial = None
    if 'processes' not in scenario.effective_tags:
        return
    if not context.trials:
        context.trials.append(trial.Trial(SEED))
    context.trial = context.trials[0]
    context.trial.begin(re.sub('[^a-z0-9]+', '-', scenario.name.lower()))


def after_scenario(context, scenario):
    """Discard a deployment that the scenario has taken apart."""
    spoilt = 'spoils' in scenario.effective_tags
    if context.trials and (spoilt or scenario.status.name != 'passed'):
        _show_logs(context.trial, scenario)
        context.trials.pop().close()


def after_all(context):
    """End the last deployment."""
    while context.trials:
        context.trials.pop().close()


def _show_logs(item, scenario):
    if scenario.status.name == 'passed' or item is None:
        return
    for name in item.running.node_names:
        print(f'--- {name}\n{item.processes.log_text(name)[-6000:]}')
