"""Tests that keys and prompts do not appear in logs."""

from __future__ import annotations

import io

import structlog

from coltsfootarch.observability import logs


def test_secrets_and_prompts_are_redacted():
    stream = io.StringIO()
    logs.configure("info", stream, host="gw-1")

    structlog.get_logger().info(
        "event", authorization="Bearer cfa_a_b", prompt="note", request_id="r1"
    )

    line = stream.getvalue()
    assert "cfa_a_b" not in line
    assert "note" not in line
    assert "r1" in line
    assert "gw-1" in line
