"""Guards against a step of the clock that the program doesn't notice."""

from __future__ import annotations

import datetime

import pytest

from soak import stepped_clock


@pytest.mark.parametrize("offset_s", [1800.0, -1800.0])
def test_offset_file_shifts_time_of_day_but_not_monotonic_time(
    tmp_path, monkeypatch, offset_s
):
    path = tmp_path / "clock"
    monkeypatch.setattr(stepped_clock.SteppedClock, "path", path)
    clock = stepped_clock.SteppedClock()
    now, instant = clock.now(), clock.monotonic()

    path.write_text(str(offset_s))

    step = clock.now() - now
    assert abs(step.total_seconds() - offset_s) < 5
    assert clock.monotonic() - instant < 5
    assert step != datetime.timedelta(0)
