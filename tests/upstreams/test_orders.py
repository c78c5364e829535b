"""Tests that a former shard holder can't undo orders of the current one."""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch import errors
from coltsfootarch.upstreams import orders
from tests.fakes import pools

ADDRESS = "127.0.0.1:7003"


class IssuerSetup:
    def __init__(self, clock, checks_fencing):
        self.clock = clock
        self.engines = pools.FakeEngines()
        self.leases = pools.FakeLeases(clock)
        self.leases.epochs[3] = 7
        self.leases.acquired[3] = clock.monotonic()
        upstreams = pools.make_pool(checks_fencing=checks_fencing)
        current = pools.make_register(upstreams)
        self.issuer = orders.OrderIssuer(
            clock, self.leases, self.engines, lambda: current, lambda name: 3
        )

    def issue(self):
        self.issuer.issue("d1", "load-model", "summary-2")


def test_order_carries_the_epoch(manual_clock):
    issuer_setup = IssuerSetup(manual_clock, True)
    issuer_setup.issue()

    ((address, order),) = issuer_setup.engines.orders
    assert (address, order.fencing) == (ADDRESS, 7)


@pytest.mark.matrix(
    invariant=10,
    fault="lease expired while paused",
    step="order",
    fails_without="wait for the orders of a former holder",
)
def test_new_holder_waits_before_orders_without_fencing(manual_clock):
    issuer_setup = IssuerSetup(manual_clock, False)
    with pytest.raises(errors.RefusedError) as caught:
        issuer_setup.issue()
    assert caught.value.retry_after == 16.0

    manual_clock.advance(datetime.timedelta(seconds=15.9))
    with pytest.raises(errors.RefusedError):
        issuer_setup.issue()
    assert not issuer_setup.engines.orders

    manual_clock.advance(datetime.timedelta(seconds=0.2))
    issuer_setup.issue()
    assert len(issuer_setup.engines.orders) == 1


@pytest.mark.matrix(
    invariant=10,
    fault="lease expired while paused",
    step="order",
    fails_without="check of the lease before an order",
)
def test_host_without_the_lease_issues_no_order(manual_clock):
    issuer_setup = IssuerSetup(manual_clock, False)
    manual_clock.advance(datetime.timedelta(seconds=20))
    issuer_setup.leases.epochs.clear()

    with pytest.raises(errors.NotHomeError):
        issuer_setup.issue()
    assert not issuer_setup.engines.orders


@pytest.mark.matrix(
    invariant=10,
    fault="lease expired while paused",
    step="order",
    fails_without="stop of the issuer after a stale order",
)
def test_stale_order_stops_the_issuer_until_a_new_epoch(manual_clock):
    issuer_setup = IssuerSetup(manual_clock, True)
    issuer_setup.engines.fencing[ADDRESS] = 8
    for _ in range(2):
        with pytest.raises(errors.StaleOrderError):
            issuer_setup.issue()
    assert issuer_setup.engines.calls == [("order", ADDRESS)]

    issuer_setup.leases.epochs[3] = 9
    issuer_setup.issue()
    assert issuer_setup.engines.orders
