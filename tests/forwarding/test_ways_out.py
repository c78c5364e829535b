"""Tests how requests that were read end, and how the logs tell it."""

from __future__ import annotations

import pytest
import structlog

SIZES = {"X_Token_Count": "1000,500"}


@pytest.fixture
def logs():
    """The log lines that are written during a test."""
    with structlog.testing.capture_logs() as lines:
        yield lines


def lines_of(logs, event):
    return [line for line in logs if line["event"] == event]


def wait_line(edge_host, logs, event):
    edge_host.wait(lambda: lines_of(logs, event))
    return lines_of(logs, event)[0]


def test_stream_that_was_cut_is_not_logged_as_answered(engines, logs):
    """Guards against cut streams that look like success in log and metric."""
    for name in ("d-1", "d-2"):
        engines.runners[name].fault = "crash"

    response = engines.ask("/write/a", "POST", b"p", **SIZES)

    assert not response.complete
    line = wait_line(engines, logs, "request ended")
    assert line["result"] == "cut"
    text = engines.daemon.render_metrics().decode()
    assert 'requests_total{result="cut",service="llm"} 1.0' in text


def test_answered_request_is_logged_as_answered(engines, logs):
    engines.ask("/write/a", "POST", b"p", **SIZES)

    assert wait_line(engines, logs, "request ended")["result"] == "answered"
