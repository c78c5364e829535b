"""Tests how requests that were read end, and how the logs tell it."""

from __future__ import annotations

import errno
import types

import gevent
import pytest
import structlog

from coltsfootarch.forwarding import caller_connection
from coltsfootarch.forwarding import listener as listeners
from coltsfootarch.forwarding import responder
from coltsfootarch.http1 import messages
from tests.platform import documents

SIZES = {"X_Token_Count": "1000,500"}


@pytest.fixture
def logs():
    """The log lines that are written during a test."""
    with structlog.testing.capture_logs() as lines:
        yield lines


def lines_of(logs, event):
    return [line for line in logs if line["event"] == event]


def wait_line(edge_host, logs, event):
    edge_host.wait(lambda: lines_of(logs, event))
    return lines_of(logs, event)[0]


def test_stream_that_was_cut_is_not_logged_as_answered(engines, logs):
    """Guards against cut streams that look like success in log and metric."""
    for name in ("d-1", "d-2"):
        engines.runners[name].fault = "crash"

    response = engines.ask("/write/a", "POST", b"p", **SIZES)

    assert not response.complete
    line = wait_line(engines, logs, "request ended")
    assert line["result"] == "cut"
    text = engines.daemon.render_metrics().decode()
    assert 'requests_total{result="cut",service="llm"} 1.0' in text


def test_answered_request_is_logged_as_answered(engines, logs):
    engines.ask("/write/a", "POST", b"p", **SIZES)

    assert wait_line(engines, logs, "request ended")["result"] == "answered"


def fail(error):
    """Returns a function that raises an error."""

    def raise_error(*arguments, **values):
        raise error

    return raise_error


@pytest.mark.parametrize(
    "error", [OSError(errno.EIO, "local"), MemoryError(), gevent.Timeout()]
)
def test_unexpected_error_gets_a_response(app, logs, monkeypatch, error):
    """Guards against requests that end by a silent close."""
    pipeline = app.daemon.forwarder.call_pipeline
    caller = app.caller()
    with monkeypatch.context() as patch:
        patch.setattr(pipeline, "run", fail(error))
        response = caller.ask("/read/a")

    assert (response.status, response.code) == (500, "internal-error")
    assert lines_of(logs, "request failed")
    assert caller.ask("/read/a", request_id="r2").status == 200


def test_request_that_can_not_be_decoded_gets_a_response(
    app, logs, monkeypatch
):
    protocol = app.daemon.forwarder.protocol
    monkeypatch.setattr(
        type(protocol), "decode", fail(ValueError("field")), raising=True
    )

    response = app.ask("/read/a")

    assert (response.status, response.code) == (400, "malformed-request")
    assert lines_of(logs, "request not decoded")[0]["request_id"] == "r1"


@pytest.mark.parametrize("deadline", ["inf", "nan", "-inf"])
def test_deadline_that_is_no_time_does_not_end_the_connection(app, deadline):
    """Guards against a number that can't be logged after the response."""
    caller = app.caller()

    for number in range(2):
        response = caller.ask(
            "/read/a", request_id=f"r{number}", X_Deadline_Ms=deadline
        )
        assert response.status == 200


def test_error_that_leaves_the_handler_gets_a_response(app, logs, monkeypatch):
    handler = app.daemon.forwarder
    monkeypatch.setattr(handler, "handle", fail(RuntimeError("handler")))

    response = app.ask("/read/a")

    assert (response.status, response.code) == (500, "internal-error")
    assert lines_of(logs, "handling of a request failed")


def test_request_is_answered_though_its_caller_can_not_be_watched(
    app, monkeypatch
):
    hub = types.SimpleNamespace(
        loop=types.SimpleNamespace(io=fail(OSError(errno.ENOMEM, "memory")))
    )
    module = types.SimpleNamespace(get_hub=lambda: hub, Timeout=gevent.Timeout)
    monkeypatch.setattr(caller_connection, "gevent", module)

    assert app.ask("/read/a").status == 200


def test_response_that_can_not_be_written_is_replaced(app, monkeypatch):
    """Guards against an abort before anything was sent."""
    calls = []

    def render(line, fields):
        calls.append(line)
        if len(calls) == 1:
            raise UnicodeEncodeError("latin-1", "x", 0, 1, "field")
        return messages.render_head(line, fields)

    module = types.SimpleNamespace(
        render_head=render, status_line=messages.status_line
    )
    monkeypatch.setattr(responder, "messages", module)

    assert app.ask("/read/a").status == 500


def test_whole_request_before_malformed_bytes_is_answered(app):
    """Guards against a request lost by what follows it."""
    caller = app.caller()
    caller.send_raw(
        b"GET /read/a HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: r1\r\n"
        b"Authorization: Bearer " + documents.KEY.encode() + b"\r\n\r\n"
        b"no request\r\n\r\n"
    )

    assert caller.read().status == 200
    assert caller.read().status == 400


def test_host_accepts_connections_after_an_error(app, logs, monkeypatch):
    """Guards against a host that runs and accepts nobody."""
    listener = app.daemon.caller_listener
    errors = [MemoryError(), OSError(errno.EMFILE, "files")]
    serve = listener.serve

    def spawn(function, *arguments):
        if function == serve and errors:
            arguments[0].close()
            raise errors.pop()
        return gevent.spawn(function, *arguments)

    module = types.SimpleNamespace(spawn=spawn, sleep=gevent.sleep)
    monkeypatch.setattr(listeners, "gevent", module)
    for _ in range(2):
        assert app.caller().read() is None

    assert app.ask("/read/a").status == 200
    assert len(lines_of(logs, "connection not accepted")) == 2
