"""Tests that hosts together keep the limits that upstreams name, and use them.

Hosts are stepped with the real exchange of reports. A response arrives one step
after its request.
"""

from __future__ import annotations

import collections
import logging

import pytest
import structlog

from coltsfootarch.fleet import reports
from coltsfootarch.fleet import upstreams
from coltsfootarch.limits import upstream_limits
from tests.fakes import stepped_fleet

UPSTREAM = upstreams.Upstream(
    "i-1", "app", "10.9.0.1:80", "a", True, 6, None, 7
)
SETTLED_S = 14.0
# What the users allow: so many times the limit in a window, and more requests.
WINDOW_S = 4.0
EXCESS = 1.5
EXCESS_REQUESTS = 5
# Time after which hosts that were told must keep the limit.
GRACE_S = 0.5


@pytest.fixture(autouse=True)
def quiet_log():
    """Hundreds of hosts log each other."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    yield
    structlog.reset_defaults()


class LimitedUpstream:
    """An upstream with a limit, and hosts that have requests for it.

    Args:
        fleet: The hosts.
        per_s: Limit in requests a second.

    Attributes:
        arrivals: Instant and host of each request.
        told: Instant at which a host was first told of the limit, by host.
    """

    def __init__(self, fleet, per_s):
        self.fleet = fleet
        self.per_s = per_s
        self.arrivals = []
        self.told = {}
        self.answers = []
        self.owed = 0.0

    def run(self, seconds, demand_per_s, hosts=None):
        """Lets hosts, all by default, send what the limit admits."""
        for _ in range(round(seconds / stepped_fleet.STEP_S)):
            self.fleet.step()
            for host in self.answers:
                host.limits.state(UPSTREAM, self.per_s)
                self.told.setdefault(host, self.fleet.elapsed)
            self.answers = []
            running = [
                host
                for host in self.fleet.running()
                if hosts is None or host in hosts
            ]
            self.owed += demand_per_s * stepped_fleet.STEP_S
            while self.owed >= 1:
                self.owed -= 1
                host = self.fleet.generator.choice(running)
                if host.limits.wait_s(UPSTREAM) > 0:
                    continue
                host.limits.take(UPSTREAM)
                self.arrivals.append((self.fleet.elapsed, host))
                self.answers.append(host)

    def most_in_window(self):
        """Returns the most requests in a window from hosts that were told."""
        window = collections.deque()
        most = 0
        for at, host in self.arrivals:
            if host in self.told and at >= self.told[host] + GRACE_S:
                window.append(at)
            while window and window[0] < at - WINDOW_S:
                window.popleft()
            most = max(most, len(window))
        return most

    def allowed(self):
        return EXCESS * self.per_s * WINDOW_S + EXCESS_REQUESTS


def limited(count, per_s, seed=1):
    fleet = stepped_fleet.SteppedFleet(count, seed=seed)
    fleet.run(SETTLED_S)
    return LimitedUpstream(fleet, per_s)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("per_s", [0.5, 1.3, 2.7, 20.0])
def test_limit_holds_over_all_hosts_and_is_used(per_s, seed):
    """Guards against a limit that each host keeps for itself."""
    upstream = limited(7, per_s, seed)

    upstream.run(30.0, demand_per_s=10 * per_s + 10)

    assert upstream.most_in_window() <= upstream.allowed()
    assert len(upstream.arrivals) >= 0.8 * per_s * 30.0


def test_limit_is_used_by_the_host_that_has_requests():
    """Guards against equal parts of a limit, which hosts leave unused."""
    upstream = limited(7, 2.0)

    upstream.run(30.0, demand_per_s=6.0, hosts=upstream.fleet.hosts[:1])

    assert upstream.most_in_window() <= upstream.allowed()
    assert len(upstream.arrivals) >= 0.8 * 2.0 * 30.0


def test_demand_below_the_limit_is_not_held_back():
    upstream = limited(7, 10.0)

    upstream.run(30.0, demand_per_s=6.0)

    assert len(upstream.arrivals) >= 0.95 * 6.0 * 30.0


@pytest.mark.parametrize("per_s", [1.3, 2.7])
def test_separated_hosts_keep_the_limit_together(per_s):
    """Guards against groups of hosts that each use the whole limit."""
    upstream = limited(7, per_s)
    upstream.run(6.0, demand_per_s=20.0)
    cut = set(upstream.fleet.hosts[:3])
    upstream.fleet.delivered = lambda sender, receiver: (
        (sender in cut) == (receiver in cut)
    )

    upstream.run(20.0, demand_per_s=20.0)

    assert upstream.most_in_window() <= upstream.allowed()
    sent = {host for at, host in upstream.arrivals if at > SETTLED_S + 10}
    assert sent & cut
    assert sent - cut


def test_hosts_restarted_in_turn_keep_the_limit():
    """Guards against hosts that forget a limit, or its use by others."""
    upstream = limited(7, 2.0)
    upstream.run(6.0, demand_per_s=20.0)

    for host in list(upstream.fleet.hosts):
        upstream.fleet.restart(host)
        upstream.run(2.5, demand_per_s=20.0)

    assert upstream.most_in_window() <= upstream.allowed()


@pytest.mark.parametrize("count", [7, 62])
def test_all_hosts_know_a_limit_half_a_second_after_one_was_told(count):
    upstream = limited(count, 3.0)
    upstream.fleet.hosts[-1].limits.state(UPSTREAM, 3.0)

    upstream.fleet.run(GRACE_S)

    known = [host.limits.limited() for host in upstream.fleet.hosts]
    assert known == [{"i-1": 3.0}] * count


@pytest.mark.parametrize("per_s", [2.0, 6.0])
def test_limit_holds_in_a_fleet_with_relays(per_s):
    upstream = limited(62, per_s)

    upstream.run(30.0, demand_per_s=4 * per_s)

    assert upstream.most_in_window() <= upstream.allowed()
    assert len(upstream.arrivals) >= 0.8 * per_s * 30.0


def test_end_of_a_limit_reaches_all_hosts():
    """Guards against a limit that outlasts the need of the upstream."""
    upstream = limited(7, 2.0)
    upstream.run(6.0, demand_per_s=20.0)
    upstream.per_s = None

    upstream.run(3.0, demand_per_s=20.0)

    assert all(not host.limits.limited() for host in upstream.fleet.hosts)


def test_restarted_upstream_has_no_limit(manual_clock):
    """Guards against a limit that another incarnation had named."""
    limits = upstream_limits.UpstreamLimits(manual_clock, lambda: 1.0)
    limits.state(UPSTREAM, 0.5)
    assert limits.wait_s(UPSTREAM) > 0

    assert limits.wait_s(UPSTREAM._replace(started_ms=8)) == 0


def test_older_statement_of_a_peer_does_not_replace_a_newer_one(manual_clock):
    limits = upstream_limits.UpstreamLimits(manual_clock, lambda: 1.0)
    limits.state(UPSTREAM, 2.0)
    report = reports.empty_report("h2", 1, 1)._replace(
        upstream_limits=(("i-1", 7, 9000, 1), ("i-1", 6, 8000, 0))
    )

    limits.apply_report(report, True)

    assert limits.limited() == {"i-1": 2.0}


def test_request_that_was_not_sent_is_given_back(manual_clock):
    limits = upstream_limits.UpstreamLimits(manual_clock, lambda: 1.0)
    limits.state(UPSTREAM, 1.0)
    before = limits.wait_s(UPSTREAM)

    limits.take(UPSTREAM)
    assert limits.wait_s(UPSTREAM) == pytest.approx(before + 1.0)
    limits.give_back(UPSTREAM)

    assert limits.wait_s(UPSTREAM) == pytest.approx(before)
