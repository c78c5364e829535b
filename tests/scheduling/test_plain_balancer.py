"""Tests that failing, leaving and overloaded upstreams get no plain calls."""

from __future__ import annotations

import datetime
import random

import pytest

from coltsfootarch import errors
from coltsfootarch.config import register
from coltsfootarch.scheduling import plain_balancer
from tests.fakes import pools


def make_balancer(clock, leaving=(), **changes):
    upstreams = [
        pools.make_upstream(f"u{number}", "plain", number, slots=10)
        for number in range(3)
    ]
    upstreams = [
        entry._replace(**changes.get(entry.name, {})) for entry in upstreams
    ]
    current = pools.make_register(upstreams)
    return plain_balancer.PlainBalancer(
        clock, lambda: current, "regina", lambda: leaving, random.Random(1)
    )


def chosen_names(balancer, count=50):
    return {balancer.choose("records").name for _ in range(count)}


def test_less_loaded_upstream_is_preferred(manual_clock):
    balancer = make_balancer(manual_clock)
    for _ in range(5):
        balancer.record_start("u0")
    balancer.report("u1", 6)

    assert chosen_names(balancer) <= {"u0", "u2"}
    assert balancer.load(balancer.current().upstreams["u1"]) == 0.6


def test_own_zone_is_preferred_until_it_is_overloaded(manual_clock):
    other_zone = {"availability_zone": "brandon"}
    balancer = make_balancer(manual_clock, u1=other_zone, u2=other_zone)
    assert chosen_names(balancer) == {"u0"}

    for _ in range(9):
        balancer.record_start("u0")

    assert chosen_names(balancer) == {"u1", "u2"}


def test_failing_upstream_is_ejected_and_probed_with_growing_intervals(
    manual_clock,
):
    balancer = make_balancer(manual_clock)
    for _ in range(3):
        balancer.record_start("u0")
        balancer.record_failure("u0")
    assert "u0" not in chosen_names(balancer)

    manual_clock.advance(datetime.timedelta(seconds=1.1))
    assert "u0" in chosen_names(balancer)
    balancer.record_start("u0")
    assert "u0" not in chosen_names(balancer)
    balancer.record_failure("u0")
    manual_clock.advance(datetime.timedelta(seconds=1.1))
    assert "u0" not in chosen_names(balancer)
    manual_clock.advance(datetime.timedelta(seconds=1.0))
    balancer.record_start("u0")
    balancer.record_success("u0")
    assert "u0" in chosen_names(balancer)


@pytest.mark.matrix(
    invariant=8,
    fault="none",
    step="choose plain upstream",
    fails_without="check of the upstream's state",
)
def test_leaving_upstreams_are_not_chosen(manual_clock):
    draining = {"state": register.UpstreamState.DRAINING}
    balancer = make_balancer(
        manual_clock, leaving={"127.0.0.1:7001"}, u0=draining
    )

    assert chosen_names(balancer) == {"u2"}
    with pytest.raises(errors.RefusedError):
        balancer.choose("records", excluded={"u2"})
