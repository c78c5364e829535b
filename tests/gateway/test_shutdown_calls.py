"""Tests requests that reach a gateway while the last steps of its stop run."""

from __future__ import annotations

import datetime
import http.client
import types

import gevent
import pytest

from coltsfootarch import clock as clocks
from coltsfootarch.gateway import daemon
from tests.fakes import gateways

STEP_S = 0.5
ANSWER_S = 0.3


@pytest.fixture
def gateway(fake_network):
    served = gateways.Gateway(fake_network)
    yield served
    served.close()


def stop(gateway):
    """Stops a gateway; ending the cancellations takes `STEP_S`."""
    steps = types.SimpleNamespace(
        release_shards=lambda: None, hand_over=lambda: None
    )
    host = types.SimpleNamespace(
        ready=True,
        server=gateway.server,
        drain_delay=datetime.timedelta(seconds=0.05),
        settings=types.SimpleNamespace(name="gw"),
        tasks=[],
        wait_recorded=lambda: None,
        components=types.SimpleNamespace(
            clock=clocks.SystemClock(),
            agent=steps,
            requests=gateway.requests,
            completion_pipeline=types.SimpleNamespace(
                wait_background=lambda: gevent.sleep(STEP_S)
            ),
            close=lambda: None,
        ),
    )
    return gevent.spawn(daemon.Gateway.close, host)


def test_call_on_an_open_connection_is_answered_while_a_gateway_stops(
    gateway, monkeypatch
):
    """Guards against calls that are sent on and cut by the end of the stop."""
    run = gateway.calls.run
    ran = []

    def run_late(call):
        ran.append(call)
        gevent.sleep(2 * ANSWER_S)
        return run(call)

    monkeypatch.setattr(gateway.calls, "run", run_late)
    sock = gateway.connect()
    sock.sendall(gateway.request_head("GET", "/stock/a"))
    first = http.client.HTTPResponse(sock)
    first.begin()
    first.read()
    assert first.getheader("Connection") != "close"
    stopping = stop(gateway)
    gevent.sleep(0.05 + ANSWER_S)
    sock.sendall(gateway.request_head("GET", "/stock/b"))

    second = http.client.HTTPResponse(sock)
    second.begin()
    assert second.status in (200, 503)
    assert second.read()
    stopping.get(timeout=5)
