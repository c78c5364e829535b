"""Plays responses of faulty and sound upstreams against one bound."""

from __future__ import annotations

import pytest

from coltsfootarch.forwarding import response_memory

KIB = 1024
MIB = 1024 * KIB


class Reader:
    """Reads one response into a memory.

    Attributes:
        alive: Whether the response was not given up.
    """

    def __init__(self, memory, upstream):
        self.alive = True
        self.size = 0
        self.holding = memory.open(upstream, self.abandon)

    def abandon(self):
        self.alive = False

    def read(self, size):
        self.size += size
        try:
            self.holding.resize(self.size)
        except response_memory.ResponseMemoryError:
            self.alive = False
        return self.alive


@pytest.fixture
def abandoned():
    return []


@pytest.fixture
def memory(abandoned):
    return response_memory.ResponseMemory(
        lambda holding, size: abandoned.append((holding.upstream, size))
    )


def test_endless_responses_of_one_upstream_stay_below_the_bound(
    memory, abandoned
):
    """Guards against a sum that grows though each response is bounded."""
    readers = [Reader(memory, "faulty") for _ in range(100)]
    for _ in range(400):
        for reader in readers:
            if reader.alive:
                reader.read(64 * KIB)
            assert memory.used <= memory.capacity

    assert {upstream for upstream, _ in abandoned} == {"faulty"}


def test_sound_responses_are_read_beside_endless_ones(memory):
    """Guards against an upstream that takes the memory of all others."""
    readers = [Reader(memory, "faulty") for _ in range(100)]
    sound = []
    for step in range(300):
        for number, reader in enumerate(readers):
            if not reader.read(64 * KIB):
                readers[number] = Reader(memory, "faulty")
        if step % 10 == 0:
            sound.append(Reader(memory, "sound"))
        for reader in sound:
            if reader.size < MIB:
                reader.read(64 * KIB)
            elif reader.alive:
                reader.holding.close()

    assert len(sound) == 30
    assert all(reader.alive for reader in sound)


def test_usual_responses_are_taken_though_complete_ones_fill_the_memory(
    memory,
):
    """Guards against slow callers whose responses stop all others."""
    waiting = [Reader(memory, "large") for _ in range(4)]
    for reader in waiting:
        reader.read(4 * MIB)
        reader.holding.settle()

    usual = Reader(memory, "sound")
    assert usual.read(response_memory.GUARANTEED_BYTES)
    assert not usual.read(MIB)
    assert all(reader.alive for reader in waiting)


def test_freed_memory_is_available_again(memory):
    """Guards against a count that grows with each response."""
    for ending in ("close", "abandon", "settle"):
        reader = Reader(memory, "sound")
        reader.read(16 * MIB)
        if ending == "abandon":
            reader.read(64 * KIB)
        if ending == "settle":
            reader.holding.settle()
        reader.holding.close()
        reader.holding.close()
        assert (memory.used, memory.holdings) == (0, set())
