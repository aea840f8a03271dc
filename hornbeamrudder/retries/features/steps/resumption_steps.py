"""Steps for resumptions and the retry budget."""

import behave

from hornbeamrudder.retries import decide


@behave.when('an attempt fails after {tokens:d} tokens')
def fail_attempt(context, tokens):
    context.tokens = tokens


@behave.then('another attempt {needs} the budget')
def check_budget(context, needs):
    assert decide.needs_budget(context.tokens) is (needs == 'needs')
