"""Tests that a graceful shutdown doesn't cut requests."""

from __future__ import annotations

import datetime
import types

import gevent
import gevent.monkey
import pytest

from coltsfootarch.forwarding import daemon
from coltsfootarch.http1 import client
from soak import checks

# Longest time from the signal until a host notices it.
LATEST_NOTICE_S = 0.2
SIZES = {"X_Token_Count": "1000,500"}


@pytest.fixture
def stopping(app, monkeypatch):
    """An entry host with a short shutdown."""
    monkeypatch.setattr(daemon, "DRAIN_S", 0.1)
    monkeypatch.setattr(daemon, "BALANCER_REMOVAL_S", 0.3)
    monkeypatch.setattr(daemon, "REFUSE_AFTER_S", 0.6)
    return app


def start_shutdown(edge_host):
    greenlet = gevent.spawn(edge_host.daemon.close)
    edge_host.daemon.close = lambda: None
    gevent.sleep(0.02)
    return greenlet


def test_stopping_host_is_not_ready_but_serves(stopping):
    caller = stopping.caller()
    caller.ask("/read/a")

    start_shutdown(stopping)

    assert not stopping.daemon.is_ready()
    assert caller.ask("/read/a", request_id="r2").status == 200
    assert stopping.ask("/read/a", request_id="r3").status == 200


def test_busy_connection_closes_after_a_response_only(stopping):
    caller = stopping.caller()
    shutdown = start_shutdown(stopping)
    last = None
    for number in range(1000):
        response = caller.ask("/read/a", request_id=f"r{number}")
        assert response is not None
        assert response.status == 200
        last = response
        if response.fields.get("connection") == "close":
            break
        gevent.sleep(0.01)

    assert last.fields["connection"] == "close"
    shutdown.get(timeout=5)


def test_request_in_progress_completes(stopping):
    for runner in stopping.runners.values():
        runner.work_s = 1.0
    pending = gevent.spawn(stopping.ask, "/book/a", "POST", b"x")
    gevent.sleep(0.05)

    shutdown = start_shutdown(stopping)

    assert pending.get(timeout=3).status == 200
    shutdown.get(timeout=3)


def test_late_request_is_refused_as_not_run(stopping):
    for runner in stopping.runners.values():
        runner.work_s = 1.5
    gevent.spawn(stopping.ask, "/book/a", "POST", b"x")
    gevent.sleep(0.05)
    start_shutdown(stopping)
    stopping.wait(lambda: stopping.daemon.forwarder.stopping)

    response = stopping.ask("/read/a", request_id="r2")

    assert (response.status, response.code) == (503, "stopping")
    assert "r2" not in str(stopping.runs())


def test_late_request_is_refused_between_two_polls(stopping, monkeypatch):
    """Guards against a request that is accepted too late to be answered."""
    monkeypatch.setattr(daemon, "POLL_S", 0.5)
    start_shutdown(stopping)
    gevent.sleep(0.65)

    response = stopping.ask("/read/a", request_id="r2")

    assert (response.status, response.code) == (503, "stopping")
    assert "r2" not in str(stopping.runs())


def test_requests_are_refused_before_they_must_be_answered():
    """Guards against a host that notices the signal late."""
    latest = checks.GRACE_START_S - LATEST_NOTICE_S
    assert daemon.BALANCER_REMOVAL_S < daemon.REFUSE_AFTER_S <= latest


def test_request_that_is_arriving_is_refused_as_not_run(stopping):
    """Guards against requests that are cut while a host reads them."""
    caller = stopping.caller()
    caller.ask("/read/a")
    shutdown = start_shutdown(stopping)
    gevent.sleep(0.1)
    caller.send_raw(
        b"POST /book/a HTTP/1.1\r\nHost: api.example\r\n"
        b"X-Request-Id: r2\r\nContent-Length: 4\r\n\r\nbo"
    )
    gevent.sleep(0.8)

    caller.send_raw(b"dy")

    response = caller.read()
    assert response is not None
    assert (response.status, response.code) == (503, "stopping")
    shutdown.get(timeout=5)


def test_idle_connections_are_closed(stopping):
    caller = stopping.caller()
    caller.ask("/read/a")

    shutdown = start_shutdown(stopping)

    with gevent.Timeout(3):
        assert caller.read() is None
    shutdown.get(timeout=3)


def shorten_grace(edge_host, seconds):
    settings = edge_host.daemon.settings
    grace = datetime.timedelta(seconds=seconds)
    edge_host.daemon.settings = settings._replace(
        limits=settings.limits._replace(grace=grace)
    )


@pytest.mark.parametrize(
    ("target", "method"), [("/book/a", "POST"), ("/read/a", "GET")]
)
@pytest.mark.parametrize("sent_after_signal", [True, False])
def test_call_that_outlasts_the_grace_period_gets_a_response(
    stopping, target, method, sent_after_signal
):
    """Guards against calls that are cut without a response at the end."""
    shorten_grace(stopping, 1.5)
    for runner in stopping.runners.values():
        runner.work_s = 3.0
    body = b"x" if method == "POST" else b""
    if sent_after_signal:
        shutdown = start_shutdown(stopping)
    pending = gevent.spawn(stopping.ask, target, method, body)
    stopping.wait(stopping.runs)
    if not sent_after_signal:
        shutdown = start_shutdown(stopping)

    response = pending.get(timeout=3)

    assert response.complete
    assert response.status in (502, 504)
    assert b"may have run" in response.body
    # An idempotent call is also sent to the second upstream, as the first one
    # takes so long.
    runs = 1 if method == "POST" else 2
    assert sum(map(len, stopping.runs().values())) == runs
    shutdown.get(timeout=3)


def test_request_that_waits_until_the_grace_period_ends_is_not_run(
    engines, monkeypatch
):
    """Guards against waiting requests that are cut, or sent at the end."""
    monkeypatch.setattr(daemon, "REFUSE_AFTER_S", 0.4)
    shorten_grace(engines, 1.2)
    for name in ("p-1", "d-1", "d-2"):
        engines.daemon.context.loads.add(name, 9000)
    engines.daemon.context.queue.backlog.remove_waiting("llm")
    pending = gevent.spawn(engines.ask, "/write/a", "POST", b"p", **SIZES)
    engines.wait(lambda: engines.daemon.context.queue.waiters)

    shutdown = start_shutdown(engines)
    response = pending.get(timeout=3)

    assert response.status == 503
    assert b"not run" in response.body
    assert not engines.runs()
    shutdown.get(timeout=3)


def test_upstream_is_not_given_more_time_than_the_grace_period(stopping):
    """Guards against work that goes on for a host that has stopped."""
    shorten_grace(stopping, 2.0)
    start_shutdown(stopping)

    stopping.ask("/read/a")

    (runs,) = [each.runs for each in stopping.runners.values() if each.runs]
    assert int(runs[0]["fields"]["x-deadline-ms"]) <= 2000


def test_request_that_arrives_as_the_host_ends_is_refused(stopping):
    """Guards against connections that nobody accepts or reads any more."""
    listener = stopping.daemon.caller_listener
    listen = client.split_address(stopping.daemon.settings.listen)
    callers = []

    def connect():
        # The event loop stands still meanwhile.
        caller = gevent.monkey.get_original("socket", "socket")()
        caller.connect(listen)
        callers.append(caller)

    def kill(acceptor=listener.acceptor):
        acceptor.kill()
        connect()
        for caller in callers:
            caller.send(
                b"GET /read/a HTTP/1.1\r\nHost: api.example\r\n"
                b"X-Request-Id: r1\r\n\r\n"
            )

    shutdown = start_shutdown(stopping)
    gevent.sleep(0.45)
    connect()
    listener.acceptor = types.SimpleNamespace(kill=kill)

    shutdown.get(timeout=5)

    assert len(callers) == 2
    for caller in callers:
        caller.settimeout(1.0)
        assert caller.recv(100).startswith(b"HTTP/1.1 503")
        caller.close()
