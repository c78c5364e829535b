"""Tests how many connections of callers a host accepts."""

from __future__ import annotations

import gevent
import pytest

from coltsfootarch import clock as clocks
from coltsfootarch.forwarding import descriptors
from coltsfootarch.forwarding import listener as listeners


class SteppedClock(clocks.SystemClock):
    """A clock that only a test moves."""

    now_s = 100.0

    def monotonic(self):
        return self.now_s


@pytest.mark.parametrize(("highest", "callers"), [(3999, 1868), (99, 37)])
def test_half_of_the_descriptors_is_left_for_upstreams(highest, callers):
    """Guards against requests that are read and can't be sent on."""
    budget = descriptors.DescriptorBudget(SteppedClock())
    for number in (12, highest, 30):
        budget.record(number)
        assert budget.max_callers == descriptors.MAX_CALLERS

    budget.record_shortage()

    assert budget.max_callers == callers


def test_bound_ends_some_time_after_the_last_shortage():
    """Guards against a bound that outlives a limit that was raised."""
    clock = SteppedClock()
    budget = descriptors.DescriptorBudget(clock)
    budget.record(99)
    budget.record_shortage()
    clock.now_s += descriptors.OBSERVATION_S - 1.0
    budget.record(20)
    assert budget.max_callers == 37
    clock.now_s += 1.0

    budget.record(20)

    assert budget.max_callers == descriptors.MAX_CALLERS


def test_many_descriptors_do_not_raise_the_bound():
    """Guards against connections that fill the memory of a small machine."""
    budget = descriptors.DescriptorBudget(SteppedClock())
    budget.record(19_999)

    budget.record_shortage()

    assert budget.max_callers == descriptors.MAX_CALLERS


@pytest.fixture
def full(app):
    """An entry host with room for one connection, and its caller."""
    budget = app.daemon.caller_listener.budget
    budget.max_callers = 1
    budget.observed_at = budget.clock.monotonic()
    caller = app.caller()
    assert caller.ask("/read/a").status == 200
    return app, caller


def test_request_without_room_for_its_connection_is_refused(full):
    """Guards against accepted connections that are never served."""
    app, caller = full
    other = app.caller()

    response = other.ask("/book/a", "POST", b"x", request_id="r2")

    assert (response.status, response.code) == (503, "overloaded")
    assert "retry-after" in response.fields
    assert response.fields["connection"] == "close"
    assert caller.ask("/read/a", request_id="r3").status == 200
    assert "r2" not in str(app.runs())
    listener = app.daemon.caller_listener
    app.wait(lambda: not listener.surplus)


def test_idle_connection_is_replaced_by_a_new_one(full, monkeypatch):
    """Guards against callers that are refused beside idle connections."""
    app, caller = full
    monkeypatch.setattr(listeners, "MIN_REPLACED_IDLE_S", 0.05)
    gevent.sleep(0.1)

    assert app.ask("/read/a", request_id="r2").status == 200
    assert caller.read() is None


def test_connection_gets_the_room_that_another_one_left(full):
    app, caller = full
    other = app.caller()
    listener = app.daemon.caller_listener
    app.wait(lambda: listener.surplus)
    caller.close()
    app.wait(lambda: len(listener.connections) == 1)

    assert other.ask("/read/a", request_id="r2").status == 200
