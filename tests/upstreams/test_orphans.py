"""Guards against engine memory held by requests that no longer exist, and
against cancelling requests whose host is alive.
"""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch.upstreams import engine
from coltsfootarch.upstreams import orphans
from tests.fakes import pools

ADDRESS = "127.0.0.1:7003"


class Site:
    def __init__(self, clock):
        self.clock = clock
        self.engines = pools.FakeEngines()
        self.live = {("alive", 1)}
        self.known = set()
        self.answers = True
        self.age = 0.0
        self.owned = {"d1"}
        current = pools.make_register(pools.make_pool())
        self.collector = orphans.OrphanCollector(
            clock,
            self.engines,
            lambda: current,
            lambda host, incarnation: (host, incarnation) in self.live,
            lambda name: name in self.owned,
            lambda owner, request: (
                request in self.known if self.answers else None
            ),
            lambda: self.age,
            pools.run_now,
        )

    def hold(self, owner, idle=0.0):
        self.engines.entries[ADDRESS] = [
            engine.EngineEntry("r1", 1, owner, "decode", idle)
        ]

    def run(self, seconds):
        """Runs for some seconds; readers are absent throughout."""
        for _ in range(seconds):
            self.collector.tick()
            self.clock.advance(datetime.timedelta(seconds=1))
            self.engines.entries[ADDRESS] = [
                entry._replace(idle=entry.idle + 1)
                for entry in self.engines.entries[ADDRESS]
            ]


@pytest.fixture
def site(manual_clock):
    return Site(manual_clock)


@pytest.mark.matrix(
    invariant=1,
    fault="kill",
    step="stream",
    seen_red="cancelling for owners without a session",
)
@pytest.mark.parametrize("owner", ["killed/1", "alive/0"])
def test_request_of_a_killed_host_is_cancelled_after_ten_seconds(site, owner):
    site.answers = False
    site.hold(owner)
    site.run(10)
    assert not site.engines.cancelled

    site.run(2)

    assert site.engines.cancelled == ["r1"]


@pytest.mark.matrix(
    invariant=1,
    fault="caller cancel",
    step="stream",
    seen_red="question to the live owner",
)
def test_request_that_its_live_owner_forgot_is_cancelled(site):
    site.hold("alive/1")
    site.run(12)

    assert site.engines.cancelled == ["r1"]


@pytest.mark.parametrize("reason", ["known", "no answer", "read", "not home"])
def test_request_that_may_be_wanted_is_kept(site, reason):
    site.hold("alive/1", idle=0.0 if reason != "read" else -100.0)
    if reason == "known":
        site.known = {"r1"}
    if reason == "no answer":
        site.answers = False
    if reason == "not home":
        site.owned = set()
    site.run(30)

    assert not site.engines.cancelled


@pytest.mark.matrix(
    invariant=1,
    fault="store down",
    step="stream",
    seen_red="limit for requests that no one reads",
)
def test_outage_of_the_store_cancels_only_what_no_one_reads(site):
    site.answers = False
    site.age = 30.0
    site.hold("unknown/1")
    site.run(60)
    assert not site.engines.cancelled

    site.run(2)

    assert site.engines.cancelled == ["r1"]


def test_failing_engine_is_counted(site):
    site.engines.down = {ADDRESS}
    site.run(2)

    assert site.collector.failures == 2
