"""Tests checks of routes, keys, limits and framing before forwarding."""

from __future__ import annotations

import datetime

import gevent
import msgspec
import pytest

from coltsfootarch.forwarding import forwarder
from tests.platform import documents

CONFIRMATION = datetime.timedelta(seconds=1)


@pytest.mark.parametrize(
    ("target", "fields", "status", "code"),
    [
        ("/none/a", {}, 404, "unknown-route"),
        ("/read/a", {"Host": "other.example"}, 404, "unknown-route"),
        ("/read/a", {"Authorization": ""}, 401, "missing-key"),
        ("/read/a", {"Authorization": "Bearer wrong"}, 401, "invalid-key"),
        ("/read/a", {"Authorization": "Basic abc"}, 401, "missing-key"),
    ],
)
def test_request_without_route_or_valid_key_is_refused(
    app, target, fields, status, code
):
    response = app.ask(target, **fields)

    assert (response.status, response.code) == (status, code)
    assert not app.runs()


def test_public_route_needs_no_key_and_sends_no_account(app):
    response = app.ask("/open/a", Authorization="", X_Tenant="acme")

    assert response.status == 200
    (runs,) = [runner.runs for runner in app.runners.values() if runner.runs]
    assert "x-tenant" not in runs[0]["fields"]


def test_withdrawn_key_is_refused(app):
    document = documents.configuration(2)
    document["tenants"][0]["api_keys"] = ["another"]
    caller = app.caller()
    assert caller.ask("/read/a").status == 200

    app.configure(document)
    app.wait(lambda: app.daemon.policy_tracker.policy.version == 2)

    assert caller.ask("/read/a").status == 401


def test_unconfirmed_keys_are_refused_and_public_routes_served(
    edge_host, monkeypatch
):
    monkeypatch.setattr(forwarder, "CONFIRMATION_WAIT_S", 0.05)
    edge_host.add_runner("i-1", "app")
    edge_host.start(key_confirmation=CONFIRMATION)
    assert edge_host.ask("/read/a").status == 200

    edge_host.store.mode = "busy"
    edge_host.store.server.close_connections()
    limit = CONFIRMATION.total_seconds()
    edge_host.wait(lambda: edge_host.daemon.policy_tracker.age() > limit)

    refused = edge_host.ask("/read/a", request_id="r2")
    assert (refused.status, refused.code) == (503, "key-unconfirmed")
    assert edge_host.ask("/open/a", request_id="r3").status == 200
    assert not edge_host.daemon.is_ready()
    assert edge_host.runs() == {"i-1": ["r1", "r3"]}

    edge_host.store.mode = "serve"
    edge_host.wait(edge_host.daemon.is_ready)
    assert edge_host.ask("/read/a", request_id="r4").status == 200


def test_account_over_its_rate_limit_gets_retry_after(edge_host):
    document = documents.configuration()
    document["tenants"][0].update(rate_per_s=1000, burst=1000)
    edge_host.configure(document)
    edge_host.add_runner("i-1", "app")
    edge_host.start()

    statuses = [
        edge_host.ask("/read/a", request_id=f"r{number}").status
        for number in range(12)
    ]

    assert 10 <= statuses.count(200) <= 11
    last = edge_host.ask("/read/a", X_Token_Count="400,200")
    assert (last.status, last.code) == (429, "rate-exceeded")
    assert 0.3 < float(last.fields["retry-after"]) <= 0.7


def test_tokens_of_refused_request_are_refunded(edge_host):
    document = documents.configuration()
    document["tenants"][0].update(rate_per_s=1, burst=50, plain_tokens=50)
    edge_host.configure(document)
    edge_host.add_runner("i-1", "app", fault="full")
    edge_host.start()

    statuses = [edge_host.ask("/read/a").status for _ in range(3)]

    assert statuses == [503, 503, 503]


def test_changed_route_applies_to_open_connections(app):
    app.add_runner("n-1", "new")
    app.wait(lambda: app.daemon.upstreams.is_serving("n-1"))
    caller = app.caller()
    caller.ask("/read/a")
    changed_route = documents.route("read", "/read/", "idempotent", "new")

    app.configure(documents.configuration(2, routes=[changed_route]))
    app.wait(lambda: app.daemon.policy_tracker.policy.version == 2)
    caller.ask("/read/a", request_id="r2")

    assert app.runs()["n-1"] == ["r2"]


def test_unreadable_configuration_keeps_the_active_one(app):
    app.store.put("op", "config", b"not a document")
    gevent.sleep(0.1)

    assert app.ask("/read/a").status == 200


MALFORMED = {
    "space before the colon": b"Transfer-Encoding : chunked\r\n"
    b"Content-Length: 3\r\n\r\nabc",
    "two framings": b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"
    b"\r\n0\r\n\r\n",
    "two lengths": b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "folded line": b"X-A: a\r\n b\r\nContent-Length: 3\r\n\r\nabc",
    "control character": b"X-A: a\0b\r\nContent-Length: 3\r\n\r\nabc",
    "signed length": b"Content-Length: +3\r\n\r\nabc",
    "unknown coding": b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_framing_is_refused_and_not_forwarded(app, name):
    caller = app.caller()
    caller.send_raw(
        b"POST /open/a HTTP/1.1\r\nHost: api.example\r\n" + MALFORMED[name]
    )

    response = caller.read()

    assert response.status == 400
    assert not app.runs()
    assert caller.read() is None


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /open/a HTTP/1.1\r\nX-Long: " + b"a" * 9000 + b"\r\n\r\n", 431),
        (b"POST /open/a HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", 413),
        (b"GET /open/a HTTP/1.1\r\nHost: api", 408),
    ],
)
def test_oversized_and_slow_requests_are_refused(app, data, status):
    caller = app.caller()

    caller.send_raw(data)

    assert caller.read().status == status


def test_idle_connection_is_closed_after_the_timeout(edge_host):
    document = documents.configuration()
    document["limits"]["idle_timeout_ms"] = 200
    edge_host.configure(document)
    edge_host.add_runner("i-1", "app")
    edge_host.start()
    caller = edge_host.caller()
    assert caller.ask("/read/a").status == 200

    with gevent.Timeout(2):
        assert caller.read() is None


def test_readiness_and_metrics_endpoints(app):
    ready = app.daemon.settings.ready
    metrics = app.daemon.settings.metrics
    app.ask("/read/a")

    def get(address, path):
        caller = app.caller()
        caller.close()
        caller.__init__(address)
        return caller.ask(path)

    assert get(ready, "/api/readyz").status == 200
    assert get(ready, "/other").status == 404
    text = get(metrics, "/metrics").body.decode()
    assert 'requests_total{result="answered",service="app"} 1.0' in text
    app.daemon.stopping.set()
    assert get(ready, "/api/readyz").status == 503


def test_refusal_contains_code_execution_and_request_id(app):
    document = msgspec.json.decode(app.ask("/none/a").body)

    assert document["code"] == 1004
    assert document["execution"] == "not run"
    assert document["request_id"] == "r1"
