"""Plays calls of a large fleet to a plain service with little spare capacity.

Each host makes few calls, and hears of the failures of all others.
"""

from __future__ import annotations

import datetime
import random
from typing import NamedTuple

import pytest

from coltsfootarch.fleet import merging
from coltsfootarch.fleet import reports
from coltsfootarch.scheduling import outcomes

HOSTS = 70
UPSTREAMS = ("i-1", "i-2", "i-3")
# Calls that an upstream can take in one interval, and that callers make.
CAPACITY = 6
CALLS = 14
LATE_FRACTION = 0.02
INTERVAL_S = 0.12
DURATION_S = 30.0


class Result(NamedTuple):
    calls: int
    refused: int
    at_dead: int


class Upstream(NamedTuple):
    id: str


class Fleet:
    def __init__(self, clock, seed, dead=""):
        self.clock = clock
        self.generator = random.Random(seed)
        self.dead = dead
        self.trackers = [outcomes.OutcomeTracker(clock) for _ in range(HOSTS)]

    def call(self, load):
        """Makes one call; returns its upstream and whether it was refused."""
        tracker = self.generator.choice(self.trackers)
        candidates = tracker.prefer_usable([Upstream(id) for id in UPSTREAMS])
        chosen = min(
            candidates, key=lambda each: (load[each.id], each.id != self.dead)
        ).id
        load[chosen] += 1
        if chosen == self.dead:
            tracker.record(chosen, outcomes.Outcome.BROKEN)
            return chosen, False
        if load[chosen] > CAPACITY:
            tracker.record(chosen, outcomes.Outcome.REFUSED)
            return chosen, True
        is_late = self.generator.random() < LATE_FRACTION
        tracker.record(
            chosen,
            outcomes.Outcome.BROKEN if is_late else outcomes.Outcome.SUCCESS,
            0.06,
        )
        return chosen, False

    def exchange_reports(self):
        """Tells each host the sum of the reports of all hosts.

        The host's own part makes no difference to what is played.
        """
        own = [
            merging.Received(
                tracker.add_to_report(reports.empty_report("host", 1, 1))
            )
            for tracker in self.trackers
        ]
        merged = merging.merge(own)._replace(host="fleet")
        for tracker in self.trackers:
            tracker.apply_report(merged, True)

    def play(self, duration_s):
        calls = refused = at_dead = 0
        for _ in range(int(duration_s / INTERVAL_S)):
            load = dict.fromkeys(UPSTREAMS, 0)
            for _ in range(CALLS):
                upstream, was_refused = self.call(load)
                calls += 1
                refused += was_refused
                at_dead += upstream == self.dead
            self.clock.advance(datetime.timedelta(seconds=INTERVAL_S))
            self.exchange_reports()
        return Result(calls, refused, at_dead)


@pytest.fixture(params=[1, 2, 3])
def seed(request):
    """Seed of a play."""
    return request.param


def test_late_calls_at_sound_upstreams_cause_no_refusals(manual_clock, seed):
    result = Fleet(manual_clock, seed).play(DURATION_S)

    assert result.refused < 0.01 * result.calls


def test_upstream_that_dies_gets_less_than_half_of_its_share(
    manual_clock, seed
):
    fleet = Fleet(manual_clock, seed)
    fleet.play(5.0)
    fleet.dead = "i-2"

    result = fleet.play(4.0)

    assert result.at_dead < 0.5 * result.calls / len(UPSTREAMS)
