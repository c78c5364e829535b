"""Tests that a starting host serves with no outdated configuration."""

from __future__ import annotations

import pytest

from coltsfootarch import errors
from coltsfootarch.gateway import readiness
from tests.config import fleets


@pytest.fixture
def fleet(manual_clock):
    return fleets.Fleet(manual_clock)


def commit_edit(fleet):
    document = fleet.repository.read(1).document
    fleet.repository.commit(document + "\n# edited\n", "ana", "", 1)


@pytest.mark.matrix(
    invariant=10,
    fault="edit while a host starts",
    step="start",
    fails_without="confirmation after the session",
)
def test_host_confirms_again_after_its_session_is_written(fleet):
    _, config = fleet.host()
    assert config.version == 1
    awaited_by_edits = []
    host_readiness = readiness.Readiness(config, lambda: bool(awaited_by_edits))
    host_readiness.tick()
    with pytest.raises(errors.RefusedError):
        host_readiness.check()

    commit_edit(fleet)
    awaited_by_edits.append(True)
    host_readiness.tick()

    host_readiness.check()
    assert config.version == 2


def test_host_without_a_version_does_not_poll_before_the_tracker(fleet):
    """An extra poll would delay the query to peers after the tracker's poll."""
    fleet.shared.down = True
    _, config = fleet.host()
    polled_at = config.polled_at
    host_readiness = readiness.Readiness(config, lambda: True)
    fleet.pass_time(1)

    host_readiness.tick()

    assert config.polled_at == polled_at
    assert not host_readiness.ready


def test_host_serves_with_its_version_while_the_store_is_down(fleet):
    _, config = fleet.host()
    fleet.shared.down = True
    host_readiness = readiness.Readiness(config, lambda: True)

    host_readiness.tick()

    host_readiness.check()
