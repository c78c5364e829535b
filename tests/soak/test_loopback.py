"""Guards against concurrent runs that use the same address."""

from __future__ import annotations

import pytest

from soak import loopback


@pytest.fixture
def addresses():
    owned = [loopback.LoopbackAddresses() for _ in range(3)]
    yield owned
    for each in owned:
        each.close()


def test_runs_side_by_side_share_no_address(addresses):
    chosen = [each.next_address() for each in addresses for _ in range(100)]

    assert len(set(chosen)) == 300


def test_loopback_ip_of_another_run_is_not_taken(addresses, monkeypatch):
    taken = [int(part) - 1 for part in addresses[0].ip.split(".")[1:]]
    choose = loopback.secrets.randbelow
    monkeypatch.setattr(
        loopback.secrets,
        "randbelow",
        lambda bound: taken.pop(0) if taken else choose(bound),
    )

    other = loopback.LoopbackAddresses()
    other.close()

    assert not taken
    assert other.ip != addresses[0].ip
