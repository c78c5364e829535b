"""Tests a silent prefill whose decode engine can't take over."""

from __future__ import annotations

import math
import time

import gevent
import pytest

from coltsfootarch.scheduling import engine_placement
from tests.forwarding import test_silent_streams


@pytest.mark.parametrize("leaves", [True, False])
def test_other_decode_engine_is_asked_if_the_chosen_one_goes_down(
    engines, leaves
):
    """Guards against a request that waits for two engines until its end."""
    engines.runners["p-1"].fall_silent(math.inf)
    test_silent_streams.prefer(engines, "d-1")
    stream = test_silent_streams.Stream(engines)
    engines.wait(lambda: engines.daemon.context.loads.load("p-1").requests)
    gevent.sleep(0.3)
    chosen = engines.runners["d-1"]
    if leaves:
        chosen.state = "draining"
        engines.register(chosen)
    else:
        gevent.spawn(chosen.server.restart, 10.0)

    stream.check()
    assert engines.runs() == {"d-2": ["r1"]}


@pytest.mark.parametrize("busy", ["d-1", "d-2"])
def test_idle_decode_engine_takes_over_a_silent_prefill(engines, busy):
    """Guards against a wait for one engine beside an idle one."""
    engines.runners["p-1"].fall_silent(math.inf)
    test_silent_streams.prefer(engines, "d-1")
    started_at = time.monotonic()
    stream = test_silent_streams.Stream(engines)
    loads = engines.daemon.context.loads
    engines.wait(lambda: loads.load("p-1").requests)
    upstream = engines.daemon.context.directory.upstreams[busy]
    loads.add(engine_placement.local_prefill_key(upstream), 1000)

    stream.check()
    assert time.monotonic() - started_at < 3.0
