"""Guards against checks of the soak test that miss a violation."""

from __future__ import annotations

import types

import pytest

from soak import callers
from soak import checks

STREAM_EVENTS = b"".join(
    b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 5)
)


def make_observation(**changes):
    base = callers.Observation(
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


def check(request, executions=(), **schedule):
    values = {
        "withdrawn": {},
        "planned": [],
        "unplanned": [],
        "draining": [],
        **schedule,
    }
    runs = [("r1", runner, 10.1) for runner in executions]
    return checks.violations([request], runs, types.SimpleNamespace(**values))


def test_correct_response_is_no_violation():
    assert check(make_observation(), ["a-1"]) == []
    stream = make_observation(kind="write", body=STREAM_EVENTS)
    assert check(stream, ["d-1", "d-2"]) == []


@pytest.mark.parametrize(
    ("observation", "executions", "schedule"),
    [
        (make_observation(), ["a-1", "a-2"], {}),
        (make_observation(status=503, body=b""), ["a-1"], {}),
        (make_observation(seal="seal-a-1-r2"), ["a-1"], {}),
        (make_observation(body=b"answer of a-1 to r2"), ["a-1"], {}),
        (make_observation(kind="write", body=STREAM_EVENTS[:20]), ["d-1"], {}),
        (
            make_observation(
                kind="write", body=STREAM_EVENTS[20:], complete=False
            ),
            ["d-1"],
            {},
        ),
        (
            make_observation(
                kind="write", body=STREAM_EVENTS * 2, complete=False
            ),
            ["d-1"],
            {},
        ),
        (make_observation(), ["a-1"], {"withdrawn": {"key-a": 7.0}}),
        (
            make_observation(status=0, complete=False),
            ["a-1"],
            {"planned": [("h-0", 9.0, 11.0)]},
        ),
        (make_observation(), ["a-1"], {"draining": [("a-1", 8.0, 11.0)]}),
    ],
)
def test_each_violation_is_reported(observation, executions, schedule):
    assert len(check(observation, executions, **schedule)) == 1


@pytest.mark.parametrize(
    "schedule",
    [
        {"draining": [("a-1", 8.5, 11.0)]},
        {"draining": [("a-2", 8.0, 11.0)]},
        {"draining": [("a-1", 8.0, 10.0)]},
        {"draining": [("a-1", 8.0, 11.0)], "unplanned": [(9.0, 9.5)]},
    ],
)
def test_request_to_draining_runner_may_be_excused(schedule):
    assert check(make_observation(), ["a-1"], **schedule) == []


def test_unplanned_fault_excuses_an_interrupted_request():
    assert (
        check(
            make_observation(status=0, complete=False),
            ["a-1"],
            planned=[("h-0", 9.0, 11.0)],
            unplanned=[(8.0, 8.5)],
        )
        == []
    )


@pytest.mark.parametrize(
    ("instants", "violated"),
    [
        ([1.0, 1.1, 1.2, 1.3, 1.4, 9.0, 9.1, 9.2], False),
        ([1.0, 1.1, 1.2, 1.3, 1.4, 4.0, 4.1, 4.2, 4.3], False),
        ([1.0, 1.1, 1.2, 1.3, 1.4, 9.0, 9.1, 9.2, 9.3], True),
    ],
)
def test_crashes_long_after_the_fifth_are_violations(instants, violated):
    runs = [
        (f"r{number}{callers.CRASHING_SUFFIX}", "d-1", at)
        for number, at in enumerate(instants)
    ]

    found = list(checks.find_repeated_crashes(runs))

    assert bool(found) == violated
