"""Steps for the simulation of placement policies."""

import behave

from hornbeamrudder.fleet import measure

INDEX_BY_NAME = {
    policy.name: index for index, policy in enumerate(measure.POLICIES)
}


@behave.given('runs of 1 hour with seeds 1 and 2')
def run_policies(context):
    context.runs_by_policy = {
        name: [measure.run_policy(index, seed, 1.0) for seed in (1, 2)]
        for name, index in INDEX_BY_NAME.items()
        if name != 'no on-demand'
    }


def keeps_urgent_slots(context, name):
    return all(
        run.slots_after_loss >= run.urgent_slots_required_at_loss > 0
        for run in context.runs_by_policy[name]
    )


@behave.then('the policy "{name}" keeps the urgent slots after a zone loss')
def check_kept(context, name):
    assert keeps_urgent_slots(context, name)


@behave.then('the policy "{name}" does not')
def check_not_kept(context, name):
    assert not keeps_urgent_slots(context, name)


@behave.then('the policy "{name}" costs less than the policy "{other}"')
def check_cost(context, name, other):
    costs = [
        sum(run.cost for run in context.runs_by_policy[key])
        for key in (name, other)
    ]
    assert costs[0] < costs[1], costs


@behave.then('two runs with seed {seed:d} give the same results')
def check_same(_context, seed):
    index = INDEX_BY_NAME['placement']
    first, second = (measure.run_policy(index, seed, 0.2) for _ in range(2))
    assert first == second, (first, second)
