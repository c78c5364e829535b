"""Tests that streams go on although hosts have lost what they knew."""

from __future__ import annotations

import time

import gevent
import pytest

from tests.forwarding import test_stream_versions
from tests.platform import documents


@pytest.fixture
def limited(edge_host):
    """A host whose account has 600 tokens a second and an empty bucket."""
    document = documents.configuration()
    document["tenants"][0].update(rate_per_s=600, burst=1500)
    edge_host.configure(document)
    edge_host.add_runner("p-1", "llm", "prefill")
    edge_host.add_runner("d-1", "llm", "decode")
    edge_host.start()
    bucket = edge_host.daemon.buckets.bucket("acme")
    bucket.level, bucket.updated_at = 0.0, time.monotonic()
    edge_host.daemon.settings = edge_host.daemon.settings._replace(
        limits=edge_host.daemon.settings.limits._replace(rate_slack=0)
    )
    return edge_host


def ask(edge_host, tokens, **fields):
    return edge_host.ask(
        "/write/a",
        "POST",
        b"prompt",
        request_id="r2",
        X_Token_Count=f"{tokens},100",
        **fields,
    )


def test_stream_that_is_taken_up_waits_for_tokens(limited):
    """Guards against take-ups that are refused until no try is left."""
    assert ask(limited, 500).status == 429

    response = ask(limited, 500, Last_Event_Id="2", Resumes="r1")

    assert response.status == 200


def test_stream_that_is_taken_up_waits_for_a_while_only(limited):
    """Its caller is told at once if there won't be tokens in time."""
    started = time.monotonic()

    response = ask(limited, 5000, Last_Event_Id="2", Resumes="r1")

    assert response.status == 429
    assert time.monotonic() - started < 0.5


def test_caller_that_leaves_while_it_waits_takes_no_tokens(limited):
    caller = limited.caller()
    caller.send(
        "/write/a",
        "POST",
        b"prompt",
        X_Token_Count="900,100",
        Last_Event_Id="2",
        Resumes="r1",
    )
    gevent.sleep(0.2)
    caller.close()
    gevent.sleep(1.8)

    assert not limited.runs()
    assert limited.daemon.buckets.bucket("acme").admitted == 0


def test_stream_that_is_taken_up_waits_for_an_engine(engines):
    """It has missed its objective, so that it waits as long as its caller."""
    loads = engines.daemon.context.loads
    for name in ("d-1", "d-2"):
        for _ in range(8):
            loads.add(name, 500)
    waiting = gevent.spawn(test_stream_versions.take_up, engines)
    gevent.sleep(1.2)
    assert not waiting.ready()

    loads.remove("d-1", 500)

    assert waiting.get(timeout=3.0).status == 200
