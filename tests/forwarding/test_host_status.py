"""Tests that a running host tells operators what it believes."""

from __future__ import annotations

import json
import subprocess
import sys

import gevent
import pytest
from click import testing

from coltsfootarch.console import application
from coltsfootarch.console.commands import status
from coltsfootarch.fleet import active_policy
from coltsfootarch.fleet import hosts


def fetch(daemon):
    """Fetches in a thread, so that the host's greenlets can answer."""
    pool = gevent.get_hub().threadpool
    return pool.apply(status.fetch, (daemon.settings.metrics,))


def test_status_shows_policy_upstreams_and_hosts(app):
    app.wait(lambda: app.daemon.hosts.known)
    app.daemon.hosts.apply(
        [
            app.daemon.hosts.own,
            hosts.HostRecord("host-2", "127.0.0.1:9", "south", 1, 1),
        ]
    )

    shown = fetch(app.daemon)

    assert (shown["host"], shown["role"]) == ("host-1", "direct")
    assert shown["policy"]["version"] == app.daemon.policy_tracker.version()
    assert [each["id"] for each in shown["upstreams"]] == ["i-1", "i-2"]
    assert shown["peers"][0]["role"] == "silent"
    assert (shown["reached"], shown["expected"]) == (1, 2)
    assert "Bearer" not in json.dumps(shown)


def test_status_of_a_host_that_is_behind_names_the_newer_version(
    app, monkeypatch
):
    """An operator must see that the newer policy isn't in force here."""
    version = app.daemon.policy_tracker.version()
    app.daemon.policy_tracker.confirm_passed(version + 5, float("-inf"))
    shown = fetch(app.daemon)
    monkeypatch.setattr(status, "fetch", lambda address: shown)

    result = testing.CliRunner().invoke(
        application.main, ["status", "127.0.0.1:9"]
    )

    assert result.exit_code == 0
    assert f"policy {version} (newest known {version + 5})" in result.output
    assert "i-1" in result.output


def test_metrics_count_messages_by_kind(app):
    app.daemon.report_exchange.counts.received["fleet"] += 3
    app.daemon.report_exchange.counts.dropped["version"] += 1

    text = app.daemon.render_metrics().decode()

    line = 'exchange_messages{direction="received",kind="fleet"} 3.0'
    assert line in text
    assert 'exchange_dropped{reason="version"} 1.0' in text
    assert "coltsfootarch_fallback_reads 0.0" in text


@pytest.mark.parametrize("arguments", [["127.0.0.1:9"], ["nowhere"]])
def test_status_of_a_missing_host_is_an_error(arguments):
    result = subprocess.run(
        [sys.executable, "-m", "coltsfootarch", "status", *arguments],
        capture_output=True,
        text=True,
        check=False,
    )

    assert result.returncode == (4 if arguments[0][0].isdigit() else 2)
    assert result.stderr


def test_confirmation_from_the_future_is_ignored(manual_clock):
    """A host whose clock began anew would trust a key for too long."""
    tracker = active_policy.PolicyTracker(manual_clock)
    tracker.confirm_passed(-1, manual_clock.monotonic() + 10.0)

    assert tracker.confirmed_at == float("-inf")


def test_metrics_count_limited_upstreams_and_refused_requests(app):
    app.runners["i-1"].limit = app.runners["i-2"].limit = "9.0"
    for number in range(6):
        app.ask("/read/a", request_id=f"r{number}")
    for _ in range(3):
        app.daemon.context.break_counts.record("digest")

    metrics = app.daemon.render_metrics().decode()

    limited = len(app.daemon.context.notices.limits.limited())
    assert limited >= 1
    assert f"coltsfootarch_limited_upstreams {limited}.0" in metrics
    assert "coltsfootarch_refused_contents 1.0" in metrics
