"""Tests that callers who retry as told are not refused by the same rule again.

Every host must recognize their requests.
"""

from __future__ import annotations

import datetime

from coltsfootarch.fleet import reports
from coltsfootarch.scheduling import refusals


def send_report(source, target, host="h1"):
    empty = reports.Report(1, host, 1, 1, [], [], [], [], [], [])
    report = source.add_to_report(empty)
    target.apply_report(report, True)
    return report


def test_refused_request_is_known_on_every_host(manual_clock):
    first_host = refusals.RecentRefusals(manual_clock)
    second_host = refusals.RecentRefusals(manual_clock)
    first_host.record("digest")

    send_report(first_host, second_host)

    assert first_host.was_refused("digest")
    assert second_host.was_refused("digest")
    assert not second_host.was_refused("other")


def test_refusals_expire_although_they_are_reported_repeatedly(manual_clock):
    first_host = refusals.RecentRefusals(manual_clock)
    second_host = refusals.RecentRefusals(manual_clock)
    first_host.record("digest")
    for _ in range(4):
        send_report(first_host, second_host)
        manual_clock.advance(
            datetime.timedelta(seconds=refusals.RETENTION_S / 3 + 0.1)
        )

    assert not first_host.was_refused("digest")
    assert not second_host.was_refused("digest")
    second_host.record("other")
    send_report(second_host, first_host)
    assert list(first_host.peers) == ["other"]
    assert not second_host.peers


def test_report_lists_only_the_latest_refusals(manual_clock):
    first_host = refusals.RecentRefusals(manual_clock)
    second_host = refusals.RecentRefusals(manual_clock)
    for number in range(refusals.MAX_REPORTED_REFUSALS + 50):
        first_host.record(str(number))
    first_host.record("100")

    report = send_report(first_host, second_host)

    assert len(report.refused) == refusals.MAX_REPORTED_REFUSALS
    assert report.refused[-1] == "100"
