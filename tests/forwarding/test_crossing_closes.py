"""Tests requests that arrive while a host closes their connection."""

from __future__ import annotations

import gevent
import gevent.monkey
import gevent.threadpool
import pytest
import structlog

from coltsfootarch.fleet import policy
from coltsfootarch.forwarding import caller_connection
from coltsfootarch.forwarding import close_reasons
from coltsfootarch.http1 import client
from tests.platform import documents

CALLERS = 24
IDLE_S = 0.2
# Time between the requests of two callers, around the close.
STEP_S = 0.0005
REQUEST = (
    b"GET /read/a HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: %b\r\n"
    b"X-Deadline-Ms: 4000\r\nAuthorization: Bearer "
    + documents.KEY.encode()
    + b"\r\n\r\n"
)


def original(module, name):
    return gevent.monkey.get_original(module, name)


def ask(sock, request_id):
    """Returns the first bytes of the response; none after a close."""
    try:
        sock.sendall(REQUEST % request_id.encode())
        return sock.recv(65536)
    except OSError:
        return b""


def use_twice(address, name, started, delay_s):
    """Asks, and asks again at an instant; runs in a thread."""
    with original("socket", "socket")() as sock:
        sock.settimeout(5.0)
        sock.connect(client.split_address(address))
        first = ask(sock, f"{name}-1")
        started.append(name)
        original("time", "sleep")(delay_s)
        return first, ask(sock, f"{name}-2")


def drain(listener):
    listener.close_idle(0.0)


def replace(listener):
    while listener.close_longest_idle():
        pass


def shut_down(listener):
    for connection in tuple(listener.connections):
        if connection.idle:
            connection.close(close_reasons.CloseReason.SHUTDOWN)


def wait_for_timer(listener):
    pass


@pytest.mark.parametrize("close", [drain, replace, shut_down, wait_for_timer])
def test_request_that_crosses_a_close_is_answered_or_never_read(
    app, monkeypatch, close
):
    """Guards against requests that are read and lost by a close."""
    listener = app.daemon.caller_listener
    limits = policy.CallerLimits(
        idle_timeout_s=IDLE_S if close is wait_for_timer else 60.0
    )
    monkeypatch.setattr(caller_connection, "IDLE_TIMEOUT_FACTOR", 1.0)
    monkeypatch.setattr(listener, "limits", lambda: limits)
    monkeypatch.setattr(listener, "await_policy", lambda: None)
    monkeypatch.setattr(
        "coltsfootarch.forwarding.listener.MIN_REPLACED_IDLE_S", 0
    )
    # The timer's close comes a while after the idle timeout.
    base_s = IDLE_S + caller_connection.POLICY_POLL_S
    pool = gevent.threadpool.ThreadPool(CALLERS)
    started = []
    with structlog.testing.capture_logs() as logs:
        results = {
            f"c{number}": pool.spawn(
                use_twice,
                listener.address,
                f"c{number}",
                started,
                base_s + (number - CALLERS / 2) * STEP_S,
            )
            for number in range(CALLERS)
        }
        app.wait(lambda: len(started) == CALLERS)
        gevent.sleep(base_s - CALLERS / 2 * STEP_S)
        for _ in range(CALLERS):
            close(listener)
            gevent.sleep(STEP_S)
        answers = {name: each.get(timeout=5) for name, each in results.items()}
    pool.kill()

    ended = {
        line["request_id"] for line in logs if line["event"] == "request ended"
    }
    ran = [run for runs in app.runs().values() for run in runs]
    for name, (first, second) in answers.items():
        assert first.startswith(b"HTTP/1.1")
        assert second.startswith(b"HTTP/1.1") or second == b""
        if not second:
            assert f"{name}-2" not in ended
            assert f"{name}-2" not in ran
