"""Guards callers that come back as told from being refused again."""

from __future__ import annotations

import datetime

from coltsfootarch.fleet import reports
from coltsfootarch.scheduling import refusals


def exchange(source, target, host="h1"):
    empty = reports.Report(1, host, 1, 1, [], [], [], [], [], [])
    report = source.contribute(empty)
    target.absorb(report, True)
    return report


def test_refused_request_is_known_on_every_host(manual_clock):
    one = refusals.RecentRefusals(manual_clock)
    two = refusals.RecentRefusals(manual_clock)
    one.note("digest")

    exchange(one, two)

    assert one.is_known("digest")
    assert two.is_known("digest")
    assert not two.is_known("other")


def test_refusals_are_forgotten_though_they_are_reported_again(manual_clock):
    one = refusals.RecentRefusals(manual_clock)
    two = refusals.RecentRefusals(manual_clock)
    one.note("digest")
    for _ in range(4):
        exchange(one, two)
        manual_clock.advance(
            datetime.timedelta(seconds=refusals.MEMORY_S / 3 + 0.1)
        )

    assert not one.is_known("digest")
    assert not two.is_known("digest")
    two.note("other")
    exchange(two, one)
    assert list(one.peers) == ["other"]
    assert not two.peers


def test_reports_stay_small_under_overload(manual_clock):
    one = refusals.RecentRefusals(manual_clock)
    two = refusals.RecentRefusals(manual_clock)
    for number in range(refusals.MAX_REPORTED + 50):
        one.note(str(number))
    one.note("100")

    report = exchange(one, two)

    assert len(report.refused) == refusals.MAX_REPORTED
    assert report.refused[-1] == "100"
