"""Tests requests that callers send before the response to another one."""

from __future__ import annotations

import gevent
import pytest

from coltsfootarch.forwarding import daemon
from tests.platform import documents

HEAD = (
    "{method} {path} HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: {id}\r\n"
    "X-Deadline-Ms: 4000\r\nAuthorization: Bearer {key}\r\n{extra}\r\n"
)


def head(request_id, path="/read/a", method="GET", extra=""):
    """Returns the head of a request."""
    text = HEAD.format(
        id=request_id,
        path=path,
        method=method,
        extra=extra,
        key=documents.KEY,
    )
    return text.encode()


@pytest.fixture
def stopping(app, monkeypatch):
    """An entry host with a short shutdown."""
    monkeypatch.setattr(daemon, "DRAIN_S", 0.1)
    monkeypatch.setattr(daemon, "BALANCER_REMOVAL_S", 0.3)
    monkeypatch.setattr(daemon, "REFUSE_AFTER_S", 3.0)
    return app


def test_requests_read_whole_before_a_drain_are_all_answered(stopping):
    """Guards against requests that are read and dropped behind a close."""
    for runner in stopping.runners.values():
        runner.work_s = 0.3
    caller = stopping.caller()
    caller.send_raw(head("r1") + head("r2"))
    stopping.wait(stopping.runs)
    shutdown = gevent.spawn(stopping.daemon.close)
    stopping.daemon.close = lambda: None

    first, second = caller.read(), caller.read()

    assert first.status == 200
    assert second is not None
    assert second.status in (200, 503)
    shutdown.get(timeout=8)


def test_too_long_body_behind_another_request_is_refused_as_such(app):
    """Guards against a refusal for its body that says it is malformed."""
    for runner in app.runners.values():
        runner.work_s = 0.2
    caller = app.caller()
    body = b"b" * 100_000
    extra = f"Content-Length: {len(body)}\r\n"
    caller.send_raw(head("r1") + head("r2", "/book/a", "POST", extra))
    app.wait(app.runs)
    caller.send_raw(body)

    assert caller.read().status == 200
    refusal = caller.read()
    assert refusal is not None
    assert refusal.status == 413


def receive_until(caller, text):
    """Receives bytes until a text has arrived."""
    received = b""
    with gevent.Timeout(2.0):
        while text not in received:
            received += caller.sock.recv(1000)


def test_expectation_behind_another_request_is_met(app):
    """Guards against a caller that waits for leave to send its body."""
    for runner in app.runners.values():
        runner.work_s = 0.2
    caller = app.caller()
    extra = "Content-Length: 4\r\nExpect: 100-continue\r\n"
    caller.send_raw(head("r1") + head("r2", "/book/a", "POST", extra))

    receive_until(caller, b"HTTP/1.1 100 ")
    caller.send_raw(b"body")
    receive_until(caller, b"to r2")
