"""Guards against requests that a graceful stop cuts."""

from __future__ import annotations

import gevent
import pytest

from coltsfootarch.forwarding import daemon

SIZES = {"X_Token_Count": "1000,500"}


@pytest.fixture
def stopping(app, monkeypatch):
    """A host with short times for its stop."""
    monkeypatch.setattr(daemon, "DRAIN_S", 0.1)
    monkeypatch.setattr(daemon, "ROTATION_S", 0.3)
    monkeypatch.setattr(daemon, "REFUSAL_S", 0.6)
    return app


def stop(fleet):
    greenlet = gevent.spawn(fleet.daemon.close)
    fleet.daemon.close = lambda: None
    gevent.sleep(0.02)
    return greenlet


def test_host_that_stops_is_not_ready_and_still_serves(stopping):
    caller = stopping.caller()
    caller.ask("/read/a")

    stop(stopping)

    assert not stopping.daemon.is_ready()
    assert caller.ask("/read/a", request_id="r2").status == 200
    assert stopping.ask("/read/a", request_id="r3").status == 200


def test_busy_connection_ends_with_an_answer_and_not_before(stopping):
    caller = stopping.caller()
    stopped = stop(stopping)
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
    stopped.get(timeout=5)


def test_request_in_progress_is_finished(stopping):
    for found in stopping.runners.values():
        found.work_s = 1.0
    asked = gevent.spawn(stopping.ask, "/book/a", "POST", b"x")
    gevent.sleep(0.05)

    stopped = stop(stopping)

    assert asked.get(timeout=3).status == 200
    stopped.get(timeout=3)


def test_request_that_comes_too_late_is_refused_as_not_run(stopping):
    for found in stopping.runners.values():
        found.work_s = 1.5
    gevent.spawn(stopping.ask, "/book/a", "POST", b"x")
    gevent.sleep(0.05)
    stop(stopping)
    stopping.wait(lambda: stopping.daemon.forwarder.stopping)

    response = stopping.ask("/read/a", request_id="r2")

    assert (response.status, response.code) == (503, "stopping")
    assert "r2" not in str(stopping.runs())


def test_idle_connections_are_closed(stopping):
    caller = stopping.caller()
    caller.ask("/read/a")

    stopped = stop(stopping)

    with gevent.Timeout(3):
        assert caller.read() is None
    stopped.get(timeout=3)
