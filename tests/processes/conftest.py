"""Fixtures that start fleets of real processes."""

from __future__ import annotations

import pytest

from tests.processes import support


@pytest.fixture
def running_fleet():
    """A fleet of its own for a test that changes or damages it."""
    fleet = support.start_fleet()
    yield fleet
    fleet.close()


@pytest.fixture(scope="module")
def shared_fleet():
    """A fleet that the tests of a module share and leave healthy."""
    fleet = support.start_fleet()
    yield fleet
    fleet.close()


@pytest.fixture
def caller(running_fleet):
    return support.Caller(running_fleet)
