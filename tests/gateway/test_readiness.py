"""Guards against a host that starts with an outdated configuration."""

from __future__ import annotations

import pytest

from coltsfootarch import errors
from coltsfootarch.gateway import readiness
from tests.config import fleets


@pytest.fixture
def fleet(manual_clock):
    return fleets.Fleet(manual_clock)


def commit(fleet):
    document = fleet.repository.read(1).document
    fleet.repository.commit(document + "\n# edited\n", "ana", "", 1)


@pytest.mark.matrix(
    invariant=10,
    fault="edit while a host starts",
    step="start",
    seen_red="confirmation after the session",
)
def test_host_confirms_again_after_its_session_is_written(fleet):
    _, config = fleet.host()
    assert config.version == 1
    announced = []
    starting = readiness.Readiness(config, lambda: bool(announced))
    starting.tick()
    with pytest.raises(errors.RefusedError):
        starting.check()

    commit(fleet)
    announced.append(True)
    starting.tick()

    starting.check()
    assert config.version == 2


def test_host_without_a_version_leaves_the_first_poll_to_the_tracker(fleet):
    """Guards the question to zone peers, which follows the tracker's poll."""
    fleet.shared.down = True
    _, config = fleet.host()
    polled_at = config.polled_at
    starting = readiness.Readiness(config, lambda: True)
    fleet.pass_time(1)

    starting.tick()

    assert config.polled_at == polled_at
    assert not starting.ready


def test_host_serves_with_a_peer_version_while_the_store_is_down(fleet):
    _, config = fleet.host()
    fleet.shared.down = True
    starting = readiness.Readiness(config, lambda: True)

    starting.tick()

    starting.check()
