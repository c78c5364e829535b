"""Tests that followers lose no change, recover, and confirm no stale policy."""

from __future__ import annotations

import datetime

import gevent
import pytest

from coltsfootarch import errors
from coltsfootarch.fleet import active_policy
from coltsfootarch.fleet import followers
from coltsfootarch.fleet import reports
from coltsfootarch.fleet import store_epochs
from coltsfootarch.fleet import upstreams
from coltsfootarch.http1 import transfers
from tests.fleet import builders

AT_1 = store_epochs.Position(0, 1)


class Source:
    """Returns or raises queued results in order; records the calls."""

    def __init__(self, *results):
        self.results = list(results)
        self.calls = []
        self.waits = []

    def next(self):
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    def read(self):
        self.calls.append("read")
        return self.next()

    def read_changes(self, position, wait_s):
        self.calls.append(position.revision)
        self.waits.append(wait_s)
        return self.next()


def read_result(version, revision=1, sent_at=0.0, readable=True):
    built = builders.make_policy(version) if version else None
    return active_policy.PolicyReadResult(built, revision, sent_at, readable)


@pytest.fixture
def tracker(manual_clock):
    return active_policy.PolicyTracker(manual_clock)


def test_older_version_never_replaces_a_newer_one(tracker):
    tracker.apply(read_result(7))
    tracker.apply(read_result(5))

    assert tracker.policy.version == 7


def test_confirmation_counts_from_the_start_of_the_read(tracker, manual_clock):
    now = manual_clock.monotonic()
    tracker.apply(read_result(1, sent_at=now - 1.5))

    assert tracker.age() == 1.5
    assert tracker.wait_confirmed(now - 2, 0)
    assert not tracker.wait_confirmed(now - 1, 0)


def test_unreadable_policy_confirms_nothing(tracker, manual_clock):
    tracker.apply(read_result(1, sent_at=manual_clock.monotonic()))
    manual_clock.advance(datetime.timedelta(seconds=9))

    tracker.apply(
        read_result(None, sent_at=manual_clock.monotonic(), readable=False)
    )

    assert tracker.age() == 9
    assert tracker.policy.version == 1


def test_read_without_changes_confirms_the_version(tracker, manual_clock):
    tracker.apply(read_result(1, sent_at=manual_clock.monotonic()))
    manual_clock.advance(datetime.timedelta(seconds=9))

    tracker.apply(read_result(None, sent_at=manual_clock.monotonic()))

    assert tracker.age() == 0


def test_confirmation_ages_while_the_host_is_suspended(tracker, manual_clock):
    tracker.apply(read_result(1, sent_at=manual_clock.monotonic()))
    # The clock also counts the time in which the host is suspended.
    manual_clock.advance(datetime.timedelta(seconds=30))

    assert tracker.age() == 30


def test_lost_history_causes_a_complete_read(tracker, manual_clock):
    source = Source(
        read_result(1, revision=3),
        errors.HistoryLostError(),
        read_result(2, revision=9),
    )
    follower = followers.PolicyFollower(source, tracker, manual_clock)

    greenlet = gevent.spawn(follower.run)
    while len(source.calls) < 4:
        gevent.sleep(0.01)
    greenlet.kill()

    assert source.calls[:4] == ["read", 3, "read", 9]
    assert tracker.policy.version == 2


def test_outage_keeps_the_revision(tracker, manual_clock):
    source = Source(
        read_result(1, revision=3),
        errors.TableUnavailableError(),
        read_result(2, revision=4),
    )
    follower = followers.PolicyFollower(source, tracker, manual_clock)

    greenlet = gevent.spawn(follower.run)
    while len(source.calls) < 4:
        gevent.sleep(0.01)
    greenlet.kill()

    assert source.calls[:4] == ["read", 3, 3, 4]


def test_unexpected_error_doesn_t_stop_the_follower(tracker, manual_clock):
    source = Source(ValueError("bug"), read_result(1), read_result(2))
    follower = followers.PolicyFollower(source, tracker, manual_clock)

    greenlet = gevent.spawn(follower.run)
    while tracker.policy is None:
        gevent.sleep(0.01)
    greenlet.kill()

    assert tracker.policy.version >= 1


def test_upstream_changes_are_applied(manual_clock):
    one = builders.plain("i-1")
    source = Source(
        followers.UpstreamReadResult({"i-1": one}, (), 1, 0.0),
        followers.UpstreamReadResult({}, ("i-1",), 2, 0.0),
    )
    directory = upstreams.UpstreamDirectory(manual_clock)
    follower = followers.UpstreamFollower(source, directory, manual_clock)

    follower.step()
    assert directory.candidates("app") == [one]
    manual_clock.advance(datetime.timedelta(seconds=1))
    follower.step()
    assert directory.candidates("app") == []


def test_long_read_without_a_change_confirms_all_but_the_feed_gap(
    tracker, manual_clock
):
    """The store may miss changes of the last second before it drops history."""
    start = manual_clock.monotonic()
    source = Source(
        read_result(1, sent_at=start), read_result(None, sent_at=start)
    )
    follower = followers.PolicyFollower(source, tracker, manual_clock, 2.8)
    follower.step()
    manual_clock.advance(datetime.timedelta(seconds=2.8))

    follower.step()

    assert tracker.age() == pytest.approx(followers.FEED_GAP_S)


def test_policy_read_late_in_a_wait_is_confirmed_by_the_next_read_at_once(
    tracker, manual_clock
):
    """Guards against refusals for unconfirmed keys after each change."""
    start = manual_clock.monotonic()
    source = Source(
        read_result(1, sent_at=start),
        read_result(2, sent_at=start),
        read_result(None, sent_at=start + 2.7),
    )
    follower = followers.PolicyFollower(source, tracker, manual_clock, 2.8)
    follower.step()
    manual_clock.advance(datetime.timedelta(seconds=2.7))

    follower.step()
    follower.step()

    assert source.waits == [2.8, 0.0]
    assert tracker.age() == pytest.approx(0)


def test_wait_for_changes_leaves_time_to_transfer_a_large_policy(
    tracker, manual_clock
):
    """Guards against confirmations that expire during a slow transfer."""
    slow = transfers.Transfer(800_000, 0.1, 1.4)
    first = read_result(1, sent_at=manual_clock.monotonic())
    source = Source(
        first._replace(transfer=slow), read_result(None, revision=2)
    )
    follower = followers.PolicyFollower(source, tracker, manual_clock, 2.8)
    follower.step()

    follower.step()

    assert source.waits == [pytest.approx(1.4)]


def test_unreadable_policies_are_not_read_without_a_pause(
    tracker, manual_clock
):
    """Guards against a busy loop while the newest policy is invalid."""
    start = manual_clock.monotonic()
    source = Source(
        read_result(1, sent_at=start),
        read_result(None, sent_at=start, readable=False),
        read_result(None, sent_at=start, readable=False),
    )
    follower = followers.PolicyFollower(source, tracker, manual_clock, 2.8)
    follower.step()
    manual_clock.advance(datetime.timedelta(seconds=2.7))

    follower.step()
    follower.step()

    assert source.waits == [2.8, 2.8]


def test_short_read_without_a_change_confirms_only_its_start(
    tracker, manual_clock
):
    start = manual_clock.monotonic()
    source = Source(
        read_result(1, sent_at=start - 9), read_result(None, sent_at=start)
    )
    follower = followers.PolicyFollower(source, tracker, manual_clock, 2.8)
    follower.step()
    manual_clock.advance(datetime.timedelta(seconds=0.5))

    follower.step()

    assert tracker.age() == pytest.approx(0.5)


class OutageSource:
    """Registrations of a store that one host can't reach for some time.

    Args:
        clock: Source of time.
        ends_at: Instant from which a read succeeds, in seconds.
        read_s: Duration of a read that fails, in seconds.
        left_at: Instant at which "i-1" leaves, in seconds.
    """

    def __init__(self, clock, ends_at, read_s, left_at):
        self.clock = clock
        self.ends_at = ends_at
        self.read_s = read_s
        self.left_at = left_at

    def read_changes(self, revision, wait_s):
        now = self.clock.monotonic()
        if now < self.ends_at:
            self.clock.advance(datetime.timedelta(seconds=self.read_s))
            raise errors.TableUnavailableError("no answer")
        removed = ("i-1",) if now >= self.left_at else ()
        return followers.UpstreamReadResult({}, removed, revision, now)


@pytest.mark.parametrize("read_s", [0.0, 0.5, 0.8], ids=str)
@pytest.mark.parametrize("left_s", [-1.0, 0.5], ids=["during", "after"])
def test_upstream_that_left_gets_nothing_3_s_after_an_outage(
    manual_clock, read_s, left_s
):
    """Guards against waiting for upstreams that left during an own outage.

    Whatever the moment of the tries, and whether reads fail at once or late.
    """
    late = []
    for phase in range(50, 90):
        started_at = manual_clock.monotonic()
        ends_at = started_at + phase / 10
        directory = builders.directory(manual_clock, builders.plain("i-1"))
        directory.position = AT_1
        source = OutageSource(manual_clock, ends_at, read_s, ends_at + left_s)
        follower = followers.UpstreamFollower(source, directory, manual_clock)
        follower.position = AT_1
        while manual_clock.monotonic() < ends_at + 3.0:
            wait = datetime.timedelta(seconds=follower.try_step())
            manual_clock.advance(wait)
        if directory.candidates("app"):
            late.append(phase)

    assert late == []


def test_entries_missing_after_an_outage_of_the_store_are_kept(manual_clock):
    """Guards against a host without upstreams while they register again."""
    directory = builders.directory(manual_clock, builders.plain("i-1"))
    directory.position = AT_1
    now = manual_clock.monotonic()
    source = OutageSource(manual_clock, now + 5.0, 0.0, now)
    follower = followers.UpstreamFollower(source, directory, manual_clock)
    follower.position = AT_1

    while manual_clock.monotonic() < now + 5.0 + 1.5:
        assert directory.candidates("app")
        wait = datetime.timedelta(seconds=follower.try_step())
        manual_clock.advance(wait)


def peer_report(**changes):
    base = reports.Report(1, "h2", 1, 1, [], [], [], [], [], [])
    return base._replace(**changes)


def test_peer_s_read_of_the_same_entries_replaces_a_read(manual_clock):
    one = builders.plain("i-1")
    source = Source(
        followers.UpstreamReadResult({"i-1": one}, (), 1, 0.0),
    )
    directory = upstreams.UpstreamDirectory(manual_clock)
    follower = followers.UpstreamFollower(
        source, directory, manual_clock, rank=lambda: followers.READER_COUNT
    )
    follower.step()
    for _ in range(5):
        manual_clock.advance(datetime.timedelta(seconds=0.5))
        directory.apply_report(
            peer_report(directory=directory.digest, directory_age_ms=0), True
        )
        follower.step()

    assert source.calls == ["read"]


def test_first_hosts_read_more_often_and_report_it(manual_clock):
    one = builders.plain("i-1")
    result = followers.UpstreamReadResult({"i-1": one}, (), 1, 0.0)
    source = Source(result, result)
    reported = []
    follower = followers.UpstreamFollower(
        source,
        upstreams.UpstreamDirectory(manual_clock),
        manual_clock,
        rank=lambda: 0,
        on_read=lambda: reported.append(1),
    )
    follower.step()
    manual_clock.advance(
        datetime.timedelta(seconds=followers.READER_INTERVAL_S + 0.01)
    )

    follower.step()

    assert source.calls == ["read", 1]
    assert reported == [1]


def test_peer_s_newer_read_of_other_entries_causes_a_read(manual_clock):
    one = builders.plain("i-1")
    source = Source(
        followers.UpstreamReadResult({"i-1": one}, (), 1, 0.0),
        followers.UpstreamReadResult({}, ("i-1",), 2, 0.0),
    )
    directory = upstreams.UpstreamDirectory(manual_clock)
    follower = followers.UpstreamFollower(source, directory, manual_clock)
    follower.step()
    manual_clock.advance(datetime.timedelta(seconds=0.3))

    directory.apply_report(peer_report(directory=5, directory_age_ms=10), True)
    follower.step()

    assert not directory.candidates("app")


def read_twice(clock, *entries):
    """Returns two directories that have read the same entries."""
    directories = []
    for _ in range(2):
        directory = upstreams.UpstreamDirectory(clock)
        directory.replace(
            {entry.id: entry for entry in entries}, store_epochs.Position(0, 5)
        )
        directories.append(directory)
    return directories


def test_change_reported_by_a_peer_replaces_a_read(manual_clock):
    one, two = builders.plain("i-1"), builders.plain("i-2")
    reader, other = read_twice(manual_clock, one, two)
    manual_clock.advance(datetime.timedelta(seconds=0.5))
    reader.update(
        [one._replace(ready=False)], ["i-2"], store_epochs.Position(0, 9)
    )

    other.apply_report(reader.add_to_report(peer_report()), True)

    assert other.upstreams == reader.upstreams
    assert other.position == store_epochs.Position(0, 9)
    assert not other.outdated


def test_host_that_missed_a_change_is_outdated(manual_clock):
    one, two = builders.plain("i-1"), builders.plain("i-2")
    reader, other = read_twice(manual_clock, one, two)
    manual_clock.advance(datetime.timedelta(seconds=0.5))
    reader.update([one._replace(ready=False)], [], store_epochs.Position(0, 8))
    reader.update([], ["i-2"], store_epochs.Position(0, 9))

    other.apply_report(reader.add_to_report(peer_report()), True)

    assert other.outdated
    assert other.position == store_epochs.Position(0, 5)


def test_old_change_is_not_reported(manual_clock):
    one = builders.plain("i-1")
    reader, _ = read_twice(manual_clock, one)
    reader.update([one._replace(ready=False)], [], store_epochs.Position(0, 8))
    manual_clock.advance(
        datetime.timedelta(seconds=upstreams.CHANGE_REPORTED_S + 0.1)
    )
    reader.update([], [], store_epochs.Position(0, 9))

    assert reader.add_to_report(peer_report()).directory_changed == ()


def test_peer_s_older_read_changes_nothing(manual_clock):
    one = builders.plain("i-1")
    directory = builders.directory(manual_clock, one)
    directory.position = AT_1

    directory.apply_report(peer_report(directory=5, directory_age_ms=10), True)

    assert not directory.outdated


def test_read_is_reported_with_its_age(manual_clock):
    directory = builders.directory(manual_clock, builders.plain("i-1"))
    manual_clock.advance(datetime.timedelta(seconds=0.4))

    fresh = directory.add_to_report(peer_report())
    manual_clock.advance(datetime.timedelta(seconds=5))
    old = directory.add_to_report(peer_report())

    assert fresh.directory == directory.digest
    assert fresh.directory_age_ms == pytest.approx(400, abs=1)
    assert old.directory_age_ms == -1


def passed_follower(source, tracker, clock):
    return followers.PolicyFollower(
        source, tracker, clock, is_passed_on=lambda: True
    )


def test_member_does_not_read_while_its_relay_confirms(tracker, manual_clock):
    """Reads of each host by itself were the largest price of a fleet."""
    source = Source(read_result(7, sent_at=manual_clock.monotonic()))
    follower = passed_follower(source, tracker, manual_clock)
    follower.step()

    for _ in range(20):
        manual_clock.advance(datetime.timedelta(seconds=1))
        tracker.confirm_passed(7, manual_clock.monotonic() - 1.0)
        assert follower.step() == followers.PASSED_CHECK_S

    assert source.calls == ["read"]


def test_member_reads_by_itself_when_confirmations_grow_old(
    tracker, manual_clock
):
    now = manual_clock.monotonic()
    source = Source(read_result(7, sent_at=now), read_result(None, 1, now))
    follower = passed_follower(source, tracker, manual_clock)
    follower.step()

    age = datetime.timedelta(seconds=followers.MAX_PASSED_AGE_S + 0.1)
    manual_clock.advance(age)
    follower.step()

    assert source.waits == [0.0]
    assert follower.fallback_reads == 1


def test_member_reads_a_version_that_its_relay_announces(tracker, manual_clock):
    now = manual_clock.monotonic()
    source = Source(read_result(7, sent_at=now), read_result(8, 2, now))
    follower = passed_follower(source, tracker, manual_clock)
    follower.step()

    tracker.confirm_passed(8, now)
    assert tracker.version() == 7
    follower.step()

    assert tracker.version() == 8
    assert follower.fallback_reads == 0


def test_member_reads_the_whole_policy_after_a_long_pause(
    tracker, manual_clock
):
    """The store no longer has the changes since its last read."""
    now = manual_clock.monotonic()
    source = Source(read_result(7, sent_at=now), read_result(8, 2, now))
    follower = passed_follower(source, tracker, manual_clock)
    follower.step()
    pause = datetime.timedelta(seconds=followers.HISTORY_S + 1)
    manual_clock.advance(pause)

    follower.step()

    assert source.calls == ["read", "read"]


def test_confirmation_of_another_version_confirms_nothing(
    tracker, manual_clock
):
    tracker.apply(read_result(7))
    confirmed_at = tracker.confirmed_at

    for version in (6, 8):
        tracker.confirm_passed(version, manual_clock.monotonic())

    assert tracker.confirmed_at == confirmed_at


def test_version_that_can_not_be_obtained_is_read_once(tracker, manual_clock):
    """Hosts of a newer build may use a version that this one can't decode.

    Reading it again at once, and forever, would use up the store's rate.
    """
    now = manual_clock.monotonic()
    old = read_result(7, sent_at=now)
    unreadable = read_result(None, 2, now, readable=False)
    source = Source(old, unreadable, read_result(9, 3, now))
    follower = passed_follower(source, tracker, manual_clock)
    follower.step()

    for _ in range(3):
        tracker.confirm_passed(8, now)
        follower.step()
    assert source.calls == ["read", 1]

    tracker.confirm_passed(9, now)
    follower.step()
    assert tracker.version() == 9
