"""Guards against configurations that are misread or that stop a host."""

from __future__ import annotations

import pytest

from coltsfootarch.fleet import policy
from coltsfootarch.platform import configuration
from coltsfootarch.platform import decoding
from tests.platform import documents


def decode(document):
    return configuration.decode(documents.encoded(document))


def test_units_and_kinds_are_converted():
    decoded = decode(documents.configuration(version=7))

    route = decoded.find_route("api.example", "/write/a")
    assert decoded.version == 7
    assert route.repeat is policy.Repeat.STREAM
    assert (route.timeout_s, route.objective_s) == (4.0, 0.9)
    assert route.event_gap_s == 0.3
    assert decoded.services["llm"].engine.prefill_result_lifetime_s == 0.5
    assert decoded.services["app"].engine is None
    assert decoded.find_account(documents.KEY).name == "acme"
    assert decoded.limits.idle_timeout_s == 5.0


def test_weighted_services_become_targets():
    weighted = [
        {"service": "app", "weight": 90},
        {"service": "llm", "weight": 10},
    ]
    route = documents.route(
        "r", "/r/", "idempotent", None, weighted_services=weighted
    )
    del route["service"]

    decoded = decode(documents.configuration(routes=[route]))

    assert decoded.routes[0].targets == (
        policy.Target("app", 90.0),
        policy.Target("llm", 10.0),
    )


@pytest.mark.parametrize(
    "document",
    [
        [],
        {},
        {"version": "7"},
        documents.configuration(routes=3),
        documents.configuration(routes=["r"]),
        documents.configuration(
            routes=[documents.route("r", "/r/", "sometimes", "app")]
        ),
        documents.configuration(
            routes=[documents.route("r", "/r/", "idempotent", 4)]
        ),
        documents.configuration(tenants=[{"name": "a", "api_keys": [1]}]),
    ],
)
def test_documents_with_an_invalid_part_are_refused(document):
    with pytest.raises(decoding.UnreadableDocumentError):
        decode(document)


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"{", b"[1"])
def test_bytes_that_are_no_json_object_are_refused(value):
    with pytest.raises(decoding.UnreadableDocumentError):
        configuration.decode(value)


def test_unknown_fields_are_ignored():
    document = documents.configuration(later="field")
    document["routes"][0]["colour"] = "blue"

    assert decode(document).routes[0].name == "read"
