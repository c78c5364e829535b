"""Guards against retries that add load when upstreams fail."""

from __future__ import annotations

import datetime

from coltsfootarch.retries import shared_budget


def budget(clock, hosts=1, ratio=0.2, minimum=50.0):
    return shared_budget.SharedRetryBudget(
        clock, lambda: hosts, ratio, minimum, 10.0
    )


def spent(budget):
    count = 0
    while budget.spend("app"):
        count += 1
    return count


def test_hosts_together_stay_within_the_fixed_number(manual_clock):
    hosts = [budget(manual_clock, hosts=7) for _ in range(7)]

    assert 0 < sum(map(spent, hosts)) <= 50


def test_retries_grow_with_the_requests(manual_clock):
    one = budget(manual_clock, minimum=0.0)
    for _ in range(100):
        one.record("app")

    assert spent(one) == 16


def test_services_don_t_share_a_budget(manual_clock):
    one = budget(manual_clock, minimum=10.0)
    spent(one)

    assert one.spend("llm")


def test_window_slides(manual_clock):
    one = budget(manual_clock, minimum=10.0)
    spent(one)
    manual_clock.advance(datetime.timedelta(seconds=10.1))

    assert spent(one) == 8
