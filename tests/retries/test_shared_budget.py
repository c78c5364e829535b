"""Tests that retries of all hosts add limited load when upstreams fail."""

from __future__ import annotations

import datetime

from coltsfootarch.retries import shared_budget


def budget(clock, hosts=1, ratio=0.2, minimum=50.0):
    return shared_budget.SharedRetryBudget(
        clock, lambda: hosts, ratio, minimum, 10.0
    )


def spend_all(budget):
    count = 0
    while budget.spend("app"):
        count += 1
    return count


def test_all_hosts_together_stay_within_the_minimum(manual_clock):
    hosts = [budget(manual_clock, hosts=7) for _ in range(7)]

    assert 0 < sum(map(spend_all, hosts)) <= 50


def test_allowed_retries_grow_with_requests(manual_clock):
    service_budget = budget(manual_clock, minimum=0.0)
    for _ in range(100):
        service_budget.record("app")

    assert spend_all(service_budget) == 16


def test_services_have_separate_budgets(manual_clock):
    service_budget = budget(manual_clock, minimum=10.0)
    spend_all(service_budget)

    assert service_budget.spend("llm")


def test_spent_retries_expire_with_the_window(manual_clock):
    service_budget = budget(manual_clock, minimum=10.0)
    spend_all(service_budget)
    manual_clock.advance(datetime.timedelta(seconds=10.1))

    assert spend_all(service_budget) == 8
