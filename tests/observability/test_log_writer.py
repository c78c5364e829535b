"""Tests that logging never blocks a request and stays within its limits."""

from __future__ import annotations

import datetime
import os

import gevent
import pytest

from coltsfootarch.observability import log_writer


@pytest.fixture
def pipe():
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def test_lines_are_written_in_order(pipe, manual_clock):
    writer = log_writer.LogWriter(pipe[1], manual_clock)
    writer.start()
    for number in range(3):
        writer.write(f"line {number}\n")

    gevent.sleep(0.05)

    assert os.read(pipe[0], 100) == b"line 0\nline 1\nline 2\n"
    writer.close()


def test_stalled_output_never_blocks_a_request(pipe, manual_clock):
    writer = log_writer.LogWriter(pipe[1], manual_clock)
    writer.start()
    line = "x" * 1000 + "\n"

    with gevent.Timeout(2):
        for _ in range(1000):
            manual_clock.advance(datetime.timedelta(seconds=1))
            writer.write(line)
            gevent.sleep(0)

    assert writer.dropped > 0
    assert writer.buffered_chars <= log_writer.MAX_BUFFERED_CHARS
    writer.close()


def test_lines_above_the_limit_are_dropped_and_counted(pipe, manual_clock):
    writer = log_writer.LogWriter(pipe[1], manual_clock)
    for number in range(log_writer.MAX_LINES_PER_S + 50):
        writer.write(f"line {number}\n")
    assert writer.dropped == 50

    manual_clock.advance(datetime.timedelta(seconds=1))
    writer.write("next\n")

    assert '"total": 50' in writer.lines[-1]
    assert writer.lines[-1].endswith("next\n")
