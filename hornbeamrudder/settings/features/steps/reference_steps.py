"""Steps for the generated settings reference."""

import pathlib

import behave

from hornbeamrudder import cli
from hornbeamrudder.settings import reference
from hornbeamrudder.settings import schema

PAGE = pathlib.Path(__file__).resolve().parents[4] / 'docs/settings.md'


@behave.then(
    'docs/settings.md equals the output of `hornbeamrudder reference`'
)
def check_page(context):
    assert PAGE.read_text() == cli.settings_reference(), (
        'run hornbeamrudder reference > docs/settings.md'
    )


@behave.then('every key of the node settings has a description')
def check_descriptions(context):
    _, text_by_field = reference.read_docstring(
        schema.NodeSettings.model_json_schema()['description']
    )
    missing = set(schema.NodeSettings.model_fields) - text_by_field.keys()
    assert not missing, missing
