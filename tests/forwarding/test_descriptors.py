"""Tests how many connections of callers a host accepts."""

from __future__ import annotations

import gevent
import pytest

from coltsfootarch import clock as clocks
from coltsfootarch.forwarding import descriptors
from coltsfootarch.forwarding import listener as listeners


class Limit:
    """A limit of descriptors that can change."""

    def __init__(self, value):
        self.value = value

    def read(self):
        return self.value


class SteppedClock(clocks.SystemClock):
    """A clock that only a test moves."""

    now_s = 100.0

    def monotonic(self):
        return self.now_s


@pytest.mark.parametrize(("limit", "callers"), [(4100, 1918), (100, 37)])
def test_half_of_the_descriptors_is_left_for_upstreams(limit, callers):
    """Guards against requests that are read and can't be sent on."""
    budget = descriptors.DescriptorBudget(SteppedClock(), Limit(limit).read)

    assert budget.max_callers == callers


def test_limit_that_only_an_error_shows_is_observed():
    """Guards against a bound that the system's larger limit makes useless."""
    budget = descriptors.DescriptorBudget(SteppedClock(), Limit(1 << 20).read)
    for number in (12, 399, 30):
        budget.record(number)

    budget.record_shortage()

    assert budget.max_callers == 150


def test_changed_limit_is_read_again():
    clock, limit = SteppedClock(), Limit(4100)
    budget = descriptors.DescriptorBudget(clock, limit.read)
    limit.value = 100
    clock.now_s += descriptors.REFRESH_S

    budget.record(20)

    assert budget.max_callers == 37


@pytest.fixture
def full(app):
    """An entry host with room for one connection, and its caller."""
    budget = app.daemon.caller_listener.budget
    budget.max_callers = 1
    budget.refresh = lambda: None
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
