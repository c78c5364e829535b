"""Tests connections whose peer reads nothing for some seconds."""

from __future__ import annotations

import socket

import gevent

from tests.platform import documents

BODY_BYTES = 12_000_000
# Longer than `client.USER_TIMEOUT_MS`, shorter than `SEND_TIMEOUT_S`.
PAUSE_S = 4.5


def configure(edge_host, **read):
    """Changes the route for reads, and waits until this is in force."""
    document = documents.configuration(2)
    document["routes"][0].update(read)
    document["limits"]["max_body_bytes"] = 2 * BODY_BYTES
    edge_host.configure(document)
    edge_host.wait(lambda: edge_host.daemon.policy_tracker.version() == 2)


def test_caller_that_reads_late_gets_its_whole_response(app, monkeypatch):
    """Guards against a complete response that is cut on its way."""
    configure(app, timeout_ms=20000)
    for runner in app.runners.values():

        def respond(request_id, connection, runner=runner):
            fields = runner.response_fields(request_id)
            connection.respond(200, fields, b"a" * BODY_BYTES)

        monkeypatch.setattr(runner, "call", respond)
    caller = app.caller()
    caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
    caller.send("/read/a", X_Deadline_Ms="20000")
    gevent.sleep(PAUSE_S)

    response = caller.read()

    assert response is not None
    assert (response.status, response.complete) == (200, True)
