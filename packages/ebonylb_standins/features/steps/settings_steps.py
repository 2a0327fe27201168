"""Steps on settings files."""

import tempfile

from behave import given, then, when

from ebonylb.settings import load_settings


@given('a settings file with the unknown key "{key}" on line 2')
def write_settings(context, key):
    with tempfile.NamedTemporaryFile("w", suffix=".jsonc", delete=False) as file:
        file.write(f'{{\n  "{key}": 1 // a typing mistake\n}}\n')
    context.path = file.name


@when("the settings are loaded")
def read_settings(context):
    context.result = load_settings(context.path)


@then('they are refused with "{text}"')
def check_refusal(context, text):
    assert text in str(context.result.err_value), context.result
