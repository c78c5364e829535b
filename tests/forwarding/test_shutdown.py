"""Tests that a graceful shutdown doesn't cut requests."""

from __future__ import annotations

import gevent
import pytest

from coltsfootarch.forwarding import daemon

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


def test_idle_connections_are_closed(stopping):
    caller = stopping.caller()
    caller.ask("/read/a")

    shutdown = start_shutdown(stopping)

    with gevent.Timeout(3):
        assert caller.read() is None
    shutdown.get(timeout=3)
