"""Tests that retries don't multiply the load of a failing service."""

from __future__ import annotations

import datetime
import random

import pytest

from coltsfootarch.retries import backoff
from coltsfootarch.retries import budget


def spend_all(retries):
    count = 0
    while retries.spend():
        count += 1
    return count


def test_retries_stay_within_the_ratio_and_the_minimum(manual_clock):
    retries = budget.RetryBudget(manual_clock, 0.2)
    assert spend_all(retries) == 2

    for _ in range(100):
        retries.record()

    assert spend_all(retries) == 20


def test_spent_retries_expire_after_ten_seconds(manual_clock):
    retries = budget.RetryBudget(manual_clock, 0.2)
    spend_all(retries)
    manual_clock.advance(datetime.timedelta(seconds=9))
    assert not retries.spend()

    manual_clock.advance(datetime.timedelta(seconds=1))

    assert spend_all(retries) == 2


def test_delays_are_random_below_a_doubling_bound():
    delays = backoff.Backoff(random.Random(1))

    for retry in range(1, 50):
        bound = min(0.025 * 2 ** (retry - 1), 1.0)
        sampled = [delays.delay(retry).total_seconds() for _ in range(20)]
        assert all(0 <= delay <= bound for delay in sampled)
        assert len(set(sampled)) > 10


def test_retries_are_counted_from_one():
    with pytest.raises(ValueError, match="counted from 1"):
        backoff.Backoff(random.Random(1)).delay(0)
