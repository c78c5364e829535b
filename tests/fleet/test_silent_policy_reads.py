"""Tests that a silent store connection doesn't keep an old policy in force."""

from __future__ import annotations

import datetime

import gevent
import pytest

from coltsfootarch import clock as clocks
from coltsfootarch import errors
from coltsfootarch.fleet import active_policy
from coltsfootarch.fleet import followers
from coltsfootarch.fleet import reports
from coltsfootarch.platform import feeds
from coltsfootarch.platform import store
from soak import proxy
from standins import metadata_store
from tests.fleet import builders
from tests.platform import documents

WAIT_S = 5.0


@pytest.fixture
def server():
    server = metadata_store.MetadataStore()
    server.start()
    yield server
    server.close()


@pytest.fixture
def link(server):
    link = proxy.Proxy(server.address)
    link.start()
    yield link
    link.close()


@pytest.fixture
def follower(server, link):
    """A follower whose read waits for a change of the policy."""
    write(server, 1)
    clock = clocks.SystemClock()
    client = store.StoreClient(link.address, clock)
    tracker = active_policy.PolicyTracker(clock)
    follower = followers.PolicyFollower(
        feeds.PolicyFeed(client), tracker, clock, WAIT_S
    )
    follower.start()
    wait_until(lambda: client.progress and follower.waiting_since is not None)
    yield follower
    follower.close()
    client.close()


def write(server, version):
    document = documents.configuration(version=version)
    server.put("op", "config", documents.encoded(document))


def wait_until(condition):
    with gevent.Timeout(2.0):
        while not condition():
            gevent.sleep(0.005)


def report_with(version):
    return reports.empty_report("host-2", 1, 1)._replace(policy_version=version)


def silence_and_change(server, link):
    """Silences the open connection, then changes the policy."""
    link.mode = "block_both"
    write(server, 2)
    gevent.sleep(0.05)
    link.mode = "pass"


def test_version_of_a_peer_ends_a_wait_on_a_silent_connection(
    server, link, follower
):
    silence_and_change(server, link)
    assert follower.tracker.version() == 1

    follower.tracker.apply_report(report_with(2), continuous=True)

    wait_until(lambda: follower.tracker.version() == 2)
    assert follower.failures == 0


def test_recovery_of_another_connection_ends_a_wait_on_a_silent_one(
    server, link, follower
):
    silence_and_change(server, link)

    follower.abandon_wait(follower.clock.monotonic(), "test")

    wait_until(lambda: follower.tracker.version() == 2)


def test_wait_that_is_newer_than_the_failure_is_kept(follower):
    calls = follower.source.client.calls

    follower.abandon_wait(follower.waiting_since - 0.001, "test")
    gevent.sleep(0.02)

    assert follower.source.client.calls == calls
    assert follower.waiting_since is not None


def test_sound_read_is_not_repeated_when_a_peer_names_its_version(
    server, follower, monkeypatch
):
    monkeypatch.setattr(followers, "ANNOUNCED_WAIT_S", 0.05)
    follower.tracker.apply_report(report_with(2), continuous=True)
    write(server, 2)

    wait_until(lambda: follower.tracker.version() == 2)
    calls = follower.source.client.calls
    gevent.sleep(0.1)

    assert follower.source.client.calls <= calls + 1


def test_answer_that_has_begun_is_not_abandoned(follower):
    follower.source.client.progress.record(0)

    follower.abandon_wait(follower.clock.monotonic(), "test")

    assert follower.waiting_since is not None
    assert not follower.abandoned


def test_version_is_reported_only_while_it_is_new(manual_clock):
    tracker = active_policy.PolicyTracker(manual_clock)
    built = builders.make_policy(7)
    tracker.apply(active_policy.PolicyReadResult(built, 1, 0.0, True))
    empty = reports.empty_report("host-1", 1, 1)

    new = tracker.add_to_report(empty)
    manual_clock.advance(
        datetime.timedelta(seconds=active_policy.ANNOUNCEMENT_S + 0.1)
    )
    old = tracker.add_to_report(empty)

    assert reports.decode(reports.encode(new)).policy_version == 7
    assert reports.encode(old) == reports.encode(empty)


def test_recovery_of_the_upstream_read_is_reported_once(manual_clock):
    recovered = []

    class Source:
        def __init__(self):
            self.results = [errors.TableUnavailableError()]

        def read(self):
            if self.results:
                raise self.results.pop()
            return followers.UpstreamReadResult({}, (), 1, 0.0)

        def read_changes(self, position, wait_s):
            return self.read()

    class Directory:
        position = None
        outdated = False

        def replace(self, found, position, revisions):
            self.position = position

        def age(self):
            return 0.0

        def expire(self):
            pass

    follower = followers.UpstreamFollower(
        Source(), Directory(), manual_clock, on_recovery=recovered.append
    )
    for _ in range(3):
        follower.try_step()

    assert len(recovered) == 1
