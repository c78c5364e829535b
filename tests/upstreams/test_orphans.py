"""Tests that orphans are cancelled, and no request that is still running.

An orphan holds engine memory although its entry host no longer runs it.
"""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch.upstreams import engine
from coltsfootarch.upstreams import orphans
from tests.fakes import pools

ADDRESS = "127.0.0.1:7003"


class CollectorSetup:
    def __init__(self, clock):
        self.clock = clock
        self.engines = pools.FakeEngines()
        self.live_incarnations = {("alive", 1)}
        self.running_requests = set()
        self.owner_answers = True
        self.view_age = 0.0
        self.home_upstreams = {"d1"}
        current = pools.make_register(pools.make_pool())
        self.collector = orphans.OrphanCollector(
            clock,
            self.engines,
            lambda: current,
            lambda host, incarnation: (
                (host, incarnation) in self.live_incarnations
            ),
            lambda name: name in self.home_upstreams,
            lambda owner, request: (
                request in self.running_requests if self.owner_answers else None
            ),
            lambda: self.view_age,
            pools.run_synchronously,
        )

    def add_request(self, owner, idle=0.0):
        self.engines.entries[ADDRESS] = [
            engine.EngineEntry("r1", 1, owner, "decode", idle)
        ]

    def run(self, seconds):
        """Runs the collector once a second; no request has a reader."""
        for _ in range(seconds):
            self.collector.tick()
            self.clock.advance(datetime.timedelta(seconds=1))
            self.engines.entries[ADDRESS] = [
                entry._replace(idle=entry.idle + 1)
                for entry in self.engines.entries[ADDRESS]
            ]


@pytest.fixture
def collector_setup(manual_clock):
    return CollectorSetup(manual_clock)


@pytest.mark.matrix(
    invariant=1,
    fault="kill",
    step="stream",
    fails_without="cancelling for owners without a session",
)
@pytest.mark.parametrize("owner", ["killed/1", "alive/0"])
def test_request_of_a_killed_host_is_cancelled_after_ten_seconds(
    collector_setup, owner
):
    collector_setup.owner_answers = False
    collector_setup.add_request(owner)
    collector_setup.run(10)
    assert not collector_setup.engines.cancelled

    collector_setup.run(2)

    assert collector_setup.engines.cancelled == ["r1"]


@pytest.mark.matrix(
    invariant=1,
    fault="caller cancel",
    step="stream",
    fails_without="question to the live owner",
)
def test_request_that_its_live_owner_does_not_run_is_cancelled(collector_setup):
    collector_setup.add_request("alive/1")
    collector_setup.run(12)

    assert collector_setup.engines.cancelled == ["r1"]


@pytest.mark.parametrize("reason", ["known", "no answer", "read", "not home"])
def test_request_that_may_still_be_running_is_kept(collector_setup, reason):
    collector_setup.add_request(
        "alive/1", idle=0.0 if reason != "read" else -100.0
    )
    if reason == "known":
        collector_setup.running_requests = {"r1"}
    if reason == "no answer":
        collector_setup.owner_answers = False
    if reason == "not home":
        collector_setup.home_upstreams = set()
    collector_setup.run(30)

    assert not collector_setup.engines.cancelled


@pytest.mark.matrix(
    invariant=1,
    fault="store down",
    step="stream",
    fails_without="limit for requests that no one reads",
)
def test_store_outage_cancels_only_requests_without_a_reader(collector_setup):
    collector_setup.owner_answers = False
    collector_setup.view_age = 30.0
    collector_setup.add_request("unknown/1")
    collector_setup.run(60)
    assert not collector_setup.engines.cancelled

    collector_setup.run(2)

    assert collector_setup.engines.cancelled == ["r1"]


def test_failed_checks_are_counted(collector_setup):
    collector_setup.engines.down = {ADDRESS}
    collector_setup.run(2)

    assert collector_setup.collector.failures == 2
