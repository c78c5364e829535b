"""Tests a host that lacks memory for calls on open sockets."""

from __future__ import annotations

import errno

import gevent
import pytest

from coltsfootarch.http1 import client
from tests.fakes import short_socket

CODES = [errno.ENOMEM, errno.ENOBUFS]
ALWAYS = 1_000_000
SIZES = {"X_Token_Count": "1000,500"}


def host_socket(app, failures, code=errno.ENOMEM):
    """Lets calls on the host's end of the only caller's connection fail."""
    listener = app.daemon.caller_listener
    app.wait(lambda: len(listener.connections) == 1)
    (connection,) = listener.connections
    return short_socket.ShortSocket(connection.sock, failures, code)


@pytest.mark.parametrize("code", CODES)
@pytest.mark.parametrize("call", ["recv", "send"])
def test_request_is_answered_after_a_shortage(app, code, call):
    """Guards against a caller's connection that is closed for a local error."""
    caller = app.caller()
    assert caller.ask("/read/a").status == 200
    host_socket(app, {call: 3}, code)

    assert caller.ask("/read/a", request_id="r2").status == 200


@pytest.mark.parametrize("code", CODES)
def test_shortage_does_not_cancel_a_request(app, code):
    """Guards against a local error that is taken for a disconnect."""
    for runner in app.runners.values():
        runner.work_s = 0.4
    caller = app.caller()
    sock = host_socket(app, {}, code)
    caller.send("/read/a")
    app.wait(lambda: app.daemon.forwarder.in_progress)
    sock.failures["recv"] = 3

    # The bytes that follow make the host read while it handles the request.
    caller.send("/read/a", request_id="r2")

    assert caller.read().status == 200
    assert not sock.failures["recv"]
    assert caller.read().status == 200


def test_caller_that_leaves_during_a_shortage_is_noticed(app):
    for runner in app.runners.values():
        runner.work_s = 4.0
    caller = app.caller()
    sock = host_socket(app, {})
    caller.send("/read/a")
    app.wait(lambda: app.daemon.forwarder.in_progress)
    sock.failures["recv"] = 3
    caller.close()

    with gevent.Timeout(2.0):
        app.wait(lambda: not app.daemon.forwarder.in_progress)


def test_request_that_can_not_be_read_in_time_is_refused(app, monkeypatch):
    """Guards against a request that ends by a silent close."""
    caller = app.caller()
    caller.send_raw(b"GET /read/a HTTP/1.1\r\nX-Request-Id: r1\r\n")
    listener = app.daemon.caller_listener
    app.wait(lambda: any(e.reader.in_progress for e in listener.connections))
    limits = listener.limits()._replace(header_timeout_s=0.3)
    monkeypatch.setattr(listener, "limits", lambda: limits)
    host_socket(app, {"recv": ALWAYS})

    caller.send_raw(b"Host: api.example\r\n")

    response = caller.read()
    assert (response.status, response.code) == (503, "overloaded")
    expected = 'caller_closes_total{reason="no-memory"} 1.0'
    app.wait(lambda: expected in app.daemon.render_metrics().decode())


def break_upstreams(edge_host, monkeypatch, failures, pass_first=0):
    """Lets calls on new connections to upstreams fail."""
    edge_host.daemon.context.connections.close()
    start = client.Connection.start

    def start_short(self, timeout):
        start(self, timeout)
        short_socket.ShortSocket(self.sock, failures, pass_first=pass_first)

    monkeypatch.setattr(client.Connection, "start", start_short)


@pytest.fixture
def recorded(engines, monkeypatch):
    """Outcomes that were recorded for upstreams."""
    engines.add_runner("i-1", "app")
    directory = engines.daemon.upstreams
    engines.wait(lambda: "i-1" in directory.upstreams)
    outcomes = []
    monkeypatch.setattr(
        engines.daemon.context.outcome_tracker,
        "record",
        lambda *values: outcomes.append(values),
    )
    return outcomes


@pytest.mark.parametrize("target", ["/book/a", "/read/a", "/write/a"])
def test_request_that_can_not_be_sent_is_refused(
    engines, monkeypatch, recorded, target
):
    """Guards against sound upstreams that are blamed for a local error."""
    break_upstreams(engines, monkeypatch, {"send": ALWAYS})

    response = engines.ask(target, "POST", b"p", **SIZES)

    assert (response.status, response.code) == (503, "overloaded")
    assert not recorded


@pytest.mark.parametrize("target", ["/book/a", "/read/a", "/write/a"])
@pytest.mark.parametrize("call", ["recv", "send"])
def test_request_is_answered_after_a_shortage_at_upstreams(
    engines, monkeypatch, recorded, target, call
):
    break_upstreams(engines, monkeypatch, {call: 3})

    assert engines.ask(target, "POST", b"p", **SIZES).status == 200


@pytest.mark.parametrize("target", ["/book/a", "/read/a", "/write/a"])
def test_upstreams_are_not_blamed_for_answers_that_can_not_be_read(
    engines, monkeypatch, recorded, target
):
    break_upstreams(engines, monkeypatch, {"recv": ALWAYS})

    response = engines.ask(target, "POST", b"p", X_Deadline_Ms="1500", **SIZES)

    assert response.status in (503, 504)
    gevent.sleep(0.1)
    assert not recorded
