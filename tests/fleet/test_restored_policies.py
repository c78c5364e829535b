"""Tests that no older policy is used after the store was restored."""

from __future__ import annotations

import datetime

import gevent
import pytest

from coltsfootarch.fleet import active_policy
from coltsfootarch.fleet import followers
from coltsfootarch.fleet import reports
from coltsfootarch.fleet import store_epochs
from tests.fleet import builders


def read_result(version, epoch=1, sent_at=0.0, digest=None, revision=5):
    return active_policy.PolicyReadResult(
        builders.make_policy(version) if version else None,
        revision,
        sent_at,
        True,
        epoch=epoch,
        digest=version if digest is None else digest,
    )


@pytest.fixture
def epochs(manual_clock):
    epochs = store_epochs.StoreEpochs(manual_clock)
    epochs.observe(1, "test")
    return epochs


@pytest.fixture
def tracker(manual_clock, epochs):
    return active_policy.PolicyTracker(manual_clock, epochs)


def advance(clock, seconds):
    clock.advance(datetime.timedelta(seconds=seconds))
    return clock.monotonic()


def test_older_policy_of_a_restored_store_confirms_nothing(
    tracker, manual_clock
):
    """Guards against keys that stay valid since an old copy is readable."""
    tracker.apply(read_result(7, sent_at=manual_clock.monotonic()))
    now = advance(manual_clock, 4.0)

    tracker.apply(read_result(5, 2, now))
    tracker.apply(read_result(None, 2, now, digest=0))

    assert tracker.version() == 7
    assert tracker.age() == pytest.approx(4.0)


def test_policy_that_is_written_again_is_confirmed(tracker, manual_clock):
    tracker.apply(read_result(7, sent_at=manual_clock.monotonic()))
    now = advance(manual_clock, 4.0)
    tracker.apply(read_result(5, 2, now))

    tracker.apply(read_result(7, 2, now))

    assert tracker.age() == 0.0


@pytest.mark.parametrize(
    ("row_revision", "is_confirmed"), [(5, False), (4, True)]
)
def test_row_of_the_copy_does_not_show_that_there_is_no_newer_one(
    tracker, manual_clock, epochs, row_revision, is_confirmed
):
    """Guards against a withdrawn key: its withdrawal may be lost for now."""
    now = manual_clock.monotonic()
    tracker.apply(read_result(7, sent_at=now)._replace(row_revision=5))
    advance(manual_clock, 1.0)
    epochs.observe(2, "test")
    now = advance(manual_clock, 0.1)

    copied = read_result(7, 2, now)._replace(row_revision=row_revision)
    tracker.apply(copied)
    tracker.apply(read_result(None, 2, now, digest=0))
    assert (tracker.age() == 0.0) is is_confirmed

    now = advance(manual_clock, active_policy.REWRITE_S)
    tracker.apply(read_result(None, 2, now, digest=0))
    assert tracker.age() == 0.0


def test_row_that_is_written_again_after_the_copy_was_read_confirms(
    tracker, manual_clock, epochs
):
    now = manual_clock.monotonic()
    tracker.apply(read_result(7, sent_at=now)._replace(row_revision=5))
    epochs.observe(2, "test")
    now = advance(manual_clock, 0.1)
    tracker.apply(read_result(7, 2, now)._replace(row_revision=5))
    now = advance(manual_clock, 0.1)

    tracker.apply(read_result(7, 2, now)._replace(row_revision=9))

    assert tracker.age() == 0.0


def test_store_that_has_lost_the_policy_confirms_nothing(tracker, manual_clock):
    tracker.apply(read_result(7, sent_at=manual_clock.monotonic()))
    now = advance(manual_clock, 4.0)

    empty = read_result(None, 2, now, digest=0)
    tracker.apply(empty._replace(complete=True))

    assert tracker.age() == pytest.approx(4.0)


def test_version_with_other_content_in_a_later_epoch_is_used(tracker):
    tracker.apply(read_result(7, digest=70))
    first = tracker.policy

    tracker.apply(read_result(7, digest=71))
    assert tracker.policy is first

    tracker.apply(read_result(7, 2, digest=71))
    assert tracker.policy is not first


@pytest.mark.parametrize(
    ("epoch", "digest", "is_confirmed"),
    [(0, 0, True), (1, 70, True), (2, 70, True), (2, 71, False)],
)
def test_confirmation_of_other_content_confirms_nothing(
    tracker, manual_clock, epoch, digest, is_confirmed
):
    tracker.apply(read_result(7, digest=70))
    now = advance(manual_clock, 2.0)

    tracker.confirm_passed(7, now, epoch, digest)

    assert (tracker.age() == 0.0) is is_confirmed
    assert tracker.is_behind() is not is_confirmed


def test_started_host_does_not_begin_with_an_older_policy_than_others(tracker):
    """Guards against withdrawn keys and routes that a copy brings back."""
    tracker.announce(active_policy.Edition(12, 1, 12))

    tracker.apply(read_result(9, 2))
    assert tracker.policy is None

    tracker.apply(read_result(12, 2))
    assert tracker.version() == 12


class Source:
    """Returns results in order, then the last one without a change."""

    def __init__(self, *results):
        self.results = list(results)

    def read(self):
        return self.results.pop(0)

    def read_changes(self, position, wait_s):
        if self.results:
            return self.results.pop(0)
        return read_result(None, position.epoch, digest=0)


def test_started_host_hears_others_before_its_first_policy(
    tracker, manual_clock
):
    follower = followers.PolicyFollower(
        Source(read_result(9, 2)), tracker, manual_clock
    )
    step = gevent.spawn(follower.step)
    gevent.sleep(0.01)
    assert tracker.policy is None

    tracker.announce(active_policy.Edition(12, 1, 12))
    step.join(timeout=1.0)

    assert tracker.policy is None
    assert not step


def test_first_policy_of_a_store_that_was_not_restored_is_used_at_once(
    tracker, manual_clock
):
    follower = followers.PolicyFollower(
        Source(read_result(9)), tracker, manual_clock
    )
    with gevent.Timeout(0.1):
        follower.step()

    assert tracker.version() == 9


def test_host_whose_newer_policy_is_lost_handles_no_requests(
    tracker, manual_clock
):
    """Guards against an older policy at a host that had missed the newest."""
    source = Source(read_result(11), read_result(11, 2))
    follower = followers.PolicyFollower(source, tracker, manual_clock)
    follower.step()
    tracker.announce(active_policy.Edition(12, 1, 12))
    assert tracker.usable_policy() is not None

    follower.step()
    assert tracker.usable_policy() is None

    source.results.append(read_result(12, 2))
    follower.step()
    assert tracker.usable_policy().version == 12


def test_unreadable_newer_policy_does_not_stop_a_host(tracker, manual_clock):
    """Hosts of a newer build may use a policy that this one can't decode."""
    unreadable = read_result(None, digest=0)._replace(readable=False)
    source = Source(read_result(11), unreadable)
    follower = followers.PolicyFollower(source, tracker, manual_clock)
    follower.step()
    tracker.announce(active_policy.Edition(12, 1, 12))

    follower.step()
    follower.step()

    assert tracker.usable_policy().version == 11


def test_member_reads_until_a_lost_policy_is_written_again(
    tracker, manual_clock
):
    source = Source(read_result(11), read_result(11, 2), read_result(12, 2))
    follower = followers.PolicyFollower(
        source, tracker, manual_clock, is_passed_on=lambda: True
    )
    follower.step()
    tracker.confirm_passed(12, float("-inf"), 1, 12)
    for _ in range(6):
        tracker.confirm_passed(12, float("-inf"), 1, 12)
        follower.step()
        advance(manual_clock, followers.PASSED_CHECK_S)

    assert tracker.usable_policy().version == 12


def make_report(**changes):
    return reports.empty_report("host-2", 1, 1)._replace(**changes)


def test_version_is_told_to_a_host_that_was_not_heard_before(
    tracker, manual_clock
):
    tracker.apply(read_result(7))
    advance(manual_clock, 10.0)
    assert tracker.add_to_report(make_report()).policy_version == 0

    tracker.apply_report(make_report(), continuous=False)

    assert tracker.add_to_report(make_report()).policy_version == 7


def test_edition_is_told_after_a_restoration(tracker, manual_clock, epochs):
    tracker.apply(read_result(7, digest=70))
    advance(manual_clock, 10.0)

    epochs.observe(2, "test")
    report = tracker.add_to_report(make_report())

    assert (report.policy_version, report.policy_epoch) == (7, 1)
    assert report.policy_digest == 70
