"""Tests a host that has no descriptor left for another connection."""

from __future__ import annotations

import errno

import pytest

from coltsfootarch.http1 import client

SIZES = {"X_Token_Count": "1000,500"}


def fail(*arguments):
    raise OSError(errno.EMFILE, "Too many open files")


class FailingSockets:
    """Opens no socket, as at the limit of descriptors."""

    socket = staticmethod(fail)


def descriptors_used_up(edge_host, monkeypatch):
    edge_host.daemon.context.connections.close()
    monkeypatch.setattr(client, "gevent_socket", FailingSockets)


def test_request_is_refused_if_no_connection_can_be_opened(app, monkeypatch):
    """Guards against callers that are cut at the limit of descriptors."""
    caller = app.caller()
    with monkeypatch.context() as patch:
        descriptors_used_up(app, patch)
        response = caller.ask("/book/a", "POST", b"x")

    assert (response.status, response.code) == (503, "overloaded")
    assert float(response.fields["retry-after"]) > 0
    assert caller.ask("/read/a", request_id="r2").status == 200


def test_generation_is_refused_if_no_connection_can_be_opened(
    engines, monkeypatch
):
    descriptors_used_up(engines, monkeypatch)

    response = engines.ask("/write/a", "POST", b"p", **SIZES)

    assert (response.status, response.code) == (503, "overloaded")
    assert "retry-after" in response.fields


@pytest.mark.parametrize("target", ["/read/a", "/write/a"])
def test_upstreams_are_not_blamed_for_a_lack_of_descriptors(
    edge_host, monkeypatch, target
):
    """Guards against sound upstreams that are ejected by a local error."""
    edge_host.add_runner("i-1", "app")
    edge_host.add_runner("d-1", "llm", "decode")
    edge_host.start()
    tracker = edge_host.daemon.context.outcome_tracker
    recorded = []
    monkeypatch.setattr(
        tracker, "record", lambda *values: recorded.append(values)
    )
    descriptors_used_up(edge_host, monkeypatch)

    edge_host.ask(target, "POST", b"p", **SIZES)

    assert not recorded


def test_engine_counts_as_sound_if_it_can_not_be_checked(engines, monkeypatch):
    """Guards against a content that is refused because of a local error."""
    context = engines.daemon.context
    descriptors_used_up(engines, monkeypatch)

    assert not context.crash_check.is_down(
        engines.daemon.upstreams.upstreams["d-1"]
    )
