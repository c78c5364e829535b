"""Tests which upstreams get requests after the store was restored."""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch.fleet import reports
from coltsfootarch.fleet import store_epochs
from coltsfootarch.fleet import upstreams
from tests.fleet import builders

BEFORE = store_epochs.Position(1, 30)


def after(revision):
    return store_epochs.Position(2, revision)


def entry(name, **changes):
    return builders.plain(name, started_ms=1000, **changes)


def advance(clock, seconds):
    clock.advance(datetime.timedelta(seconds=seconds))


@pytest.fixture
def epochs(manual_clock):
    epochs = store_epochs.StoreEpochs(manual_clock)
    epochs.observe(1, "test")
    return epochs


@pytest.fixture
def directory(manual_clock, epochs):
    directory = upstreams.UpstreamDirectory(manual_clock, epochs)
    one, two = entry("i-1"), entry("i-2")
    directory.replace({"i-1": one, "i-2": two}, store_epochs.Position(1, 10))
    return directory


def serving(directory):
    return sorted(each.id for each in directory.candidates("app"))


def copy_of(*names):
    """Returns the ready entries of a copy."""
    return {name: entry(name) for name in names}


def test_draining_upstream_is_not_ready_again_in_a_copy(directory):
    directory.update([entry("i-1", ready=False)], [], BEFORE)

    directory.replace(copy_of("i-1", "i-2"), after(12), {"i-1": 11, "i-2": 12})
    directory.replace(copy_of("i-1", "i-2"), after(13), {"i-1": 11, "i-2": 13})

    assert serving(directory) == ["i-2"]


def test_upstream_that_left_is_not_back_in_a_copy(directory):
    directory.update([], ["i-1"], BEFORE)

    directory.replace(copy_of("i-1", "i-2"), after(12), {"i-1": 11, "i-2": 12})
    directory.expire()

    assert serving(directory) == ["i-2"]


def test_upstream_that_registers_after_the_restoration_is_used(directory):
    """An entry can be gone for a while though its upstream lives."""
    directory.update([], ["i-1"], BEFORE)
    directory.replace(copy_of("i-1", "i-2"), after(12), {"i-1": 11})

    directory.update([entry("i-1")], [], after(14), {"i-1": 14})

    assert serving(directory) == ["i-1", "i-2"]


@pytest.mark.parametrize("is_copied", [True, False])
def test_upstream_that_registers_after_a_second_restoration_is_used(
    directory, is_copied
):
    """Guards against a revision that is compared with one of before."""
    directory.update([], ["i-1"], BEFORE)
    directory.replace(copy_of("i-1", "i-2"), after(25), {"i-1": 25})
    names = ("i-1", "i-2") if is_copied else ("i-2",)
    directory.replace(
        copy_of(*names), store_epochs.Position(3, 12), {"i-1": 11}
    )
    assert serving(directory) == ["i-2"]

    position = store_epochs.Position(3, 14)
    directory.update([entry("i-1")], [], position, {"i-1": 14})

    assert serving(directory) == ["i-1", "i-2"]


def test_upstream_that_starts_again_under_its_id_is_used(directory):
    directory.update([], ["i-1"], BEFORE)
    restarted = entry("i-1")._replace(started_ms=2000)

    directory.replace({"i-1": restarted}, after(12), {"i-1": 11})

    assert "i-1" in serving(directory)


def test_upstream_that_is_missing_from_the_copy_may_register_again(
    directory, manual_clock
):
    """Guards against a service without upstreams after a short outage."""
    directory.update([entry("i-3")], [], BEFORE)
    advance(manual_clock, 1.0)
    directory.replace(copy_of("i-1", "i-2"), after(12))
    advance(manual_clock, 1.5)
    directory.expire()
    assert serving(directory) == ["i-1", "i-2", "i-3"]

    advance(manual_clock, 0.6)
    directory.expire()

    assert serving(directory) == ["i-1", "i-2"]


def make_report(**changes):
    return reports.empty_report("host-2", 1, 1)._replace(**changes)


@pytest.mark.parametrize("is_told_first", [True, False])
def test_started_host_learns_which_upstreams_have_left(
    directory, epochs, manual_clock, is_told_first
):
    directory.update([], ["i-1"], BEFORE)
    epochs.observe(2, "test")
    directory.replace(copy_of("i-1", "i-2"), after(12), {"i-1": 11})
    started = upstreams.UpstreamDirectory(manual_clock, epochs)
    report = directory.add_to_report(make_report())

    if is_told_first:
        started.apply_report(report, True)
    started.replace(copy_of("i-1", "i-2"), after(12), {"i-1": 11})
    started.apply_report(report, True)

    assert serving(started) == ["i-2"]
    started.update([entry("i-1")], [], after(14), {"i-1": 14})
    started.apply_report(report, True)
    assert serving(started) == ["i-1", "i-2"]


def test_departures_are_told_after_a_restoration_only(
    directory, epochs, manual_clock
):
    directory.update([], ["i-1"], BEFORE)
    assert directory.add_to_report(make_report()).departed == ()

    epochs.observe(2, "test")
    assert directory.add_to_report(make_report()).departed == ("i-1@1000",)

    advance(manual_clock, 11.0)
    assert directory.add_to_report(make_report()).departed == ()


def test_read_of_an_earlier_epoch_by_a_peer_changes_nothing(
    directory, epochs, manual_clock
):
    directory.replace(copy_of("i-1", "i-2"), after(12))
    advance(manual_clock, 1.0)
    of_earlier_epoch = make_report(
        directory=5, directory_age_ms=10, directory_revision=40
    )

    directory.apply_report(of_earlier_epoch, True)

    assert not directory.outdated
    assert directory.position == after(12)


def test_read_of_a_later_epoch_by_a_peer_is_followed(
    directory, epochs, manual_clock
):
    advance(manual_clock, 1.0)
    epochs.observe(2, "test")
    report = make_report(
        directory=directory.digest,
        directory_age_ms=10,
        directory_revision=4,
        store_epoch=2,
    )

    directory.apply_report(report, True)
    assert directory.position == after(4)
    assert not directory.outdated


def test_host_reports_no_read_from_before_a_restoration(directory, epochs):
    """Others would go on behind a revision that is given out again."""
    epochs.observe(2, "test")

    report = directory.add_to_report(epochs.add_to_report(make_report()))

    assert report.store_epoch == 2
    assert report.directory_age_ms == -1
