"""Tests the limits for callers around a change of the configuration."""

from __future__ import annotations

import datetime

import gevent
import pytest

from coltsfootarch import clock as clocks
from coltsfootarch.fleet import policy
from coltsfootarch.forwarding import caller_connection
from coltsfootarch.forwarding import limited_reader
from coltsfootarch.forwarding import recent_limits
from coltsfootarch.http1 import readers
from tests.platform import documents


class SteppedClock(clocks.SystemClock):
    """A clock that only a test moves."""

    now_s = 100.0

    def monotonic(self):
        return self.now_s


LARGE = policy.CallerLimits(16000, 60000, 3.0, 15.0)
SMALL = policy.CallerLimits(4000, 20000, 1.0, 5.0)


@pytest.fixture
def clock():
    return SteppedClock()


@pytest.fixture
def active():
    return [LARGE]


@pytest.fixture
def limits(clock, active):
    tracked = recent_limits.RecentLimits(lambda: active[0], clock)
    tracked.current()
    return tracked


def test_lowered_limits_hold_when_every_caller_knows_them(
    clock, active, limits
):
    """Guards against a close that crosses a request within the old limit."""
    active[0] = SMALL
    assert limits.current() == LARGE
    clock.now_s += recent_limits.OVERLAP_S - 0.1
    assert limits.current() == LARGE
    clock.now_s += 0.2
    assert limits.current() == SMALL


def test_raised_limits_hold_at_once(active, limits):
    active[0] = SMALL
    limits.current()
    active[0] = LARGE._replace(body_bytes=90000)

    assert limits.current() == active[0]


def test_defaults_without_a_policy_are_not_remembered(clock, active):
    active[0] = None
    tracked = recent_limits.RecentLimits(lambda: active[0], clock)
    assert tracked.current() == policy.CallerLimits()
    active[0] = SMALL

    assert tracked.current() == SMALL


def configure_limits(edge_host, version, **limits):
    document = documents.configuration(version=version)
    document["limits"] |= limits
    edge_host.configure(document)
    tracker = edge_host.daemon.policy_tracker
    edge_host.wait(lambda: tracker.version() == version)


def test_connection_that_is_open_gets_a_raised_limit(app):
    """Guards against refusals by the limits of when a caller connected."""
    caller = app.caller()
    assert caller.ask("/read/a", "POST", b"x" * 1000).status == 200
    configure_limits(app, 9, max_body_bytes=300_000, max_header_bytes=30_000)

    response = caller.ask(
        "/read/a", "POST", b"x" * 200_000, request_id="r2", X_Long="y" * 9000
    )

    assert response.status == 200


@pytest.mark.parametrize("begun", [40, 400])
def test_request_that_began_before_a_limit_was_raised_is_answered(app, begun):
    """Guards against a body that is refused though its limit was raised."""
    data = (
        b"POST /read/a HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: r2\r\n"
        b"Authorization: Bearer %b\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"%x\r\n%b\r\n0\r\n\r\n"
    ) % (documents.KEY.encode(), 100_000, b"b" * 100_000)
    caller = app.caller()
    caller.send_raw(data[:begun])
    gevent.sleep(0.05)
    configure_limits(app, 9, max_body_bytes=300_000)

    caller.send_raw(data[begun:])

    assert caller.read().status == 200


def test_idle_connection_outlives_a_lowered_limit(app, monkeypatch):
    """Guards against a close while a caller sends within the old limit."""
    monkeypatch.setattr(caller_connection, "IDLE_TIMEOUT_FACTOR", 1.0)
    caller = app.caller()
    assert caller.ask("/read/a").status == 200
    other = app.caller()
    gevent.sleep(0.3)
    configure_limits(app, 9, idle_timeout_ms=100)
    other.send_raw(b"G")
    gevent.sleep(0.3)

    assert caller.ask("/read/a", request_id="r2").status == 200
    gevent.sleep(0.3)
    assert caller.ask("/read/a", request_id="r3").status == 200


@pytest.mark.parametrize(
    ("body", "long"), [(b"x" * 200_000, "y"), (b"x", "y" * 9000)]
)
def test_request_within_a_limit_that_the_host_learns_later_is_answered(
    app, body, long
):
    """Guards against refusals by a host that is behind its callers."""
    caller = app.caller()
    caller.send("/read/a", "POST", body, X_Long=long)
    gevent.sleep(0.2)

    configure_limits(app, 9, max_body_bytes=300_000, max_header_bytes=30_000)

    assert caller.read().status == 200
    assert caller.ask("/read/a", request_id="r2").status == 200


def test_head_within_a_timeout_that_the_host_learns_later_is_answered(app):
    """Guards against 408 from a host that is behind its callers."""
    configure_limits(app, 5, header_timeout_ms=200)
    app.daemon.recent_limits.replaced.clear()
    caller = app.caller()
    caller.send_raw(b"GET /read/a HTTP/1.1\r\nHost: api.example\r\n")
    gevent.sleep(0.4)
    configure_limits(app, 9, header_timeout_ms=3000)
    gevent.sleep(0.2)

    caller.send_raw(
        b"X-Request-Id: r2\r\nAuthorization: Bearer %b\r\n\r\n"
        % documents.KEY.encode()
    )

    assert caller.read().status == 200


def test_wait_for_a_raised_limit_counts_for_the_request(manual_clock):
    """Guards against deadlines that are counted from the end of the wait."""
    limits = [policy.CallerLimits(header_bytes=20)]
    arrived_at = manual_clock.monotonic()

    def await_policy():
        manual_clock.advance(datetime.timedelta(seconds=2))
        limits[0] = policy.CallerLimits(header_bytes=4096)

    reader = limited_reader.LimitedReader(
        lambda: limits[0], await_policy, manual_clock
    )
    reader.read(b"GET /long/target/of/a/request HTTP/1.1\r\nHost: a\r\n\r\n")

    (request,) = reader.complete
    assert request.received_at == arrived_at


CHUNKED = (
    b"POST /read/a HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: r2\r\n"
    b"Authorization: Bearer %b\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"%x\r\n%b\r\n0\r\n\r\n"
) % (documents.KEY.encode(), 200_000, b"b" * 200_000)
SHORT = (
    b"GET /read/a HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: r3\r\n"
    b"Authorization: Bearer %b\r\n\r\n"
) % documents.KEY.encode()


@pytest.mark.parametrize("before", [b"", SHORT], ids=["first", "second"])
@pytest.mark.parametrize("after", [b"", SHORT], ids=["last", "followed"])
def test_chunked_body_within_a_limit_that_the_host_learns_later_is_answered(
    app, before, after
):
    """Guards against 413 from a host that is behind its callers."""
    caller = app.caller()
    caller.send_raw(before + CHUNKED + after)
    gevent.sleep(0.2)

    configure_limits(app, 9, max_body_bytes=300_000)

    for _ in range(1 + bool(before) + bool(after)):
        assert caller.read().status == 200


class Limits:
    """Limits that a wait for a newer policy replaces."""

    def __init__(self, body_bytes, *later):
        self.body_bytes = [body_bytes, *later]
        self.waits = 0

    def current(self):
        return policy.CallerLimits(body_bytes=self.body_bytes[0])

    def await_policy(self):
        self.waits += 1
        if len(self.body_bytes) > 1:
            self.body_bytes.pop(0)


def chunked(target, *chunks):
    parts = [b"%x\r\n%b\r\n" % (len(each), each) for each in chunks]
    return (
        b"POST %b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n%b0\r\n\r\n"
        % (target, b"".join(parts))
    )


def reader_of(limits, clock):
    return limited_reader.LimitedReader(
        limits.current, limits.await_policy, clock
    )


def taken(reader):
    """Takes the requests as a connection does; returns target and body."""
    requests = []
    while True:
        reader.settle()
        if not reader.complete:
            return requests
        request = reader.complete.popleft()
        requests.append((request.target, request.body))


@pytest.mark.parametrize("size", [1, 7, 10_000])
def test_requests_around_a_long_body_are_read_whole(clock, size):
    """Guards against bytes that are lost by the wait for a policy."""
    limits = Limits(10, 15, 30)
    reader = reader_of(limits, clock)
    data = (
        chunked(b"/1", b"abc")
        + chunked(b"/2", b"a" * 12, b"b" * 12)
        + chunked(b"/3", b"c" * 9, b"d" * 9)
        + chunked(b"/4", b"e")
    )
    requests = []

    for start in range(0, len(data), size):
        reader.read(data[start : start + size])
        requests += taken(reader)

    assert reader.error is None
    assert limits.waits == 2
    assert requests == [
        ("/1", b"abc"),
        ("/2", b"a" * 12 + b"b" * 12),
        ("/3", b"c" * 9 + b"d" * 9),
        ("/4", b"e"),
    ]


def test_requests_before_a_long_body_do_not_wait_for_a_policy(clock):
    limits = Limits(10)
    reader = reader_of(limits, clock)

    reader.read(chunked(b"/1", b"abc") + chunked(b"/2", b"a" * 11))

    assert (len(reader.complete), reader.error, limits.waits) == (1, None, 0)


@pytest.mark.parametrize("size", [1, 10_000])
def test_body_beyond_the_newest_limit_is_refused(clock, size):
    reader = reader_of(Limits(10, 15), clock)
    data = chunked(b"/1", b"a" * 12, b"b" * 12) + chunked(b"/2", b"c")

    for start in range(0, len(data), size):
        reader.read(data[start : start + size])

    assert not reader.complete
    assert isinstance(reader.error, readers.BodyTooLargeError)


def test_body_beyond_a_limit_is_not_asked_for(app):
    """Guards against 100 for a request that is refused."""
    caller = app.caller()
    configure_limits(app, 5, max_body_bytes=100)
    app.daemon.recent_limits.current()
    app.daemon.recent_limits.replaced.clear()

    caller.send("/read/a", "POST", Expect="100-continue", Content_Length="101")

    assert caller.sock.recv(100).startswith(b"HTTP/1.1 413")


def test_pipelined_request_is_asked_for_its_body(app):
    """Guards against a caller that waits for 100 in vain."""
    for runner in app.runners.values():
        runner.work_s = 0.2
    caller = app.caller()
    caller.send("/read/a")
    app.wait(lambda: app.daemon.forwarder.in_progress)
    caller.send("/read/a", "POST", Expect="100-continue", Content_Length="1")

    received = b""
    while b"100 Continue" not in received:
        received += caller.sock.recv(100)
    assert received.startswith(b"HTTP/1.1 200 OK\r\n")
    caller.send_raw(b"x")
    assert caller.read().status == 200
