"""Guards against hosts that compute different home shards."""

from __future__ import annotations

import collections

import pytest

from coltsfootarch.config import register
from coltsfootarch.zone import homes

ZONES = [
    register.AvailabilityZone("regina", "west", 8),
    register.AvailabilityZone("brandon", "west", 4),
]


def test_placement_is_fixed_between_versions():
    # Hosts of adjacent versions must agree, so these results never change.
    assert homes.home_shard("account", "tenant-1", 8) == 1
    assert homes.scope_home("pool", "summaries", ZONES) == ("brandon", 3)


def test_keys_spread_over_all_shards():
    counts = collections.Counter(
        homes.home_shard("account", f"tenant-{n}", 8) for n in range(6100)
    )

    assert len(counts) == 8
    assert max(counts.values()) < 1.2 * 6100 / 8


def test_scope_home_ignores_order_and_moves_only_to_a_new_zone():
    added = [*ZONES, register.AvailabilityZone("winnipeg", "west", 8)]
    for number in range(200):
        key = f"pool-{number}"
        before = homes.scope_home("pool", key, ZONES)
        after = homes.scope_home("pool", key, added)
        assert before == homes.scope_home("pool", key, reversed(ZONES))
        assert after in (before, (after.availability_zone, after.shard))
        assert after == before or after.availability_zone == "winnipeg"


def test_empty_scopes_are_refused():
    with pytest.raises(ValueError, match="shard"):
        homes.home_shard("account", "tenant-1", 0)
    with pytest.raises(ValueError, match="zone"):
        homes.scope_home("pool", "summaries", [])
