"""Tests requests that can't be read because of an unexpected error."""

from __future__ import annotations

import socket
import struct

import pytest
import structlog

from coltsfootarch.forwarding import disconnect_watch
from coltsfootarch.forwarding import limited_reader
from tests.platform import documents

# Resets the connection when it is closed.
LINGER_0 = struct.pack("ii", 1, 0)
REQUEST = (
    b"POST /read/a HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: %b\r\n"
    b"Authorization: Bearer " + documents.KEY.encode() + b"\r\n"
    b"Content-Length: 4\r\n\r\n%b"
)


@pytest.fixture
def logs():
    """The log lines that are written during a test."""
    with structlog.testing.capture_logs() as lines:
        yield lines


def lines_of(logs, event):
    return [line for line in logs if line["event"] == event]


def fail(*arguments):
    raise KeyError("unexpected")


@pytest.fixture
def broken_body(monkeypatch):
    """Lets the reader fail at bodies that begin with "bad"."""
    read = limited_reader.LimitedReader.on_body

    def on_body(self, data):
        if data.startswith(b"bad"):
            fail()
        read(self, data)

    monkeypatch.setattr(limited_reader.LimitedReader, "on_body", on_body)


def test_request_that_can_not_be_read_is_refused(app, logs, broken_body):
    """Guards against a close without an answer."""
    caller = app.caller()

    caller.send_raw(REQUEST % (b"r1", b"bad."))

    response = caller.read()
    assert (response.status, response.code) == (503, "request-not-read")
    (line,) = lines_of(logs, "request not read")
    assert line["request_id"] == "r1"
    caller.close()
    app.wait(lambda: lines_of(logs, "connection of caller closed"))
    assert lines_of(logs, "connection of caller closed")[0]["reason"] == "error"


def test_whole_requests_before_an_unexpected_error_are_answered(
    app, broken_body
):
    """Guards against a request that is lost by the one after it."""
    caller = app.caller()

    caller.send_raw(REQUEST % (b"r1", b"good") + REQUEST % (b"r2", b"bad."))

    assert caller.read().status == 200
    assert caller.read().status == 503


def test_pipelined_request_that_can_not_be_read_is_refused(app, broken_body):
    for runner in app.runners.values():
        runner.work_s = 0.3
    caller = app.caller()
    caller.send_raw(REQUEST % (b"r1", b"good"))
    app.wait(lambda: app.daemon.forwarder.in_progress)

    caller.send_raw(REQUEST % (b"r2", b"good") + REQUEST % (b"r3", b"bad."))

    statuses = [caller.read().status for _ in range(3)]
    assert statuses == [200, 200, 503]


def test_error_of_the_wait_for_a_policy_is_a_refusal(app, monkeypatch):
    """Guards against a close because no newer limit could be had."""
    listener = app.daemon.caller_listener
    limits = listener.limits()._replace(body_bytes=2)
    monkeypatch.setattr(listener, "limits", lambda: limits)
    monkeypatch.setattr(listener, "await_policy", fail)
    caller = app.caller()

    caller.send_raw(REQUEST % (b"r1", b"good"))

    assert caller.read().status == 503


def test_request_whose_id_can_not_be_read_is_answered(app, logs, monkeypatch):
    """Guards against an error outside of the handling of a request."""
    monkeypatch.setattr(app.daemon.caller_listener, "request_id", fail)

    assert app.ask("/read/a").status == 200
    assert lines_of(logs, "request id not read")


def test_error_before_the_handling_of_a_request_is_answered(app, monkeypatch):
    caller = app.caller()
    monkeypatch.setattr(disconnect_watch.DisconnectWatch, "start", fail)

    response = caller.ask("/read/a")

    assert (response.status, response.code) == (500, "internal-error")


def test_close_goes_on_if_it_can_not_be_reported(app, logs, monkeypatch):
    """Guards against a socket that stays open."""
    monkeypatch.setattr(app.daemon.caller_listener, "count_close", fail)
    caller = app.caller()

    assert caller.ask("/read/a", Connection="close").status == 200

    assert caller.sock.recv(1) == b""
    event = "close of a caller's connection not reported"
    app.wait(lambda: lines_of(logs, event))
    app.wait(lambda: not app.daemon.caller_listener.connections)


def test_connection_that_can_not_be_set_up_is_closed(app, logs, monkeypatch):
    listener = app.daemon.caller_listener
    with monkeypatch.context() as patch:
        patch.setattr(listener, "limits", fail)
        assert app.caller().read() is None

    assert lines_of(logs, "caller connection failed")
    assert app.ask("/read/a").status == 200


def test_reset_within_a_request_is_logged_with_its_error(app, logs):
    """Guards against closes whose cause is not known."""
    caller = app.caller()
    caller.send_raw(REQUEST[:40])
    listener = app.daemon.caller_listener
    app.wait(lambda: any(e.reader.in_progress for e in listener.connections))
    reset(caller.sock)

    event = "connection of caller closed with a request unanswered"
    app.wait(lambda: lines_of(logs, event))
    line = lines_of(logs, event)[0]
    assert line["reason"] == "socket-error"
    assert "reset" in line["error"]


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
    sock.close()
