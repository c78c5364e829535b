"""Tests upstreams that reset connections beyond their limit."""

from __future__ import annotations

import gevent
import pytest

from tests.platform import documents

CALLERS = 6


@pytest.fixture
def app(edge_host):
    """An entry host with three slow runners that take one connection each."""
    for name in ("i-1", "i-2", "i-3"):
        runner = edge_host.add_runner(name, "app", work_s=1.0)
        registration = runner.registration() | {"born": 1000 + int(name[-1])}
        edge_host.store.put("servers", name, documents.encoded(registration))
        limit_connections(runner.server)
    document = documents.configuration()
    document["routes"][0]["max_attempts"] = 3
    edge_host.configure(document)
    edge_host.start()
    return edge_host


def limit_connections(server):
    """Makes a server reset each connection beyond the first one."""
    serve = server.serve

    def serve_first(sock):
        if server.connections:
            connection = type(next(iter(server.connections)))(sock)
            connection.reset()
            return
        serve(sock)

    server.serve = serve_first


def test_busy_runners_at_their_connection_limit_have_not_crashed(app):
    """Guards against a burst of one content that is refused as a crasher."""
    pending = [
        gevent.spawn(app.ask, "/read/a", request_id=f"r{number}")
        for number in range(CALLERS)
    ]
    gevent.sleep(1.0)
    breaks = app.daemon.context.break_counts.breaks
    assert not breaks
    statuses = [each.get(timeout=5).status for each in pending]

    assert set(statuses) <= {200, 503}
