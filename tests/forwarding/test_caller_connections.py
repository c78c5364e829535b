"""Tests when callers' connections are closed, and how the log tells it."""

from __future__ import annotations

import gevent
import gevent.monkey
import pytest
import structlog

from coltsfootarch.fleet import policy
from coltsfootarch.forwarding import caller_connection
from coltsfootarch.forwarding import disconnect_watch
from tests.platform import documents

CLOSED = "connection of caller closed"
CLOSED_UNANSWERED = "connection of caller closed with a request unanswered"


@pytest.fixture
def logs():
    """The log lines that are written during a test."""
    with structlog.testing.capture_logs() as lines:
        yield lines


@pytest.fixture
def limits(app, monkeypatch):
    """Returns a function that changes the limits of the host."""

    def change(**values):
        current = policy.CallerLimits(**values)
        listener = app.daemon.caller_listener
        monkeypatch.setattr(listener, "limits", lambda: current)

    return change


def closes(logs):
    events = (CLOSED, CLOSED_UNANSWERED)
    return [line for line in logs if line["event"] in events]


def test_close_for_idleness_is_logged_with_its_reason(
    app, limits, logs, monkeypatch
):
    """Guards against closes by the host that leave no trace."""
    monkeypatch.setattr(caller_connection, "IDLE_TIMEOUT_FACTOR", 1.0)
    limits(idle_timeout_s=0.1)
    caller = app.caller()
    caller.ask("/read/a")

    assert caller.read() is None

    (line,) = closes(logs)
    assert line["event"] == CLOSED
    assert (line["reason"], line["served"]) == ("idle-timeout", 1)
    assert line["idle_ms"] >= 100


def test_close_within_a_request_is_a_warning_with_its_id(app, logs):
    """Guards against requests that end without a trace in any log."""
    caller = app.caller()
    caller.send_raw(
        b"POST /book/a HTTP/1.1\r\nHost: api.example\r\n"
        b"X-Request-Id: half\r\nContent-Length: 9\r\n\r\nabc"
    )
    listener = app.daemon.caller_listener
    app.wait(lambda: any(each.reader.in_body for each in listener.connections))

    listener.close()

    (line,) = closes(logs)
    assert line["event"] == CLOSED_UNANSWERED
    assert line["log_level"] == "warning"
    assert (line["reason"], line["unanswered"]) == ("shutdown", ["half"])


@pytest.mark.parametrize("announced", [True, False])
def test_regular_close_is_only_counted(app, logs, announced):
    """Guards against a log line for each connection of a caller."""
    caller = app.caller()
    if announced:
        caller.ask("/read/a", Connection="close")
    else:
        caller.ask("/read/a")
        caller.close()
    app.wait(lambda: not app.daemon.caller_listener.connections)

    assert not closes(logs)
    reason = "announced" if announced else "caller-closed"
    expected = f'caller_closes_total{{reason="{reason}"}} 1.0'
    assert expected in app.daemon.render_metrics().decode()


# Larger than one read of the host.
BODY_BYTES = 200_000
REQUEST = (
    b"POST /read/a HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: r2\r\n"
    b"X-Deadline-Ms: 4000\r\nContent-Length: %d\r\n"
    b"Authorization: Bearer %b\r\n\r\n%b"
) % (BODY_BYTES, documents.KEY.encode(), b"b" * BODY_BYTES)


def send_during_pause(caller, data, seconds):
    """Sends while the whole process, the host included, stands still."""
    assert caller.sock._sock.send(data) == len(data)
    gevent.monkey.get_original("time", "sleep")(seconds)


@pytest.mark.parametrize("first", [0, 10, len(REQUEST) - 2])
def test_request_that_arrives_during_a_pause_is_answered(
    app, limits, monkeypatch, first
):
    """Guards against timers that fire before the sockets are read."""
    monkeypatch.setattr(caller_connection, "IDLE_TIMEOUT_FACTOR", 1.0)
    limits(idle_timeout_s=0.15, header_timeout_s=0.15)
    caller = app.caller()
    caller.ask("/read/a")
    caller.send_raw(REQUEST[:first])
    gevent.sleep(0.05)

    send_during_pause(caller, REQUEST[first:], 0.3)

    response = caller.read()
    assert response is not None
    assert response.status == 200


def test_idle_connection_with_a_request_that_arrived_is_not_closed(app, limits):
    """Guards against a drain that closes a connection with unread bytes."""
    limits()
    caller = app.caller()
    caller.ask("/read/a")

    send_during_pause(caller, REQUEST, 0.05)
    app.daemon.caller_listener.close_idle(0.0)

    response = caller.read()
    assert response is not None
    assert response.status == 200


@pytest.mark.parametrize("limit", ["body_bytes", "header_bytes"])
def test_refusal_reaches_a_caller_that_is_still_sending(
    app, limits, logs, limit
):
    """Guards against a reset that discards the refusal."""
    limits(**{limit: 100})
    caller = app.caller()

    for start in range(0, len(REQUEST), 10_000):
        caller.send_raw(REQUEST[start : start + 10_000])
        gevent.sleep(0.005)

    response = caller.read()
    assert response is not None
    assert response.status in (413, 431)
    caller.close()
    app.wait(lambda: closes(logs))
    assert "too-large" in closes(logs)[0]["reason"]


@pytest.mark.parametrize("size", [0, 12_000])
def test_pipelined_requests_are_parsed_when_it_is_their_turn(app, size):
    """Guards against callers that fill the host with requests sent ahead."""
    for runner in app.runners.values():
        runner.work_s = 0.005
    request = (
        b"POST /read/a HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: r\r\n"
        b"Authorization: Bearer %b\r\nContent-Length: %d\r\n\r\n%b"
    ) % (documents.KEY.encode(), size, b"a" * size)
    caller = app.caller()
    requests = request * (2_000_000 // len(request))
    sender = gevent.spawn(caller.send_raw, requests)
    listener = app.daemon.caller_listener
    app.wait(lambda: listener.connections)
    (connection,) = listener.connections
    largest = 0
    for _ in range(100):
        gevent.sleep(0.005)
        parsed = len(connection.reader.complete) * len(request)
        largest = max(largest, parsed + len(connection.pipelined))

    sender.kill()
    assert connection.served > 1
    assert largest <= (
        disconnect_watch.MAX_PIPELINED_BYTES
        + caller_connection.PARSED_BYTES
        + len(request)
    )


def test_pipelined_requests_beyond_the_buffer_are_read_whole(app, limits):
    """Guards against bytes that are lost where the host stops to read."""
    limits()
    for runner in app.runners.values():
        runner.work_s = 0.1
    caller = app.caller()
    sender = gevent.spawn(caller.send_raw, REQUEST * 5)

    responses = [caller.read() for _ in range(5)]

    sender.join()
    assert [response.status for response in responses] == [200] * 5
    runs = [run for runner in app.runners.values() for run in runner.runs]
    assert [len(run["body"]) for run in runs] == [BODY_BYTES] * 5


BOOKING = (
    b"POST /book/a HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: r1\r\n"
    b"Authorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1\r\nx\r\n0\r\n"
) % documents.KEY.encode()


def test_booking_whose_trailers_are_refused_has_not_run(app, limits):
    """Guards against a refused request that an upstream executes."""
    limits(header_bytes=1000)
    caller = app.caller()
    caller.send_raw(BOOKING + b"a:b\r\n" * 1000 + b"\r\n")

    assert caller.read().status == 431

    assert not [run for runner in app.runners.values() for run in runner.runs]


def test_trailers_change_no_field_that_is_forwarded(app, limits):
    """Guards against a field behind the body that passes for one before it."""
    limits()
    caller = app.caller()
    caller.send_raw(BOOKING + b"X-Model: other\r\nA: b\r\n\r\n")

    assert caller.read().status == 200

    (run,) = (run for runner in app.runners.values() for run in runner.runs)
    assert run["body"] == "x"
    assert "x-model" not in run["fields"]


def test_connection_with_unparsed_bytes_is_not_idle(app, monkeypatch):
    """Guards against a close for idleness behind a request that was read."""
    listener = app.daemon.caller_listener
    caller = app.caller()
    app.wait(lambda: listener.connections)
    (connection,) = listener.connections
    idle = []
    monkeypatch.setattr(
        connection.turn,
        "share",
        lambda: idle.append(connection.idle and len(connection.pipelined) > 0),
    )

    assert caller.ask("/read/a").status == 200

    assert idle
    assert not any(idle)
