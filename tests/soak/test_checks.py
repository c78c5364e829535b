"""Guards against checks of the soak that see nothing."""

from __future__ import annotations

import types

import pytest

from soak import callers
from soak import checks

EVENTS = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 5))


def seen(**changes):
    base = callers.Seen(
        "r1",
        "book",
        "key-a",
        "h-0",
        10.0,
        10.5,
        200,
        "seal-a-1-r1",
        b"answer of a-1 to r1",
        True,
        False,
    )
    return base._replace(**changes)


def check(request, ran=(), **schedule):
    values = {
        "withdrawn": {},
        "planned": [],
        "unplanned": [],
        "draining": [],
        **schedule,
    }
    runs = [("r1", runner, 10.1) for runner in ran]
    return checks.violations([request], runs, types.SimpleNamespace(**values))


def test_a_good_answer_breaks_nothing():
    assert check(seen(), ["a-1"]) == []
    stream = seen(kind="write", body=EVENTS)
    assert check(stream, ["d-1", "d-2"]) == []


@pytest.mark.parametrize(
    ("request_seen", "ran", "schedule"),
    [
        (seen(), ["a-1", "a-2"], {}),
        (seen(status=503, body=b""), ["a-1"], {}),
        (seen(seal="seal-a-1-r2"), ["a-1"], {}),
        (seen(body=b"answer of a-1 to r2"), ["a-1"], {}),
        (seen(kind="write", body=EVENTS[:20]), ["d-1"], {}),
        (seen(kind="write", body=EVENTS[20:], complete=False), ["d-1"], {}),
        (seen(kind="write", body=EVENTS * 2, complete=False), ["d-1"], {}),
        (seen(), ["a-1"], {"withdrawn": {"key-a": 7.0}}),
        (
            seen(status=0, complete=False),
            ["a-1"],
            {"planned": [("h-0", 9.0, 11.0)]},
        ),
        (seen(), ["a-1"], {"draining": [("a-1", 8.0, 11.0)]}),
    ],
)
def test_each_broken_promise_is_seen(request_seen, ran, schedule):
    assert len(check(request_seen, ran, **schedule)) == 1


@pytest.mark.parametrize(
    "schedule",
    [
        {"draining": [("a-1", 8.5, 11.0)]},
        {"draining": [("a-2", 8.0, 11.0)]},
        {"draining": [("a-1", 8.0, 10.0)]},
        {"draining": [("a-1", 8.0, 11.0)], "unplanned": [(9.0, 9.5)]},
    ],
)
def test_runner_that_leaves_may_get_requests_for_a_time(schedule):
    assert check(seen(), ["a-1"], **schedule) == []


def test_unplanned_faults_excuse_a_cut():
    assert (
        check(
            seen(status=0, complete=False),
            ["a-1"],
            planned=[("h-0", 9.0, 11.0)],
            unplanned=[(8.0, 8.5)],
        )
        == []
    )
