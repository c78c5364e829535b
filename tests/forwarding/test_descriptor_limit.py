"""Tests a host that has no descriptor left for another connection."""

from __future__ import annotations

import collections
import errno
import pathlib
import resource

import gevent
import pytest

from coltsfootarch import clock as clocks
from coltsfootarch.http1 import client
from coltsfootarch.http1 import messages
from soak import processes
from soak import run

SIZES = {"X_Token_Count": "1000,500"}
# Descriptors that a host can open, and callers that together need more.
SPARE_DESCRIPTORS = 40
CALLERS = 48


def fail(*arguments):
    raise OSError(errno.EMFILE, "Too many open files")


class FailingSockets:
    """Opens no socket, as at the limit of descriptors."""

    socket = staticmethod(fail)


def descriptors_used_up(edge_host, monkeypatch):
    edge_host.daemon.context.connections.close()
    monkeypatch.setattr(client, "gevent_socket", FailingSockets)


def test_request_is_refused_if_no_connection_can_be_opened(app, monkeypatch):
    """Guards against callers that are cut at the limit of descriptors."""
    caller = app.caller()
    with monkeypatch.context() as patch:
        descriptors_used_up(app, patch)
        response = caller.ask("/book/a", "POST", b"x")

    assert (response.status, response.code) == (503, "overloaded")
    assert float(response.fields["retry-after"]) > 0
    assert caller.ask("/read/a", request_id="r2").status == 200


def test_generation_is_refused_if_no_connection_can_be_opened(
    engines, monkeypatch
):
    descriptors_used_up(engines, monkeypatch)

    response = engines.ask("/write/a", "POST", b"p", **SIZES)

    assert (response.status, response.code) == (503, "overloaded")
    assert "retry-after" in response.fields


def test_prefill_engine_is_not_blamed_for_a_lack_of_descriptors(
    engines, monkeypatch
):
    """Guards against a sound prefill engine that is ejected on all hosts."""
    address = engines.runners["p-1"].address
    start = client.Connection.start

    def start_others(self, timeout):
        if self.address == address:
            raise client.LocalConnectError("Too many open files")
        start(self, timeout)

    monkeypatch.setattr(client.Connection, "start", start_others)

    assert engines.ask("/write/a", "POST", b"p", **SIZES).status == 200

    assert not engines.daemon.context.outcome_tracker.failure_counts


@pytest.mark.parametrize("target", ["/read/a", "/write/a"])
def test_upstreams_are_not_blamed_for_a_lack_of_descriptors(
    edge_host, monkeypatch, target
):
    """Guards against sound upstreams that are ejected by a local error."""
    edge_host.add_runner("i-1", "app")
    edge_host.add_runner("d-1", "llm", "decode")
    edge_host.start()
    tracker = edge_host.daemon.context.outcome_tracker
    recorded = []
    monkeypatch.setattr(
        tracker, "record", lambda *values: recorded.append(values)
    )
    descriptors_used_up(edge_host, monkeypatch)

    edge_host.ask(target, "POST", b"p", **SIZES)

    assert not recorded


def test_engine_counts_as_sound_if_it_can_not_be_checked(engines, monkeypatch):
    """Guards against a content that is refused because of a local error."""
    context = engines.daemon.context
    descriptors_used_up(engines, monkeypatch)

    assert not context.crash_check.has_crashed(
        engines.daemon.upstreams.upstreams["d-1"], context.clock.monotonic()
    )


class Caller:
    """Sends requests on one connection as long as it may be reused."""

    def __init__(self, address):
        self.address = address
        self.connection = None

    def ask(self, request_id):
        """Returns the status of the response; 0 if there is none."""
        values = {
            "Host": run.ROUTE_HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "4000",
            "Authorization": "Bearer key-1",
        }
        head = messages.render_head("GET /read/x HTTP/1.1", values.items())
        connection = self.connection
        if connection is None:
            connection = client.Connection(self.address, clocks.SystemClock())
            connection.start(2.0)
        self.connection = None
        try:
            connection.send(head, b"", 2.0)
            first = connection.read_part(5.0)
            while connection.read_part(5.0) is not None:
                pass
        except (client.BrokenConnectionError, client.ResponseTimeoutError):
            connection.close()
            return 0
        if connection.finish(first):
            self.connection = connection
        return first.status

    def run(self, name, requests):
        statuses = []
        for number in range(requests):
            statuses.append(self.ask(f"{name}-{number}"))
            if statuses[-1] != 200:
                gevent.sleep(0.1)
        return statuses


def test_host_at_its_limit_of_descriptors_leaves_nobody_unanswered(tmp_path):
    """Guards against requests that are read and closed without an answer."""
    fleet = processes.Fleet(tmp_path, 1)
    (host,) = fleet.hosts
    try:
        fleet.start(run.configuration(1, ["key-1"]))
        for runner in fleet.runners:
            fleet.set_runner(runner, work_s=0.1, slots=1000)
        process = host.process.pid
        used = len(list(pathlib.Path(f"/proc/{process}/fd").iterdir()))
        limit = used + SPARE_DESCRIPTORS
        resource.prlimit(process, resource.RLIMIT_NOFILE, (limit, limit))
        callers = [
            gevent.spawn(Caller(host.listen).run, f"c{number}", 8)
            for number in range(CALLERS)
        ]
        gevent.joinall(callers)

        statuses = collections.Counter(
            status for caller in callers for status in caller.value
        )
        print(statuses)
        assert set(statuses) <= {200, 503}
        assert statuses[200] > CALLERS
    finally:
        fleet.close()
