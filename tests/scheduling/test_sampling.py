"""Tests against herding: many hosts that choose by the same stale load view."""

from __future__ import annotations

import random

from coltsfootarch.scheduling import call_placement
from coltsfootarch.scheduling import load_view
from coltsfootarch.scheduling import outcomes
from coltsfootarch.scheduling import sampling
from tests.fleet import builders

HOSTS = 70


def max_calls_at_one_upstream(clock, hosts):
    """Returns the maximum calls at one of four upstreams.

    All hosts choose at the same time, with the same load view.
    """
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
        placer.loads.add("i-0", 1)  # The load view of every host.
        chosen.append(placer.choose("app").id)
    return max(map(chosen.count, set(chosen)))


def test_many_hosts_distribute_their_calls(manual_clock):
    assert max_calls_at_one_upstream(manual_clock, hosts=1) == HOSTS
    assert max_calls_at_one_upstream(manual_clock, hosts=HOSTS) < HOSTS / 2


def test_few_hosts_compare_all_upstreams():
    sampler = sampling.Sampler(lambda: 7, random.Random(1))

    assert sampler.sample([1, 2, 3, 4]) == [1, 2, 3, 4]
    assert (
        len(sampling.Sampler(lambda: 70, random.Random(1)).sample("abcd")) == 2
    )
