"""Tests that each upstream has one zone whose hosts collect its orphans."""

from __future__ import annotations

import pytest

from coltsfootarch.gateway import ownership
from tests.fakes import pools


def make_ownership(zone, live_zones):
    leases = pools.FakeLeases(None)
    leases.epochs = dict.fromkeys(range(8), 1)
    current = pools.make_register([pools.make_upstream("d1")])
    return ownership.Ownership(
        None,
        None,
        leases,
        lambda: current,
        zone,
        lambda host, incarnation: None,
        lambda name: name in live_zones,
    )


@pytest.mark.matrix(
    invariant=1,
    fault="all hosts of a zone killed",
    step="orphan collection",
    fails_without="home in another zone",
)
@pytest.mark.parametrize(
    ("zone", "live_zones", "is_home"),
    [
        ("regina", {"regina", "brandon"}, True),
        ("brandon", {"regina", "brandon"}, False),
        ("brandon", {"brandon"}, True),
        ("regina", set(), True),
    ],
)
def test_upstream_has_one_home_zone(zone, live_zones, is_home):
    zone_ownership = make_ownership(zone, live_zones)

    assert zone_ownership.is_home("d1") is is_home
    assert not zone_ownership.is_home("unknown")
