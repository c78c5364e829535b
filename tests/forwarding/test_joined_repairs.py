"""Tests sequences in which two repairs of lost requests meet."""

from __future__ import annotations

import errno
import math
import os
import time

import gevent
import pytest

from coltsfootarch import clock as clocks
from coltsfootarch.fleet import policy
from coltsfootarch.forwarding import decode_stage
from coltsfootarch.forwarding import listener as listeners
from coltsfootarch.forwarding import upstream_exchange
from coltsfootarch.http1 import client
from tests.fakes import short_socket
from tests.forwarding import test_pipelining
from tests.forwarding import test_shortages
from tests.forwarding import test_silent_streams
from tests.platform import documents


def test_time_behind_earlier_requests_counts_for_a_pipelined_request(app):
    """Guards against upstreams that get more time than a caller has left.

    All three requests arrive in one read of the host.
    """
    for runner in app.runners.values():
        runner.work_s = 0.6
    caller = app.caller()
    extra = "Content-Length: 6000\r\n"
    caller.send_raw(
        test_pipelining.head("r1")
        + test_pipelining.head("r2", "/read/a", "POST", extra)
        + b"b" * 6000
        + test_pipelining.head("r3")
    )

    for _ in range(3):
        assert caller.read().status == 200

    runs = [run for each in app.runners.values() for run in each.runs]
    # A silent upstream's run may have been repeated at the other one.
    last = [run["fields"]["x-deadline-ms"] for run in runs if run["id"] == "r3"]
    assert max(map(int, last)) <= 4000 - 1200 + 500


def test_caller_that_leaves_behind_a_pipelined_body_is_noticed(app):
    """Guards against work for a caller that has left."""
    for runner in app.runners.values():
        runner.work_s = 3.0
    caller = app.caller()
    extra = "Content-Length: 100000\r\n"
    caller.send_raw(
        test_pipelining.head("r1")
        + test_pipelining.head("r2", "/read/a", "POST", extra)
        + b"b" * 100_000
    )
    app.wait(lambda: app.daemon.forwarder.in_progress)
    gevent.sleep(0.1)
    caller.close()

    gevent.sleep(0.5)
    assert not app.daemon.forwarder.in_progress


def test_idle_connection_waits_for_the_policy_again_after_a_change(
    app, monkeypatch
):
    """Guards against a close by a timeout that callers no longer know.

    A change arrives during the wait for one, so that the connection is kept for
    a while. Another change may be on the way when this while ends.
    """
    listener = app.daemon.caller_listener
    limits = listener.limits()._replace(idle_timeout_s=0.2)
    kept_until = []
    waits = []

    def await_policy():
        waits.append(time.monotonic())
        gevent.sleep(0.05)
        if not kept_until:
            kept_until.append(time.monotonic() + 1.0)

    def keep_idle_s():
        left = kept_until[0] - time.monotonic() if kept_until else 0.0
        return max(left, 0.0)

    monkeypatch.setattr(listener, "limits", lambda: limits)
    monkeypatch.setattr(listener, "await_policy", await_policy)
    monkeypatch.setattr(listener, "keep_idle_s", keep_idle_s)
    caller = app.caller()

    assert caller.sock.recv(1) == b""

    assert time.monotonic() >= kept_until[0]
    assert waits[-1] >= kept_until[0]


@pytest.mark.parametrize("target", ["/book/a", "/write/a"])
def test_request_that_ran_is_not_refused_for_lack_of_memory(
    engines, monkeypatch, target
):
    """Guards against "not run" for a request whose answer can't be read."""
    engines.add_runner("i-1", "app")
    directory = engines.daemon.upstreams
    engines.wait(lambda: "i-1" in directory.upstreams)
    test_shortages.break_upstreams(engines, monkeypatch, {"recv": 1_000_000})

    response = engines.ask(
        target, "POST", b"p", X_Deadline_Ms="1500", X_Token_Count="1000,500"
    )

    runs = {name: ids for name, ids in engines.runs().items() if name != "p-1"}
    assert response.status == 504 or not runs


def test_call_that_ran_before_an_unexpected_error_is_not_refused(
    app, monkeypatch
):
    """Guards against "not run" after an attempt that was sent and ran.

    The other upstream, asked since the first one is slow, refuses the call
    after the error.
    """
    first, other = app.runners["i-1"], app.runners["i-2"]
    first.work_s = 0.8
    app.daemon.context.loads.add("i-2", 1)
    other.slots = 0

    read_body = upstream_exchange.UpstreamExchange.read_body

    def fail_once(self, *arguments):
        if self.delivery.upstream.id == "i-1":
            raise MemoryError("simulated")
        return read_body(self, *arguments)

    monkeypatch.setattr(
        upstream_exchange.UpstreamExchange, "read_body", fail_once
    )
    caller = app.caller()
    caller.send("/read/a")
    app.wait(lambda: first.runs)
    other.fall_silent(1.2)

    response = caller.read()

    assert app.runs() == {"i-1": ["r1"]}
    assert response.status not in (429, 503)


class AbortedSocket:
    """A listening socket whose first waiting connection was aborted."""

    def __init__(self, codes, waiting):
        self.codes = list(codes)
        self.waiting = list(waiting)
        self.closed = False

    def settimeout(self, timeout):
        del timeout

    def accept(self):
        if self.codes:
            code = self.codes.pop(0)
            raise OSError(code, os.strerror(code))
        if self.waiting:
            return self.waiting.pop(0), None
        raise BlockingIOError

    def close(self):
        self.closed = True


@pytest.mark.parametrize("code", [errno.ECONNABORTED, errno.ENOMEM])
def test_error_of_one_connection_loses_no_other_as_the_host_ends(
    monkeypatch, code
):
    """Guards against requests that are reset as a host stops to accept."""
    listener = listeners.CallerListener(
        "127.0.0.1:0", None, clocks.SystemClock(), policy.CallerLimits
    )
    served = []
    monkeypatch.setattr(listener, "serve", served.append)
    listener.sock = AbortedSocket([code], ["connection"])

    listener.stop_accepting()
    gevent.sleep(0.0)

    assert served == ["connection"]


@pytest.fixture
def without_reservations(engines, monkeypatch):
    """Engines that reserve no memory and are silent too long after 0.2 s."""
    monkeypatch.setattr(decode_stage, "MIN_STALL_S", 0.2)
    monkeypatch.setattr(decode_stage, "STALL_GAP_MULTIPLE", 0.1)
    for name in ("d-1", "d-2"):
        engines.runners[name].event_gap_s = 0.1
    document = documents.configuration(2)
    del document["services"][0]["engine"]["hold_ms"]
    engines.configure(document)
    engines.wait(lambda: engines.daemon.policy_tracker.version() == 2)
    return engines


def test_stream_goes_on_if_its_engine_breaks_before_another_one_is_asked(
    without_reservations, monkeypatch
):
    """Guards against waiting for the response to a request that wasn't sent.

    The host lacks memory for 0.1 s as it sends the request to the other engine;
    the first one breaks meanwhile.
    """
    engines = without_reservations
    stream = test_silent_streams.start_on(engines, "d-1")
    engines.daemon.context.connections.close()
    short = []
    start = client.Connection.start
    address = engines.runners["d-2"].registration()["address"]

    def start_short(self, timeout):
        start(self, timeout)
        if self.address == address and not short:
            short.append(short_socket.ShortSocket(self.sock, {"send": 10}))

    monkeypatch.setattr(client.Connection, "start", start_short)
    engines.runners["d-1"].fall_silent(math.inf)
    engines.wait(lambda: short and short[0].failures["send"] < 8)
    engines.runners["d-1"].server.close_connections()

    with gevent.Timeout(3.0):
        stream.check()
    assert engines.runs()["d-2"] == ["r1"]
    test_silent_streams.check_released(engines)


def test_stream_that_another_engine_ran_is_not_refused(without_reservations):
    """Guards against "not run" for a request that an asked engine ran.

    The silent engine refuses after another one was asked without an answer.
    """
    engines = without_reservations
    document = documents.configuration(3)
    del document["services"][0]["engine"]["hold_ms"]
    for route in document["routes"]:
        if route["name"] == "write":
            route["max_attempts"] = 2
    engines.configure(document)
    engines.wait(lambda: engines.daemon.policy_tracker.version() == 3)
    first, other = engines.runners["d-1"], engines.runners["d-2"]
    first.slots = 0
    other.fault = "hang"
    test_silent_streams.prefer(engines, "d-1")
    first.fall_silent(math.inf)
    stream = test_silent_streams.Stream(engines)
    engines.wait(lambda: other.runs)
    gevent.sleep(0.4)
    first.fall_silent(0.0)

    stream.reader.get(timeout=5.0)

    assert engines.runs()["d-2"] == ["r1"]
    assert stream.status not in (429, 503)
