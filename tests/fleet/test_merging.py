"""Tests that sums of reports neither lose nor repeat what they are made of."""

from __future__ import annotations

import datetime
import random

import pytest

from coltsfootarch.fleet import merging
from coltsfootarch.fleet import reports


def report(number):
    return reports.empty_report(f"h{number}", 1, 1)._replace(
        loads=[("d-1", number, 10 * number), (f"d-{number}", 1, 5)],
        breaks=[("broken", 1)],
        failures=[("i-1", number)],
        refusing=[f"d-{number}"],
        waiting=[("summaries", number)],
        refused=(f"digest-{number}",),
        crashed_parts=(("summaries", ("p-1",), ("d-1",), 100 * number),),
        sound_parts=(("summaries", "p-2", 100 * number),),
        broken_requests=(("digest", (f"cause-{number}",), 100 * number),),
        completed_requests=(("other", 100 * number),),
        upstream_limits=(("i-1", number, 1000, 100), ("i-2", 5, number, 9)),
    )


def test_sum_does_not_depend_on_the_order():
    received = [merging.Received(report(n), n) for n in range(1, 9)]
    expected = merging.merge(received)
    generator = random.Random(1)

    for _ in range(20):
        generator.shuffle(received)
        assert merging.merge(received) == expected


def test_sum_of_sums_is_the_sum():
    """Groups of groups must add up to what each host reported."""
    received = [merging.Received(report(n)) for n in range(1, 9)]
    groups = [
        merging.Received(merging.merge(received[:3])),
        merging.Received(merging.merge(received[3:])),
    ]

    assert merging.merge(groups) == merging.merge(received)
    # 10 tokens for each of 1 to 8, and 5 of the first host's other entry.
    assert ("d-1", 37, 365) in merging.merge(groups).loads


def test_crashes_grow_older_while_they_are_passed_on():
    """A crash that looks recent again would outlast a later sound request."""
    merged = merging.merge([merging.Received(report(2), 500)])

    assert merged.crashed_parts == (("summaries", ("p-1",), ("d-1",), 700),)
    assert merged.sound_parts == (("summaries", "p-2", 700),)


@pytest.fixture
def totals(manual_clock):
    return merging.UsageTotals(manual_clock.monotonic)


def test_usage_counts_differences_once(totals):
    """Repeated and lost reports must not change what is subtracted."""
    for value in (100, 100, 250, 250):
        usage = [("acme", 0, value)]
        totals.add(totals.differences("h1", usage, True))

    assert totals.usage() == [("acme", 0, 250)]


def test_restarted_source_does_not_give_back_usage(totals):
    totals.add(totals.differences("h1", [("acme", 0, 900)], True))
    totals.add(totals.differences("h1", [("acme", 0, 50)], False))
    totals.add(totals.differences("h1", [("acme", 0, 80)], True))

    assert totals.usage() == [("acme", 0, 930)]


def test_member_is_not_told_its_own_usage(totals):
    """It has subtracted that itself when it admitted the requests."""
    for member, value in (("h1", 300), ("h2", 40), ("h1", 500)):
        differences = totals.differences(member, [("acme", 0, value)], True)
        totals.add(differences, member=member)

    assert totals.usage() == [("acme", 0, 540)]
    assert totals.usage(without="h1") == [("acme", 0, 40)]
    assert totals.usage(without="h2") == [("acme", 0, 500)]
    assert totals.usage(without="h3") == [("acme", 0, 540)]


def test_receiver_that_missed_a_window_subtracts_only_the_window(
    totals, manual_clock
):
    """Its base is the value before the window, for a member too."""
    totals.add({"acme": 300}, member="h1")
    totals.add({"acme": 70}, member="h2")
    pause = datetime.timedelta(seconds=merging.USAGE_WINDOW_S + 1)
    manual_clock.advance(pause)
    assert totals.usage() == []
    totals.add({"acme": 5}, member="h2")

    assert totals.usage() == [("acme", 370, 375)]
    assert totals.usage(without="h1") == [("acme", 70, 75)]
    assert totals.usage(without="h2") == [("acme", 300, 300)]
