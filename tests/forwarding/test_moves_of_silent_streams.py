"""Tests what moves of silent streams, and tries that send nothing, cost."""

from __future__ import annotations

import math
import time

import gevent
import pytest

from coltsfootarch.forwarding import decode_stage
from coltsfootarch.forwarding import prefill_stage
from coltsfootarch.http1 import client
from coltsfootarch.scheduling import outcomes
from tests.forwarding import test_silent_streams
from tests.platform import documents


@pytest.fixture
def engines(engines, monkeypatch):
    """Engines that are silent for too long after 0.2 s."""
    monkeypatch.setattr(decode_stage, "MIN_STALL_S", 0.2)
    monkeypatch.setattr(decode_stage, "STALL_GAP_MULTIPLE", 0.1)
    for name in ("d-1", "d-2"):
        engines.runners[name].event_gap_s = 0.1
    return engines


@pytest.fixture
def without_reservations(engines):
    """The same engines, which reserve no memory."""
    document = documents.configuration(2)
    del document["services"][0]["engine"]["hold_ms"]
    engines.configure(document)
    engines.wait(lambda: engines.daemon.policy_tracker.version() == 2)
    return engines


@pytest.mark.parametrize("max_attempts", [2, 3])
@pytest.mark.parametrize("refusal", ["slots", "cut head"])
def test_refusal_in_spite_of_a_reservation_costs_no_stream(
    engines, refusal, max_attempts
):
    """Guards against a stream that is cut with no attempt left."""
    test_silent_streams.configure(engines, 2, max_attempts=max_attempts)
    other = engines.runners["d-2"]
    if refusal == "slots":
        other.slots = 0
    else:
        other.fault = refusal
    stream = test_silent_streams.start_on(engines, "d-1")
    engines.runners["d-1"].fall_silent(math.inf)
    # The first arrival is the reservation.
    engines.wait(lambda: other.arrivals >= 2)
    gevent.sleep(0.1)
    engines.runners["d-1"].fall_silent(0.0)

    stream.check()
    assert engines.runs()["d-1"] == ["r1"]
    test_silent_streams.check_released(engines)


def wait_for_acceptance(edge_host):
    """Waits until the other engine has the request."""
    edge_host.wait(lambda: edge_host.runners["d-2"].arrivals)


def test_stream_goes_on_if_its_engine_breaks_while_another_one_is_asked(
    without_reservations, monkeypatch
):
    """Guards against ending the request that the other engine has taken."""
    engines = without_reservations
    other = engines.runners["d-2"]
    generate = other.generate

    def generate_late(*arguments):
        gevent.sleep(0.2)
        generate(*arguments)

    monkeypatch.setattr(other, "generate", generate_late)
    stream = test_silent_streams.start_on(engines, "d-1")
    engines.runners["d-1"].fall_silent(math.inf)
    wait_for_acceptance(engines)
    engines.runners["d-1"].server.close_connections()

    stream.check()
    assert engines.runs() == {"d-1": ["r1"], "d-2": ["r1"]}
    assert test_silent_streams.retries(engines) == 1
    test_silent_streams.check_released(engines)


def test_stream_does_not_stay_at_an_engine_while_another_one_runs_it(
    without_reservations, monkeypatch
):
    """Guards against a run that goes on 0.4 s after another one began."""
    engines = without_reservations
    first, other = engines.runners["d-1"], engines.runners["d-2"]
    first.events = other.events = 12
    generate = other.generate

    def generate_late(*arguments):
        gevent.sleep(0.15)
        generate(*arguments)

    monkeypatch.setattr(other, "generate", generate_late)
    stream = test_silent_streams.start_on(engines, "d-1")
    first.fall_silent(math.inf)
    wait_for_acceptance(engines)
    first.fall_silent(0.0)
    gevent.sleep(0.4)

    assert other.runs
    assert first.ended_executions
    stream.check(12)
    test_silent_streams.check_released(engines)


def test_caller_that_leaves_while_another_engine_is_asked(
    without_reservations,
):
    """Guards against work for a caller that has left."""
    engines = without_reservations
    engines.runners["d-2"].fault = "mute"
    stream = test_silent_streams.start_on(engines, "d-1")
    engines.runners["d-1"].fall_silent(math.inf)
    wait_for_acceptance(engines)
    engines.runners["d-1"].fall_silent(0.0)
    gevent.sleep(0.02)
    stream.caller.close()

    engines.wait(
        lambda: engines.runners["d-1"].ended_executions == [("r1", "closed")]
    )
    test_silent_streams.check_released(engines)


def test_stream_stays_if_the_other_engine_is_silent_too(without_reservations):
    """Guards against taking the silence of another engine for acceptance."""
    engines = without_reservations
    engines.runners["d-2"].fault = "mute"
    stream = test_silent_streams.start_on(engines, "d-1")
    engines.runners["d-1"].fall_silent(math.inf)
    wait_for_acceptance(engines)
    context = engines.daemon.context
    engines.wait(lambda: not context.loads.load("d-2").requests > 1)
    engines.runners["d-1"].fall_silent(0.0)

    stream.check()
    test_silent_streams.check_released(engines)


def test_caller_that_leaves_during_a_move_leaves_no_load(without_reservations):
    """Guards against local prefills that are counted for ever."""
    engines = without_reservations
    engines.runners["d-2"].fault = "mute"
    stream = test_silent_streams.start_on(engines, "d-1")
    engines.wait(lambda: len(stream.events) >= 2)
    engines.runners["d-1"].fall_silent(math.inf)
    wait_for_acceptance(engines)
    stream.caller.close()

    loads = engines.daemon.context.loads
    engines.wait(lambda: not any("prompt" in name for name in loads.own))
    test_silent_streams.check_released(engines)


def test_tries_at_silent_engines_spend_no_retry(engines, monkeypatch):
    """Guards against a budget that is spent by tries that send nothing."""
    until = time.monotonic() + 60.0
    address = engines.runners["d-2"].address
    start = client.Connection.start
    failed = []

    def start_in_time(self, timeout):
        if self.address == address and time.monotonic() < until:
            gevent.sleep(min(timeout, 0.05))
            failed.append(address)
            raise client.ConnectError("timed out") from TimeoutError(
                "timed out"
            )
        start(self, timeout)

    monkeypatch.setattr(client.Connection, "start", start_in_time)
    budget = engines.daemon.context.budget
    monkeypatch.setattr(budget, "minimum", 2.5)
    monkeypatch.setattr(budget, "ratio", 0.0)
    stream = test_silent_streams.start_on(engines, "d-1")
    engines.runners["d-1"].server.close_connections()
    engines.wait(lambda: len(failed) >= 3)
    until = 0.0

    stream.check()
    assert test_silent_streams.retries(engines) == 1


def test_break_at_the_other_engine_counts_for_the_request(without_reservations):
    """Guards against requests that crash engine after engine in silences."""
    engines = without_reservations
    engines.runners["d-2"].fault = "cut head"
    stream = test_silent_streams.start_on(engines, "d-1")
    engines.runners["d-1"].fall_silent(math.inf)
    wait_for_acceptance(engines)
    breaks = engines.daemon.context.break_counts.breaks
    engines.wait(lambda: breaks)
    engines.runners["d-1"].fall_silent(0.0)

    stream.check()


def test_engine_that_was_asked_in_vain_may_be_probed(without_reservations):
    """Guards against a probe without a result, which blocks the next one."""
    engines = without_reservations
    tracker = engines.daemon.context.outcome_tracker
    engines.runners["d-2"].fault = "mute"
    stream = test_silent_streams.start_on(engines, "d-1")
    tracker.record("d-2", outcomes.Outcome.UNREACHABLE)
    tracker.records["d-2"].health.ejected_until = 0.0
    engines.runners["d-1"].fall_silent(math.inf)
    wait_for_acceptance(engines)
    engines.runners["d-1"].fall_silent(0.0)

    stream.check()
    assert tracker.is_usable("d-2")


def test_stream_that_has_moved_does_not_wait_long_for_a_silent_prefill(engines):
    """Guards against silences of two engines that add up for one caller."""
    test_silent_streams.configure(engines, 2, max_attempts=4)
    stream = test_silent_streams.start_on(engines, "d-1")
    engines.runners["p-1"].fall_silent(math.inf)
    engines.runners["d-1"].fall_silent(math.inf)
    loads = engines.daemon.context.loads
    engines.wait(lambda: loads.load("p-1").requests)
    asked_at = time.monotonic()
    engines.wait(lambda: len(stream.events) > 1)

    assert time.monotonic() - asked_at < prefill_stage.PREFILL_TIMEOUT_S
    stream.check()


@pytest.mark.parametrize("end", ["event", "caller"])
def test_reservation_granted_after_the_search_is_dropped(engines, end):
    """Guards against memory that stays reserved for a stream that isn't moved.

    The engine has read the call and grants it after the search has ended.
    """
    first, other = engines.runners["d-1"], engines.runners["d-2"]
    stream = test_silent_streams.start_on(engines, "d-1")
    other.fall_silent(math.inf)
    first.fall_silent(math.inf)
    engines.wait(lambda: engines.daemon.context.loads.load("d-2").requests > 1)
    gevent.sleep(0.1)
    if end == "event":
        first.fall_silent(0.0)
        stream.check()
    else:
        stream.caller.close()
        gevent.sleep(0.1)
    other.fall_silent(0.0)

    engines.wait(lambda: other.reservations)
    engines.wait(lambda: other.dropped)
    assert other.dropped == ["k1"]
    test_silent_streams.check_released(engines)
