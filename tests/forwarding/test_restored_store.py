"""Tests that a host serves on while its store comes back from a copy."""

from __future__ import annotations

import gevent
import pytest

from coltsfootarch.platform import host_rows
from tests.platform import documents

NEW_ROUTE = documents.route("new", "/new/", "idempotent", "app", public=True)


def with_new_route(version):
    document = documents.configuration(version)
    document["routes"].append(NEW_ROUTE)
    return document


@pytest.fixture
def restored(app):
    """A host whose store has lost version 2 of the configuration."""
    copied = app.store.revision
    app.configure(with_new_route(2))
    app.wait(lambda: app.daemon.policy_tracker.version() == 2)
    app.store.restore(copied)
    app.wait(lambda: app.daemon.platform.epochs.restorations)
    return app


def test_added_route_is_served_while_the_store_lacks_it(restored):
    gevent.sleep(0.3)

    assert restored.ask("/new/x").status == 200


def test_change_after_a_restoration_is_in_force(restored):
    restored.configure(documents.configuration(3))

    restored.wait(lambda: restored.daemon.policy_tracker.version() == 3)

    assert restored.ask("/new/x").status == 404


def test_policy_written_again_is_confirmed(restored):
    restored.configure(with_new_route(2))
    at = restored.daemon.clock.monotonic()

    restored.wait(lambda: restored.daemon.policy_tracker.confirmed_at > at)


def test_row_of_the_host_is_written_again(edge_host):
    edge_host.add_runner("i-1", "app")
    copied = edge_host.store.revision
    edge_host.start()
    row = (host_rows.HOST_TABLE, "", "host-1")
    edge_host.wait(lambda: row in edge_host.store.rows)

    edge_host.store.restore(copied)
    assert row not in edge_host.store.rows

    edge_host.wait(lambda: row in edge_host.store.rows)


def test_restoration_is_shown_by_the_metrics(restored):
    metrics = restored.daemon.render_metrics().decode()

    assert "coltsfootarch_store_epoch 2.0" in metrics
    assert "coltsfootarch_store_restorations 1.0" in metrics
