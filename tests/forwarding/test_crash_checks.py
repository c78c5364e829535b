"""Tests that only crashes of upstreams count as crashes."""

from __future__ import annotations

import errno
import socket
import time

import gevent
import pytest
from gevent import socket as gevent_socket

from coltsfootarch import clock as clocks
from coltsfootarch.fleet import upstreams
from coltsfootarch.forwarding import crash_checks
from coltsfootarch.http1 import client
from coltsfootarch.scheduling import break_counts
from tests.forwarding import test_silent_calls


class Service:
    """A listening socket whose queue of new connections can be full."""

    def __init__(self):
        self.listener = gevent_socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"
        self.fillers = []
        self.accepted = []

    def be_silent(self):
        """Fills the queue, so that new connections get no reply."""
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(client.split_address(self.address))
            self.fillers.append(filler)

    def accept_all(self):
        """Accepts what waits and all that comes."""
        gevent.spawn(self.accept_forever)

    def accept_forever(self):
        while True:
            self.accepted.append(self.listener.accept()[0])

    def close_at_once(self):
        gevent.spawn(self.close_forever)

    def close_forever(self):
        while True:
            self.listener.accept()[0].close()

    def close(self):
        for sock in (self.listener, *self.fillers, *self.accepted):
            sock.close()


@pytest.fixture
def service():
    service = Service()
    yield service
    service.close()


class Checker:
    """A crash check with its counts and a directory with one upstream."""

    def __init__(self, address):
        self.clock = clocks.SystemClock()
        self.counts = break_counts.BreakCounts(self.clock, "host")
        self.directory = upstreams.UpstreamDirectory(self.clock)
        self.upstream = upstreams.Upstream(
            "i-1", "app", address, "north", True, 8, None, 7
        )
        self.directory.replace({"i-1": self.upstream})
        self.check = crash_checks.CrashCheck(
            self.counts, self.clock, self.directory
        )

    def fail(self, digest="a"):
        self.check.check(digest, self.upstream)

    def counted_within(self, seconds, digest="a", count=1):
        """Returns whether a break is counted within so many seconds."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.counts.count(digest) == count:
                return True
            gevent.sleep(0.01)
        return False


@pytest.fixture
def checker(service):
    return Checker(service.address)


@pytest.fixture
def short(monkeypatch):
    """Shortens the time after which a dark upstream counts as crashed."""
    monkeypatch.setattr(crash_checks, "DARK_S", 1.0)
    monkeypatch.setattr(crash_checks, "MIN_DARK_S", 0.4)
    monkeypatch.setattr(crash_checks, "CONNECT_TIMEOUT_S", 0.1)


def test_upstream_that_refuses_connections_has_crashed(checker, service):
    service.listener.close()
    checker.fail()
    assert checker.counted_within(0.3)


def test_upstream_that_closes_connections_at_once_has_crashed(checker, service):
    """Guards against a proxy that hides that its upstream has crashed."""
    service.close_at_once()
    checker.fail()
    assert checker.counted_within(0.3)


def test_crash_counts_once_for_an_attempt_with_two_failures(checker, service):
    """Guards against two crashes of an upstream whose start isn't known."""
    checker.upstream = checker.upstream._replace(started_ms=0)
    service.listener.close()
    for _ in range(2):
        checker.check.check("a", checker.upstream, attempt="r1/1")
        gevent.sleep(0.1)

    assert checker.counts.count("a") == 1


def test_upstream_that_accepts_connections_has_not_crashed(checker, service):
    service.accept_all()
    checker.fail()
    assert not checker.counted_within(0.5)
    assert not checker.check.running


@pytest.mark.parametrize("silence_s", [0.5, 1.0, 2.5])
def test_upstream_that_is_silent_and_goes_on_has_not_crashed(
    checker, service, silence_s
):
    """Guards against taking a silence for a crash."""
    service.be_silent()
    checker.fail()

    gevent.sleep(silence_s)
    service.accept_all()

    assert not checker.counted_within(3.5 - silence_s)
    assert not checker.check.running


def test_upstream_that_stays_dark_has_crashed(checker, service):
    """Guards against a request that makes machines go dark for ever."""
    service.be_silent()
    started = time.monotonic()
    checker.fail()

    assert checker.counted_within(4.0)
    assert time.monotonic() - started > 3.0


@pytest.mark.usefixtures("short")
def test_time_before_the_check_counts_as_dark(checker, service):
    """Guards against a crash that is known seconds late."""
    service.be_silent()
    started = time.monotonic()
    checker.check.check("a", checker.upstream, silent_since=started - 5.0)

    assert checker.counted_within(0.7)
    assert time.monotonic() - started >= 0.4


@pytest.mark.parametrize("is_replaced", [False, True])
def test_dark_upstream_whose_registration_ends_has_crashed(
    checker, service, is_replaced
):
    """Guards against waiting for an upstream that is known to have ended."""
    service.be_silent()
    checker.fail()
    gevent.sleep(0.1)

    restarted = checker.upstream._replace(started_ms=9)
    checker.directory.replace({"i-1": restarted} if is_replaced else {})

    assert checker.counted_within(1.0)


@pytest.mark.usefixtures("short")
def test_crash_is_not_counted_for_content_that_was_answered_meanwhile(
    checker, service
):
    """Guards against refusing common content after a cut of the network."""
    service.be_silent()
    checker.fail("answered")
    checker.fail("unanswered")
    gevent.sleep(0.2)

    checker.counts.clear("answered")

    assert checker.counted_within(1.2, "unanswered")
    assert checker.counts.count("answered") == 0
    assert not checker.counts.suspected


def test_retry_is_not_held_while_a_silent_upstream_is_checked(checker, service):
    """Guards against a caller who waits for seconds for a check."""
    for number in range(break_counts.MAX_BREAKS - 1):
        checker.counts.record("a", f"i-{number}@1")
    service.be_silent()
    started = time.monotonic()

    checker.fail()

    assert time.monotonic() - started < 0.4
    assert not checker.counts.is_refused("a")


def test_retry_waits_for_a_certain_crash_that_refuses_it(checker, service):
    """Guards against a fourth crash by a request."""
    for number in range(break_counts.MAX_BREAKS - 1):
        checker.counts.record("a", f"i-{number}@1")
    service.listener.close()

    checker.fail()

    assert checker.counts.is_refused("a")


def test_answer_at_the_deadline_does_not_wait_for_a_check(dark_host):
    """Guards against a failure that is sent later than the deadline."""
    host, darkness = dark_host
    for runner in host.runners.values():
        runner.fault = "mute"
    caller = host.caller()
    caller.send("/read/a", X_Deadline_Ms="800")
    host.wait(lambda: any(each.arrivals for each in host.runners.values()))
    started = time.monotonic()
    for number in range(break_counts.MAX_BREAKS - 1):
        (call,) = host.daemon.forwarder.calls
        host.daemon.context.break_counts.record(call.digest, f"i-{number}@1")
    for name in host.runners:
        darkness.add(name)

    assert caller.read().status == 504
    assert time.monotonic() - started < 0.95


@pytest.mark.usefixtures("short")
def test_upstream_is_checked_once_at_a_time(checker, service, monkeypatch):
    """Guards against a connection for each request that was on an upstream."""
    opened = []
    start = client.Connection.start

    def start_counted(connection, timeout):
        opened.append(connection)
        start(connection, timeout)

    monkeypatch.setattr(client.Connection, "start", start_counted)
    service.be_silent()
    for number in range(20):
        checker.fail(f"digest {number}")

    assert checker.counted_within(1.5, "digest 19")
    assert len(opened) <= 11
    assert [checker.counts.count(f"digest {n}") for n in range(20)] == [1] * 20


@pytest.mark.parametrize(
    "code", [errno.EMFILE, errno.EADDRNOTAVAIL, errno.ENETUNREACH]
)
@pytest.mark.usefixtures("short")
def test_error_of_this_host_is_no_crash(checker, service, monkeypatch, code):
    """Guards against blaming a request for a lack of descriptors."""

    def fail(connection, timeout):
        del connection, timeout
        raise OSError(code, "local error")

    monkeypatch.setattr(gevent_socket.socket, "connect", fail)
    checker.fail()

    assert not checker.counted_within(1.3)
    assert not checker.check.running


class Darkness:
    """Makes addresses dark: they neither answer nor accept connections."""

    def __init__(self, monkeypatch, host):
        self.host = host
        self.names = set()
        self.start_connection = client.Connection.start
        darkness = self

        def start(connection, timeout):
            darkness.start(connection, timeout)

        monkeypatch.setattr(client.Connection, "start", start)

    def start(self, connection, timeout):
        dark = {self.host.runners[name].address for name in self.names}
        if connection.address not in dark:
            self.start_connection(connection, timeout)
            return
        gevent.sleep(timeout)
        raise client.ConnectError("timed out") from TimeoutError("timed out")

    def add(self, name):
        """Makes a runner dark."""
        self.names.add(name)
        self.host.runners[name].fault = "mute"

    def end(self):
        """Makes all runners go on."""
        self.names.clear()
        for runner in self.host.runners.values():
            runner.fault = ""


@pytest.fixture
def dark_host(edge_host, monkeypatch):
    """An entry host with three runners that can go dark."""
    edge_host.configure(test_silent_calls.configuration())
    for number in range(3):
        edge_host.add_runner(f"i-{number}", "app")
    edge_host.start()
    return edge_host, Darkness(monkeypatch, edge_host)


def test_common_content_is_not_refused_after_a_silence(dark_host):
    """Guards against a refusal of what was asked while all were silent."""
    host, darkness = dark_host
    runners = host.runners.values()
    for runner in runners:
        runner.fault = "mute"
    for number in range(6):
        host.caller().send(
            "/read/a", request_id=f"r{number}", X_Deadline_Ms="1500"
        )
    host.wait(lambda: all(runner.arrivals for runner in runners))
    for name in host.runners:
        darkness.add(name)
    gevent.sleep(1.6)
    darkness.end()
    host.daemon.context.outcome_tracker.records.clear()

    response = host.ask("/read/a", request_id="r9")

    assert response.status == 200


@pytest.mark.usefixtures("short")
def test_content_that_darkens_upstreams_is_refused(dark_host):
    """Guards against a request that darkens upstream after upstream."""
    host, darkness = dark_host
    for number, runner in enumerate(host.runners.values()):
        runner.call = darkening(darkness, runner, number)
        host.register(runner)

    for number in range(2):
        answer = host.ask(
            "/read/a", request_id=f"r{number}", X_Deadline_Ms="900"
        )
        assert answer.status in (502, 503, 504)
    assert len(darkness.names) == 3
    counts = host.daemon.context.break_counts
    host.wait(counts.refused)

    response = host.ask("/read/a", request_id="r9")
    assert (response.status, response.code) == (503, "repeated-breaks")


def darkening(darkness, runner, number):
    """Returns a handler that makes its runner dark."""

    def call(request_id, connection):
        del request_id
        darkness.add(f"i-{number}")
        while connection.open:
            gevent.sleep(0.01)

    return call


@pytest.mark.parametrize(
    ("state", "is_recorded"),
    [(crash_checks.State.UP, False), (crash_checks.State.DOWN, True)],
)
def test_prompt_part_is_blamed_only_for_a_certain_crash(
    engines, monkeypatch, state, is_recorded
):
    """Guards against parts refused since an engine was silent for a moment."""
    states = [crash_checks.State.SILENT, state, state, state]
    context = engines.daemon.context
    monkeypatch.setattr(crash_checks, "CONNECT_TIMEOUT_S", 0.01)
    monkeypatch.setattr(
        context.crash_check, "state", lambda upstream, timeout: states.pop(0)
    )
    recorded = []
    monkeypatch.setattr(
        context.crashing_parts,
        "record_crash",
        lambda *crash: recorded.append(crash),
    )
    for name in ("d-1", "d-2"):
        engines.runners[name].fault = "cut head"

    engines.ask(
        "/once/a",
        "POST",
        b"prompt",
        X_Token_Count="100,50",
        X_Model="m",
        X_Prefix_Hash="a1:50",
    )

    engines.wait(lambda: not context.crash_check.running)
    assert bool(recorded) == is_recorded
