"""Fleets of real processes."""

from __future__ import annotations

import pytest

from tests.processes import support


@pytest.fixture
def running_fleet():
    """A fleet for a test that damages it."""
    running = support.start_fleet()
    yield running
    running.close()


@pytest.fixture(scope="module")
def shared_fleet():
    """A fleet for the tests of a module that leave it healthy."""
    running = support.start_fleet()
    yield running
    running.close()


@pytest.fixture
def caller(running_fleet):
    return support.Caller(running_fleet)
