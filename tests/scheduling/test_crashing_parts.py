"""Tests which prompt parts are refused after crashes, and which are not."""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch.fleet import reports
from coltsfootarch.scheduling import crashing_parts


def build(clock, **arguments):
    return crashing_parts.CrashingParts(clock, **arguments)


@pytest.fixture
def parts(manual_clock):
    return build(manual_clock)


def advance(clock, seconds):
    clock.advance(datetime.timedelta(seconds=seconds))


def crash(parts, count, *ids, first=0):
    for number in range(first, first + count):
        parts.record_crash("llm", ids, f"d-{number}@1")


def send_report(source, target, host="h1"):
    report = source.add_to_report(reports.empty_report(host, 1, 1))
    target.apply_report(reports.decode(reports.encode(report)), continuous=True)


def test_part_is_refused_after_crashes_of_two_engines(parts):
    crash(parts, 1, "bad")
    assert not parts.is_refused("llm", ["bad"])

    crash(parts, 1, "bad", first=1)

    assert parts.is_refused("llm", ["bad"])
    assert parts.is_refused("llm", ["other", "bad"])
    assert not parts.is_refused("llm", ["other"])
    assert not parts.is_refused("other service", ["bad"])


def test_several_requests_on_a_crashed_engine_count_once(parts):
    """Guards against a refusal after a single crash under load."""
    for _ in range(5):
        parts.record_crash("llm", ["common"], "d-1@1")

    assert not parts.is_refused("llm", ["common"])


def test_restarted_engine_that_crashes_again_counts(parts):
    """Guards against a part that crashes the only engine again and again."""
    parts.record_crash("llm", ["bad"], "d-1@1000")
    parts.record_crash("llm", ["bad"], "d-1@5000")

    assert parts.is_refused("llm", ["bad"])


def test_part_with_which_requests_generate_is_not_refused(parts, manual_clock):
    """Guards against refusals of all requests that share a preamble."""
    for number in range(5):
        parts.record_crash("llm", ["common", "bad"], f"d-{number}@1")
        advance(manual_clock, 0.1)
        parts.record_sound("llm", ["common"])

    assert parts.is_refused("llm", ["common", "bad"])
    assert not parts.is_refused("llm", ["common"])
    assert not parts.is_refused("llm", ["common", "another"])


def test_part_that_was_only_seen_beside_a_crashing_one_is_not_refused(parts):
    """Guards against refusals of requests that share the first part."""
    crash(parts, 3, "first", "bad")

    assert not parts.is_refused("llm", ["first"])
    assert not parts.is_refused("llm", ["bad"])
    assert parts.is_refused("llm", ["first", "bad"])


def test_part_that_crashes_without_its_companion_is_refused(parts):
    crash(parts, 2, "first", "bad")
    crash(parts, 1, "second", "bad", first=2)

    assert parts.is_refused("llm", ["bad"])
    assert parts.is_refused("llm", ["third", "bad"])
    assert not parts.is_refused("llm", ["first"])


def test_common_part_survives_the_crash_of_several_engines(parts, manual_clock):
    """Guards against refusals after a failure that has another cause."""
    parts.record_sound("llm", ["common"])
    advance(manual_clock, 1)

    crash(parts, crashing_parts.MIN_CRASHES_OF_SOUND_PART - 1, "common")

    assert not parts.is_refused("llm", ["common"])


def test_earlier_crashes_of_a_sound_part_do_not_add_up(parts, manual_clock):
    """Guards against refusals where engines crash for other reasons."""
    for number in range(3 * crashing_parts.MIN_CRASHES_OF_SOUND_PART):
        crash(parts, 1, "common", first=number)
        assert number == 1 or not parts.is_refused("llm", ["common"])
        advance(manual_clock, 1)
        parts.record_sound("llm", ["common"])

    assert not parts.crashes


def test_crashes_before_a_success_are_not_taken_from_reports(manual_clock):
    first, second = build(manual_clock), build(manual_clock)
    crash(first, 3, "common")
    advance(manual_clock, 1)
    second.record_sound("llm", ["common"])

    send_report(first, second)

    assert not second.crashes


def test_part_that_begins_to_crash_engines_is_refused(parts, manual_clock):
    """Guards against a part that was sound until engines were replaced."""
    parts.record_sound("llm", ["common"])
    advance(manual_clock, 1)

    crash(parts, crashing_parts.MIN_CRASHES_OF_SOUND_PART, "common")

    assert parts.is_refused("llm", ["common"])


def test_crashes_of_all_hosts_are_joined(manual_clock):
    first, second = build(manual_clock), build(manual_clock)
    crash(first, 1, "bad")
    crash(second, 1, "bad", first=1)

    send_report(first, second)

    assert second.is_refused("llm", ["bad"])
    assert not first.is_refused("llm", ["bad"])


def test_repeated_reports_of_a_crash_count_once(manual_clock):
    """Guards against crashes that never expire as hosts repeat them."""
    first, second = build(manual_clock), build(manual_clock)
    crash(first, 1, "bad")
    for _ in range(20):
        send_report(first, second)
        advance(manual_clock, 0.1)
        send_report(second, first, "h2")

    assert not first.is_refused("llm", ["bad"])
    advance(manual_clock, crashing_parts.RETENTION_S)
    first.expire()
    second.expire()
    assert not first.crashes
    assert not second.crashes


def test_restarted_host_learns_the_refused_parts(manual_clock):
    """Guards against further crashes after each restart of a host."""
    first, second = build(manual_clock), build(manual_clock)
    crash(first, 2, "bad")
    send_report(first, second)
    advance(manual_clock, 60)
    restarted = build(manual_clock)

    for _ in range(crashing_parts.REPORTS_PER_FULL_REPORT):
        send_report(second, restarted)
        send_report(restarted, second, "h2")

    assert restarted.is_refused("llm", ["bad"])
    assert second.is_refused("llm", ["bad"])


def test_success_on_another_host_clears_a_part(manual_clock):
    first, second = build(manual_clock), build(manual_clock)
    crash(first, 2, "common")
    send_report(first, second)
    assert second.is_refused("llm", ["common"])
    advance(manual_clock, 0.2)

    second.record_sound("llm", ["common"])
    send_report(second, first, "h2")

    assert not first.is_refused("llm", ["common"])


def test_refused_part_is_tried_at_increasing_intervals(parts, manual_clock):
    """Guards against a part that stays refused after engines were mended."""
    crash(parts, 2, "bad")
    assert not parts.start_trial("llm", ["bad"])
    advance(manual_clock, crashing_parts.TRIAL_DELAY_S + 0.1)

    assert parts.start_trial("llm", ["bad"])
    assert not parts.start_trial("llm", ["bad"])
    crash(parts, 1, "bad", first=2)
    advance(manual_clock, crashing_parts.TRIAL_DELAY_S + 0.1)
    assert not parts.start_trial("llm", ["bad"])
    advance(manual_clock, crashing_parts.TRIAL_DELAY_S)
    assert parts.start_trial("llm", ["bad"])

    parts.record_sound("llm", ["bad"])

    assert not parts.is_refused("llm", ["bad"])


def test_only_one_of_the_hosts_tries_a_refused_part(manual_clock):
    """Guards against a crash for each host of a large fleet."""
    other = build(manual_clock, may_try=lambda: False)
    crash(other, 2, "bad")
    advance(manual_clock, 10 * crashing_parts.TRIAL_DELAY_S)

    assert not other.start_trial("llm", ["bad"])


def test_callers_are_told_to_wait_for_the_next_trial(parts, manual_clock):
    crash(parts, 2, "bad")
    advance(manual_clock, 5)

    assert parts.retry_after("llm", ["bad"]) == pytest.approx(
        crashing_parts.TRIAL_DELAY_S - 5
    )
    advance(manual_clock, 100)
    assert parts.retry_after("llm", ["bad"]) == 1.0


def test_crash_is_reported_early(manual_clock):
    reported = []
    parts = build(manual_clock, report_soon=lambda: reported.append(1))

    crash(parts, 1, "bad")
    parts.record_crash("llm", [], "d-9@1")

    assert reported == [1]


def test_refused_part_outlasts_a_flood_of_other_crashes(parts, manual_clock):
    """Guards against a part that is forgotten while engines crash a lot."""
    crash(parts, 2, "bad")
    for number in range(crashing_parts.MAX_SUSPECTS + 10):
        advance(manual_clock, 0.01)
        crash(parts, 1, f"p-{number}")

    assert parts.is_refused("llm", ["bad"])


def test_memory_is_bounded(parts, manual_clock):
    for number in range(crashing_parts.MAX_SUSPECTS + 10):
        advance(manual_clock, 0.01)
        crash(parts, 1, f"p-{number}")
    for number in range(crashing_parts.MAX_SOUND_PARTS + 10):
        parts.record_sound("llm", [f"s-{number}"])

    assert len(parts.crashes) == crashing_parts.MAX_SUSPECTS
    assert len(parts.own_sound_at) == crashing_parts.MAX_SOUND_PARTS
    assert len(parts.sound_at) <= crashing_parts.MAX_SOUND_PARTS
