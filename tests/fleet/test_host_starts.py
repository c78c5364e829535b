"""Tests that hosts that start while the store fails find each other."""

from __future__ import annotations

import random

import pytest

from coltsfootarch import errors
from coltsfootarch.fleet import host_renewal
from coltsfootarch.fleet import hosts
from tests.fleet import test_hosts

record = test_hosts.record


class Registry(test_hosts.Registry):
    """List of hosts that can fail.

    Attributes:
        fails_to_write: Whether writes are refused.
        fails_to_read: Whether reads are refused.
        loses_answers: Whether writes are done without an answer.
    """

    def __init__(self):
        super().__init__()
        self.fails_to_write = False
        self.fails_to_read = False
        self.loses_answers = False

    def write(self, written):
        if self.fails_to_write:
            raise errors.TableUnavailableError()
        super().write(written)
        if self.loses_answers:
            raise errors.TableUnavailableError()

    def read(self):
        if self.fails_to_read:
            raise errors.TableUnavailableError()
        return super().read()


@pytest.fixture
def registry():
    """A list with one other host."""
    registry = Registry()
    registry.write(record("h2"))
    return registry


def make_renewer(registry, clock, name="h1"):
    return host_renewal.HostRenewer(
        registry,
        hosts.HostDirectory(record(name), clock),
        clock,
        random.Random(1),
    )


@pytest.fixture
def renewer(registry, manual_clock):
    return make_renewer(registry, manual_clock)


@pytest.mark.parametrize(
    "failure", ["fails_to_write", "fails_to_read", "loses_answers"]
)
def test_host_joins_at_its_first_try_after_a_failure(
    registry, renewer, failure
):
    """Guards against a host that takes itself for the only one for 12 s."""
    setattr(registry, failure, True)
    renewer.try_renew()
    setattr(registry, failure, False)

    renewer.try_renew()

    assert list(renewer.directory.peers) == ["h2"]
    assert "h1" in registry.rows
    assert not renewer.failing


def test_host_whose_writes_are_refused_knows_the_others(registry, renewer):
    """Guards against a host that reads only what it could write before."""
    registry.fails_to_write = True

    renewer.try_renew()

    assert list(renewer.directory.peers) == ["h2"]
    assert renewer.failing


def test_rewrite_after_a_restoration_does_not_replace_the_first_read(
    registry, renewer
):
    """Guards against a restoration before a host has read the others' rows."""
    renewer.try_write()

    renewer.try_renew()

    assert list(renewer.directory.peers) == ["h2"]


def test_rows_are_read_again_once_the_own_one_is_written(
    registry, renewer, manual_clock
):
    """Guards against two hosts of which each read before the other wrote."""
    other = make_renewer(registry, manual_clock, "h3")
    registry.fails_to_write = True
    renewer.try_renew()
    other.try_renew()
    registry.fails_to_write = False

    renewer.try_renew()
    other.try_renew()

    assert "h1" in other.directory.peers


def test_failed_start_is_tried_again_soon(registry, renewer):
    """Guards against a host that serves for seconds before it is known."""
    registry.fails_to_write = True
    pauses = set()
    for _ in range(20):
        renewer.try_renew()
        pauses.add(renewer.pause().total_seconds())

    assert max(pauses) <= 1.0
    assert len(pauses) > 1


def test_read_that_fails_is_made_up_for_at_the_next_renewal(registry, renewer):
    """Guards against a renewal whose read counts though it has failed."""
    registry.rows.clear()
    for _ in range(3):
        renewer.renew()
    registry.fails_to_read = True
    with pytest.raises(errors.TableUnavailableError):
        renewer.renew()
    registry.fails_to_read = False
    registry.write(record("h4"))

    renewer.renew()

    assert "h4" in renewer.directory.peers
