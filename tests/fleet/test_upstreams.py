"""Tests that upstreams that left get no requests and others aren't lost."""

from __future__ import annotations

import datetime

from coltsfootarch.fleet import followers
from coltsfootarch.fleet import upstreams
from tests.fleet import builders

SHORT = datetime.timedelta(seconds=0.9)
OUTAGE = datetime.timedelta(seconds=5)
REREGISTRATION = datetime.timedelta(seconds=upstreams.REREGISTRATION_S)


def names(directory):
    return {upstream.id for upstream in directory.candidates("app")}


def test_draining_upstream_gets_no_new_requests(manual_clock):
    one = builders.plain("i-1")
    directory = builders.directory(manual_clock, one)

    directory.update([one._replace(ready=False)], [])

    assert names(directory) == set()
    assert not directory.is_serving("i-1")


def test_removed_upstream_is_dropped_at_once_without_an_outage(manual_clock):
    directory = builders.directory(
        manual_clock, builders.plain("i-1"), builders.plain("i-2")
    )
    manual_clock.advance(SHORT)

    directory.update([], ["i-1"])

    assert names(directory) == {"i-2"}


def test_entries_missing_after_an_outage_have_time_to_reregister(manual_clock):
    one = builders.plain("i-1")
    directory = builders.directory(manual_clock, one, builders.plain("i-2"))
    manual_clock.advance(OUTAGE)

    directory.replace({})
    assert names(directory) == {"i-1", "i-2"}

    manual_clock.advance(SHORT)
    directory.update([one], [])
    manual_clock.advance(REREGISTRATION)
    directory.expire()
    assert names(directory) == {"i-1"}


def test_rejected_upstream_is_not_a_candidate(manual_clock):
    one = builders.plain("i-1")
    directory = builders.directory(manual_clock, one)

    directory.reject("i-1")

    assert names(directory) == set()
    # A new registration with the same id makes it a candidate again.
    directory.update([one._replace(address="10.0.0.9:80")], [])
    assert names(directory) == {"i-1"}


def test_listeners_are_called_only_for_changes(manual_clock):
    one = builders.plain("i-1")
    directory = builders.directory(manual_clock, one)
    calls = []
    directory.on_change.append(lambda: calls.append(1))

    directory.update([one], [])
    assert not calls

    directory.update([one._replace(ready=False)], [])
    assert calls


def test_upstream_that_left_after_a_host_s_own_outage_gets_nothing(
    manual_clock,
):
    """The store was up all the time; only this host could not read it.

    Others dropped the upstream at once. Users allow 2 s after its removal to
    hosts that have been undisturbed for 3 s.
    """
    directory = builders.directory(manual_clock, builders.plain("i-1"))
    own_outage = datetime.timedelta(seconds=3.0)
    manual_clock.advance(own_outage)
    # The upstream leaves a second later, before the next try to read.
    retry_pause = followers.UPSTREAM_RETRY_MAX_S
    manual_clock.advance(datetime.timedelta(seconds=retry_pause))
    directory.update([], ["i-1"])

    manual_clock.advance(datetime.timedelta(seconds=3.0 - retry_pause))
    directory.expire()

    assert names(directory) == set()
