"""Fixtures for an entry host with its stand-ins."""

from __future__ import annotations

import pytest

from coltsfootarch.forwarding import daemon
from tests.forwarding import fleet as fleets


@pytest.fixture
def fleet(monkeypatch):
    monkeypatch.setattr(daemon, "DRAIN_S", 0.0)
    monkeypatch.setattr(daemon, "ROTATION_S", 0.0)
    monkeypatch.setattr(daemon, "REFUSAL_S", 0.0)
    found = fleets.Fleet()
    found.configure()
    yield found
    found.close()


@pytest.fixture
def app(fleet):
    """A host before two plain upstreams."""
    fleet.add_runner("i-1", "app")
    fleet.add_runner("i-2", "app")
    fleet.start()
    return fleet


@pytest.fixture
def engines(fleet):
    """A host before one prefill and two decode engines."""
    fleet.add_runner("p-1", "llm", "prefill")
    fleet.add_runner("d-1", "llm", "decode")
    fleet.add_runner("d-2", "llm", "decode")
    fleet.start()
    return fleet
