"""Guards against herds: many hosts that choose by the same old view."""

from __future__ import annotations

import random

from coltsfootarch.scheduling import call_placement
from coltsfootarch.scheduling import load_view
from coltsfootarch.scheduling import outcomes
from coltsfootarch.scheduling import sampling
from tests.fleet import builders

HOSTS = 70


def most_at_one(clock, hosts):
    """Returns the most calls at one of four upstreams, all hosts at once."""
    directory = builders.directory(
        clock, *(builders.plain(f"i-{number}") for number in range(4))
    )
    chosen = []
    for number in range(HOSTS):
        placer = call_placement.CallPlacer(
            directory,
            load_view.LoadView(clock),
            outcomes.OutcomeTracker(clock),
            "north",
            sampling.Sampler(lambda: hosts, random.Random(number)),
        )
        placer.loads.add("i-0", 1)  # What all of them heard last.
        chosen.append(placer.choose("app").id)
    return max(map(chosen.count, set(chosen)))


def test_many_hosts_spread_their_calls(manual_clock):
    assert most_at_one(manual_clock, hosts=1) == HOSTS
    assert most_at_one(manual_clock, hosts=HOSTS) < HOSTS / 2


def test_few_hosts_compare_all():
    sampler = sampling.Sampler(lambda: 7, random.Random(1))

    assert sampler.sample([1, 2, 3, 4]) == [1, 2, 3, 4]
    assert (
        len(sampling.Sampler(lambda: 70, random.Random(1)).sample("abcd")) == 2
    )
