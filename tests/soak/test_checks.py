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
        "time_limits": [(0.0, 5.0)],
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


NO_RESPONSE = make_observation(status=0, seal="", body=b"", complete=False)
CUT_STREAM = make_observation(
    kind="write", body=STREAM_EVENTS[:20], complete=False
)
GATEWAY_TIMEOUT = make_observation(status=504, body=b"", ended_at=11.0)


@pytest.mark.parametrize(
    ("observation", "problem"),
    [
        (NO_RESPONSE, "ended without a response"),
        (CUT_STREAM, "had its response cut off"),
        (CUT_STREAM._replace(kind="once"), "had its response cut off"),
        (make_observation(complete=False), "had its response cut off"),
        (GATEWAY_TIMEOUT, "was answered 504"),
        (GATEWAY_TIMEOUT._replace(status=502), "was answered 502"),
        (GATEWAY_TIMEOUT._replace(status=404), "was answered 404"),
        (GATEWAY_TIMEOUT._replace(status=401), "was answered 401"),
    ],
)
def test_failure_without_a_fault_is_reported(observation, problem):
    """Guards against silences of runners that excuse a lost request."""
    (found,) = check(observation, ["d-1"])

    assert problem in found


@pytest.mark.parametrize(
    ("observation", "schedule"),
    [
        (GATEWAY_TIMEOUT, {"unplanned": [(6.0, 8.0)]}),
        (GATEWAY_TIMEOUT._replace(ended_at=14.9), {}),
        (GATEWAY_TIMEOUT._replace(timeout_s=1.1), {}),
        (
            GATEWAY_TIMEOUT,
            {"time_limits": [(0.0, 1.0), (8.0, 5.0)]},
        ),
        (GATEWAY_TIMEOUT, {"time_limits": [(0.0, 5.0), (10.5, 1.0)]}),
        (GATEWAY_TIMEOUT._replace(status=503, kind="read"), {}),
        (
            GATEWAY_TIMEOUT._replace(status=401),
            {"withdrawn": {"key-a": 9.9}},
        ),
        (CUT_STREAM._replace(silent_s=3.5), {}),
        (CUT_STREAM._replace(timed_out=True), {}),
        (
            CUT_STREAM._replace(ended_at=13.0),
            {"planned": [("h-0", 8.5, 13.5)]},
        ),
    ],
)
def test_failure_with_an_excuse_is_not_reported(observation, schedule):
    assert check(observation, ["d-1"], **schedule) == []


@pytest.mark.parametrize(
    ("observation", "schedule"),
    [
        (GATEWAY_TIMEOUT, {"unplanned": [(6.0, 6.9)]}),
        (GATEWAY_TIMEOUT, {"time_limits": [(0.0, 1.0), (4.9, 5.0)]}),
        (GATEWAY_TIMEOUT, {"time_limits": [(0.0, 5.0), (11.1, 1.0)]}),
        (GATEWAY_TIMEOUT._replace(timeout_s=1.3), {}),
        (GATEWAY_TIMEOUT._replace(silent_s=3.5), {}),
        (CUT_STREAM._replace(silent_s=3.3), {}),
        (CUT_STREAM, {"planned": [("h-0", 8.5, 13.5)]}),
        (CUT_STREAM._replace(ended_at=11.5), {"planned": [("h-0", 6.9, 12.0)]}),
        (
            CUT_STREAM._replace(ended_at=13.0),
            {"planned": [("h-1", 8.5, 13.5)]},
        ),
    ],
)
def test_excuse_of_another_time_or_host_does_not_count(observation, schedule):
    assert len(check(observation, ["d-1"], **schedule)) == 1


@pytest.mark.parametrize(
    ("ended_at", "executions", "violated"),
    [(10.1, [], False), (10.1, ["a-1"], True), (10.3, [], True)],
)
def test_close_race_excuses_requests_that_did_not_run(
    ended_at, executions, violated
):
    request = NO_RESPONSE._replace(ended_at=ended_at)

    assert bool(check(request, executions)) == violated


@pytest.mark.parametrize(
    ("crashed_at", "violated"), [(9.0, False), (5.0, True)]
)
def test_crash_of_an_engine_excuses_requests_around_it(crashed_at, violated):
    runs = [("r2x", "d-1", crashed_at)]
    schedule = types.SimpleNamespace(
        withdrawn={},
        planned=[],
        unplanned=[],
        draining=[],
        time_limits=[(0.0, 5.0)],
    )

    found = checks.violations([CUT_STREAM], runs, schedule)

    assert bool(found) == violated


@pytest.mark.parametrize(("events", "violated"), [(4, False), (10, True)])
def test_stream_that_ends_early_as_complete_is_reported(events, violated):
    stream = make_observation(kind="write", body=STREAM_EVENTS, events=events)

    assert bool(check(stream, ["d-1"])) == violated


@pytest.mark.parametrize(
    ("changes", "logged", "unplanned", "violated"),
    [
        ({}, set(), [], True),
        ({"timed_out": True}, set(), [], True),
        ({}, {"r2"}, [], True),
        ({}, {"r1"}, [], False),
        ({}, set(), [(6.0, 8.0)], False),
        ({"ended_at": 10.1}, set(), [], False),
        ({"status": 200}, set(), [], False),
    ],
)
def test_request_without_response_and_log_line_is_reported(
    changes, logged, unplanned, violated
):
    """Guards against hosts that forget a request which its caller gives up."""
    request = NO_RESPONSE._replace(**changes)
    schedule = types.SimpleNamespace(unplanned=unplanned)

    found = list(checks.find_forgotten([request], {"h-0": logged}, schedule))

    assert bool(found) == violated
