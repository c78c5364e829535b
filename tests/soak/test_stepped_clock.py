"""Guards against a step of the clock that the program doesn't see."""

from __future__ import annotations

import datetime

import pytest

from soak import stepped_clock


@pytest.mark.parametrize("ahead", [1800.0, -1800.0])
def test_time_of_day_follows_the_file_and_intervals_don_t(
    tmp_path, monkeypatch, ahead
):
    path = tmp_path / "clock"
    monkeypatch.setattr(stepped_clock.SteppedClock, "path", path)
    clock = stepped_clock.SteppedClock()
    now, instant = clock.now(), clock.monotonic()

    path.write_text(str(ahead))

    step = clock.now() - now
    assert abs(step.total_seconds() - ahead) < 5
    assert clock.monotonic() - instant < 5
    assert step != datetime.timedelta(0)
