"""Hunts for streams that are lost when engines fall silent, from seeds.

`SILENT_STREAM_SEEDS=1-120` plays these seeds in place of the usual ones.
"""

from __future__ import annotations

import os

import gevent
import pytest

from coltsfootarch.forwarding import decode_stage
from tests.forwarding import stream_checks
from tests.forwarding import stream_hunt

USUAL_SEEDS = "1-2"
# Seeds that have failed once.
REGRESSIONS = (7, 12, 15, 21, 48, 52, 63, 100, 101, 108, 120, 125, 134)


def seeds():
    """Returns the seeds to play."""
    chosen = os.environ.get("SILENT_STREAM_SEEDS", "")
    first, _, last = (chosen or USUAL_SEEDS).partition("-")
    found = list(range(int(first), int(last or first) + 1))
    return found if chosen else [*found, *REGRESSIONS]


@pytest.mark.parametrize("seed", seeds())
def test_silent_engines_cost_no_stream(edge_host, monkeypatch, seed):
    """Guards against streams that are lost, run twice or leave something."""
    monkeypatch.setattr(decode_stage, "MIN_STALL_S", 0.3)
    monkeypatch.setattr(decode_stage, "STALL_GAP_MULTIPLE", 0.1)
    hunt = stream_hunt.Hunt(edge_host, seed)
    hunt.run()

    report = "\n".join(["", *hunt.actions, hunt.settings(), ""])
    checks = stream_checks.Checks(hunt)
    found = checks.violations()
    assert not found, report + "\n".join(found)
    try:
        edge_host.wait(checks.is_released)
    except gevent.Timeout:
        pytest.fail(f"{report}{checks.state()}")
