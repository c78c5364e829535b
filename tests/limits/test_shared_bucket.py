"""Guards against accounts that exceed their limit over all hosts together."""

from __future__ import annotations

import datetime

import pytest
from hypothesis import given
from hypothesis import strategies

from coltsfootarch import clock as clocks
from coltsfootarch.fleet import reports
from coltsfootarch.limits import shared_bucket
from tests.fleet import builders

ACCOUNT = builders.account(rate=1000.0, burst=5000.0)
FIND = {"acme": ACCOUNT}.get


def seconds(number):
    return datetime.timedelta(seconds=number)


def report(host, usage):
    return reports.Report(1, host, 1, 1, [], list(usage), [], [], [], [])


def report_of(buckets, host):
    made = report(host, [])
    buckets.add_to_report(made)
    return made


@pytest.fixture
def buckets(manual_clock):
    return shared_bucket.SharedBuckets(manual_clock, lambda: 1.0, FIND)


def test_new_process_starts_empty_and_refills(buckets, manual_clock):
    assert buckets.admit(ACCOUNT, 1000) == pytest.approx(1.0)

    manual_clock.advance(seconds(1))

    assert buckets.admit(ACCOUNT, 1000) == 0.0
    assert buckets.admit(ACCOUNT, 1) > 0


def test_unused_tokens_accumulate_up_to_the_burst(buckets, manual_clock):
    manual_clock.advance(seconds(1000))

    assert buckets.admit(ACCOUNT, 5000) == 0.0
    assert buckets.admit(ACCOUNT, 1) > 0


def test_account_without_a_rate_is_not_limited(buckets):
    assert buckets.admit(ACCOUNT._replace(rate=0.0), 10**9) == 0.0


def test_tokens_of_a_request_that_did_not_run_are_put_back(
    buckets, manual_clock
):
    manual_clock.advance(seconds(5))
    buckets.admit(ACCOUNT, 5000)

    buckets.refund(ACCOUNT, 5000)

    assert buckets.admit(ACCOUNT, 5000) == 0.0


def test_admissions_of_a_peer_are_subtracted(buckets, manual_clock):
    manual_clock.advance(seconds(5))
    buckets.apply_report(report("h2", [("acme", 0, 100)]), False)

    buckets.apply_report(report("h2", [("acme", 0, 4100)]), True)

    assert buckets.admit(ACCOUNT, 1001) > 0
    assert buckets.admit(ACCOUNT, 1000) == 0.0


def test_first_reported_use_of_an_account_is_subtracted(buckets, manual_clock):
    """Guards against hosts that each admit a request unseen by the others."""
    manual_clock.advance(seconds(5))
    buckets.apply_report(report("h2", [("other", 0, 100)]), True)

    buckets.apply_report(
        report("h2", [("other", 0, 100), ("acme", 300, 4300)]), True
    )

    assert buckets.admit(ACCOUNT, 1001) > 0
    assert buckets.admit(ACCOUNT, 1000) == 0.0


def test_only_new_use_of_an_idle_account_is_subtracted(manual_clock):
    local = shared_bucket.SharedBuckets(manual_clock, lambda: 1.0, FIND)
    remote = shared_bucket.SharedBuckets(manual_clock, lambda: 1.0, FIND)
    manual_clock.advance(seconds(5))
    remote.admit(ACCOUNT, 3000)
    manual_clock.advance(seconds(60))
    local.apply_report(report_of(remote, "h2"), False)
    remote.admit(ACCOUNT, 2000)

    local.apply_report(report_of(remote, "h2"), True)

    assert local.admit(ACCOUNT, 3001) > 0
    assert local.admit(ACCOUNT, 3000) == 0.0


def test_refill_of_an_idle_account_does_not_offset_later_use(
    buckets, manual_clock
):
    """A host that rarely serves an account still subtracts its use elsewhere.

    Refilling after the subtraction would hide the use behind the refill of the
    idle time.
    """
    buckets.apply_report(report("h2", []), False)
    manual_clock.advance(seconds(60))

    buckets.apply_report(report("h2", [("acme", 0, 5000)]), True)

    assert buckets.admit(ACCOUNT, 1) > 0


def test_repeated_totals_are_subtracted_once(buckets, manual_clock):
    manual_clock.advance(seconds(5))
    for _ in range(3):
        buckets.apply_report(report("h2", [("acme", 0, 4000)]), True)

    assert buckets.admit(ACCOUNT, 1000) == 0.0


def test_use_during_a_gap_is_covered_by_the_fraction_of_the_peer(
    buckets, manual_clock
):
    manual_clock.advance(seconds(5))
    buckets.apply_report(report("h2", [("acme", 0, 100)]), True)
    buckets.apply_report(report("h2", [("acme", 0, 9999)]), False)

    assert buckets.admit(ACCOUNT, 4800) == 0.0


def test_partitioned_host_uses_only_its_fraction_of_the_limit(manual_clock):
    buckets = shared_bucket.SharedBuckets(manual_clock, lambda: 0.25, FIND)
    manual_clock.advance(seconds(1000))

    assert buckets.admit(ACCOUNT, 1251) > 0
    assert buckets.admit(ACCOUNT, 1250) == 0.0
    manual_clock.advance(seconds(1))
    assert buckets.admit(ACCOUNT, 251) > 0
    assert buckets.admit(ACCOUNT, 250) == 0.0


def test_admissions_trigger_a_callback(manual_clock):
    """A report that is sent late lets other hosts admit the same tokens."""
    announced = []
    buckets = shared_bucket.SharedBuckets(
        manual_clock,
        lambda: 1.0,
        FIND,
        on_admission=lambda: announced.append(1),
    )
    manual_clock.advance(seconds(1))

    buckets.admit(ACCOUNT, 900)
    buckets.admit(ACCOUNT, 900)

    assert announced == [1]


def test_overdraft_is_bounded_and_reduced_by_refill(manual_clock):
    buckets = shared_bucket.SharedBuckets(
        manual_clock, lambda: 1.0, FIND, lambda: 2000.0
    )
    manual_clock.advance(seconds(5))

    assert buckets.admit(ACCOUNT, 7000) == 0.0
    manual_clock.advance(seconds(1))
    assert buckets.admit(ACCOUNT, 1001) > 0
    assert buckets.admit(ACCOUNT, 1000) == 0.0


STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 2),  # Host.
        strategies.integers(1, 3000),  # Tokens.
        strategies.floats(0.0, 0.4),  # Seconds before the request.
    ),
    max_size=60,
)


@given(STEPS)
def test_all_hosts_together_stay_within_rate_and_burst(steps):
    """Reports arrive after each step; no interval may exceed rate and burst."""
    clock = clocks.ManualClock()
    hosts = [
        shared_bucket.SharedBuckets(clock, lambda: 1.0, FIND) for _ in range(3)
    ]
    for number, buckets in enumerate(hosts):
        for other in range(3):
            if other != number:
                buckets.apply_report(report(f"h{other}", []), False)
    admitted = []
    start = clock.monotonic()
    for host, tokens, pause in steps:
        clock.advance(seconds(pause))
        if hosts[host].admit(ACCOUNT, tokens) == 0.0:
            admitted.append((clock.monotonic() - start, tokens))
        shared = report_of(hosts[host], f"h{host}")
        for number, buckets in enumerate(hosts):
            if number != host:
                buckets.apply_report(shared, True)

    for first, (started, _) in enumerate(admitted):
        total = 0
        for at, tokens in admitted[first:]:
            total += tokens
            assert total <= 5000 + 1000 * (at - started) + 1e-6


def test_streams_that_are_taken_up_overdraw_a_bucket_further(manual_clock):
    """After a kill of all hosts they come together, and buckets are empty."""
    buckets = shared_bucket.SharedBuckets(
        manual_clock,
        lambda: 0.5,
        FIND,
        overdraft=lambda: 1000.0,
        take_up_overdraft=lambda: 400.0,
    )

    assert buckets.admit(ACCOUNT, 500) == 0.0
    assert buckets.admit(ACCOUNT, 200) > 0
    assert buckets.admit(ACCOUNT, 200, takes_up=True) == 0.0
    assert buckets.admit(ACCOUNT, 1, takes_up=True) > 0
