"""Fixtures for an entry host with stand-ins of its platform."""

from __future__ import annotations

import pytest

from coltsfootarch.forwarding import daemon
from tests.forwarding import fleet as fleets


@pytest.fixture
def fleet(monkeypatch):
    monkeypatch.setattr(daemon, "DRAIN_S", 0.0)
    monkeypatch.setattr(daemon, "BALANCER_REMOVAL_S", 0.0)
    monkeypatch.setattr(daemon, "REFUSE_AFTER_S", 0.0)
    started = fleets.Fleet()
    started.configure()
    yield started
    started.close()


@pytest.fixture
def app(fleet):
    """An entry host with two upstreams of a plain service."""
    fleet.add_runner("i-1", "app")
    fleet.add_runner("i-2", "app")
    fleet.start()
    return fleet


@pytest.fixture
def engines(fleet):
    """An entry host with one prefill and two decode engines."""
    fleet.add_runner("p-1", "llm", "prefill")
    fleet.add_runner("d-1", "llm", "decode")
    fleet.add_runner("d-2", "llm", "decode")
    fleet.start()
    return fleet
