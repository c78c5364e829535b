"""Guards against invalid registers and settings that are accepted."""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch import results
from coltsfootarch.config import checker
from coltsfootarch.config import documentation
from coltsfootarch.config import parser
from coltsfootarch.config import register
from coltsfootarch.config import schema
from coltsfootarch.config import settings
from tests.config import documents

DOCUMENTATION_PAGE = documents.EXAMPLES.parent / "docs" / "configuration.md"


def problems_of(text):
    with pytest.raises(checker.InvalidDocumentError) as caught:
        parser.parse(text, "fleet.toml")
    return caught.value.problems


def test_prairie_example_has_expected_entries_and_rules():
    parsed = parser.parse(documents.PRAIRIE)

    assert len(parsed.availability_zones) == 4
    assert len(parsed.hosts) == 7
    roles = [upstream.role.value for upstream in parsed.upstreams.values()]
    counts = {role: roles.count(role) for role in set(roles)}
    assert counts == {"prefill": 2, "decode": 3, "plain": 4}
    assert parsed.upstreams["prefill-1"].link_rate == 1.25e9
    summarising = parsed.services["summarising"]
    assert summarising.first_token_target == datetime.timedelta(seconds=1.4)
    assert parsed.rules.calls[1] == register.CallRule(
        "loan-application", "POST", "/bookings", idempotent=False
    )


def test_tierra_segura_example_has_expected_entries_and_rules():
    text = (documents.EXAMPLES / "tierra-segura.toml").read_text()

    parsed = parser.parse(text)

    assert len(parsed.availability_zones) == 3
    assert len(parsed.hosts) == 7
    assert len(parsed.upstreams) == 9
    assert parsed.rules.calls[0].idempotent is False


@pytest.mark.parametrize(
    ("old", "new", "code", "table", "key", "expected_text"),
    [
        (
            "rate = 100",
            "rate = 100\nburts = 5",
            results.UNKNOWN_SETTING,
            '[[client_account]] "clinic"',
            "burts",
            'did you mean "burst"',
        ),
        (
            "[[host]]",
            "[[hots]]",
            results.UNKNOWN_SETTING,
            "",
            "hots",
            'did you mean "host"',
        ),
        (
            "rate = 100",
            'rate = "100"',
            results.WRONG_TYPE,
            '[[client_account]] "clinic"',
            "rate",
            "accepted: number from",
        ),
        (
            'kind = "plain"',
            'kind = "plane"',
            results.WRONG_VALUE,
            '[[service]] "loans"',
            "kind",
            'accepted: "model" or "plain"',
        ),
        (
            "[rules]",
            '[rules]\nqueue_timeout = "3 seconds"',
            results.WRONG_VALUE,
            "[rules]",
            "queue_timeout",
            "with a unit",
        ),
        (
            'availability_zone = "regina"',
            'availability_zone = "regnia"',
            results.DANGLING_REFERENCE,
            '[[host]] "regina-1"',
            "availability_zone",
            'did you mean "regina"?; accepted: brandon, regina',
        ),
        (
            "burst = 1000",
            "",
            results.MISSING_SETTING,
            '[[client_account]] "clinic"',
            "burst",
            "is required",
        ),
        (
            'name = "brandon-1"',
            'name = "regina-1"',
            results.DUPLICATE_ENTRY,
            '[[host]] "regina-1"',
            "name",
            "already used by",
        ),
        (
            'path_prefix = "/loans"',
            'path_prefix = "/loans"\nmodel = "m"',
            results.WRONG_VALUE,
            '[[service]] "loans"',
            "model",
            "not accepted with kind",
        ),
        (
            "[rules]",
            '[[rules.call]]\nservice = "loans"\nmethod = "POST"\n'
            'path = "/a"\nopen = true',
            results.WRONG_VALUE,
            "[rules] / [[rules.call]] #1",
            "open",
            "idempotent",
        ),
        ("[rules]", "[rules", results.INVALID_TOML, "", "", "line"),
        ("[rules]", "a = " + "[" * 5000, results.INVALID_TOML, "", "", "deep"),
    ],
)
def test_problem_is_reported_with_place_and_accepted_values(
    old, new, code, table, key, expected_text
):
    problems = problems_of(documents.small().replace(old, new, 1))

    found = [
        problem
        for problem in problems
        if problem[:4] == (code, "fleet.toml", table, key)
    ]
    assert found, problems
    assert expected_text in str(found[0])


def test_all_problems_are_reported_at_once():
    text = documents.small().replace("rate = 100", "rate = -1")
    text = text.replace('kind = "plain"', "kind = 7")

    codes = [problem.code for problem in problems_of(text)]

    assert sorted(code.number for code in codes) == [6002, 6003]


def test_errors_do_not_repeat_secrets():
    rules = 'resume_secret = "do-not-show-this"'

    problems = problems_of(documents.small(rules=rules))

    assert "do-not-show-this" not in str(problems)


@pytest.mark.parametrize(
    "table", [*schema.TABLES, *settings.TABLES], ids=lambda table: table.path
)
def test_documentation_matches_the_schema(table):
    assert documentation.section(table) in DOCUMENTATION_PAGE.read_text()


SETTINGS = """\
[gateway]
name = "regina-1"
availability_zone = "regina"
listen = "127.0.0.1:8001"
peer = "127.0.0.1:8002"
table_service = "127.0.0.1:8003"
object_store = "127.0.0.1:8004"
host_list = "127.0.0.1:8005"
"""


def test_settings_have_their_defaults():
    parsed = settings.parse(SETTINGS)

    assert parsed.lease.renew_interval == datetime.timedelta(seconds=2)
    assert parsed.lease.validity == datetime.timedelta(seconds=6)
    assert parsed.statsd == ""


def test_settings_refuse_a_lease_too_short_for_its_renewals():
    with pytest.raises(checker.InvalidDocumentError, match="twice"):
        settings.parse(f'{SETTINGS}[lease]\nvalidity = "4s"')


def test_settings_without_gateway_table_report_missing_keys():
    with pytest.raises(checker.InvalidDocumentError) as caught:
        settings.parse("[lease]\n")

    keys = {problem.key for problem in caught.value.problems}
    assert {"name", "listen", "peer", "table_service"} <= keys
