"""Tests requests whose responses have no body."""

from __future__ import annotations

import gevent
import pytest

from coltsfootarch.http1 import messages


@pytest.mark.parametrize(
    ("method", "status"), [("HEAD", 200), ("GET", 204), ("GET", 304)]
)
def test_response_without_a_body_reaches_its_caller(
    app, monkeypatch, method, status
):
    """Guards against a wait for a body that isn't sent."""
    for runner in app.runners.values():

        def respond(request_id, connection, runner=runner):
            fields = list(runner.response_fields(request_id))
            if method == "HEAD":
                fields.append(("Content-Length", "10"))
            head = messages.render_head(messages.status_line(status), fields)
            connection.send(head)

        monkeypatch.setattr(runner, "call", respond)
    caller = app.caller()
    caller.send("/read/a", method)

    with gevent.Timeout(1.0):
        data = caller.sock.recv(4096)

    assert data.startswith(b"HTTP/1.1 %d " % status)
