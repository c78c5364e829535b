"""Tests of the splitter of event streams."""

from __future__ import annotations

import time

import pytest

from coltsfootarch.http1 import events


def test_incomplete_event_is_searched_once():
    """Guards against a cost of each part that grows with the event."""

    def cost(size):
        splitter = events.EventSplitter()
        started = time.process_time()
        for _ in range(size // 64):
            splitter.feed(b"x" * 64)
        return time.process_time() - started

    small = min(cost(128 * 1024) for _ in range(3))
    large = min(cost(1024 * 1024) for _ in range(3))

    assert large < 20 * small


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n"])
def test_end_of_an_event_may_arrive_in_parts(end):
    """Guards against an end that is missed between two parts."""
    splitter = events.EventSplitter()
    stream = (b"id: 1\ndata: x" + end) * 3

    complete = [
        event for byte in stream for event in splitter.feed(bytes([byte]))
    ]

    assert [event.data for event in complete] == [
        stream[: len(stream) // 3]
    ] * 3
    assert not splitter.incomplete
