"""Fixtures for an entry host with stand-ins of its platform."""

from __future__ import annotations

import pytest

from coltsfootarch.forwarding import daemon
from tests.forwarding import edge_host as edge_hosts


@pytest.fixture
def edge_host(monkeypatch):
    """An entry host that isn't started yet and shuts down without delays."""
    monkeypatch.setattr(daemon, "DRAIN_S", 0.0)
    monkeypatch.setattr(daemon, "BALANCER_REMOVAL_S", 0.0)
    monkeypatch.setattr(daemon, "REFUSE_AFTER_S", 0.0)
    started = edge_hosts.EdgeHost()
    started.configure()
    yield started
    started.close()


@pytest.fixture
def app(edge_host):
    """An entry host with two upstreams of a plain service."""
    edge_host.add_runner("i-1", "app")
    edge_host.add_runner("i-2", "app")
    edge_host.start()
    return edge_host


@pytest.fixture
def engines(edge_host):
    """An entry host with one prefill and two decode engines."""
    edge_host.add_runner("p-1", "llm", "prefill")
    edge_host.add_runner("d-1", "llm", "decode")
    edge_host.add_runner("d-2", "llm", "decode")
    edge_host.start()
    return edge_host
