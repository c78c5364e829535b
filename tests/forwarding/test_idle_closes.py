"""Tests closes of idle connections beside changes of the idle timeout."""

from __future__ import annotations

import contextlib

import gevent
import pytest

from coltsfootarch.forwarding import recent_limits
from tests.platform import documents

SHORT_MS = 200
LONG_MS = 10_000


def change_idle_timeout(edge_host, version, idle_timeout_ms):
    document = documents.configuration(version=version)
    document["limits"]["idle_timeout_ms"] = idle_timeout_ms
    edge_host.configure(document)
    tracker = edge_host.daemon.policy_tracker
    edge_host.wait(lambda: tracker.version() == version)


@pytest.fixture
def short(app, monkeypatch):
    """A host on which a short idle timeout has been in force for long."""
    monkeypatch.setattr(recent_limits, "OVERLAP_S", 0.01)
    change_idle_timeout(app, 5, SHORT_MS)
    gevent.sleep(0.05)
    app.daemon.recent_limits.current()
    monkeypatch.setattr(recent_limits, "OVERLAP_S", 1.5)
    app.daemon.recent_limits.changed_at = float("-inf")
    return app


def test_idle_connection_closes_after_its_timeout(short):
    caller = short.caller()
    assert caller.ask("/read/a").status == 200

    with gevent.Timeout(4.5):
        assert caller.read() is None


def test_empty_lines_do_not_keep_a_connection_open(short):
    """Guards against connections that hold a descriptor and send no request."""
    caller = short.caller()
    assert caller.ask("/read/a").status == 200

    with gevent.Timeout(4.5), contextlib.suppress(ConnectionError):
        while True:
            caller.send_raw(b"\r\n")
            gevent.sleep(SHORT_MS / 4000)


def test_request_behind_an_empty_line_has_its_own_time(short):
    """Guards against a head whose time counts from a line before it."""
    caller = short.caller()
    caller.send_raw(b"\r\n")
    gevent.sleep(SHORT_MS / 2000)

    assert caller.ask("/read/a").status == 200


def test_idle_timeout_that_the_host_learns_later_holds(short, monkeypatch):
    """Guards against a close by a host that is behind its callers."""
    listener = short.daemon.caller_listener
    caller = short.caller()
    assert caller.ask("/read/a").status == 200
    await_policy = listener.await_policy

    def await_late_policy():
        change_idle_timeout(short, 9, LONG_MS)
        await_policy()

    monkeypatch.setattr(listener, "await_policy", await_late_policy)
    gevent.sleep(0.6)

    assert caller.ask("/read/a", request_id="r2").status == 200


def test_idle_timeout_that_held_for_a_moment_holds_for_its_callers(short):
    """Guards against a close while callers know a longer timeout."""
    caller = short.caller()
    assert caller.ask("/read/a").status == 200
    change_idle_timeout(short, 9, LONG_MS)
    change_idle_timeout(short, 12, SHORT_MS)
    gevent.sleep(0.6)

    assert caller.ask("/read/a", request_id="r2").status == 200


def test_idle_timeout_that_only_callers_have_read_holds(short):
    """Guards against a close by a host that has missed a version."""
    caller = short.caller()
    assert caller.ask("/read/a").status == 200
    change_idle_timeout(short, 12, SHORT_MS)
    gevent.sleep(0.6)

    assert caller.ask("/read/a", request_id="r2").status == 200


def test_idle_connection_closes_when_every_caller_knows_its_timeout(short):
    """Guards against connections that stay open for ever."""
    caller = short.caller()
    assert caller.ask("/read/a").status == 200
    change_idle_timeout(short, 12, SHORT_MS)

    with gevent.Timeout(4.5):
        assert caller.read() is None


def test_request_does_not_wait_for_a_policy_on_an_idle_connection(
    short, monkeypatch
):
    """Guards against a host that doesn't read while it awaits the policy."""
    awaited = []

    def await_policy():
        awaited.append(True)
        gevent.sleep(2.0)

    monkeypatch.setattr(
        short.daemon.caller_listener, "await_policy", await_policy
    )
    caller = short.caller()
    assert caller.ask("/read/a").status == 200
    short.wait(lambda: awaited)

    with gevent.Timeout(1.0):
        assert caller.ask("/read/a", request_id="r2").status == 200
