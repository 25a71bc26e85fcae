import json
import string
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from rhubarbpaddle.cli.client_settings import ClientSettings
from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.configuration.text import check_text
from rhubarbpaddle.exceptions import ConfigurationError, SettingsError
from rhubarbpaddle.node.settings import NodeSettings

CONFIGURATION_TEXT = """{
  // The services.
  "services": {
    "lanes": { "slots": 6 },
    "reservas": { "depends_on": ["lanes"] }
  },
  /* zones */
  "availability_zones": { "costa-a": { "in_service": true } },
  "tenants": { "club-norte": { "weight": 2 } }
}"""
SETTINGS_TEXT = """{
  "cluster": "test",
  "secret": "s",
  "node_id": "lanes-1",
  "host": "host-1",
  "availability_zone": "costa-a",
  "caller_address": "127.0.0.1:4100",
  "peer_address": "127.0.0.1:4101",
  "admin_address": "127.0.0.1:4102",
  "log_address": "127.0.0.1:4000",
  "log_level": "info"
}"""


@given('a configuration text with "{old}" replaced by "{new}"')
def step_create_text(context: Context, old: str, new: str) -> None:
    assert old in CONFIGURATION_TEXT, old
    context.configuration_text = CONFIGURATION_TEXT.replace(old, new)


@given('"{old}" is replaced by "{new}" in it')
def step_replace_in_text(context: Context, old: str, new: str) -> None:
    context.configuration_text = context.configuration_text.replace(old, new)


@when("the text is validated")
def step_validate(context: Context) -> None:
    context.errors = context.warnings = ()
    try:
        context.warnings = check_text(context.configuration_text).warnings
    except ConfigurationError as exc:
        context.errors = exc.problems


@then('it is invalid with "{error}"')
def step_text_invalid(context: Context, error: str) -> None:
    assert any(error in e for e in context.errors), context.errors


@then("{count:d} errors are found")
def step_error_count(context: Context, count: int) -> None:
    assert len(context.errors) == count, context.errors


@then('it is valid with the warning "{warning}"')
def step_valid_with_warning(context: Context, warning: str) -> None:
    assert not context.errors, context.errors
    assert any(warning in w for w in context.warnings), context.warnings


@then("validation of random texts raises only ConfigurationError")
def step_random_texts(context: Context) -> None:
    names = "services availability_zones tenants lanes depends_on slots region"
    keys = st.sampled_from(names.split())
    scalars = st.none() | st.booleans() | st.integers() | st.floats()
    documents = st.recursive(
        scalars | keys | st.text(),
        lambda values: st.lists(values) | st.dictionaries(keys, values),
    ).map(json.dumps)
    alphabet = '{}[]:,"\\/*\n -.0123eE\ud800' + string.ascii_lowercase
    edits = st.tuples(
        st.integers(0, len(CONFIGURATION_TEXT)),
        st.integers(0, 20),
        st.text(st.sampled_from(alphabet)),
    ).map(
        lambda e: (
            CONFIGURATION_TEXT[: e[0]]
            + e[2]
            + CONFIGURATION_TEXT[e[0] + e[1] :]
        )
    )

    @hypothesis_settings(max_examples=300)
    @hypothesis_given(
        documents
        | edits
        | st.text()
        | st.sampled_from(
            [
                "[" * 2_000,
                f"{CONFIGURATION_TEXT}// \ud800",
                CONFIGURATION_TEXT + " " * 300_000,
            ]
        )
    )
    def check(text: str) -> None:
        try:
            AcceptedConfiguration.from_text(1, text, 0)
        except ConfigurationError as exc:
            assert exc.problems

    check()


@given('a node\'s settings with "{old}" replaced by "{new}"')
def step_create_settings(context: Context, old: str, new: str) -> None:
    assert old in SETTINGS_TEXT, old
    context.settings_text = SETTINGS_TEXT.replace(old, new)


@then('the settings are invalid with "{error}"')
def step_settings_invalid(context: Context, error: str) -> None:
    try:
        NodeSettings.from_config(context.settings_text)
    except SettingsError as exc:
        assert error in exc.detail, exc.detail
        assert "\n" not in exc.detail
    else:
        raise AssertionError("the settings were accepted")


@then('the configuration text "{path}" is valid without a warning')
def step_valid_without_warning(context: Context, path: str) -> None:
    assert not check_text(Path(path).read_text(encoding="utf-8")).warnings


@then('the settings "{path}" are valid for a node')
def step_valid_node_settings(context: Context, path: str) -> None:
    NodeSettings.from_file(Path(path))


@then('the settings "{path}" are valid for a client')
def step_valid_client_settings(context: Context, path: str) -> None:
    assert ClientSettings.from_file(Path(path)).log_address
