"""Guards against invalid settings that are accepted."""

from __future__ import annotations

import datetime
import pathlib

import pytest

from coltsfootarch import results
from coltsfootarch.config import checker
from coltsfootarch.config import edge_settings

VALID = """
[edge]
name = "edge-regina-1"
availability_zone = "regina"
listen = "10.1.0.3:8360"
ready = "10.1.0.3:8365"
reports = "10.1.0.3:7500"
store = "10.200.1.7:8361"

[limits]
retry_ratio = 0.2
retry_minimum = 54
retry_window = "10s"
rate_slack = 110000
grace = "8s"
key_confirmation = "5000ms"
"""
TEMPLATE = pathlib.Path("deploy/settings.toml.template")


def test_values_are_converted_to_their_units():
    parsed = edge_settings.parse(VALID)

    assert parsed.name == "edge-regina-1"
    assert parsed.limits.key_confirmation == datetime.timedelta(seconds=5)
    assert parsed.limits.retry_minimum == 54.0
    assert parsed.metrics == ""


def test_limits_may_be_left_out():
    parsed = edge_settings.parse(VALID.partition("[limits]")[0])

    assert parsed.limits == edge_settings.Limits()


@pytest.mark.parametrize(
    ("old", "new", "code", "place"),
    [
        ('listen = "10.1.0.3:8360"', "", results.MISSING_SETTING, "listen"),
        ("10.200.1.7:8361", "store:8361", results.WRONG_VALUE, "store"),
        ('"8s"', "8", results.WRONG_TYPE, "grace"),
        ('"10s"', '"10"', results.WRONG_VALUE, "retry_window"),
        ("retry_ratio", "retry_ration", results.UNKNOWN_SETTING, "retry_ratio"),
        ("= 0.2", '= "0.2"', results.WRONG_TYPE, "retry_ratio"),
        ("[edge]", "[edge", results.INVALID_TOML, ""),
    ],
)
def test_errors_are_numbered_and_name_the_key(old, new, code, place):
    with pytest.raises(checker.InvalidDocumentError) as caught:
        edge_settings.parse(VALID.replace(old, new), "edge.toml")

    message = str(caught.value)
    assert str(code.number) in message
    assert "edge.toml" in message
    assert place in message


def test_template_names_every_required_setting():
    text = (pathlib.Path(__file__).parents[2] / TEMPLATE).read_text()

    for table in edge_settings.TABLES:
        assert f"[{table.path}]" in text
        for field in table.fields:
            if field.required:
                assert f"\n{field.key} = " in text
