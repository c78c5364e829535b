"""Tests that the soak notices streams of two versions."""

from __future__ import annotations

import pytest

from soak import take_ups


def events(first, last, version=""):
    named = f": version {version}\n" if version else ""
    return "".join(
        f"{named}id: {number}\ndata: token {number}\n\n"
        for number in range(first, last + 1)
    ).encode()


@pytest.mark.parametrize(
    ("first", "second", "count"),
    [
        (events(1, 2), events(3, 4), 0),
        (events(1, 2, "v2"), events(3, 4, "v2"), 0),
        (events(1, 2, "v2") + b"id: 3", events(3, 4, "v2"), 0),
        (events(1, 2), events(3, 4, "v2"), 1),
        (events(1, 2, "v2"), events(3, 4), 1),
        (events(1, 2), events(4, 4), 1),
        (events(1, 2), events(2, 4), 1),
    ],
)
def test_stream_that_goes_on_wrongly_is_a_violation(first, second, count):
    stream = take_ups.TakeUp("r1", first, 200, second)

    assert len(list(take_ups.violations([], [stream]))) == count


def test_answer_with_events_of_two_versions_is_a_violation():
    joined = events(1, 2) + events(3, 4, "v2")

    assert len(list(take_ups.violations([("r1", joined)], []))) == 1
