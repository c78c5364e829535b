"""Plays requests of faulty and usual callers against one bound."""

from __future__ import annotations

import pytest

from coltsfootarch.http1 import messages
from coltsfootarch.http1 import request_memory

KIB = 1024
MIB = 1024 * KIB
MAX_BODY_BYTES = 4 * MIB


class Caller:
    """Sends one request into a memory.

    Attributes:
        alive: Whether the request was not given up.
    """

    def __init__(self, memory):
        self.alive = True
        self.size = 0
        self.holding = memory.open(self.drop)

    def drop(self):
        self.alive = False

    def send(self, size):
        self.size += size
        self.holding.resize(self.size)
        return self.alive


@pytest.fixture
def given_up():
    return []


@pytest.fixture
def memory(given_up):
    return request_memory.RequestMemory(lambda: given_up.append(1))


def test_large_requests_stay_below_the_bound_together(memory, given_up):
    """Guards against a sum that grows though each request is bounded."""
    callers = [Caller(memory) for _ in range(100)]
    for _ in range(MAX_BODY_BYTES // (64 * KIB)):
        for caller in callers:
            if caller.alive:
                caller.send(64 * KIB)
            assert memory.used <= memory.capacity

    alive = [caller for caller in callers if caller.alive]
    assert len(alive) == memory.capacity // MAX_BODY_BYTES
    assert len(given_up) == 100 - len(alive)


def test_usual_requests_are_taken_beside_large_ones(memory):
    """Guards against callers that are refused for what others send."""
    large = [Caller(memory) for _ in range(100)]
    for number in range(1000):
        for caller in large:
            if caller.alive:
                caller.send(64 * KIB)
        usual = Caller(memory)
        assert usual.send(request_memory.USUAL_BYTES // 2)
        if number % 2:
            usual.holding.close()


def test_largest_request_is_given_up_first(memory):
    """Guards against a small request that yields to a large one."""
    callers = [Caller(memory) for _ in range(5)]
    for number, caller in enumerate(callers):
        assert caller.send((number + 1) * MIB)
    assert memory.used == 15 * MIB

    callers[0].send(2 * MIB)

    assert [caller.alive for caller in callers] == [True] * 4 + [False]
    assert memory.used == 12 * MIB


def test_single_request_larger_than_the_memory_is_taken(memory):
    """Guards against a request within the limits that is never served."""
    usual = [Caller(memory) for _ in range(100)]
    for caller in usual:
        assert caller.send(10 * KIB)
    single = Caller(memory)

    for _ in range(64):
        assert single.send(MIB)
    assert all(caller.alive for caller in usual)


def test_handled_request_is_not_given_up(memory):
    """Guards against a request that an upstream may run and that is lost."""
    handled = [Caller(memory) for _ in range(4)]
    for caller in handled:
        caller.send(4 * MIB)
        caller.holding.handled = True

    later = Caller(memory)

    assert not later.send(64 * KIB)
    assert all(caller.alive for caller in handled)
    assert Caller(memory).send(16 * KIB)


def test_usual_requests_have_a_bound_too(memory, given_up):
    """Guards against a crowd of small requests that fills a host."""
    callers = [Caller(memory) for _ in range(4000)]
    for caller in callers:
        caller.send(16 * KIB)
        assert memory.used <= 2 * memory.capacity

    assert given_up


def test_ended_requests_use_no_memory(memory):
    """Guards against a bound that shrinks with each caller."""
    for _ in range(100):
        caller = Caller(memory)
        caller.send(MIB)
        caller.holding.close()
        caller.send(MIB)

    assert memory.used == 0
    assert not memory.holdings


def test_memory_of_a_request_counts_its_fields():
    """Guards against heads of short lines that count as their bytes."""
    fields = (("a", "b"),) * 3000
    request = messages.Request("GET", "/a", fields, b"c" * 10, True, 0.0)

    size = request_memory.request_bytes(request)

    assert size > 3000 * request_memory.FIELD_BYTES
