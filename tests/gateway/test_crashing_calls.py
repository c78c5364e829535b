"""Tests which failures of instances count as crashes by a call."""

from __future__ import annotations

import datetime

import gevent
import pytest

from coltsfootarch import clock as clocks
from coltsfootarch import errors
from coltsfootarch.gateway import crashing_calls
from coltsfootarch.scheduling import break_counts
from tests.fakes import pools

STEP = datetime.timedelta(seconds=0.1)


class SteppedClock(clocks.ManualClock):
    """Clock on which a sleep ends when others have advanced it enough."""

    def sleep(self, duration):
        until = self.monotonic() + duration.total_seconds()
        while self.monotonic() < until:
            gevent.sleep(0)


class Connection:
    def close(self):
        pass


class Connector:
    """Connects to instances of which some don't reply until an instant."""

    def __init__(self, clock):
        self.clock = clock
        self.silent_until = {}
        self.refusing = set()
        self.opened = []

    def connect(self, address, timeout):
        self.opened.append(address)
        if address in self.refusing:
            raise errors.UpstreamConnectError("refused")
        until = self.clock.monotonic() + timeout.total_seconds()
        while self.clock.monotonic() < self.silent_until.get(address, 0.0):
            if self.clock.monotonic() >= until:
                raise errors.UpstreamSilentError("no reply")
            gevent.sleep(0)
        return Connection()


class Calls:
    """Crash counts of calls, with three instances."""

    def __init__(self):
        self.clock = SteppedClock()
        self.connector = Connector(self.clock)
        self.crashing = crashing_calls.CrashingCalls(self.clock, self.connector)
        self.instances = [
            pools.make_upstream(f"i{number}", "plain", number)
            for number in range(3)
        ]

    def fail(self, number, digest="a"):
        self.crashing.record_failure(digest, self.instances[number])

    def be_silent(self, seconds):
        until = self.clock.monotonic() + seconds
        for each in self.instances:
            self.connector.silent_until[each.address] = until

    def pass_time(self, seconds):
        for _ in range(round(seconds * 10)):
            self.clock.advance(STEP)
            for _ in range(5):
                gevent.sleep(0)

    def count(self, digest="a"):
        return self.crashing.counts.count(digest)


@pytest.fixture
def calls():
    return Calls()


def test_instance_that_refuses_connections_has_crashed(calls):
    calls.connector.refusing.add(calls.instances[0].address)
    calls.fail(0)
    calls.pass_time(0.1)
    assert calls.count() == 1


@pytest.mark.parametrize("silence_s", [0.5, 1.0, 2.0, 3.0])
def test_silent_instances_that_go_on_have_not_crashed(calls, silence_s):
    """Guards against refusing a call after a silence of its instances."""
    calls.be_silent(silence_s)
    for number in range(3):
        calls.fail(number)
    calls.pass_time(5.0)
    assert calls.count() == 0
    calls.crashing.check("a")


def test_instances_that_stay_dark_have_crashed(calls):
    """Guards against a call that makes machines go dark for ever."""
    calls.be_silent(100.0)
    for number in range(3):
        calls.fail(number)
    calls.pass_time(2.5)
    assert calls.count() == 0
    calls.pass_time(2.0)
    assert calls.count() == break_counts.MAX_BREAKS
    with pytest.raises(errors.RefusedError):
        calls.crashing.check("a")


def test_answered_call_crashed_no_instance(calls):
    """Guards against refusing a call that another instance answered."""
    calls.be_silent(100.0)
    calls.fail(0, "answered")
    calls.fail(0, "unanswered")
    calls.pass_time(1.0)
    calls.crashing.record_success("answered")
    calls.pass_time(4.0)
    assert calls.count("answered") == 0
    assert calls.count("unanswered") == 1


def test_instance_is_checked_once_at_a_time(calls):
    """Guards against a connection for each call that was on an instance."""
    calls.be_silent(100.0)
    for number in range(20):
        calls.fail(0, f"digest {number}")
    calls.pass_time(5.0)
    assert calls.count("digest 19") == 1
    assert len(calls.connector.opened) <= 20
    assert not calls.crashing.running


def test_error_of_this_host_is_no_crash(calls, monkeypatch):
    """Guards against blaming a call for a lack of descriptors."""

    def connect(address, timeout):
        raise errors.LocalConnectError("too many open files")

    monkeypatch.setattr(calls.connector, "connect", connect)
    calls.fail(0)
    calls.pass_time(5.0)
    assert calls.count() == 0
