"""Guards against wrong routes.

A wrong route may repeat a non-idempotent call, admit a call without a key, or
send a call to another path than the one that the rules were applied to.
"""

from __future__ import annotations

import pytest

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.config import parser
from coltsfootarch.config import routes
from tests.config import documents

RULES = """
[[rules.call]]
service = "loan-application"
method = "GET"
path = "/public/*"
open = true
[[rules.call]]
service = "loan-application"
method = "*"
path = "/public/late"
idempotent = false
[[rules.call]]
service = "loan-application"
method = "GET"
path = "/receipts/print"
idempotent = false
"""


@pytest.fixture
def table():
    return routes.RouteTable(parser.parse(documents.PRAIRIE + RULES))


@pytest.mark.parametrize(
    ("method", "path", "relative_path", "idempotent", "is_open"),
    [
        ("GET", "/loans/returns", "/returns", True, False),
        ("HEAD", "/loans", "/", True, False),
        ("OPTIONS", "/loans/", "/", True, False),
        ("PUT", "/loans/x", "/x", False, False),
        ("post", "/loans/bookings", "/bookings", False, False),
        ("POST", "/loans/stock/check", "/stock/check", True, False),
        ("GET", "/loans/public/late", "/public/late", True, True),
        ("POST", "/loans/public/late", "/public/late", False, False),
        ("GET", "/loans/receipts/print/", "/receipts/print/", False, False),
        ("GET", "/loans/%72eceipts/print", "/%72eceipts/print", False, False),
        ("GET", "/loans/b%20c", "/b%20c", True, False),
    ],
)
def test_call_follows_its_first_rule_or_method(
    table, method, path, relative_path, idempotent, is_open
):
    route = table.match(method, path)

    assert route.service.name == "loan-application"
    assert (route.path, route.idempotent, route.open) == (
        relative_path,
        idempotent,
        is_open,
    )
    assert route.max_attempts == (3 if idempotent else 1)


def test_completion_goes_to_the_service_of_its_model(table):
    route = table.match("POST", "/v1/completions", "loan-summary")

    assert route.service.name == "summarising"
    assert route.idempotent


@pytest.mark.parametrize("model", [None, "", "loan-summary-2"])
def test_unconfigured_models_are_unknown(table, model):
    with pytest.raises(errors.RefusedError) as caught:
        table.match("POST", "/v1/completions", model)

    assert caught.value.code == results.UNKNOWN_MODEL


@pytest.mark.parametrize(
    "path",
    [
        "",
        "/",
        "loans/x",
        "/loansx",
        "/other",
        "/loans/../other",
        "/loans/./x",
        "/loans/%2e%2e/x",
        "/loans/.%2E/x",
        "/loans/..;a=b/x",
        "/loans//x",
        "//loans/x",
        "/loans/a%2fb",
        "/loans/a%252Fb",
        "/loans/a%5cb",
        "/loans/a\\b",
        "/loans/a%00",
        "/loans/a%zz",
        "/loans/a%ff",
        "/loans/a?x=1",
        "/loans/a\n",
        "/loans/é",
        "/v1/other",
        "http://other/loans/x",
    ],
)
def test_unconfigured_and_ambiguous_paths_are_unknown(table, path):
    with pytest.raises(errors.RefusedError) as caught:
        table.match("GET", path)

    assert caught.value.code == results.UNKNOWN_ROUTE


def test_longest_prefix_wins():
    text = documents.small() + (
        '[[service]]\nname = "deep"\nkind = "plain"\n'
        'path_prefix = "/loans/deep"\n'
    )
    table = routes.RouteTable(parser.parse(text))

    assert table.match("GET", "/loans/deep/x").service.name == "deep"
    assert table.match("GET", "/loans/deeper").service.name == "loans"
