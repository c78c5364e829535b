"""Guards against orders of a former holder that undo those of the present."""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch import errors
from coltsfootarch.upstreams import orders
from tests.fakes import pools

ADDRESS = "127.0.0.1:7003"


class Site:
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
    site = Site(manual_clock, True)
    site.issue()

    ((address, order),) = site.engines.orders
    assert (address, order.fencing) == (ADDRESS, 7)


@pytest.mark.matrix(
    invariant=10,
    fault="lease expired while paused",
    step="order",
    seen_red="wait for the orders of a former holder",
)
def test_upstream_without_fencing_gets_no_order_of_two_holders(manual_clock):
    site = Site(manual_clock, False)
    with pytest.raises(errors.RefusedError) as caught:
        site.issue()
    assert caught.value.retry_after == 16.0

    manual_clock.advance(datetime.timedelta(seconds=15.9))
    with pytest.raises(errors.RefusedError):
        site.issue()
    assert not site.engines.orders

    manual_clock.advance(datetime.timedelta(seconds=0.2))
    site.issue()
    assert len(site.engines.orders) == 1


@pytest.mark.matrix(
    invariant=10,
    fault="lease expired while paused",
    step="order",
    seen_red="check of the lease before an order",
)
def test_host_without_the_lease_gives_no_order(manual_clock):
    site = Site(manual_clock, False)
    manual_clock.advance(datetime.timedelta(seconds=20))
    site.leases.epochs.clear()

    with pytest.raises(errors.NotHomeError):
        site.issue()
    assert not site.engines.orders


@pytest.mark.matrix(
    invariant=10,
    fault="lease expired while paused",
    step="order",
    seen_red="stop of the issuer after a stale order",
)
def test_stale_order_stops_the_issuer_until_a_new_epoch(manual_clock):
    site = Site(manual_clock, True)
    site.engines.fencing[ADDRESS] = 8
    for _ in range(2):
        with pytest.raises(errors.StaleOrderError):
            site.issue()
    assert site.engines.calls == [("order", ADDRESS)]

    site.leases.epochs[3] = 9
    site.issue()
    assert site.engines.orders
